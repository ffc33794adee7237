"""The endpoints of one service: which are available, and which fits a request."""

from __future__ import annotations

import math
from collections import Counter
from typing import TYPE_CHECKING

from pomelolane.model import ServiceKind
from pomelolane.ports import LIMIT_KEPT_MS
from pomelolane.scheduler.objective.estimates import ReceivedEstimates, start_key
from pomelolane.scheduler.objective.lengths import EventSize, PredictionError
from pomelolane.scheduler.objective.worker import Worker

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator, Mapping

    from pomelolane.messages import Handle
    from pomelolane.model import Endpoint
    from pomelolane.scheduler.objective.estimates import EndpointEstimate
    from pomelolane.scheduler.objective.flight import Flight
    from pomelolane.scheduler.objective.options import ObjectiveOptions
    from pomelolane.scheduler.objective.rate import EndpointRateLimit
    from pomelolane.scheduler.objective.waiting import WaitingRequest

_INFINITE_MS = float("inf")
"""No time limit, or the score of an endpoint that must not get a request."""

_FASTEST_CACHE_MS = 50.0
"""How long the fastest endpoint is cached: the tick period. Searching all endpoints for
each request that cannot be placed took more time than all other decisions."""


class Fleet:
    """Tracks the endpoints and indexes those that have a free slot.

    Args:
        options: Tuning constants of the policy.

    Attributes:
        kind: Kind of the service.
        share: Share of the slots that may be used.
        event_size: Estimate of the tokens per answer event.
    """

    def __init__(self, options: ObjectiveOptions) -> None:
        self.kind = ServiceKind.ENGINE
        self.share = 1.0
        self.event_size = EventSize(options.tokens_per_event)
        self._options = options
        self._prediction_error = PredictionError()
        self._workers: dict[str, Worker] = {}
        self._with_free_slots: dict[str, Worker] = {}
        self._retained_rates: dict[tuple[str, int], EndpointRateLimit] = {}
        self._estimates = ReceivedEstimates(options)
        self._new_adoptions: Counter[str] = Counter()
        self._all_suspended = False
        self._fastest: Worker | None = None
        self._fastest_at_ms = 0.0

    def __iter__(self) -> Iterator[Worker]:
        return iter(self._workers.values())

    def find(self, endpoint_id: str) -> Worker | None:
        """Return an endpoint by id, None if it is not declared."""
        return self._workers.get(endpoint_id)

    # --- settings -----------------------------------------------------------

    def configure(self, endpoints: Mapping[str, Endpoint], now_ms: float) -> list[str]:
        """Apply the declared endpoints; return request ids that ran on removed ones.

        A restarted endpoint counts as removed and added anew, with fresh statistics.
        One that does not state its start and has another version keeps its requests.
        """
        lost: list[str] = []
        for name, worker in list(self._workers.items()):
            endpoint = endpoints.get(name)
            if endpoint is None or endpoint.born_ms != worker.endpoint.born_ms:
                lost.extend(self._workers.pop(name).flights)
                self._with_free_slots.pop(name, None)
                self._retain_rate(worker)
                self._estimates.retain(worker, now_ms)
        added = []
        for name, endpoint in endpoints.items():
            worker = self._workers.get(name)
            if worker is None:
                worker = self._make_worker(endpoint)
                worker.rate = self._restore_rate(endpoint, now_ms)
                self._workers[name] = worker
                added.append(worker)
            elif start_key(worker.endpoint) != start_key(endpoint):
                self._estimates.retain(worker, now_ms)
                worker.reset_estimate()
                added.append(worker)
            worker.endpoint = endpoint
            worker.leaving = endpoint.leaving
            self._index(worker)
        self._adopt(added, now_ms)
        self._fastest = None
        return lost

    def limit_slots(self, share: float) -> None:
        """Use only a share of the slots."""
        self.share = share
        for worker in self._workers.values():
            self._index(worker)

    def estimates(self, now_ms: float) -> tuple[EndpointEstimate, ...]:
        """Return what is known of the endpoints' speeds and failures."""
        return self._estimates.export(self._workers.values(), now_ms)

    def adopt_estimates(
        self, estimates: Iterable[EndpointEstimate], source: str, now_ms: float
    ) -> int:
        """Adopt estimates of another scheduler; return how many were adopted now.

        Those of endpoints that are not declared yet are adopted when they are.
        """
        received = self._estimates.receive(estimates, source, now_ms)
        workers = [w for w in self if start_key(w.endpoint) in received]
        self._fastest = None
        return self._adopt(workers, now_ms)

    def take_new_adoptions(self) -> dict[str, int]:
        """Return the number of adoptions since the last call, by source."""
        adoptions, self._new_adoptions = self._new_adoptions, Counter()
        return dict(adoptions)

    def _adopt(self, workers: Iterable[Worker], now_ms: float) -> int:
        adopted = []
        for worker in workers:
            estimate = self._estimates.apply(worker, now_ms)
            if estimate is None:
                continue
            adopted.append(estimate)
            # Without a source, it was learnt here, before the endpoint was removed.
            if worker.estimate_source:
                self._new_adoptions[worker.estimate_source] += 1
        newest = min(adopted, key=lambda one: one.age_ms, default=None)
        if newest is not None and newest.event_tokens:
            sampled_ms = now_ms - newest.age_ms
            self.event_size.adopt(newest.event_tokens, newest.weight, sampled_ms)
        return len(adopted)

    def _retain_rate(self, worker: Worker) -> None:
        """Retain a rate limit in case the registry has lost the endpoint briefly."""
        if worker.rate is not None:
            instance = worker.endpoint.endpoint_id, worker.endpoint.born_ms
            self._retained_rates[instance] = worker.rate

    def _restore_rate(
        self, endpoint: Endpoint, now_ms: float
    ) -> EndpointRateLimit | None:
        self._retained_rates = {
            instance: rate
            for instance, rate in self._retained_rates.items()
            if now_ms - rate.last_set_ms < LIMIT_KEPT_MS
        }
        return self._retained_rates.pop((endpoint.endpoint_id, endpoint.born_ms), None)

    def _make_worker(self, endpoint: Endpoint) -> Worker:
        return Worker(
            endpoint, self.kind, self._options, self.event_size, self._prediction_error
        )

    # --- slots --------------------------------------------------------------

    def begin(self, worker: Worker, handle: Handle, now_ms: float) -> Flight:
        """Register a granted request."""
        flight = worker.begin(handle, now_ms)
        self._index(worker)
        return flight

    def end(self, endpoint_id: str, request_id: str) -> None:
        """Release the slot of a granted request."""
        worker = self._workers.get(endpoint_id)
        if worker is not None:
            worker.end(request_id)
            self._index(worker)

    def _index(self, worker: Worker) -> None:
        name = worker.endpoint.endpoint_id
        if len(worker.flights) < worker.usable_slots(self.share):
            self._with_free_slots[name] = worker
        else:
            self._with_free_slots.pop(name, None)

    def available(self, now_ms: float) -> list[Worker]:
        """Return the endpoints that may get another request now.

        If all endpoints are suspended or probing, those with a free slot are used all
        the same.
        """
        with_free_slots = self._with_free_slots.values()
        found = [w for w in with_free_slots if w.is_available(now_ms)]
        self._all_suspended = False
        if not found and with_free_slots:
            staying = (w for w in self._workers.values() if not w.leaving)
            self._all_suspended = all(
                worker.is_suspended_or_probing(now_ms) for worker in staying
            )
        if self._all_suspended:
            found = [
                w for w in with_free_slots if not w.leaving and w.is_within_rate(now_ms)
            ]
        return found

    def is_still_available(self, worker: Worker, now_ms: float) -> bool:
        """Return whether an endpoint from :meth:`available` may get another request."""
        if worker.endpoint.endpoint_id not in self._with_free_slots:
            return False
        if self._all_suspended:
            return worker.is_within_rate(now_ms)
        return worker.is_available(now_ms)

    def has_any(self) -> bool:
        """Return whether any endpoint is not leaving."""
        return any(not worker.leaving for worker in self._workers.values())

    def has_any_for(self, handle: Handle) -> bool:
        """Return whether any endpoint that is not leaving may get a request."""
        return bool(self._allowed_for(handle))

    def reserve_for_bound(self, handle: Handle, now_ms: float) -> list[Worker]:
        """Return endpoints with a free slot that only a request bound to them gets.

        These are endpoints that take nothing but what goes on with their streams. If
        all endpoints of its version are suspended, it gets one of them, as it cannot
        wait for endpoints of another version.
        """
        allowed = self._allowed_for(handle)
        are_suspended = all(w.is_suspended_or_probing(now_ms) for w in allowed)
        return [
            w
            for w in allowed
            if w.endpoint.endpoint_id in self._with_free_slots
            and w.is_within_rate(now_ms)
            and (are_suspended or (w.leaving and w.is_available_for_trial(now_ms)))
        ]

    def _allowed_for(self, handle: Handle) -> list[Worker]:
        workers = self._workers.values()
        return [w for w in workers if not w.is_closed_to(handle) and may_get(w, handle)]

    def has_free_share(self, share: float, now_ms: float) -> bool:
        """Return whether more than a share of all slots is free."""
        total = sum(worker.endpoint.slots for worker in self._workers.values())
        free = sum(
            worker.endpoint.slots - len(worker.flights)
            for worker in self._with_free_slots.values()
            if worker.is_available(now_ms)
        )
        return free > share * total

    # --- placement ----------------------------------------------------------

    def place(
        self, waiting: WaitingRequest, workers: list[Worker], now_ms: float
    ) -> Worker | None:
        """Return the endpoint with the lowest score (see :meth:`Worker.score_ms`).

        Args:
            waiting: The request.
            workers: The available endpoints.
            now_ms: Current time.

        Returns:
            None if the request should wait.
        """
        handle = waiting.handle
        left_ms = self._max_duration_ms(waiting, now_ms)
        best = None
        best_score_ms = _INFINITE_MS
        for worker in workers:
            if not may_get(worker, handle):
                continue
            score_ms = worker.score_ms(handle, left_ms)
            if score_ms < best_score_ms:
                best, best_score_ms = worker, score_ms
        if best is None or waiting.late or not handle.objective_ms:
            return best
        if len(workers) == len(self._workers):
            # All endpoints are available: waiting cannot help.
            return best
        at_ms = now_ms + best.predict_ttft_ms(handle) + self.margin_ms()
        return best if at_ms <= waiting.objective_at_ms else None

    def place_on_trial(
        self, waiting: WaitingRequest, candidates: Iterable[str], now_ms: float
    ) -> Worker | None:
        """Return the first endpoint on trial that would answer on time.

        Endpoints on trial get no other requests, so the first one is filled before the
        next is used.

        Args:
            waiting: The request.
            candidates: Endpoint ids, in order of preference.
            now_ms: Current time.

        Returns:
            None if the request should not go to an endpoint on trial.
        """
        handle = waiting.handle
        left_ms = waiting.deadline_ms - now_ms
        due_ms = waiting.objective_at_ms if handle.objective_ms else math.inf
        for name in candidates:
            worker = self._with_free_slots.get(name)
            if worker is None or not worker.is_available_for_trial(now_ms):
                continue
            worker.update_max_prompt(now_ms)
            ttft_ms = worker.predict_ttft_ms(handle)
            is_in_time = now_ms + ttft_ms + self.margin_ms() <= due_ms
            if is_in_time and worker.score_ms(handle, left_ms) < _INFINITE_MS:
                return worker
        return None

    def is_unreachable(self, waiting: WaitingRequest, now_ms: float) -> bool:
        """Return whether even an idle endpoint would miss the objective.

        Such a request is at the head of the queue because it is due first. Granting it
        in that order would make the requests behind it late as well.
        """
        if waiting.late or not waiting.handle.objective_ms:
            return False
        earliest_ms = now_ms + self.min_ttft_ms(waiting.handle, now_ms)
        return earliest_ms > waiting.objective_at_ms

    def min_ttft_ms(self, handle: Handle, now_ms: float) -> float:
        """Return the time to first byte at the fastest endpoint when idle."""
        if now_ms - self._fastest_at_ms >= _FASTEST_CACHE_MS or self._fastest is None:
            self._fastest = self._find_fastest(now_ms)
            self._fastest_at_ms = now_ms
        idle_ttft_ms = self._fastest.idle_ttft_ms(handle) if self._fastest else 0.0
        return idle_ttft_ms + self.margin_ms()

    def margin_ms(self) -> float:
        """Return how long before it is due an answer must be predicted to begin."""
        options = self._options
        return (
            options.margin_ms + options.spread_factor * self._prediction_error.mean_ms
        )

    def _find_fastest(self, now_ms: float) -> Worker | None:
        staying = [w for w in self._workers.values() if not w.leaving]
        usable = [
            w for w in staying if not w.is_suspended_or_probing(now_ms)
        ] or staying
        return min(usable, key=_slowdown, default=None)

    def _max_duration_ms(self, waiting: WaitingRequest, now_ms: float) -> float:
        """Return how long the expected answer may take.

        An answer up to ``length_factor`` times as long must still end before the
        deadline. There is no limit if no endpoint that may get it is that fast.
        """
        handle = waiting.handle
        left_ms = (waiting.deadline_ms - now_ms) / self._options.length_factor
        for worker in self._workers.values():
            if may_get(worker, handle) and worker.duration_ms(handle) <= left_ms:
                return left_ms
        return _INFINITE_MS


def may_get(worker: Worker, handle: Handle) -> bool:
    """Return whether a request may go to an endpoint, busy or not."""
    endpoint = worker.endpoint
    if handle.version is not None and endpoint.version != handle.version:
        return False
    return endpoint.endpoint_id not in handle.excluded


def longest_accepted_prompt(workers: Iterable[Worker]) -> float:
    """Return the longest prompt in tokens that any of the endpoints accepts."""
    return max((worker.max_prompt_tokens for worker in workers), default=0.0)


def _slowdown(worker: Worker) -> float:
    return worker.slowdown
