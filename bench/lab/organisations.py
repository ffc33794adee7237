"""Load of several organisations on the objective policy's core, without a network.

Engines of equal speed, as the policy's constants describe them, answer the requests
that the core grants. The core can be replaced by a new one while it runs.
"""

from __future__ import annotations

import random
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from bench.lab.queue import EventQueue
from pomelolane.messages import Handle, RunningHandle, StreamEvent
from pomelolane.model import (
    Endpoint,
    Organisation,
    Service,
    ServiceKind,
    Team,
    Tier,
    Tree,
    Work,
)
from pomelolane.ports import Grant
from pomelolane.scheduler.objective import ObjectiveOptions, make_objective_core

if TYPE_CHECKING:
    from collections.abc import Sequence

    from pomelolane.ports import Decision

SERVICE = "model"
TICK_MS = 50.0
LIMIT_MS = 6_000
ANSWER_SPREAD = 0.3
OPTIONS = ObjectiveOptions()
RECENT_CALLS = 200
"""Requests among which those that wait are looked for: about a second of arrivals."""

MIN_TTFT_MS = 100.0
"""Requests due sooner than this may be in the late queue."""


@dataclass(frozen=True, slots=True)
class Caller:
    """An organisation's requests of one kind.

    Attributes:
        organisation: Its name.
        per_s: Usual number of requests per second.
        objective_ms: Time within which the first byte is due.
        tier_rank: Rank of the requests.
        prompt_tokens: Length of the prompts.
        answer_tokens: Expected lengths of the answers, one of which is drawn.
        spike: Factor on the number of requests during the spike.
        weight: Weight of the organisation.
    """

    organisation: str
    per_s: float
    objective_ms: int = 500
    tier_rank: int = 1
    prompt_tokens: int = 1000
    answer_tokens: tuple[int, ...] = (50,)
    spike: float = 1.0
    weight: float = 1.0


@dataclass(frozen=True, slots=True)
class OrganisationLoad:
    """Callers of a service, and a spike of some of them.

    Attributes:
        callers: Who calls.
        engines: Number of engines.
        slots: Slots of each.
        spike_ms: When the spike begins and ends.
        replaced_ms: When the core is replaced by a new one, 0 for never.
        seed: Seed of the drawn arrivals and lengths.
    """

    callers: tuple[Caller, ...]
    engines: int = 6
    slots: int = 4
    spike_ms: tuple[float, float] = (5_000.0, 15_000.0)
    replaced_ms: float = 0.0
    seed: int = 1


@dataclass(slots=True)
class Call:
    """One request.

    Attributes:
        caller: Whose it is.
        handle: What the scheduler knows of it.
        at_ms: When it arrived.
        state: ``waiting``, ``running``, ``served``, ``late`` or ``refused``.
        endpoint: Where it runs.
        started: Whether its answer has begun.
    """

    caller: Caller
    handle: Handle
    at_ms: float
    state: str = "waiting"
    endpoint: str = ""
    started: bool = False


@dataclass(slots=True)
class OrganisationPlay:
    """A load as it was played.

    Attributes:
        load: The load.
        calls: All requests.
        busy_ms: Occupied slot time during the spike.
        overtaken: Grants while a request of a more urgent rank waited on time.
    """

    load: OrganisationLoad
    calls: list[Call] = field(default_factory=list)
    busy_ms: float = 0.0
    overtaken: int = 0

    def served_share(self, callers: Sequence[Caller]) -> float:
        """Return the share of the requests during the spike that was served on time."""
        begin_ms, end_ms = self.load.spike_ms
        calls = [
            call
            for call in self.calls
            if call.caller in callers and begin_ms <= call.at_ms < end_ms
        ]
        return sum(call.state == "served" for call in calls) / max(1, len(calls))

    def used_share(self) -> float:
        """Return the share of the slot time during the spike that was occupied."""
        begin_ms, end_ms = self.load.spike_ms
        slots = self.load.engines * self.load.slots
        return self.busy_ms / (slots * (end_ms - begin_ms))


