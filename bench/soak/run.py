"""Plays a plan against VMs as processes, endpoints and a store."""

from __future__ import annotations

import asyncio
import contextlib
import random
import signal
import time
from dataclasses import replace
from itertools import count
from typing import TYPE_CHECKING

from bench.soak.callers import (
    CALLERS_PER_VM,
    FATAL_PART,
    KEY,
    Caller,
    Doors,
    take_streams,
)
from bench.soak.checks import APPLY_S
from bench.soak.configuration import HOST, Configuration
from bench.soak.evidence import Evidence, Start, Word
from bench.soak.plan import Disturbance, Kind
from standins.routed import EndpointOptions, MetadataStore, RoutedEndpoint
from standins.routed.endpoint import BodyFraming, registered
from standins.routed.links import Cut, EndpointLink
from standins.routed.store import Trouble
from standins.routed.vm import PlatformVm

if TYPE_CHECKING:
    from collections.abc import Coroutine
    from pathlib import Path

    from bench.soak.plan import Plan

DATA_CENTRE = "hall-a"
OTHER_DATA_CENTRE = "hall-b"
_VERSIONS = ("v1", "v2")
_STREAM_CALLERS_PER_VM = 2
_SETTLED_S = 3.0
"""Time after a disturbance of a VM for which it is excused, as on the users' pages."""

_TROUBLES = {Kind.STORE_BUSY: Trouble.BUSY, Kind.STORE_SILENT: Trouble.SILENT}
_PLAIN = {"portal": 3, "annex": 2}
"""Number of endpoints of the plain services."""

_AUTHORIZATION = f"authorization: Bearer {KEY}"
_HEADERS = [
    f"host: {HOST}",
    "deadline-ms: 3000",
    "token-usage: 160,10",
]
_DOWN_S = 2.0
"""Time from the crash of an endpoint to its next start."""

_FATAL_CALLERS_PER_VM = 2
_CHANGE_EVERY_S = (0.2, 1.0)
_HUP_SHARE = 0.2
_BETWEEN_SILENCES_S = (0.5, 2.0)
_FROZEN_S = (0.3, 4.0)
_READER_FROZEN_S = (0.6, 1.1)
_READER_THAWED_S = (0.002, 0.01)
_THAWED_S = (0.002, 0.6)
_MOST_FREEZES = 4
_BETWEEN_VERSIONS_S = 0.02
_JUST_AFTER_S = 0.01
_STARVED_S = (0.03, 0.07)
"""Times for which a starved VM runs and does not run, in turn."""

_WORK_MS = 20.0
_LATE_MS = 10_000.0


