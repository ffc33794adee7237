"""A broken promise with what shows it."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from bench.chaos.records import CallResult


@dataclass(frozen=True, slots=True)
class Breach:
    """One broken promise.

    Attributes:
        promise: Short name of the promise.
        evidence: What was found, on one line.
    """

    promise: str
    evidence: str

    def __str__(self) -> str:
        """Return it as one line of the report."""
        return f"BROKEN {self.promise}: {self.evidence}"


def describe_call(result: CallResult) -> str:
    """Return what a call was and what it got, as evidence."""
    call, record = result.planned, result.record
    got = " ".join(
        part
        for part in (
            str(record.status),
            record.outcome,
            record.reason,
            f"error={record.error!r}" if record.error else "",
        )
        if part
    )
    repeated = " repeat" if call.repeats else ""
    return (
        f"{call.group}{repeated} {call.work} {call.manner} key={call.key or '-'} "
        f"at={call.at_s:.2f}s vm={result.vm_id} request={record.request_id or '-'} "
        f"got [{got}] after {record.total_ms:.0f} ms"
    )
