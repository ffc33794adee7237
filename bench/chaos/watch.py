"""Notes which settings are in force on every VM, twice a second.

A VM that does not answer, or has no settings yet, leaves no sample.
"""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

import aiohttp

from bench.chaos.records import VersionSample

if TYPE_CHECKING:
    from collections.abc import Sequence

    from bench.chaos.records import Evidence
    from bench.vms import Vm

_EVERY_S = 0.5
_TIMEOUT = aiohttp.ClientTimeout(total=1.0)


class VersionWatch:
    """Samples all VMs until it is stopped.

    Args:
        vms: VMs to ask.
        evidence: Takes the samples.
    """

    def __init__(self, vms: Sequence[Vm], evidence: Evidence) -> None:
        self._vms = vms
        self._evidence = evidence

    async def run(self) -> None:
        """Sample until cancelled."""
        async with aiohttp.ClientSession(timeout=_TIMEOUT) as session:
            while True:
                await asyncio.gather(*(self._sample(session, vm) for vm in self._vms))
                await asyncio.sleep(_EVERY_S)

    async def await_versions(self, expected: dict[str, int], until_ms: float) -> None:
        """Wait until all VMs have at least these versions, or time is over."""
        async with aiohttp.ClientSession(timeout=_TIMEOUT) as session:
            while True:
                await asyncio.gather(*(self._sample(session, vm) for vm in self._vms))
                if self._all_have(expected) or time.time() * 1000.0 > until_ms:
                    return
                await asyncio.sleep(_EVERY_S / 5)

    async def _sample(self, session: aiohttp.ClientSession, vm: Vm) -> None:
        try:
            async with session.get(f"{vm.url}/status") as response:
                status = await response.json(content_type=None)
        except (aiohttp.ClientError, TimeoutError):
            return
        versions = status.get("settings") or {}
        if not versions:
            return
        now_ms = time.time() * 1000.0
        self._evidence.samples.append(VersionSample(vm.vm_id, now_ms, versions))
        self._evidence.last_versions[vm.vm_id] = versions

    def _all_have(self, expected: dict[str, int]) -> bool:
        return all(
            self._evidence.last_versions.get(vm.vm_id, {}).get(branch, -1) >= version
            for vm in self._vms
            for branch, version in expected.items()
        )
