"""Ended jobs: out of the scanned rows after a while, deleted in the end.

The scan for open jobs stays short however many have ended.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from pomelolane.exceptions import PlatformError

if TYPE_CHECKING:
    from pomelolane.jobs.record import JobRecord, StoredJob
    from pomelolane.jobs.settings import JobSettings
    from pomelolane.jobs.store import JobStore
    from pomelolane.ports import Clock

ARCHIVED_AT_ONCE = 100
_PARTS = 256


class JobKeeper:
    """Archives and deletes ended jobs, a few at a time.

    Args:
        store: Where jobs are.
        wall: Time of day.
        settings: The runner's settings.
    """

    def __init__(self, store: JobStore, wall: Clock, settings: JobSettings) -> None:
        self._store = store
        self._wall = wall
        self._settings = settings
        self._part = 0

    async def tidy(self, open_jobs: list[StoredJob]) -> None:
        """Archive what has ended, and delete one part of what is over."""
        due = [job for job in open_jobs if self._is_due(job.record)]
        try:
            await self._store.archive(due[:ARCHIVED_AT_ONCE])
            kept = await self._store.scan_kept(f"{self._part:02x}")
            await self._store.forget([job for job in kept if self._is_over(job.record)])
            if self._part == 0:
                over_ms = self._wall.now_ms() - self._settings.retention_ms
                await self._store.forget_beats(over_ms)
        except PlatformError:
            return
        self._part = (self._part + 1) % _PARTS

    def _is_due(self, record: JobRecord) -> bool:
        return (
            record.is_final and self._age_ms(record) > self._settings.archive_after_ms
        )

    def _is_over(self, record: JobRecord) -> bool:
        return self._age_ms(record) > self._settings.retention_ms

    def _age_ms(self, record: JobRecord) -> float:
        return self._wall.now_ms() - record.ended_wall_ms
