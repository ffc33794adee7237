"""The default scheduling core of one service.

It combines queue, admission, placement and burst reserve. It does no I/O and
reads no clock: each event is passed to a method, which returns the decisions
that the event made possible.
"""

from __future__ import annotations

import heapq
from dataclasses import replace
from itertools import count
from typing import TYPE_CHECKING

from pomelolane.model import ServiceKind
from pomelolane.outcomes import Reason
from pomelolane.ports import Decision, Grant
from pomelolane.registry import PLACEMENT_POLICIES, register
from pomelolane.scheduler.admission import Admission
from pomelolane.scheduler.affinity import PrefixIndex
from pomelolane.scheduler.estimate import AnswerLengths
from pomelolane.scheduler.figures import figures_of_worker
from pomelolane.scheduler.fleet import Fleet
from pomelolane.scheduler.limits import UsageLimiter
from pomelolane.scheduler.options import CoreOptions
from pomelolane.scheduler.out_of_order import OutOfOrderSelector
from pomelolane.scheduler.placement import Placer
from pomelolane.scheduler.queue import FairQueue
from pomelolane.scheduler.reserve import Reserve
from pomelolane.scheduler.running import RunningRequests, TrackedState
from pomelolane.scheduler.waiting import WaitingRequest

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from pomelolane.messages import Handle, RunningHandle, StreamEvent
    from pomelolane.model import Tree
    from pomelolane.outcomes import Refusal
    from pomelolane.ports import CacheEvent, LoadReport, SchedulingCore
    from pomelolane.scheduler.figures import EndpointFigures
    from pomelolane.scheduler.placement import Placement


