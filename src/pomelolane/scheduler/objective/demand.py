"""How much of the endpoints' time each rank has asked for of late."""

from __future__ import annotations

import math


class Demand:
    """Sums the slot time that requests ask for, by rank, and forgets it.

    Args:
        memory_ms: Time after which a third of an arrival still counts.
    """

    def __init__(self, memory_ms: float) -> None:
        self._memory_ms = memory_ms
        self._by_rank: dict[int, tuple[float, float]] = {}

    def add(self, rank: int, slot_ms: float, now_ms: float) -> None:
        """Count a request that will hold a slot for a time."""
        self._by_rank[rank] = (self._left(rank, now_ms) + slot_ms, now_ms)

    def slots_above(self, rank: int, now_ms: float) -> float:
        """Return how many slots more urgent ranks keep busy in the mean."""
        more_urgent = (other for other in self._by_rank if other < rank)
        return sum(self._left(one, now_ms) for one in more_urgent) / self._memory_ms

    def _left(self, rank: int, now_ms: float) -> float:
        slot_ms, at_ms = self._by_rank.get(rank, (0.0, now_ms))
        return slot_ms * math.exp((at_ms - now_ms) / self._memory_ms)
