"""Claims on idempotency keys: who alone may dispatch a request.

A claim counts as held only after its commit is certain; an unsettled one is
given up as not run and freed behind the caller's back.
"""

from __future__ import annotations

import asyncio
import hashlib
import uuid
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

import msgspec

from pomelolane.clock import WallClock
from pomelolane.events import CLAIM_READ_BACK, CLAIM_RELEASED
from pomelolane.exceptions import (
    CommitUnknownError,
    PlatformError,
)
from pomelolane.logs import log_event
from pomelolane.outcomes import Outcome, Reason, Refusal
from pomelolane.ports import ClaimRecord, Write
from pomelolane.store.backoff import Backoff
from pomelolane.store.committer import GroupCommitter

if TYPE_CHECKING:
    from collections.abc import Coroutine

    from pomelolane.ports import Clock, Row, Table
    from pomelolane.sentinels import Missing
    from pomelolane.store.committer import Committer, PendingWrite

CLAIMED = "claimed"
RELEASED = "released"
DONE = "done"
FAILED = "failed"
UNKNOWN = "unknown"

CLAIM_PREFIX = "claims/"
DEFAULT_RETRY_AFTER_MS = 1000

_JOB_PREFIX = "job:"


class ClaimRow(msgspec.Struct, frozen=True):
    """A claim as it stands in the table.

    Attributes:
        record: The claim.
        written_at_ms: Wall time of the last write, for retention only.
    """

    record: ClaimRecord
    written_at_ms: float


def claim_key(organisation: str, idempotency_key: str) -> str:
    """Return the hashed key of an organisation's idempotency key."""
    return hashlib.sha256(f"{organisation}\0{idempotency_key}".encode()).hexdigest()


def job_reservation(job_id: str) -> str:
    """Return the ``answer_object`` of a claim that only admits a job."""
    return _JOB_PREFIX + job_id


def reserved_job(record: ClaimRecord) -> str:
    """Return the job that a claim is reserved for, empty if none."""
    if record.answer_object.startswith(_JOB_PREFIX):
        return record.answer_object.removeprefix(_JOB_PREFIX)
    return ""


def decode_claim(row: Row) -> ClaimRow:
    """Decode a claim's row."""
    return msgspec.json.decode(row.value, type=ClaimRow)


@dataclass(slots=True, eq=False)
class _Attempt:
    """One caller's try for a key.

    ``version`` is what the row must have for the write to apply, and
    ``in_doubt`` says that a write with that condition may yet apply.
    """

    record: ClaimRecord
    version: int = 0
    in_doubt: bool = False
    abandoned: bool = False
    pending: PendingWrite | None = None


