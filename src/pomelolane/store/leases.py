"""Leases with fencing numbers, kept as rows of the platform's table.

A holder judges its lease by its own monotonic clock, counted from before the
write was sent; a successor counts from when it first saw the row, so that
clocks of two VMs are never compared.
"""

from __future__ import annotations

import uuid
from dataclasses import dataclass
from typing import TYPE_CHECKING

import msgspec

from pomelolane.events import LEASE_LOST, LEASE_TAKEN
from pomelolane.exceptions import CommitUnknownError, LeaseLostError
from pomelolane.logs import log_event
from pomelolane.ports import Write

if TYPE_CHECKING:
    from pomelolane.ports import Clock, Table

LEASE_PREFIX = "leases/"
DEFAULT_LEASE_MS = 10_000.0
DEFAULT_LONGEST_PAUSE_MS = 30_000.0

_COMMIT_TRIES = 3


class LeaseRow(msgspec.Struct, frozen=True):
    """A lease as it stands in the table.

    Attributes:
        holder: VM that holds or held it.
        token: Token of the holding.
        fencing: Grows by one with each holding.
        duration_ms: How long it holds without being renewed.
        released: Whether its holder gave it back.
        renewals: Grows with each renewal, so that each write differs.
    """

    holder: str
    token: str
    fencing: int
    duration_ms: float
    released: bool = False
    renewals: int = 0


@dataclass(frozen=True, slots=True)
class _Seen:
    version: int
    at_ms: float


class Lease:
    """A lease that this VM took.

    Args:
        name: Name of the lease.
        row: Its row.
        version: The row's version.
        expires_at_ms: End of it by this VM's clock.
        safe_after_ms: When endpoints that ignore fencing may get orders.
        clock: This VM's clock.
    """

    def __init__(
        self,
        name: str,
        row: LeaseRow,
        version: int,
        expires_at_ms: float,
        safe_after_ms: float,
        clock: Clock,
    ) -> None:
        self.name = name
        self.row = row
        self.version = version
        self.expires_at_ms = expires_at_ms
        self.safe_after_ms = safe_after_ms
        self._clock = clock

    @property
    def fencing(self) -> int:
        """Number to send with each order."""
        return self.row.fencing

    @property
    def is_held(self) -> bool:
        """Whether it still holds at this moment."""
        return not self.row.released and self._clock.now_ms() < self.expires_at_ms

    def check(self) -> None:
        """Make sure that the lease holds, immediately before an order.

        Raises:
            LeaseLostError: It lapsed, e.g. while this process was paused.
        """
        if not self.is_held:
            log_event(LEASE_LOST, lease=self.name, fencing=self.fencing)
            raise LeaseLostError(f"lease {self.name} has lapsed")

    def safe_to_order_after(self) -> float:
        """Return how long to wait, in ms, before ordering without fencing.

        A holder before this one may have been paused between its check and
        its order. An endpoint that ignores fencing numbers would take that
        order, so the successor first waits the longest pause out.
        """
        return max(0.0, self.safe_after_ms - self._clock.now_ms())


