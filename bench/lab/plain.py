"""Plays a plain service that is asked for more than it can answer.

The decision core of the objective policy against endpoints that take a fixed time for
each call and admit in arrival order; callers come back once when they are told to.
"""

from __future__ import annotations

import heapq
import random
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from bench.lab.queue import EventQueue
from pomelolane.messages import Handle, StreamEvent
from pomelolane.model import Endpoint, Service, ServiceKind, Team, Tier, Tree, Work
from pomelolane.ports import Grant

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Sequence

    from pomelolane.outcomes import Refusal
    from pomelolane.ports import Decision, SchedulingCore

SERVICE = "portal"
HOP_MS = 2.0
"""Between gateway and scheduler or endpoint, one way."""

TICK_MS = 50.0
TAIL_MS = 6_000.0


@dataclass(frozen=True, slots=True)
class PlainKind:
    """One kind of call.

    Attributes:
        name: Its name.
        rank: 0 is the most urgent.
        per_s: Mean arrivals a second in calm times.
        objective_ms: Time within which an answer is due, the limit for none.
        limit_ms: Time after which the caller gives up.
        repeats_at_once: Whether a refused caller repeats at once instead of waiting.
        organisation: Whose calls they are.
    """

    name: str
    rank: int
    per_s: float
    objective_ms: int
    limit_ms: int
    repeats_at_once: bool = False
    organisation: str = "org"


@dataclass(frozen=True, slots=True)
class PlainLoad:
    """A service and what is asked of it.

    Attributes:
        endpoints: How many endpoints there are.
        slots: Calls that each works on at once.
        work_ms: Time that a call takes in the mean.
        work_spread: Spread of its logarithm.
        keeps_retry_times: Whether callers return at their retry time or not at all, if
            it is after a third of their time; otherwise they return sooner.
        has_fingerprints: Whether handles have fingerprints.
        kinds: Kinds of calls.
        bursts: Begin and end in ms, and the factor on arrivals in between.
        length_ms: End of arrivals.
        seed: What arrivals are drawn from.
    """

    endpoints: int
    slots: int
    work_ms: float
    kinds: tuple[PlainKind, ...]
    bursts: tuple[tuple[float, float, float], ...]
    length_ms: float
    seed: int = 1
    work_spread: float = 0.0
    keeps_retry_times: bool = False
    has_fingerprints: bool = False

    def factor_at(self, at_ms: float) -> float:
        """Return the factor on arrivals at a time."""
        within = (x for begin, end, x in self.bursts if begin <= at_ms < end)
        return max(within, default=1.0)


@dataclass(slots=True, eq=False)
class PlainCall:
    """What became of a call.

    Attributes:
        kind: Its kind.
        at_ms: When its caller first asked.
        number: Its place among all calls.
        tries: Attempts so far.
        sent_ms: When the last attempt began.
        state: ``waiting``, ``running``, ``served``, ``refused`` or ``left``.
        answered_ms: From the first attempt to the answer.
        held_ms: How long the last attempt was held before it was refused.
        endpoint: Where the last attempt was sent.
        reserved_ms: Slot time reserved with the refusal of the first attempt.
        is_reserved: Whether the grant of the last attempt used a reservation.
    """

    kind: PlainKind
    at_ms: float
    number: int
    tries: int = 0
    sent_ms: float = 0.0
    state: str = "waiting"
    answered_ms: float = -1.0
    held_ms: float = 0.0
    endpoint: str = ""
    reserved_ms: int = 0
    is_reserved: bool = False

    @property
    def name(self) -> str:
        """Request id of the present attempt."""
        return f"{self.number}.{self.tries}"

    @property
    def is_on_time(self) -> bool:
        """Whether it was answered within its objective, from the last attempt on."""
        took_ms = self.at_ms + self.answered_ms - self.sent_ms
        return self.state == "served" and took_ms <= self.kind.objective_ms


@dataclass(slots=True)
class PlainPlay:
    """A load as it was played."""

    calls: list[PlainCall] = field(default_factory=list)

    def of(self, kind: str = "", since_ms: float = 0.0) -> list[PlainCall]:
        """Return the calls of a kind, or of all kinds, since a time."""
        return [
            call
            for call in self.calls
            if call.at_ms >= since_ms and kind in ("", call.kind.name)
        ]


