"""Steps of the proof that answers are own and whole."""

from __future__ import annotations

import asyncio

import aiohttp
from behave import given, then, when

from bench.caller import answer_tag, expected_text
from bench.interleave import GatewayKills, Interleaving, Manner, speed_up
from tests.proofs_world import (
    MODEL,
    ORGANISATION,
    REGISTER,
    STRANGER,
    Proof,
)

_SEED = 5
_CONCURRENCY = 80
_TOKENS = 160
_SUMMARY = "trip-summary"


def _start(context, **options):
    context.proof = context.run(Proof.start(**options))
    context.add_cleanup(lambda: context.run(context.proof.stop()))


@given("a cluster with fast engines under proof")
def step_fast_cluster(context):
    _start(context, edit=speed_up)


@when("{count:d} streams of all manners are interleaved while a gateway is killed")
def step_interleave(context, count):
    async def interleave(cluster):
        run = Interleaving(cluster, _SEED, _CONCURRENCY)
        killing = GatewayKills(cluster, count, kills=1)
        context.report = await run.run(count, killing.note_end)

    context.run(interleave(context.proof.cluster))
    print(context.report.line())


@then("no interleaved answer is foreign, run twice or falsely denied")
def step_no_broken(context):
    assert not context.report.broken, "\n".join(context.report.broken)


@then("whatever no fault touched was answered whole")
def step_served(context):
    """Judge calls that were not cut by the kill: those end with a typed word."""
    touched = ("holder_gone", "Error", "endpoint_broken", "not_ready")
    missing = [
        text
        for text in context.report.unserved
        if not any(word in text for word in touched)
    ]
    assert not missing, "\n".join(missing)


@then("streams were resumed, cancelled, late and run as jobs")
def step_manners(context):
    for manner in Manner:
        assert context.report.by_manner[manner], manner


# --- strangers


@when("an organisation's keyed check streams and its job runs")
def step_owner(context):
    async def begin(proof):
        context.vms = proof.cluster.vms
        context.prompt = proof.name("owner's check")
        context.check = asyncio.create_task(
            proof.ask(
                context.vms[0], context.prompt, tokens=_TOKENS, idempotency_key="key"
            )
        )
        context.job_prompt = proof.name("owner's trip")
        context.job = await proof.caller.send(
            context.vms[0].url,
            proof.cluster.organisation_key(ORGANISATION),
            service=MODEL,
            work=_SUMMARY,
            prompt=context.job_prompt,
            output_tokens=_TOKENS,
            idempotency_key="job key",
            respond_async=True,
        )
        assert context.job.status == 202, context.job.brief()
        await proof.until_streaming(answer_tag(context.prompt))
        await proof.until_streaming(answer_tag(context.job_prompt))

    context.run(begin(context.proof))


@when("a stranger repeats the key and body of the check on another VM")
def step_repeat(context):
    async def repeat(proof):
        # Not evidence: the same prompt is no second run where others ask it.
        context.foreign = await proof.caller.send(
            context.vms[3].url,
            proof.cluster.organisation_key(STRANGER),
            service=MODEL,
            work="entry-check",
            prompt=context.prompt,
            output_tokens=_TOKENS,
            idempotency_key="key",
        )
        context.own = await context.check

    context.run(repeat(context.proof))


@then("the stranger's check is a run of its own")
def step_own_run(context):
    runs = context.run(context.proof.runs_of(answer_tag(context.prompt)))
    assert context.own.whole, context.own.brief()
    assert context.foreign.whole, context.foreign.brief()
    ids = sorted(run.request_id for run in runs)
    assert ids == sorted([context.own.request_id, context.foreign.request_id]), ids


@when("the owner uses its key for another check")
def step_reuse(context):
    async def reuse(proof):
        prompt = proof.name("owner's other check")
        return await proof.ask(context.vms[4], prompt, idempotency_key="key")

    context.reused = context.run(reuse(context.proof))


@then("that check is refused as not run, because the key is used")
def step_key_used(context):
    found = (context.reused.outcome, context.reused.reason)
    assert found == ("not_run", "key_reused"), context.reused.brief()


