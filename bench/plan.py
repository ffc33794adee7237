"""A scenario made ready to run: deployment, true speeds and trace.

The bench and its workers make the same plan from the same few arguments.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from bench.arrivals import make_arrivals
from bench.deployment import read_deployment
from bench.engines import engine_speeds, scale_deployment
from bench.scenario import read_scenario, read_workloads

if TYPE_CHECKING:
    from bench.arrivals import Arrival
    from bench.deployment import Deployment
    from bench.engines import EngineSpeed
    from bench.scenario import Scenario, Workloads


@dataclass(frozen=True, slots=True, kw_only=True)
class Plan:
    """All that a run needs to know.

    Attributes:
        name: Name or path of the scenario.
        seed: Seed of the trace.
        seconds: Time in which requests arrive.
        scenario: The scenario, shortened to that time.
        workloads: What all scenarios have in common.
        deployment: The deployment with slowed-down engines.
        engines: True speeds of the engines.
        arrivals: The trace.
    """

    name: str
    seed: int
    seconds: float
    scenario: Scenario
    workloads: Workloads
    deployment: Deployment
    engines: list[EngineSpeed]
    arrivals: list[Arrival]


def make_plan(name: str, seed: int, *, seconds: float = 0.0, rounds: int = 1) -> Plan:
    """Make the plan of a scenario.

    Args:
        name: Name or path of the scenario.
        seed: Seed of the trace.
        seconds: Time in which requests arrive, 0 for the scenario's own.
        rounds: Runs that have to fit into the scenario's own time.
    """
    workloads = read_workloads()
    scenario = read_scenario(name)
    seconds = seconds or scenario.seconds / rounds
    if seconds != scenario.seconds:
        scenario = scenario.shortened(seconds / scenario.seconds)
    deployment = read_deployment(workloads.deployment)
    scale_deployment(deployment, workloads)
    engines = engine_speeds(deployment, workloads.shapes[0].service)
    return Plan(
        name=name,
        seed=seed,
        seconds=seconds,
        scenario=scenario,
        workloads=workloads,
        deployment=deployment,
        engines=engines,
        arrivals=make_arrivals(scenario, workloads, engines, seed),
    )