class _World:
    """Store, endpoints and VMs of one run."""

    def __init__(self, plan: Plan, logs: Path | None) -> None:
        self._plan = plan
        self._logs = logs
        self._store = MetadataStore()
        self._running: dict[str, tuple[RoutedEndpoint, Start]] = {}
        self._addresses: dict[str, tuple[str, str]] = {}
        self._births = count(1)
        self._links: list[EndpointLink] = []
        self._engines: dict[int, str] = {}
        self._ended: set[asyncio.subprocess.Process] = set()
        self._draw = random.Random(plan.seed)
        self._configuration = Configuration(
            lambda document: self._store.put("op", "config", document)
        )
        self.watches: list[asyncio.Task[None]] = []
        self.vms: list[PlatformVm] = []
        self.doors = Doors(self.vms, self._draw)
        self._ids = count(1)
        self.evidence = Evidence(grants=self._configuration.grants)

    async def start(self) -> None:
        address = await self._store.start()
        self._configuration.put()
        for number in range(self._plan.engines):
            options = EndpointOptions(
                events=8,
                event_ms=25.0,
                version=_VERSIONS[number % len(_VERSIONS)],
                framing=BodyFraming.CLOSE if number in self._plan.closing else None,
                fatal_part=FATAL_PART,
            )
            await self._add(f"e{number}", "pool", options)
        for service, number in _PLAIN.items():
            for one in range(number):
                framing = None if one else BodyFraming.CLOSE
                options = EndpointOptions(work_ms=_WORK_MS, framing=framing)
                await self._add(f"{service[0]}{one}", service, options)
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
        self.watches.append(asyncio.create_task(self._start_after_crash(name)))

    def make_caller(self, home: int, part: str = "") -> Caller:
        """Return a caller of a VM; its requests have a part of prompts."""
        evidence, ids, configuration = self.evidence, self._ids, self._configuration
        choose = configuration.choose_line
        return Caller(self.doors, home, _HEADERS, evidence, ids, choose, part)

    def make_streams(self) -> list[Coroutine[None, None, None]]:
        """Return callers who resume their streams."""
        number = _STREAM_CALLERS_PER_VM * len(self.vms)
        evidence, ids = self.evidence, self._ids
        headers = [*_HEADERS, _AUTHORIZATION]
        return [take_streams(self.doors, headers, evidence, ids) for _ in range(number)]

    async def act(self, one: Disturbance) -> None:
        """Carry a disturbance out, to its end."""
        match one.kind:
            case _ if one.kind.value.startswith("store_"):
                await self._disturb_store(one)
            case Kind.CROWD:
                span = Word(time.monotonic())
                self.evidence.crowds.append((one.target, span))
                self.doors.crowded = one.target
                await asyncio.sleep(one.for_s)
                self.doors.crowded = None
                span.until_s = time.monotonic()
            case Kind.CONFIGURE:
                await self._configure(one.for_s, one.value)
            case Kind.READER:
                await self._freeze_reader(one.for_s)
            case Kind.LATE:
                await self._delay_answers(one.for_s)
            case Kind.PART:
                await self._send_parts(one.for_s)
            case _ if one.kind.value.startswith("vm_"):
                await self._disturb_vm(one)
            case _:
                await self._disturb_endpoint(one)

    async def _disturb_store(self, one: Disturbance) -> None:
        span = Word(time.monotonic())
        self.evidence.store.append(span)
        store = self._store
        if one.kind is Kind.STORE_HUSH:
            store.silence_connections()
        else:
            store.trouble = _TROUBLES.get(one.kind, Trouble.NONE)
            store.late_s = one.value if one.kind is Kind.STORE_SLOW else 0.0
            store.refuses_each = int(one.value) if one.kind is Kind.STORE_FLAKY else 0
            await asyncio.sleep(one.for_s)
            store.trouble, store.refuses_each, store.late_s = Trouble.NONE, 0, 0.0
        span.until_s = time.monotonic() + _SETTLED_S

    async def _configure(self, for_s: float, pace: float) -> None:
        until_s = time.monotonic() + for_s
        while time.monotonic() < until_s:
            self._change()
            if self._draw.random() < _HUP_SHARE * pace:
                self._hup_one()
            await asyncio.sleep(pace * self._draw.uniform(*_CHANGE_EVERY_S))

    def _change(self) -> None:
        for line in self._configuration.change(self._draw):
            self.watches.append(asyncio.create_task(self._ask_all(line)))

    async def _ask_all(self, line: str) -> None:
        """Ask all VMs as soon as a change must be in force."""
        await asyncio.sleep(APPLY_S + _JUST_AFTER_S)
        callers = [self.make_caller(number) for number in range(len(self.vms))]
        await asyncio.gather(*(caller.ask_once(line) for caller in callers))

    async def _freeze_reader(self, for_s: float) -> None:
        """Freeze the first VM of a data centre as versions and departures go out."""
        until_s = time.monotonic() + for_s
        while time.monotonic() < until_s:
            number = next(iter(self._calm_vms()), 0)
            vm, draw = self.vms[number], self._draw
            span = Word(time.monotonic())
            self.evidence.disturbed.setdefault(number, []).append(span)
            for _ in range(draw.randint(1, _MOST_FREEZES)):
                self._change()
                await asyncio.sleep(draw.uniform(0.0, _BETWEEN_VERSIONS_S))
                _send(vm, signal.SIGSTOP)
                self._change()
                await asyncio.sleep(draw.uniform(0.0, _BETWEEN_VERSIONS_S))
                self._change()
                target, draining_s = draw.randrange(self._plan.engines), 2.5
                leaving = Disturbance(0.0, Kind.RELEASE, target, 0.0, draining_s)
                task = asyncio.create_task(self._disturb_endpoint(leaving))
                self.watches.append(task)
                await asyncio.sleep(draw.uniform(*_READER_FROZEN_S))
                _send(vm, signal.SIGCONT)
                await asyncio.sleep(draw.uniform(*_READER_THAWED_S))
            span.until_s = time.monotonic() + _SETTLED_S
            await asyncio.sleep(draw.uniform(*_CHANGE_EVERY_S))

    async def _delay_answers(self, for_s: float) -> None:
        """Let no plain endpoint answer in time."""
        all_options = [
            endpoint.options
            for name, (endpoint, _) in self._running.items()
            if name.startswith("p")
        ]
        for options in all_options:
            options.work_ms = _LATE_MS
        await asyncio.sleep(for_s)
        for options in all_options:
            options.work_ms = _WORK_MS

    def _hup_one(self) -> None:
        """Send SIGHUP to a VM that is in order."""
        calm = self._calm_vms()
        if calm:
            self.vms[self._draw.choice(calm)].signal(signal.SIGHUP)

    def _calm_vms(self) -> list[int]:
        disturbed, now_s = self.evidence.disturbed, time.monotonic()
        return [
            number
            for number in range(len(self.vms))
            if all(span.until_s < now_s for span in disturbed.get(number, ()))
        ]

    async def _send_parts(self, for_s: float) -> None:
        callers = [
            self.make_caller(number, FATAL_PART).run()
            for number in range(len(self.vms))
            for _ in range(_FATAL_CALLERS_PER_VM)
        ]
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(for_s):
                await asyncio.gather(*callers)

    async def _disturb_vm(self, one: Disturbance) -> None:
        vm = self.vms[one.target]
        if one.kind is Kind.VM_HUP:
            vm.signal(signal.SIGHUP)
            return
        span = Word(time.monotonic(), is_planned=one.kind is Kind.VM_STOP)
        self.evidence.disturbed.setdefault(one.target, []).append(span)
        match one.kind:
            case Kind.VM_CUT:
                self.evidence.cuts.append((one.target, span))
                await self._cut_links(list(Cut)[int(one.value)], one.for_s)
            case Kind.VM_FREEZE:
                vm.signal(signal.SIGSTOP)
                await asyncio.sleep(one.for_s)
                vm.signal(signal.SIGCONT)
            case Kind.VM_STALL:
                await self._freeze_often(vm, one.for_s, _FROZEN_S, _THAWED_S)
            case Kind.VM_STARVE:
                runs_s, waits_s = _STARVED_S
                await self._freeze_often(vm, one.for_s, (waits_s,) * 2, (runs_s,) * 2)
            case _:
                self._change()
                hard = one.kind is Kind.VM_KILL
                self._ended.add(vm.process)
                vm.signal(signal.SIGKILL if hard else signal.SIGTERM)
                await vm.process.wait()
                self._change()
                await self._start_vm(vm)
        span.until_s = time.monotonic() + _SETTLED_S

    async def _freeze_often(
        self,
        vm: PlatformVm,
        for_s: float,
        frozen_s: tuple[float, float],
        thawed_s: tuple[float, float],
    ) -> None:
        until_s = time.monotonic() + for_s
        while time.monotonic() < until_s:
            _send(vm, signal.SIGSTOP)
            await asyncio.sleep(self._draw.uniform(*frozen_s))
            _send(vm, signal.SIGCONT)
            await asyncio.sleep(self._draw.uniform(*thawed_s))

    async def _start_vm(self, vm: PlatformVm) -> None:
        """Start a VM that has ended; it may be ended again before it is ready."""
        self._save_log(vm)
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
        if name not in self._running:
            return
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
            case Kind.SILENCE:
                until_s = word.from_s + one.for_s
                while time.monotonic() < until_s:
                    await endpoint.fall_silent(one.value)
                    await asyncio.sleep(self._draw.uniform(*_BETWEEN_SILENCES_S))
            case Kind.REFUSE:
                await self._start_again(name, one.for_s)
            case Kind.RELEASE | Kind.REMOVE:
                await self._release(one)
            case Kind.LEAVE:
                start.leaves_s = word.from_s
                endpoint.says["server-leaving"] = "1"
                await asyncio.sleep(one.for_s)
                await self._start_again(name)

    async def _start_again(self, name: str, down_s: float = 0.0) -> None:
        if name not in self._running:
            return
        endpoint, start = self._running[name]
        start.until_s = time.monotonic()
        await endpoint.aclose()
        await asyncio.sleep(down_s)
        if self._running.get(name, (None,))[0] is not endpoint:
            return
        service, address = self._addresses[name]
        port = int(address.rpartition(":")[2])
        await self._add(name, service, endpoint.options, port)

    async def _start_after_crash(self, name: str) -> None:
        """Start an endpoint under another id once it has crashed."""
        endpoint, start = self._running[name]
        await endpoint.ended.wait()
        start.until_s = time.monotonic()
        await asyncio.sleep(_DOWN_S)
        if self._running.get(name, (None,))[0] is endpoint:
            del self._running[name]
            await self._succeed(name, endpoint, endpoint.options)

    async def _release(self, one: Disturbance) -> None:
        """Let an engine leave, and start one of the other version in its place."""
        name = self._engines.get(one.target, f"e{one.target}")
        endpoint, start = self._running.pop(name)
        start.drains_s = time.monotonic()
        if one.kind is Kind.RELEASE:
            service, address = self._addresses[name]
            row = registered(
                endpoint, service, address, DATA_CENTRE, "draining", start.born_ms
            )
            self._store.put("servers", name, row)
        else:
            self._store.delete("servers", name)
        await asyncio.sleep(one.value)
        start.until_s = time.monotonic()
        before = endpoint.options.version
        version = next(one for one in _VERSIONS if one != before)
        options = replace(endpoint.options, version=version, broken_share=0.0)
        await self._succeed(name, endpoint, options)

    async def _succeed(
        self, name: str, endpoint: RoutedEndpoint, options: EndpointOptions
    ) -> None:
        """Start an endpoint under another id in the place of one that has ended."""
        self._store.delete("servers", name)
        await endpoint.aclose()
        service, address = self._addresses.pop(name)
        successor = f"{name}+"
        self._engines[int(name.strip("e+"))] = successor
        port = int(address.rpartition(":")[2])
        await self._add(successor, service, options, port)

    def _save_log(self, vm: PlatformVm) -> None:
        """Add the log of a VM's last start to its file in the folder for logs."""
        if self._logs is not None:
            with (self._logs / f"{vm.vm_id}.log").open("ab") as file:
                file.write(vm.log.read_bytes())

    async def aclose(self) -> None:
        for vm in self.vms:
            self._save_log(vm)
            await vm.kill()
        for link in self._links:
            await link.aclose()
        for endpoint, _ in self._running.values():
            await endpoint.aclose()
        await self._store.aclose()