async def _call(context, method, path, key, **options):
    headers = {"Authorization": f"Bearer {key}", **options.pop("headers", {})}
    url = context.vms[2].url + path
    async with (
        aiohttp.ClientSession() as session,
        session.request(method, url, headers=headers, **options) as response,
    ):
        return response.status, response.headers, await response.text()


@when("a stranger reads, reads the answer of and cancels the job")
def step_reach_job(context):
    async def reach(proof):
        key = proof.cluster.organisation_key(STRANGER)
        where = context.job.location
        context.refused = [
            await _call(context, "GET", where, key),
            await _call(context, "GET", f"{where}/answer", key),
            await _call(context, "DELETE", where, key),
        ]

    context.run(reach(context.proof))


@then("the stranger hears that there is no such job")
def step_no_job(context):
    for status, _, text in context.refused:
        assert status == 404, (status, text)
        assert context.job_prompt not in text, text


@then("the job of its owner ends whole")
def step_job_whole(context):
    async def end(proof):
        return await proof.caller.await_job(
            context.vms[1].url,
            proof.cluster.organisation_key(ORGANISATION),
            context.job,
            prompt=context.job_prompt,
            output_tokens=_TOKENS,
        )

    record = context.run(end(context.proof))
    assert record.whole, record.brief()


@when("a stranger repeats the job's key and body as a job")
def step_repeat_job(context):
    async def repeat(proof):
        context.foreign_job = await proof.caller.send(
            context.vms[2].url,
            proof.cluster.organisation_key(STRANGER),
            service=MODEL,
            work=_SUMMARY,
            prompt=context.job_prompt,
            output_tokens=_TOKENS,
            idempotency_key="job key",
            respond_async=True,
        )

    context.run(repeat(context.proof))


@then("the stranger's job is another one")
def step_other_job(context):
    assert context.foreign_job.status == 202, context.foreign_job.brief()
    assert context.foreign_job.location != context.job.location


@when("both submit a catch under the same key")
def step_submit(context):
    async def submit(proof):
        for who, vm in ((ORGANISATION, context.vms[0]), (STRANGER, context.vms[3])):
            record = await proof.submit(
                vm, proof.name("catch"), who=who, idempotency_key="catch key"
            )
            assert record.whole, record.brief()

    context.run(submit(context.proof))


@then("the service saw two keys")
def step_two_keys(context):
    """A service that knows keys must not answer one caller with another's run."""

    async def keys(proof):
        found = [await item.runs() for item in proof.cluster.endpoints_of(REGISTER)]
        return [run["key"] for runs in found for run in runs]

    seen = context.run(keys(context.proof))
    assert len(seen) == len(set(seen)) == 2, seen
    assert all(seen), seen


@when("a stranger sends the id of the running check")
def step_send_id(context):
    async def send(proof):
        prompt = proof.name("stranger's check")
        context.claimed_id = context.own.request_id
        body = {
            "model": MODEL,
            "messages": [{"role": "user", "content": prompt}],
            "max_tokens": 4,
            "x_output_tokens": 4,
        }
        context.answer = await _call(
            context,
            "POST",
            "/v1/chat/completions",
            proof.cluster.organisation_key(STRANGER),
            json=body,
            headers={"X-Request-Id": context.claimed_id, "X-Stream-Id": "x"},
        )
        context.expected = expected_text(prompt, 4)

    context.run(send(context.proof))


@then("the stranger's answer has an id of its own")
def step_own_id(context):
    status, headers, text = context.answer
    assert status == 200, text
    assert headers["x-request-id"] != context.claimed_id
    assert context.expected in text, text


@when("keys that are wrong, empty and of another kind are tried")
def step_wrong_keys(context):
    async def attempt(proof):
        keys = ("", "wrong", proof.cluster.operator_key("flota"), "caller-key-of-")
        where = context.job.location
        context.refused = [await _call(context, "GET", where, key) for key in keys]

    context.run(attempt(context.proof))


@then("all of them are refused as unauthenticated")
def step_unauthenticated(context):
    for status, _, text in context.refused:
        assert status == 401, (status, text)
    broken = context.run(context.proof.broken_promises())
    # The stranger's run of the same prompt is not a second one of the owner's.
    broken = [text for text in broken if answer_tag(context.prompt) not in text]
    broken = [text for text in broken if answer_tag(context.job_prompt) not in text]
    assert not broken, broken
