"""Leaving endpoints get nothing after 3 s, planned stops cut nothing."""

from __future__ import annotations

from typing import TYPE_CHECKING

from bench.chaos.checks.breach import Breach, describe_call
from bench.chaos.schedule import FaultKind

if TYPE_CHECKING:
    from collections.abc import Iterator

    from bench.chaos.records import CallResult, Evidence, FaultRecord

LEAVING_MS = 3000.0
_LEAVING = (
    FaultKind.LEAVING_SAID,
    FaultKind.LEAVING_LISTED,
    FaultKind.LEAVING_ORDERED,
)
_PLATFORM_AWAY = (FaultKind.PLATFORM_OUTAGE, FaultKind.PLATFORM_CUT)


def check_leaving(evidence: Evidence) -> Iterator[Breach]:
    """Yield each run at an endpoint later than 3 s after it was marked."""
    for record in evidence.faults:
        if record.fault.kind not in _LEAVING or record.note:
            continue
        until_ms = _marked_at_ms(record, evidence) + LEAVING_MS
        for run in evidence.runs:
            if run.endpoint_id == record.target and run.arrived_at_ms > until_ms:
                late_ms = run.arrived_at_ms - until_ms + LEAVING_MS
                yield Breach(
                    "leaving",
                    f"{run} came {late_ms:.0f} ms after {record.fault}",
                )


def check_stops(evidence: Evidence) -> Iterator[Breach]:
    """Yield each planned stop that did not end, and each request it cut."""
    for name, code in evidence.drained.items():
        if code != 0:
            yield Breach("planned_stop", f"{name} ended with {code}")
    for record in evidence.faults:
        if record.fault.kind is FaultKind.VM_DRAIN:
            for result in evidence.results:
                if _was_cut_by(record, result):
                    yield Breach("planned_stop", describe_call(result))


def _marked_at_ms(record: FaultRecord, evidence: Evidence) -> float:
    """Return when the mark could be read.

    The list needs the platform; a plain service says it in its next answer.
    """
    marked_ms = record.began_at_ms
    if record.fault.kind is FaultKind.LEAVING_SAID:
        return _first_answer_ms(record, evidence)
    if record.fault.kind is not FaultKind.LEAVING_LISTED:
        return marked_ms
    marked_ms += evidence.list_lag_ms
    for other in sorted(evidence.faults, key=lambda each: each.began_at_ms):
        away = other.fault.kind in _PLATFORM_AWAY
        if away and other.began_at_ms <= marked_ms < other.ended_at_ms:
            marked_ms = other.ended_at_ms
    return marked_ms


def _first_answer_ms(record: FaultRecord, evidence: Evidence) -> float:
    """Return when a leaving endpoint first answered; engines are asked for it."""
    later = [
        run.arrived_at_ms
        for run in evidence.runs
        if run.endpoint_id == record.target and run.arrived_at_ms > record.began_at_ms
    ]
    is_plain = record.target in evidence.plain_endpoints
    return min(later, default=record.began_at_ms) if is_plain else record.began_at_ms


def _was_cut_by(record: FaultRecord, result: CallResult) -> bool:
    if result.vm_id != record.target or result.planned.leaves_after_ms:
        return False
    if not result.record.error or result.record.error == "timeout":
        return False
    return result.record.sent_at_ms < record.began_at_ms < result.ended_at_ms
