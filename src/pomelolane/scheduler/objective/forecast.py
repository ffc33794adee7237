"""Predicts when waiting requests will get a slot, from the slots in use.

A prediction for all that waits is made now and then; what comes in between is put
into it, so that an arrival costs the same however many wait.
"""

from __future__ import annotations

import heapq
import math
from bisect import bisect_right
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from pomelolane.messages import Handle
    from pomelolane.scheduler.objective.rate import NamedRate
    from pomelolane.scheduler.objective.waiting import Key
    from pomelolane.scheduler.objective.worker import Pace, Worker

_HELD_S = 1.0
"""About how long a request holds a slot."""


class Forecast:
    """The times from now at which slots come free, each used in turn.

    Args:
        free_in_ms: For each slot, the time until it is free; 0 for a free one.
    """

    def __init__(self, free_in_ms: Iterable[float]) -> None:
        self._free_in_ms = list(free_in_ms)
        heapq.heapify(self._free_in_ms)

    def __len__(self) -> int:
        return len(self._free_in_ms)

    def next_ms(self) -> float:
        """Return when the next slot comes free."""
        return self._free_in_ms[0] if self._free_in_ms else 0.0

    def use(self, duration_ms: float) -> None:
        """Use the next free slot for a while."""
        if self._free_in_ms:
            start_ms = self._free_in_ms[0]
            heapq.heapreplace(self._free_in_ms, start_ms + duration_ms)


def forecast_of_workers(
    workers: Iterable[Worker], share: float, now_ms: float
) -> Forecast:
    """Return the forecast of endpoints that may get work."""
    free: list[float] = []
    for worker in workers:
        if worker.leaving:
            continue
        slots = worker.usable_slots(share)
        pause_ms = max(0.0, worker.suspended_until_ms - now_ms)
        busy = sorted(
            worker.remaining_ms(flight, now_ms) for flight in worker.flights.values()
        )
        starts_ms = [max(pause_ms, one) for one in busy[-slots:]]
        starts_ms.extend([pause_ms] * (slots - len(busy)))
        if worker.rate is not None:
            starts_ms = _spaced(starts_ms, worker.rate, now_ms)
        free.extend(starts_ms)
    return Forecast(free)


def _spaced(starts_ms: list[float], rate: NamedRate, now_ms: float) -> list[float]:
    """Return when as many slots come free as a rate keeps busy."""
    busy_slots = max(1, math.ceil(rate.per_s * _HELD_S))
    gap_ms = 1000.0 / rate.per_s
    first_ms = rate.wait_ms(now_ms)
    soonest = sorted(starts_ms)[:busy_slots]
    return [max(one, first_ms + n * gap_ms) for n, one in enumerate(soonest)]


class FleetPace:
    """How fast a service's endpoints are together, for any request.

    Args:
        paces: Those of the endpoints that may get work.
    """

    def __init__(self, paces: Sequence[Pace]) -> None:
        count = max(1, len(paces))
        self._first_ms = sum(pace.first_ms for pace in paces) / count
        self._prompt_token_ms = sum(pace.prompt_token_ms for pace in paces) / count
        self._answer_token_ms = sum(pace.answer_token_ms for pace in paces) / count
        self._fastest = _undominated(paces)

    def duration_ms(self, handle: Handle) -> float:
        """Return how long a request holds a slot in the mean of the endpoints."""
        prompt_ms = handle.prefill_tokens * self._prompt_token_ms
        answer_ms = handle.decode_tokens * self._answer_token_ms
        return self._first_ms + prompt_ms + answer_ms

    def first_ms(self, handle: Handle) -> float:
        """Return the time to a first answer byte where it comes soonest."""
        tokens = handle.prefill_tokens
        return min(
            (pace.first_ms + tokens * pace.prompt_token_ms for pace in self._fastest),
            default=0.0,
        )


def _undominated(paces: Sequence[Pace]) -> list[Pace]:
    """Return the paces that are the soonest for some length of prompt."""
    found: list[Pace] = []
    for pace in sorted(paces, key=lambda one: (one.first_ms, one.prompt_token_ms)):
        if not found or pace.prompt_token_ms < found[-1].prompt_token_ms:
            found.append(pace)
    return found


class Outlook:
    """When each of the waiting requests begins, as predicted at one moment.

    Args:
        forecast: The slots, before any waiting request uses one.
        pace: How fast the endpoints are.
        made_ms: The moment.

    Attributes:
        slots: How many slots there are.
    """

    def __init__(self, forecast: Forecast, pace: FleetPace, made_ms: float) -> None:
        self.pace = pace
        self.made_ms = made_ms
        self._forecast = forecast
        self.slots = max(1, len(forecast))
        self._keys: list[Key] = []
        self._starts_ms: list[float] = []
        self._added: list[tuple[Key, float]] = []

    def append(self, key: Key, handle: Handle) -> None:
        """Add the next request in the order of grants."""
        self._keys.append(key)
        self._starts_ms.append(self._forecast.next_ms())
        self._forecast.use(self.pace.duration_ms(handle))

    def next_ms(self) -> float:
        """Return when the next one to be appended would begin, from ``made_ms``."""
        return self._forecast.next_ms()

    def start_ms(self, key: Key, now_ms: float) -> float:
        """Return how long a request that comes now would wait."""
        place = bisect_right(self._keys, key)
        ahead = place < len(self._keys)
        start_ms = self._starts_ms[place] if ahead else self._forecast.next_ms()
        added_ms = sum(taken for other, taken in self._added if other <= key)
        since_ms = now_ms - self.made_ms
        return max(0.0, start_ms + added_ms / self.slots - since_ms)

    def add(self, key: Key, handle: Handle) -> None:
        """Count a request that came after the prediction was made."""
        self._added.append((key, self.pace.duration_ms(handle)))
