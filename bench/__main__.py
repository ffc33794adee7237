"""``python -m bench``: one scenario over several policies in one run.

Each policy gets a cluster and a caller process of its own and the same trace;
where the machine has the cores, all of them run side by side.
"""

from __future__ import annotations

import argparse
import asyncio
import os
import signal
import sys
import time
from dataclasses import dataclass
from pathlib import Path
from typing import TYPE_CHECKING

import uvloop
from tqdm import tqdm

from bench.bound import Slowdown, most_useful_answers, of_mean_sizes
from bench.measure import Meter, tier_of, tier_ranks
from bench.plan import Plan, make_plan
from bench.plot import draw
from bench.processes import BenchError
from bench.report import (
    Experiment,
    cpu_line,
    detail_lines,
    plain_lines,
    table,
    total_line,
    write_results,
)
from bench.scenario import scenario_names
from bench.workers import run_workers

if TYPE_CHECKING:
    from collections.abc import Sequence

    from bench.arrivals import Arrival
    from bench.experiment import PolicyRun

POLICIES = (
    "pomelolane",
    "single_queue",
    "gateway_queues",
    "least_reported",
    "round_robin",
)
_SMOKE_SECONDS = 4.0
_CORES_PER_POLICY = 1.5


@dataclass(frozen=True, slots=True, kw_only=True)
class Options:
    """Checked command line.

    Attributes:
        scenarios: Names or paths.
        policies: Policies to compare.
        seed: Seed of the traces.
        vms: VMs in each data centre.
        out: Folder for results.
        smoke: Whether a few seconds are enough.
        side_by_side: Clusters that run at one time.
    """

    scenarios: list[str]
    policies: list[str]
    seed: int
    vms: int
    out: Path
    smoke: bool
    side_by_side: int


@dataclass(frozen=True, slots=True)
class Bounds:
    """Shares of the requests that a planner of the whole trace can answer.

    Attributes:
        all: No policy exceeds it.
        top: The same for the highest tier alone.
        of_mean_sizes: For a planner that can't tell a work's requests apart.
    """

    all: float
    top: float
    of_mean_sizes: float


def read_options(arguments: Sequence[str] | None = None) -> Options:
    """Read the command line."""
    parser = argparse.ArgumentParser("python -m bench", description=__doc__)
    parser.add_argument(
        "--scenario",
        default="all",
        help="comma-separated names or .toml files; all: "
        + ", ".join(scenario_names()),
    )
    parser.add_argument("--policies", default=",".join(POLICIES))
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--vms", type=int, default=2, help="VMs in each data centre")
    parser.add_argument("--out", type=Path, default=Path("out"))
    parser.add_argument("--smoke", action="store_true", help="a few seconds only")
    parser.add_argument(
        "--side-by-side", type=int, default=0, help="clusters at one time; 0: by cores"
    )
    given = parser.parse_args(arguments)
    policies = [name for name in given.policies.split(",") if name]
    scenarios = scenario_names()
    if given.scenario != "all":
        scenarios = given.scenario.split(",")
    return Options(
        scenarios=scenarios,
        policies=policies,
        seed=given.seed,
        vms=given.vms,
        out=given.out,
        smoke=given.smoke,
        side_by_side=given.side_by_side or _by_cores(len(policies)),
    )


async def run_scenario(name: str, options: Options) -> Experiment:
    """Run one scenario over all policies and measure it."""
    plan = _plan_of(name, options)
    runs = await _run_policies(plan, options)
    bounds = _bounds(plan)
    meter = Meter(plan.deployment, plan.engines, bounds.all, plan.scenario.fair_work)
    return Experiment(
        scenario=plan.scenario.name,
        summary=plan.scenario.summary,
        seed=options.seed,
        seconds=plan.scenario.seconds,
        requests=len(plan.arrivals),
        bound=bounds.all,
        top_bound=bounds.top,
        mean_bound=bounds.of_mean_sizes,
        policies=[meter.figures(run) for run in runs],
    )


def _by_cores(policies: int) -> int:
    cores = len(os.sched_getaffinity(0))
    return max(1, min(policies, int(cores / _CORES_PER_POLICY)))


def _plan_of(name: str, options: Options) -> Plan:
    rounds = -(-len(options.policies) // options.side_by_side)
    seconds = _SMOKE_SECONDS if options.smoke else 0.0
    return make_plan(name, options.seed, seconds=seconds, rounds=rounds)


async def _run_policies(plan: Plan, options: Options) -> list[PolicyRun]:
    runs: list[PolicyRun] = []
    total = len(plan.arrivals) * len(options.policies)
    with tqdm(total=total, desc=plan.scenario.name, unit="req", leave=False) as bar:
        for first in range(0, len(options.policies), options.side_by_side):
            policies = options.policies[first : first + options.side_by_side]
            runs += await run_workers(plan, policies, options.vms, bar.update)
    return runs


def _bounds(plan: Plan) -> Bounds:
    slowdowns = [
        Slowdown(fault.at_s, fault.endpoint, fault.control["slowdown"])
        for fault in plan.scenario.faults
        if "slowdown" in fault.control
    ]
    top = next(iter(tier_ranks(plan.deployment)))

    def share(arrivals: Sequence[Arrival]) -> float:
        useful = most_useful_answers(arrivals, plan.engines, slowdowns)
        return useful / max(1, len(arrivals))

    return Bounds(
        all=share(plan.arrivals),
        top=share(
            [item for item in plan.arrivals if tier_of(plan.deployment, item) == top]
        ),
        of_mean_sizes=share(of_mean_sizes(plan.arrivals)),
    )


def _print_results(experiment: Experiment, options: Options) -> None:
    paths = write_results(experiment, options.out)
    paths.append(draw(experiment, options.out))
    print(table(experiment))
    for line in detail_lines(experiment):
        print(line)
    print(cpu_line(experiment))
    print("written: " + " ".join(str(path) for path in paths))


async def _main(options: Options) -> list[Experiment]:
    task = asyncio.current_task()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, task.cancel)
    experiments = []
    for name in options.scenarios:
        started = time.monotonic()
        experiment = await run_scenario(name, options)
        experiments.append(experiment)
        _print_results(experiment, options)
        print(f"took {time.monotonic() - started:.0f} s", flush=True)
    return experiments


def main() -> int:
    """Run the command line's scenarios; plain lines come last."""
    options = read_options()
    try:
        experiments = uvloop.run(_main(options))
    except BenchError as error:
        print(f"bench: {error}", file=sys.stderr)
        return 1
    except (KeyboardInterrupt, asyncio.CancelledError):
        print("bench: interrupted", file=sys.stderr)
        return 130
    print(total_line(experiments))
    for experiment in experiments:
        for line in plain_lines(experiment):
            print(line)
    return 0


if __name__ == "__main__":
    sys.exit(main())
