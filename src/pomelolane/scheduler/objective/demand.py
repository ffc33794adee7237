"""Recent demand for slots by tier rank, as exponentially decaying sums."""

from __future__ import annotations

import math


class Demand:
    """Sums the slot time of granted requests by rank, with exponential decay.

    Args:
        time_constant_ms: Time after which a request counts 1/e (about a third).
    """

    def __init__(self, time_constant_ms: float) -> None:
        self._time_constant_ms = time_constant_ms
        self._by_rank: dict[int, tuple[float, float]] = {}

    def add(self, rank: int, slot_ms: float, now_ms: float) -> None:
        """Add the time for which a request will hold a slot."""
        self._by_rank[rank] = (self._decayed_slot_ms(rank, now_ms) + slot_ms, now_ms)

    def slots_for_more_urgent(self, rank: int, now_ms: float) -> float:
        """Return the mean number of slots that more urgent ranks occupy."""
        more_urgent = (other for other in self._by_rank if other < rank)
        return (
            sum(self._decayed_slot_ms(one, now_ms) for one in more_urgent)
            / self._time_constant_ms
        )

    def _decayed_slot_ms(self, rank: int, now_ms: float) -> float:
        slot_ms, at_ms = self._by_rank.get(rank, (0.0, now_ms))
        return slot_ms * math.exp((at_ms - now_ms) / self._time_constant_ms)
