"""Steps of the proof that a request runs at most once."""

from __future__ import annotations

import asyncio
import base64

from behave import given, then, when

from bench.caller import answer_tag
from bench.evidence import collect_runs
from bench.links import platform_link
from tests.faults import until
from tests.proofs_world import (
    MODEL,
    PATIENCE_S,
    REGISTER,
    Proof,
    keep_engines_small,
)

_QUEUED_TOKENS = 200
_STREAMED_TOKENS = 120
_CALLS = 6
_SLOW_MS = 700
_DEATH_AFTER = 4
_GIVE_UP_MS = 1500
_STUCK = 100.0
_NEVER = 10**9


def _start(context, **options):
    context.proof = context.run(Proof.start(**options))
    context.add_cleanup(lambda: context.run(context.proof.stop()))
    context.keys = []


@given("a cluster under proof")
def step_cluster(context):
    _start(context)


@given("a cluster under proof with small engines")
def step_small_cluster(context):
    _start(context, edit=keep_engines_small)


@then("all that was promised under proof holds")
def step_promises(context):
    broken = context.run(context.proof.broken_promises())
    assert not broken, "\n".join(broken)


def _keyed(proof, vm, prompt, **call):
    return asyncio.create_task(proof.ask(vm, prompt, idempotency_key=prompt, **call))


async def _repeat(proof, vm, prompts, **call):
    tasks = [_keyed(proof, vm, prompt, **call) for prompt in prompts]
    return await asyncio.gather(*tasks)


# --- killed


@when("a gateway is killed while its keyed check waits in the queue")
def step_kill_waiting(context):
    async def kill_waiting(proof):
        victim = proof.cluster.vms[0]
        prompt = proof.name("check that waits")
        fillers = await proof.fill_engines(proof.cluster.vms[1], _QUEUED_TOKENS)
        waiting = _keyed(proof, victim, prompt)
        await proof.until_claimed(1)
        await until(lambda: _is_queued(proof), timeout_s=PATIENCE_S)
        assert not await proof.runs_of(answer_tag(prompt))
        victim.kill()
        await waiting
        context.keys.append((prompt, 16))
        context.fillers = fillers

    context.run(kill_waiting(context.proof))


async def _is_queued(proof):
    reports = await asyncio.gather(*(vm.status() for vm in proof.cluster.vms))
    return any(report["queues"].get(MODEL) for report in reports)


@when("a gateway is killed while its keyed check streams")
def step_kill_streaming(context):
    async def kill_streaming(proof):
        victim = proof.cluster.vms[2]
        prompt = proof.name("check that streams")
        streaming = _keyed(proof, victim, prompt, tokens=_STREAMED_TOKENS)
        await proof.until_streaming(answer_tag(prompt))
        victim.kill()
        record = await streaming
        await asyncio.gather(*context.fillers)
        assert record.error, record.brief()
        context.keys.append((prompt, _STREAMED_TOKENS))

    context.run(kill_streaming(context.proof))


@when("a gateway is killed after its keyed check has ended")
def step_kill_ended(context):
    async def kill_ended(proof):
        victim = proof.cluster.vms[4]
        prompt = proof.name("check that ends")
        record = await _keyed(proof, victim, prompt)
        assert record.whole, record.brief()
        await until(lambda: _is_settled(proof), timeout_s=PATIENCE_S)
        victim.kill()
        context.keys.append((prompt, 16))

    context.run(kill_ended(context.proof))


async def _is_settled(proof):
    return any(
        b"answers/" in _value(row)
        for row in await proof.cluster.platform.rows("claims/")
    )


def _value(row):
    return base64.b64decode(row["value"])


@when("each of these keys is repeated on two other VMs")
def step_repeat_everywhere(context):
    async def repeat(proof):
        context.repeats = {}
        for prompt, tokens in context.keys:
            tasks = [
                _keyed(proof, proof.cluster.vms[number], prompt, tokens=tokens)
                for number in (1, 3)
            ]
            context.repeats[prompt] = await asyncio.gather(*tasks)

    context.run(repeat(context.proof))


def _repeats_of(context, kind):
    return next(
        records
        for prompt, records in context.repeats.items()
        if prompt.startswith(kind)
    )


@then("the check that had ended is answered again, whole")
def step_answered_again(context):
    records = _repeats_of(context, "check that ends")
    assert all(record.whole for record in records), [
        record.brief() for record in records
    ]


@then("the check that was cut off is not said to have not run")
def step_not_denied(context):
    records = _repeats_of(context, "check that streams")
    assert all(record.outcome != "not_run" for record in records), [
        record.brief() for record in records
    ]


# --- frozen


