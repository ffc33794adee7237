"""The durable record of a job, as it stands in the platform's table.

Every change of it is a compare-and-set on the row's version.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

import msgspec

OPEN_PREFIX = "jobs/open"
KEPT_PREFIX = "jobs/kept"


class JobState(StrEnum):
    """Where a job is in its life; the last four are final."""

    QUEUED = "queued"
    RUNNING = "running"
    DONE = "done"
    FAILED = "failed"
    UNKNOWN = "unknown"
    CANCELLED = "cancelled"


FINAL_STATES = frozenset(
    {JobState.DONE, JobState.FAILED, JobState.UNKNOWN, JobState.CANCELLED}
)


@dataclass(frozen=True, slots=True)
class JobRecord:
    """One accepted job.

    Wall times are for deadlines and retention only; no safety rests on them.

    Attributes:
        job_id: Unique in the region; hex, so that rows can be scanned in parts.
        region: Region that runs it.
        data_centre: Where it was accepted.
        organisation: Who may see it.
        service: Service asked for.
        work: Kind of work.
        tier: Its tier.
        idempotent: Whether it may be run again.
        accepted_wall_ms: When it was accepted.
        deadline_wall_ms: When it is given up.
        body_object: Object with the request.
        body_digest: Digest of the request.
        accept_token: Token of the call that accepted it.
        key: Hashed idempotency key, empty if none.
        state: Where it is in its life.
        runner_vm: VM that runs it, empty if none.
        runner_incarnation: That VM's start.
        run_token: Token of the run; a new one with each change of runner.
        attempt: Number of the dispatch; a resumed one keeps it.
        endpoint_id: Where it was sent, set before its first byte leaves.
        stream_id: The engine's stream there.
        answer_object: Object with the answer, when done.
        outcome: Why it ended without an answer, an ``Outcome`` value.
        reason: The cause, a ``Reason`` value.
        detail: One sentence for people.
        cancel_wanted: Whether its caller asked to cancel it.
        ended_wall_ms: When it became final, 0 before.
        writes: Grows with each write, so that no two are equal.
    """

    job_id: str
    region: str
    data_centre: str
    organisation: str
    service: str
    work: str
    tier: str
    idempotent: bool
    accepted_wall_ms: float
    deadline_wall_ms: float
    body_object: str
    body_digest: str
    accept_token: str
    key: str = ""
    state: JobState = JobState.QUEUED
    runner_vm: str = ""
    runner_incarnation: int = 0
    run_token: str = ""
    attempt: int = 0
    endpoint_id: str = ""
    stream_id: str = ""
    answer_object: str = ""
    outcome: str = ""
    reason: str = ""
    detail: str = ""
    cancel_wanted: bool = False
    ended_wall_ms: float = 0.0
    writes: int = 0

    @property
    def is_final(self) -> bool:
        """Whether nothing will change any more."""
        return self.state in FINAL_STATES

    @property
    def repeatable(self) -> bool:
        """Whether it may be sent again after it possibly ran."""
        return self.idempotent and not self.key

    @property
    def is_placed(self) -> bool:
        """Whether a byte may have gone to an endpoint."""
        return bool(self.stream_id)


@dataclass(frozen=True, slots=True)
class StoredJob:
    """A job's record with the version of its row.

    Attributes:
        record: The job.
        version: The row's version.
    """

    record: JobRecord
    version: int


def open_key(region: str, job_id: str) -> str:
    """Return the row key of a job that is not archived."""
    return f"{OPEN_PREFIX}/{region}/{job_id}"


def kept_key(region: str, job_id: str) -> str:
    """Return the row key of an archived job."""
    return f"{KEPT_PREFIX}/{region}/{job_id}"


def encode_job(record: JobRecord) -> bytes:
    """Encode a record for its row."""
    return msgspec.json.encode(record)


def decode_job(value: bytes) -> JobRecord:
    """Decode a record from its row."""
    return msgspec.json.decode(value, type=JobRecord)
