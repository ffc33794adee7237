"""Calls that prefer an asynchronous answer, as callers see them over HTTP.

The durable part is in ``pomelolane.jobs``; this is its face, and the way by
which a job runner uses the gateway's dispatch.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, TypeVar

import msgspec
from blacksheep import Content, Response

from pomelolane.exceptions import PlatformError
from pomelolane.gateway.answers import answer_from_object
from pomelolane.gateway.stored import encode_call
from pomelolane.http.responses import problem_response
from pomelolane.jobs import JobRecord, JobRequest, JobState
from pomelolane.outcomes import Outcome, Reason, Refusal
from pomelolane.ports import ClaimRecord
from pomelolane.sentinels import Missing
from pomelolane.store import claim_key

if TYPE_CHECKING:
    from collections.abc import Awaitable

    from pomelolane.gateway.intake import Call
    from pomelolane.jobs import JobApi
    from pomelolane.model import Organisation

_T = TypeVar("_T")

POLL_AFTER_S = 1
PLATFORM_RETRY_MS = 2000
_NO_JOB = Refusal(Outcome.NOT_RUN, Reason.NOT_FOUND, detail="there is no such job")


class JobView(msgspec.Struct, frozen=True):
    """A job as its owner sees it.

    Attributes:
        job_id: The job.
        state: ``queued``, ``running``, ``done``, ``failed``, ``unknown`` or
            ``cancelled``.
        service: Service asked for.
        work: Kind of work.
        outcome: Empty unless it ended without an answer.
        reason: Why, empty likewise.
        answer: Path of the answer, empty until there is one.
    """

    job_id: str
    state: str
    service: str
    work: str
    outcome: str
    reason: str
    answer: str


class JobCalls:
    """HTTP answers to the operations on jobs.

    Args:
        api: The job service.
    """

    def __init__(self, api: JobApi) -> None:
        self._api = api

    async def accept(self, call: Call) -> Response:
        """Store a job durably and answer 202, or refuse."""
        key = claim_key(call.organisation.name, call.key) if call.key else ""
        request = JobRequest(
            organisation=call.organisation.name,
            service=call.service.name,
            work=call.work.name,
            tier=call.work.tier,
            idempotent=call.idempotent,
            deadline_ms=call.deadline_ms,
            body=encode_call(call),
            body_digest=call.digest,
            key=key,
        )
        accepted = await self._api.accept(request)
        if isinstance(accepted, Refusal):
            return problem_response(accepted, call.request_id)
        if isinstance(accepted, ClaimRecord):
            return problem_response(_held_by_direct_call(), call.request_id)
        headers = [
            (b"location", f"/v1/jobs/{accepted.job_id}".encode()),
            (b"retry-after", str(POLL_AFTER_S).encode()),
            (b"x-request-id", accepted.job_id.encode()),
        ]
        return _view_response(202, accepted, headers)

    async def state(self, organisation: Organisation, job_id: str) -> Response:
        """Answer with a job's state."""
        found = await _or_refusal(self._api.state(job_id, organisation.name))
        return _record_response(found)

    async def cancel(self, organisation: Organisation, job_id: str) -> Response:
        """Cancel a job that has not ended."""
        found = await _or_refusal(self._api.cancel(job_id, organisation.name))
        return _record_response(found)

    async def answer(self, organisation: Organisation, job_id: str) -> Response:
        """Answer with a finished job's answer."""
        record = await _or_refusal(self._api.state(job_id, organisation.name))
        if not isinstance(record, JobRecord):
            return _record_response(record)
        if record.state in (JobState.QUEUED, JobState.RUNNING):
            headers = [(b"retry-after", str(POLL_AFTER_S).encode())]
            return _view_response(202, record, headers)
        if record.state is not JobState.DONE:
            return problem_response(_ended_without(record), job_id)
        data = await _or_refusal(self._api.answer(job_id, organisation.name))
        if not isinstance(data, bytes):
            return _record_response(data)
        stored = answer_from_object(data)
        headers = [(b"x-request-id", job_id.encode())]
        content = Content(stored.content_type or b"text/plain", stored.body)
        return Response(stored.status, headers, content)


async def _or_refusal(operation: Awaitable[_T]) -> _T | Refusal:
    try:
        return await operation
    except PlatformError as error:
        return Refusal(
            Outcome.NOT_RUN, Reason.PLATFORM_UNAVAILABLE, PLATFORM_RETRY_MS, str(error)
        )


def _record_response(found: JobRecord | Missing | Refusal) -> Response:
    if isinstance(found, Refusal):
        return problem_response(found)
    if isinstance(found, Missing):
        return problem_response(_NO_JOB)
    return _view_response(200, found, [])


def _view_response(
    status: int, record: JobRecord, headers: list[tuple[bytes, bytes]]
) -> Response:
    done = record.state is JobState.DONE
    view = JobView(
        job_id=record.job_id,
        state=record.state.value,
        service=record.service,
        work=record.work,
        outcome=record.outcome,
        reason=record.reason,
        answer=f"/v1/jobs/{record.job_id}/answer" if done else "",
    )
    content = Content(b"application/json", msgspec.json.encode(view))
    return Response(status, headers, content)


def _held_by_direct_call() -> Refusal:
    return Refusal(
        Outcome.UNKNOWN,
        Reason.CLAIM_HELD,
        detail="the key belongs to a call that is or was answered directly",
    )


def _ended_without(record: JobRecord) -> Refusal:
    outcome = Outcome(record.outcome) if record.outcome else Outcome.UNKNOWN
    reason = Reason(record.reason) if record.reason else Reason.ENDPOINT_BROKEN
    return Refusal(outcome, reason, detail=f"the job is {record.state.value}")
