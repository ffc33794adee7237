"""30 s of mixed work on six VMs of the users' platform, against its stand-ins.

Run it with ``make demo-platform``; it ends what it started.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import random
import statistics
import time
from collections import Counter

from standins.routed import EndpointOptions, MetadataStore, RoutedEndpoint
from standins.routed.endpoint import registered
from standins.routed.vm import PlatformVm

DATA_CENTRES = ("hall-a", "hall-b", "hall-c")
VMS_EACH = 2
RATE_PER_S = 25.0
HOST = "shop.example"
KEY = "key-of-org"
SERVICES = {
    "pool": EndpointOptions(slots=6, work_ms=30, events=20, event_ms=10),
    "portal": EndpointOptions(slots=4, work_ms=15),
}
ROUTES = (
    ("draft", "/draft/", "streaming", "pool", 0, 1000),
    ("help", "/help/", "streaming", "pool", 1, 400),
    ("lookup", "/lookup/", "idempotent", "portal", 2, 200),
)


def _configuration() -> bytes:
    routes = [
        {
            "name": name,
            "host": HOST,
            "prefix": prefix,
            "kind": kind,
            "service": service,
            "priority": rank,
            "targetLatencyMs": objective_ms,
            "timeoutMs": 5000,
            "attempts": 2,
            "resumable": name == "help",
        }
        for name, prefix, kind, service, rank, objective_ms in ROUTES
    ]
    engine = {"slots": 6, "kvCapacityTokens": 200_000}
    services = [{"name": "pool", "engine": engine}, {"name": "portal"}]
    tenants = [{"name": "org", "apiKeys": [KEY], "unit": "token_count"}]
    document = {"version": 1, "routes": routes, "services": services}
    return json.dumps(document | {"tenants": tenants}).encode()


class Demo:
    """The stand-ins, the VMs and what became of the requests."""

    def __init__(self) -> None:
        self.store = MetadataStore()
        self.endpoints: list[RoutedEndpoint] = []
        self.vms: list[PlatformVm] = []
        self.ends: Counter[tuple[str, int]] = Counter()
        self.times_ms: dict[str, list[float]] = {}

    async def start(self) -> None:
        """Start everything and wait until all VMs are ready."""
        address = await self.store.start()
        self.store.put("op", "config", _configuration())
        for data_centre in DATA_CENTRES:
            for service, options in SERVICES.items():
                await self._add_endpoint(service, options, data_centre)
        for number in range(len(DATA_CENTRES) * VMS_EACH):
            data_centre = DATA_CENTRES[number % len(DATA_CENTRES)]
            vm = PlatformVm(number + 1, address, data_centre)
            self.vms.append(await vm.start())
        await asyncio.gather(*(vm.ready() for vm in self.vms))

    async def _add_endpoint(
        self, service: str, options: EndpointOptions, data_centre: str
    ) -> None:
        endpoint = RoutedEndpoint(f"{service}-{data_centre}", options)
        address = await endpoint.start()
        row = registered(endpoint, service, address, data_centre)
        self.store.put("servers", endpoint.endpoint_id, row)
        self.endpoints.append(endpoint)

    async def play(self, seconds: float) -> None:
        """Send requests at random moments until the time is up."""
        drawn = random.Random(1)
        until_s = time.monotonic() + seconds
        async with asyncio.TaskGroup() as calls:
            while time.monotonic() < until_s:
                vm = drawn.choice(self.vms)
                name, prefix, *_ = drawn.choice(ROUTES)
                calls.create_task(self._call(vm, name, prefix, drawn.random()))
                await asyncio.sleep(drawn.expovariate(RATE_PER_S))

    async def _call(self, vm: PlatformVm, name: str, prefix: str, mark: float) -> None:
        headers = [f"host: {HOST}", f"request-id: r{mark}", "deadline-ms: 5000"]
        headers += [f"authorization: Bearer {KEY}"]
        begun_s = time.monotonic()
        answer = await vm.ask(f"GET {prefix}{mark} HTTP/1.1", headers)
        whole = answer.status if answer.is_whole else 0
        self.ends[name, whole] += 1
        elapsed_ms = 1000 * (time.monotonic() - begun_s)
        self.times_ms.setdefault(name, []).append(elapsed_ms)

    def report(self) -> None:
        """Print what became of the requests."""
        for name, *_ in ROUTES:
            statuses = {
                status: n for (one, status), n in self.ends.items() if one == name
            }
            times_ms = self.times_ms.get(name) or [0.0]
            middle_ms = statistics.median(times_ms)
            print(
                f"{name:8} {sum(statuses.values()):5} calls, statuses {statuses},"
                f" median {middle_ms:.0f} ms, longest {max(times_ms):.0f} ms"
            )
        errors = sum(n for (_, status), n in self.ends.items() if status != 200)
        print(f"store calls: {sum(self.store.calls.values())}")
        print(f"errors: {errors} of {sum(self.ends.values())}")

    async def aclose(self) -> None:
        """End everything that was started."""
        for vm in self.vms:
            await vm.kill()
        for endpoint in self.endpoints:
            await endpoint.aclose()
        await self.store.aclose()


async def _main(seconds: float) -> None:
    demo = Demo()
    try:
        await demo.start()
        await demo.play(seconds)
        demo.report()
    finally:
        await demo.aclose()


if __name__ == "__main__":
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=30.0)
    asyncio.run(_main(parser.parse_args().seconds))
