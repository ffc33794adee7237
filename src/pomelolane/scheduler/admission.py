"""Admission control: which requests may wait, and when refused ones may retry.

Every refusal has the outcome "not run". A request is refused on arrival where
possible, otherwise as soon as measured speeds make its deadline unreachable.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING

from pomelolane.outcomes import Outcome, Reason, Refusal
from pomelolane.scheduler.estimate import needed_ms

if TYPE_CHECKING:
    from pomelolane.scheduler.affinity import PrefixIndex
    from pomelolane.scheduler.endpoint_state import EndpointState
    from pomelolane.scheduler.fleet import Fleet
    from pomelolane.scheduler.options import CoreOptions
    from pomelolane.scheduler.queue import FairQueue
    from pomelolane.scheduler.waiting import WaitingRequest

_MIN_RETRY_MS = 100
_MAX_RETRY_MS = 60_000
_CORRECTION_STEP = 0.1
_MIN_CORRECTION = 0.3
_MAX_CORRECTION = 3.0
_MIN_SAMPLE_WAIT_MS = 200.0
_WAIT_SAMPLE_INTERVAL = 8


class WaitCorrection:
    """Learns, per tier, the ratio of actual to predicted queueing time."""

    def __init__(self) -> None:
        self._factors: dict[int, float] = {}

    def factor(self, rank: int) -> float:
        """Return the learnt ratio of a tier."""
        return self._factors.get(rank, 1.0)

    def learn(self, rank: int, predicted_ms: float, waited_ms: float) -> None:
        """Update the ratio from one granted request."""
        if predicted_ms < _MIN_SAMPLE_WAIT_MS:
            return
        sample = min(_MAX_CORRECTION, max(_MIN_CORRECTION, waited_ms / predicted_ms))
        factor = self.factor(rank)
        self._factors[rank] = factor + _CORRECTION_STEP * (sample - factor)


@dataclass(frozen=True, slots=True)
class AdmissionResult:
    """Result of the admission check of a new request.

    Attributes:
        refusal: Refusal of the request, None where it is admitted.
        displaced: Waiting request to refuse in its favour, or None.
        predicted_wait_ms: Predicted queueing time, uncorrected; 0 if not predicted.
    """

    refusal: Refusal | None = None
    displaced: WaitingRequest | None = None
    predicted_wait_ms: float = 0.0


class Admission:
    """Decides which requests may enter a service's queue.

    Args:
        fleet: The service's endpoints.
        queue: The service's queue.
        prefixes: Index of cached prefixes.
        options: Options of the core.
    """

    def __init__(
        self,
        fleet: Fleet,
        queue: FairQueue,
        prefixes: PrefixIndex,
        options: CoreOptions,
    ) -> None:
        self.wait_correction = WaitCorrection()
        self.queue_limit = 1000
        self.lowest_tier_rank = 0
        self._wait_sample_turn = 0
        self._fleet = fleet
        self._queue = queue
        self._prefixes = prefixes
        self._options = options

    def admit(self, waiting: WaitingRequest, now_ms: float) -> AdmissionResult:
        """Admit or refuse a new request."""
        refusal = self._refuse_impossible(waiting, now_ms)
        if refusal is not None:
            return AdmissionResult(refusal)
        rank = waiting.handle.tier_rank
        predicted_ms = self._predicted_wait_ms(waiting, now_ms)
        wait_ms = predicted_ms * self.wait_correction.factor(rank)
        if self._misses_deadline_after(waiting, wait_ms, now_ms):
            retry_ms = self._retry_after_ms(rank, now_ms)
            late = Refusal(Outcome.NOT_RUN, Reason.DEADLINE_UNREACHABLE, retry_ms)
            return AdmissionResult(late)
        if len(self._queue) < self.queue_limit:
            return AdmissionResult(predicted_wait_ms=predicted_ms)
        return self._displace_or_refuse(waiting, predicted_ms, now_ms)

    def predict_latest_start(self, waiting: WaitingRequest, now_ms: float) -> None:
        """Set the latest start times at which a request still meets its deadline.

        A new request is refused when a typical answer would be late. A waiting
        one is deferred when a long answer would be late, and refused only when
        even a short one would be, so that no lower tier takes a place that it
        could still have used.
        """
        waiting.last_start_ms = waiting.deadline_ms
        waiting.typical_start_ms = waiting.deadline_ms
        waiting.safe_start_ms = waiting.deadline_ms
        if not self._options.refuse_unreachable:
            return
        factor = self._options.safety_factor
        short_ms, typical_ms, long_ms = self._best_service_ms(waiting, now_ms)
        waiting.last_start_ms -= short_ms
        waiting.typical_start_ms -= typical_ms * factor
        waiting.safe_start_ms -= needed_ms(
            typical_ms * factor, long_ms * factor, waiting.handle.budget_ms
        )

    def expired_refusal(self, waiting: WaitingRequest, now_ms: float) -> Refusal:
        """Return the refusal of a request that can no longer meet its deadline."""
        reason = Reason.DEADLINE_UNREACHABLE
        if now_ms >= waiting.deadline_ms:
            reason = Reason.DEADLINE_PASSED
        if not self._fleet.summary(now_ms).by_speed:
            reason = Reason.NO_ENDPOINT
        rank = waiting.handle.tier_rank
        return Refusal(Outcome.NOT_RUN, reason, self._retry_after_ms(rank, now_ms))

    def displaced_refusal(self, rank: int, now_ms: float) -> Refusal:
        """Return the refusal of a request that is displaced from the full queue."""
        retry_ms = self._retry_after_ms(rank, now_ms)
        return Refusal(Outcome.NOT_RUN, Reason.DISPLACED, retry_ms)

    def _refuse_impossible(
        self, waiting: WaitingRequest, now_ms: float
    ) -> Refusal | None:
        """Refuse a request that no endpoint could finish in time even when idle."""
        handle = waiting.handle
        if not self._has_usable_endpoint(waiting):
            retry_ms = int(self._fleet.retry_ms(now_ms)) or _MIN_RETRY_MS
            return Refusal(Outcome.NOT_RUN, Reason.NO_ENDPOINT, retry_ms)
        if handle.budget_ms <= 0:
            return Refusal(Outcome.NOT_RUN, Reason.DEADLINE_PASSED)
        self.predict_latest_start(waiting, now_ms)
        if now_ms > waiting.typical_start_ms:
            return Refusal(Outcome.NOT_RUN, Reason.DEADLINE_UNREACHABLE)
        return None

    def _has_usable_endpoint(self, waiting: WaitingRequest) -> bool:
        if not self._fleet.has_kv_capacity(waiting.cost_tokens):
            return False
        excluded = waiting.handle.excluded
        if not excluded and self._fleet.ready_count() > 0:
            return True
        return self._fleet.has_eligible(excluded)

    def _best_service_ms(
        self, waiting: WaitingRequest, now_ms: float
    ) -> tuple[float, float, float]:
        """Return the shortest service times of a short, typical and long answer."""
        prefill = waiting.handle.prefill_tokens
        fastest = self._fleet.summary(now_ms).fastest
        candidates = [(state, prefill) for state in fastest]
        candidates += self._endpoints_with_prefix(waiting)
        if not candidates:
            return 0.0, 0.0, 0.0
        short_ms = typical_ms = long_ms = math.inf
        for state, rest in candidates:
            prompt_ms, token_ms = state.phases_ms(rest)
            # Comparisons instead of min(), which costs a call each.
            one_ms = prompt_ms + waiting.short_decode_tokens * token_ms
            short_ms = one_ms if one_ms < short_ms else short_ms
            one_ms = prompt_ms + waiting.decode_tokens * token_ms
            typical_ms = one_ms if one_ms < typical_ms else typical_ms
            one_ms = prompt_ms + waiting.long_decode_tokens * token_ms
            long_ms = one_ms if one_ms < long_ms else long_ms
        return short_ms, typical_ms, long_ms

    def _endpoints_with_prefix(
        self, waiting: WaitingRequest
    ) -> list[tuple[EndpointState, int]]:
        """Return endpoints with a cached prefix, and the prompt tokens left to do."""
        hashes = waiting.handle.prefix_hashes
        if not self._options.affinity or not hashes:
            return []
        found = []
        for endpoint_id in self._prefixes.holders(hashes):
            worker = self._fleet.workers.get(endpoint_id)
            if worker is None or not self._fleet.may_serve(worker):
                continue
            cached = self._prefixes.cached_tokens(endpoint_id, hashes)
            rest = max(0, waiting.handle.prefill_tokens - cached)
            found.append((worker.endpoint_state, rest))
        return found

    def _predicted_wait_ms(self, waiting: WaitingRequest, now_ms: float) -> float:
        """Predict the queueing time; for higher tiers, only for a sample of requests.

        Their prediction refuses nothing; the sample is for `WaitCorrection`.
        """
        if not len(self._queue):
            return 0.0
        if waiting.handle.tier_rank < self.lowest_tier_rank:
            self._wait_sample_turn = (
                self._wait_sample_turn + 1
            ) % _WAIT_SAMPLE_INTERVAL
            if self._wait_sample_turn:
                return 0.0
        backlog = self._queue.backlog_ahead(waiting.handle, waiting.deadline_ms)
        return self._fleet.summary(now_ms).drain_ms(backlog)

    def _misses_deadline_after(
        self, waiting: WaitingRequest, wait_ms: float, now_ms: float
    ) -> bool:
        """Return whether the predicted wait makes the deadline unreachable.

        Only the lowest tier is refused by this prediction: a wrong prediction for
        a higher tier would give the place of its request to a lower one.
        """
        if not self._options.predict_wait or self._fleet.has_open():
            return False
        if waiting.handle.tier_rank < self.lowest_tier_rank:
            return False
        slack_ms = waiting.safe_start_ms - now_ms
        return wait_ms > slack_ms * self._options.predict_wait_margin

    def _displace_or_refuse(
        self, waiting: WaitingRequest, predicted_ms: float, now_ms: float
    ) -> AdmissionResult:
        """Choose a request to displace from the full queue, or refuse the new one."""
        rank = waiting.handle.tier_rank
        lowest = self._queue.lowest_rank()
        victim = None
        if lowest > rank:
            victim = self._queue.newest(lowest)
        elif lowest == rank and self._options.fair_shares:
            victim = self._queue.newest_over_share(waiting.handle)
        if victim is not None:
            return AdmissionResult(displaced=victim, predicted_wait_ms=predicted_ms)
        retry_ms = self._retry_after_ms(rank, now_ms)
        return AdmissionResult(Refusal(Outcome.NOT_RUN, Reason.QUEUE_FULL, retry_ms))

    def _retry_after_ms(self, rank: int, now_ms: float) -> int:
        """Return the predicted time until the queue of a tier and above is drained."""
        if not self._fleet.summary(now_ms).by_speed:
            wait_ms = self._fleet.retry_ms(now_ms)
        else:
            backlog = self._queue.backlog(rank)
            wait_ms = self._fleet.summary(now_ms).drain_ms(backlog)
            wait_ms *= self.wait_correction.factor(rank)
        return int(min(_MAX_RETRY_MS, max(_MIN_RETRY_MS, wait_ms)))
