"""Runs one trace against one policy's cluster and gathers what happened.

Callers are open-loop: each call is sent at its time, however the ones before
it fare.
"""

from __future__ import annotations

import asyncio
import time
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

import psutil

from bench.caller import Caller, CallRecord
from bench.cluster import Cluster
from bench.engines import scale_deployment

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from bench.arrivals import Arrival
    from bench.scenario import Fault, Scenario, Workloads

_PATIENCE_MS = 1000
_SETTLE_S = 0.5
_ALL_ENGINES = "*"


@dataclass(frozen=True, slots=True)
class Call:
    """One request of the trace and what its caller got.

    Attributes:
        arrival: What was asked.
        record: What came back.
        lag_ms: How much later than planned it was sent.
    """

    arrival: Arrival
    record: CallRecord
    lag_ms: float


@dataclass(slots=True)
class PolicyRun:
    """All that is known of one policy's run.

    Attributes:
        policy: Name of the policy.
        calls: One for each arrival, in order.
        runs: What each engine received, by endpoint.
        prefilled_tokens: Prompt tokens that all engines computed.
        cpu: Share of a core that each process used, by name.
        started_at_ms: Unix time of the start.
    """

    policy: str
    calls: list[Call] = field(default_factory=list)
    runs: dict[str, list[dict[str, Any]]] = field(default_factory=dict)
    prefilled_tokens: int = 0
    cpu: dict[str, float] = field(default_factory=dict)
    started_at_ms: float = 0.0


async def start_cluster(
    policy: str, workloads: Workloads, vms_per_data_centre: int
) -> Cluster:
    """Start the workloads' deployment with slowed-down engines."""
    return await Cluster.start(
        workloads.deployment,
        vms_per_data_centre=vms_per_data_centre,
        faults=False,
        policy=policy,
        edit=lambda deployment: scale_deployment(deployment, workloads),
        extra_flags=("--log-level", "warning"),
    )


async def run_policy(
    cluster: Cluster,
    policy: str,
    scenario: Scenario,
    arrivals: Sequence[Arrival],
    prompts: Sequence[str],
    on_sent: Callable[[], None] = lambda: None,
) -> PolicyRun:
    """Send a trace to a cluster and wait for the last answer.

    Args:
        cluster: A fresh cluster.
        policy: Its policy, for the record.
        scenario: Faults and their times.
        arrivals: The trace.
        prompts: The arrivals' prompts.
        on_sent: Called for each arrival as it is sent.
    """
    await _set_faults(cluster, [fault for fault in scenario.faults if fault.at_s < 0])
    result = PolicyRun(policy)
    meter = CpuMeter(cluster)
    result.started_at_ms = time.time() * 1000.0
    breaking = asyncio.create_task(_break_later(cluster, scenario))
    try:
        async with Caller() as caller:
            result.calls = await _send_all(cluster, caller, arrivals, prompts, on_sent)
    finally:
        breaking.cancel()
    result.cpu = meter.shares()
    await asyncio.sleep(_SETTLE_S)
    await _collect(cluster, result)
    return result


class CpuMeter:
    """Measures the share of a core that each process of a cluster uses.

    Args:
        cluster: Cluster with all processes started.
    """

    def __init__(self, cluster: Cluster) -> None:
        self._processes = {
            process.name: psutil.Process(process.pid)
            for process in cluster.processes
            if process.alive
        }
        self._before = self._read()
        self._started = time.monotonic()

    def shares(self) -> dict[str, float]:
        """Return the shares since the meter was made."""
        elapsed_s = max(1e-6, time.monotonic() - self._started)
        return {
            name: (used - self._before[name]) / elapsed_s
            for name, used in self._read().items()
            if name in self._before
        }

    def _read(self) -> dict[str, float]:
        found = {}
        for name, process in self._processes.items():
            try:
                times = process.cpu_times()
            except psutil.Error:
                continue
            found[name] = times.user + times.system
        return found


async def _send_all(
    cluster: Cluster,
    caller: Caller,
    arrivals: Sequence[Arrival],
    prompts: Sequence[str],
    on_sent: Callable[[], None],
) -> list[Call]:
    started = time.monotonic()
    tasks = []
    for arrival, prompt in zip(arrivals, prompts, strict=True):
        due = started + arrival.at_s
        await asyncio.sleep(max(0.0, due - time.monotonic()))
        lag_ms = (time.monotonic() - due) * 1000.0
        call = _send_one(cluster, caller, arrival, prompt, lag_ms)
        tasks.append(asyncio.create_task(call))
        on_sent()
    return await asyncio.gather(*tasks)


async def _send_one(
    cluster: Cluster, caller: Caller, arrival: Arrival, prompt: str, lag_ms: float
) -> Call:
    vm = cluster.vms[arrival.gateway % len(cluster.vms)]
    record = await caller.send(
        vm.url,
        cluster.organisation_key(arrival.organisation),
        service=arrival.service,
        work=arrival.work,
        prompt=prompt,
        output_tokens=arrival.answer_tokens,
        max_tokens=arrival.most_tokens,
        deadline_ms=arrival.deadline_ms,
        timeout_ms=arrival.deadline_ms + _PATIENCE_MS,
    )
    return Call(arrival, record, lag_ms)


async def _break_later(cluster: Cluster, scenario: Scenario) -> None:
    started = time.monotonic()
    for fault in sorted(scenario.faults, key=lambda fault: fault.at_s):
        if fault.at_s < 0:
            continue
        await asyncio.sleep(max(0.0, started + fault.at_s - time.monotonic()))
        await _set_faults(cluster, [fault])


async def _set_faults(cluster: Cluster, faults: Sequence[Fault]) -> None:
    for fault in faults:
        for endpoint in cluster.endpoints:
            is_engine = endpoint.plan.kind == "engine"
            everywhere = fault.endpoint == _ALL_ENGINES and is_engine
            if everywhere or fault.endpoint == endpoint.endpoint_id:
                await endpoint.control(**fault.control)


async def _collect(cluster: Cluster, result: PolicyRun) -> None:
    for endpoint in cluster.endpoints:
        if endpoint.plan.kind != "engine":
            continue
        result.runs[endpoint.endpoint_id] = await endpoint.runs()
        counters = await endpoint.counters()
        result.prefilled_tokens += counters["prefilled_tokens"]
