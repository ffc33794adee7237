"""Predicts when waiting requests will get a slot, from the slots in use."""

from __future__ import annotations

import heapq
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from pomelolane.scheduler.objective.worker import Worker


class Forecast:
    """The times from now at which slots come free, each used in turn.

    Args:
        free_in_ms: For each slot, the time until it is free; 0 for a free one.
    """

    def __init__(self, free_in_ms: Iterable[float]) -> None:
        self._free_in_ms = list(free_in_ms)
        heapq.heapify(self._free_in_ms)

    @property
    def has_slots(self) -> bool:
        """Whether any slot is known."""
        return bool(self._free_in_ms)

    def next_ms(self) -> float:
        """Return when the next slot comes free."""
        return self._free_in_ms[0] if self._free_in_ms else 0.0

    def use(self, duration_ms: float) -> float:
        """Use the next free slot for a while; return when that begins."""
        start_ms = self._free_in_ms[0]
        heapq.heapreplace(self._free_in_ms, start_ms + duration_ms)
        return start_ms


def forecast_of_workers(
    workers: Iterable[Worker], share: float, now_ms: float
) -> Forecast:
    """Return the forecast of endpoints that may get work."""
    free: list[float] = []
    for worker in workers:
        if worker.leaving:
            continue
        slots = max(1, int(worker.endpoint.slots * share))
        pause_ms = max(0.0, worker.suspended_until_ms - now_ms)
        busy = sorted(
            worker.remaining_ms(flight, now_ms) for flight in worker.flights.values()
        )
        free.extend(max(pause_ms, one) for one in busy[-slots:])
        free.extend([pause_ms] * (slots - len(busy)))
    return Forecast(free)
