"""Chooses the endpoint of a request by predicted completion time.

The prediction covers prompts ahead, observed speeds, cached prefixes and the
latency to another data centre. A request may wait for a busy endpoint that is
predicted to finish it sooner than any free one.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from pomelolane.scheduler.estimate import needed_ms

if TYPE_CHECKING:
    from collections.abc import Iterator

    from pomelolane.messages import Handle
    from pomelolane.scheduler.affinity import PrefixIndex
    from pomelolane.scheduler.fleet import Fleet, Worker
    from pomelolane.scheduler.options import CoreOptions
    from pomelolane.scheduler.waiting import WaitingRequest

_MAX_OPEN_CANDIDATES = 8
_MAX_PREFIX_CANDIDATES = 8
_MAX_BUSY_CANDIDATES = 4
_MAX_HELD_ENDPOINTS = 2
_CROSS_DATA_CENTRE_MS = 4.0
_WAIT_GAIN_SHARE = 0.3
_WAIT_GAIN_MS = 100.0
_WAIT_REMAINING_SHARE = 0.5


@dataclass(frozen=True, slots=True)
class Placement:
    """Predicted times of a request on one endpoint.

    Attributes:
        worker: The endpoint.
        wait_ms: Predicted time until the endpoint has a free slot, 0 if it has one.
        ahead_ms: Predicted time to process the prompts ahead of the request.
        cached_tokens: Prompt tokens expected in the endpoint's prefix cache.
        prefill_tokens: Prompt tokens left to process.
        first_token_ms: Predicted time to the first token, wait included.
        total_ms: Predicted time to the last token, wait included.
        long_ms: The same for a long answer.
        score: Value to minimise between endpoints: `total_ms` plus the weighted
            cost of processing prompt tokens that another endpoint may have cached.
    """

    worker: Worker
    wait_ms: float
    ahead_ms: float
    cached_tokens: int
    prefill_tokens: int
    first_token_ms: float
    total_ms: float
    long_ms: float
    score: float


class Placer:
    """Scores the endpoints for a request and chooses one.

    Args:
        fleet: The service's endpoints.
        prefixes: Index of cached prefixes.
        options: Options of the core.
    """

    def __init__(
        self, fleet: Fleet, prefixes: PrefixIndex, options: CoreOptions
    ) -> None:
        self._fleet = fleet
        self._prefixes = prefixes
        self._options = options

    def place(
        self, waiting: WaitingRequest, held: set[str], now_ms: float
    ) -> Placement | None:
        """Return the best endpoint that can take a request now.

        Args:
            waiting: The request.
            held: Endpoints held for requests earlier in the order. If this request
                should wait for a busy endpoint, that endpoint is added.
            now_ms: Current time.

        Returns:
            The placement, or None if the request should wait.
        """
        handle = waiting.handle
        holders = self._holders(handle)
        best = self._best_open(waiting, holders, held, now_ms)
        if best is None or len(held) >= _MAX_HELD_ENDPOINTS:
            return best
        later = self._best_busy(waiting, holders, held, now_ms)
        if later is None or not _is_worth_waiting(best, later):
            return best
        if not self._leaves_time_to_spare(waiting, later, now_ms):
            return best
        held.add(later.worker.endpoint_id)
        return None

    def place_for_short_answer(
        self, waiting: WaitingRequest, held: set[str], now_ms: float
    ) -> Placement | None:
        """Return the free endpoint that would finish a short answer soonest.

        Args:
            waiting: A request whose typical answer would be late.
            held: Endpoints held for other requests.
            now_ms: Current time.

        Returns:
            The placement, or None if even a short answer would be late.
        """
        soonest: Placement | None = None
        soonest_ms = waiting.deadline_ms - now_ms
        holders = self._holders(waiting.handle)
        for worker in self._open_candidates(waiting, holders, held):
            placement = self.predict(waiting, worker, 0.0, now_ms)
            short_ms = _short_answer_ms(waiting, placement)
            if short_ms < soonest_ms:
                soonest, soonest_ms = placement, short_ms
        return soonest

    def in_time_if_short(
        self, waiting: WaitingRequest, worker: Worker, now_ms: float
    ) -> Placement | None:
        """Return the prediction for one endpoint if a short answer would be in time."""
        if not _fits(worker, waiting, set()):
            return None
        placement = self.predict(waiting, worker, 0.0, now_ms)
        is_late = now_ms + _short_answer_ms(waiting, placement) >= waiting.deadline_ms
        return None if is_late else placement

    def hold_for_kv_cache(self, waiting: WaitingRequest, held: set[str]) -> None:
        """Hold one endpoint for a request until the request's KV cache fits."""
        tokens = waiting.cost_tokens
        for worker in self._fleet.open_workers(_MAX_OPEN_CANDIDATES):
            if not _is_allowed(worker, waiting, held):
                continue
            limit = worker.endpoint_state.endpoint.kv_tokens
            if limit >= tokens and not worker.endpoint_state.kv_fits(tokens):
                held.add(worker.endpoint_id)
                return

    def predict(
        self, waiting: WaitingRequest, worker: Worker, wait_ms: float, now_ms: float
    ) -> Placement:
        """Predict the times of a request on one endpoint."""
        handle = waiting.handle
        state = worker.endpoint_state
        cached = 0
        if self._options.affinity and handle.prefix_hashes:
            expected = self._prefixes.cached_tokens(
                worker.endpoint_id, handle.prefix_hashes
            )
            cached = min(expected, handle.prefill_tokens)
        prefill = handle.prefill_tokens - cached
        ahead_ms = state.prefill_ahead_ms(now_ms)
        start_ms = max(wait_ms, ahead_ms)
        if state.endpoint.data_centre != handle.data_centre:
            start_ms += _CROSS_DATA_CENTRE_MS
        first_ms = start_ms + state.unqueued_first_token_ms(prefill)
        total_ms = start_ms + state.service_ms(prefill, waiting.decode_tokens)
        long_ms = start_ms + state.service_ms(prefill, waiting.long_decode_tokens)
        return Placement(
            worker,
            wait_ms,
            ahead_ms,
            cached,
            prefill,
            first_ms,
            total_ms,
            long_ms,
            total_ms + self._options.prefix_weight * self._prefill_cost_ms(prefill),
        )

    def in_time(
        self, waiting: WaitingRequest, placement: Placement, now_ms: float
    ) -> bool:
        """Return whether a placement is predicted to meet the deadline.

        A deferred request no longer has time for a long answer; a typical one must
        be in time with a larger margin.
        """
        if waiting.deferred:
            factor = self._options.chance_factor
            return now_ms + placement.total_ms * factor <= waiting.deadline_ms
        factor = self._options.safety_factor
        needed = placement.total_ms * factor
        long_ms = placement.long_ms * factor
        needed = needed_ms(needed, long_ms, waiting.handle.budget_ms)
        return now_ms + needed <= waiting.deadline_ms

    def _leaves_time_to_spare(
        self, waiting: WaitingRequest, placement: Placement, now_ms: float
    ) -> bool:
        """Return whether even a long answer uses only part of the remaining time."""
        remaining_ms = waiting.deadline_ms - now_ms
        return placement.long_ms <= _WAIT_REMAINING_SHARE * remaining_ms

    def _prefill_cost_ms(self, prefill_tokens: int) -> float:
        """Return the time to process a prompt on an average endpoint."""
        per_ms = self._fleet.prefill_per_ms
        return prefill_tokens / per_ms if per_ms > 0 else 0.0

    def _holders(self, handle: Handle) -> list[Worker]:
        if not self._options.affinity or not handle.prefix_hashes:
            return []
        workers = self._fleet.workers
        found: list[Worker] = []
        for endpoint_id in self._prefixes.holders(handle.prefix_hashes):
            if len(found) >= _MAX_PREFIX_CANDIDATES:
                break
            worker = workers.get(endpoint_id)
            if worker is not None and self._fleet.may_serve(worker):
                found.append(worker)
        return found

    def _best_open(
        self,
        waiting: WaitingRequest,
        holders: list[Worker],
        held: set[str],
        now_ms: float,
    ) -> Placement | None:
        best: Placement | None = None
        for worker in self._open_candidates(waiting, holders, held):
            placement = self.predict(waiting, worker, 0.0, now_ms)
            if not self._is_usable(waiting, placement, now_ms):
                continue
            if best is None or placement.score < best.score:
                best = placement
        return best

    def _is_usable(
        self, waiting: WaitingRequest, placement: Placement, now_ms: float
    ) -> bool:
        if not self._options.refuse_unreachable:
            return True
        return self.in_time(waiting, placement, now_ms)

    def _open_candidates(
        self, waiting: WaitingRequest, holders: list[Worker], held: set[str]
    ) -> Iterator[Worker]:
        seen: set[str] = set()
        examined = 0
        for worker in holders:
            if worker.open_key is not None and _fits(worker, waiting, held):
                seen.add(worker.endpoint_id)
                yield worker
        for worker in self._fleet.open_workers(len(self._fleet.workers)):
            if worker.endpoint_id in seen or not _fits(worker, waiting, held):
                continue
            examined += 1
            yield worker
            if examined >= _MAX_OPEN_CANDIDATES:
                return

    def _best_busy(
        self,
        waiting: WaitingRequest,
        holders: list[Worker],
        held: set[str],
        now_ms: float,
    ) -> Placement | None:
        best: Placement | None = None
        for worker in self._busy_candidates(holders, now_ms):
            if not _is_allowed(worker, waiting, held):
                continue
            wait_ms = worker.endpoint_state.slot_wait_ms(now_ms)
            placement = self.predict(waiting, worker, wait_ms, now_ms)
            if best is None or placement.score < best.score:
                best = placement
        return best

    def _busy_candidates(
        self, holders: list[Worker], now_ms: float
    ) -> Iterator[Worker]:
        if self._options.wait_for_prefix:
            yield from (worker for worker in holders if worker.open_key is None)
        if not self._options.wait_for_better:
            return
        examined = 0
        for worker in self._fleet.summary(now_ms).by_speed:
            if examined >= _MAX_BUSY_CANDIDATES:
                return
            if worker.open_key is None:
                examined += 1
                yield worker


def _short_answer_ms(waiting: WaitingRequest, placement: Placement) -> float:
    """Return the predicted time to the last token of a short answer."""
    state = placement.worker.endpoint_state
    prompt = placement.prefill_tokens
    start_ms = placement.first_token_ms - state.unqueued_first_token_ms(prompt)
    return start_ms + state.service_ms(prompt, waiting.short_decode_tokens)


def _is_allowed(worker: Worker, waiting: WaitingRequest, held: set[str]) -> bool:
    endpoint_id = worker.endpoint_id
    return endpoint_id not in held and endpoint_id not in waiting.handle.excluded


def _fits(worker: Worker, waiting: WaitingRequest, held: set[str]) -> bool:
    if not _is_allowed(worker, waiting, held):
        return False
    return worker.endpoint_state.kv_fits(waiting.cost_tokens)


def _is_worth_waiting(now: Placement, later: Placement) -> bool:
    gain_ms = now.score - later.score
    return gain_ms > max(_WAIT_GAIN_MS, _WAIT_GAIN_SHARE * now.score)
