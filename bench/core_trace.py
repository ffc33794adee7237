"""Seeded traces and scenarios for the trials of the decision core.

Each scenario is named after one of the bench's and has its shape in small.
"""

from __future__ import annotations

import random
from dataclasses import dataclass, field, replace
from typing import TYPE_CHECKING

from bench.core_model import BLOCK_TOKENS
from pomelolane.messages import Handle
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

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

SERVICE = "model"
GATEWAYS = 9
SPEEDS = (1.0, 1.0, 2.0, 2.0, 4.0)
BASE_PREFILL_PER_S = 3000.0
BASE_DECODE_PER_S = 25.0
SLOTS = 8
KV_TOKENS = 60_000


@dataclass(frozen=True, slots=True)
class Kind:
    """One kind of work in a trial.

    Attributes:
        name: Its name.
        rank: Its tier.
        prefill: Least and greatest prompt length.
        decode: Least and greatest answer length.
        deadline_ms: Time allowed.
    """

    name: str
    rank: int
    prefill: tuple[int, int]
    decode: tuple[int, int]
    deadline_ms: int


CHECK = Kind("check", 0, (60, 300), (10, 30), 3_000)
QUESTION = Kind("question", 1, (200, 1_500), (40, 160), 12_000)
SUMMARY = Kind("summary", 2, (3_000, 16_000), (200, 700), 90_000)
KINDS = (CHECK, QUESTION, SUMMARY)
SMALL_CHECK = Kind("small-check", 0, (40, 200), (3, 12), 4_000)
SMALL_QUESTION = Kind("small-question", 1, (60, 600), (6, 40), 10_000)
PACKET = Kind("packet", 2, (600, 6_000), (12, 80), 15_000)
PACKET_KINDS = (SMALL_CHECK, SMALL_QUESTION, PACKET)


@dataclass(frozen=True, slots=True)
class Arrival:
    """One request of a trace.

    Attributes:
        at_ms: When it comes.
        handle: What the scheduler hears.
        output_tokens: What it really generates.
        gateway: Which gateway takes it.
    """

    at_ms: float
    handle: Handle
    output_tokens: int
    gateway: int


@dataclass(frozen=True, slots=True)
class Fault:
    """A change of an engine's pace during a trial."""

    at_ms: float
    endpoint: int
    slowdown: float


@dataclass(frozen=True, slots=True)
class Scenario:
    """A trace with what goes wrong during it."""

    arrivals: tuple[Arrival, ...]
    faults: tuple[Fault, ...] = ()
    report_age_ms: float = 2_000.0
    weights: dict[str, float] = field(default_factory=dict)
    declared_alike: bool = False
    endpoints: tuple[Endpoint, ...] = ()


