"""Plays a plan against VMs as processes, endpoints and a store."""

from __future__ import annotations

import asyncio
import json
import random
import signal
import time
from dataclasses import replace
from itertools import count
from typing import TYPE_CHECKING

from bench.soak.callers import CALLERS_PER_VM, Caller, take_streams
from bench.soak.evidence import Evidence, Start, Word
from bench.soak.plan import Disturbance, Kind
from standins.routed import EndpointOptions, MetadataStore, RoutedEndpoint
from standins.routed.endpoint import registered
from standins.routed.links import Cut, EndpointLink
from standins.routed.store import Trouble
from standins.routed.vm import PlatformVm

if TYPE_CHECKING:
    from bench.soak.plan import Plan

DATA_CENTRE = "hall-a"
OTHER_DATA_CENTRE = "hall-b"
HOST = "soak.example"
_PLAIN_SERVICES = 3
_VERSIONS = ("v1", "v2")
_DRAINING_S = 2.5
_STREAM_CALLERS_PER_VM = 2
_SETTLED_S = 3.0
"""Time after a disturbance of a VM for which it is excused, as on the users' pages."""

_TROUBLES = {Kind.STORE_BUSY: Trouble.BUSY, Kind.STORE_SILENT: Trouble.SILENT}
_HEADERS = [f"host: {HOST}", "deadline-ms: 3000", "token-usage: 90,10"]


def _configuration() -> bytes:
    kinds = [
        ("plain", "/plain/", "idempotent", "portal", {"attempts": 2}),
        ("file", "/plain/file/", "non_idempotent", "portal", {}),
        ("chat", "/chat/", "streaming", "pool", {"targetGapMs": 400}),
        (
            "help",
            "/help/",
            "streaming",
            "pool",
            {"targetGapMs": 400, "resumable": True, "attempts": 2},
        ),
    ]
    routes = [
        {
            "name": name,
            "host": HOST,
            "prefix": prefix,
            "kind": kind,
            "service": service,
            "timeoutMs": 3000,
            "targetLatencyMs": 500,
            "priority": 0,
            "attempts": 1,
            "public": True,
            **fields,
        }
        for name, prefix, kind, service, fields in kinds
    ]
    engine = {"slots": 4, "kvCapacityTokens": 100_000}
    services = [
        {"name": "portal", "healthPath": "/healthz"},
        {"name": "pool", "healthPath": "/healthz", "engine": engine},
    ]
    limits = {"maxHeaderBytes": 16384, "maxBodyBytes": 100_000}
    document = {"version": 1, "routes": routes, "services": services, "limits": limits}
    return json.dumps(document).encode()


