"""Stands for the platform's balancer: it picks VMs that are not known to be down.

A killed or draining VM is known at once, a frozen one is not.
"""

from __future__ import annotations

import asyncio
from collections import defaultdict
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

    from bench.vms import Vm


class Balancer:
    """Knows which VMs take callers.

    Args:
        vms: All VMs.
    """

    def __init__(self, vms: Sequence[Vm]) -> None:
        self._vms = tuple(vms)
        self.down: set[str] = set()
        self.frozen: set[str] = set()
        self.locks: dict[str, asyncio.Lock] = defaultdict(asyncio.Lock)

    def pick(self, number: int) -> Vm:
        """Return a VM, the one of that number if it takes callers."""
        count = len(self._vms)
        for step in range(count):
            vm = self._vms[(number + step) % count]
            if vm.vm_id not in self.down:
                return vm
        return self._vms[number % count]

    def responsive(self) -> list[Vm]:
        """Return the VMs that are neither down nor frozen."""
        unable = self.down | self.frozen
        return [vm for vm in self._vms if vm.vm_id not in unable]
