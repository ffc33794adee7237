"""Who gets a slot that the usual order leaves free, and who probes a straggler.

A request that has no time for a middling answer any more is refused only when a short
one would be late, too; until then a lower tier must not have taken its place.
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
"""Deferred requests of a tier that are looked at for a free slot, at each decision."""

MAX_DEFERRED_FOR_PROBE = 256
"""The same for a probe, of which there is one a second: the first ones are due at once
and would be late on an endpoint that is a little slower than the best."""


class OutOfOrderSelector:
    """Chooses requests beside the usual order.

    Args:
        queue: What waits.
        placer: Predicts requests on endpoints.
        flights: Knows whose concurrency is used up.
        options: Switches of the core.
        may_go: Tells whether limits and the reserve let a request have a slot.
    """

    def __init__(
        self,
        queue: FairQueue,
        placer: Placer,
        flights: RunningRequests,
        options: CoreOptions,
        may_dispatch: Callable[[WaitingRequest, float], bool],
    ) -> None:
        self._queue = queue
        self._placer = placer
        self._running = flights
        self._options = options
        self._may_dispatch = may_dispatch

    def select_for_slot(
        self, rank: int, held: set[str], now_ms: float
    ) -> Selection | None:
        """Return one of a tier that a short answer in a free slot would save.

        Args:
            rank: The tier, of which nothing can go in the usual order: those that have
                time may be excluded from what is free.
            held: Endpoints that other requests wait for.
            now_ms: The time.
        """

        def place(waiting: WaitingRequest) -> Placement | None:
            if not self._may_dispatch(waiting, now_ms):
                return None
            return self._placer.place_for_short_answer(waiting, held, now_ms)

        return self._select_deferred(rank, place, MAX_DEFERRED_FOR_SLOT)

    def select_for_probe(self, worker: Worker, now_ms: float) -> Selection | None:
        """Return the request that tries an endpoint which was slow.

        It is one of the lowest tier, since higher ones are to be spared the risk, but
        for those that nothing else can save: the others of their tier, which have time,
        go before them everywhere else.
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
        self, rank: int, place: Callable[[WaitingRequest], Placement | None], most: int
    ) -> Selection | None:
        """Return the first deferred request of a tier that finds a place."""
        if not self._queue.has_deferred(rank):
            return None
        with closing(self._queue.scan(rank)) as requests:
            deferred = (waiting for waiting in requests if waiting.deferred)
            for waiting in islice(deferred, most):
                placement = place(waiting)
                if placement is not None:
                    return waiting, placement
        return None

    def _select_from_lowest_tier(
        self, worker: Worker, now_ms: float
    ) -> Selection | None:
        """Return a request that would be in time even at the measured speed."""
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
        if not worker.account.kv_fits(waiting.cost_tokens):
            return None
        placement = self._placer.predict(waiting, worker, 0.0, now_ms)
        return placement if self._placer.in_time(waiting, placement, now_ms) else None
