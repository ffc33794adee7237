"""Steps of the proof of the tier order: a burst, and faults of the scheduler."""

import asyncio
import time
from collections import Counter
from pathlib import Path

import aiohttp
from behave import given, then, when

from bench.cluster import Cluster
from bench.engines import scale_deployment
from bench.experiment import run_policy
from bench.inversions import (
    OVERLOAD_REASONS,
    PLACE_REASONS,
    count_inversions,
    count_lost_places,
)
from bench.measure import find_dispatches, tier_of, tier_ranks
from bench.plan import make_plan

SERVICE = "modelo-bitacora"
BURST = Path(__file__).resolve().parent.parent / "proofs" / "burst.toml"
SEED = 1
FREEZE_S = 2.0
LOWEST = 2


class TiersProof:
    """A cluster under a burst."""

    def __init__(self, plan, cluster):
        self.plan = plan
        self.cluster = cluster
        self.ranks = tier_ranks(plan.deployment)
        self.befallen = []
        self.run = None

    def rank_of(self, arrival):
        """Return the rank of an arrival's tier."""
        return self.ranks[tier_of(self.plan.deployment, arrival)]

    async def scheduler(self):
        """Return the VM that most VMs follow for the service."""
        named = Counter()
        for vm in self.cluster.vms:
            try:
                status = await vm.status()
            except (aiohttp.ClientError, TimeoutError):
                continue
            named[status["roles"]["services"].get(SERVICE, "")] += 1
        return self.cluster.vm(named.most_common(1)[0][0])

    async def befall(self, faults):
        """Let something befall the scheduler at each of some times."""
        started = time.monotonic()
        for at_s, what in faults:
            await asyncio.sleep(max(0.0, started + at_s - time.monotonic()))
            vm = await self.scheduler()
            self.befallen.append((what, vm.vm_id))
            await FAULTS[what](vm)

    async def burst(self, faults):
        """Send the trace while faults befall the scheduler."""
        plan = self.plan
        prompts = [arrival.prompt() for arrival in plan.arrivals]
        befalling = asyncio.create_task(self.befall(faults))
        self.run = await run_policy(
            self.cluster, "pomelolane", plan.scenario, plan.arrivals, prompts
        )
        await befalling


async def kill(vm):
    """Kill a VM and start it again."""
    await vm.restart()


async def freeze(vm):
    """Freeze a VM for longer than it takes to be given up."""
    vm.freeze()
    await asyncio.sleep(FREEZE_S)
    vm.thaw()


async def terminate(vm):
    """Ask a VM to stop, so that it hands its role over."""
    vm.terminate()


FAULTS = {"killed": kill, "frozen": freeze, "terminated": terminate}


def _prepare(deployment, plan, places):
    scale_deployment(deployment, plan.workloads)
    deployment.services()[SERVICE]["queue_limit"] = places


@given(
    "a tiers proof on {number:d} VMs in each data centre with {places:d} waiting places"
)
def step_cluster(context, number, places):
    plan = make_plan(str(BURST), SEED)
    cluster = context.run(
        Cluster.start(
            plan.workloads.deployment,
            vms_per_data_centre=number,
            edit=lambda deployment: _prepare(deployment, plan, places),
            extra_flags=("--log-level", "warning"),
        )
    )
    context.add_cleanup(lambda: context.run(cluster.stop()))
    context.proof = TiersProof(plan, cluster)


@when("the tiers proof's burst arrives at all VMs while these befall the scheduler")
def step_burst(context):
    faults = [(float(row["at_s"]), row["what"]) for row in context.table]
    context.run(context.proof.burst(faults))
    print("befallen:", context.proof.befallen)


@then("the tiers proof has seen refusals of the lower tiers for want of a place")
def step_refusals(context):
    proof = context.proof
    ends = Counter(
        (call.arrival.work, call.record.outcome, call.record.reason)
        for call in proof.run.calls
    )
    for end, number in sorted(ends.items()):
        print(*end, number)
    refused = Counter(
        proof.rank_of(call.arrival)
        for call in proof.run.calls
        if call.record.reason in PLACE_REASONS
    )
    assert refused[LOWEST] > 0, ends


@then("no caller of the tiers proof was passed over by a lower tier")
def step_no_inversion(context):
    proof = context.proof
    calls, dispatches = proof.run.calls, find_dispatches(proof.run)
    lost = count_lost_places(calls, dispatches, proof.rank_of)
    late = OVERLOAD_REASONS - PLACE_REASONS
    inverted = count_inversions(
        calls, dispatches, proof.rank_of, proof.plan.engines, late
    )
    print(f"calls={len(calls)} lost_places={lost} inversions={inverted}")
    assert lost == inverted == 0, (lost, inverted)
