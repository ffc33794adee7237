"""``python -m bench.checkouts OLD NEW``: VMs of two checkouts side by side.

VMs of both versions serve one region and change versions as they are stopped or
killed. First the gateway with its own settings, claims and jobs, under the faults and
checks of :mod:`bench.chaos`; then the platform's VMs. Last, all VMs stop, and those of
NEW begin with the rows that OLD has written. Exit code 1 for anything lost or rejected.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import random
import signal
import sys
import time
from collections import Counter
from contextlib import suppress
from pathlib import Path
from typing import TYPE_CHECKING

import uvloop

from bench.chaos.report import print_report
from bench.chaos.run import check_all, draw_plan, run_plan
from standins.routed import EndpointOptions, MetadataStore, RoutedEndpoint
from standins.routed.endpoint import registered
from standins.routed.vm import PlatformVm

if TYPE_CHECKING:
    from asyncio.subprocess import Process
    from collections.abc import Sequence

    from standins.routed.vm import Answer

DATA_CENTRES = ("hall-a", "hall-b", "hall-c")
VM_COUNT = 6
RATE_PER_S = 40.0
CHANGE_EACH_S = 4.0
KILL_EACH = 3
"""Every third change is a kill, the others are planned stops."""

HOST = "shop.example"
KEY = "key-of-org"
ROTATION_S = 0.5
"""Time between leaving the balancer's rotation and a planned stop."""

REJECTIONS = (
    "message_rejected",
    "configuration_rejected",
    "endpoint_rejected",
    "row_rejected",
    "rollout_rejected",
    "task_failed",
)
SERVICES = {
    "pool": EndpointOptions(slots=6, work_ms=30, events=20, event_ms=10),
    "portal": EndpointOptions(slots=4, work_ms=15),
}
ROUTES = (
    ("draft", "streaming", "pool", 0),
    ("help", "streaming", "pool", 1),
    ("lookup", "idempotent", "portal", 2),
    ("filing", "non_idempotent", "portal", 1),
)
_ONCE = "filing"
_OK = 200
_STOP_S = 15.0


def program_of(checkout: Path) -> tuple[str, ...]:
    """Return the program of a checkout, run with the libraries of this one."""
    source = str((checkout / "src").resolve())
    code = (
        f"import sys; sys.path.insert(0, {source!r}); "
        "from pomelolane.__main__ import main; sys.exit(main())"
    )
    return sys.executable, "-c", code


def _configuration() -> bytes:
    routes = [
        {
            "name": name,
            "host": HOST,
            "prefix": f"/{name}/",
            "kind": kind,
            "service": service,
            "priority": rank,
            "targetLatencyMs": 1000,
            "timeoutMs": 5000,
            "attempts": 2,
            "resumable": name == "help",
        }
        for name, kind, service, rank in ROUTES
    ]
    engine = {"slots": 6, "kvCapacityTokens": 200_000}
    services = [{"name": "pool", "engine": engine}, {"name": "portal"}]
    limited = {"unit": "token_count", "ratePerS": 100_000.0, "burst": 100_000.0}
    tenants = [{"name": "org", "apiKeys": [KEY], **limited}]
    document = {"version": 1, "routes": routes, "services": services}
    return json.dumps(document | {"tenants": tenants}).encode()


