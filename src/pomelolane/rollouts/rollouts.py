"""One VM's part in roll-outs: which endpoints it may use, and the trials it holds.

Every VM knows the orders and keeps new requests from a version that is not proved. The
service's scheduler alone tries it, gives the verdict and records it; one that starts
later finds the verdict there.
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

TICK_S = 0.05
"""How often trials go on."""

LAPSES_AFTER_MS = 10_000.0
"""Time after an order's end from which on a VM that knows no state of it lets it be: a
version that was rolled back has no endpoints then, and others must not be kept from
work for an order that was carried out long ago."""

PAUSE_S = 0.2
"""Time between two tries to read or write the record."""

_PHASES = {
    RolloutState.RUNNING: Phase.TRYING,
    RolloutState.COMPLETED: Phase.COMPLETED,
    RolloutState.ROLLED_BACK: Phase.ROLLED_BACK,
}
_FINAL = {
    Phase.COMPLETED: RolloutState.COMPLETED,
    Phase.ROLLED_BACK: RolloutState.ROLLED_BACK,
}


@dataclass(frozen=True, slots=True)
class RolloutFigures:
    """What operators may want to see of an order.

    Attributes:
        service: The service.
        to_version: Version to move it to.
        phase: Where it stands for this VM.
        arrived: Requests for the service under this scheduler.
        exposed: Those that the new version got.
        bad_answers: Its answers with a sign of badness.
    """

    service: str
    to_version: str
    phase: str
    arrived: int = 0
    exposed: int = 0
    bad_answers: int = 0


@dataclass(slots=True, eq=False)
class _Rollout:
    """An order as this VM knows it."""

    order: RolloutOrder
    first_seen_ms: float
    phase: Phase = Phase.UNKNOWN
    ordered_ms: float = 0.0
    trial: Trial | None = None
    core: object = None
    recorded: Phase | None = None
    old: frozenset[str] = frozenset()
    has_lapsed: bool = False
    work: asyncio.Task[None] | None = None

    def lapses_ms(self) -> float:
        """Return when the order is let be where nothing is known of it."""
        return self.first_seen_ms + self.order.duration_ms + LAPSES_AFTER_MS


class Rollouts:
    """Knows the orders of all services.

    Args:
        bounds: What a version that is not proved may get.
        record: Where states are kept.
        coordination: This VM's part in scheduling.
        listed: Returns the endpoints as they are listed now.

    Attributes:
        on_change: Called where other endpoints may be used than before.
    """

    def __init__(
        self,
        bounds: RolloutBounds,
        record: RolloutRecord,
        coordination: Coordination,
        listed: Callable[[], Mapping[str, Endpoint]],
    ) -> None:
        self._bounds = bounds
        self._record = record
        self._coordination = coordination
        self._listed = listed
        self._rollouts: dict[str, _Rollout] = {}
        self.on_change: Callable[[], None] = _ignore

    # --- orders ---------------------------------------------------------------

    def take(self, orders: Iterable[RolloutOrder]) -> None:
        """Adopt orders; one that is known stays as it is."""
        has_new = False
        for order in orders:
            known = self._rollouts.get(order.service)
            if known is not None and known.order.number >= order.number:
                continue
            if known is not None:
                self._let_go(known)
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

    def usable(self, endpoints: Mapping[str, Endpoint]) -> dict[str, Endpoint]:
        """Return endpoints, those marked as leaving that must get no new requests."""
        barred = set()
        for rollout in self._rollouts.values():
            service = rollout.order.service
            own = {n: one for n, one in endpoints.items() if one.service == service}
            if rollout.trial is not None:
                rollout.trial.configure(own)
            barred |= _barred(rollout, own)
        return {
            name: replace(one, leaving=True) if name in barred else one
            for name, one in endpoints.items()
        }

    def figures(self) -> list[RolloutFigures]:
        """Return what operators may want to see."""
        return [_figures(one) for one in self._rollouts.values()]

    # --- life -------------------------------------------------------------------

    async def run(self) -> None:
        """Hold the trials of the services that this VM schedules, until cancelled."""
        try:
            while True:
                await asyncio.sleep(TICK_S)
                self.tick()
        finally:
            for rollout in self._rollouts.values():
                self._let_go(rollout)

    def tick(self) -> None:
        """Take up, go on with and leave trials."""
        for rollout in self._rollouts.values():
            self._tick(rollout)

    def _tick(self, rollout: _Rollout) -> None:
        desk = self._coordination.role.service_queue(rollout.order.service)
        if desk is None:
            self._leave(rollout)
            self._let_lapse(rollout)
            return
        if rollout.core is not desk.core:
            self._leave(rollout)
            rollout.core = desk.core
        if rollout.trial is None:
            if rollout.phase is Phase.UNKNOWN:
                self._start(rollout, self._take_up(rollout))
            elif rollout.recorded is None:
                self._start(rollout, self._save(rollout, rollout.phase))
            return
        desk.core.trial = rollout.trial
        rollout.trial.tick(self._record.now_ms())
        metrics.show(rollout.order, rollout.trial)
        self._follow(rollout, rollout.trial)

    def _let_lapse(self, rollout: _Rollout) -> None:
        if not rollout.has_lapsed and self._record.now_ms() >= rollout.lapses_ms():
            rollout.has_lapsed = True
            self.on_change()

    def _follow(self, rollout: _Rollout, trial: Trial) -> None:
        """Bring the VM in line with the trial, and the record with both."""
        if trial.phase is not rollout.phase:
            self._enter(rollout, trial.phase)
        now_ms = self._record.now_ms()
        if trial.is_due(now_ms):
            self._start(rollout, self._save(rollout, Phase.COMPLETED))
        elif trial.phase is not rollout.recorded and trial.phase in _FINAL:
            self._start(rollout, self._save(rollout, trial.phase))

    def _enter(self, rollout: _Rollout, phase: Phase) -> None:
        rollout.phase = phase
        trial = rollout.trial
        if phase is Phase.MOVING:
            version = rollout.order.to_version
            service = rollout.order.service
            rollout.old = frozenset(
                name
                for name, one in self._listed().items()
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

    def _start(self, rollout: _Rollout, work: object) -> None:
        """Begin a read or write of the record, unless one is on its way."""
        if rollout.work is not None and not rollout.work.done():
            work.close()
            return
        rollout.work = asyncio.get_running_loop().create_task(work)

    def _end_trial(self, rollout: _Rollout) -> None:
        """Judge no more answers."""
        rollout.trial = None
        if rollout.core is not None:
            rollout.core.trial = None

    def _leave(self, rollout: _Rollout) -> None:
        """Leave a trial to the next scheduler; a final state stays known."""
        was_trying = rollout.trial is not None
        self._end_trial(rollout)
        rollout.core = None
        if not was_trying:
            return
        if rollout.phase not in _FINAL:
            rollout.phase = Phase.UNKNOWN
            self.on_change()

    def _let_go(self, rollout: _Rollout) -> None:
        self._end_trial(rollout)
        if rollout.work is not None:
            rollout.work.cancel()

    # --- the record ---------------------------------------------------------------

    async def _take_up(self, rollout: _Rollout) -> None:
        """Read what stands of an order, and begin its trial if nothing final does."""
        order = rollout.order
        try:
            status = await self._record.load(order.service)
            known = status is not None and status.number == order.number
            if not known:
                status = RolloutStatus(
                    order.number, RolloutState.RUNNING, rollout.first_seen_ms
                )
                if not await self._record.save(order, status):
                    return
        except PlatformError as error:
            self._tell_failed(order, error)
            await asyncio.sleep(PAUSE_S)
            return
        if rollout.core is None or self._rollouts.get(order.service) is not rollout:
            return
        rollout.ordered_ms = status.ordered_ms
        if status.state.is_final:
            rollout.recorded = _PHASES[status.state]
            self._enter(rollout, _PHASES[status.state])
            return
        ends_ms = status.ordered_ms + order.duration_ms
        rollout.trial = Trial(order, self._bounds, ends_ms, is_first=not known)
        self._enter(rollout, Phase.TRYING)

    async def _save(self, rollout: _Rollout, phase: Phase) -> None:
        """Record a verdict; where another VM has recorded one, that stands."""
        order = rollout.order
        status = RolloutStatus(order.number, _FINAL[phase], rollout.ordered_ms)
        try:
            if not await self._record.save(order, status):
                stands = await self._record.load(order.service)
                if stands is None or not stands.state.is_final:
                    return
                phase = _PHASES[stands.state]
        except PlatformError as error:
            self._tell_failed(order, error)
            await asyncio.sleep(PAUSE_S)
            return
        rollout.recorded = phase
        self._enter(rollout, phase)
        self._end_trial(rollout)

    def _tell_failed(self, order: RolloutOrder, error: PlatformError) -> None:
        log_event(events.ROLLOUT_RECORD_FAILED, service=order.service, error=error)


def _barred(rollout: _Rollout, own: Mapping[str, Endpoint]) -> set[str]:
    """Return the endpoints of a service that must get no new requests."""
    version = rollout.order.to_version
    new = {name for name, one in own.items() if one.version == version}
    old = own.keys() - new
    match rollout.phase:
        case Phase.MOVING:
            return set(old)
        case Phase.COMPLETED:
            # What is listed later has nothing to do with this order.
            return set(rollout.old & old)
        case Phase.UNKNOWN if not old or rollout.has_lapsed:
            # The old endpoints are gone, as when the service has moved, or the order.
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


def _ignore() -> None:
    """Stand in until somebody follows."""
