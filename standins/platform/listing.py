"""The platform's lagging list of VMs and endpoints.

It tells what was true a settable time ago, never what is.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

import msgspec


@dataclass(frozen=True, slots=True)
class ListedMachine:
    """One line of the list.

    Attributes:
        vm_id: VM or endpoint id.
        data_centre: Where it stands.
        address: ``ip:port``.
        leaving: Whether it was marked as leaving.
    """

    vm_id: str
    data_centre: str
    address: str
    leaving: bool = False


class MachineList(msgspec.Struct, frozen=True):
    """The whole list, as it is set and read over HTTP."""

    vms: tuple[ListedMachine, ...]


class LaggingList:
    """Shows each state of the list only when it is old enough."""

    def __init__(self, lag_ms: float) -> None:
        self.lag_ms = lag_ms
        self._visible: tuple[ListedMachine, ...] = ()
        self._pending: deque[tuple[float, tuple[ListedMachine, ...]]] = deque()

    def set(self, machines: tuple[ListedMachine, ...], now_ms: float) -> None:
        """Record the list as it is from now on."""
        self._pending.append((now_ms, machines))

    def read(self, now_ms: float) -> tuple[ListedMachine, ...]:
        """Return the list as it was ``lag_ms`` ago."""
        while self._pending and self._pending[0][0] + self.lag_ms <= now_ms:
            self._visible = self._pending.popleft()[1]
        return self._visible


__all__ = ["LaggingList", "ListedMachine", "MachineList"]
