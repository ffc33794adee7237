"""Selects requests outside the queue order, for free slots and for probes.

A waiting request is refused only when even a short answer would be late. Until then,
a slot that it could use must not go to a lower tier.
"""

from __future__ import annotations

from contextlib import closing
from itertools import islice
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from pomelolane.scheduler.fleet import Worker
    from pomelolane.scheduler.options import CoreOptions
    from pomelolane.scheduler.placement import Placement, Placer
    from pomelolane.scheduler.queue import FairQueue
    from pomelolane.scheduler.running import RunningRequests
    from pomelolane.scheduler.waiting import WaitingRequest

    Selection = tuple[WaitingRequest, Placement]

MAX_DEFERRED_FOR_SLOT = 16
"""Deferred requests of a tier that are tried for a free slot per decision."""

MAX_DEFERRED_FOR_PROBE = 256
"""Deferred requests of a tier that are tried for a probe. The limit is higher because
probes are sent about once per second, and because the first requests are due so soon
that they would be late on an endpoint a little slower than the best."""


class OutOfOrderSelector:
    """Selects requests outside the queue order.

    Args:
        queue: The waiting requests.
        placer: Predictor of request times on endpoints.
        running: The running requests, for concurrency limits.
        options: Options of the core.
        may_dispatch: Returns whether limits and the reserve allow a grant.
    """

    def __init__(
        self,
        queue: FairQueue,
        placer: Placer,
        running: RunningRequests,
        options: CoreOptions,
        may_dispatch: Callable[[WaitingRequest, float], bool],
    ) -> None:
        self._queue = queue
        self._placer = placer
        self._running = running
        self._options = options
        self._may_dispatch = may_dispatch

    def select_for_slot(
        self, rank: int, held: set[str], now_ms: float
    ) -> Selection | None:
        """Return a deferred request that a free slot saves if its answer is short.

        Args:
            rank: A tier with no request that can be placed in queue order, as when
                its requests with enough time exclude all free endpoints.
            held: Endpoints held for other requests.
            now_ms: Current time.
        """

        def place(waiting: WaitingRequest) -> Placement | None:
            if not self._may_dispatch(waiting, now_ms):
                return None
            return self._placer.place_for_short_answer(waiting, held, now_ms)

        return self._select_deferred(rank, place, MAX_DEFERRED_FOR_SLOT)

    def select_for_probe(self, worker: Worker, now_ms: float) -> Selection | None:
        """Return the request that probes an unhealthy endpoint.

        A deferred request that only a short answer can finish in time comes first,
        because on healthy endpoints all others of its tier go before it. Otherwise it
        is a request of the lowest tier, to spare higher tiers the risk.
        """
        return self._select_urgent_for_probe(
            worker, now_ms
        ) or self._select_from_lowest_tier(worker, now_ms)

    def _select_urgent_for_probe(
        self, worker: Worker, now_ms: float
    ) -> Selection | None:
        def place(waiting: WaitingRequest) -> Placement | None:
            if self._running.park_if_limited(waiting.handle):
                return None
            return self._placer.in_time_if_short(waiting, worker, now_ms)

        for rank in self._queue.ranks():
            chosen = self._select_deferred(rank, place, MAX_DEFERRED_FOR_PROBE)
            if chosen is not None:
                return chosen
        return None

    def _select_deferred(
        self, rank: int, place: Callable[[WaitingRequest], Placement | None], limit: int
    ) -> Selection | None:
        """Return the first deferred request of a tier that can be placed."""
        if not self._queue.has_deferred(rank):
            return None
        with closing(self._queue.scan(rank)) as requests:
            deferred = (waiting for waiting in requests if waiting.deferred)
            for waiting in islice(deferred, limit):
                placement = place(waiting)
                if placement is not None:
                    return waiting, placement
        return None

    def _select_from_lowest_tier(
        self, worker: Worker, now_ms: float
    ) -> Selection | None:
        """Return a request of the lowest tier that is in time at the measured speed."""
        for rank in reversed(self._queue.ranks()):
            with closing(self._queue.scan(rank)) as requests:
                for waiting in requests:
                    placement = self._place_probe(waiting, worker, now_ms)
                    if placement is not None:
                        return waiting, placement
        return None

    def _place_probe(
        self, waiting: WaitingRequest, worker: Worker, now_ms: float
    ) -> Placement | None:
        if worker.endpoint_id in waiting.handle.excluded:
            return None
        if waiting.deferred and self._options.sure_first:
            return None
        if self._running.park_if_limited(waiting.handle):
            return None
        if not worker.endpoint_state.kv_fits(waiting.cost_tokens):
            return None
        placement = self._placer.predict(waiting, worker, 0.0, now_ms)
        return placement if self._placer.in_time(waiting, placement, now_ms) else None
