"""Rollouts on one VM: which endpoints it may use, and the trials it runs.

Every VM knows the orders and sends no requests to a version that is not verified. Only
the scheduler of the service runs the trial, decides on the version and records the
verdict. VMs that start later read the verdict from the record.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

from pomelolane import events
from pomelolane.exceptions import PlatformError
from pomelolane.logs import log_event
from pomelolane.rollouts import metrics
from pomelolane.rollouts.order import RolloutOrder, RolloutState, RolloutStatus
from pomelolane.rollouts.trial import Phase, Trial

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Mapping

    from pomelolane.coordination import Coordination
    from pomelolane.model import Endpoint
    from pomelolane.rollouts.order import RolloutBounds, RolloutRecord

TICK_INTERVAL_S = 0.05
"""Interval between updates of the trials."""

EXPIRY_DELAY_MS = 10_000.0
"""Time after the end of an order at which a VM that does not know its state ignores it.
By then a version that was rolled back has no endpoints, and an order that was completed
long ago must not block endpoints."""

RETRY_DELAY_S = 0.2
"""Delay before another attempt to read or write the record."""

_PHASE_BY_STATE = {
    RolloutState.RUNNING: Phase.TRYING,
    RolloutState.COMPLETED: Phase.COMPLETED,
    RolloutState.ROLLED_BACK: Phase.ROLLED_BACK,
}
_FINAL_STATE_BY_PHASE = {
    Phase.COMPLETED: RolloutState.COMPLETED,
    Phase.ROLLED_BACK: RolloutState.ROLLED_BACK,
}


@dataclass(frozen=True, slots=True)
class RolloutFigures:
    """Statistics of an order, for operators.

    Attributes:
        service: Name of the service.
        to_version: Version to move the service to.
        phase: Phase of the order on this VM.
        arrived: Requests for the service since this scheduler started the trial.
        exposed: Number of those sent to the new version.
        bad_answers: Answers of the new version with a symptom.
    """

    service: str
    to_version: str
    phase: str
    arrived: int = 0
    exposed: int = 0
    bad_answers: int = 0


@dataclass(slots=True, eq=False)
class _Rollout:
    """State of an order on this VM."""

    order: RolloutOrder
    first_seen_ms: float
    phase: Phase = Phase.UNKNOWN
    ordered_ms: float = 0.0
    trial: Trial | None = None
    core: object = None
    recorded: Phase | None = None
    old_endpoints: frozenset[str] = frozenset()
    has_expired: bool = False
    task: asyncio.Task[None] | None = None

    def expires_ms(self) -> float:
        """Return the time at which the order is ignored if its state is unknown."""
        return self.first_seen_ms + self.order.duration_ms + EXPIRY_DELAY_MS


class Rollouts:
    """Tracks the orders of all services and runs their trials.

    Args:
        bounds: Limits for a version that is not verified.
        record: Storage for the states of orders.
        coordination: Scheduling on this VM.
        listed_endpoints: Returns the currently listed endpoints.

    Attributes:
        on_change: Called when the set of usable endpoints may have changed.
    """

    def __init__(
        self,
        bounds: RolloutBounds,
        record: RolloutRecord,
        coordination: Coordination,
        listed_endpoints: Callable[[], Mapping[str, Endpoint]],
    ) -> None:
        self._bounds = bounds
        self._record = record
        self._coordination = coordination
        self._listed_endpoints = listed_endpoints
        self._rollouts: dict[str, _Rollout] = {}
        self.on_change: Callable[[], None] = _do_nothing

    # --- orders ---------------------------------------------------------------

    def adopt(self, orders: Iterable[RolloutOrder]) -> None:
        """Adopt new orders; orders that are already known stay unchanged."""
        has_new = False
        for order in orders:
            current = self._rollouts.get(order.service)
            if current is not None and current.order.number >= order.number:
                continue
            if current is not None:
                self._cancel(current)
            self._rollouts[order.service] = _Rollout(order, self._record.now_ms())
            has_new = True
            log_event(
                events.ROLLOUT_ORDERED,
                service=order.service,
                to_version=order.to_version,
                duration_ms=order.duration_ms,
            )
        if has_new:
            self.on_change()

    def mark_blocked(self, endpoints: Mapping[str, Endpoint]) -> dict[str, Endpoint]:
        """Return the endpoints, with blocked ones marked as leaving.

        Unless their version was rolled back, blocked endpoints still take requests that
        go on with streams of their version.
        """
        blocked: dict[str, bool] = {}
        for rollout in self._rollouts.values():
            service = rollout.order.service
            own = {n: one for n, one in endpoints.items() if one.service == service}
            if rollout.trial is not None:
                rollout.trial.configure(own)
            takes_resumed = rollout.phase is not Phase.ROLLED_BACK
            blocked |= dict.fromkeys(_blocked_endpoints(rollout, own), takes_resumed)
        return {
            name: replace(one, leaving=True, takes_resumed=blocked[name])
            if name in blocked and not one.leaving
            else one
            for name, one in endpoints.items()
        }

    def figures(self) -> list[RolloutFigures]:
        """Return statistics of all orders, for operators."""
        return [_figures(one) for one in self._rollouts.values()]

    # --- trials -------------------------------------------------------------------

    async def run(self) -> None:
        """Run the trials of the services that this VM schedules, until cancelled."""
        try:
            while True:
                await asyncio.sleep(TICK_INTERVAL_S)
                self.tick()
        finally:
            for rollout in self._rollouts.values():
                self._cancel(rollout)

    def tick(self) -> None:
        """Start, continue or abandon trials."""
        for rollout in self._rollouts.values():
            try:
                self._tick(rollout)
            except Exception as error:  # must not end the other trials
                log_event(events.TASK_FAILED, task="rollouts", error=repr(error))

    def _tick(self, rollout: _Rollout) -> None:
        service_queue = self._coordination.role.service_queue(rollout.order.service)
        if service_queue is None:
            self._abandon_trial(rollout)
            self._expire(rollout)
            return
        if rollout.core is not service_queue.core:
            self._abandon_trial(rollout)
            rollout.core = service_queue.core
        if rollout.trial is None:
            if rollout.phase is Phase.UNKNOWN:
                self._start_record_task(rollout, self._load_or_start(rollout))
            elif rollout.recorded is None:
                self._start_record_task(rollout, self._save(rollout, rollout.phase))
            return
        service_queue.core.trial = rollout.trial
        rollout.trial.tick(self._record.now_ms())
        metrics.publish(rollout.order, rollout.trial)
        self._sync_with_trial(rollout, rollout.trial)

    def _expire(self, rollout: _Rollout) -> None:
        if not rollout.has_expired and self._record.now_ms() >= rollout.expires_ms():
            rollout.has_expired = True
            self.on_change()

    def _sync_with_trial(self, rollout: _Rollout, trial: Trial) -> None:
        """Take over the phase of the trial and record final states."""
        if trial.phase is not rollout.phase:
            self._enter_phase(rollout, trial.phase)
        now_ms = self._record.now_ms()
        if trial.should_complete(now_ms):
            self._start_record_task(rollout, self._save(rollout, Phase.COMPLETED))
        elif (
            trial.phase is not rollout.recorded and trial.phase in _FINAL_STATE_BY_PHASE
        ):
            self._start_record_task(rollout, self._save(rollout, trial.phase))

    def _enter_phase(self, rollout: _Rollout, phase: Phase) -> None:
        rollout.phase = phase
        trial = rollout.trial
        if phase is Phase.MOVING:
            version = rollout.order.to_version
            service = rollout.order.service
            rollout.old_endpoints = frozenset(
                name
                for name, one in self._listed_endpoints().items()
                if one.service == service and one.version != version
            )
        log_event(
            events.ROLLOUT_PHASE,
            service=rollout.order.service,
            to_version=rollout.order.to_version,
            phase=phase.value,
            arrived=trial.arrived if trial else 0,
            exposed=trial.exposed if trial else 0,
            answers=trial.judge.new_answers if trial else 0,
            bad_answers=trial.judge.bad_answers if trial else 0,
            reason=trial.judge.reason if trial else "",
        )
        self.on_change()

    def _start_record_task(self, rollout: _Rollout, coroutine: object) -> None:
        """Start a read or write of the record, unless one is in progress."""
        if rollout.task is not None and not rollout.task.done():
            coroutine.close()
            return
        rollout.task = asyncio.get_running_loop().create_task(coroutine)

    def _end_trial(self, rollout: _Rollout) -> None:
        """Stop the trial; no more answers are judged."""
        rollout.trial = None
        if rollout.core is not None:
            rollout.core.trial = None

    def _abandon_trial(self, rollout: _Rollout) -> None:
        """Leave the trial to the next scheduler; a final phase is kept."""
        had_trial = rollout.trial is not None
        self._end_trial(rollout)
        rollout.core = None
        if not had_trial:
            return
        if rollout.phase not in _FINAL_STATE_BY_PHASE:
            rollout.phase = Phase.UNKNOWN
            self.on_change()

    def _cancel(self, rollout: _Rollout) -> None:
        self._end_trial(rollout)
        if rollout.task is not None:
            rollout.task.cancel()

    # --- the record ---------------------------------------------------------------

    async def _load_or_start(self, rollout: _Rollout) -> None:
        """Load the recorded state of an order; start its trial unless it is final."""
        order = rollout.order
        try:
            status = await self._record.load(order.service)
            is_known = status is not None and status.number == order.number
            if not is_known:
                status = RolloutStatus(
                    order.number, RolloutState.RUNNING, rollout.first_seen_ms
                )
                if not await self._record.save(order, status):
                    return
        except PlatformError as error:
            self._log_record_failure(order, error)
            await asyncio.sleep(RETRY_DELAY_S)
            return
        if rollout.core is None or self._rollouts.get(order.service) is not rollout:
            return
        rollout.ordered_ms = status.ordered_ms
        if status.state.is_final:
            rollout.recorded = _PHASE_BY_STATE[status.state]
            self._enter_phase(rollout, _PHASE_BY_STATE[status.state])
            return
        ends_ms = status.ordered_ms + order.duration_ms
        rollout.trial = Trial(order, self._bounds, ends_ms, is_first=not is_known)
        self._enter_phase(rollout, Phase.TRYING)

    async def _save(self, rollout: _Rollout, phase: Phase) -> None:
        """Record a verdict; one that another VM has recorded takes precedence."""
        order = rollout.order
        status = RolloutStatus(
            order.number, _FINAL_STATE_BY_PHASE[phase], rollout.ordered_ms
        )
        try:
            if not await self._record.save(order, status):
                latest = await self._record.load(order.service)
                if latest is None or not latest.state.is_final:
                    return
                phase = _PHASE_BY_STATE[latest.state]
        except PlatformError as error:
            self._log_record_failure(order, error)
            await asyncio.sleep(RETRY_DELAY_S)
            return
        rollout.recorded = phase
        self._enter_phase(rollout, phase)
        self._end_trial(rollout)

    def _log_record_failure(self, order: RolloutOrder, error: PlatformError) -> None:
        log_event(events.ROLLOUT_RECORD_FAILED, service=order.service, error=error)


def _blocked_endpoints(rollout: _Rollout, own: Mapping[str, Endpoint]) -> set[str]:
    """Return the ids of a service's endpoints that must get no new requests."""
    version = rollout.order.to_version
    new = {name for name, one in own.items() if one.version == version}
    old = own.keys() - new
    match rollout.phase:
        case Phase.MOVING:
            return set(old)
        case Phase.COMPLETED:
            # Endpoints listed later have nothing to do with this order.
            return set(rollout.old_endpoints & old)
        case Phase.UNKNOWN if not old or rollout.has_expired:
            # The old endpoints are gone, as after a completed rollout, or the order
            # has expired.
            return set()
    return new


def _figures(rollout: _Rollout) -> RolloutFigures:
    order, trial = rollout.order, rollout.trial
    phase = rollout.phase.value
    if trial is None:
        return RolloutFigures(order.service, order.to_version, phase)
    return RolloutFigures(
        order.service,
        order.to_version,
        phase,
        trial.arrived,
        trial.exposed,
        trial.judge.bad_answers,
    )


def _do_nothing() -> None:
    """Do nothing, as the default callback."""
