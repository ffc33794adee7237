"""Runs per key, and per unkeyed call that may not be repeated: at most one."""

from __future__ import annotations

from typing import TYPE_CHECKING

from bench.chaos.checks.breach import Breach, describe_call

if TYPE_CHECKING:
    from collections.abc import Iterator

    from bench.chaos.records import CallResult, Evidence


def check_runs(evidence: Evidence) -> Iterator[Breach]:
    """Yield each group of calls that ran more than once."""
    runs = evidence.runs_by_mark()
    groups: dict[str, list[CallResult]] = {}
    for result in evidence.results:
        if result.planned.runs_at_most_once:
            groups.setdefault(result.planned.mark, []).append(result)
    for mark, results in groups.items():
        found = runs.get(mark, [])
        if len(found) > 1:
            shown = ", ".join(str(run) for run in found)
            calls = "; ".join(describe_call(result) for result in results)
            yield Breach("at_most_once", f"{len(found)} runs ({shown}) of {calls}")
