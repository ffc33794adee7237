"""Jobs in the platform: bodies and answers as objects, records as rows.

Each change is a compare-and-set that is read back when its reply was lost, so
a change is reported only when it is certain.
"""

from __future__ import annotations

import contextlib
from dataclasses import replace
from typing import TYPE_CHECKING

from pomelolane.exceptions import CommitUnknownError
from pomelolane.jobs.liveness import BEAT_PREFIX, decode_beat
from pomelolane.jobs.record import (
    KEPT_PREFIX,
    OPEN_PREFIX,
    StoredJob,
    decode_job,
    encode_job,
    kept_key,
    open_key,
)
from pomelolane.ports import Write
from pomelolane.sentinels import NOT_FOUND

if TYPE_CHECKING:
    from collections.abc import Sequence

    from pomelolane.jobs.changes import Change
    from pomelolane.jobs.record import JobRecord
    from pomelolane.ports import ObjectStore, Row, Table
    from pomelolane.sentinels import Missing
    from pomelolane.store import Committer

SCAN_LIMIT = 1000
_CHANGE_TRIES = 8
_HEX_DIGITS = "0123456789abcdef"


class JobStore:
    """Reads and changes jobs.

    Args:
        table: For reading and archiving.
        committer: For single writes, shared with the claims.
        objects: For bodies and answers.
        region: Region whose jobs these are.
    """

    def __init__(
        self, table: Table, committer: Committer, objects: ObjectStore, region: str
    ) -> None:
        self.region = region
        self.objects = objects
        self._table = table
        self._committer = committer

    # --- reading

    async def read(self, job_id: str) -> StoredJob | Missing:
        """Read a job, archived or not.

        Raises:
            PlatformError: The table does not answer.
        """
        # A job moves from open to kept in one transaction and never back, so
        # that this order of reading cannot miss it.
        for key in (open_key(self.region, job_id), kept_key(self.region, job_id)):
            row = await self._table.read(key)
            if row:
                return _stored(row)
        return NOT_FOUND

    async def scan_open(self) -> list[StoredJob]:
        """Read all jobs that are not archived, the longest waiting first.

        Raises:
            PlatformError: The table does not answer.
        """
        rows = await self._scan(f"{OPEN_PREFIX}/{self.region}/")
        jobs = [_stored(row) for row in rows]
        return sorted(jobs, key=lambda job: job.record.accepted_wall_ms)

    async def scan_kept(self, part: str) -> list[StoredJob]:
        """Read the archived jobs whose id starts with ``part``."""
        prefix = f"{KEPT_PREFIX}/{self.region}/{part}"
        rows = await self._table.scan(prefix, limit=SCAN_LIMIT)
        return [_stored(row) for row in rows]

    async def _scan(self, prefix: str) -> list[Row]:
        rows = list(await self._table.scan(prefix, limit=SCAN_LIMIT))
        if len(rows) < SCAN_LIMIT:
            return rows
        parts = [await self._scan(prefix + digit) for digit in _HEX_DIGITS]
        return [row for part in parts for row in part]

    # --- changing

    async def insert(self, record: JobRecord) -> StoredJob:
        """Insert a job, or return the one that stands under its id.

        Raises:
            PlatformUnavailableError: Certainly not inserted.
            CommitUnknownError: It may have been, or may yet be, inserted.
        """
        write = Write(open_key(self.region, record.job_id), encode_job(record), 0)
        result = await self._committer.submit(write).future
        if result.applied:
            return StoredJob(record, result.version)
        standing = await self.read(record.job_id)
        if not standing:
            raise CommitUnknownError("the job's row changed between two reads")
        return standing

    async def change(
        self, stored: StoredJob, change: Change, *, lazy: bool = False
    ) -> tuple[StoredJob, bool]:
        """Apply a change by compare-and-set, on what stands by then.

        Args:
            stored: What is believed to stand; a newer row is read on conflict.
            change: Returns the new record, the same one where it already has
                what is wanted, or None where the change must not be made.
            lazy: Whether the write may wait for company.

        Returns:
            What stands now, and whether the change is in it.

        Raises:
            PlatformError: It is not known to be made; call again with the same
                change, which recognises its own earlier write.
        """
        for _ in range(_CHANGE_TRIES):
            wanted = change(stored.record)
            if wanted is None:
                return stored, False
            if wanted is stored.record:
                return stored, True
            written = replace(wanted, writes=stored.record.writes + 1)
            with contextlib.suppress(CommitUnknownError):
                version = await self._write(written, stored.version, lazy)
                if version:
                    return StoredJob(written, version), True
            reread = await self.read(stored.record.job_id)
            if not reread:
                return stored, False
            stored = reread
        raise CommitUnknownError("the job's row could not be changed")

    async def _write(self, record: JobRecord, version: int, lazy: bool) -> int:
        write = Write(open_key(self.region, record.job_id), encode_job(record), version)
        result = await self._committer.submit(write, lazy=lazy).future
        return result.version if result.applied else 0

    # --- retention

    async def archive(self, jobs: Sequence[StoredJob]) -> None:
        """Move final jobs out of the scanned rows, in one write.

        Raises:
            PlatformError: Perhaps not moved; harmless, and repeated later.
        """
        if not jobs:
            return
        writes = [write for job in jobs for write in self._move(job)]
        results = await self._table.commit(writes, atomic=True)
        if results[0].applied or len(jobs) == 1:
            return
        for job in jobs:
            await self._table.commit(self._move(job), atomic=True)

    def _move(self, job: StoredJob) -> list[Write]:
        job_id = job.record.job_id
        return [
            Write(open_key(self.region, job_id), None, job.version),
            Write(kept_key(self.region, job_id), encode_job(job.record), 0),
        ]

    async def forget(self, jobs: Sequence[StoredJob]) -> None:
        """Delete archived jobs and their answers.

        Raises:
            PlatformError: Perhaps not deleted; repeated later.
        """
        for job in jobs:
            if job.record.answer_object:
                await self.objects.delete(job.record.answer_object)
        writes = [
            Write(kept_key(self.region, job.record.job_id), None, job.version)
            for job in jobs
        ]
        if writes:
            await self._table.commit(writes, atomic=False)

    async def forget_beats(self, before_wall_ms: float) -> None:
        """Delete the heartbeats of VMs that are long gone.

        Raises:
            PlatformError: Perhaps not deleted; repeated later.
        """
        rows = await self._table.scan(f"{BEAT_PREFIX}/{self.region}/")
        writes = [
            Write(row.key, None, row.version)
            for row in rows
            if decode_beat(row).written_at_ms < before_wall_ms
        ]
        if writes:
            await self._table.commit(writes, atomic=False)


def _stored(row: Row) -> StoredJob:
    return StoredJob(decode_job(row.value), row.version)
