"""The decision core of the objective policy; pure, time is passed in."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import msgspec

from pomelolane.outcomes import Outcome, Reason, Refusal
from pomelolane.ports import Decision, Grant
from pomelolane.registry import PLACEMENT_POLICIES, register
from pomelolane.scheduler.limits import UsageLimiter
from pomelolane.scheduler.objective.admission import Admission
from pomelolane.scheduler.objective.fleet import Fleet, most_room
from pomelolane.scheduler.objective.options import ObjectiveOptions
from pomelolane.scheduler.objective.rate import rate_answered, rate_told
from pomelolane.scheduler.objective.waiting import (
    WaitingRequests,
    waiting_from_handle,
)

if TYPE_CHECKING:
    from collections.abc import Sequence

    from pomelolane.messages import Handle, RunningHandle, StreamEvent
    from pomelolane.model import Tree
    from pomelolane.ports import (
        CacheEvent,
        LoadReport,
        SchedulingCore,
        VersionTrial,
    )
    from pomelolane.scheduler.objective.flight import Flight
    from pomelolane.scheduler.objective.forecast import Outlook
    from pomelolane.scheduler.objective.waiting import Waiting, WaitingLine
    from pomelolane.scheduler.objective.worker import Worker, WorkerFigures

_TRIES = 12
"""Waiting requests looked at after the first one that finds no place."""

_WITHDRAWN_MS = 15_000.0
"""How long a withdrawn request is remembered: as long as callers wait at most."""

_SERVICE_STEP = 0.05
_FIRST_SERVICE_MS = 300.0


class ObjectiveCore:
    """Grants slots of one service's endpoints.

    Args:
        service_name: The service.
        options: Constants.

    Attributes:
        limits: What organisations used of their limits.
        trial: The trial of a new version, if there is one.
    """

    def __init__(self, service_name: str, options: ObjectiveOptions) -> None:
        self._service = service_name
        self._options = options
        self._fleet = Fleet(options)
        self.limits = UsageLimiter()
        self.trial: VersionTrial | None = None
        self._waiting = WaitingRequests()
        self._admission = Admission(options, self._fleet)
        self._flights: dict[str, str] = {}
        self._withdrawn: dict[str, float] = {}
        self._service_ms = _FIRST_SERVICE_MS
        self._now_ms = 0.0

    # --- settings ---------------------------------------------------------

    def configure(self, tree: Tree, now_ms: float) -> Sequence[Decision]:
        """Adopt a settings tree (endpoints, limits)."""
        service = tree.services.get(self._service)
        if service is not None:
            self._fleet.kind = service.kind
        own = {
            name: endpoint
            for name, endpoint in tree.endpoints.items()
            if endpoint.service == self._service
        }
        for request_id in self._fleet.configure(own, now_ms):
            self._flights.pop(request_id, None)
        self.limits.configure(tree)
        return self._dispatch(now_ms)

    def mark_leaving(self, endpoint_id: str, now_ms: float) -> Sequence[Decision]:
        """Grant nothing more to an endpoint."""
        worker = self._fleet.find(endpoint_id)
        if worker is not None:
            worker.leaving = True
        return self._dispatch(now_ms)

    def mark_returned(self, endpoint_id: str, now_ms: float) -> Sequence[Decision]:
        """Take back a mark; an endpoint declared as leaving stays out."""
        worker = self._fleet.find(endpoint_id)
        if worker is not None:
            worker.leaving = worker.endpoint.leaving
        return self._dispatch(now_ms)

    def limit_slots(self, share: float, now_ms: float) -> Sequence[Decision]:
        """Use only a share of slots, as one scheduler of several."""
        self._fleet.limit_slots(share)
        return self._dispatch(now_ms)

    def limit_rates(self, share: float, now_ms: float) -> None:
        """Let only a share of organisations' rates pass."""
        self.limits.set_share(share, now_ms)

    def hear_limit(
        self, endpoint_id: str, limit_per_s: float, heard_ms: float, now_ms: float
    ) -> None:
        """Learn the rate that an endpoint has named to a gateway."""
        worker = self._fleet.find(endpoint_id)
        if worker is not None and heard_ms > worker.unlimited_ms:
            worker.rate = rate_told(worker.rate, limit_per_s, heard_ms, now_ms)

    def limited_endpoints(self) -> frozenset[str]:
        """Return the endpoints that get no more than the rate that they ask for."""
        return frozenset(
            worker.endpoint.endpoint_id
            for worker in self._fleet
            if worker.rate is not None
        )

    # --- requests ---------------------------------------------------------

    def submit(self, handle: Handle, now_ms: float) -> Sequence[Decision]:
        """Queue a request; a request id already known is ignored."""
        request_id = handle.request_id
        if request_id in self._waiting or request_id in self._flights:
            return []
        if handle.admitted and self._withdrawn.pop(request_id, None) is not None:
            # Its gateway was lost and came back; the charge was given back here.
            handle = msgspec.structs.replace(handle, admitted=False)
        refusal = self.limits.admit(handle, handle.charge_tokens, now_ms)
        if refusal is not None:
            return [Decision(request_id, refusal)]
        waiting = waiting_from_handle(handle, now_ms)
        worker = self._worker_on_trial(waiting, now_ms)
        if worker is not None:
            return [self._grant(waiting, worker, now_ms)]
        refusal = self._refuse_arrival(waiting, now_ms)
        if refusal is not None:
            self._give_back(waiting)
            return [Decision(request_id, refusal)]
        self._waiting.add(waiting)
        return self._dispatch(now_ms)

    def register_running(self, running: RunningHandle, now_ms: float) -> None:
        """Account for a request dispatched under an earlier scheduler."""
        handle = running.handle
        worker = self._fleet.find(running.endpoint_id)
        if worker is None or handle.request_id in self._flights:
            return
        self._waiting.remove(handle.request_id)
        flight = self._fleet.begin(worker, handle, now_ms)
        if running.started:
            worker.mark_started(flight)
        self._flights[handle.request_id] = running.endpoint_id

    def withdraw(self, request_id: str, now_ms: float) -> Sequence[Decision]:
        """Forget a waiting request, or free a granted one's slot."""
        waiting = self._waiting.remove(request_id)
        if waiting is not None:
            self._give_back(waiting)
            self._withdrawn[request_id] = now_ms
        else:
            self._end(request_id)
        return self._dispatch(now_ms)

    def observe(self, event: StreamEvent, now_ms: float) -> Sequence[Decision]:
        """Learn from a stream; frees the slot when finished."""
        worker = self._fleet.find(event.endpoint_id)
        flight = worker.flights.get(event.request_id) if worker else None
        if worker is None or flight is None:
            return []
        worker.heard(now_ms)
        if event.limit_per_s is not None:
            worker.rate = rate_answered(
                worker.rate, event.limit_per_s, flight.granted_ms, now_ms
            )
            if math.isinf(event.limit_per_s):
                worker.unlimited_ms = max(worker.unlimited_ms, flight.granted_ms)
        if event.tokens > 0 and event.elapsed_ms > 0:
            worker.saw_pieces(flight, event.tokens, event.elapsed_ms)
        begins = event.ttft_ms >= 0 and not flight.started
        if begins:
            worker.saw_first(flight, event.ttft_ms, now_ms)
            worker.succeeded()
        if not event.finished:
            # A prompt that has been read makes room for the next one.
            return self._dispatch(now_ms) if begins else []
        self._end(event.request_id)
        if self.trial is not None and not event.refused:
            self._tell_trial(flight, event, now_ms)
        if event.refused:
            worker.refused(now_ms)
            self.limits.give_back(
                flight.handle, flight.handle.charge_tokens, flight.charged_ms
            )
        elif event.outcome:
            worker.failed(now_ms)
        else:
            service_ms = now_ms - flight.granted_ms
            self._service_ms += _SERVICE_STEP * (service_ms - self._service_ms)
            if flight.pieces:
                self._fleet.event_size.learn(flight.handle.decode_tokens, flight.pieces)
        return self._dispatch(now_ms)

    def report_load(self, report: LoadReport, now_ms: float) -> Sequence[Decision]:
        """Ignore the report: every request to the endpoints is known here."""
        del report, now_ms
        return []

    def report_cache(self, event: CacheEvent, now_ms: float) -> None:
        """Ignore the event."""

    def tick(self, now_ms: float) -> Sequence[Decision]:
        """Suspect silent endpoints, move late requests, expire deadlines."""
        for worker in self._fleet:
            worker.check(now_ms)
        self._forget_withdrawn(now_ms)
        decisions = self._refuse_early(now_ms)
        decisions.extend(self._age(now_ms))
        decisions.extend(self._dispatch(now_ms))
        return decisions

    def status(self) -> dict[str, WorkerFigures]:
        """Return the figures of the endpoints, for operators."""
        return {
            worker.endpoint.endpoint_id: worker.figures(self._now_ms)
            for worker in self._fleet
        }

    # --- inside -----------------------------------------------------------

    def _give_back(self, waiting: Waiting) -> None:
        handle = waiting.handle
        self.limits.give_back(handle, handle.charge_tokens, waiting.submitted_ms)

    def _forget_withdrawn(self, now_ms: float) -> None:
        oldest_ms = now_ms - _WITHDRAWN_MS
        while self._withdrawn:
            request_id, at_ms = next(iter(self._withdrawn.items()))
            if at_ms >= oldest_ms:
                return
            del self._withdrawn[request_id]

    def _end(self, request_id: str) -> None:
        endpoint_id = self._flights.pop(request_id, "")
        self._fleet.end(endpoint_id, request_id)

    def _worker_on_trial(self, waiting: Waiting, now_ms: float) -> Worker | None:
        """Return the endpoint of a version on trial that should get a request."""
        if self.trial is None:
            return None
        self.trial.arrived_with(waiting.handle)
        if not self.trial.takes(waiting.handle):
            return None
        candidates = self.trial.candidates()
        return self._fleet.place_on_trial(waiting, candidates, now_ms)

    def _tell_trial(self, flight: Flight, event: StreamEvent, now_ms: float) -> None:
        self.trial.answered(
            event.endpoint_id,
            flight.handle.work,
            now_ms,
            has_failed=bool(event.outcome),
            slowness=flight.slowness(now_ms),
            has_begun=flight.started,
        )

    def _refuse_arrival(self, waiting: Waiting, now_ms: float) -> Refusal | None:
        """Refuse on arrival what could only be answered late."""
        handle = waiting.handle
        if not self._fleet.has_any(handle.excluded):
            return self._refusal(Reason.NO_ENDPOINT, self._options.min_retry_ms * 5)
        if not self._admission.may_refuse(waiting, now_ms):
            return None
        if self._fleet.open(now_ms):
            return None
        outlook = self._admission.recent_outlook(self._waiting, now_ms)
        start_ms = outlook.start_ms(waiting.key, now_ms)
        refusal = self._judge(waiting, start_ms, outlook, now_ms)
        if refusal is None:
            outlook.add(waiting.key, handle)
        return refusal

    def _judge(
        self, waiting: Waiting, start_ms: float, outlook: Outlook, now_ms: float
    ) -> Refusal | None:
        """Refuse a request whose predicted start is too late for its objective."""
        late_ms = self._admission.late_ms(waiting, start_ms, outlook, now_ms)
        if late_ms <= 0:
            return None
        return self._refusal(Reason.DEADLINE_UNREACHABLE, late_ms)

    def _refuse_early(self, now_ms: float) -> list[Decision]:
        """Refuse soon what turns out to wait too long; it may go elsewhere."""
        if not self._waiting or not self._fleet.has_any(()):
            return []
        outlook = self._admission.new_outlook(now_ms)
        decisions = []
        for waiting in self._waiting.in_order():
            refusal = None
            if self._admission.may_refuse(waiting, now_ms):
                refusal = self._judge(waiting, outlook.next_ms(), outlook, now_ms)
            if refusal is None:
                outlook.append(waiting.key, waiting.handle)
                continue
            decisions.append(self._give_up(waiting, refusal))
        return decisions

    def _give_up(self, waiting: Waiting, refusal: Refusal) -> Decision:
        self._waiting.remove(waiting.handle.request_id)
        self._give_back(waiting)
        return Decision(waiting.handle.request_id, refusal)

    def _refusal(self, reason: Reason, retry_ms: float) -> Refusal:
        options = self._options
        bounded = min(options.max_retry_ms, max(options.min_retry_ms, int(retry_ms)))
        return Refusal(Outcome.NOT_RUN, reason, bounded)

    def _age(self, now_ms: float) -> list[Decision]:
        """Move what is late behind the rest, and give up what waits in vain.

        A request without an objective, or one whose caller stays for little longer,
        is given up while the caller can still be told.
        """
        decisions = []
        for waiting in self._waiting:
            soonest_ms = self._fleet.soonest_ms(waiting.handle, now_ms)
            answerable_ms = waiting.deadline_ms - soonest_ms
            if now_ms >= min(answerable_ms, waiting.given_up_at(self._options)):
                refusal = self._refusal(Reason.DEADLINE_PASSED, self._service_ms)
                decisions.append(self._give_up(waiting, refusal))
            elif not waiting.late and now_ms >= waiting.objective_at_ms:
                self._waiting.make_late(waiting)
        return decisions

    def _dispatch(self, now_ms: float) -> list[Decision]:
        """Grant what can go now: first what can be on time, then what is late."""
        self._now_ms = now_ms
        if not self._waiting:
            return []
        workers = self._fleet.open(now_ms)
        if not workers:
            return []
        for worker in workers:
            worker.measure_room(now_ms)
        decisions = self._drain(self._waiting.on_time, workers, now_ms)
        if self._waiting.late.has_any() and self._has_room_for_late(now_ms):
            decisions.extend(self._drain(self._waiting.late, workers, now_ms))
        return decisions

    def _has_room_for_late(self, now_ms: float) -> bool:
        if not self._waiting.on_time.has_any():
            return True
        return self._fleet.has_room_beside(self._options.late_free_share, now_ms)

    def _drain(
        self, line: WaitingLine, workers: list[Worker], now_ms: float
    ) -> list[Decision]:
        """Grant what finds a place; workers that are full then leave the list."""
        decisions: list[Decision] = []
        aside = []
        most_tokens = most_room(workers)
        while workers and len(aside) < _TRIES:
            waiting = line.pop()
            if waiting is None:
                break
            worker = None
            if waiting.handle.prefill_tokens <= most_tokens:
                worker = self._fleet.place(waiting, workers, now_ms)
            if worker is None and self._fleet.is_hopeless(waiting, now_ms):
                self._waiting.make_late(waiting)
                continue
            if worker is None:
                aside.append(waiting)
                continue
            decisions.append(self._grant(waiting, worker, now_ms))
            worker.measure_room(now_ms)
            if not self._fleet.is_still_open(worker, now_ms):
                workers.remove(worker)
            most_tokens = most_room(workers)
        for waiting in aside:
            line.push(waiting)
        return decisions

    def _grant(self, waiting: Waiting, worker: Worker, now_ms: float) -> Decision:
        handle = waiting.handle
        self._waiting.remove(handle.request_id)
        slot_ms = worker.duration_ms(handle)
        self._admission.granted(handle.tier_rank, slot_ms, now_ms)
        flight = self._fleet.begin(worker, handle, now_ms)
        flight.charged_ms = now_ms
        if worker.rate is not None:
            worker.rate.take(now_ms)
        self.limits.record_grant(
            handle, handle.charge_tokens, waiting.submitted_ms, now_ms
        )
        self._flights[handle.request_id] = worker.endpoint.endpoint_id
        if self.trial is not None:
            self.trial.granted(worker.endpoint.endpoint_id, handle.work)
        grant = Grant(
            handle.request_id, worker.endpoint.endpoint_id, flight.expected_ms
        )
        return Decision(handle.request_id, grant)


@register(PLACEMENT_POLICIES, "objective")
def make_objective_core(service_name: str) -> SchedulingCore:
    """Make the core of the objective policy."""
    return ObjectiveCore(service_name, ObjectiveOptions())
