"""Callers behind a balancer that goes by ``/readyz``, as the platform's does.

It checks each VM at an interval, sends to the ready ones in turn and repeats
nothing, so that every call a VM cuts or refuses is seen.
"""

from __future__ import annotations

import asyncio
from contextlib import suppress
from typing import TYPE_CHECKING

from bench.caller import Caller, CallRecord
from bench.processes import wait_until

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Sequence

    from bench.cluster import Cluster
    from bench.vms import Vm

    Call = Callable[[Vm], Awaitable[CallRecord]]

CHECK_S = 0.2
_POLL_S = 0.01
_KNOWN_S = 30.0


class Balancer:
    """Knows which VMs are ready and chooses among them.

    Args:
        vms: All VMs.
        check_s: Interval between two checks of one VM.
    """

    def __init__(self, vms: Sequence[Vm], check_s: float = CHECK_S) -> None:
        self._vms = list(vms)
        self._check_s = check_s
        self._ready: dict[str, bool] = {}
        self._turn = 0
        self._tasks = [asyncio.create_task(self._watch(vm)) for vm in self._vms]

    async def pick(self) -> Vm:
        """Return the next ready VM, and wait for one where there is none."""
        while True:
            ready = [vm for vm in self._vms if self._ready.get(vm.vm_id)]
            if ready:
                self._turn += 1
                return ready[self._turn % len(ready)]
            await asyncio.sleep(_POLL_S)

    async def knows_ready(self, vm: Vm) -> None:
        """Wait until calls are sent to a VM."""
        message = f"{vm.vm_id} was never found ready"
        await wait_until(lambda: self._ready.get(vm.vm_id), _KNOWN_S, message)

    async def close(self) -> None:
        """End the checks."""
        await _end(self._tasks)

    async def _watch(self, vm: Vm) -> None:
        while True:
            self._ready[vm.vm_id] = await vm.is_ready()
            await asyncio.sleep(self._check_s)


class Crowd:
    """Callers that call again and again until they are told to stop.

    Args:
        balancer: Says whom to call.

    Attributes:
        records: What the calls got, by name of the caller.
    """

    def __init__(self, balancer: Balancer) -> None:
        self._balancer = balancer
        self._tasks: list[asyncio.Task[None]] = []
        self._stopping = False
        self.records: dict[str, list[CallRecord]] = {}

    def add(self, name: str, call: Call, *, callers: int, pause_s: float = 0.0) -> None:
        """Start callers that make one call after another."""
        self.records.setdefault(name, [])
        self._tasks += [
            asyncio.create_task(self._repeat(name, call, pause_s))
            for _ in range(callers)
        ]

    async def finish(self) -> None:
        """Begin no further call and wait for the ends of all."""
        self._stopping = True
        await asyncio.gather(*self._tasks)

    async def close(self) -> None:
        """End all callers at once."""
        await _end(self._tasks)

    async def _repeat(self, name: str, call: Call, pause_s: float) -> None:
        while not self._stopping:
            self.records[name].append(await call(await self._balancer.pick()))
            await asyncio.sleep(pause_s)


class CallLoop:
    """Callers of one place that call again and again.

    Args:
        call: Makes one call.
        callers: Calls at one time.

    Attributes:
        records: What the calls got.
    """

    def __init__(self, call: Callable[[], Awaitable[CallRecord]], callers: int) -> None:
        self._call = call
        self.records: list[CallRecord] = []
        self._tasks = [asyncio.create_task(self._repeat()) for _ in range(callers)]

    async def close(self) -> None:
        """End all callers at once."""
        await _end(self._tasks)

    async def _repeat(self) -> None:
        while True:
            self.records.append(await self._call())
            await asyncio.sleep(_POLL_S)


def balanced_caller(cluster: Cluster) -> tuple[Balancer, Crowd, Caller]:
    """Return a balancer over a cluster, callers behind it, and their pool."""
    balancer = Balancer(cluster.vms)
    return balancer, Crowd(balancer), Caller()


async def _end(tasks: Sequence[asyncio.Task[None]]) -> None:
    for task in tasks:
        task.cancel()
    for task in tasks:
        with suppress(asyncio.CancelledError):
            await task
