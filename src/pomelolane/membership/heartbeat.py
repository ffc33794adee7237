"""Failure detection by heartbeats for the VMs of this data centre.

A VM is alive while it is heard at least every :data:`HEARTBEAT_TIMEOUT_MS`, whatever
the delays of other VMs are.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from pomelolane.membership.hashing import hash_of_heartbeat

if TYPE_CHECKING:
    from collections.abc import Iterator

    from pomelolane.messages import Heartbeat

HEARTBEAT_INTERVAL_MS = 500.0
HEARTBEAT_TIMEOUT_MS = 1600.0


@dataclass(slots=True)
class _Record:
    heartbeat: Heartbeat
    state_hash: int
    heard_ms: float


class HeartbeatTable:
    """Last heartbeat of each live VM; the caller passes in the time."""

    def __init__(self) -> None:
        self._records: dict[str, _Record] = {}

    def __contains__(self, vm_id: str) -> bool:
        return vm_id in self._records

    def __len__(self) -> int:
        return len(self._records)

    def heartbeats(self) -> Iterator[Heartbeat]:
        """Return the last heartbeat of each live VM."""
        return (record.heartbeat for record in self._records.values())

    def find(self, vm_id: str) -> Heartbeat | None:
        """Return a live VM's last heartbeat."""
        record = self._records.get(vm_id)
        return record.heartbeat if record else None

    def put(self, heartbeat: Heartbeat, now_ms: float) -> bool:
        """Record a full heartbeat.

        Returns:
            Whether the VM is new or was restarted.
        """
        known = self._records.get(heartbeat.vm_id)
        if known and known.heartbeat.incarnation > heartbeat.incarnation:
            return False
        if heartbeat.stopped:
            self._records.pop(heartbeat.vm_id, None)
            return False
        state_hash = hash_of_heartbeat(heartbeat)
        self._records[heartbeat.vm_id] = _Record(heartbeat, state_hash, now_ms)
        return not known or known.heartbeat.incarnation < heartbeat.incarnation

    def confirm(self, vm_id: str, state_hash: int, now_ms: float) -> bool:
        """Record a pulse; return False if the last heartbeat has another hash."""
        record = self._records.get(vm_id)
        if record is None:
            return False
        record.heard_ms = now_ms
        return record.state_hash == state_hash

    def expire(self, now_ms: float) -> dict[str, float]:
        """Drop the silent VMs and return each one's silence in ms."""
        silent = {
            vm_id: now_ms - record.heard_ms
            for vm_id, record in self._records.items()
            if now_ms - record.heard_ms > HEARTBEAT_TIMEOUT_MS
        }
        for vm_id in silent:
            del self._records[vm_id]
        return silent

    def restart_timeouts(self, now_ms: float) -> None:
        """Restart all silence timeouts, after a pause of this process."""
        for record in self._records.values():
            record.heard_ms = now_ms

    def all_heard_after(self, moment_ms: float) -> bool:
        """Return whether every VM was heard after a time; False for none."""
        records = self._records.values()
        return bool(records) and all(each.heard_ms > moment_ms for each in records)