class Leases:
    """Takes, renews and releases leases.

    Args:
        table: The platform's table.
        vm_id: This VM.
        clock: Monotonic clock.
        duration_ms: How long a lease holds without being renewed.
        longest_pause_ms: Longest time that a process is expected to be paused.
    """

    def __init__(
        self,
        table: Table,
        vm_id: str,
        clock: Clock,
        *,
        duration_ms: float = DEFAULT_LEASE_MS,
        longest_pause_ms: float = DEFAULT_LONGEST_PAUSE_MS,
    ) -> None:
        self._table = table
        self._vm_id = vm_id
        self._clock = clock
        self._duration_ms = duration_ms
        self._longest_pause_ms = longest_pause_ms
        self._seen: dict[str, _Seen] = {}

    async def acquire(self, name: str) -> Lease | None:
        """Take a lease that is free, or that has stood unchanged long enough.

        Returns:
            The lease, or None while another holder may have it.

        Raises:
            PlatformError: Not known to be taken; nothing may be ordered.
        """
        found = await self._table.read(LEASE_PREFIX + name)
        if not found:
            return await self._take(name, 0, self._row(1), self._clock.now_ms())
        row = msgspec.json.decode(found.value, type=LeaseRow)
        free_at_ms = self._free_at_ms(name, row, found.version)
        if self._clock.now_ms() < free_at_ms:
            return None
        safe_after_ms = free_at_ms
        if not row.released:
            safe_after_ms += self._longest_pause_ms
        return await self._take(
            name, found.version, self._row(row.fencing + 1), safe_after_ms
        )

    async def renew(self, lease: Lease) -> None:
        """Prolong a lease from now on.

        Raises:
            LeaseLostError: It lapsed or went to another holder.
            PlatformError: Not known to be renewed; it ends when it did before.
        """
        lease.check()
        row = msgspec.structs.replace(lease.row, renewals=lease.row.renewals + 1)
        sent_ms = self._clock.now_ms()
        version = await self._write(lease.name, lease.version, row)
        if not version:
            lease.expires_at_ms = float("-inf")
            lease.check()
        lease.row, lease.version = row, version
        lease.expires_at_ms = sent_ms + row.duration_ms

    async def release(self, lease: Lease) -> None:
        """Give a lease back; its holder must have no order under way.

        Raises:
            PlatformError: Not known to be released; it lapses by itself.
        """
        lease.expires_at_ms = float("-inf")
        row = msgspec.structs.replace(lease.row, released=True)
        await self._write(lease.name, lease.version, row)

    def _row(self, fencing: int) -> LeaseRow:
        return LeaseRow(self._vm_id, uuid.uuid4().hex, fencing, self._duration_ms)

    def _free_at_ms(self, name: str, row: LeaseRow, version: int) -> float:
        now_ms = self._clock.now_ms()
        seen = self._seen.get(name)
        if seen is None or seen.version != version:
            seen = _Seen(version, now_ms)
            self._seen[name] = seen
        return seen.at_ms if row.released else seen.at_ms + row.duration_ms

    async def _take(
        self, name: str, version: int, row: LeaseRow, safe_after_ms: float
    ) -> Lease | None:
        sent_ms = self._clock.now_ms()
        new_version = await self._write(name, version, row)
        if not new_version:
            return None
        self._seen.pop(name, None)
        log_event(LEASE_TAKEN, lease=name, fencing=row.fencing)
        expires_at_ms = sent_ms + row.duration_ms
        return Lease(name, row, new_version, expires_at_ms, safe_after_ms, self._clock)

    async def _write(self, name: str, version: int, row: LeaseRow) -> int:
        """Write a row on its version; read back where the reply was lost.

        Returns:
            The new version, 0 where another writer was first.
        """
        key = LEASE_PREFIX + name
        value = msgspec.json.encode(row)
        for _ in range(_COMMIT_TRIES):
            try:
                results = await self._table.commit([Write(key, value, version)])
            except CommitUnknownError:
                results = ()
            if results and results[0].applied:
                return results[0].version
            standing = await self._table.read(key)
            if standing and standing.value == value:
                return standing.version
            if results or (standing and standing.version != version):
                return 0
        raise CommitUnknownError(f"lease {name} is in doubt")


def make_leases(
    table: Table,
    vm_id: str,
    clock: Clock,
    *,
    duration_ms: float = DEFAULT_LEASE_MS,
    longest_pause_ms: float = DEFAULT_LONGEST_PAUSE_MS,
) -> Leases:
    """Make a VM's leases; see :class:`Leases`."""
    return Leases(
        table,
        vm_id,
        clock,
        duration_ms=duration_ms,
        longest_pause_ms=longest_pause_ms,
    )
