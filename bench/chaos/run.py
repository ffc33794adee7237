"""One run: a cluster, its load and faults, healing, and the evidence."""

from __future__ import annotations

import asyncio
import time
from contextlib import suppress
from dataclasses import dataclass
from typing import TYPE_CHECKING

from bench.chaos import checks
from bench.chaos.actors import Actors
from bench.chaos.balancer import Balancer
from bench.chaos.load import Load
from bench.chaos.operators import read_versions
from bench.chaos.plan import draw_calls
from bench.chaos.records import EndpointRun, Evidence
from bench.chaos.schedule import Targets, draw_schedule
from bench.chaos.watch import VersionWatch
from bench.cluster import Cluster
from bench.deployment import read_deployment
from bench.engines import EngineSpeed

if TYPE_CHECKING:
    from collections.abc import Sequence

    from bench.chaos.checks import Breach
    from bench.chaos.plan import PlannedCall
    from bench.chaos.schedule import Fault
    from bench.deployment import Deployment

DEPLOYMENTS = ("cedarline", "comision")
VMS_PER_DATA_CENTRE = 2
SETTINGS_MS = 9000.0
_OPEN_WORK_S = 75.0
_LAST_READING_S = 5.0
_SLOTS = {"engine": 2}
_LIST_LAG_MS = 500.0
_PLATFORM_BRANCH = "platform"
_PLAIN_KIND = "plain"


@dataclass(frozen=True, slots=True)
class Plan:
    """Everything that is drawn before a run.

    Attributes:
        seed: What it was drawn from.
        seconds: Length of the load.
        deployment: Declarations in use.
        faults: Schedule of faults.
        calls: All calls.
    """

    seed: int
    seconds: float
    deployment: Deployment
    faults: Sequence[Fault]
    calls: Sequence[PlannedCall]


def draw_plan(seed: int, seconds: float, rate: float = 1.0) -> Plan:
    """Draw faults and calls; seeds take the deployments in turn.

    Args:
        seed: The run's seed.
        seconds: Length of the load.
        rate: Factor on the number of calls a second; faults stay the same.
    """
    deployment = read_deployment(DEPLOYMENTS[seed % len(DEPLOYMENTS)])
    targets = _targets(deployment)
    return Plan(
        seed,
        seconds,
        deployment,
        draw_schedule(seed, seconds, targets),
        draw_calls(seed, seconds, deployment, len(targets.vms), rate),
    )


async def run_plan(plan: Plan, programs: Sequence[Sequence[str]] = ()) -> Evidence:
    """Run a plan on a new cluster and gather the evidence.

    Args:
        plan: What was drawn.
        programs: Programs that the VMs run in turn; this checkout's where empty.
    """
    cluster = await Cluster.start(
        plan.deployment.name,
        vms_per_data_centre=VMS_PER_DATA_CENTRE,
        edit=_shrink_engines,
        programs=programs,
    )
    print(f"logs: {cluster.folder}")
    async with cluster:
        return await _Run(cluster, plan).run()


def check_all(plan: Plan, evidence: Evidence) -> list[Breach]:
    """Check all promises."""
    _shrink_engines(plan.deployment)
    return [
        *checks.check_runs(evidence),
        *checks.check_not_run(evidence),
        *checks.check_answers(evidence),
        *checks.check_versions(evidence),
        *checks.check_jobs(evidence),
        *checks.check_tiers(evidence, _engine_speeds(plan.deployment)),
        *checks.check_leaving(evidence),
        *checks.check_settings(evidence),
        *checks.check_stops(evidence),
    ]