class Trace:
    """Builds seeded, open-loop arrivals."""

    def __init__(self, seed: int) -> None:
        self._random = random.Random(seed)
        self._arrivals: list[Arrival] = []
        self._number = 0

    def poisson(
        self,
        kind: Kind,
        per_s: float,
        begin_s: float,
        end_s: float,
        organisations: Sequence[str] = ("a", "b", "c"),
        prefixes: Sequence[tuple[int, ...]] = (),
    ) -> None:
        """Add arrivals of one kind at a rate."""
        at_s = begin_s
        while per_s > 0:
            at_s += self._random.expovariate(per_s)
            if at_s >= end_s:
                return
            self._add(kind, at_s * 1000.0, organisations, prefixes)

    def build(self) -> tuple[Arrival, ...]:
        """Return the arrivals in order of time."""
        return tuple(sorted(self._arrivals, key=lambda arrival: arrival.at_ms))

    def _add(
        self,
        kind: Kind,
        at_ms: float,
        organisations: Sequence[str],
        prefixes: Sequence[tuple[int, ...]],
    ) -> None:
        draw = self._random
        self._number += 1
        prefill = _log_uniform(draw, kind.prefill)
        hashes: tuple[int, ...] = ()
        if prefixes:
            rank = min(len(prefixes) - 1, int(draw.paretovariate(0.8)) - 1)
            hashes = prefixes[rank]
            prefill += len(hashes) * BLOCK_TOKENS
        elif kind is SUMMARY:
            hashes = tuple(draw.getrandbits(62) for _ in range(prefill // BLOCK_TOKENS))
        handle = Handle(
            request_id=f"{kind.name}-{self._number}",
            service=SERVICE,
            work=kind.name,
            tier_rank=kind.rank,
            organisation=draw.choice(organisations),
            team="team",
            budget_ms=kind.deadline_ms,
            prefill_tokens=prefill,
            decode_tokens=_declared_tokens(kind),
            prefix_hashes=hashes,
        )
        output = _log_uniform(draw, kind.decode)
        if kind in PACKET_KINDS:
            output = _log_normal(draw, kind.decode)
        gateway = draw.randrange(GATEWAYS)
        self._arrivals.append(Arrival(at_ms, handle, output, gateway))


def _declared_tokens(kind: Kind) -> int:
    """Return what a handle says, the median for packets and their company."""
    if kind in PACKET_KINDS:
        return round((kind.decode[0] * kind.decode[1]) ** 0.5)
    return (kind.decode[0] + kind.decode[1]) // 2


def _log_uniform(draw: random.Random, bounds: tuple[int, int]) -> int:
    low, high = bounds
    return int(low * (high / low) ** draw.random())


def _log_normal(draw: random.Random, bounds: tuple[int, int]) -> int:
    """Draw around the geometric mean; few reach the bounds."""
    low, high = bounds
    middle = (low * high) ** 0.5
    return int(min(high, max(low, middle * draw.lognormvariate(0.0, 0.4))))


def alike(endpoint: Endpoint) -> Endpoint:
    """Return an endpoint declared with the speeds of the fastest."""
    return replace(
        endpoint,
        prefill_tokens_per_s=BASE_PREFILL_PER_S * max(SPEEDS),
        decode_tokens_per_s=BASE_DECODE_PER_S * max(SPEEDS),
    )


def make_endpoints() -> list[Endpoint]:
    """Return the unlike engines of the trials."""
    return [
        Endpoint(
            endpoint_id=f"e{index}",
            service=SERVICE,
            data_centre="",
            address="",
            slots=SLOTS,
            kv_tokens=KV_TOKENS,
            prefill_tokens_per_s=BASE_PREFILL_PER_S * speed,
            decode_tokens_per_s=BASE_DECODE_PER_S * speed,
        )
        for index, speed in enumerate(SPEEDS)
    ]


def make_packet_endpoints() -> tuple[Endpoint, ...]:
    """Return engines as the bench's slowed down ones: prompts are dear."""
    return tuple(
        Endpoint(
            endpoint_id=f"e{index}",
            service=SERVICE,
            data_centre="",
            address="",
            slots=12 if fast else 6,
            kv_tokens=98_304 if fast else 32_768,
            prefill_tokens_per_s=4_800.0 if fast else 1_600.0,
            decode_tokens_per_s=16.0 if fast else 8.0,
        )
        for index, fast in enumerate((True, False, True, False, False))
    )


def make_tree(
    weights: dict[str, float],
    declared_alike: bool = False,
    endpoints: Sequence[Endpoint] = (),
) -> Tree:
    """Return the settings of the trials."""
    works = {k.name: Work(k.name, f"t{k.rank}", k.deadline_ms) for k in KINDS}
    service = Service(SERVICE, "team", ServiceKind.ENGINE, works, queue_limit=1000)
    endpoints = list(endpoints) or make_endpoints()
    if declared_alike:
        endpoints = [alike(endpoint) for endpoint in endpoints]
    return Tree(
        tiers={f"t{rank}": Tier(f"t{rank}", rank) for rank in range(3)},
        teams={"team": Team("team")},
        services={SERVICE: service},
        endpoints={e.endpoint_id: e for e in endpoints},
        organisations={
            name: Organisation(name, "team", "", weight=weight)
            for name, weight in weights.items()
        },
    )


def slot_ms(kind: Kind) -> float:
    """Return the mean slot time of a kind at base speed, batch included."""
    batch = 1.0 + 0.03 * (SLOTS - 1)
    prefill = sum(kind.prefill) / 2.0 * 0.8
    decode = sum(kind.decode) / 2.0 * 0.85
    return 1000.0 * (prefill / BASE_PREFILL_PER_S + batch * decode / BASE_DECODE_PER_S)


def crowded_ms(arrival: Arrival, endpoint: Endpoint) -> float:
    """Return what a request needs on an engine with a full batch."""
    batch = 1.0 + 0.03 * (endpoint.slots - 1)
    prefill_s = arrival.handle.prefill_tokens / endpoint.prefill_tokens_per_s
    decode_s = batch * arrival.output_tokens / endpoint.decode_tokens_per_s
    return 1000.0 * (prefill_s + decode_s)


def rate_per_s(kind: Kind, share: float) -> float:
    """Return the arrivals of a kind that take a share of all slots."""
    return share * sum(SPEEDS) * SLOTS * 1000.0 / slot_ms(kind)


def _mix(trace: Trace, load: float, begin_s: float, end_s: float) -> None:
    """Add all kinds: a fifth checks, two fifths questions, the rest summaries."""
    for kind, share in ((CHECK, 0.2), (QUESTION, 0.4), (SUMMARY, 0.4)):
        trace.poisson(kind, rate_per_s(kind, share * load), begin_s, end_s)


def steady(seed: int) -> Scenario:
    """Return 70% of capacity."""
    trace = Trace(seed)
    _mix(trace, 0.7, 0.0, 60.0)
    return Scenario(trace.build())


def landing(seed: int) -> Scenario:
    """Return half load with a burst at three times capacity for 20 s."""
    trace = Trace(seed)
    _mix(trace, 0.5, 0.0, 60.0)
    trace.poisson(CHECK, rate_per_s(CHECK, 0.6), 20.0, 40.0)
    trace.poisson(QUESTION, rate_per_s(QUESTION, 1.2), 20.0, 40.0)
    trace.poisson(SUMMARY, rate_per_s(SUMMARY, 0.7), 20.0, 40.0)
    return Scenario(trace.build())


def night(seed: int) -> Scenario:
    """Return long packets at one and a half times capacity."""
    trace = Trace(seed)
    trace.poisson(CHECK, rate_per_s(CHECK, 0.1), 0.0, 90.0)
    trace.poisson(QUESTION, rate_per_s(QUESTION, 0.2), 0.0, 90.0)
    trace.poisson(SUMMARY, rate_per_s(SUMMARY, 1.2), 0.0, 90.0)
    return Scenario(trace.build())


def straggler(seed: int) -> Scenario:
    """Return 60% load with the fastest engine ten times slower for a while."""
    trace = Trace(seed)
    _mix(trace, 0.5, 0.0, 60.0)
    return Scenario(trace.build(), (Fault(15e3, 4, 10.0), Fault(40e3, 4, 1.0)))


def stale(seed: int) -> Scenario:
    """Return 80% load with reports five seconds late."""
    trace = Trace(seed)
    _mix(trace, 0.8, 0.0, 60.0)
    return Scenario(trace.build(), report_age_ms=5_000.0)


def prefixes(seed: int) -> Scenario:
    """Return questions about shared evidence, too much load without a cache."""
    trace = Trace(seed)
    draw = random.Random(seed)
    shared = [
        tuple(draw.getrandbits(62) for _ in range(draw.randrange(4, 24)))
        for _ in range(40)
    ]
    trace.poisson(QUESTION, rate_per_s(QUESTION, 0.4), 0.0, 60.0, prefixes=shared)
    trace.poisson(CHECK, rate_per_s(CHECK, 0.15), 0.0, 60.0)
    return Scenario(trace.build())


def flood(seed: int) -> Scenario:
    """Return two organisations within their share and one far above it."""
    trace = Trace(seed)
    for name, share in (("a", 0.3), ("b", 0.3), ("flooding", 2.0)):
        trace.poisson(QUESTION, rate_per_s(QUESTION, share), 0.0, 40.0, (name,))
    return Scenario(trace.build(), weights={"a": 1.0, "b": 1.0, "flooding": 1.0})


def lull(seed: int) -> Scenario:
    """Return lulls full of long work, each ended by a burst of checks."""
    trace = Trace(seed)
    trace.poisson(SUMMARY, rate_per_s(SUMMARY, 1.0), 0.0, 90.0)
    for begin_s in (5.0, 35.0, 65.0):
        trace.poisson(CHECK, rate_per_s(CHECK, 0.6), begin_s, begin_s + 5.0)
    return Scenario(trace.build())


def misdeclared(seed: int) -> Scenario:
    """Return 85% load on engines that are all declared as fast as the fastest."""
    trace = Trace(seed)
    _mix(trace, 0.85, 0.0, 60.0)
    return Scenario(trace.build(), declared_alike=True)


def packets(seed: int) -> Scenario:
    """Return prompts of 1.5 times what the engines can process, due in 15 s."""
    trace = Trace(seed)
    trace.poisson(SMALL_CHECK, 15.0, 0.0, 60.0)
    trace.poisson(SMALL_QUESTION, 8.0, 0.0, 60.0)
    trace.poisson(PACKET, 10.0, 0.0, 60.0)
    return Scenario(trace.build(), endpoints=make_packet_endpoints())


SCENARIOS: dict[str, Callable[[int], Scenario]] = {
    "steady": steady,
    "landing": landing,
    "night": night,
    "straggler": straggler,
    "stale": stale,
    "prefixes": prefixes,
    "flood": flood,
    "lull": lull,
    "misdeclared": misdeclared,
    "packets": packets,
}
