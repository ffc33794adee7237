"""Steps of the proof that drafts, tags and filings run at most once."""

from __future__ import annotations

import asyncio

from behave import given, then, when

from bench.caller import answer_tag
from tests.faults import until
from tests.proofs_world import PATIENCE_S, Proof

_POOL = "pomelo-pool"
_PORTAL = "filing-portal"
_ORGANISATION = "self-help-evening"
_TOKENS = 400
_SLOW_SERVICE = 100.0


@given("a cluster of Cedarline under proof")
def step_cluster(context):
    context.proof = context.run(Proof.start("cedarline"))
    context.add_cleanup(lambda: context.run(context.proof.stop()))


def _send(proof, vm, work, name, key):
    options = {"work": work, "who": _ORGANISATION, "idempotency_key": key}
    if work == "filing":
        call = proof.submit(vm, name, service=_PORTAL, **options)
    else:
        call = proof.ask(vm, name, service=_POOL, tokens=_TOKENS, **options)
    return asyncio.create_task(call)


@when("drafts, tags and filings are sent to a gateway with and without keys")
def step_send(context):
    async def send(proof):
        context.victim = proof.cluster.vms[0]
        for portal in proof.cluster.endpoints_of(_PORTAL):
            await portal.control(slowdown=_SLOW_SERVICE)
        context.work = {
            proof.name(work): work for work in ("claim-narrative", "tag", "filing")
        }
        context.calls = [
            _send(proof, context.victim, work, name, name)
            for name, work in context.work.items()
        ]
        bare = [(proof.name("bare"), work) for work in context.work.values()]
        context.calls += [
            _send(proof, context.victim, work, name, "") for name, work in bare
        ]
        for name, work in [*context.work.items(), *bare]:
            if work != "filing":
                await proof.until_streaming(answer_tag(name))
        await until(lambda: _filings(proof, 2), timeout_s=PATIENCE_S)

    context.run(send(context.proof))


async def _filings(proof, count):
    found = [await item.runs() for item in proof.cluster.endpoints_of(_PORTAL)]
    return sum(map(len, found)) >= count


@when("that gateway is killed while they run and the table is down")
def step_kill(context):
    async def kill(proof):
        await proof.cluster.platform.control(outage=True)
        context.victim.kill()
        await asyncio.gather(*context.calls)

    context.run(kill(context.proof))


async def _repeat(context):
    proof = context.proof
    tasks = [
        _send(proof, vm, work, name, name)
        for name, work in context.work.items()
        for vm in proof.cluster.vms[1:]
    ]
    return await asyncio.gather(*tasks)


@when("the drafts, tags and filings are repeated while the table is down")
def step_repeat_down(context):
    context.repeats = context.run(_repeat(context))


@then("the repeats while the table is down were refused")
def step_refused(context):
    for record in context.repeats:
        assert record.reason == "platform_unavailable", record.brief()
        assert record.retry_after_ms > 0, record.brief()


@when("the table of Cedarline is back and all of them are repeated")
def step_repeat_back(context):
    async def back(proof):
        await proof.cluster.platform.control(outage=False)
        context.answers = []

        async def all_heard():
            context.answers = await _repeat(context)
            reasons = {record.reason for record in context.answers}
            return "platform_unavailable" not in reasons

        await until(all_heard, timeout_s=PATIENCE_S)

    context.run(back(context.proof))


@then("no draft, tag or filing that ran is said to have not run")
def step_not_denied(context):
    for record in context.answers:
        assert record.outcome != "not_run", record.brief()
        assert record.outcome or record.whole, record.brief()
