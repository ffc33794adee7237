"""What callers may do with jobs: accept, look, fetch the answer, cancel.

A job is accepted only when its row is certain, and another organisation's job
looks exactly like one that does not exist.
"""

from __future__ import annotations

import contextlib
import uuid
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

from pomelolane.events import JOB_ACCEPTED
from pomelolane.exceptions import CommitUnknownError, PlatformError, RateLimitedError
from pomelolane.jobs.record import JobRecord, JobState, StoredJob
from pomelolane.logs import log_event
from pomelolane.outcomes import Outcome, Reason, Refusal
from pomelolane.sentinels import NOT_FOUND, Missing
from pomelolane.store import job_reservation, reserved_job
from pomelolane.store.backoff import Backoff

if TYPE_CHECKING:
    from pomelolane.jobs.runner import JobRunner
    from pomelolane.jobs.store import JobStore
    from pomelolane.ports import ClaimRecord, Clock
    from pomelolane.store import TableClaims

DEFAULT_RETRY_AFTER_MS = 1000
DEFAULT_ACCEPT_TIMEOUT_MS = 5000.0

_ACCEPT_TRIES = 4
_ANSWER_NOT_READY = Missing("the job has no answer yet, or ended without one")


@dataclass(frozen=True, slots=True)
class JobRequest:
    """A checked request that is to become a job.

    Attributes:
        organisation: Who asks.
        service: Service asked for.
        work: Kind of work.
        tier: Its tier.
        idempotent: Whether it may be run again.
        deadline_ms: Time from acceptance until it is given up.
        body: The encoded request; opaque here.
        body_digest: Its digest.
        key: Hashed claim key of the idempotency key, empty if none.
    """

    organisation: str
    service: str
    work: str
    tier: str
    idempotent: bool
    deadline_ms: float
    body: bytes
    body_digest: str
    key: str = ""


