"""Watches which versions of the settings tree are in force on each VM.

It notes every step back: an older version after a newer one, over restarts of
the VM too, or a branch that a running VM has lost.
"""

from __future__ import annotations

import asyncio
from contextlib import suppress
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import aiohttp

if TYPE_CHECKING:
    from collections.abc import Sequence

    from bench.vms import Vm

_POLL_S = 0.03


@dataclass(slots=True)
class _Seen:
    incarnation: int = 0
    highest: dict[str, int] = field(default_factory=dict)
    named: set[str] = field(default_factory=set)


class VersionWatch:
    """Polls the status of VMs until it is stopped.

    Args:
        vms: Whom to watch.
    """

    def __init__(self, vms: Sequence[Vm]) -> None:
        self.steps_back: list[str] = []
        self.readings = 0
        self._seen = {vm.vm_id: _Seen() for vm in vms}
        self._tasks = [asyncio.create_task(self._watch(vm)) for vm in vms]

    async def stop(self) -> None:
        """End it."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _watch(self, vm: Vm) -> None:
        while True:
            with suppress(aiohttp.ClientError, TimeoutError):
                self._note(vm.vm_id, await vm.status())
            await asyncio.sleep(_POLL_S)

    def _note(self, vm_id: str, status: dict) -> None:
        self.readings += 1
        seen = self._seen[vm_id]
        incarnation = status["vm"]["incarnation"]
        if incarnation != seen.incarnation:
            seen.incarnation = incarnation
            seen.named = set()
        versions = status["settings"]
        for branch in seen.named - versions.keys():
            self.steps_back.append(f"{vm_id} lost {branch}")
        for branch, version in versions.items():
            highest = seen.highest.get(branch, 0)
            if version < highest:
                self.steps_back.append(f"{vm_id} {branch} {highest} -> {version}")
            seen.highest[branch] = max(highest, version)
            seen.named.add(branch)