class _Player:
    def __init__(self, load: OrganisationLoad) -> None:
        self._load = load
        self._queue = EventQueue()
        self._draw = random.Random(load.seed)
        self._calls: dict[str, Call] = {}
        self._core = make_objective_core(SERVICE)
        self._core.configure(_tree(load), 0.0)
        self.play = OrganisationPlay(load)

    def run(self) -> OrganisationPlay:
        for caller in self._load.callers:
            self._queue.after(self._gap_ms(caller), self._arrive, caller)
        self._queue.at(TICK_MS, self._tick)
        if self._load.replaced_ms:
            self._queue.at(self._load.replaced_ms, self._replace)
        self._queue.run_until(self._load.spike_ms[1] + LIMIT_MS)
        return self.play

    @property
    def _now_ms(self) -> float:
        return self._queue.now_ms

    def _gap_ms(self, caller: Caller) -> float:
        return self._draw.expovariate(caller.per_s * self._factor(caller) / 1000)

    def _factor(self, caller: Caller) -> float:
        begin_ms, end_ms = self._load.spike_ms
        return caller.spike if begin_ms <= self._now_ms < end_ms else 1.0

    def _arrive(self, caller: Caller) -> None:
        if self._now_ms >= self._load.spike_ms[1]:
            return
        self._queue.after(self._gap_ms(caller), self._arrive, caller)
        handle = Handle(
            request_id=f"r{len(self.play.calls)}",
            service=SERVICE,
            work="work",
            tier_rank=caller.tier_rank,
            organisation=caller.organisation,
            team="",
            budget_ms=LIMIT_MS,
            prefill_tokens=caller.prompt_tokens,
            decode_tokens=self._draw.choice(caller.answer_tokens),
            objective_ms=caller.objective_ms,
            late_window_ms=LIMIT_MS - caller.objective_ms,
        )
        call = Call(caller, handle, self._now_ms)
        self.play.calls.append(call)
        self._calls[handle.request_id] = call
        self._decide(self._core.submit(handle, self._now_ms))

    def _decide(self, decisions: Sequence[Decision]) -> None:
        for decision in decisions:
            call = self._calls[decision.request_id]
            if not isinstance(decision.result, Grant):
                call.state = "refused"
                continue
            call.state = "running"
            self._count_overtaken(call)
            call.endpoint = decision.result.endpoint_id
            ttft_ms = decision.result.expected_ttft_ms
            self._queue.after(ttft_ms, self._begin, call, ttft_ms)

    def _count_overtaken(self, granted: Call) -> None:
        rank = granted.caller.tier_rank
        self.play.overtaken += any(
            call.state == "waiting"
            and call.caller.tier_rank < rank
            and self._now_ms + MIN_TTFT_MS < call.at_ms + call.caller.objective_ms
            for call in self.play.calls[-RECENT_CALLS:]
        )

    def _begin(self, call: Call, ttft_ms: float) -> None:
        call.started = True
        self._observe(call, ttft_ms=ttft_ms)
        factor = self._draw.lognormvariate(0.0, ANSWER_SPREAD)
        answer_ms = call.handle.decode_tokens * OPTIONS.token_ms * factor
        self._count_busy(self._now_ms - ttft_ms, self._now_ms + answer_ms)
        self._queue.after(answer_ms, self._end, call, answer_ms)

    def _end(self, call: Call, answer_ms: float) -> None:
        due_ms = call.at_ms + call.caller.objective_ms
        begun_ms = self._now_ms - answer_ms
        call.state = "served" if begun_ms <= due_ms else "late"
        events = max(1, call.handle.decode_tokens // OPTIONS.tokens_per_event)
        self._observe(call, tokens=events, elapsed_ms=answer_ms, finished=True)

    def _observe(self, call: Call, **fields) -> None:
        event = StreamEvent(call.handle.request_id, call.endpoint, **fields)
        self._decide(self._core.observe(event, self._now_ms))

    def _count_busy(self, from_ms: float, until_ms: float) -> None:
        begin_ms, end_ms = self._load.spike_ms
        self.play.busy_ms += max(0.0, min(until_ms, end_ms) - max(from_ms, begin_ms))

    def _tick(self) -> None:
        self._queue.after(TICK_MS, self._tick)
        self._decide(self._core.tick(self._now_ms))

    def _replace(self) -> None:
        """Replace the core; running and waiting requests are registered again."""
        self._core = make_objective_core(SERVICE)
        self._core.configure(_tree(self._load), self._now_ms)
        for call in self.play.calls:
            left_ms = int(call.at_ms + LIMIT_MS - self._now_ms)
            handle = call.handle.with_budget(max(0, left_ms), admitted=True)
            if call.state == "running":
                running = RunningHandle(handle, call.endpoint, 0, call.started)
                self._core.register_running(running, self._now_ms)
            elif call.state == "waiting":
                self._decide(self._core.submit(handle, self._now_ms))


def _tree(load: OrganisationLoad) -> Tree:
    names = [f"e{number}" for number in range(load.engines)]
    works = {"work": Work("work", "t", LIMIT_MS)}
    return Tree(
        tiers={"t": Tier("t", 1)},
        teams={"team": Team("team")},
        services={SERVICE: Service(SERVICE, "team", ServiceKind.ENGINE, works)},
        endpoints={
            name: Endpoint(name, SERVICE, "", "", slots=load.slots) for name in names
        },
        organisations={
            caller.organisation: Organisation(
                caller.organisation, "team", "", caller.weight
            )
            for caller in load.callers
        },
    )


def play_organisations(load: OrganisationLoad) -> OrganisationPlay:
    """Play a load on a new core of the objective policy."""
    return _Player(load).run()