class JobApi:
    """Callers' operations on jobs.

    Args:
        store: Where jobs are.
        claims: Guards idempotency keys, shared with direct calls.
        runner: Gets accepted jobs at once.
        data_centre: This VM's data centre.
        wall: Time of day.
    """

    def __init__(
        self,
        store: JobStore,
        claims: TableClaims,
        runner: JobRunner,
        data_centre: str,
        wall: Clock,
    ) -> None:
        self._store = store
        self._claims = claims
        self._runner = runner
        self._data_centre = data_centre
        self._wall = wall

    # --- accepting

    async def accept(
        self, request: JobRequest, *, timeout_ms: float = DEFAULT_ACCEPT_TIMEOUT_MS
    ) -> JobRecord | ClaimRecord | Refusal:
        """Make a request durable.

        Returns:
            The job, new or the one that the key already names; the standing
            claim where the key belongs to a direct call; or a refusal, which
            is ``UNKNOWN`` only if the job may exist nevertheless.
        """
        job_id = request.key or uuid.uuid4().hex
        if request.key:
            standing = await self._reserve(request, job_id, timeout_ms)
            if standing is not None:
                return standing
        record = self._new_record(request, job_id)
        try:
            await self._store.objects.put(record.body_object, request.body)
        except PlatformError as error:
            return _refusal(Outcome.NOT_RUN, error)
        result = await self._insert(record)
        if isinstance(result, Refusal) and result.outcome is Outcome.UNKNOWN:
            return result
        if isinstance(result, Refusal) or result.accept_token != record.accept_token:
            await self._drop_body(record)
        return result

    async def _reserve(
        self, request: JobRequest, job_id: str, timeout_ms: float
    ) -> JobRecord | ClaimRecord | Refusal | None:
        """Reserve the key for the job; None means go on and insert it."""
        claim = await self._claims.claim(
            request.key,
            request.body_digest,
            timeout_ms=timeout_ms,
            answer_object=job_reservation(job_id),
        )
        if isinstance(claim, Refusal):
            return claim
        if claim.fresh:
            return None
        if claim.body_digest != request.body_digest:
            return Refusal(
                Outcome.NOT_RUN, Reason.KEY_REUSED, detail="the key named another body"
            )
        if reserved_job(claim) != job_id:
            return claim
        try:
            stored = await self._store.read(job_id)
        except PlatformError as error:
            # The job may exist, so that "not run" would not be certain.
            return _refusal(Outcome.UNKNOWN, error)
        return stored.record if stored else None

    def _new_record(self, request: JobRequest, job_id: str) -> JobRecord:
        now_ms = self._wall.now_ms()
        token = uuid.uuid4().hex
        return JobRecord(
            job_id=job_id,
            region=self._store.region,
            data_centre=self._data_centre,
            organisation=request.organisation,
            service=request.service,
            work=request.work,
            tier=request.tier,
            idempotent=request.idempotent,
            accepted_wall_ms=now_ms,
            deadline_wall_ms=now_ms + request.deadline_ms,
            body_object=f"job-body-{job_id}-{token}",
            body_digest=request.body_digest,
            accept_token=token,
            key=request.key,
        )

    async def _insert(self, record: JobRecord) -> JobRecord | Refusal:
        in_doubt = False
        backoff = Backoff()
        failure: PlatformError = CommitUnknownError("not tried")
        for _ in range(_ACCEPT_TRIES):
            try:
                stored = await self._store.insert(record)
            except CommitUnknownError as error:
                in_doubt, failure = True, error
            except PlatformError as error:
                failure = error
                if not in_doubt:
                    break
            else:
                return self._accepted(record, stored)
            await backoff.wait()
        return _refusal(Outcome.UNKNOWN if in_doubt else Outcome.NOT_RUN, failure)

    async def _drop_body(self, record: JobRecord) -> None:
        with contextlib.suppress(PlatformError):
            await self._store.objects.delete(record.body_object)

    def _accepted(self, record: JobRecord, stored: StoredJob) -> JobRecord:
        if stored.record.accept_token == record.accept_token:
            log_event(
                JOB_ACCEPTED,
                job=record.job_id,
                organisation=record.organisation,
                service=record.service,
            )
            self._runner.nudge(stored)
        return stored.record

    # --- afterwards

    async def state(self, job_id: str, organisation: str) -> JobRecord | Missing:
        """Return an organisation's own job.

        Raises:
            PlatformError: The table does not answer.
        """
        stored = await self._own(job_id, organisation)
        return stored.record if stored else NOT_FOUND

    async def answer(self, job_id: str, organisation: str) -> bytes | Missing:
        """Return the answer of an organisation's own job that is done.

        Raises:
            PlatformError: The table or the object store does not answer.
        """
        stored = await self._own(job_id, organisation)
        if not stored:
            return NOT_FOUND
        if stored.record.state is not JobState.DONE:
            return _ANSWER_NOT_READY
        return await self._store.objects.get(stored.record.answer_object)

    async def cancel(self, job_id: str, organisation: str) -> JobRecord | Missing:
        """Cancel an organisation's own job, if it has not ended.

        A queued job ends at once; a running one when its runner notices.

        Raises:
            PlatformError: Not known to be cancelled; call again.
        """
        stored = await self._own(job_id, organisation)
        if not stored:
            return NOT_FOUND
        changed, _ = await self._store.change(stored, self._cancelled)
        return changed.record

    async def _own(self, job_id: str, organisation: str) -> StoredJob | Missing:
        if not _is_job_id(job_id):
            return NOT_FOUND
        stored = await self._store.read(job_id)
        if not stored or stored.record.organisation != organisation:
            return NOT_FOUND
        return stored

    def _cancelled(self, record: JobRecord) -> JobRecord | None:
        if record.is_final or record.cancel_wanted:
            return record
        if record.state is JobState.RUNNING:
            return replace(record, cancel_wanted=True)
        return replace(
            record,
            state=JobState.CANCELLED,
            cancel_wanted=True,
            outcome=Outcome.NOT_RUN.value,
            reason=Reason.CANCELLED.value,
            ended_wall_ms=self._wall.now_ms(),
        )


def _is_job_id(text: str) -> bool:
    return 0 < len(text) <= 64 and all(char in "0123456789abcdef" for char in text)


def _refusal(outcome: Outcome, error: PlatformError) -> Refusal:
    retry_after_ms = DEFAULT_RETRY_AFTER_MS
    if isinstance(error, RateLimitedError):
        retry_after_ms = max(retry_after_ms, error.retry_after_ms)
    return Refusal(outcome, Reason.PLATFORM_UNAVAILABLE, retry_after_ms, str(error))