class TableClaims:
    """Claims in the platform's table; see :class:`pomelolane.ports.Claims`.

    Args:
        table: For reading.
        committer: For writing.
        vm_id: This VM.
        incarnation: This start of it.
        wall: Time of day, for retention only.
    """

    def __init__(
        self,
        table: Table,
        committer: Committer,
        vm_id: str,
        incarnation: int,
        wall: Clock,
    ) -> None:
        self._table = table
        self._committer = committer
        self._vm_id = vm_id
        self._incarnation = incarnation
        self._wall = wall
        self._held: dict[str, tuple[ClaimRecord, int]] = {}
        self._background: set[asyncio.Task[None]] = set()

    # --- claiming

    async def claim(
        self, key: str, body_digest: str, *, timeout_ms: float, answer_object: str = ""
    ) -> ClaimRecord | Refusal:
        """Insert a claim, or return the one that stands."""
        token = uuid.uuid4().hex
        record = ClaimRecord(
            key=key,
            token=token,
            vm_id=self._vm_id,
            incarnation=self._incarnation,
            body_digest=body_digest,
            state=CLAIMED,
            answer_object=answer_object,
        )
        attempt = _Attempt(record)
        task = asyncio.get_running_loop().create_task(self._pursue(attempt))
        try:
            done, _ = await asyncio.wait({task}, timeout=timeout_ms / 1000.0)
        except asyncio.CancelledError:
            self._abandon(attempt, task)
            raise
        if done:
            return task.result()
        self._abandon(attempt, task)
        return _refusal("the claim was not settled in time")

    async def read(self, key: str) -> ClaimRecord | Missing:
        """Read the claim that stands for a key.

        Raises:
            PlatformError: The table does not answer.
        """
        row = await self._table.read(CLAIM_PREFIX + key)
        return decode_claim(row).record if row else row

    def _abandon(
        self, attempt: _Attempt, task: asyncio.Task[ClaimRecord | Refusal]
    ) -> None:
        attempt.abandoned = True
        if not task.done():
            self._keep(task)
            if attempt.pending is not None:
                attempt.pending.withdraw()
            return
        held = self._held.get(attempt.record.token)
        if held is not None and not reserved_job(attempt.record):
            self._spawn(self._settle(held[0], RELEASED, "", held[1]))

    async def _pursue(self, attempt: _Attempt) -> ClaimRecord | Refusal:
        backoff = Backoff()
        while not attempt.abandoned:
            try:
                return await self._try_once(attempt)
            except _RetryError:
                continue
            except PlatformError as error:
                if not attempt.in_doubt:
                    return _refusal(str(error))
            await backoff.wait()
        if attempt.in_doubt and not reserved_job(attempt.record):
            await self._fence_off(attempt)
        return _refusal("the claim was given up")

    async def _try_once(self, attempt: _Attempt) -> ClaimRecord | Refusal:
        """Write the claim once, or read back what became of it.

        Raises:
            _RetryError: The row changed; another write may apply now.
            PlatformError: The table did not answer.
        """
        if not attempt.in_doubt:
            version = await self._insert(attempt)
            if version:
                return await self._won(attempt, version)
        row = await self._table.read(CLAIM_PREFIX + attempt.record.key)
        if not row:
            return await self._insert_again(attempt, 0)
        standing = decode_claim(row).record
        if standing.token == attempt.record.token:
            return await self._won(attempt, row.version)
        if standing.state == RELEASED:
            return await self._insert_again(attempt, row.version)
        attempt.in_doubt = False
        return standing

    async def _insert(self, attempt: _Attempt) -> int:
        """Commit the claim and return the row's version, 0 on conflict."""
        write = self._write(attempt.record, attempt.version)
        attempt.pending = self._committer.submit(write)
        try:
            result = await attempt.pending.future
        except CommitUnknownError:
            attempt.in_doubt = True
            raise
        return result.version if result.applied else 0

    async def _insert_again(
        self, attempt: _Attempt, version: int
    ) -> ClaimRecord | Refusal:
        # An earlier write in doubt carries the same token and a condition on
        # the same or an older version, so that at most one of them applies.
        attempt.version = version
        new_version = await self._insert(attempt)
        if not new_version:
            raise _RetryError
        return await self._won(attempt, new_version)

    async def _won(self, attempt: _Attempt, version: int) -> ClaimRecord | Refusal:
        if attempt.in_doubt:
            log_event(CLAIM_READ_BACK, claims=1, held=1)
        attempt.in_doubt = False
        if attempt.abandoned:
            if not reserved_job(attempt.record):
                await self._settle(attempt.record, RELEASED, "", version)
            return _refusal("the claim was given up")
        fresh = replace(attempt.record, fresh=True)
        self._held[attempt.record.token] = (fresh, version)
        return fresh

    async def _fence_off(self, attempt: _Attempt) -> None:
        """Make sure that an abandoned write in doubt can never hold the key."""
        released = replace(attempt.record, state=RELEASED)
        backoff = Backoff()
        while True:
            try:
                row = await self._table.read(CLAIM_PREFIX + attempt.record.key)
                version = row.version if row else 0
                own = bool(row) and (
                    decode_claim(row).record.token == attempt.record.token
                )
                if not own and version > attempt.version:
                    return
                pending = self._committer.submit(
                    self._write(released, version), lazy=True
                )
                if (await pending.future).applied:
                    log_event(CLAIM_RELEASED, key=attempt.record.key)
                    return
            except PlatformError:
                await backoff.wait()

    # --- settling

    async def settle(
        self, record: ClaimRecord, state: str, answer_object: str = ""
    ) -> None:
        """Record the end of an own claim; returns once it is committed."""
        held = self._held.get(record.token)
        if held is None:
            return
        task = self._spawn(self._settle(record, state, answer_object, held[1]))
        await asyncio.shield(task)

    async def flush(self, timeout_ms: float) -> bool:
        """Wait for background writes before a planned stop.

        Returns:
            Whether all of them were written.
        """
        if not self._background:
            return True
        _, pending = await asyncio.wait(
            set(self._background), timeout=timeout_ms / 1000.0
        )
        return not pending

    async def _settle(
        self, record: ClaimRecord, state: str, answer_object: str, version: int
    ) -> None:
        ended = replace(record, state=state, answer_object=answer_object, fresh=False)
        backoff = Backoff()
        while True:
            try:
                pending = self._committer.submit(
                    self._write(ended, version), lazy=state != RELEASED
                )
                if (await pending.future).applied:
                    break
                row = await self._table.read(CLAIM_PREFIX + record.key)
                standing = decode_claim(row).record if row else None
                if standing is None or standing.token != record.token:
                    break
                if standing == ended:
                    break
                version = row.version
            except PlatformError:
                await backoff.wait()
        self._held.pop(record.token, None)
        if state == RELEASED:
            log_event(CLAIM_RELEASED, key=record.key)

    # --- helpers

    def _write(self, record: ClaimRecord, version: int) -> Write:
        stored = replace(record, fresh=False)
        value = msgspec.json.encode(ClaimRow(stored, self._wall.now_ms()))
        return Write(CLAIM_PREFIX + record.key, value, version)

    def _spawn(self, coroutine: Coroutine[None, None, None]) -> asyncio.Task[None]:
        task = asyncio.get_running_loop().create_task(coroutine)
        self._keep(task)
        return task

    def _keep(self, task: asyncio.Task) -> None:
        self._background.add(task)
        task.add_done_callback(self._background.discard)


class _RetryError(Exception):
    """The row changed between two steps."""


def _refusal(detail: str) -> Refusal:
    return Refusal(
        Outcome.NOT_RUN, Reason.PLATFORM_UNAVAILABLE, DEFAULT_RETRY_AFTER_MS, detail
    )


def make_claims(
    table: Table,
    vm_id: str,
    incarnation: int,
    clock: Clock,
    *,
    committer: Committer | None = None,
    wall: Clock | None = None,
) -> TableClaims:
    """Make the claims of one VM.

    Args:
        table: The platform's table.
        vm_id: This VM.
        incarnation: This start of it.
        clock: Monotonic clock.
        committer: Shared group commit; an own one by default.
        wall: Time of day, for retention only.
    """
    return TableClaims(
        table,
        committer or GroupCommitter(table, clock),
        vm_id,
        incarnation,
        wall or WallClock(),
    )
