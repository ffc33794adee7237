"""Predicts when waiting requests will get a slot, from the slots in use.

The forecast for the whole queue is rebuilt periodically. Requests that arrive in
between are added to it, so that their cost does not depend on the queue length.
"""

from __future__ import annotations

import heapq
import math
from bisect import bisect_right
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from pomelolane.messages import Handle
    from pomelolane.scheduler.objective.rate import EndpointRateLimit
    from pomelolane.scheduler.objective.waiting import QueueKey
    from pomelolane.scheduler.objective.worker import LatencyModel, Worker

_SLOT_HOLD_S = 1.0
"""Typical time for which a request holds a slot."""


class SlotForecast:
    """Predicted times from now until each slot becomes free, as a heap.

    Args:
        free_in_ms: Time until each slot is free; 0 for a free slot.
    """

    def __init__(self, free_in_ms: Iterable[float]) -> None:
        self._free_in_ms = list(free_in_ms)
        heapq.heapify(self._free_in_ms)

    def __len__(self) -> int:
        return len(self._free_in_ms)

    def next_ms(self) -> float:
        """Return the time until the next slot is free, 0 without slots."""
        return self._free_in_ms[0] if self._free_in_ms else 0.0

    def occupy(self, duration_ms: float) -> None:
        """Occupy the next free slot for a time."""
        if self._free_in_ms:
            start_ms = self._free_in_ms[0]
            heapq.heapreplace(self._free_in_ms, start_ms + duration_ms)


def forecast_slots(
    workers: Iterable[Worker], share: float, now_ms: float
) -> SlotForecast:
    """Return the slot forecast of the endpoints that are not leaving."""
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
            starts_ms = _apply_rate_limit(starts_ms, worker.rate, now_ms)
        free.extend(starts_ms)
    return SlotForecast(free)


def _apply_rate_limit(
    starts_ms: list[float], rate: EndpointRateLimit, now_ms: float
) -> list[float]:
    """Limit slots to those that a rate limit can keep busy, and space their starts."""
    busy_slots = max(1, math.ceil(rate.per_s * _SLOT_HOLD_S))
    gap_ms = 1000.0 / rate.per_s
    first_ms = rate.wait_ms(now_ms)
    soonest = sorted(starts_ms)[:busy_slots]
    return [max(one, first_ms + n * gap_ms) for n, one in enumerate(soonest)]


class FleetLatencyModel:
    """Combined latency of a service's endpoints.

    Times per token are combined by harmonic means weighted by slots: while requests
    wait, an endpoint that is four times slower takes a quarter of the requests. With
    arithmetic means, waits were predicted 1.6 times too long where a third of the
    endpoints is 4.4 times slower. The base time to first byte contains the prompts that
    are pending at the moment, which says nothing about throughput: it is combined by
    the arithmetic mean.

    Args:
        models: Latency models of the endpoints that are not leaving.
    """

    def __init__(self, models: Sequence[LatencyModel]) -> None:
        base_ttft_sum_ms = sum(model.base_ttft_ms for model in models)
        self._base_ttft_ms = base_ttft_sum_ms / max(1, len(models))
        slots = [model.slots for model in models]
        self._ms_per_prompt_token = _harmonic_mean_ms(
            [model.ms_per_prompt_token for model in models], slots
        )
        self._ms_per_answer_token = _harmonic_mean_ms(
            [model.ms_per_answer_token for model in models], slots
        )
        self._fastest = _pareto_optimal(models)

    def duration_ms(self, handle: Handle) -> float:
        """Return how long a request holds a slot, averaged over the endpoints."""
        prompt_ms = handle.prefill_tokens * self._ms_per_prompt_token
        answer_ms = handle.decode_tokens * self._ms_per_answer_token
        return self._base_ttft_ms + prompt_ms + answer_ms

    def min_ttft_ms(self, handle: Handle) -> float:
        """Return the shortest time to first byte at any endpoint."""
        tokens = handle.prefill_tokens
        return min(
            (
                model.base_ttft_ms + tokens * model.ms_per_prompt_token
                for model in self._fastest
            ),
            default=0.0,
        )


def _harmonic_mean_ms(times_ms: Sequence[float], weights: Sequence[int]) -> float:
    """Return the weighted harmonic mean, 0 if there are no times or one is 0."""
    if not times_ms or min(times_ms) <= 0:
        return 0.0
    pairs = zip(times_ms, weights, strict=True)
    return sum(weights) / sum(weight / one for one, weight in pairs)


def _pareto_optimal(models: Sequence[LatencyModel]) -> list[LatencyModel]:
    """Return the models that are the fastest for some prompt length."""
    found: list[LatencyModel] = []
    for model in sorted(
        models, key=lambda one: (one.base_ttft_ms, one.ms_per_prompt_token)
    ):
        if not found or model.ms_per_prompt_token < found[-1].ms_per_prompt_token:
            found.append(model)
    return found


class WaitForecast:
    """Predicted time until each waiting request gets a slot.

    Args:
        forecast: Forecast of the slots, without waiting requests.
        latency: Combined latency of the endpoints.
        created_ms: Time at which the forecast is made.

    Attributes:
        latency: Combined latency of the endpoints.
        created_ms: Time at which the forecast was made.
        slots: Number of slots, at least 1.
    """

    def __init__(
        self, forecast: SlotForecast, latency: FleetLatencyModel, created_ms: float
    ) -> None:
        self.latency = latency
        self.created_ms = created_ms
        self._forecast = forecast
        self.slots = max(1, len(forecast))
        self._keys: list[QueueKey] = []
        self._starts_ms: list[float] = []
        self._added: list[tuple[QueueKey, float]] = []

    def append(self, key: QueueKey, handle: Handle) -> None:
        """Add the next request in queue order."""
        self._keys.append(key)
        self._starts_ms.append(self._forecast.next_ms())
        self._forecast.occupy(self.latency.duration_ms(handle))

    def next_ms(self) -> float:
        """Return the wait of the next request to append, from ``created_ms`` on."""
        return self._forecast.next_ms()

    def wait_ms(self, key: QueueKey, now_ms: float) -> float:
        """Return how long a request that arrives now would wait."""
        position = bisect_right(self._keys, key)
        has_next = position < len(self._keys)
        start_ms = self._starts_ms[position] if has_next else self._forecast.next_ms()
        added_ms = sum(busy_ms for other, busy_ms in self._added if other <= key)
        since_ms = now_ms - self.created_ms
        return max(0.0, start_ms + added_ms / self.slots - since_ms)

    def add(self, key: QueueKey, handle: Handle) -> None:
        """Count a request that arrived after the forecast was made."""
        self._added.append((key, self.latency.duration_ms(handle)))
