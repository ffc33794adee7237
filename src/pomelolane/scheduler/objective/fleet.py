"""The endpoints of one service: who can take a request now, and who suits it."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from pomelolane.model import ServiceKind
from pomelolane.ports import LIMIT_KEPT_MS
from pomelolane.scheduler.objective.lengths import EventSize, Spread
from pomelolane.scheduler.objective.worker import Worker

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator, Mapping

    from pomelolane.messages import Handle
    from pomelolane.model import Endpoint
    from pomelolane.scheduler.objective.flight import Flight
    from pomelolane.scheduler.objective.options import ObjectiveOptions
    from pomelolane.scheduler.objective.rate import NamedRate
    from pomelolane.scheduler.objective.waiting import Waiting

_ANY_TIME_MS = float("inf")

_FASTEST_MS = 50.0
"""How long the fastest endpoint is remembered: the period of ticks. Looking at all of
them for each request that finds no place took more time than all other decisions."""


class Fleet:
    """Keeps the endpoints, with an index of those that have a free slot.

    Args:
        options: Constants.

    Attributes:
        kind: Kind of the service.
        share: Part of the slots that may be used.
        event_size: Expected tokens in one event of an answer.
    """

    def __init__(self, options: ObjectiveOptions) -> None:
        self.kind = ServiceKind.ENGINE
        self.share = 1.0
        self.event_size = EventSize(options.tokens_per_event)
        self._options = options
        self._spread = Spread()
        self._workers: dict[str, Worker] = {}
        self._with_room: dict[str, Worker] = {}
        self._kept_rates: dict[tuple[str, int], NamedRate] = {}
        self._in_need = False
        self._fastest: Worker | None = None
        self._fastest_at_ms = 0.0

    def __iter__(self) -> Iterator[Worker]:
        return iter(self._workers.values())

    def find(self, endpoint_id: str) -> Worker | None:
        """Return an endpoint, None where it is not declared."""
        return self._workers.get(endpoint_id)

    # --- settings -----------------------------------------------------------

    def configure(self, endpoints: Mapping[str, Endpoint], now_ms: float) -> list[str]:
        """Adopt the declared endpoints; return the requests of those that are gone.

        One that was started again is gone as well, with all that is known of it.
        """
        lost: list[str] = []
        for name, worker in list(self._workers.items()):
            endpoint = endpoints.get(name)
            if endpoint is None or endpoint.born_ms != worker.endpoint.born_ms:
                lost.extend(self._workers.pop(name).flights)
                self._with_room.pop(name, None)
                self._keep_rate(worker)
        for name, endpoint in endpoints.items():
            worker = self._workers.get(name)
            if worker is None:
                worker = self._make_worker(endpoint)
                worker.rate = self._take_kept_rate(endpoint, now_ms)
                self._workers[name] = worker
            worker.endpoint = endpoint
            worker.leaving = endpoint.leaving
            self._index(worker)
        self._fastest = None
        return lost

    def limit_slots(self, share: float) -> None:
        """Use only a share of the slots."""
        self.share = share
        for worker in self._workers.values():
            self._index(worker)

    def _keep_rate(self, worker: Worker) -> None:
        """Keep the rate of an endpoint that the registry may only have lost."""
        if worker.rate is not None:
            start = worker.endpoint.endpoint_id, worker.endpoint.born_ms
            self._kept_rates[start] = worker.rate

    def _take_kept_rate(self, endpoint: Endpoint, now_ms: float) -> NamedRate | None:
        self._kept_rates = {
            start: rate
            for start, rate in self._kept_rates.items()
            if now_ms - rate.named_ms < LIMIT_KEPT_MS
        }
        return self._kept_rates.pop((endpoint.endpoint_id, endpoint.born_ms), None)

    def _make_worker(self, endpoint: Endpoint) -> Worker:
        return Worker(endpoint, self.kind, self._options, self.event_size, self._spread)

    # --- slots --------------------------------------------------------------

    def begin(self, worker: Worker, handle: Handle, now_ms: float) -> Flight:
        """Count a granted request."""
        flight = worker.begin(handle, now_ms)
        self._index(worker)
        return flight

    def end(self, endpoint_id: str, request_id: str) -> None:
        """Uncount a granted request."""
        worker = self._workers.get(endpoint_id)
        if worker is not None:
            worker.end(request_id)
            self._index(worker)

    def _index(self, worker: Worker) -> None:
        name = worker.endpoint.endpoint_id
        if len(worker.flights) < worker.usable_slots(self.share):
            self._with_room[name] = worker
        else:
            self._with_room.pop(name, None)

    def open(self, now_ms: float) -> list[Worker]:
        """Return the endpoints that may get one more request now."""
        with_room = self._with_room.values()
        found = [w for w in with_room if w.is_open(now_ms)]
        self._in_need = False
        if not found and with_room:
            staying = (w for w in self._workers.values() if not w.leaving)
            self._in_need = all(worker.is_doubted(now_ms) for worker in staying)
        if self._in_need:
            found = [w for w in with_room if not w.leaving and w.is_within_rate(now_ms)]
        return found

    def is_still_open(self, worker: Worker, now_ms: float) -> bool:
        """Tell whether one of the open endpoints may get another request."""
        if worker.endpoint.endpoint_id not in self._with_room:
            return False
        if self._in_need:
            return worker.is_within_rate(now_ms)
        return worker.is_open(now_ms)

    def has_any(self, excluded: tuple[str, ...]) -> bool:
        """Tell whether any endpoint stays that a request may go to."""
        return any(
            not worker.leaving and name not in excluded
            for name, worker in self._workers.items()
        )

    def has_room_beside(self, share: float, now_ms: float) -> bool:
        """Tell whether more than a share of all slots is free."""
        total = sum(worker.endpoint.slots for worker in self._workers.values())
        free = sum(
            worker.endpoint.slots - len(worker.flights)
            for worker in self._with_room.values()
            if worker.is_open(now_ms)
        )
        return free > share * total

    # --- placement ----------------------------------------------------------

    def place(
        self, waiting: Waiting, workers: list[Worker], now_ms: float
    ) -> Worker | None:
        """Return the endpoint where the first answer byte comes soonest.

        Args:
            waiting: The request.
            workers: The open endpoints.
            now_ms: The time.

        Returns:
            None where the request should wait.
        """
        handle = waiting.handle
        excluded = handle.excluded
        left_ms = self._bearable_ms(waiting, now_ms)
        best = None
        best_score_ms = _ANY_TIME_MS
        for worker in workers:
            if excluded and worker.endpoint.endpoint_id in excluded:
                continue
            score_ms = worker.bid_ms(handle, left_ms)
            if score_ms < best_score_ms:
                best, best_score_ms = worker, score_ms
        if best is None or waiting.late or not handle.objective_ms:
            return best
        if len(workers) == len(self._workers):
            # There is nothing to wait for.
            return best
        at_ms = now_ms + best.predict_ms(handle) + self.margin_ms()
        return best if at_ms <= waiting.objective_at_ms else None

    def place_on_trial(
        self, waiting: Waiting, candidates: Iterable[str], now_ms: float
    ) -> Worker | None:
        """Return the first of some endpoints that would answer on time.

        They get nothing else, so the first one is used fully before the next.

        Args:
            waiting: The request.
            candidates: Ids of endpoints.
            now_ms: The time.

        Returns:
            None where the request should go elsewhere.
        """
        handle = waiting.handle
        left_ms = waiting.deadline_ms - now_ms
        due_ms = waiting.objective_at_ms if handle.objective_ms else math.inf
        for name in candidates:
            worker = self._with_room.get(name)
            if worker is None or not worker.is_able(now_ms):
                continue
            worker.measure_room(now_ms)
            first_ms = worker.predict_ms(handle)
            is_in_time = now_ms + first_ms + self.margin_ms() <= due_ms
            if is_in_time and worker.bid_ms(handle, left_ms) < _ANY_TIME_MS:
                return worker
        return None

    def is_hopeless(self, waiting: Waiting, now_ms: float) -> bool:
        """Tell whether no endpoint could answer on time, were it idle.

        Such a request is due before all others. Sent in its turn, it makes those
        behind it too late as well.
        """
        if waiting.late or not waiting.handle.objective_ms:
            return False
        soonest_ms = now_ms + self.soonest_ms(waiting.handle, now_ms)
        return soonest_ms > waiting.objective_at_ms

    def soonest_ms(self, handle: Handle, now_ms: float) -> float:
        """Return the time to a first answer byte at the fastest endpoint, if idle."""
        if now_ms - self._fastest_at_ms >= _FASTEST_MS or self._fastest is None:
            self._fastest = self._find_fastest(now_ms)
            self._fastest_at_ms = now_ms
        alone_ms = self._fastest.alone_ms(handle) if self._fastest else 0.0
        return alone_ms + self.margin_ms()

    def margin_ms(self) -> float:
        """Return by how much sooner than due an answer has to be predicted."""
        options = self._options
        return options.margin_ms + options.spread_factor * self._spread.mean_ms

    def _find_fastest(self, now_ms: float) -> Worker | None:
        staying = [w for w in self._workers.values() if not w.leaving]
        usable = [w for w in staying if not w.is_doubted(now_ms)] or staying
        return min(usable, key=_slowdown, default=None)

    def _bearable_ms(self, waiting: Waiting, now_ms: float) -> float:
        """Return how long an answer may take where one longer than expected must end.

        Where none of the endpoints is so fast, it does not matter which.
        """
        handle = waiting.handle
        left_ms = (waiting.deadline_ms - now_ms) / self._options.length_factor
        for worker in self._workers.values():
            if worker.duration_ms(handle) <= left_ms:
                return left_ms
        return _ANY_TIME_MS


def most_room(workers: Iterable[Worker]) -> float:
    """Return the longest prompt that some of the endpoints may get."""
    return max((worker.room_tokens for worker in workers), default=0.0)


def _slowdown(worker: Worker) -> float:
    return worker.slowdown
