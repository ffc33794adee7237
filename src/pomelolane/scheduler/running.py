"""The running requests of a service and the resources that they occupy.

The start and end of a request update all dependent state together: slots, KV cache,
fair shares, limits, burst reserve and the prefix index.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from pomelolane.scheduler.endpoint_state import RunningRequest
from pomelolane.scheduler.health import HealthState
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
    from pomelolane.scheduler.waiting import WaitingRequest


@dataclass(frozen=True, slots=True)
class TrackedState:
    """The state that the start and end of a running request update.

    Attributes:
        queue: Fair shares of organisations.
        fleet: Endpoints of the service.
        prefixes: Index of cached prefixes.
        lengths: Learnt answer lengths.
        limits: Limits of teams and organisations.
        reserve: Slots reserved for bursts of higher tiers.
    """

    queue: FairQueue
    fleet: Fleet
    prefixes: PrefixIndex
    lengths: AnswerLengths
    limits: UsageLimiter
    reserve: Reserve


class RunningRequests:
    """All requests that were granted and have not ended.

    Args:
        tracked: State to update.
        options: Options of the core.
    """

    def __init__(self, tracked: TrackedState, options: CoreOptions) -> None:
        self._tracked = tracked
        self._options = options
        self._requests: dict[str, RunningRequest] = {}
        self._placements: dict[str, Placement] = {}
        self._recently_ended = RecentIds()
        self._parked: dict[str, str] = {}

    def __contains__(self, request_id: str) -> bool:
        return request_id in self._requests or request_id in self._recently_ended

    def placement_of(self, request_id: str) -> Placement | None:
        """Return the prediction on which a running request was granted."""
        return self._placements.get(request_id)

    def begin(
        self, waiting: WaitingRequest, placement: Placement, now_ms: float
    ) -> None:
        """Add a granted request."""
        self._add(_make_running_request(waiting, placement, now_ms), placement, now_ms)

    def register(
        self,
        waiting: WaitingRequest,
        placement: Placement,
        running: RunningHandle,
        now_ms: float,
    ) -> None:
        """Add a running request that an earlier scheduler granted."""
        request = _make_running_request(waiting, placement, now_ms)
        request.started = running.started
        request.decoded_tokens = running.decoded_tokens
        self._add(request, placement, now_ms)

    def observe(self, event: StreamEvent, now_ms: float) -> bool:
        """Update the state from a stream event.

        Returns:
            False if the event belongs to no running request.
        """
        request = self._requests.get(event.request_id)
        if request is None:
            return False
        worker = self._placements[event.request_id].worker
        was_started = request.started
        worker.endpoint_state.observe(request, event, now_ms)
        self._update_health(worker, request, event, now_ms)
        if request.started and not was_started:
            end_ms = request.expected_end_ms
            self._tracked.reserve.record_grant(event.request_id, end_ms)
        if event.cached_tokens >= 0 and request.cached_tokens > 0:
            self._tracked.prefixes.record_cache_hit(
                worker.endpoint_id, request.cached_tokens, event.cached_tokens
            )
        if event.finished or event.refused:
            self._finish(request, event, now_ms)
        elif request.started and not was_started:
            self._tracked.fleet.refresh(worker, now_ms)
        return True

    def end(self, request_id: str, now_ms: float) -> RunningRequest | None:
        """Remove a request and free its resources."""
        request = self._requests.pop(request_id, None)
        if request is None:
            return None
        worker = self._placements.pop(request_id).worker
        worker.endpoint_state.remove(request, now_ms)
        self._tracked.limits.record_end(request.handle)
        self._tracked.reserve.record_end(request_id)
        self._unpark(request.handle)
        self._tracked.fleet.refresh(worker, now_ms)
        return request

    def check(self, now_ms: float) -> None:
        """Check endpoint health and remove expired ids; call on each tick."""
        self._recently_ended.purge(now_ms)
        for worker in self._tracked.fleet.workers.values():
            state = worker.endpoint_state
            if self._options.stragglers and state.running_requests:
                self._check_health(worker, now_ms)
            if worker.open_key is None and state.has_foreign_load:
                self._tracked.fleet.refresh(worker, now_ms)

    def park_if_limited(self, handle: Handle) -> bool:
        """Park an organisation at its concurrency limit; return whether it is."""
        if not self._tracked.limits.is_at_concurrency_limit(handle):
            return False
        self._parked[handle.organisation] = handle.team
        self._tracked.queue.park(handle.organisation)
        return True

    def is_parked(self, handle: Handle) -> bool:
        """Return whether a request waits because of a concurrency limit."""
        return handle.organisation in self._parked

    def unpark_all(self) -> None:
        """Unpark all organisations."""
        for organisation in self._parked:
            self._tracked.queue.unpark(organisation)
        self._parked.clear()

    def _unpark(self, handle: Handle) -> None:
        freed = [o for o, team in self._parked.items() if team == handle.team]
        for organisation in freed:
            del self._parked[organisation]
            self._tracked.queue.unpark(organisation)

    def _add(
        self, request: RunningRequest, placement: Placement, now_ms: float
    ) -> None:
        worker = placement.worker
        request_id = request.handle.request_id
        request.probe = worker.health.state is not HealthState.HEALTHY
        self._requests[request_id] = request
        self._placements[request_id] = placement
        worker.endpoint_state.add(request, now_ms)
        worker.health.record_grant(worker.endpoint_state, now_ms)
        self._tracked.limits.record_start(request.handle)
        self._tracked.reserve.record_grant(request_id, request.expected_end_ms)
        if self._options.affinity and request.handle.prefix_hashes:
            kv_free_tokens = (
                worker.endpoint_state.endpoint.kv_tokens
                - worker.endpoint_state.kv_used_tokens
            )
            kv_free_tokens += request.handle.prefill_tokens
            self._tracked.prefixes.record_sent(
                worker.endpoint_id, request.handle.prefix_hashes, kv_free_tokens, now_ms
            )
        self._tracked.fleet.refresh(worker, now_ms)

    def _update_health(
        self, worker: Worker, request: RunningRequest, event: StreamEvent, now_ms: float
    ) -> None:
        if not self._options.stragglers:
            return
        before = worker.health.state
        worker.health.observe(request, event, now_ms)
        if worker.health.state is not before:
            self._tracked.fleet.health_changed(worker, now_ms)

    def _check_health(self, worker: Worker, now_ms: float) -> None:
        before = worker.health.state
        worker.health.check(worker.endpoint_state, now_ms)
        if worker.health.state is not before:
            self._tracked.fleet.health_changed(worker, now_ms)

    def _finish(
        self, request: RunningRequest, event: StreamEvent, now_ms: float
    ) -> None:
        handle = request.handle
        self.end(handle.request_id, now_ms)
        self._recently_ended.add(handle.request_id, now_ms)
        charged = handle.prefill_tokens + request.decode_tokens
        used = request.decoded_tokens
        if request.started:
            used += handle.prefill_tokens
        if event.outcome or event.refused or request.decoded_tokens > 0:
            self._tracked.queue.correct(handle, used - charged)
            self._tracked.limits.correct(handle, used - charged)
        if not event.refused:
            self._tracked.lengths.learn(
                handle.work,
                handle.organisation,
                handle.decode_tokens,
                request.decoded_tokens,
                cut=bool(event.outcome),
            )


def _make_running_request(
    waiting: WaitingRequest, placement: Placement, now_ms: float
) -> RunningRequest:
    return RunningRequest(
        handle=waiting.handle,
        granted_ms=now_ms,
        deadline_ms=waiting.deadline_ms,
        prefill_tokens=placement.prefill_tokens,
        decode_tokens=waiting.decode_tokens,
        expected_first_ms=now_ms + placement.first_token_ms,
        expected_end_ms=now_ms + placement.total_ms,
        cached_tokens=placement.cached_tokens,
    )
