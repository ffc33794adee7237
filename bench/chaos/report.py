"""Prints one run: schedule, broken promises, figures and the closing line."""

from __future__ import annotations

from typing import TYPE_CHECKING

from bench.chaos.plan import Manner
from bench.chaos.schedule import FaultKind
from bench.measure import quantiles

if TYPE_CHECKING:
    from collections.abc import Sequence

    from bench.chaos.checks import Breach
    from bench.chaos.records import Evidence, FaultRecord
    from bench.chaos.schedule import Fault

_WINDOW_MS = 3000.0
_DEATHS = (FaultKind.VM_KILL, FaultKind.SCHEDULER_KILL)


def print_schedule(seed: int, deployment: str, faults: Sequence[Fault]) -> None:
    """Print what will happen."""
    print(f"seed={seed} deployment={deployment} faults={len(faults)}")
    for fault in faults:
        print(f"  {fault}")


def print_report(
    evidence: Evidence, breaches: Sequence[Breach], seconds: float
) -> None:
    """Print what happened; the last line is for machines."""
    for record in evidence.faults:
        if record.note:
            print(f"  fault {record.fault.number} {record.fault.kind}: {record.note}")
    _print_outcomes(evidence)
    _print_writes(evidence, seconds)
    for record in evidence.faults:
        if record.fault.kind in _DEATHS:
            _print_first_tokens(evidence, record)
    for breach in breaches:
        print(breach)
    print(
        f"promises_broken={len(breaches)} requests={len(evidence.results)} "
        f"faults={len(evidence.faults)}"
    )


def _print_outcomes(evidence: Evidence) -> None:
    counts: dict[str, int] = {}
    for result in evidence.results:
        record = result.record
        name = f"{record.outcome} {record.reason}".strip()
        if not name:
            name = "no connection" if record.status == 0 else str(record.status)
        if record.error == "timeout":
            name = "left" if result.planned.leaves_after_ms else "caller's timeout"
        counts[name] = counts.get(name, 0) + 1
    parts = sorted(counts.items(), key=lambda item: -item[1])
    print("ends: " + ", ".join(f"{name}: {count}" for name, count in parts))
    states: dict[str, int] = {}
    for result in evidence.results:
        if result.job is not None:
            states[result.job.state] = states.get(result.job.state, 0) + 1
    print("jobs: " + ", ".join(f"{name}: {n}" for name, n in states.items()))


def _print_writes(evidence: Evidence, seconds: float) -> None:
    writes_per_s = evidence.table_writes / seconds
    requests_per_s = len(evidence.results) / seconds
    print(f"table_writes_per_s={writes_per_s:.1f} requests_per_s={requests_per_s:.1f}")


def _print_first_tokens(evidence: Evidence, record: FaultRecord) -> None:
    at_ms = record.began_at_ms
    before = _first_tokens(evidence, at_ms - 2 * _WINDOW_MS, at_ms)
    within = _first_tokens(evidence, at_ms, at_ms + _WINDOW_MS)
    after = _first_tokens(evidence, at_ms + _WINDOW_MS, at_ms + 2 * _WINDOW_MS)
    print(
        f"death of {record.target} at {(at_ms - evidence.began_at_ms) / 1000:.2f} s: "
        f"first token p95 before {before}, within 3 s {within}, 3 to 6 s {after}"
    )


def _first_tokens(evidence: Evidence, from_ms: float, until_ms: float) -> str:
    times = [
        result.record.ttft_ms
        for result in evidence.results
        if from_ms <= result.record.sent_at_ms < until_ms
        and result.planned.manner is Manner.STREAM
        and result.planned.rank == 0
        and result.record.ttft_ms >= 0
    ]
    if not times:
        return "none"
    return f"{quantiles(times).p95_ms:.0f} ms of {len(times)}"
