"""Steps of the proof that a leaving endpoint gets no new work."""

from __future__ import annotations

import asyncio
import itertools
import time

import aiohttp
from behave import given, then, when

from bench.balancer import CallLoop
from bench.caller import Caller
from bench.cluster import Cluster
from tests.faults import until

_MODEL = "modelo-bitacora"
_ORGANISATION = "puerto-tampico"
_TEAM = "inspeccion"
_TOKENS = 10
_CALLERS = 4
_SLOTS = 2
_BURST = 12
_PROMISE_MS = 3000
_WATCH_MS = 1500


@given("a leaving proof with calls at every VM")
def step_start(context):
    context.run(_start(context))
    context.add_cleanup(lambda: context.run(_stop(context)))


def _keep_engines_small(deployment):
    """Give each engine few slots, so that all of them are needed."""
    for branch in deployment.branches.values():
        for endpoint in branch.get("endpoints") or ():
            if endpoint["service"] == _MODEL:
                endpoint["slots"] = _SLOTS


async def _start(context):
    context.cluster = await Cluster.start(
        "comision", vms_per_data_centre=2, edit=_keep_engines_small
    )
    await context.cluster.platform.control(list_lag_ms=0)
    context.key = context.cluster.organisation_key(_ORGANISATION)
    context.caller = Caller()
    context.numbers = itertools.count()
    context.loops = {
        vm.vm_id: CallLoop(lambda vm=vm: _ask(context, vm), _CALLERS)
        for vm in context.cluster.vms
    }

    async def all_served():
        found = await _arrivals(context)
        return all(len(times) > 1 for times in found.values())

    await until(all_served, timeout_s=30)


async def _stop(context):
    for loop in context.loops.values():
        await loop.close()
    await context.caller.close()
    await context.cluster.stop()


def _ask(context, vm):
    return context.caller.send(
        vm.url,
        context.key,
        service=_MODEL,
        work="species-question",
        prompt=f"leaving proof {next(context.numbers)}",
        output_tokens=_TOKENS,
    )


async def _arrivals(context):
    """Return the Unix times at which each engine received its calls."""
    engines = context.cluster.endpoints_of(_MODEL)
    found = await asyncio.gather(*(engine.runs() for engine in engines))
    return {
        engine.endpoint_id: [run["arrived_at_ms"] for run in runs]
        for engine, runs in zip(engines, found, strict=True)
    }


@when(
    "at one moment of the leaving proof its {role} freezes "
    'and "{data_centre}" is cut off'
)
def step_faults(context, role, data_centre):
    context.run(_break(context, role, data_centre))


async def _break(context, role, data_centre):
    cluster = context.cluster
    others = [each for each in cluster.data_centres if each != data_centre]
    context.rest = [vm for vm in cluster.vms if vm.data_centre != data_centre]
    status = await context.rest[0].status()
    scheduler = cluster.vm(status["roles"]["services"][_MODEL])
    gateways = [vm for vm in context.rest if vm is not scheduler]
    is_scheduler = role == "scheduler" and scheduler in context.rest
    context.frozen = scheduler if is_scheduler else gateways[0]
    # Calls that it has in hand as it freezes are those it may send on waking.
    context.burst = [
        asyncio.create_task(_ask(context, context.frozen)) for _ in range(_BURST)
    ]
    await asyncio.gather(*(cluster.cut(data_centre, other) for other in others))
    context.frozen.freeze()


@when(
    "at that moment {source} of the leaving proof says "
    'that "{one}" and "{other}" are leaving'
)
def step_says(context, source, one, other):
    context.leaving = (one, other)
    context.said_at_ms = time.time() * 1000.0
    context.run(_SOURCES[source](context))


async def _operator_says(context):
    url = next(vm.url for vm in context.rest if vm is not context.frozen)
    key = context.cluster.operator_key(_TEAM)
    headers = {"Authorization": f"Bearer {key}"}
    async with aiohttp.ClientSession(headers=headers) as session:
        for endpoint_id in context.leaving:
            path = f"{url}/admin/endpoints/{endpoint_id}/leaving"
            async with session.post(path) as response:
                assert response.status == 202, await response.text()


async def _endpoint_says(context):
    for endpoint_id in context.leaving:
        await context.cluster.endpoint(endpoint_id).control(leaving=True)


async def _list_says(context):
    await context.cluster.list_vms(leaving=context.leaving)


_SOURCES = {
    "the operator": _operator_says,
    "the endpoint": _endpoint_says,
    "the list": _list_says,
}


@then("no call of the leaving proof arrives there later than {seconds:d} s afterwards")
def step_none(context, seconds):
    assert seconds * 1000 == _PROMISE_MS
    context.run(_check_none(context))


async def _check_none(context):
    watched_ms = context.said_at_ms + _PROMISE_MS + _WATCH_MS
    await until(lambda: time.time() * 1000.0 >= watched_ms, timeout_s=10)
    found = await _arrivals(context)
    for endpoint_id in context.leaving:
        delays = [at_ms - context.said_at_ms for at_ms in found[endpoint_id]]
        print(f"leaving proof: {endpoint_id} last {max(delays):.0f} ms after the word")
        late = [round(each) for each in delays if each > _PROMISE_MS]
        assert not late, f"{endpoint_id} got {len(late)} calls, {late[:5]} ms later"


@then("the other endpoints of the leaving proof go on")
def step_others(context):
    found = context.run(_arrivals(context))
    late = [
        each
        for endpoint_id, times in found.items()
        for each in times
        if endpoint_id not in context.leaving
        and each > context.said_at_ms + _PROMISE_MS
    ]
    assert late


@when("the frozen VM of the leaving proof wakes and has ended its calls")
def step_wake(context):
    async def wake():
        context.frozen.thaw()
        await asyncio.wait(context.burst, timeout=30)
        assert all(task.done() for task in context.burst)
        loop = context.loops[context.frozen.vm_id]
        ended = len(loop.records)
        await until(lambda: len(loop.records) > ended + _CALLERS, timeout_s=30)

    context.run(wake())
