"""Deletes claims whose retention is over, a part of the key space at a time.

The parts keep a sweep's reads small however many claims there are.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from pomelolane.events import ROWS_SWEPT
from pomelolane.exceptions import PlatformError
from pomelolane.logs import log_event
from pomelolane.ports import Write
from pomelolane.store.claims import CLAIM_PREFIX, CLAIMED, decode_claim, reserved_job

if TYPE_CHECKING:
    from collections.abc import Sequence

    from pomelolane.ports import Clock, ObjectStore, Row, Table

DEFAULT_RETENTION_MS = 48 * 3600 * 1000.0
DEFAULT_SWEEP_INTERVAL_MS = 30_000.0

_PARTS = 256
# A claim without an end belongs to a job or to a holder that is gone; it is
# kept longer, since its key must not run again while a caller may repeat it.
_OPEN_FACTOR = 2.0


class ClaimSweeper:
    """Deletes old claims.

    Args:
        table: The platform's table.
        objects: Where kept answers are.
        wall: Time of day.
        retention_ms: How long an ended claim is kept.
    """

    def __init__(
        self,
        table: Table,
        objects: ObjectStore,
        wall: Clock,
        *,
        retention_ms: float = DEFAULT_RETENTION_MS,
    ) -> None:
        self._table = table
        self._objects = objects
        self._wall = wall
        self._retention_ms = retention_ms

    async def run(self, interval_ms: float = DEFAULT_SWEEP_INTERVAL_MS) -> None:
        """Sweep one part of the key space after the other, for ever."""
        part = 0
        while True:
            await asyncio.sleep(interval_ms / 1000.0)
            try:
                await self.sweep(f"{CLAIM_PREFIX}{part:02x}")
            except PlatformError:
                continue
            part = (part + 1) % _PARTS

    async def sweep(self, prefix: str) -> int:
        """Delete what is over under a prefix.

        Returns:
            How many rows were deleted.

        Raises:
            PlatformError: The table does not answer; nothing is lost by it.
        """
        rows = self._over(await self._table.scan(prefix))
        if not rows:
            return 0
        for row in rows:
            await self._forget_answer(row)
        writes = [Write(row.key, None, row.version) for row in rows]
        results = await self._table.commit(writes, atomic=False)
        deleted = sum(result.applied for result in results)
        log_event(ROWS_SWEPT, prefix=prefix, rows=deleted)
        return deleted

    async def _forget_answer(self, row: Row) -> None:
        record = decode_claim(row).record
        if record.answer_object and not reserved_job(record):
            await self._objects.delete(record.answer_object)

    def _over(self, rows: Sequence[Row]) -> list[Row]:
        now_ms = self._wall.now_ms()
        return [row for row in rows if self._ends_at_ms(row) < now_ms]

    def _ends_at_ms(self, row: Row) -> float:
        claim = decode_claim(row)
        is_open = claim.record.state == CLAIMED
        factor = _OPEN_FACTOR if is_open else 1.0
        return claim.written_at_ms + self._retention_ms * factor