def _send(vm: PlatformVm, number: signal.Signals) -> None:
    """Send a signal to a process that may have ended."""
    with contextlib.suppress(ProcessLookupError):
        vm.signal(number)


async def play(plan: Plan, logs: Path | None = None) -> Evidence:
    """Play a plan to its end; the logs of VMs go to a folder, if any."""
    world = _World(plan, logs)
    try:
        await world.start()
        await _play_in(world, plan)
    finally:
        await world.aclose()
    return world.evidence


async def _play_in(world: _World, plan: Plan) -> None:
    callers = [
        world.make_caller(number).run()
        for number in range(len(world.vms))
        for _ in range(CALLERS_PER_VM)
    ]
    callers += world.make_streams()
    tasks = [asyncio.create_task(caller) for caller in callers]
    begun_s = world.evidence.begun_s = time.monotonic()
    acting = [
        asyncio.create_task(_act_at(world, one, begun_s + one.at_s))
        for one in plan.disturbances
    ]
    await asyncio.sleep(plan.seconds)
    tasks += [*acting, *world.watches]
    for task in tasks:
        task.cancel()
    results = await asyncio.gather(*tasks, return_exceptions=True)
    for result in results:
        if isinstance(result, Exception):
            raise result


async def _act_at(world: _World, one: Disturbance, at_s: float) -> None:
    await asyncio.sleep(at_s - time.monotonic())
    await world.act(one)
