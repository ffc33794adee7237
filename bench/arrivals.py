"""Seeded, open-loop arrivals of a scenario.

The trace depends on nothing but the scenario, the engines' declared speeds
and the seed, so that every policy meets the same requests.
"""

from __future__ import annotations

import math
import random
from dataclasses import dataclass
from typing import TYPE_CHECKING

from bench.engines import total_requests_per_s

if TYPE_CHECKING:
    from collections.abc import Iterator, Sequence

    from bench.engines import EngineSpeed
    from bench.scenario import Length, Phase, Prefixes, Scenario, Workloads, WorkShape

BYTES_PER_TOKEN = 4
BLOCK_TOKENS = 256
_MEAN_SAMPLES = 4000
_MEAN_SEED = 7
_GATEWAYS = 1 << 16


@dataclass(frozen=True, slots=True)
class Arrival:
    """One request of the trace.

    Attributes:
        number: Position in the trace.
        at_s: When it arrives, counted from the start.
        service: Service asked for.
        work: Kind of work.
        organisation: Who asks.
        prompt_tokens: Length of the whole prompt.
        answer_tokens: Length of the answer.
        most_tokens: Bound on the answer that the caller states.
        deadline_ms: Deadline that the caller sends.
        family: Shared beginning of its prompt, -1 for none.
        prefix_tokens: Length of the shared beginning.
        gateway: Picks the VM; the same for all policies.
        seed: Seed of the prompt's own part.
    """

    number: int
    at_s: float
    service: str
    work: str
    organisation: str
    prompt_tokens: int
    answer_tokens: int
    most_tokens: int
    deadline_ms: int
    family: int
    prefix_tokens: int
    gateway: int
    seed: int

    @property
    def reusable_tokens(self) -> int:
        """Prompt tokens that a prefix cache could save: whole blocks only."""
        return self.prefix_tokens // BLOCK_TOKENS * BLOCK_TOKENS

    def prompt(self) -> str:
        """Return the prompt's text."""
        shared = _text(f"family {self.family}", self.prefix_tokens)
        own = _text(f"own {self.seed}", self.prompt_tokens - self.prefix_tokens)
        return shared + own


def make_arrivals(
    scenario: Scenario,
    workloads: Workloads,
    engines: Sequence[EngineSpeed],
    seed: int,
) -> list[Arrival]:
    """Draw a trace, ordered by time.

    Args:
        scenario: Rates, organisations and prefixes.
        workloads: Shapes of the kinds of work.
        engines: Engines of the service, to work the capacity out.
        seed: Seed of everything drawn.
    """
    rates = [
        phase_rates(phase, scenario, workloads, engines) for phase in scenario.phases
    ]
    found: list[Arrival] = []
    for shape in workloads.shapes:
        # A generator for each work keeps one work's draws out of another's.
        rng = random.Random(f"{seed} {scenario.name} {shape.work}")
        by_phase = [rate.get(shape.work, 0.0) for rate in rates]
        found.extend(_arrivals_of(shape, scenario, by_phase, rng))
    found.sort(key=lambda arrival: arrival.at_s)
    return [_numbered(arrival, number) for number, arrival in enumerate(found)]


def phase_rates(
    phase: Phase,
    scenario: Scenario,
    workloads: Workloads,
    engines: Sequence[EngineSpeed],
) -> dict[str, float]:
    """Return requests/s by work in one phase.

    The loads of the phase set how the engines' time is divided among the
    works; their sum sets the whole, as a share of what the engines can do of
    just this mixture.
    """
    shapes = [shape for shape in workloads.shapes if phase.load.get(shape.work)]
    sizes = {shape.work: _mean_size(shape, scenario.prefixes) for shape in shapes}
    parts = {
        work: phase.load[work] * total_requests_per_s(engines, *size)
        for work, size in sizes.items()
    }
    whole = sum(parts.values())
    prompt = sum(parts[work] * size[0] for work, size in sizes.items()) / whole
    answer = sum(parts[work] * size[1] for work, size in sizes.items()) / whole
    capacity = total_requests_per_s(engines, prompt, answer)
    load = sum(phase.load[work] for work in sizes)
    return {work: part / whole * load * capacity for work, part in parts.items()}


def _mean_size(shape: WorkShape, prefixes: Prefixes | None) -> tuple[float, float]:
    prompt = _mean(shape.prompt)
    if prefixes is not None and prefixes.work == shape.work:
        prompt += _mean(prefixes.length)
    return prompt, _mean(shape.answer)


def _arrivals_of(
    shape: WorkShape,
    scenario: Scenario,
    rates: Sequence[float],
    rng: random.Random,
) -> Iterator[Arrival]:
    families = _families(shape, scenario.prefixes, rng)
    for at_s in _times(scenario.phases, rates, rng):
        yield _draw(shape, scenario, families, at_s, rng)


def _times(
    phases: Sequence[Phase], rates: Sequence[float], rng: random.Random
) -> Iterator[float]:
    start_s = 0.0
    for phase, rate in zip(phases, rates, strict=True):
        at_s = start_s
        while rate > 0.0:
            at_s += rng.expovariate(rate)
            if at_s >= phase.until_s:
                break
            yield at_s
        start_s = phase.until_s


def _draw(
    shape: WorkShape,
    scenario: Scenario,
    families: Sequence[tuple[int, int, float]],
    at_s: float,
    rng: random.Random,
) -> Arrival:
    shares = scenario.organisations_of(shape.work)
    (organisation,) = rng.choices(list(shares), list(shares.values()))
    weights = [popularity for _, _, popularity in families]
    ((family, prefix_tokens, _),) = rng.choices(families, weights)
    return Arrival(
        number=0,
        at_s=at_s,
        service=shape.service,
        work=shape.work,
        organisation=organisation,
        prompt_tokens=prefix_tokens + _length(shape.prompt, rng),
        answer_tokens=_length(shape.answer, rng),
        most_tokens=shape.answer.most,
        deadline_ms=shape.deadline_ms,
        family=family,
        prefix_tokens=prefix_tokens,
        gateway=rng.randrange(_GATEWAYS),
        seed=rng.getrandbits(48),
    )


def _families(
    shape: WorkShape, prefixes: Prefixes | None, rng: random.Random
) -> list[tuple[int, int, float]]:
    """Return number, length and popularity of the shared beginnings."""
    if prefixes is None or prefixes.work != shape.work:
        return [(-1, 0, 1.0)]
    return [
        (number, _length(prefixes.length, rng), (number + 1) ** -prefixes.skew)
        for number in range(prefixes.families)
    ]


def _length(length: Length, rng: random.Random) -> int:
    drawn = rng.lognormvariate(math.log(length.median), length.spread)
    return max(length.least, min(length.most, round(drawn)))


def _mean(length: Length) -> float:
    rng = random.Random(_MEAN_SEED)
    return sum(_length(length, rng) for _ in range(_MEAN_SAMPLES)) / _MEAN_SAMPLES


def _text(seed: str, tokens: int) -> str:
    size = tokens * BYTES_PER_TOKEN
    return random.Random(seed).randbytes((size + 1) // 2).hex()[:size]


def _numbered(arrival: Arrival, number: int) -> Arrival:
    fields = {name: getattr(arrival, name) for name in Arrival.__slots__}
    return Arrival(**fields | {"number": number})
