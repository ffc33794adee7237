"""Steps for jobs on a cluster of real processes."""

from __future__ import annotations

import base64

import aiohttp
import msgspec
from behave import given, then, when

from bench.caller import Caller
from bench.cluster import Cluster
from tests.faults import until

_DEPLOYMENT = "comision"
_SERVICE = "modelo-bitacora"
_WORK = "trip-summary"
_ORGANISATION = "puerto-tampico"
_PROMPT = "lances del viaje " * 60
_TOKENS = 150
_END_S = 60


@given("a job cluster")
def step_cluster(context):
    context.cluster = context.run(Cluster.start(_DEPLOYMENT, vms_per_data_centre=1))
    context.add_cleanup(lambda: context.run(context.cluster.stop()))
    context.caller = context.run(_make_caller())
    context.add_cleanup(lambda: context.run(context.caller.close()))
    context.key = context.cluster.organisation_key(_ORGANISATION)


async def _make_caller():
    return Caller()


async def _row(context):
    rows = await context.cluster.platform.rows("jobs/open")
    return msgspec.json.decode(base64.b64decode(rows[0]["value"])) if rows else {}


async def _runs(context):
    found = []
    for endpoint in context.cluster.endpoints_of(_SERVICE):
        found += await endpoint.runs()
    return found


@when("a trip summary is handed in and its stream runs")
def step_hand_in(context):
    async def hand_in():
        accepted = await context.caller.send(
            context.cluster.vms[0].url,
            context.key,
            service=_SERVICE,
            work=_WORK,
            prompt=_PROMPT,
            output_tokens=_TOKENS,
            respond_async=True,
        )
        assert accepted.status == 202, accepted
        context.accepted = accepted
        await until(lambda: _is_streaming(context), timeout_s=20)
        row = await _row(context)
        context.job_vm = context.cluster.vm(row["runner_vm"])
        others = [vm for vm in context.cluster.vms if vm is not context.job_vm]
        context.other_vm = others[0]

    context.run(hand_in())


async def _is_streaming(context):
    return any(run["generated"] > 2 for run in await _runs(context))


async def _is_generated(context):
    return all(run["state"] != "running" for run in await _runs(context))


@when("the job's VM is {fault}")
def step_fault(context, fault):
    if fault == "frozen":
        context.job_vm.freeze()
    elif fault == "killed":
        context.job_vm.kill()
    elif fault == "asked to stop":
        context.job_vm.terminate()
    elif fault == "killed while the platform is away":
        context.run(_kill_in_outage(context))
    else:
        context.run(_bring_back(context))


async def _kill_in_outage(context):
    await context.cluster.platform.control(outage=True)
    context.job_vm.kill()
    await until(lambda: _is_generated(context), timeout_s=_END_S)
    await context.cluster.platform.control(outage=False)


async def _bring_back(context):
    if context.job_vm.alive:
        context.job_vm.thaw()
    else:
        await context.job_vm.restart()
    await context.job_vm.wait_ready()


@when("the job's platform is away until the stream has ended")
def step_outage(context):
    async def outage():
        await context.cluster.platform.control(outage=True)
        await until(lambda: _is_generated(context), timeout_s=_END_S)
        await context.cluster.platform.control(outage=False)

    context.run(outage())


@then("another VM ends the job with its whole answer")
def step_ends(context):
    async def check():
        await until(lambda: _is_done(context), timeout_s=_END_S)
        context.answer = await _answer(context)
        expected = "".join(f"{context.accepted.tag}-{i} " for i in range(_TOKENS))
        content = msgspec.json.decode(context.answer)["choices"][0]["message"]
        assert content["content"] == expected, context.answer

    context.run(check())


async def _is_done(context):
    state = await context.caller.job_state(
        context.other_vm.url, context.key, context.accepted.location
    )
    assert state not in ("failed", "unknown", "cancelled"), state
    return state == "done"


async def _answer(context):
    url = f"{context.other_vm.url}{context.accepted.location}/answer"
    headers = {"Authorization": f"Bearer {context.key}"}
    async with (
        aiohttp.ClientSession(headers=headers) as session,
        session.get(url) as response,
    ):
        assert response.status == 200, await response.text()
        return await response.read()


@then("the job was dispatched once")
def step_once(context):
    runs = context.run(_runs(context))
    assert len(runs) == 1, runs


@then("the job's answer is still the same")
def step_same(context):
    assert context.run(_answer(context)) == context.answer


@then("the job's VM ends with exit code {code:d}")
def step_exit(context, code):
    assert context.run(context.job_vm.wait_exit(_END_S)) == code
