"""The dispatched requests of a service and everything that they hold.

Begin and end of a flight move all accounts together: slots, memory, shares,
limits, reserve and the record of prefixes.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from pomelolane.scheduler.accounting import Flight
from pomelolane.scheduler.health import State
from pomelolane.scheduler.recent import RecentIds

if TYPE_CHECKING:
    from pomelolane.messages import Handle, RunningHandle, StreamEvent
    from pomelolane.scheduler.affinity import PrefixIndex
    from pomelolane.scheduler.estimate import AnswerLengths
    from pomelolane.scheduler.fleet import Fleet, Worker
    from pomelolane.scheduler.limits import UsageLimiter
    from pomelolane.scheduler.options import CoreOptions
    from pomelolane.scheduler.placement import Placement
    from pomelolane.scheduler.queue import FairQueue
    from pomelolane.scheduler.reserve import Reserve
    from pomelolane.scheduler.waiting import Waiting


@dataclass(frozen=True, slots=True)
class FlightParts:
    """The accounts that a flight moves.

    Attributes:
        queue: Shares of organisations.
        fleet: Endpoints.
        prefixes: Record of cached prefixes.
        lengths: Answer lengths.
        limits: Limits of teams and organisations.
        reserve: Room for higher tiers.
    """

    queue: FairQueue
    fleet: Fleet
    prefixes: PrefixIndex
    lengths: AnswerLengths
    limits: UsageLimiter
    reserve: Reserve


class FlightBook:
    """All requests that were granted and have not ended.

    Args:
        parts: Accounts to move.
        options: Switches of the core.
    """

    def __init__(self, parts: FlightParts, options: CoreOptions) -> None:
        self._parts = parts
        self._options = options
        self._flights: dict[str, Flight] = {}
        self._placements: dict[str, Placement] = {}
        self._recent = RecentIds()
        self._parked: dict[str, str] = {}

    def __contains__(self, request_id: str) -> bool:
        return request_id in self._flights or request_id in self._recent

    def placement_of(self, request_id: str) -> Placement | None:
        """Return the prediction behind a flight."""
        return self._placements.get(request_id)

    def begin(self, waiting: Waiting, placement: Placement, now_ms: float) -> None:
        """Account for a grant."""
        self._add(_make_flight(waiting, placement, now_ms), placement, now_ms)

    def register(
        self,
        waiting: Waiting,
        placement: Placement,
        running: RunningHandle,
        now_ms: float,
    ) -> None:
        """Account for a request that an earlier scheduler granted."""
        flight = _make_flight(waiting, placement, now_ms)
        flight.started = running.started
        flight.decoded_tokens = running.decoded_tokens
        self._add(flight, placement, now_ms)

    def observe(self, event: StreamEvent, now_ms: float) -> bool:
        """Learn from a stream event.

        Returns:
            False where it belongs to no flight.
        """
        flight = self._flights.get(event.request_id)
        if flight is None:
            return False
        worker = self._placements[event.request_id].worker
        was_started = flight.started
        worker.account.observe(flight, event, now_ms)
        self._judge(worker, flight, event, now_ms)
        if flight.started and not was_started:
            end_ms = flight.expected_end_ms
            self._parts.reserve.granted(event.request_id, end_ms)
        if event.cached_tokens >= 0 and flight.cached_tokens > 0:
            self._parts.prefixes.answered(
                worker.endpoint_id, flight.cached_tokens, event.cached_tokens
            )
        if event.finished or event.refused:
            self._finish(flight, event, now_ms)
        elif flight.started and not was_started:
            self._parts.fleet.refresh(worker, now_ms)
        return True

    def end(self, request_id: str, now_ms: float) -> Flight | None:
        """Free what a flight holds."""
        flight = self._flights.pop(request_id, None)
        if flight is None:
            return None
        worker = self._placements.pop(request_id).worker
        worker.account.remove(flight, now_ms)
        self._parts.limits.ended(flight.handle)
        self._parts.reserve.ended(request_id)
        self._unpark(flight.handle)
        self._parts.fleet.refresh(worker, now_ms)
        return flight

    def check(self, now_ms: float) -> None:
        """Look for silent endpoints and forget old ids; call on each tick."""
        self._recent.purge(now_ms)
        for worker in self._parts.fleet.workers.values():
            account = worker.account
            if self._options.stragglers and account.flights:
                self._check_health(worker, now_ms)
            if worker.open_key is None and account.has_foreign_load:
                self._parts.fleet.refresh(worker, now_ms)

    def park_if_limited(self, handle: Handle) -> bool:
        """Pass over an organisation that is at its concurrency limit."""
        if not self._parts.limits.is_at_concurrency_limit(handle):
            return False
        self._parked[handle.organisation] = handle.team
        self._parts.queue.park(handle.organisation)
        return True

    def is_parked(self, handle: Handle) -> bool:
        """Tell whether a request waits for its concurrency limit."""
        return handle.organisation in self._parked

    def unpark_all(self) -> None:
        """Consider all organisations again."""
        for organisation in self._parked:
            self._parts.queue.unpark(organisation)
        self._parked.clear()

    def _unpark(self, handle: Handle) -> None:
        freed = [o for o, team in self._parked.items() if team == handle.team]
        for organisation in freed:
            del self._parked[organisation]
            self._parts.queue.unpark(organisation)

    def _add(self, flight: Flight, placement: Placement, now_ms: float) -> None:
        worker = placement.worker
        request_id = flight.handle.request_id
        flight.probe = worker.health.state is not State.HEALTHY
        self._flights[request_id] = flight
        self._placements[request_id] = placement
        worker.account.add(flight, now_ms)
        worker.health.granted(worker.account, now_ms)
        self._parts.limits.started(flight.handle)
        self._parts.reserve.granted(request_id, flight.expected_end_ms)
        if self._options.affinity and flight.handle.prefix_hashes:
            room = worker.account.endpoint.kv_tokens - worker.account.kv_used_tokens
            room += flight.handle.prefill_tokens
            self._parts.prefixes.sent(
                worker.endpoint_id, flight.handle.prefix_hashes, room, now_ms
            )
        self._parts.fleet.refresh(worker, now_ms)

    def _judge(
        self, worker: Worker, flight: Flight, event: StreamEvent, now_ms: float
    ) -> None:
        if not self._options.stragglers:
            return
        before = worker.health.state
        worker.health.observe(flight, event, now_ms)
        if worker.health.state is not before:
            self._parts.fleet.health_changed(worker, now_ms)

    def _check_health(self, worker: Worker, now_ms: float) -> None:
        before = worker.health.state
        worker.health.check(worker.account, now_ms)
        if worker.health.state is not before:
            self._parts.fleet.health_changed(worker, now_ms)

    def _finish(self, flight: Flight, event: StreamEvent, now_ms: float) -> None:
        handle = flight.handle
        self.end(handle.request_id, now_ms)
        self._recent.add(handle.request_id, now_ms)
        charged = handle.prefill_tokens + flight.decode_tokens
        used = flight.decoded_tokens
        if flight.started:
            used += handle.prefill_tokens
        if event.outcome or event.refused or flight.decoded_tokens > 0:
            self._parts.queue.correct(handle, used - charged)
            self._parts.limits.correct(handle, used - charged)
        if not event.refused:
            self._parts.lengths.learn(
                handle.work,
                handle.organisation,
                handle.decode_tokens,
                flight.decoded_tokens,
                cut=bool(event.outcome),
            )


def _make_flight(waiting: Waiting, placement: Placement, now_ms: float) -> Flight:
    return Flight(
        handle=waiting.handle,
        granted_ms=now_ms,
        deadline_ms=waiting.deadline_ms,
        prefill_tokens=placement.prefill_tokens,
        decode_tokens=waiting.decode_tokens,
        expected_first_ms=now_ms + placement.first_token_ms,
        expected_end_ms=now_ms + placement.total_ms,
        cached_tokens=placement.cached_tokens,
    )
