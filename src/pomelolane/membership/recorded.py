"""Operators' marks of leaving endpoints, stored in the platform's table.

Stored marks reach data centres that are partitioned from the others, and survive the VM
that received the operator's request.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Protocol

import msgspec

from pomelolane.exceptions import PlatformError
from pomelolane.ports import Write

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from pomelolane.ports import Clock, Row, Table

MARK_PREFIX = "leaving/"
RECORD_SOURCE = "record"
POLL_INTERVAL_S = 1.0
UNDECLARED_RETENTION_MS = 60_000.0
"""How long the mark of an endpoint that is not declared is kept: longer than any
VM's settings can be out of date."""


class _Mark(msgspec.Struct, frozen=True):
    vm_id: str
    marked_wall_ms: float


class MarkingMember(Protocol):
    """Required interface of a :class:`~pomelolane.membership.Member`."""

    @property
    def vm_id(self) -> str:
        """Id of this VM."""

    @property
    def is_delegate(self) -> bool:
        """Whether this VM is a delegate of its data centre."""

    def mark_leaving(self, endpoint_id: str, source: str) -> None:
        """Mark an endpoint as leaving and broadcast the mark."""

    def clear_leaving(self, endpoint_id: str) -> None:
        """Remove a mark that this VM made."""


class RecordedMarks:
    """Writes marks to the table and, on a delegate, applies those of all VMs.

    Args:
        table: Table that stores the marks.
        member: Member to which the stored marks are applied.
        may_exist: Returns False for an endpoint that the settings do not declare, True
            also while they are not known.
        wall: Wall clock, for dropping marks of undeclared endpoints.
    """

    def __init__(
        self,
        table: Table,
        member: MarkingMember,
        may_exist: Callable[[str], bool],
        wall: Clock,
    ) -> None:
        self._table = table
        self._member = member
        self._may_exist = may_exist
        self._wall = wall
        self._recorded_here: set[str] = set()
        self._applied: set[str] = set()

    async def record(self, endpoint_id: str) -> None:
        """Write an operator's mark, retrying until the platform accepts it."""
        self._recorded_here.add(endpoint_id)
        mark = _Mark(self._member.vm_id, self._wall.now_ms())
        write = Write(MARK_PREFIX + endpoint_id, msgspec.json.encode(mark), None)
        while True:
            try:
                await self._table.commit([write], atomic=True)
            except PlatformError:
                await asyncio.sleep(POLL_INTERVAL_S)
            else:
                return

    async def run(self) -> None:
        """Poll until cancelled."""
        while True:
            await self.read()
            await asyncio.sleep(POLL_INTERVAL_S)

    async def read(self) -> None:
        """Poll once.

        A VM that is no delegate does not read the table, and clears the marks that it
        applied from the table as a delegate.
        """
        self._clear_undeclared_here()
        if not self._member.is_delegate:
            self._apply(set())
            return
        try:
            rows = await self._table.scan(MARK_PREFIX)
            self._apply({_endpoint_of(row) for row in rows})
            await self._drop_undeclared(rows)
        except PlatformError:
            return

    def _apply(self, recorded: set[str]) -> None:
        for endpoint_id in sorted(recorded - self._applied):
            self._member.mark_leaving(endpoint_id, RECORD_SOURCE)
        for endpoint_id in sorted(self._applied - recorded):
            self._member.clear_leaving(endpoint_id)
        self._applied = recorded

    def _clear_undeclared_here(self) -> None:
        """Clear marks recorded by this VM whose endpoints are no longer declared."""
        for endpoint_id in sorted(self._recorded_here):
            if not self._may_exist(endpoint_id):
                self._recorded_here.remove(endpoint_id)
                self._member.clear_leaving(endpoint_id)

    async def _drop_undeclared(self, rows: Sequence[Row]) -> None:
        before_ms = self._wall.now_ms() - UNDECLARED_RETENTION_MS
        writes = [
            Write(row.key, None, row.version)
            for row in rows
            if not self._may_exist(_endpoint_of(row))
            and _marked_wall_ms(row) < before_ms
        ]
        if writes:
            await self._table.commit(writes, atomic=False)


def _endpoint_of(row: Row) -> str:
    return row.key.removeprefix(MARK_PREFIX)


def _marked_wall_ms(row: Row) -> float:
    return msgspec.json.decode(row.value, type=_Mark).marked_wall_ms
