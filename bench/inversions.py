"""Tier inversions, as the callers and the engines saw them.

A refusal of a higher tier is an inversion when a request of a lower tier was
dispatched afterwards, to an engine on which the refused one could still have
made its deadline at the speed that a full batch has there.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator, Mapping, Sequence

    from bench.arrivals import Arrival
    from bench.engines import EngineSpeed
    from bench.experiment import Call

OVERLOAD_REASONS = frozenset(
    {"queue_full", "displaced", "deadline_unreachable", "deadline_passed"}
)
PLACE_REASONS = frozenset({"queue_full", "displaced"})
_EXPIRED = "deadline_passed"
_IN_FLIGHT_MS = 100.0


@dataclass(frozen=True, slots=True)
class _Dispatch:
    rank: int
    service: str
    endpoint_id: str
    at_ms: float


def count_inversions(
    calls: Sequence[Call],
    dispatches: Mapping[int, Sequence[tuple[str, float]]],
    rank_of: Callable[[Arrival], int],
    engines: Sequence[EngineSpeed],
    reasons: frozenset[str] = OVERLOAD_REASONS,
) -> int:
    """Count the refusals that were tier inversions.

    Args:
        calls: All calls of the run.
        dispatches: Endpoint and Unix time of each dispatch, by arrival.
        rank_of: Rank of an arrival's tier; 0 is the highest.
        engines: Speeds, for what the refused request would have needed.
        reasons: Refusals that are looked at.
    """
    sent = list(_all_dispatches(calls, dispatches, rank_of))
    speeds = {engine.endpoint_id: engine for engine in engines}
    refused = [
        call
        for call in calls
        if _is_overload_refusal(call) and call.record.reason in reasons
    ]
    return sum(
        1
        for call in refused
        if any(_inverts(item, call, rank_of(call.arrival), speeds) for item in sent)
    )


@dataclass(frozen=True, slots=True)
class _Wait:
    """A request as it waited: from when to when, and whether it then went on."""

    rank: int
    service: str
    from_ms: float
    until_ms: float
    went_on: bool


def count_lost_places(
    calls: Sequence[Call],
    dispatches: Mapping[int, Sequence[tuple[str, float]]],
    rank_of: Callable[[Arrival], int],
) -> int:
    """Count the refusals for want of a place while a lower tier went on.

    Such a refusal is wrong whatever the deadlines: a request of a lower tier
    had a place at that time and was dispatched later, or it came later and
    went on while some of those that kept the refused one out still waited.

    Args:
        calls: All calls of the run.
        dispatches: Endpoint and Unix time of each dispatch, by arrival.
        rank_of: Rank of an arrival's tier; 0 is the highest.
    """
    waits = [_wait(call, dispatches, rank_of(call.arrival)) for call in calls]
    refused = [
        wait
        for call, wait in zip(calls, waits, strict=True)
        if _is_overload_refusal(call) and call.record.reason in PLACE_REASONS
    ]
    return sum(1 for wait in refused if _was_passed_over(wait, waits))


def _wait(
    call: Call, dispatches: Mapping[int, Sequence[tuple[str, float]]], rank: int
) -> _Wait:
    times_ms = [at_ms for _, at_ms in dispatches.get(call.arrival.number, ())]
    ended_ms = call.record.sent_at_ms + call.record.total_ms
    return _Wait(
        rank,
        call.arrival.service,
        call.record.sent_at_ms,
        min(times_ms, default=ended_ms),
        bool(times_ms),
    )


def _was_passed_over(refused: _Wait, waits: Sequence[_Wait]) -> bool:
    at_ms = refused.until_ms
    same = [wait for wait in waits if wait.service == refused.service]
    held = [wait for wait in same if wait.from_ms < at_ms < wait.until_ms]
    kept_out_by = [wait.until_ms for wait in held if wait.rank <= refused.rank]
    until_ms = max(kept_out_by, default=at_ms)
    lower = [wait for wait in same if wait.went_on and wait.rank > refused.rank]
    return any(
        at_ms + _IN_FLIGHT_MS < wait.until_ms
        and (wait.from_ms < at_ms - _IN_FLIGHT_MS or wait.until_ms < until_ms)
        for wait in lower
    )


def _all_dispatches(
    calls: Sequence[Call],
    dispatches: Mapping[int, Sequence[tuple[str, float]]],
    rank_of: Callable[[Arrival], int],
) -> Iterator[_Dispatch]:
    for call in calls:
        for endpoint_id, at_ms in dispatches.get(call.arrival.number, ()):
            rank = rank_of(call.arrival)
            yield _Dispatch(rank, call.arrival.service, endpoint_id, at_ms)


def _is_overload_refusal(call: Call) -> bool:
    record = call.record
    return record.outcome == "not_run" and record.reason in OVERLOAD_REASONS


def _inverts(
    item: _Dispatch, refused: Call, rank: int, speeds: Mapping[str, EngineSpeed]
) -> bool:
    if item.rank <= rank or item.service != refused.arrival.service:
        return False
    record, arrival = refused.record, refused.arrival
    # A request that expired in the queue was passed over while it waited.
    waited = record.reason == _EXPIRED
    from_ms = record.sent_at_ms + (0.0 if waited else record.total_ms) + _IN_FLIGHT_MS
    needed_s = speeds[item.endpoint_id].crowded_s(
        arrival.prompt_tokens, arrival.answer_tokens
    )
    until_ms = record.sent_at_ms + arrival.deadline_ms - needed_s * 1000.0
    return from_ms < item.at_ms <= until_ms
