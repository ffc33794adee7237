"""Carries out the faults of a schedule on a running cluster.

Each fault is one task that begins it, waits and ends it again.
"""

from __future__ import annotations

import asyncio
import time
from contextlib import suppress
from typing import TYPE_CHECKING

import aiohttp

from bench.chaos.operators import race_for_branch
from bench.chaos.records import FaultRecord
from bench.chaos.schedule import FaultKind
from bench.processes import BenchError

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Sequence

    from bench.chaos.balancer import Balancer
    from bench.chaos.records import Evidence
    from bench.chaos.schedule import Fault
    from bench.cluster import Cluster
    from bench.vms import Vm

_READY_S = 30.0
_EXIT_S = 40.0
_ENDPOINT_FAULTS = {
    FaultKind.ENDPOINT_DIE: ("die", True, False),
    FaultKind.ENDPOINT_FREEZE: ("frozen", True, False),
    FaultKind.ENDPOINT_PAUSE: ("frozen", True, False),
    FaultKind.ENDPOINT_REFUSE: ("refuse", True, False),
}
_HEALTHY_ENDPOINT = {"die": False, "frozen": False, "refuse": False, "slowdown": 1.0}
_HEALTHY_PLATFORM = {"outage": False, "delay_ms": 0, "lose_replies": 0}
_UNREACHABLE = (aiohttp.ClientError, TimeoutError, BenchError)


