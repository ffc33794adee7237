"""Reserves slots for bursts of higher tiers, by the size of recent bursts.

Only requests that would occupy a slot for longer than the higher tiers can wait are
held back, and only while recent arrivals make a burst likely.
"""

from __future__ import annotations

import math
from bisect import bisect_left, bisect_right, insort
from typing import TYPE_CHECKING

from pomelolane.scheduler.estimate import DecayingCount

if TYPE_CHECKING:
    from pomelolane.scheduler.options import CoreOptions

_SLACK_SHARE = 0.5
_MEAN_STEP = 0.05
_MIN_SLOTS = 0.5


class _TierDemand:
    """Recent arrival rate of one tier, with mean slot time and slack."""

    __slots__ = (
        "_arrivals",
        "_memory_ms",
        "_peak",
        "_peak_at_ms",
        "hold_ms",
        "slack_ms",
    )

    def __init__(self, window_ms: float, memory_ms: float) -> None:
        self._arrivals = DecayingCount(window_ms)
        self._memory_ms = memory_ms
        self._peak = 0.0
        self._peak_at_ms = 0.0
        self.hold_ms = 0.0
        self.slack_ms = 0.0

    def record_arrival(self, hold_ms: float, slack_ms: float, now_ms: float) -> None:
        self._arrivals.add(1.0, now_ms)
        rate = self._arrivals.rate_per_ms(now_ms)
        self._peak = max(rate, self.peak_per_ms(now_ms))
        self._peak_at_ms = now_ms
        step = _MEAN_STEP if self.hold_ms else 1.0
        self.hold_ms += step * (hold_ms - self.hold_ms)
        self.slack_ms += step * (slack_ms - self.slack_ms)

    def peak_per_ms(self, now_ms: float) -> float:
        age_ms = now_ms - self._peak_at_ms
        return self._peak * 0.5 ** (age_ms / self._memory_ms)

    def slots(self, now_ms: float) -> float:
        """Return the slots that a burst like the recent ones would occupy."""
        return self.peak_per_ms(now_ms) * self.hold_ms


class _EndTimes:
    """Expected end times of running requests, countable by time."""

    __slots__ = ("_by_id", "_sorted")

    def __init__(self) -> None:
        self._by_id: dict[str, float] = {}
        self._sorted: list[float] = []

    def set(self, request_id: str, end_ms: float) -> None:
        self.discard(request_id)
        self._by_id[request_id] = end_ms
        insort(self._sorted, end_ms)

    def discard(self, request_id: str) -> None:
        end_ms = self._by_id.pop(request_id, None)
        if end_ms is not None:
            del self._sorted[bisect_left(self._sorted, end_ms)]

    def count_after(self, time_ms: float) -> int:
        return len(self._sorted) - bisect_right(self._sorted, time_ms)


class Reserve:
    """Limits the slots that long requests of lower tiers occupy at one time.

    Args:
        options: Options of the core.
    """

    def __init__(self, options: CoreOptions) -> None:
        self._options = options
        self._tiers: dict[int, _TierDemand] = {}
        self._end_times = _EndTimes()

    def record_arrival(
        self, rank: int, hold_ms: float, slack_ms: float, now_ms: float
    ) -> None:
        """Record the arrival of a request.

        Args:
            rank: Rank of its tier.
            hold_ms: Expected time that it occupies a slot.
            slack_ms: Longest wait with which it still meets its deadline.
            now_ms: Current time.
        """
        demand = self._tiers.get(rank)
        if demand is None:
            demand = self._tiers[rank] = _TierDemand(
                self._options.reserve_window_ms, self._options.reserve_memory_ms
            )
        demand.record_arrival(hold_ms, max(0.0, slack_ms), now_ms)

    def allows(
        self, rank: int, hold_ms: float, total_slots: int, now_ms: float
    ) -> bool:
        """Return whether a request of a tier may occupy a slot for `hold_ms`."""
        needed_slots, max_wait_ms = self._higher_tier_demand(rank, now_ms)
        if needed_slots < _MIN_SLOTS or hold_ms <= max_wait_ms:
            return True
        share = min(self._options.reserve_limit, needed_slots / max(1, total_slots))
        occupied = self._end_times.count_after(now_ms + max_wait_ms)
        return occupied < _max_long_requests(total_slots, share)

    def record_grant(self, request_id: str, end_ms: float) -> None:
        """Record that a slot is occupied, and its expected end time."""
        self._end_times.set(request_id, end_ms)

    def record_end(self, request_id: str) -> None:
        """Record that a slot is free again."""
        self._end_times.discard(request_id)

    def _higher_tier_demand(self, rank: int, now_ms: float) -> tuple[float, float]:
        """Return the slots that higher tiers need and how long they can wait."""
        slots = 0.0
        max_wait_ms = math.inf
        for other, demand in self._tiers.items():
            if other >= rank:
                continue
            needed = demand.slots(now_ms)
            if needed < _MIN_SLOTS:
                continue
            slots += needed
            max_wait_ms = min(max_wait_ms, _SLACK_SHARE * demand.slack_ms)
        return slots, max_wait_ms


def _max_long_requests(total_slots: int, reserved_share: float) -> int:
    """Return how many long requests may run; at least one, so that they progress."""
    return max(1, total_slots - math.ceil(total_slots * reserved_share))