@when("a gateway is frozen while its keyed checks wait, stream and claim")
def step_freeze(context):
    async def freeze(proof):
        victim = context.victim = proof.cluster.vms[0]
        other = proof.cluster.vms[1]
        names = [proof.name(kind) for kind in ("streams", "waits", "claims")]
        streaming = _keyed(proof, victim, names[0], tokens=_QUEUED_TOKENS)
        await proof.until_streaming(answer_tag(names[0]))
        context.fillers = await proof.fill_engines(other, _QUEUED_TOKENS)
        waiting = _keyed(proof, victim, names[1])
        await proof.until_claimed(2)
        link = platform_link(victim.data_centre)
        await proof.cluster.network.set_link(link, mode="drop_replies")
        claiming = _keyed(proof, victim, names[2])
        await proof.until_claimed(3)
        victim.freeze()
        await proof.cluster.heal()
        context.keys = list(zip(names, (_QUEUED_TOKENS, 16, 16), strict=True))
        context.frozen_calls = [streaming, waiting, claiming]

    context.run(freeze(context.proof))


@when("all others have given it up and the keys are repeated")
def step_give_up(context):
    async def give_up(proof):
        name = context.victim.vm_id
        for vm in proof.cluster.vms[1:]:
            await proof.until_view(vm, lambda ids: name not in ids)
        await _repeat_all(context, (1, 3))
        await asyncio.gather(*context.fillers)

    context.run(give_up(context.proof))


async def _repeat_all(context, numbers):
    proof = context.proof
    tasks = [
        _keyed(proof, proof.cluster.vms[number], prompt, tokens=tokens)
        for prompt, tokens in context.keys
        for number in numbers
    ]
    return await asyncio.gather(*tasks)


@when("the frozen gateway wakes and its calls end")
def step_wake(context):
    context.victim.thaw()
    context.run(_all_of(context.frozen_calls))


async def _all_of(tasks):
    return await asyncio.gather(*tasks)


@when("the keys are repeated once more")
def step_repeat_once_more(context):
    context.run(_repeat_all(context, (0, 3, 5)))


# --- the table


@when("keyed calls are repeated while the table {fault}")
def step_table(context, fault):
    settings = {
        "loses replies": {"lose_replies": 4},
        "is slow": {"delay_ms": _SLOW_MS},
        "is down": {"outage": True},
    }[fault]

    async def repeat(proof):
        context.keys = [(proof.name(fault), 16) for _ in range(_CALLS)]
        await proof.cluster.platform.control(**settings)
        numbers = range(len(proof.cluster.vms))
        context.answers = await _repeat_all(context, numbers)
        await proof.cluster.platform.control(outage=False, delay_ms=0, lose_replies=0)

    context.run(repeat(context.proof))


@then("the calls while the table is down were refused as not run")
def step_refused(context):
    for record in context.answers:
        assert record.outcome == "not_run", record.brief()
        assert record.retry_after_ms > 0, record.brief()


@when("the table is back and these keys are repeated")
def step_table_back(context):
    async def repeat():
        context.answers = await _whole_answers(context, context.proof.cluster.vms)

    context.run(repeat())


async def _whole_answers(context, vms):
    """Repeat each key, as callers do, until it is answered whole."""
    answers = []
    for number, (prompt, tokens) in enumerate(context.keys):
        vm = vms[number % len(vms)]
        answers.append(await _until_whole(context.proof, vm, prompt, tokens))
    return answers


async def _until_whole(proof, vm, prompt, tokens):
    found = []

    async def is_whole():
        found.append(await _keyed(proof, vm, prompt, tokens=tokens))
        return found[-1].whole

    await until(is_whole, timeout_s=PATIENCE_S)
    return found[-1]


@then("each of these keys was answered whole")
def step_keys_answered(context):
    whole = {record.tag for record in context.answers if record.whole}
    missing = [prompt for prompt, _ in context.keys if answer_tag(prompt) not in whole]
    assert not missing, (missing, [record.brief() for record in context.answers])


# --- cut off


@when("keyed calls run and a data centre is cut off meanwhile")
def step_cut(context):
    async def cut(proof):
        cluster = proof.cluster
        one, other, context.lone = cluster.data_centres
        context.keys = [
            (proof.name("before the cut"), _STREAMED_TOKENS) for _ in range(_CALLS)
        ]
        tasks = [
            _keyed(proof, vm, prompt, tokens=tokens)
            for vm, (prompt, tokens) in zip(cluster.vms, context.keys, strict=True)
        ]
        await asyncio.gather(
            *(proof.until_streaming(answer_tag(prompt)) for prompt, _ in context.keys)
        )
        await cluster.cut(one, context.lone)
        await cluster.cut(other, context.lone)
        await cluster.cut_platform(context.lone)
        context.first_answers = await asyncio.gather(*tasks)

    context.run(cut(context.proof))


@when("the keys are repeated on both sides of the cut")
def step_repeat_cut(context):
    async def repeat(proof):
        lone = proof.cluster.vms_in(context.lone)[0]
        tasks = [
            _keyed(proof, vm, prompt, tokens=tokens)
            for vm in (proof.cluster.vms[0], lone)
            for prompt, tokens in context.keys
        ]
        records = await asyncio.gather(*tasks)
        context.lone_answers = records[len(context.keys) :]

    context.run(repeat(context.proof))