class Actors:
    """Carries out faults and heals them.

    Args:
        cluster: What they hit.
        balancer: Told of VMs that stop taking callers.
        evidence: Takes what was done.
    """

    def __init__(
        self, cluster: Cluster, balancer: Balancer, evidence: Evidence
    ) -> None:
        self._cluster = cluster
        self._balancer = balancer
        self._evidence = evidence
        self._healing = asyncio.Event()
        self._listed_leaving: list[str] = []
        self._stops: list[asyncio.Task[None]] = []

    async def run(self, faults: Sequence[Fault], started_at: float) -> None:
        """Carry out all faults at their times (on the loop's clock)."""
        await asyncio.gather(*(self._run_one(fault, started_at) for fault in faults))

    async def heal(self) -> None:
        """End all faults and wait until every VM serves again."""
        self._healing.set()
        cluster = self._cluster
        await cluster.heal()
        await cluster.platform.control(**_HEALTHY_PLATFORM)
        for endpoint in cluster.endpoints:
            await endpoint.control(**_HEALTHY_ENDPOINT)
        self._evidence.healed_at_ms = _unix_ms()
        await asyncio.gather(*(self._await_ready(vm) for vm in cluster.vms))

    async def _run_one(self, fault: Fault, started_at: float) -> None:
        loop = asyncio.get_running_loop()
        await asyncio.sleep(max(0.0, started_at + fault.at_s - loop.time()))
        record = FaultRecord(fault, fault.target, _unix_ms())
        self._evidence.faults.append(record)
        try:
            await self._action(fault.kind)(record)
        except _UNREACHABLE as error:
            record.note = f"{type(error).__name__}: {error}"
        record.ended_at_ms = _unix_ms()

    def _action(self, kind: FaultKind) -> Callable[[FaultRecord], Awaitable[None]]:
        actions = {
            FaultKind.VM_KILL: self._kill,
            FaultKind.SCHEDULER_KILL: self._kill,
            FaultKind.VM_FREEZE: self._freeze,
            FaultKind.SCHEDULER_FREEZE: self._freeze,
            FaultKind.VM_DRAIN: self._drain,
            FaultKind.CUT: self._cut,
            FaultKind.PLATFORM_CUT: self._cut,
            FaultKind.PLATFORM_OUTAGE: self._platform_fault,
            FaultKind.PLATFORM_SLOW: self._platform_fault,
            FaultKind.PLATFORM_LOST_REPLIES: self._platform_fault,
            FaultKind.ENDPOINT_SLOW: self._slow_endpoint,
            FaultKind.LEAVING_SAID: self._say_leaving,
            FaultKind.LEAVING_LISTED: self._list_leaving,
            FaultKind.LEAVING_ORDERED: self._order_leaving,
            FaultKind.OPERATORS_RACE: self._race,
        }
        return actions.get(kind, self._endpoint_fault)

    async def _kill(self, record: FaultRecord) -> None:
        vm = await self._find_vm(record)
        async with self._balancer.locks[vm.vm_id]:
            record.began_at_ms = _unix_ms()
            vm.kill()
            self._balancer.down.add(vm.vm_id)
            await asyncio.sleep(record.fault.lasts_s)
            vm.spawn()
            await self._take_back(vm)

    async def _freeze(self, record: FaultRecord) -> None:
        vm = await self._find_vm(record)
        async with self._balancer.locks[vm.vm_id]:
            record.began_at_ms = _unix_ms()
            vm.freeze()
            self._balancer.frozen.add(vm.vm_id)
            await asyncio.sleep(record.fault.lasts_s)
            vm.thaw()
            self._balancer.frozen.discard(vm.vm_id)

    async def _drain(self, record: FaultRecord) -> None:
        vm = self._cluster.vm(record.target)
        async with self._balancer.locks[vm.vm_id]:
            self._balancer.down.add(vm.vm_id)
            record.began_at_ms = _unix_ms()
            vm.terminate()
            name = f"{vm.vm_id} at {record.fault.at_s:.2f} s"
            self._evidence.drained[name] = None
            # It may have to wait for streams of engines that are not healed yet.
            try:
                self._evidence.drained[name] = await vm.wait_exit(_EXIT_S)
            except BenchError:
                vm.kill()
            record.ended_at_ms = _unix_ms()
            vm.spawn()
            await self._take_back(vm)

    async def _cut(self, record: FaultRecord) -> None:
        fault, network = record.fault, self._cluster.network
        await network.set_between(fault.target, fault.other, mode="cut")
        await asyncio.sleep(fault.lasts_s)
        await network.set_between(fault.target, fault.other, mode="pass")

    async def _platform_fault(self, record: FaultRecord) -> None:
        fault, platform = record.fault, self._cluster.platform
        if fault.kind is FaultKind.PLATFORM_LOST_REPLIES:
            await platform.control(lose_replies=int(fault.amount))
            return
        if fault.kind is FaultKind.PLATFORM_SLOW:
            begin, end = {"delay_ms": fault.amount}, {"delay_ms": 0}
        else:
            begin, end = {"outage": True}, {"outage": False}
        await platform.control(**begin)
        await asyncio.sleep(fault.lasts_s)
        await platform.control(**end)

    async def _endpoint_fault(self, record: FaultRecord) -> None:
        name, begin, end = _ENDPOINT_FAULTS[record.fault.kind]
        endpoint = self._cluster.endpoint(record.target)
        await endpoint.control(**{name: begin})
        await asyncio.sleep(record.fault.lasts_s)
        await endpoint.control(**{name: end})

    async def _slow_endpoint(self, record: FaultRecord) -> None:
        endpoint = self._cluster.endpoint(record.target)
        await endpoint.control(slowdown=record.fault.amount)
        await asyncio.sleep(record.fault.lasts_s)
        await endpoint.control(slowdown=1.0)

    async def _say_leaving(self, record: FaultRecord) -> None:
        await self._cluster.endpoint(record.target).control(leaving=True)
        record.began_at_ms = _unix_ms()

    async def _list_leaving(self, record: FaultRecord) -> None:
        self._listed_leaving.append(record.target)
        await self._cluster.list_vms(leaving=self._listed_leaving)
        record.began_at_ms = _unix_ms()

    async def _order_leaving(self, record: FaultRecord) -> None:
        endpoint = self._cluster.endpoint(record.target)
        team = self._team_of(endpoint.plan.service)
        headers = {"Authorization": f"Bearer {self._cluster.operator_key(team)}"}
        vms = self._balancer.responsive()
        path = f"/admin/endpoints/{record.target}/leaving"
        timeout = aiohttp.ClientTimeout(total=5.0)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            for vm in sorted(vms, key=lambda vm: vm.vm_id != record.fault.other):
                with suppress(aiohttp.ClientError, TimeoutError):
                    async with session.post(vm.url + path, headers=headers) as answer:
                        if answer.status == 202:
                            record.began_at_ms = _unix_ms()
                            return
        raise BenchError("no VM took the order")

    async def _race(self, record: FaultRecord) -> None:
        vms = self._balancer.responsive()
        key = self._cluster.operator_key(record.target)
        urls = [vms[0].url, vms[-1].url]
        puts = await race_for_branch(urls, key, record.target, record.fault.number)
        self._evidence.puts.extend(puts)

    async def _find_vm(self, record: FaultRecord) -> Vm:
        if record.fault.kind.startswith("scheduler_"):
            record.target = await self._find_scheduler(record.fault.target)
        return self._cluster.vm(record.target)

    async def _find_scheduler(self, service: str) -> str:
        for vm in self._balancer.responsive():
            with suppress(*_UNREACHABLE):
                status = await vm.status()
                found = status["roles"]["services"].get(service)
                if found:
                    return found
        raise BenchError(f"nobody knows the scheduler of {service}")

    async def _take_back(self, vm: Vm) -> None:
        with suppress(BenchError):
            await vm.wait_ready(_READY_S)
        self._balancer.down.discard(vm.vm_id)

    async def _await_ready(self, vm: Vm) -> None:
        try:
            async with asyncio.timeout(_EXIT_S + _READY_S):
                async with self._balancer.locks[vm.vm_id]:
                    await vm.wait_ready(_READY_S)
        except (BenchError, TimeoutError) as error:
            self._evidence.not_ready.append(f"{vm.vm_id}: {error}")

    def _team_of(self, service: str) -> str:
        for team, branch in self._cluster.deployment.branches.items():
            names = [item["name"] for item in branch.get("services") or ()]
            if service in names:
                return team
        raise BenchError(f"no team declares {service}")


def _unix_ms() -> float:
    return time.time() * 1000.0
