"""Scheduling core of the objective policy: no I/O, time is passed in."""

from __future__ import annotations

import math
from collections import Counter
from dataclasses import replace
from typing import TYPE_CHECKING

import msgspec

from pomelolane.outcomes import Outcome, Reason, Refusal
from pomelolane.ports import Decision, Grant
from pomelolane.registry import PLACEMENT_POLICIES, register
from pomelolane.scheduler.limits import UsageLimiter
from pomelolane.scheduler.objective.admission import Admission
from pomelolane.scheduler.objective.fleet import Fleet, longest_accepted_prompt
from pomelolane.scheduler.objective.options import ObjectiveOptions
from pomelolane.scheduler.objective.rate import rate_after_answer, rate_after_report
from pomelolane.scheduler.objective.reservations import make_retry_reservations
from pomelolane.scheduler.objective.reserved_slots import Reservation, RetryOffer
from pomelolane.scheduler.objective.status import CoreStatus
from pomelolane.scheduler.objective.waiting import (
    Precedence,
    RecentIds,
    WaitingRequests,
    waiting_from_handle,
)
from pomelolane.scheduler.pacing import Pace, PacedRequest, make_limit_pacer

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable, Sequence

    from pomelolane.messages import (
        Handle,
        HeldReservation,
        RunningHandle,
        StreamEvent,
    )
    from pomelolane.model import Tree
    from pomelolane.ports import (
        CacheEvent,
        LoadReport,
        SchedulingCore,
        VersionTrial,
    )
    from pomelolane.scheduler.objective.estimates import EndpointEstimate
    from pomelolane.scheduler.objective.flight import Flight
    from pomelolane.scheduler.objective.forecast import WaitForecast
    from pomelolane.scheduler.objective.reserved_slots import ReservationFigures
    from pomelolane.scheduler.objective.shares import ContentionChange
    from pomelolane.scheduler.objective.waiting import RequestQueue, WaitingRequest
    from pomelolane.scheduler.objective.worker import Worker
    from pomelolane.scheduler.pacing import PacedLimit

_MAX_UNPLACED_REQUESTS = 12
"""Requests without a suitable endpoint after which a pass over a queue ends."""

_WITHDRAWN_RETENTION_MS = 15_000.0
"""How long withdrawn request ids are kept: the longest time that callers wait."""

_SERVICE_TIME_SMOOTHING = 0.05
_INITIAL_SERVICE_MS = 300.0