@when("both sides have a scheduler and are given work that may run once")
def step_doubled(context):
    async def load(proof):
        await until(lambda: _is_doubled(proof, context.lone), timeout_s=PATIENCE_S)
        tasks = []
        for vm in proof.cluster.vms:
            for _ in range(_CALLS):
                tasks.append(proof.ask(vm, proof.name("check")))
                tasks.append(proof.submit(vm, proof.name("catch")))
        records = await asyncio.gather(*tasks)
        assert any(record.whole for record in records)

    context.run(load(context.proof))


async def _is_doubled(proof, lone):
    """Tell whether each side follows a scheduler of its own."""
    cluster = proof.cluster
    alone = {vm.vm_id for vm in cluster.vms_in(lone)}
    followed = set()
    for vm in cluster.vms:
        services = (await vm.status())["roles"]["services"]
        followed.add((vm.vm_id in alone, services[MODEL] in alone))
    return followed == {(True, True), (False, False)}


@then("no key was answered in the data centre that is cut off")
def step_none_answered(context):
    for record in context.lone_answers:
        assert record.status != 200, record.brief()
        assert record.outcome in ("not_run", "unknown"), record.brief()
        assert record.retry_after_ms > 0, record.brief()


@when("the cut heals and the keys are repeated there")
def step_heal(context):
    async def repeat(proof):
        await proof.cluster.heal()
        lone = proof.cluster.vms_in(context.lone)
        # What was cut short stays so; all the rest is answered by now.
        whole = [record.tag for record in context.first_answers if record.whole]
        context.keys = [item for item in context.keys if answer_tag(item[0]) in whole]
        context.answers = await _whole_answers(context, lone)

    context.run(repeat(context.proof))


# --- endpoints


@when("engines die in the middle of checks with and without a key")
def step_engines_die(context):
    async def die(proof):
        engines = proof.cluster.endpoints_of(MODEL)
        for engine in engines:
            await engine.control(die_after_tokens=_DEATH_AFTER)
        context.keys = [(proof.name("dies"), 64) for _ in range(2)]
        keyed = [
            _keyed(proof, vm, prompt, tokens=tokens)
            for vm, (prompt, tokens) in zip(
                proof.cluster.vms, context.keys, strict=False
            )
        ]
        bare = [
            proof.ask(proof.cluster.vms[number], proof.name("dies bare"), tokens=64)
            for number in (2, 3)
        ]
        context.answers = await asyncio.gather(*keyed, *bare)

    context.run(die(context.proof))


@then("these checks ended as cut short")
def step_cut_short(context):
    for record in context.answers:
        assert record.outcome in ("cut_short", "unknown"), record.brief()


@when("the engines are back and the keys are repeated")
def step_engines_back(context):
    async def back(proof):
        for engine in proof.cluster.endpoints_of(MODEL):
            await engine.control(die=False, die_after_tokens=_NEVER)
        context.answers = await _repeat_all(context, (0, 3, 5))

    context.run(back(context.proof))


@when("catch submissions are under way and their endpoints die")
def step_services_die(context):
    async def die(proof):
        services = proof.cluster.endpoints_of(REGISTER)
        for service in services:
            await service.control(slowdown=_STUCK)
        tasks = _submissions(proof)
        await until(lambda: _arrived(proof, len(tasks)), timeout_s=PATIENCE_S)
        for service in services:
            await service.control(die=True)
        context.submissions = await asyncio.gather(*tasks)
        for service in services:
            await service.control(die=False, slowdown=1.0)

    context.run(die(context.proof))


def _submissions(proof):
    tasks = []
    for vm in proof.cluster.vms:
        for key in ("", proof.name("key")):
            call = proof.submit(vm, proof.name("catch"), idempotency_key=key)
            tasks.append(asyncio.create_task(call))
    return tasks


async def _arrived(proof, count):
    found = [await item.runs() for item in proof.cluster.endpoints_of(REGISTER)]
    return sum(map(len, found)) >= count


@when("the endpoints' replies to catch submissions are lost")
def step_replies_lost(context):
    async def lose(proof):
        cluster = proof.cluster
        for link in list(cluster.network.links.values()):
            if link.name.startswith("endpoint.") and "registro" in link.name:
                await cluster.network.set_link(link.name, mode="drop_replies")
        tasks = [
            proof.submit(vm, proof.name("catch"), deadline_ms=_GIVE_UP_MS)
            for vm in cluster.vms
            for _ in range(_CALLS)
        ]
        context.submissions += await asyncio.gather(*tasks)
        await cluster.heal()

    context.run(lose(context.proof))


@then("no catch submission that was received is said to have not run")
def step_not_denied_submission(context):
    """Judge what a service received; what still waited may truly say "not run"."""
    runs = context.run(collect_runs(context.proof.cluster))
    received = {run.mark for run in runs}
    submitted = {id(record) for record in context.submissions}
    outcomes = [
        attempt.record.outcome
        for attempt in context.proof.attempts
        if id(attempt.record) in submitted and attempt.mark in received
    ]
    assert "not_run" not in outcomes, outcomes
    assert "unknown" in outcomes, outcomes
