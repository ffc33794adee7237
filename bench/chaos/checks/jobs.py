"""Accepted jobs end whole, or truthfully, and are never lost."""

from __future__ import annotations

from typing import TYPE_CHECKING

from bench.caller import expected_text
from bench.chaos.checks.breach import Breach, describe_call
from bench.chaos.records import FINAL_JOB_STATES

if TYPE_CHECKING:
    from collections.abc import Iterator

    from bench.chaos.records import CallResult, EndpointRun, Evidence

_DONE = "done"
_CANCELLED = "cancelled"


def check_jobs(evidence: Evidence) -> Iterator[Breach]:
    """Yield each accepted job that was lost or whose end is untrue."""
    runs = evidence.runs_by_mark()
    for result in evidence.results:
        if result.job is None:
            continue
        problem = _job_problem(result, runs.get(result.planned.mark, []))
        if problem:
            job = result.job
            told = f"{job.state or '-'} {job.outcome} {job.reason}".strip()
            evidence_line = f"{problem} (state {told}, {job.location})"
            yield Breach("never_lost", f"{evidence_line}: {describe_call(result)}")


def _job_problem(result: CallResult, runs: list[EndpointRun]) -> str:
    job, call = result.job, result.planned
    if job.state not in FINAL_JOB_STATES:
        return f"not ended, last status {job.last_status}"
    if job.state == _DONE:
        whole = job.answer == expected_text(call.prompt, call.answer_tokens)
        return "" if whole else f"damaged answer {job.answer[-60:]!r}"
    if job.state == _CANCELLED:
        return "" if call.key or call.cancel_after_s else "cancelled by nobody"
    if not job.outcome:
        return "ended without an outcome"
    if job.outcome == "not_run" and runs:
        return f"said not_run, ran as {runs[0]}"
    return ""
