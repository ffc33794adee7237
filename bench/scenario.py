"""Scenario files: what arrives when, and what breaks meanwhile.

Loads are shares of the capacity worked out from the engines' declared
speeds, so that a scenario means the same on other engines.
"""

from __future__ import annotations

import tomllib
from pathlib import Path

import msgspec

from bench.processes import BenchError

SCENARIOS = Path(__file__).resolve().parent / "scenarios"
_WORKLOADS = "workloads"


class Length(msgspec.Struct, frozen=True, kw_only=True):
    """A log-normal distribution of token counts, cut at both ends.

    Attributes:
        median: Half of the lengths are below.
        spread: Standard deviation of the logarithm.
        least: Lower bound.
        most: Upper bound.
    """

    median: float
    spread: float
    least: int
    most: int


class WorkShape(msgspec.Struct, frozen=True, kw_only=True):
    """What requests of one kind of work look like.

    Attributes:
        work: Kind of work as declared.
        service: Its service.
        prompt: Prompt lengths.
        answer: Answer lengths.
        deadline_ms: Deadline that callers send.
    """

    work: str
    service: str
    prompt: Length
    answer: Length
    deadline_ms: int


class Phase(msgspec.Struct, frozen=True, kw_only=True):
    """A stretch of time with constant arrival rates.

    Attributes:
        until_s: Its end; it begins where the one before it ends.
        load: Offered load by work, as shares of the capacity.
    """

    until_s: float
    load: dict[str, float]


class Prefixes(msgspec.Struct, frozen=True, kw_only=True):
    """Evidence that several requests have in common.

    Attributes:
        work: Work whose prompts begin with it.
        families: How many different pieces of evidence there are.
        length: Lengths of the pieces, added to the prompt's own.
        skew: Exponent of the popularity; 0 makes all equal.
    """

    work: str
    families: int
    length: Length
    skew: float = 1.0


class Fault(msgspec.Struct, frozen=True, kw_only=True):
    """A setting of an endpoint's control port, set at a time.

    Attributes:
        at_s: When, counted from the first arrival; below 0 before it.
        endpoint: Endpoint id, or ``*`` for all engines.
        control: What is posted to the control port.
    """

    at_s: float
    endpoint: str
    control: dict[str, float]


class Scenario(msgspec.Struct, frozen=True, kw_only=True):
    """One experiment.

    Attributes:
        name: Short name, as in the file's name.
        summary: One sentence for people.
        phases: Arrival rates over time.
        organisations: Share of the arrivals by organisation, for each work
            or under ``*``.
        faults: What breaks when.
        prefixes: Shared beginnings of prompts, if any.
        fair_work: Work whose served tokens are compared with the weighted
            shares of its organisations, empty for none.
    """

    name: str
    summary: str
    phases: list[Phase]
    organisations: dict[str, dict[str, float]]
    faults: list[Fault] = []
    prefixes: Prefixes | None = None
    fair_work: str = ""

    @property
    def seconds(self) -> float:
        """Time in which requests arrive."""
        return self.phases[-1].until_s

    def organisations_of(self, work: str) -> dict[str, float]:
        """Return the arrivals' shares by organisation for one work."""
        return self.organisations.get(work) or self.organisations["*"]

    def shortened(self, factor: float) -> Scenario:
        """Return the scenario with all times multiplied by a factor."""
        phases = [
            msgspec.structs.replace(phase, until_s=phase.until_s * factor)
            for phase in self.phases
        ]
        faults = [
            msgspec.structs.replace(fault, at_s=fault.at_s * factor)
            for fault in self.faults
        ]
        return msgspec.structs.replace(self, phases=phases, faults=faults)


class Workloads(msgspec.Struct, frozen=True, kw_only=True):
    """What all scenarios have in common.

    Attributes:
        deployment: Deployment under ``examples/``.
        prefill_scale: Factor on the declared prompt speeds.
        decode_scale: Factor on the declared answer speeds.
        kv_scale: Factor on the declared KV memory.
        shapes: Kinds of work.
    """

    deployment: str
    prefill_scale: float
    decode_scale: float
    kv_scale: float
    shapes: list[WorkShape]

    def shape(self, work: str) -> WorkShape:
        """Return the shape of one work."""
        for shape in self.shapes:
            if shape.work == work:
                return shape
        raise BenchError(f"no shape for work {work!r}")


def scenario_names() -> list[str]:
    """Return the names of all scenarios."""
    names = (path.stem for path in sorted(SCENARIOS.glob("*.toml")))
    return [name for name in names if name != _WORKLOADS]


def read_scenario(name: str) -> Scenario:
    """Read a scenario by name, or from a path that ends in ``.toml``.

    Raises:
        BenchError: There is none, or it is malformed.
    """
    path = Path(name) if name.endswith(".toml") else SCENARIOS / f"{name}.toml"
    if not path.is_file():
        known = ", ".join(scenario_names())
        raise BenchError(f"no scenario {name!r}; there are: {known}")
    return _read(path, Scenario)


def read_workloads() -> Workloads:
    """Read what all scenarios have in common."""
    return _read(SCENARIOS / f"{_WORKLOADS}.toml", Workloads)


def _read(path: Path, kind: type):
    try:
        document = tomllib.loads(path.read_text(encoding="utf-8"))
        return msgspec.convert(document, kind)
    except (tomllib.TOMLDecodeError, msgspec.ValidationError) as error:
        raise BenchError(f"{path.name}: {error}") from error