class _Player:
    def __init__(
        self, load: PlainLoad, make_core: Callable[[str], SchedulingCore]
    ) -> None:
        self._load = load
        self._core = make_core(SERVICE)
        self._core.configure(_tree(load), 0.0)
        self._queue = EventQueue()
        self._at = self._queue.at
        self._after = self._queue.after
        self._open: dict[str, PlainCall] = {}
        self._busy: dict[str, list[float]] = {}
        self._draw = random.Random(load.seed + 1000)
        self.play = PlainPlay()

    def run(self) -> PlainPlay:
        draw = random.Random(self._load.seed)
        for kind in self._load.kinds:
            self._draw_arrivals(draw, kind)
        self._at(TICK_MS, self._tick)
        end_ms = self._load.length_ms + TAIL_MS
        self._queue.run_until(end_ms)
        return self.play

    def _draw_arrivals(self, draw: random.Random, kind: PlainKind) -> None:
        at_ms = 0.0
        while True:
            per_ms = kind.per_s * self._load.factor_at(at_ms) / 1000
            at_ms += draw.expovariate(per_ms)
            if at_ms >= self._load.length_ms:
                return
            call = PlainCall(kind, at_ms, len(self.play.calls))
            self.play.calls.append(call)
            self._at(at_ms, self._send, call)

    @property
    def _now_ms(self) -> float:
        return self._queue.now_ms

    def _send(self, call: PlainCall) -> None:
        call.tries += 1
        call.state = "waiting"
        call.sent_ms = self._now_ms
        self._open[call.name] = call
        self._after(self._left_ms(call), self._leave, call, call.tries)
        self._after(HOP_MS, self._submit, call, call.tries)

    def _left_ms(self, call: PlainCall) -> float:
        return call.at_ms + call.kind.limit_ms - self._now_ms

    def _submit(self, call: PlainCall, tries: int) -> None:
        if self._is_open(call, tries):
            self._decide(self._core.submit(self._handle(call), self._now_ms))

    def _is_open(self, call: PlainCall, tries: int) -> bool:
        return call.tries == tries and call.name in self._open

    def _handle(self, call: PlainCall) -> Handle:
        kind = call.kind
        limit_ms = int(call.at_ms + kind.limit_ms - call.sent_ms)
        objective_ms = min(kind.objective_ms, limit_ms)
        return Handle(
            request_id=call.name,
            service=SERVICE,
            work=kind.name,
            tier_rank=kind.rank,
            organisation=kind.organisation,
            team="",
            budget_ms=max(0, int(self._left_ms(call))),
            prefill_tokens=0,
            decode_tokens=0,
            objective_ms=objective_ms,
            late_window_ms=limit_ms - objective_ms,
            fingerprint=f"{call.number:016x}" if self._load.has_fingerprints else "",
        )

    def _decide(self, decisions: Sequence[Decision]) -> None:
        for decision in decisions:
            call = self._open.get(decision.request_id)
            if call is None:
                self._decide(self._core.withdraw(decision.request_id, self._now_ms))
            elif isinstance(decision.result, Grant):
                call.state = "running"
                call.endpoint = decision.result.endpoint_id
                call.is_reserved = decision.result.reserved
                self._after(2 * HOP_MS, self._dispatch, call, call.tries)
            else:
                self._refused(call, decision.result)

    def _refused(self, call: PlainCall, refusal: Refusal) -> None:
        del self._open[call.name]
        call.state = "refused"
        call.held_ms = self._now_ms - call.sent_ms
        left_ms = self._left_ms(call)
        if call.tries > 1 or left_ms <= 0:
            return
        call.reserved_ms = refusal.reserved_ms
        retry_ms = refusal.retry_after_ms
        if call.kind.repeats_at_once:
            retry_ms = 0
        elif self._load.keeps_retry_times and retry_ms > left_ms / 3:
            return
        self._after(min(retry_ms, left_ms / 3) + HOP_MS, self._send, call)

    def _leave(self, call: PlainCall, tries: int) -> None:
        if not self._is_open(call, tries):
            return
        del self._open[call.name]
        call.state = "left"
        self._decide(self._core.withdraw(call.name, self._now_ms))

    def _dispatch(self, call: PlainCall, tries: int) -> None:
        if not self._is_open(call, tries):
            return
        ends = self._busy.setdefault(call.endpoint, [])
        while ends and ends[0] <= self._now_ms:
            heapq.heappop(ends)
        begin_ms = self._now_ms
        if len(ends) >= self._load.slots:
            begin_ms = heapq.heappop(ends)
        end_ms = begin_ms + self._draw_work_ms()
        heapq.heappush(ends, end_ms)
        took_ms = end_ms + HOP_MS - self._now_ms
        self._at(end_ms + HOP_MS, self._answered, call, tries, took_ms)

    def _draw_work_ms(self) -> float:
        spread = self._load.work_spread
        factor = self._draw.lognormvariate(-(spread**2) / 2, spread)
        return self._load.work_ms * factor

    def _answered(self, call: PlainCall, tries: int, took_ms: float) -> None:
        name, endpoint = f"{call.number}.{tries}", call.endpoint
        if self._is_open(call, tries):
            del self._open[call.name]
            call.state = "served"
            call.answered_ms = self._now_ms + HOP_MS - call.at_ms
        self._after(HOP_MS, self._tell, name, endpoint, took_ms)

    def _tell(self, name: str, endpoint: str, took_ms: float) -> None:
        first = StreamEvent(name, endpoint, ttft_ms=took_ms)
        self._decide(self._core.observe(first, self._now_ms))
        end = StreamEvent(name, endpoint, finished=True)
        self._decide(self._core.observe(end, self._now_ms))

    def _tick(self) -> None:
        self._decide(self._core.tick(self._now_ms))
        self._after(TICK_MS, self._tick)


def play_plain_load(
    load: PlainLoad, make_core: Callable[[str], SchedulingCore]
) -> PlainPlay:
    """Play a load under a policy.

    Args:
        load: The load.
        make_core: Makes the core of a service.
    """
    return _Player(load, make_core).run()


def share_on_time(calls: Iterable[PlainCall]) -> float:
    """Return the part of the answered calls that were answered on time."""
    served = [call for call in calls if call.state == "served"]
    return sum(call.is_on_time for call in served) / max(1, len(served))


def _tree(load: PlainLoad) -> Tree:
    endpoints = {
        f"p{number}": Endpoint(f"p{number}", SERVICE, "east", "", slots=load.slots)
        for number in range(load.endpoints)
    }
    works = {kind.name: Work(kind.name, "t", kind.limit_ms) for kind in load.kinds}
    service = Service(SERVICE, "team", ServiceKind.PLAIN, works)
    return Tree(
        tiers={"t": Tier("t", 0)},
        teams={"team": Team("team")},
        services={SERVICE: service},
        endpoints=endpoints,
    )
