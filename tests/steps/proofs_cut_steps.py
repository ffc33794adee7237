"""Steps of the proof with a data centre that is cut off."""

from __future__ import annotations

import asyncio
from itertools import product

from behave import given, then, when

from bench.links import PLATFORM
from pomelolane.gateway.keyed import CLAIM_TIMEOUT_MS
from tests.faults import until
from tests.proofs_world import (
    CHECK,
    LOOKUP,
    PATIENCE_S,
    QUESTION,
    SUBMISSION,
    Proof,
)

_MODES = {"break": "cut", "go quiet": "freeze"}
_LOAD_TOKENS = 24
_LOAD_DEADLINE_MS = 8000
_REFUSALS = 4


class _Load:
    """Asks one call after the other on each VM until it is stopped."""

    def __init__(self, proof):
        self._proof = proof
        self._stopped = False
        self.records = []
        self._tasks = [
            asyncio.create_task(self._go_on(vm, ask))
            for vm, ask in product(proof.cluster.vms, (proof.ask, proof.submit))
        ]

    async def _go_on(self, vm, ask):
        options = {"deadline_ms": _LOAD_DEADLINE_MS}
        while not self._stopped:
            self.records.append(await ask(vm, self._proof.name("load"), **options))

    async def stop(self):
        self._stopped = True
        await asyncio.gather(*self._tasks, return_exceptions=True)


@given("a cluster under proof with a load on all its VMs")
def step_cluster(context):
    async def start():
        proof = await Proof.start()
        return proof, _Load(proof)

    context.proof, context.load = context.run(start())
    context.add_cleanup(lambda: context.run(context.proof.stop()))
    context.add_cleanup(lambda: context.run(context.load.stop()))
    *_, context.lone = context.proof.cluster.data_centres


@when("the links of one data centre {fault}")
def step_cut(context, fault):
    async def cut(cluster):
        others = [name for name in cluster.data_centres if name != context.lone]
        await asyncio.gather(
            *(
                cluster.network.set_between(context.lone, name, mode=_MODES[fault])
                for name in (*others, PLATFORM)
            )
        )

    context.run(cut(context.proof.cluster))


def _sides(context):
    cluster = context.proof.cluster
    lone = cluster.vms_in(context.lone)
    return lone, [vm for vm in cluster.vms if vm not in lone]


@when("each side sees only itself")
def step_views(context):
    async def see(proof):
        for side in _sides(context):
            names = {vm.vm_id for vm in side}
            for vm in side:
                await proof.until_view(vm, lambda ids, names=names: ids <= names)

    context.run(see(context.proof))


@then("work that needs no claim is answered whole on both sides")
def step_served(context):
    async def serve(proof):
        calls = []
        for vm in proof.cluster.vms:
            calls += [
                proof.ask(vm, proof.name(work), work=work) for work in (QUESTION, CHECK)
            ]
            calls += [
                proof.submit(vm, proof.name(work), work=work)
                for work in (SUBMISSION, LOOKUP)
            ]
        return await asyncio.gather(*calls)

    records = context.run(serve(context.proof))
    missing = [record.brief() for record in records if not record.whole]
    assert not missing, missing


def _check_refusals(records):
    print("refused after ms:", [round(record.total_ms) for record in records])
    for record in records:
        assert record.outcome == "not_run", record.brief()
        assert record.retry_after_ms > 0, record.brief()
    # At once: not after the patience for the platform's answer.
    patience_ms = CLAIM_TIMEOUT_MS / 2
    slow = [record.brief() for record in records if record.total_ms > patience_ms]
    assert not slow, slow


@then("keyed work is refused there at once, as not run, with when to come back")
def step_keyed_refused(context):
    async def refuse(proof):
        context.keys = [proof.name("keyed") for _ in range(_REFUSALS)]
        lone, _ = _sides(context)
        # The first ones may be those that find out that the table is silent.
        first = [
            proof.ask(vm, proof.name("first"), idempotency_key=proof.name("first"))
            for vm in lone
        ]
        for record in await asyncio.gather(*first):
            assert record.outcome == "not_run", record.brief()
        return [
            await proof.ask(vm, key, idempotency_key=key)
            for key in context.keys
            for vm in lone
        ]

    _check_refusals(context.run(refuse(context.proof)))


@then("jobs are refused there at once, as not run, with when to come back")
def step_jobs_refused(context):
    async def refuse(proof):
        lone, _ = _sides(context)
        return [
            await proof.ask(
                vm, proof.name("job"), work="trip-summary", respond_async=True
            )
            for vm in lone
        ]

    _check_refusals(context.run(refuse(context.proof)))


@when("the links heal and all see each other again")
def step_heal(context):
    async def heal(proof):
        await proof.cluster.heal()
        count = len(proof.cluster.vms)
        for vm in proof.cluster.vms:
            await proof.until_view(vm, lambda ids: len(ids) >= count - 1)

    context.run(heal(context.proof))


@then("keyed work is answered whole there")
def step_keyed_served(context):
    async def serve(proof):
        lone, _ = _sides(context)

        async def is_whole():
            records = [
                await proof.ask(vm, key, idempotency_key=key)
                for key in context.keys
                for vm in lone
            ]
            return all(record.whole for record in records)

        await until(is_whole, timeout_s=PATIENCE_S)

    context.run(serve(context.proof))


@then("the load has gone on and everything under proof holds")
def step_promises(context):
    context.run(context.load.stop())
    records = context.load.records
    whole = sum(record.whole for record in records)
    print(f"load: {whole} of {len(records)} whole")
    broken = context.run(context.proof.broken_promises())
    assert not broken, "\n".join(broken)
    assert whole > len(records) / 2