class _World:
    """Store, endpoints and VMs of one run."""

    def __init__(self, plan: Plan) -> None:
        self._plan = plan
        self._store = MetadataStore()
        self._running: dict[str, tuple[RoutedEndpoint, Start]] = {}
        self._addresses: dict[str, tuple[str, str]] = {}
        self._births = count(1)
        self._links: list[EndpointLink] = []
        self._engines: dict[int, str] = {}
        self._ended: set[asyncio.subprocess.Process] = set()
        self.vms: list[PlatformVm] = []
        self.evidence = Evidence()

    async def start(self) -> None:
        address = await self._store.start()
        self._store.put("op", "config", _configuration())
        for number in range(self._plan.engines):
            options = EndpointOptions(
                events=8, event_ms=25.0, version=_VERSIONS[number % len(_VERSIONS)]
            )
            await self._add(f"e{number}", "pool", options)
        for number in range(_PLAIN_SERVICES):
            await self._add(f"p{number}", "portal", EndpointOptions(work_ms=20))
        for number in range(self._plan.vms - 1):
            vm = PlatformVm(number + 1, address, DATA_CENTRE)
            self.vms.append(await vm.start())
        self.vms.append(await self._start_cuttable())
        await asyncio.gather(*(vm.ready() for vm in self.vms))

    async def _start_cuttable(self) -> PlatformVm:
        """Start a VM with links of its own to all endpoints.

        It stands in a data centre of its own, since the VMs of one share the addresses
        of endpoints.
        """
        addresses = {}
        for _, address in self._addresses.values():
            link = EndpointLink(address)
            addresses[address] = await link.start()
            self._links.append(link)
        view = await self._store.start_view(addresses)
        return await PlatformVm(self._plan.vms, view, OTHER_DATA_CENTRE).start()

    async def _add(
        self, name: str, service: str, options: EndpointOptions, port: int = 0
    ) -> None:
        endpoint = RoutedEndpoint(name, options)
        address = await endpoint.start("127.0.0.1", port)
        start = Start(name, endpoint.seen, version=options.version)
        start.from_s = time.monotonic()
        self.evidence.starts.append(start)
        self._running[name] = endpoint, start
        self._addresses[name] = service, address
        start.born_ms = next(self._births)
        row = registered(endpoint, service, address, DATA_CENTRE, born_ms=start.born_ms)
        self._store.put("servers", name, row)

    async def act(self, one: Disturbance) -> None:
        """Carry a disturbance out, to its end."""
        if one.kind in _TROUBLES:
            self._store.trouble = _TROUBLES[one.kind]
            await asyncio.sleep(one.for_s)
            self._store.trouble = Trouble.NONE
        elif one.kind.value.startswith("vm_"):
            await self._disturb_vm(one)
        else:
            await self._disturb_endpoint(one)

    async def _disturb_vm(self, one: Disturbance) -> None:
        vm = self.vms[one.target]
        span = Word(time.monotonic())
        self.evidence.disturbed.setdefault(one.target, []).append(span)
        match one.kind:
            case Kind.VM_CUT:
                self.evidence.cuts.append((one.target, span))
                await self._cut_links(list(Cut)[int(one.value)], one.for_s)
            case Kind.VM_HUP:
                vm.signal(signal.SIGHUP)
            case Kind.VM_FREEZE:
                vm.signal(signal.SIGSTOP)
                await asyncio.sleep(one.for_s)
                vm.signal(signal.SIGCONT)
            case _:
                hard = one.kind is Kind.VM_KILL
                self._ended.add(vm.process)
                vm.signal(signal.SIGKILL if hard else signal.SIGTERM)
                await vm.process.wait()
                await self._start_vm(vm)
        span.until_s = time.monotonic() + _SETTLED_S

    async def _start_vm(self, vm: PlatformVm) -> None:
        """Start a VM that has ended; it may be ended again before it is ready."""
        process = (await vm.start()).process
        try:
            await vm.ready()
        except RuntimeError:
            if process not in self._ended:
                raise

    async def _cut_links(self, how: Cut, for_s: float) -> None:
        for link in self._links:
            await link.cut(how)
        await asyncio.sleep(for_s)
        for link in self._links:
            await link.heal()

    async def _disturb_endpoint(self, one: Disturbance) -> None:
        name = self._engines.get(one.target, f"e{one.target}")
        endpoint, start = self._running[name]
        word = Word(time.monotonic(), one.value)
        match one.kind:
            case Kind.LIMIT:
                start.limits.append(word)
                endpoint.says["server-limit"] = f"{one.value:g}"
                await asyncio.sleep(one.for_s)
                word.until_s = time.monotonic()
                del endpoint.says["server-limit"]
            case Kind.REST:
                start.rests.append(word)
                endpoint.rest, endpoint.turns_away_each = f"{one.value:g}", 3
                await asyncio.sleep(one.for_s)
                endpoint.rest = ""
            case Kind.BREAK:
                endpoint.options.broken_share = 0.5
                await asyncio.sleep(one.for_s)
                endpoint.options.broken_share = 0.0
            case Kind.RELEASE:
                await self._release(one.target)
            case Kind.LEAVE:
                start.leaves_s = word.from_s
                endpoint.says["server-leaving"] = "1"
                await asyncio.sleep(one.for_s)
                await self._start_again(name)

    async def _start_again(self, name: str) -> None:
        endpoint, start = self._running[name]
        start.until_s = time.monotonic()
        await endpoint.aclose()
        service, address = self._addresses[name]
        port = int(address.rpartition(":")[2])
        await self._add(name, service, endpoint.options, port)

    async def _release(self, number: int) -> None:
        """Let an engine drain, and start one of the other version in its place."""
        name = self._engines.get(number, f"e{number}")
        endpoint, start = self._running.pop(name)
        service, address = self._addresses.pop(name)
        start.drains_s = time.monotonic()
        row = registered(
            endpoint, service, address, DATA_CENTRE, "draining", start.born_ms
        )
        self._store.put("servers", name, row)
        await asyncio.sleep(_DRAINING_S)
        start.until_s = time.monotonic()
        self._store.delete("servers", name)
        await endpoint.aclose()
        before = endpoint.options.version
        version = next(one for one in _VERSIONS if one != before)
        options = replace(endpoint.options, version=version, broken_share=0.0)
        successor = f"{name}+"
        self._engines[number] = successor
        port = int(address.rpartition(":")[2])
        await self._add(successor, service, options, port)

    async def aclose(self) -> None:
        for vm in self.vms:
            await vm.kill()
        for link in self._links:
            await link.aclose()
        for endpoint, _ in self._running.values():
            await endpoint.aclose()
        await self._store.aclose()


async def play(plan: Plan) -> Evidence:
    """Play a plan to its end."""
    world = _World(plan)
    try:
        await world.start()
        await _play_in(world, plan)
    finally:
        await world.aclose()
    return world.evidence


async def _play_in(world: _World, plan: Plan) -> None:
    ids = count(1)
    draw = random.Random(plan.seed)
    tasks = [
        asyncio.create_task(
            Caller(vm, number, _HEADERS, world.evidence, draw, ids).run()
        )
        for number, vm in enumerate(world.vms)
        for _ in range(CALLERS_PER_VM)
    ]
    tasks += [
        asyncio.create_task(
            take_streams(world.vms, _HEADERS, world.evidence, draw, ids)
        )
        for _ in range(_STREAM_CALLERS_PER_VM * len(world.vms))
    ]
    begun_s = time.monotonic()
    acting = [
        asyncio.create_task(_act_at(world, one, begun_s + one.at_s))
        for one in plan.disturbances
    ]
    await asyncio.sleep(plan.seconds)
    for task in (*tasks, *acting):
        task.cancel()
    results = await asyncio.gather(*tasks, *acting, return_exceptions=True)
    for result in results:
        if isinstance(result, Exception):
            raise result


async def _act_at(world: _World, one: Disturbance, at_s: float) -> None:
    await asyncio.sleep(at_s - time.monotonic())
    await world.act(one)
