"""Plays a day: callers, one scheduler's core, engines, and what passes between."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from bench.lab.day import DATA_CENTRES
from bench.lab.engine import Engine, Run
from bench.lab.queue import EventQueue
from pomelolane.messages import Handle, StreamEvent
from pomelolane.model import Endpoint, Service, ServiceKind, Team, Tier, Tree, Work
from pomelolane.ports import Grant

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from bench.lab.day import Arrival, Day
    from pomelolane.ports import Decision, SchedulingCore

SERVICE = "model"
HOP_MS = 2.0
"""Between gateway and scheduler or engine, one way."""

TICK_MS = 50.0
PROGRESS_MS = 250.0
DOWN_MS = 900.0
"""How long nobody schedules when all VMs restart."""

TAIL_MS = 14_000.0


@dataclass(slots=True, eq=False)
class Attempt:
    """What became of a caller's request, its returns included.

    Attributes:
        arrival: The request.
        tries: Attempts so far.
        sent_ms: When the present attempt began.
        state: ``waiting``, ``running``, ``served``, ``refused``, ``broken`` or
            ``left``.
        first_ms: From the first attempt to the first event.
        heard_ms: When the caller last heard anything.
        longest_gap_ms: Longest pause between two events.
        offered: Whether an engine ever got it.
        run: The run at an engine.
        engine: Which one.
        unsent: Events since the scheduler was last told.
        told_ms: When that was.
    """

    arrival: Arrival
    tries: int = 0
    sent_ms: float = 0.0
    state: str = "waiting"
    first_ms: float = -1.0
    heard_ms: float = 0.0
    longest_gap_ms: float = 0.0
    offered: bool = False
    run: Run | None = None
    engine: str = ""
    granted_ms: float = 0.0
    unsent: int = 0
    told_ms: float = 0.0
    refusals: int = 0

    @property
    def name(self) -> str:
        """Request id of the present attempt."""
        return f"{self.arrival.number}.{self.tries}"

    @property
    def is_on_time(self) -> bool:
        """Whether it was answered as its kind asks."""
        kind = self.arrival.kind
        in_time = 0 <= self.first_ms <= kind.objective_ms
        return self.state == "served" and in_time and self._is_smooth

    @property
    def _is_smooth(self) -> bool:
        return self.longest_gap_ms <= self.arrival.kind.gap_ms


@dataclass(slots=True)
class Play:
    """A day as it was played."""

    day: Day
    attempts: list[Attempt] = field(default_factory=list)
    rejected: int = 0


class _Player:
    def __init__(self, day: Day, make_core: Callable[[str], SchedulingCore]) -> None:
        self._day = day
        self._make_core = make_core
        self._core = make_core(SERVICE)
        self._queue = EventQueue()
        self._at = self._queue.at
        self._after = self._queue.after
        self._open: dict[str, Attempt] = {}
        self._down_until_ms = 0.0
        speeds = day.spec.speeds
        self._engines = {
            f"e{n}": Engine(day.spec, speeds[n % len(speeds)])
            for n in range(day.spec.count)
        }
        self._tree = _tree(day)
        self.play = Play(day)

    def run(self) -> Play:
        day = self._day
        self._core.configure(self._tree, 0.0)
        for arrival in day.arrivals:
            attempt = Attempt(arrival)
            self.play.attempts.append(attempt)
            self._at(arrival.at_ms, self._send, attempt)
        for crash in day.crashes:
            self._at(crash.at_ms, self._crash, crash.engine, crash.for_ms)
        for at_ms in day.restarts_ms:
            self._at(at_ms, self._restart)
        self._at(TICK_MS, self._tick)
        end_ms = day.length_ms + TAIL_MS
        self._queue.run_until(end_ms)
        return self.play

    @property
    def _now_ms(self) -> float:
        return self._queue.now_ms

    # --- callers ------------------------------------------------------------

    def _send(self, attempt: Attempt) -> None:
        if self._now_ms < self._down_until_ms:
            self._after(self._down_until_ms - self._now_ms, self._send, attempt)
            return
        kind = attempt.arrival.kind
        attempt.tries += 1
        attempt.state = "waiting"
        attempt.sent_ms = attempt.heard_ms = self._now_ms
        if self._left_ms(attempt) <= 0:
            attempt.state = "left"
            return
        self._open[attempt.name] = attempt
        self._after(kind.patience_ms, self._may_leave, attempt, attempt.tries)
        self._after(self._left_ms(attempt), self._leave, attempt, attempt.tries)
        self._after(HOP_MS, self._submit, attempt, attempt.tries)

    def _left_ms(self, attempt: Attempt) -> float:
        arrival = attempt.arrival
        return arrival.at_ms + arrival.kind.limit_ms - self._now_ms

    def _may_leave(self, attempt: Attempt, tries: int) -> None:
        """Leave a silent stream; look again where something was heard."""
        if attempt.tries != tries or attempt.name not in self._open:
            return
        patience_ms = attempt.arrival.kind.patience_ms
        silent_ms = self._now_ms - attempt.heard_ms
        if silent_ms >= patience_ms - 1e-6:
            self._leave(attempt, tries)
        else:
            self._after(patience_ms - silent_ms, self._may_leave, attempt, tries)

    def _leave(self, attempt: Attempt, tries: int) -> None:
        if attempt.tries != tries or attempt.name not in self._open:
            return
        del self._open[attempt.name]
        attempt.state = "left"
        self._end_run(attempt)
        self._decide(self._core.withdraw(attempt.name, self._now_ms))

    def _refused(self, attempt: Attempt, retry_after_ms: float) -> None:
        attempt.state = "refused"
        attempt.refusals += 1
        del self._open[attempt.name]
        if attempt.tries > 1:
            return
        pause_ms = min(retry_after_ms, self._left_ms(attempt) / 3)
        if attempt.arrival.returns_at_once:
            pause_ms = 5.0
        self._after(pause_ms + HOP_MS, self._send, attempt)

    # --- the scheduler ------------------------------------------------------

    def _submit(self, attempt: Attempt, tries: int) -> None:
        if attempt.tries != tries or attempt.name not in self._open:
            return
        if attempt.state == "waiting":
            self._decide(self._core.submit(self._handle(attempt), self._now_ms))

    def _handle(self, attempt: Attempt) -> Handle:
        arrival = attempt.arrival
        kind = arrival.kind
        left_ms = int(self._left_ms(attempt))
        waited_ms = self._now_ms - attempt.sent_ms
        objective_ms = min(kind.objective_ms, left_ms)
        return Handle(
            request_id=attempt.name,
            service=SERVICE,
            work=kind.name,
            tier_rank=kind.rank,
            organisation="org",
            team="",
            budget_ms=left_ms,
            prefill_tokens=arrival.prompt_tokens,
            decode_tokens=arrival.hint_tokens,
            data_centre=arrival.data_centre,
            objective_ms=objective_ms,
            late_window_ms=max(0, int(left_ms - objective_ms + waited_ms)),
            gap_ms=kind.gap_ms,
            patience_ms=max(1, int(kind.patience_ms - waited_ms)),
        )

    def _decide(self, decisions: Sequence[Decision]) -> None:
        for decision in decisions:
            attempt = self._open.get(decision.request_id)
            if attempt is None:
                self._decide(self._core.withdraw(decision.request_id, self._now_ms))
            elif isinstance(decision.result, Grant):
                attempt.state = "running"
                attempt.engine = decision.result.endpoint_id
                self._after(2 * HOP_MS, self._dispatch, attempt, attempt.tries)
            else:
                retry_ms = decision.result.retry_after_ms
                self._refused(attempt, retry_ms)

    def _observe(self, attempt: Attempt, name: str, **fields) -> None:
        event = StreamEvent(name, attempt.engine, **fields)
        self._decide(self._core.observe(event, self._now_ms))

    def _tick(self) -> None:
        if self._now_ms >= self._down_until_ms:
            self._decide(self._core.tick(self._now_ms))
        self._after(TICK_MS, self._tick)

    def _restart(self) -> None:
        """Lose the schedulers and gateways, and with them all that is open."""
        self._down_until_ms = self._now_ms + DOWN_MS
        for attempt in list(self._open.values()):
            del self._open[attempt.name]
            self._end_run(attempt)
            if attempt.state == "waiting" and attempt.tries == 1:
                self._after(DOWN_MS, self._send, attempt)
            else:
                attempt.state = "broken"
        self._core = self._make_core(SERVICE)
        self._core.configure(self._tree, self._now_ms)

    # --- engines ------------------------------------------------------------

    def _dispatch(self, attempt: Attempt, tries: int) -> None:
        if attempt.tries != tries or attempt.name not in self._open:
            return
        arrival = attempt.arrival
        run = Run(attempt.name, arrival.prompt_tokens, arrival.answer_tokens)
        engine = self._engines[attempt.engine]
        attempt.granted_ms = attempt.told_ms = self._now_ms
        if not engine.take(run):
            self.play.rejected += 1
            name = attempt.name
            self._observe(attempt, name, finished=True, refused=True)
            if attempt.name in self._open:
                self._refused(attempt, 300.0)
            return
        attempt.offered = True
        attempt.run = run
        self._run_engine(attempt.engine)

    def _run_engine(self, name: str) -> None:
        engine = self._engines[name]
        if engine.steps or not engine.up:
            return
        took_ms = engine.begin_step()
        if took_ms is not None:
            engine.steps = True
            self._after(took_ms, self._step_ended, name)

    def _step_ended(self, name: str) -> None:
        engine = self._engines[name]
        engine.steps = False
        for piece in engine.end_step():
            attempt = self._open.get(piece.run.name)
            if attempt is not None:
                self._piece(attempt, piece.last)
        self._run_engine(name)

    def _piece(self, attempt: Attempt, last: bool) -> None:
        heard_ms = self._now_ms + 2 * HOP_MS
        if attempt.first_ms < 0:
            attempt.first_ms = heard_ms - attempt.arrival.at_ms
            ttft_ms = self._now_ms - attempt.granted_ms + HOP_MS
            self._after(HOP_MS, self._tell, attempt, attempt.name, {"ttft_ms": ttft_ms})
            attempt.told_ms = self._now_ms
        else:
            gap_ms = heard_ms - attempt.heard_ms
            attempt.longest_gap_ms = max(attempt.longest_gap_ms, gap_ms)
            attempt.unsent += 1
        attempt.heard_ms = heard_ms
        since_ms = self._now_ms - attempt.told_ms
        if last:
            attempt.state = "served"
            del self._open[attempt.name]
        if last or since_ms >= PROGRESS_MS:
            fields = {"finished": last}
            if attempt.unsent:
                fields |= {"tokens": attempt.unsent, "elapsed_ms": since_ms}
            self._after(HOP_MS, self._tell, attempt, attempt.name, fields)
            attempt.unsent = 0
            attempt.told_ms = self._now_ms

    def _tell(self, attempt: Attempt, name: str, fields: dict) -> None:
        self._observe(attempt, name, **fields)

    def _end_run(self, attempt: Attempt) -> None:
        if attempt.run is not None:
            attempt.run.ended = True

    def _crash(self, number: int, for_ms: float) -> None:
        name = f"e{number}"
        for run in self._engines[name].crash():
            attempt = self._open.pop(run.name, None)
            if attempt is None:
                continue
            attempt.state = "broken"
            self._observe(attempt, run.name, finished=True, outcome="failed")
        self._after(for_ms, self._come_back, name)

    def _come_back(self, name: str) -> None:
        self._engines[name].up = True


def play_day(day: Day, make_core: Callable[[str], SchedulingCore]) -> Play:
    """Play a day under a policy.

    Args:
        day: The day.
        make_core: Makes the core of a service.
    """
    return _Player(day, make_core).run()


def _tree(day: Day) -> Tree:
    endpoints = [
        Endpoint(
            endpoint_id=f"e{number}",
            service=SERVICE,
            data_centre=DATA_CENTRES[number % len(DATA_CENTRES)],
            address="",
            slots=day.spec.slots,
        )
        for number in range(day.spec.count)
    ]
    works = {kind.name: Work(kind.name, "t", kind.limit_ms) for kind in day.kinds}
    service = Service(SERVICE, "team", ServiceKind.ENGINE, works)
    return Tree(
        tiers={"t": Tier("t", 0)},
        teams={"team": Team("team")},
        services={SERVICE: service},
        endpoints={endpoint.endpoint_id: endpoint for endpoint in endpoints},
    )


__all__ = ["Attempt", "Play", "play_day"]