class PomelolaneCore:
    """Scheduling core of the default placement policy, "pomelolane".

    Args:
        service_name: Service whose requests it schedules.
        options: Enabled rules and their constants.
    """

    def __init__(self, service_name: str, options: CoreOptions) -> None:
        self._service = service_name
        self._options = options
        self._queue = FairQueue(fair_shares=options.fair_shares)
        self._fleet = Fleet(options)
        self._prefixes = PrefixIndex()
        self._placer = Placer(self._fleet, self._prefixes, options)
        self._admission = Admission(self._fleet, self._queue, self._prefixes, options)
        self._lengths = AnswerLengths(enabled=options.learn_lengths)
        self._limits = UsageLimiter()
        self._reserve = Reserve(options)
        self._running = RunningRequests(
            TrackedState(
                self._queue,
                self._fleet,
                self._prefixes,
                self._lengths,
                self._limits,
                self._reserve,
            ),
            options,
        )
        self._out_of_order = OutOfOrderSelector(
            self._queue, self._placer, self._running, options, self._may_dispatch
        )
        self._waiting: dict[str, WaitingRequest] = {}
        self._start_checks: list[tuple[float, int, WaitingRequest]] = []
        self._sequence = count()

    def configure(self, tree: Tree, now_ms: float) -> Sequence[Decision]:
        """Apply a settings tree (endpoints, weights, limits)."""
        service = tree.services.get(self._service)
        kind = service.kind if service else ServiceKind.ENGINE
        if service:
            self._admission.queue_limit = service.queue_limit
        ranks = (tier.rank for tier in tree.tiers.values())
        self._admission.lowest_tier_rank = max(ranks, default=0)
        own = [e for e in tree.endpoints.values() if e.service == self._service]
        known = set(self._fleet.workers)
        self._fleet.configure(own, kind, now_ms)
        for gone in known - set(self._fleet.workers):
            self._prefixes.remove_endpoint(gone)
        for endpoint in own:
            self._prefixes.add_endpoint(endpoint.endpoint_id, endpoint.kv_tokens)
        self._queue.set_weights(
            {team.name: team.weight for team in tree.teams.values()},
            {o.name: o.weight for o in tree.organisations.values()},
        )
        self._limits.configure(tree, now_ms)
        self._running.unpark_all()
        return self._dispatch(now_ms)

    def submit(self, handle: Handle, now_ms: float) -> Sequence[Decision]:
        """Queue a request, or refuse it; ignore a request id that is already known."""
        request_id = handle.request_id
        if request_id in self._waiting or request_id in self._running:
            return []
        waiting = self._make_waiting(handle, now_ms)
        self._record_arrival(waiting, now_ms)
        refusal = self._limits.admit(handle, waiting.cost_tokens, now_ms)
        if refusal is not None:
            return [Decision(request_id, refusal)]
        result = self._admission.admit(waiting, now_ms)
        if result.refusal is not None:
            self._limits.give_back(handle, waiting.cost_tokens)
            return [Decision(request_id, result.refusal)]
        waiting.predicted_wait_ms = result.predicted_wait_ms
        decisions: list[Decision] = []
        if result.displaced is not None:
            victim = result.displaced
            rank = victim.handle.tier_rank
            refusal = self._admission.displaced_refusal(rank, now_ms)
            decisions.append(self._refuse(victim, refusal))
        self._enqueue(waiting)
        decisions.extend(self._dispatch(now_ms))
        return decisions

    def register_running(self, running: RunningHandle, now_ms: float) -> None:
        """Register a running request that an earlier scheduler dispatched."""
        handle = running.handle
        worker = self._fleet.workers.get(running.endpoint_id)
        if worker is None or handle.request_id in self._running:
            return
        waiting = self._waiting.get(handle.request_id)
        if waiting is not None:
            self._remove_waiting(waiting)
        waiting = self._make_waiting(handle, now_ms)
        placement = self._placer.predict(waiting, worker, 0.0, now_ms)
        self._running.register(waiting, placement, running, now_ms)

    def withdraw(self, request_id: str, now_ms: float) -> Sequence[Decision]:
        """Remove a waiting request, or free the slot of a running one."""
        waiting = self._waiting.get(request_id)
        if waiting is not None:
            self._remove_waiting(waiting)
            self._limits.give_back(waiting.handle, waiting.cost_tokens)
            return self._dispatch(now_ms)
        self._running.end(request_id, now_ms)
        return self._dispatch(now_ms)

    def observe(self, event: StreamEvent, now_ms: float) -> Sequence[Decision]:
        """Update estimates from a stream event; free the slot when it has finished."""
        if not self._running.observe(event, now_ms):
            return []
        return self._dispatch(now_ms)

    def report_load(self, report: LoadReport, now_ms: float) -> Sequence[Decision]:
        """Correct the estimated load of an endpoint by its load report."""
        worker = self._fleet.workers.get(report.endpoint_id)
        if worker is None:
            return []
        worker.endpoint_state.correct(report, now_ms)
        self._fleet.refresh(worker, now_ms)
        return self._dispatch(now_ms)

    def report_cache(self, event: CacheEvent, now_ms: float) -> None:
        """Correct the index of cached prefixes by a cache event."""
        self._prefixes.apply_event(event, now_ms)

    def mark_leaving(self, endpoint_id: str, now_ms: float) -> Sequence[Decision]:
        """Stop granting requests to an endpoint."""
        worker = self._fleet.workers.get(endpoint_id)
        if worker is None or worker.endpoint_state.leaving:
            return []
        worker.endpoint_state.leaving = True
        self._fleet.refresh_all(now_ms)
        return self._dispatch(now_ms)

    def mark_returned(self, endpoint_id: str, now_ms: float) -> Sequence[Decision]:
        """Undo `mark_leaving`, unless the settings declare the endpoint as leaving."""
        worker = self._fleet.workers.get(endpoint_id)
        if worker is None or worker.endpoint_state.leaving == worker.declared_leaving:
            return []
        worker.endpoint_state.leaving = worker.declared_leaving
        self._fleet.refresh_all(now_ms)
        return self._dispatch(now_ms)

    def limit_slots(self, share: float, now_ms: float) -> Sequence[Decision]:
        """Use only a share (0..1] of each endpoint's slots, during a partition."""
        self._fleet.limit_slots(share, now_ms)
        return self._dispatch(now_ms)

    def tick(self, now_ms: float) -> Sequence[Decision]:
        """Expire deadlines and probe unhealthy endpoints; call about every 50 ms."""
        self._running.check(now_ms)
        decisions = self._expire(now_ms)
        decisions.extend(self._dispatch(now_ms))
        if self._waiting:
            decisions.extend(self._send_probes(now_ms))
        return decisions

    def status(self) -> dict[str, EndpointFigures]:
        """Return speed and health of each endpoint, for operators."""
        return {
            endpoint_id: figures_of_worker(worker)
            for endpoint_id, worker in self._fleet.workers.items()
        }

    def placement_of(self, request_id: str) -> Placement | None:
        """Return the prediction on which a running request was granted, for logs."""
        return self._running.placement_of(request_id)

    def _make_waiting(self, handle: Handle, now_ms: float) -> WaitingRequest:
        length = self._lengths.expect(
            handle.work, handle.organisation, handle.decode_tokens
        )
        deadline_ms = now_ms + handle.budget_ms
        return WaitingRequest(
            handle,
            now_ms,
            deadline_ms,
            length.short_tokens,
            length.typical_tokens,
            length.long_tokens,
        )

    def _record_arrival(self, waiting: WaitingRequest, now_ms: float) -> None:
        handle = waiting.handle
        hold_ms = self._fleet.summary(now_ms).median_service_ms(
            handle.prefill_tokens, waiting.decode_tokens
        )
        slack_ms = handle.budget_ms - hold_ms
        self._reserve.record_arrival(handle.tier_rank, hold_ms, slack_ms, now_ms)

    def _enqueue(self, waiting: WaitingRequest) -> None:
        self._waiting[waiting.handle.request_id] = waiting
        self._queue.push(waiting)
        self._schedule_check(waiting.safe_start_ms, waiting)

    def _schedule_check(self, time_ms: float, waiting: WaitingRequest) -> None:
        heapq.heappush(self._start_checks, (time_ms, next(self._sequence), waiting))

    def _remove_waiting(self, waiting: WaitingRequest) -> None:
        del self._waiting[waiting.handle.request_id]
        self._queue.remove(waiting)

    def _refuse(self, waiting: WaitingRequest, refusal: Refusal) -> Decision:
        self._remove_waiting(waiting)
        self._limits.give_back(waiting.handle, waiting.cost_tokens)
        return Decision(waiting.handle.request_id, refusal)

    def _expire(self, now_ms: float) -> list[Decision]:
        """Refuse requests that must miss their deadline and defer those that may."""
        decisions: list[Decision] = []
        while self._start_checks and self._start_checks[0][0] < now_ms:
            waiting = heapq.heappop(self._start_checks)[2]
            if not waiting.queued:
                continue
            self._admission.predict_latest_start(waiting, now_ms)
            if waiting.last_start_ms >= now_ms:
                self._defer_or_wait(waiting, now_ms)
                continue
            refusal = self._admission.expired_refusal(waiting, now_ms)
            if self._running.is_parked(waiting.handle):
                refusal = replace(refusal, reason=Reason.CONCURRENCY_LIMIT)
            decisions.append(self._refuse(waiting, refusal))
        return decisions

    def _defer_or_wait(self, waiting: WaitingRequest, now_ms: float) -> None:
        """Schedule the next check; defer a request whose long answer would be late."""
        if waiting.safe_start_ms >= now_ms:
            self._schedule_check(waiting.safe_start_ms, waiting)
            return
        self._queue.defer(waiting)
        self._schedule_check(waiting.last_start_ms, waiting)

    def _dispatch(self, now_ms: float) -> list[Decision]:
        """Grant slots until no waiting request can be placed."""
        decisions: list[Decision] = []
        self._fleet.reopen_ready(now_ms)
        while self._waiting and self._fleet.has_open():
            decision = self._next_grant(now_ms)
            if decision is None:
                break
            decisions.append(decision)
        return decisions

    def _next_grant(self, now_ms: float) -> Decision | None:
        """Grant one slot to the first request in queue order that can be placed."""
        held: set[str] = set()
        for rank in self._queue.ranks():
            requests = self._queue.scan(rank)
            try:
                for waiting in requests:
                    placement = self._try_place(waiting, held, now_ms)
                    if placement is not None:
                        return self._grant(waiting, placement, now_ms)
            finally:
                requests.close()
            chosen = self._out_of_order.select_for_slot(rank, held, now_ms)
            if chosen is not None:
                return self._grant(*chosen, now_ms)
        return None

    def _try_place(
        self, waiting: WaitingRequest, held: set[str], now_ms: float
    ) -> Placement | None:
        if waiting.deferred and self._yields_to_others(waiting):
            return None
        if not self._may_dispatch(waiting, now_ms):
            return None
        placement = self._placer.place(waiting, held, now_ms)
        if placement is None:
            self._placer.hold_for_kv_cache(waiting, held)
        return placement

    def _yields_to_others(self, waiting: WaitingRequest) -> bool:
        """Return whether a deferred request must let others of its tier go first.

        The deadline may cut its answer and waste its prefill, so a request of the
        same tier with time for a long answer makes better use of the slot.
        """
        if not self._options.sure_first:
            return False
        return not self._queue.all_deferred(waiting.handle.tier_rank)

    def _may_dispatch(self, waiting: WaitingRequest, now_ms: float) -> bool:
        """Return whether concurrency limits and the burst reserve allow a grant."""
        if self._running.park_if_limited(waiting.handle):
            return False
        return self._reserve_allows(waiting, now_ms)

    def _reserve_allows(self, waiting: WaitingRequest, now_ms: float) -> bool:
        """Return whether the burst reserve allows a grant."""
        if not self._options.reserve:
            return True
        handle = waiting.handle
        summary = self._fleet.summary(now_ms)
        hold_ms = summary.median_service_ms(
            handle.prefill_tokens, waiting.decode_tokens
        )
        return self._reserve.allows(handle.tier_rank, hold_ms, summary.slots, now_ms)

    def _send_probes(self, now_ms: float) -> list[Decision]:
        """Grant one request to each endpoint whose probe is due."""
        decisions: list[Decision] = []
        for worker in self._fleet.probes_due(now_ms):
            chosen = self._out_of_order.select_for_probe(worker, now_ms)
            if chosen is not None:
                decisions.append(self._grant(*chosen, now_ms))
        return decisions

    def _grant(
        self, waiting: WaitingRequest, placement: Placement, now_ms: float
    ) -> Decision:
        del self._waiting[waiting.handle.request_id]
        self._queue.take(waiting)
        self._admission.wait_correction.learn(
            waiting.handle.tier_rank,
            waiting.predicted_wait_ms,
            now_ms - waiting.submitted_ms,
        )
        self._running.begin(waiting, placement, now_ms)
        request_id = waiting.handle.request_id
        grant = Grant(
            request_id, placement.worker.endpoint_id, placement.first_token_ms
        )
        return Decision(request_id, grant)


def make_core_with(options: CoreOptions) -> Callable[[str], SchedulingCore]:
    """Return a factory of cores with the given options."""

    def make(service_name: str) -> SchedulingCore:
        return PomelolaneCore(service_name, options)

    return make


@register(PLACEMENT_POLICIES, "pomelolane")
def make_core(service_name: str) -> SchedulingCore:
    """Create a core of the default policy."""
    return PomelolaneCore(service_name, CoreOptions())