class _Run:
    def __init__(self, cluster: Cluster, plan: Plan) -> None:
        self._cluster = cluster
        self._plan = plan
        self._evidence = Evidence(list_lag_ms=_LIST_LAG_MS)
        self._evidence.plain_endpoints = {
            item.endpoint_id
            for item in cluster.endpoints
            if item.plan.kind == _PLAIN_KIND
        }
        self._balancer = Balancer(cluster.vms)
        self._load = Load(cluster, self._balancer, self._evidence)
        self._actors = Actors(cluster, self._balancer, self._evidence)
        self._watch = VersionWatch(cluster.vms, self._evidence)

    async def run(self) -> Evidence:
        watching = asyncio.create_task(self._watch.run())
        try:
            callers = await self._make_trouble()
            await self._end_work(callers)
        finally:
            watching.cancel()
            await self._load.close()
        self._evidence.runs = await self._read_runs()
        return self._evidence

    async def _make_trouble(self) -> list[asyncio.Task[None]]:
        writes_before = (await self._cluster.platform.counters())["writes"]
        started_at = asyncio.get_running_loop().time()
        self._evidence.began_at_ms = time.time() * 1000.0
        callers = self._load.start(self._plan.calls, started_at)
        acting = asyncio.create_task(self._actors.run(self._plan.faults, started_at))
        await asyncio.sleep(self._plan.seconds)
        writes = (await self._cluster.platform.counters())["writes"]
        self._evidence.table_writes = writes - writes_before
        await self._actors.heal()
        await acting
        return callers

    async def _end_work(self, callers: list[asyncio.Task[None]]) -> None:
        await self._check_settings()
        _, open_callers = await asyncio.wait(callers, timeout=_OPEN_WORK_S)
        self._load.give_up()
        if open_callers:
            await asyncio.wait(open_callers, timeout=_LAST_READING_S)

    async def _check_settings(self) -> None:
        branches = [
            name for name in self._plan.deployment.branches if name != _PLATFORM_BRANCH
        ]
        key = self._cluster.operator_key(_PLATFORM_BRANCH)
        versions, history = {}, {}
        with suppress(OSError, TimeoutError):
            url = self._cluster.vms[0].url
            versions, history = await read_versions(url, key, branches)
        self._evidence.final_versions = versions
        self._evidence.final_history = history
        until_ms = self._evidence.healed_at_ms + SETTINGS_MS
        await self._watch.await_versions(versions, until_ms)

    async def _read_runs(self) -> list[EndpointRun]:
        runs = []
        for endpoint in self._cluster.endpoints:
            for item in await endpoint.runs():
                mark = item.get("tag") or item["path"].strip("/")
                runs.append(
                    EndpointRun(
                        endpoint.endpoint_id,
                        endpoint.plan.data_centre,
                        item["request_id"],
                        mark,
                        item["arrived_at_ms"],
                        item.get("state", ""),
                    )
                )
        return runs


def _targets(deployment: Deployment) -> Targets:
    endpoints: dict[str, list[str]] = {}
    for plan in deployment.endpoints():
        endpoints.setdefault(plan.service, []).append(plan.endpoint_id)
    data_centres = deployment.data_centres()
    return Targets(
        vms=[
            f"{name}-vm{number}"
            for name in data_centres
            for number in range(1, VMS_PER_DATA_CENTRE + 1)
        ],
        data_centres=data_centres,
        services=list(endpoints),
        endpoints=endpoints,
        branches=[name for name in deployment.branches if name != _PLATFORM_BRANCH],
    )


def _shrink_engines(deployment: Deployment) -> None:
    """Give engines few slots, so that the burst makes them wait."""
    kinds = {name: item["kind"] for name, item in deployment.services().items()}
    for branch in deployment.branches.values():
        for item in branch.get("endpoints") or ():
            item["slots"] = _SLOTS.get(kinds[item["service"]], item["slots"])


def _engine_speeds(deployment: Deployment) -> list[EngineSpeed]:
    return [
        EngineSpeed(
            plan.endpoint_id,
            plan.declared["slots"],
            plan.declared["prefill_tokens_per_s"],
            plan.declared["decode_tokens_per_s"],
        )
        for plan in deployment.endpoints()
        if plan.kind == "engine"
    ]