class ObjectiveCore:
    """Queues the requests of one service and grants them slots of its endpoints.

    Args:
        service_name: Name of the service.
        options: Tuning constants of the policy.

    Attributes:
        limits: Usage of the organisations' rate limits.
        trial: The running trial of a new endpoint version, None without one.
    """

    def __init__(self, service_name: str, options: ObjectiveOptions) -> None:
        self._service = service_name
        self._options = options
        self._fleet = Fleet(options)
        self.limits = UsageLimiter(make_limit_pacer())
        self.trial: VersionTrial | None = None
        self._waiting = WaitingRequests()
        self._admission = Admission(options, self._fleet)
        self._reservations = make_retry_reservations(options)
        self._ranks: frozenset[int] = frozenset()
        self._endpoint_by_request: dict[str, str] = {}
        self._withdrawn = RecentIds(_WITHDRAWN_RETENTION_MS)
        self._mean_service_ms = _INITIAL_SERVICE_MS
        self._now_ms = 0.0

    # --- settings ---------------------------------------------------------

    def configure(self, tree: Tree, now_ms: float) -> Sequence[Decision]:
        """Apply a settings tree (endpoints, limits)."""
        service = tree.services.get(self._service)
        if service is not None:
            self._fleet.kind = service.kind
        own = {
            name: endpoint
            for name, endpoint in tree.endpoints.items()
            if endpoint.service == self._service
        }
        for request_id in self._fleet.configure(own, now_ms):
            self._endpoint_by_request.pop(request_id, None)
        self._ranks = frozenset(tier.rank for tier in tree.tiers.values())
        self.limits.configure(tree, now_ms)
        organisations = tree.organisations.values()
        self._admission.shares.configure(
            {one.name: one.weight for one in organisations}
        )
        return [*self._release_paced(now_ms), *self._dispatch(now_ms)]

    def mark_leaving(self, endpoint_id: str, now_ms: float) -> Sequence[Decision]:
        """Stop granting requests to an endpoint."""
        worker = self._fleet.find(endpoint_id)
        if worker is not None:
            worker.leaving = True
        return self._dispatch(now_ms)

    def mark_returned(self, endpoint_id: str, now_ms: float) -> Sequence[Decision]:
        """Undo :meth:`mark_leaving`, unless the endpoint is declared as leaving."""
        worker = self._fleet.find(endpoint_id)
        if worker is not None:
            worker.leaving = worker.endpoint.leaving
        return self._dispatch(now_ms)

    def limit_slots(self, share: float, now_ms: float) -> Sequence[Decision]:
        """Use only a share of the slots, for when several schedulers are active."""
        self._fleet.limit_slots(share)
        return self._dispatch(now_ms)

    def limit_rates(self, share: float, now_ms: float) -> None:
        """Admit only a share of the organisations' rate limits."""
        self.limits.set_share(share, now_ms)

    def hear_limit(
        self, endpoint_id: str, limit_per_s: float, heard_ms: float, now_ms: float
    ) -> None:
        """Apply a rate limit that an endpoint announced in an answer to a gateway."""
        worker = self._fleet.find(endpoint_id)
        if worker is not None and heard_ms > worker.last_unlimited_grant_ms:
            worker.rate = rate_after_report(worker.rate, limit_per_s, heard_ms, now_ms)

    def limited_endpoints(self) -> frozenset[str]:
        """Return the ids of the endpoints that have announced a rate limit."""
        return frozenset(
            worker.endpoint.endpoint_id
            for worker in self._fleet
            if worker.rate is not None
        )

    def estimates(self, now_ms: float) -> tuple[EndpointEstimate, ...]:
        """Return what is known of the endpoints, for the service's next scheduler."""
        return self._fleet.estimates(now_ms)

    def adopt_estimates(
        self, estimates: Iterable[EndpointEstimate], now_ms: float, source: str = ""
    ) -> int:
        """Adopt what another scheduler has learnt; return the number adopted now."""
        return self._fleet.adopt_estimates(estimates, source, now_ms)

    def adopted_estimates(self) -> dict[str, int]:
        """Return how many endpoints adopted an estimate, by its source."""
        return dict(
            Counter(w.estimate_source for w in self._fleet if w.estimate_source)
        )

    def take_new_adoptions(self) -> dict[str, int]:
        """Return the number of adoptions since the last call, by source."""
        return self._fleet.take_new_adoptions()

    def hear_reservations(
        self, reservations: Sequence[HeldReservation], now_ms: float
    ) -> None:
        """Add reservations of a former scheduler that a gateway has kept."""
        all_slots = sum(
            worker.usable_slots(self._fleet.share)
            for worker in self._fleet
            if not worker.leaving
        )
        for one in reservations:
            if one.tier_rank in self._ranks:
                reservation = Reservation(
                    0,
                    one.fingerprint,
                    one.tier_rank,
                    now_ms + one.due_in_ms,
                    one.slot_ms,
                    one.reservation_id,
                )
                self._reservations.adopt(reservation, all_slots, now_ms)

    def hold_reservations(self, *, is_held: bool) -> None:
        """Let no reservation expire while arrived requests are held back."""
        self._reservations.hold(is_held=is_held)

    def account_for_pause(self, paused_ms: float, now_ms: float) -> None:
        """Make retry times earlier by a pause in which the clock stood still."""
        self._reservations.account_for_pause(paused_ms, now_ms)

    def reservation_figures(self) -> ReservationFigures:
        """Return the number of reservations, for operators."""
        return replace(self._reservations.figures)

    # --- requests ---------------------------------------------------------

    def submit(self, handle: Handle, now_ms: float) -> Sequence[Decision]:
        """Queue a request; a request id already known is ignored."""
        return self.submit_held(handle, now_ms, now_ms)

    def submit_held(
        self, handle: Handle, arrived_ms: float, now_ms: float
    ) -> Sequence[Decision]:
        """Queue a request that arrived earlier and was held back until now."""
        request_id = handle.request_id
        if request_id in self._waiting or request_id in self._endpoint_by_request:
            return []
        if self.limits.is_pacing(request_id):
            return []
        is_resubmitted = handle.admitted or request_id in self._withdrawn
        if handle.admitted and self._withdrawn.pop(request_id, None) is not None:
            # The charge was refunded when the request was withdrawn because its
            # gateway was lost: charge it again.
            handle = msgspec.structs.replace(handle, admitted=False)
        waiting = waiting_from_handle(handle, now_ms)
        waiting.is_resubmitted = is_resubmitted
        waiting.arrived_ms = arrived_ms
        pace = self.limits.pace(self._paced_request(waiting), now_ms)
        if pace is Pace.PASSES:
            return self._admit(waiting, now_ms)
        return [] if pace is Pace.WAITS else [Decision(request_id, pace)]

    def _paced_request(self, waiting: WaitingRequest) -> PacedRequest:
        handle = waiting.handle
        received_ms = waiting.objective_at_ms - handle.objective_ms
        latest_ms = received_ms + self._options.early_share * handle.objective_ms
        latest_ms = min(latest_ms, waiting.give_up_at_ms(self._options))
        longest_wait_ms = max(0.0, latest_ms - received_ms)
        return PacedRequest(
            handle, waiting.objective_at_ms, latest_ms, longest_wait_ms, waiting
        )

    def _admit(self, waiting: WaitingRequest, now_ms: float) -> Sequence[Decision]:
        """Charge a request to its limits, then grant, refuse or queue it."""
        handle = waiting.handle
        request_id = handle.request_id
        refusal = self.limits.admit(handle, handle.charge_tokens, now_ms)
        if refusal is not None:
            return [Decision(request_id, refusal)]
        waiting.charged_ms = now_ms
        if not self._fleet.has_any_for(handle):
            return [self._refuse_without_endpoint(waiting)]
        self._reservations.claim(waiting, now_ms, is_resubmitted=waiting.is_resubmitted)
        worker = self._trial_worker(waiting, now_ms)
        if worker is not None:
            return [self._grant(waiting, worker, now_ms)]
        self._admission.classify(waiting, self._waiting, now_ms)
        refusal = self._refuse_arrival(waiting, now_ms)
        if refusal is not None:
            return [self._refuse_waiting(waiting, refusal)]
        self._waiting.add(waiting)
        return self._dispatch(now_ms)

    def register_running(self, running: RunningHandle, now_ms: float) -> None:
        """Account for a request dispatched under an earlier scheduler."""
        handle = running.handle
        worker = self._fleet.find(running.endpoint_id)
        if worker is None or handle.request_id in self._endpoint_by_request:
            return
        known = self._waiting.remove(handle.request_id)
        self.limits.remove_paced(handle.request_id)
        flight = self._fleet.begin(worker, handle, now_ms)
        flight.events = running.decoded_tokens
        if running.started:
            worker.mark_started(flight)
        if known is None:
            remaining_ms = worker.remaining_ms(flight, now_ms)
            self._admission.shares.count_running(handle, remaining_ms, now_ms)
        self._endpoint_by_request[handle.request_id] = running.endpoint_id

    def withdraw(self, request_id: str, now_ms: float) -> Sequence[Decision]:
        """Forget a waiting request, or free a granted one's slot."""
        waiting = self._waiting.remove(request_id)
        if waiting is not None:
            self._give_back(waiting)
            self._withdrawn.add(request_id, now_ms)
        elif self.limits.remove_paced(request_id):
            self._withdrawn.add(request_id, now_ms)
        else:
            self._release(request_id)
        self._admission.shares.withdraw(request_id, now_ms)
        return self._dispatch(now_ms)

    def observe(self, event: StreamEvent, now_ms: float) -> Sequence[Decision]:
        """Update estimates from a stream event; free the slot when it has finished."""
        worker = self._fleet.find(event.endpoint_id)
        flight = worker.flights.get(event.request_id) if worker else None
        if worker is None or flight is None:
            return []
        worker.record_activity(now_ms)
        if event.limit_per_s is not None:
            worker.rate = rate_after_answer(
                worker.rate, event.limit_per_s, flight.granted_ms, now_ms
            )
            if math.isinf(event.limit_per_s):
                worker.last_unlimited_grant_ms = max(
                    worker.last_unlimited_grant_ms, flight.granted_ms
                )
        if event.tokens > 0 and event.elapsed_ms > 0:
            worker.learn_event_interval(flight, event.tokens, event.elapsed_ms)
        begins_answer = event.ttft_ms >= 0 and not flight.started
        if begins_answer:
            worker.learn_ttft(flight, event.ttft_ms, now_ms)
            worker.record_success()
        if not event.finished:
            # A prompt that has been read lets the engine take the next one.
            return self._dispatch(now_ms) if begins_answer else []
        self._release(event.request_id)
        if self.trial is not None and not event.refused:
            self._report_to_trial(flight, event, now_ms)
        if event.refused:
            worker.record_refusal(now_ms)
            self.limits.give_back(
                flight.handle, flight.handle.charge_tokens, flight.charged_ms
            )
        elif event.outcome:
            worker.record_failure(now_ms)
        else:
            service_ms = now_ms - flight.granted_ms
            self._mean_service_ms += _SERVICE_TIME_SMOOTHING * (
                service_ms - self._mean_service_ms
            )
            if flight.events:
                self._fleet.event_size.learn(flight.handle.decode_tokens, flight.events)
        return self._dispatch(now_ms)

    def report_load(self, report: LoadReport, now_ms: float) -> Sequence[Decision]:
        """Ignore the report: the core itself tracks all requests to the endpoints."""
        del report, now_ms
        return []

    def report_cache(self, event: CacheEvent, now_ms: float) -> None:
        """Ignore the event: the policy does not use prefix caches."""

    def tick(self, now_ms: float) -> Sequence[Decision]:
        """Suspend silent endpoints, and move or refuse requests that are now late."""
        for worker in self._fleet:
            worker.suspend_if_silent(now_ms)
        self._reservations.update(self._fleet, self._fleet.share, now_ms)
        self._admission.update_shares(self._waiting, now_ms)
        decisions = self._release_paced(now_ms)
        decisions.extend(self._refuse_unreachable(now_ms))
        decisions.extend(self._expire(now_ms))
        decisions.extend(self._dispatch(now_ms))
        return decisions

    def status(self) -> CoreStatus:
        """Return statistics of endpoints and shares, for operators."""
        endpoints = {
            worker.endpoint.endpoint_id: worker.figures(self._now_ms)
            for worker in self._fleet
        }
        return CoreStatus(endpoints, self._admission.shares.status())

    def take_contention_change(self, now_ms: float) -> ContentionChange | None:
        """Return a change of the contended ranks to log, None without one."""
        return self._admission.shares.take_change(now_ms)

    def paced_limits(
        self, beside_waiting: Collection[str] | None = None
    ) -> tuple[PacedLimit, ...]:
        """Return the level and queue of paced organisations, for operators.

        Args:
            beside_waiting: Organisations to include beside those whose requests wait;
                None for all.
        """
        return self.limits.paced(self._now_ms, beside_waiting)

    # --- internals -----------------------------------------------------------

    def _release_paced(self, now_ms: float) -> list[Decision]:
        """Admit requests whose rate has room; refuse those that waited too long."""
        decisions: list[Decision] = []
        while (paced := self.limits.next_released(now_ms)) is not None:
            decisions.extend(self._admit(paced.item, now_ms))
        for paced, refusal in self.limits.expire_paced(now_ms):
            decisions.append(Decision(paced.handle.request_id, refusal))
        return decisions

    def _give_back(self, waiting: WaitingRequest) -> None:
        handle = waiting.handle
        self.limits.give_back(handle, handle.charge_tokens, waiting.charged_ms)
        self._admission.shares.give_back(waiting)

    def _release(self, request_id: str) -> None:
        endpoint_id = self._endpoint_by_request.pop(request_id, "")
        self._fleet.end(endpoint_id, request_id)

    def _trial_worker(self, waiting: WaitingRequest, now_ms: float) -> Worker | None:
        """Return the endpoint of the version on trial to send a request to, if any."""
        if self.trial is None:
            return None
        self.trial.count_arrival(waiting.handle)
        if not self.trial.should_get(waiting.handle):
            return None
        candidates = self.trial.endpoints_to_try()
        return self._fleet.place_on_trial(waiting, candidates, now_ms)

    def _report_to_trial(
        self, flight: Flight, event: StreamEvent, now_ms: float
    ) -> None:
        self.trial.record_answer(
            event.endpoint_id,
            flight.handle.work,
            now_ms,
            has_failed=bool(event.outcome),
            slowness=flight.slowness(now_ms),
            has_begun=flight.started,
        )

    def _refuse_arrival(self, waiting: WaitingRequest, now_ms: float) -> Refusal | None:
        """Return a refusal for a new request that could only be answered late."""
        if not self._admission.may_refuse(waiting, now_ms):
            return None
        if self._fleet.available(now_ms):
            return None
        wait_forecast = self._admission.recent_forecast(self._waiting, now_ms)
        wait_ms = wait_forecast.wait_ms(waiting.key, now_ms)
        refusal = self._refuse_if_late(waiting, wait_ms, wait_forecast, now_ms)
        if refusal is None:
            wait_forecast.add(waiting.key, waiting.handle)
        return refusal

    def _refuse_if_late(
        self,
        waiting: WaitingRequest,
        wait_ms: float,
        wait_forecast: WaitForecast,
        now_ms: float,
    ) -> Refusal | None:
        """Return a refusal if the predicted wait is too long for the objective.

        A request with a reservation is never refused early.
        """
        if waiting.precedence is Precedence.RESERVED:
            return None
        handle = waiting.handle
        slots = self._admission.slots_left(waiting, wait_forecast, now_ms)
        delayed_ms = self._reservations.delayed_ms(
            handle.tier_rank, wait_ms, slots, now_ms
        )
        late_ms = self._admission.lateness_ms(
            waiting, delayed_ms, wait_forecast, now_ms
        )
        if late_ms <= 0:
            return None
        if not handle.fingerprint:
            return self._refusal(Reason.DEADLINE_UNREACHABLE, late_ms)
        offer = self._reservations.offer(
            waiting,
            max(wait_ms, late_ms),
            wait_forecast.latency.duration_ms(handle),
            slots,
            now_ms,
        )
        return self._refusal_with_offer(Reason.DEADLINE_UNREACHABLE, offer)

    def _refusal_with_offer(self, reason: Reason, offer: RetryOffer) -> Refusal:
        return replace(
            self._refusal(reason, offer.retry_ms),
            reserved_ms=offer.reserved_ms,
            reservation_id=offer.origin_id,
        )

    def _refuse_unreachable(self, now_ms: float) -> list[Decision]:
        """Refuse waiting requests that can no longer be on time.

        They are refused early enough for their callers to try elsewhere.
        """
        if not self._waiting or not self._fleet.has_any():
            return []
        wait_forecast = self._admission.new_forecast(now_ms)
        decisions = []
        for waiting in self._waiting.on_time_in_order():
            refusal = None
            if self._admission.may_refuse(waiting, now_ms):
                refusal = self._refuse_if_late(
                    waiting, wait_forecast.next_ms(), wait_forecast, now_ms
                )
            if refusal is None:
                wait_forecast.append(waiting.key, waiting.handle)
                continue
            decisions.append(self._refuse_waiting(waiting, refusal))
        return decisions

    def _refuse_without_endpoint(self, waiting: WaitingRequest) -> Decision:
        """Refuse a request that no endpoint may get."""
        is_bound = waiting.handle.version is not None
        reason = Reason.NO_MATCHING_VERSION if is_bound else Reason.NO_ENDPOINT
        refusal = self._refusal(reason, self._options.min_retry_ms * 5)
        return self._refuse_waiting(waiting, refusal)

    def _refuse_waiting(self, waiting: WaitingRequest, refusal: Refusal) -> Decision:
        self._waiting.remove(waiting.handle.request_id)
        self._give_back(waiting)
        if waiting.precedence is Precedence.BEYOND_SHARE:
            refusal = replace(refusal, beyond_share=True)
        return Decision(waiting.handle.request_id, refusal)

    def _refusal(self, reason: Reason, retry_ms: float) -> Refusal:
        options = self._options
        bounded = min(options.max_retry_ms, max(options.min_retry_ms, int(retry_ms)))
        return Refusal(Outcome.NOT_RUN, reason, bounded)

    def _expire(self, now_ms: float) -> list[Decision]:
        """Move requests past their objective to the late queue; refuse expired ones.

        A request without an objective, or one whose caller is about to disconnect, is
        refused while the caller still waits for the response. One that is bound to a
        version is refused once no endpoint of that version is left.
        """
        decisions = []
        for waiting in self._waiting:
            is_bound = waiting.handle.version is not None
            if is_bound and not self._fleet.has_any_for(waiting.handle):
                decisions.append(self._refuse_without_endpoint(waiting))
                continue
            min_ttft_ms = self._fleet.min_ttft_ms(waiting.handle, now_ms)
            answerable_ms = waiting.deadline_ms - min_ttft_ms
            if now_ms >= min(answerable_ms, waiting.give_up_at_ms(self._options)):
                offer = self._offer_after_expiry(waiting, now_ms)
                refusal = self._refusal_with_offer(Reason.DEADLINE_PASSED, offer)
                decisions.append(self._refuse_waiting(waiting, refusal))
            elif not waiting.late and now_ms >= waiting.objective_at_ms:
                self._waiting.move_to_late(waiting)
        return decisions

    def _offer_after_expiry(self, waiting: WaitingRequest, now_ms: float) -> RetryOffer:
        """Return the time until capacity is free for a request that waited in vain."""
        handle = waiting.handle
        if not handle.fingerprint or not handle.objective_ms:
            return RetryOffer(int(self._mean_service_ms))
        wait_forecast = self._admission.recent_forecast(self._waiting, now_ms)
        slots = self._admission.slots_left(waiting, wait_forecast, now_ms)
        wait_ms = wait_forecast.wait_ms(waiting.key, now_ms)
        return self._reservations.predict(waiting, wait_ms, slots, now_ms)

    def _dispatch(self, now_ms: float) -> list[Decision]:
        """Grant slots, first to requests that can be on time, then to late ones."""
        self._now_ms = now_ms
        if not self._waiting:
            return []
        decisions = self._grant_bound(now_ms)
        workers = self._fleet.available(now_ms)
        if not workers:
            return decisions
        for worker in workers:
            worker.update_max_prompt(now_ms)
        decisions.extend(self._grant_from(self._waiting.on_time, workers, now_ms))
        if self._waiting.late.has_any() and self._may_grant_late(now_ms):
            decisions.extend(self._grant_from(self._waiting.late, workers, now_ms))
        return decisions

    def _grant_bound(self, now_ms: float) -> list[Decision]:
        """Grant requests bound to a version endpoints that no others get."""
        decisions = []
        for waiting in self._waiting.bound_in_order():
            workers = self._fleet.reserve_for_bound(waiting.handle, now_ms)
            worker = self._fleet.place(waiting, workers, now_ms) if workers else None
            if worker is not None:
                decisions.append(self._grant(waiting, worker, now_ms))
        return decisions

    def _may_grant_late(self, now_ms: float) -> bool:
        if not self._waiting.on_time.has_any():
            return True
        return self._fleet.has_free_share(self._options.late_free_share, now_ms)

    def _grant_from(
        self, queue: RequestQueue, workers: list[Worker], now_ms: float
    ) -> list[Decision]:
        """Grant queued requests, removing workers from the list once they are full."""
        decisions: list[Decision] = []
        unplaced = []
        bound = []
        most_tokens = longest_accepted_prompt(workers)
        while workers and len(unplaced) < _MAX_UNPLACED_REQUESTS:
            waiting = queue.pop()
            if waiting is None:
                break
            worker = None
            if waiting.handle.prefill_tokens <= most_tokens:
                worker = self._fleet.place(waiting, workers, now_ms)
            if worker is None and self._fleet.is_unreachable(waiting, now_ms):
                self._waiting.move_to_late(waiting)
                continue
            if worker is None:
                # Those behind a request that is bound to a version may go elsewhere.
                is_bound = waiting.handle.version is not None
                (bound if is_bound else unplaced).append(waiting)
                continue
            decisions.append(self._grant(waiting, worker, now_ms))
            worker.update_max_prompt(now_ms)
            if not self._fleet.is_still_available(worker, now_ms):
                workers.remove(worker)
            most_tokens = longest_accepted_prompt(workers)
        for waiting in (*bound, *unplaced):
            queue.push(waiting)
        return decisions

    def _grant(
        self, waiting: WaitingRequest, worker: Worker, now_ms: float
    ) -> Decision:
        handle = waiting.handle
        self._waiting.remove(handle.request_id)
        self._reservations.cancel_early(waiting)
        slot_ms = worker.duration_ms(handle)
        self._admission.record_grant(handle.tier_rank, slot_ms, now_ms)
        flight = self._fleet.begin(worker, handle, now_ms)
        flight.charged_ms = now_ms
        if worker.rate is not None:
            worker.rate.take(now_ms)
        self.limits.record_grant(
            handle, handle.charge_tokens, waiting.charged_ms, now_ms
        )
        self._endpoint_by_request[handle.request_id] = worker.endpoint.endpoint_id
        if self.trial is not None:
            self.trial.count_grant(worker.endpoint.endpoint_id, handle.work)
        grant = Grant(
            handle.request_id,
            worker.endpoint.endpoint_id,
            flight.expected_ttft_ms,
            reserved=waiting.precedence is Precedence.RESERVED,
        )
        return Decision(handle.request_id, grant)


@register(PLACEMENT_POLICIES, "objective")
def make_objective_core(service_name: str) -> SchedulingCore:
    """Create the scheduling core of the objective policy for a service."""
    return ObjectiveCore(service_name, ObjectiveOptions())
