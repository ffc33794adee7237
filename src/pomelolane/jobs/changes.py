"""The changes that a run may make to its job's record.

Each is a function from what stands to what shall stand: the same record where
the change is made already, None where the run no longer has the right.
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

from pomelolane.jobs.record import JobState

if TYPE_CHECKING:
    from collections.abc import Callable

    from pomelolane.jobs.record import JobRecord
    from pomelolane.outcomes import Refusal

    Change = Callable[[JobRecord], JobRecord | None]


@dataclass(frozen=True, slots=True)
class JobEnd:
    """How a run ended its job.

    Attributes:
        state: The final state.
        answer: The whole answer, when done.
        refusal: Why there is none.
    """

    state: JobState
    answer: bytes | None = None
    refusal: Refusal | None = None


def place(token: str, endpoint_id: str, stream_id: str) -> Change:
    """Record where the job is about to be sent."""

    def change(record: JobRecord) -> JobRecord | None:
        if not _holds(token, record):
            return None
        if (record.endpoint_id, record.stream_id) == (endpoint_id, stream_id):
            return record
        return replace(record, endpoint_id=endpoint_id, stream_id=stream_id)

    return change


def unplace(token: str) -> Change:
    """Record that nothing was sent.

    It writes even where nothing is recorded: a placement still under way then
    finds another version and cannot apply any more. The next dispatch is a new
    attempt, so that no two of them share a stream id.
    """

    def change(record: JobRecord) -> JobRecord | None:
        if not _holds(token, record):
            return None
        next_attempt = record.attempt + 1
        return replace(record, endpoint_id="", stream_id="", attempt=next_attempt)

    return change


def queue_again(token: str) -> Change:
    """Let any VM try the job."""

    def change(record: JobRecord) -> JobRecord | None:
        if record.state is JobState.QUEUED:
            return record
        if not _holds(token, record):
            return None
        return replace(
            record,
            state=JobState.QUEUED,
            runner_vm="",
            runner_incarnation=0,
            run_token="",
            endpoint_id="",
            stream_id="",
        )

    return change


def leave_to_others(token: str) -> Change:
    """Give up the job: its stream is to be resumed, or the job queued again."""
    queue = queue_again(token)

    def change(record: JobRecord) -> JobRecord | None:
        if not record.is_placed or not _holds(token, record):
            return queue(record)
        return replace(record, runner_vm="", runner_incarnation=0)

    return change


def finish(
    token: str, mine: JobRecord, end: JobEnd, answer_object: str, now_ms: float
) -> Change:
    """Record the job's end.

    A successor only reads the stream that this run began, so that a whole
    answer of that stream is the job's answer, whoever brings it first.
    """
    refusal = end.refusal

    def change(record: JobRecord) -> JobRecord | None:
        if record.state is end.state and record.answer_object == answer_object:
            return record
        brings_answer = end.answer is not None and _is_same_stream(mine, record)
        if not _holds(token, record) and not brings_answer:
            return None
        return replace(
            record,
            state=end.state,
            answer_object=answer_object,
            outcome=refusal.outcome.value if refusal is not None else "",
            reason=refusal.reason.value if refusal is not None else "",
            detail=refusal.detail if refusal is not None else "",
            ended_wall_ms=now_ms,
        )

    return change


def _holds(token: str, record: JobRecord) -> bool:
    return record.run_token == token and not record.is_final


def _is_same_stream(mine: JobRecord, record: JobRecord) -> bool:
    if record.is_final or not record.is_placed:
        return False
    here = (record.endpoint_id, record.stream_id)
    return here == (mine.endpoint_id, mine.stream_id)
