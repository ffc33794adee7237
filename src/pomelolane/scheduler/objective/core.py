"""The decision core of the objective policy; pure, time is passed in."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from pomelolane.model import ServiceKind
from pomelolane.outcomes import Outcome, Reason, Refusal
from pomelolane.ports import Decision, Grant
from pomelolane.registry import PLACEMENT_POLICIES, register
from pomelolane.scheduler.limits import LimitBook
from pomelolane.scheduler.objective.admission import Admission
from pomelolane.scheduler.objective.lengths import EventSize
from pomelolane.scheduler.objective.options import ObjectiveOptions
from pomelolane.scheduler.objective.waiting import (
    WaitingRequests,
    waiting_from_handle,
)
from pomelolane.scheduler.objective.worker import Worker, WorkerFigures

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from pomelolane.messages import Handle, RunningHandle, StreamEvent
    from pomelolane.model import Tree
    from pomelolane.ports import CacheEvent, LoadReport, SchedulingCore
    from pomelolane.scheduler.objective.forecast import Outlook
    from pomelolane.scheduler.objective.waiting import Waiting, WaitingLine
    from pomelolane.scheduler.spans import Use

_TRIES = 12
"""Waiting requests looked at after the first one that finds no place."""

_ANY_TIME_MS = float("inf")

_WITHDRAWN_MS = 15_000.0
"""How long a withdrawn request is remembered: as long as callers wait at most."""

_SERVICE_STEP = 0.05
_FIRST_SERVICE_MS = 300.0


class ObjectiveCore:
    """Grants slots of one service's endpoints.

    Args:
        service_name: The service.
        options: Constants.
    """

    def __init__(self, service_name: str, options: ObjectiveOptions) -> None:
        self._service = service_name
        self._options = options
        self._kind = ServiceKind.ENGINE
        self._workers: dict[str, Worker] = {}
        self._limits = LimitBook()
        self._share = 1.0
        self._in_need = False
        self._event_size = EventSize(options.tokens_per_event)
        self._waiting = WaitingRequests()
        self._admission = Admission(options)
        self._flights: dict[str, str] = {}
        self._withdrawn: dict[str, float] = {}
        self._service_ms = _FIRST_SERVICE_MS
        self._now_ms = 0.0

    # --- settings ---------------------------------------------------------

    def configure(self, tree: Tree, now_ms: float) -> Sequence[Decision]:
        """Adopt a settings tree (endpoints, limits)."""
        service = tree.services.get(self._service)
        if service is not None:
            self._kind = service.kind
        own = {
            name: endpoint
            for name, endpoint in tree.endpoints.items()
            if endpoint.service == self._service
        }
        for name in [name for name in self._workers if name not in own]:
            self._drop_worker(name)
        for name, endpoint in own.items():
            worker = self._workers.get(name)
            if worker is None:
                worker = Worker(endpoint, self._kind, self._options, self._event_size)
                self._workers[name] = worker
            worker.endpoint = endpoint
            worker.leaving = endpoint.leaving
        self._limits.configure(tree)
        return self._dispatch(now_ms)

    def _drop_worker(self, endpoint_id: str) -> None:
        worker = self._workers.pop(endpoint_id)
        for request_id in worker.flights:
            self._flights.pop(request_id, None)

    def mark_leaving(self, endpoint_id: str, now_ms: float) -> Sequence[Decision]:
        """Grant nothing more to an endpoint."""
        worker = self._workers.get(endpoint_id)
        if worker is not None:
            worker.leaving = True
        return self._dispatch(now_ms)

    def mark_returned(self, endpoint_id: str, now_ms: float) -> Sequence[Decision]:
        """Take back a mark; an endpoint declared as leaving stays out."""
        worker = self._workers.get(endpoint_id)
        if worker is not None:
            worker.leaving = worker.endpoint.leaving
        return self._dispatch(now_ms)

    def limit_slots(self, share: float, now_ms: float) -> Sequence[Decision]:
        """Use only a share of slots, as one scheduler of several."""
        self._share = share
        return self._dispatch(now_ms)

    def limit_rates(self, share: float, now_ms: float) -> None:
        """Let only a share of organisations' rates pass."""
        self._limits.scale(share, now_ms)

    def assume_used(self, part: float, now_ms: float) -> None:
        """Guess that organisations used their limits under another scheduler."""
        self._limits.assume_used(part, now_ms)

    def uses(self, now_ms: float) -> list[Use]:
        """Return what organisations used, for the record."""
        return self._limits.uses(now_ms)

    def unrecorded_share(self) -> float:
        """Return the largest part of an allowance that is not on record yet."""
        return self._limits.unrecorded_share()

    def mark_recorded(self) -> None:
        """Take note that the uses until now are on record."""
        self._limits.mark_recorded()

    def take_uses(self, uses: Iterable[Use], now_ms: float) -> None:
        """Count what an earlier scheduler has recorded."""
        self._limits.take_uses(uses, now_ms)

    # --- requests ---------------------------------------------------------

    def submit(self, handle: Handle, now_ms: float) -> Sequence[Decision]:
        """Queue a request; a request id already known is ignored."""
        request_id = handle.request_id
        if request_id in self._waiting or request_id in self._flights:
            return []
        if handle.admitted and self._withdrawn.pop(request_id, None) is not None:
            # Its gateway was lost and came back; the charge was given back here.
            handle = msgspec.structs.replace(handle, admitted=False)
        refusal = self._limits.admit(handle, handle.charge_tokens, now_ms)
        if refusal is not None:
            return [Decision(request_id, refusal)]
        waiting = waiting_from_handle(handle, now_ms)
        refusal = self._hopeless(waiting, now_ms)
        if refusal is not None:
            self._give_back(waiting)
            return [Decision(request_id, refusal)]
        self._waiting.add(waiting)
        return self._dispatch(now_ms)

    def register_running(self, running: RunningHandle, now_ms: float) -> None:
        """Account for a request dispatched under an earlier scheduler."""
        handle = running.handle
        worker = self._workers.get(running.endpoint_id)
        if worker is None or handle.request_id in self._flights:
            return
        self._waiting.remove(handle.request_id)
        flight = worker.begin(handle, now_ms)
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
        worker = self._workers.get(event.endpoint_id)
        flight = worker.flights.get(event.request_id) if worker else None
        if worker is None or flight is None:
            return []
        worker.heard(now_ms)
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
        if event.refused:
            worker.refused(now_ms)
            self._limits.give_back(
                flight.handle, flight.handle.charge_tokens, flight.charged_ms
            )
        elif event.outcome:
            worker.failed(now_ms)
        else:
            service_ms = now_ms - flight.granted_ms
            self._service_ms += _SERVICE_STEP * (service_ms - self._service_ms)
            if flight.pieces:
                self._event_size.learn(flight.handle.decode_tokens, flight.pieces)
        return self._dispatch(now_ms)

    def report_load(self, report: LoadReport, now_ms: float) -> Sequence[Decision]:
        """Ignore the report: every request to the endpoints is known here."""
        del report, now_ms
        return []

    def report_cache(self, event: CacheEvent, now_ms: float) -> None:
        """Ignore the event."""

    def tick(self, now_ms: float) -> Sequence[Decision]:
        """Suspect silent endpoints, move late requests, expire deadlines."""
        for worker in self._workers.values():
            worker.check(now_ms)
        self._forget_withdrawn(now_ms)
        decisions = self._refuse_early(now_ms)
        decisions.extend(self._age(now_ms))
        decisions.extend(self._dispatch(now_ms))
        return decisions

    def status(self) -> dict[str, WorkerFigures]:
        """Return the figures of the endpoints, for operators."""
        return {
            name: worker.figures(self._now_ms) for name, worker in self._workers.items()
        }

    # --- inside -----------------------------------------------------------

    def _give_back(self, waiting: Waiting) -> None:
        handle = waiting.handle
        self._limits.give_back(handle, handle.charge_tokens, waiting.submitted_ms)

    def _forget_withdrawn(self, now_ms: float) -> None:
        oldest_ms = now_ms - _WITHDRAWN_MS
        while self._withdrawn:
            request_id, at_ms = next(iter(self._withdrawn.items()))
            if at_ms >= oldest_ms:
                return
            del self._withdrawn[request_id]

    def _end(self, request_id: str) -> None:
        endpoint_id = self._flights.pop(request_id, "")
        worker = self._workers.get(endpoint_id)
        if worker is not None:
            worker.end(request_id)

    def _able(self, handle: Handle) -> list[Worker]:
        return [
            worker
            for name, worker in self._workers.items()
            if not worker.leaving and name not in handle.excluded
        ]

    def _hopeless(self, waiting: Waiting, now_ms: float) -> Refusal | None:
        """Refuse on arrival what could only be answered late."""
        handle = waiting.handle
        workers = self._able(handle)
        if not workers:
            return self._refusal(Reason.NO_ENDPOINT, self._options.min_retry_ms * 5)
        if not self._admission.may_refuse(waiting, now_ms) or self._open(now_ms):
            return None
        outlook = self._admission.recent_outlook(
            self._workers.values(), self._share, self._waiting, now_ms
        )
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
        if not self._waiting or all(w.leaving for w in self._workers.values()):
            return []
        workers = self._workers.values()
        outlook = self._admission.new_outlook(workers, self._share, now_ms)
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
            answerable_ms = waiting.deadline_ms - self._soonest_ms(waiting.handle)
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
        workers = self._open(now_ms)
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
        free = total = 0
        for worker in self._workers.values():
            total += worker.endpoint.slots
            if worker.has_place(self._share, now_ms):
                free += worker.endpoint.slots - len(worker.flights)
        return free > self._options.late_free_share * total

    def _drain(
        self, line: WaitingLine, workers: list[Worker], now_ms: float
    ) -> list[Decision]:
        """Grant what finds a place; workers that are full then leave the list."""
        decisions: list[Decision] = []
        aside = []
        while workers and len(aside) < _TRIES:
            waiting = line.pop()
            if waiting is None:
                break
            worker = self._place(waiting, workers, now_ms)
            if worker is None and self._is_hopeless(waiting, now_ms):
                self._waiting.make_late(waiting)
                continue
            if worker is None:
                aside.append(waiting)
                continue
            decisions.append(self._grant(waiting, worker, now_ms))
            worker.measure_room(now_ms)
            if not worker.has_place(self._share, now_ms, in_need=self._in_need):
                workers.remove(worker)
        for waiting in aside:
            line.push(waiting)
        return decisions

    def _open(self, now_ms: float) -> list[Worker]:
        share = self._share
        workers = [w for w in self._workers.values() if not w.leaving]
        in_need = all(w.is_doubted(now_ms) for w in workers)
        self._in_need = in_need
        return [w for w in workers if w.has_place(share, now_ms, in_need=in_need)]

    def _place(
        self, waiting: Waiting, workers: list[Worker], now_ms: float
    ) -> Worker | None:
        """Return where the first answer byte comes soonest, None to wait."""
        handle = waiting.handle
        excluded = handle.excluded
        left_ms = self._bearable_ms(waiting, now_ms)
        best = None
        best_score = best_ms = 0.0
        for worker in workers:
            if excluded and worker.endpoint.endpoint_id in excluded:
                continue
            if worker.stalls(handle) or not worker.fits(handle):
                continue
            if worker.duration_ms(handle) > left_ms:
                continue
            score = worker.score_ms(handle)
            if best is None or score < best_score:
                best, best_score = worker, score
                best_ms = worker.predict_ms(handle)
        if best is None or waiting.late:
            return best
        if now_ms + best_ms + self._options.margin_ms <= waiting.objective_at_ms:
            return best
        # With nothing to wait for, or for the rest of an answer, any place is good.
        nothing_else = len(workers) == len(self._workers)
        return best if nothing_else or not handle.objective_ms else None

    def _is_hopeless(self, waiting: Waiting, now_ms: float) -> bool:
        """Tell whether no endpoint could answer on time, were it idle.

        Such a request is due before all others. Sent in its turn, it makes those
        behind it too late as well: of what a plain service answers that is asked for
        a fifth more than it can answer, .41 was on time, and .99 is if it waits behind
        (means of the load pattern of full plain services).
        """
        if waiting.late or not waiting.handle.objective_ms:
            return False
        return now_ms + self._soonest_ms(waiting.handle) > waiting.objective_at_ms

    def _soonest_ms(self, handle: Handle) -> float:
        """Return the time to a first answer byte at the fastest endpoint, if idle."""
        staying = [w for w in self._workers.values() if not w.leaving]
        usable = [w for w in staying if not w.is_doubted(self._now_ms)] or staying
        soonest_ms = min((w.alone_ms(handle) for w in usable), default=0.0)
        return soonest_ms + self._options.margin_ms

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

    def _grant(self, waiting: Waiting, worker: Worker, now_ms: float) -> Decision:
        handle = waiting.handle
        self._waiting.remove(handle.request_id)
        flight = worker.begin(handle, now_ms)
        flight.charged_ms = waiting.submitted_ms
        self._flights[handle.request_id] = worker.endpoint.endpoint_id
        slot_ms = worker.duration_ms(handle)
        self._admission.granted(handle.tier_rank, slot_ms, now_ms)
        grant = Grant(
            handle.request_id, worker.endpoint.endpoint_id, flight.expected_ms
        )
        return Decision(handle.request_id, grant)


@register(PLACEMENT_POLICIES, "objective")
def make_objective_core(service_name: str) -> SchedulingCore:
    """Make the core of the objective policy."""
    return ObjectiveCore(service_name, ObjectiveOptions())