class Region:
    """VMs of two versions over one store and its endpoints.

    Args:
        programs: The programs of OLD and NEW.
    """

    def __init__(self, programs: Sequence[Sequence[str]]) -> None:
        self.programs = programs
        self.store = MetadataStore()
        self.endpoints: list[RoutedEndpoint] = []
        self.vms: list[PlatformVm] = []
        self.in_rotation: list[PlatformVm] = []
        self.ends: Counter[tuple[str, int]] = Counter()
        self.again = 0
        self.lost: list[str] = []
        self.rejected: Counter[str] = Counter()
        self.changes = 0
        self.killed: list[Process] = []
        self.drawn = random.Random(1)

    async def start(self) -> None:
        """Start everything; neighbouring VMs are of different versions."""
        address = await self.store.start()
        self.store.put("op", "config", _configuration())
        for data_centre in DATA_CENTRES:
            for service, options in SERVICES.items():
                await self._add_endpoint(service, options, data_centre)
        for number in range(VM_COUNT):
            data_centre = DATA_CENTRES[number % len(DATA_CENTRES)]
            program = self.programs[number % 2]
            vm = PlatformVm(number + 1, address, data_centre, program=program)
            self.vms.append(await vm.start())
        await asyncio.gather(*(vm.ready() for vm in self.vms))
        self.in_rotation = list(self.vms)

    async def _add_endpoint(
        self, service: str, options: EndpointOptions, data_centre: str
    ) -> None:
        endpoint = RoutedEndpoint(f"{service}-{data_centre}", options)
        address = await endpoint.start()
        row = registered(endpoint, service, address, data_centre)
        self.store.put("servers", endpoint.endpoint_id, row)
        self.endpoints.append(endpoint)

    async def serve(self, seconds: float, *, changing: bool) -> None:
        """Send requests until the time is up, and wait for all answers."""
        until_s = time.monotonic() + seconds
        changes = asyncio.create_task(self._change_versions(until_s))
        if not changing:
            changes.cancel()
        async with asyncio.TaskGroup() as calls:
            while time.monotonic() < until_s:
                name = self.drawn.choice(ROUTES)[0]
                mark = f"{name}-{self.drawn.getrandbits(60):x}"
                calls.create_task(self._call(name, mark))
                await asyncio.sleep(self.drawn.expovariate(RATE_PER_S))
        with suppress(asyncio.CancelledError):
            await changes

    async def _call(self, name: str, mark: str) -> None:
        """Ask VM after VM while those asked are killed under the request."""
        while True:
            vm = self.drawn.choice(self.in_rotation)
            process = vm.process
            answer = await self._ask(vm, name, mark)
            if answer is not None and answer.is_whole:
                self.ends[name, answer.status] += 1
                if answer.status != _OK:
                    self.lost.append(f"{mark}: {answer.status} {answer.body[:80]!r}")
                return
            if process not in self.killed:
                self.lost.append(f"{mark}: no whole answer of {vm.vm_id}")
                return
            self.again += 1
            if name == _ONCE:
                # It may have run; its caller must not send it again.
                return

    async def _ask(self, vm: PlatformVm, name: str, mark: str) -> Answer | None:
        headers = [f"host: {HOST}", f"request-id: {mark}", "deadline-ms: 5000"]
        headers += [f"authorization: Bearer {KEY}"]
        try:
            return await vm.ask(f"GET /{name}/{mark} HTTP/1.1", headers)
        except (OSError, TimeoutError):
            return None

    async def _change_versions(self, until_s: float) -> None:
        while time.monotonic() + CHANGE_EACH_S < until_s:
            await asyncio.sleep(CHANGE_EACH_S)
            vm = self.vms[self.changes % VM_COUNT]
            self.changes += 1
            old, new = self.programs
            program = old if vm.program == tuple(new) else new
            await self.change(vm, program, kills=self.changes % KILL_EACH == 0)

    async def change(
        self, vm: PlatformVm, program: Sequence[str], *, kills: bool = False
    ) -> None:
        """Stop or kill a VM and start it again with a program."""
        self.in_rotation = [one for one in self.vms if one is not vm]
        await self.stop(vm, kills=kills)
        vm.program = tuple(program)
        await vm.start()
        await vm.ready()
        self.in_rotation = list(self.vms)

    async def stop(self, vm: PlatformVm, *, kills: bool = False) -> None:
        """End a VM's process and read what it has rejected."""
        if kills:
            self.killed.append(vm.process)
            vm.signal(signal.SIGKILL)
        else:
            await asyncio.sleep(ROTATION_S)
            vm.signal()
        async with asyncio.timeout(_STOP_S):
            await vm.process.wait()
        self.read_rejections(vm)

    def read_rejections(self, vm: PlatformVm) -> None:
        """Count the log lines in which a VM says that it could not read something."""
        for name in REJECTIONS:
            for line in vm.events(name):
                self.rejected[f"{name} {json.dumps(line)[:200]}"] += 1

    async def start_new_on_old_rows(self) -> None:
        """Let OLD write all rows, end it, and start NEW on them."""
        old, new = self.programs
        for vm in self.vms:
            if vm.program != tuple(old):
                await self.change(vm, old)
        await self.serve(10.0, changing=False)
        self.in_rotation = []
        await asyncio.gather(*(self.stop(vm) for vm in self.vms))
        for vm in self.vms:
            vm.program = tuple(new)
            await vm.start()
        await asyncio.gather(*(vm.ready() for vm in self.vms))
        self.in_rotation = list(self.vms)
        await self.serve(10.0, changing=False)

    def runs_twice(self) -> list[str]:
        """Return the requests that may run once and ran more often."""
        runs = Counter(
            request.headers.get("request-id", "")
            for endpoint in self.endpoints
            for request in endpoint.seen
            if request.ran and request.line.startswith(f"GET /{_ONCE}/")
        )
        return [mark for mark, count in runs.items() if count > 1]

    async def aclose(self) -> None:
        """End everything that was started."""
        for vm in self.vms:
            await vm.kill()
        for endpoint in self.endpoints:
            await endpoint.aclose()
        await self.store.aclose()


async def _run_platform(programs: Sequence[Sequence[str]], seconds: float) -> int:
    region = Region(programs)
    try:
        await region.start()
        await region.serve(seconds, changing=True)
        print(f"mixed: {dict(region.ends)}, sent again after kills: {region.again}")
        await region.start_new_on_old_rows()
        for vm in region.vms:
            region.read_rejections(vm)
    finally:
        await region.aclose()
    faults = [*region.lost, *(f"{mark}: ran twice" for mark in region.runs_twice())]
    for line in [*faults[:10], *list(region.rejected)[:10]]:
        print(f"  {line}")
    print(
        f"platform: {sum(region.ends.values())} answers, {region.changes} changes of"
        f" version, lost or twice {len(faults)}, rejected {region.rejected.total()}"
    )
    return len(faults) + region.rejected.total()


def _run_gateway(programs: Sequence[Sequence[str]], seed: int, seconds: float) -> int:
    plan = draw_plan(seed, seconds)
    evidence = uvloop.run(run_plan(plan, programs))
    breaches = check_all(plan, evidence)
    print_report(evidence, breaches, plan.seconds)
    return len(breaches)


def main() -> int:
    """Run both parts and return the exit code."""
    parser = argparse.ArgumentParser(prog="bench.checkouts", description=__doc__)
    parser.add_argument("old", type=Path)
    parser.add_argument("new", type=Path)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=60.0)
    arguments = parser.parse_args()
    programs = [program_of(arguments.old), program_of(arguments.new)]
    broken = asyncio.run(_run_platform(programs, arguments.seconds))
    broken += _run_gateway(programs, arguments.seed, arguments.seconds)
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
