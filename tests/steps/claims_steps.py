"""Steps for claims: faults of the table and what callers may believe."""

from __future__ import annotations

import asyncio

from behave import given, then, when
from hypothesis import HealthCheck, settings
from hypothesis import given as hypothesis_given
from hypothesis import strategies as st

from pomelolane.clock import ManualClock, MonotonicClock
from pomelolane.outcomes import Outcome, Refusal
from pomelolane.store import (
    ClaimSweeper,
    EmbeddedObjectStore,
    EmbeddedTable,
    GroupCommitter,
    decode_claim,
    job_reservation,
    make_claims,
)
from tests.faults import COMMIT_FAULTS, FaultyTable, until

_LONG_MS = 60_000
_RETENTION_MS = 1_000.0


def _claims(table, vm_id, wall=None):
    clock = MonotonicClock()
    committer = GroupCommitter(table, clock, spacing_ms=1, lazy_ms=1, probe_ms=1)
    return make_claims(
        table, vm_id, 1, clock, committer=committer, wall=wall or ManualClock()
    )


def _of(context, vm_id):
    if vm_id not in context.claims:
        context.claims[vm_id] = _claims(context.faulty, vm_id, context.wall)
    return context.claims[vm_id]


@given("a claims table")
def step_claims_table(context):
    context.wall = ManualClock()
    context.faulty = FaultyTable(EmbeddedTable())
    context.objects = EmbeddedObjectStore()
    context.run(context.objects.put("object-1", b"answer"))
    context.claims = {}


@given('the claims table\'s next commits go "{faults}"')
@when('the claims table\'s next commits go "{faults}"')
def step_faults(context, faults):
    context.faulty.faults.extend(faults.split())


@given("the claims table is down")
def step_down(context):
    context.faulty.is_down = True


@when("the claims table is up again")
def step_up(context):
    context.faulty.is_down = False


@given("the claims table goes down after that commit")
def step_down_after(context):
    async def watch():
        await until(lambda: context.faulty.late)
        context.faulty.is_down = True

    context.watch = context.loop.create_task(watch())


@given("the claims table does not answer")
def step_hangs(context):
    context.faulty.gate = asyncio.Event()


@when("the claims table answers again")
def step_answers(context):
    context.faulty.gate.set()


@when("the late claim write arrives")
def step_late(context):
    context.run(context.faulty.deliver_late())


@given('claims VM "{winner}" claims "{key}" before "{loser}" reads back')
def step_sneak_in(context, winner, key, loser):
    del loser
    rival = _claims(context.faulty.inner, winner)
    original = context.faulty.read

    async def read(row_key):
        if await context.faulty.inner.scan("claims/") == []:
            await rival.claim(key, "d", timeout_ms=_LONG_MS)
        return await original(row_key)

    context.faulty.read = read


def _claim(context, vm_id, key, timeout_ms=_LONG_MS, **more):
    claim = _of(context, vm_id).claim(key, "d", timeout_ms=timeout_ms, **more)
    context.result = context.run(claim)


@when('claims VM "{vm_id}" claims "{key}"')
@when('claims VM "{vm_id}" claims "{key}" with all the time in the world')
def step_claim(context, vm_id, key):
    _claim(context, vm_id, key)


@when('claims VM "{vm_id}" claims "{key}" with {timeout_ms:d} ms')
def step_claim_timeout(context, vm_id, key, timeout_ms):
    _claim(context, vm_id, key, timeout_ms)


@when('claims VM "{vm_id}" reserves "{key}" for job "{job}" with {timeout_ms:d} ms')
def step_reserve(context, vm_id, key, job, timeout_ms):
    _claim(context, vm_id, key, timeout_ms, answer_object=job_reservation(job))


@when('claims VM "{vm_id}" claims "{key}" twice at once')
def step_claim_twice(context, vm_id, key):
    claims = _of(context, vm_id)

    async def both():
        return await asyncio.gather(
            *(claims.claim(key, "d", timeout_ms=_LONG_MS) for _ in range(2))
        )

    context.results = context.run(both())


@when('claims VM "{vm_id}" claims {count:d} keys at once')
def step_claim_many(context, vm_id, count):
    claims = _of(context, vm_id)

    async def all_of_them():
        return await asyncio.gather(
            *(claims.claim(f"k{i}", "d", timeout_ms=_LONG_MS) for i in range(count))
        )

    context.results = context.run(all_of_them())


@when('claims VM "{vm_id}" begins to claim "{key}" and its caller leaves')
def step_caller_leaves(context, vm_id, key):
    async def leave():
        call = asyncio.ensure_future(
            _of(context, vm_id).claim(key, "d", timeout_ms=_LONG_MS)
        )
        await asyncio.sleep(0.005)
        call.cancel()
        await asyncio.wait({call})

    context.run(leave())


@when('the claim is settled as "{state}" with answer "{answer}"')
def step_settle(context, state, answer):
    claims = context.claims[context.result.vm_id]
    context.run(claims.settle(context.result, state, answer))


@when("the claims are swept at once")
def step_sweep(context):
    _sweep(context)


@when("the claims are swept after their retention")
def step_sweep_later(context):
    context.wall.advance(_RETENTION_MS + 1)
    _sweep(context)


def _sweep(context):
    sweeper = ClaimSweeper(
        context.faulty, context.objects, context.wall, retention_ms=_RETENTION_MS
    )
    context.run(sweeper.sweep("claims/"))


@then('claims VM "{vm_id}" holds it')
def step_holds(context, vm_id):
    assert context.result.fresh and context.result.vm_id == vm_id, context.result


@then('claims VM "{vm_id}" sees the claim of "{holder}"')
def step_sees(context, vm_id, holder):
    del vm_id
    assert not context.result.fresh
    assert context.result.vm_id == holder


@then('claims VM "{vm_id}" is refused as not run')
def step_refused(context, vm_id):
    del vm_id
    assert isinstance(context.result, Refusal), context.result
    assert context.result.outcome is Outcome.NOT_RUN
    assert context.result.retry_after_ms > 0


@then("exactly one of the two holds it")
def step_one_holds(context):
    assert sum(record.fresh for record in context.results) == 1


@then("all {count:d} claims are held after at most {commits:d} commits")
def step_few_commits(context, count, commits):
    assert sum(record.fresh for record in context.results) == count
    assert context.faulty.inner.commits <= commits


def _row_state(context):
    rows = context.run(context.faulty.inner.scan("claims/"))
    if not rows:
        return None
    record = decode_claim(rows[0]).record
    return record.state, record.vm_id


def _await_row(context, *allowed):
    async def found():
        rows = await context.faulty.inner.scan("claims/")
        record = decode_claim(rows[0]).record if rows else None
        return (record and (record.state, record.vm_id)) in allowed

    context.run(until(found))


@then('the claim\'s row says "{state}" by "{vm_id}"')
def step_row_says(context, state, vm_id):
    _await_row(context, (state, vm_id))


@then('the claim\'s row says "{state}" by "{vm_id}" or is absent')
def step_row_says_or_absent(context, state, vm_id):
    _await_row(context, (state, vm_id), None)


@then("the claim's row is absent")
def step_row_absent(context):
    assert _row_state(context) is None


@then("the claim's kept answer is {presence}")
def step_kept_answer(context, presence):
    found = context.run(context.objects.get("object-1"))
    assert bool(found) == (presence == "present")


@then('claims VM "{vm_id}" can claim "{key}"')
def step_can_claim(context, vm_id, key):
    async def can():
        claims = _of(context, vm_id)
        return (await claims.claim(key, "d", timeout_ms=_LONG_MS)).fresh

    context.run(until(can))


# --- the model check: whatever fails, one holder a key

_plans = st.lists(
    st.tuples(
        st.sampled_from("abc"),
        st.sampled_from("xy"),
        st.sampled_from((1, 30, 2_000)),
        st.booleans(),
    ),
    min_size=2,
    max_size=8,
)


async def _run_plan(plan, faults):
    inner = EmbeddedTable()
    views = {vm_id: FaultyTable(inner) for vm_id in "abc"}
    for index, fault in enumerate(faults):
        views["abc"[index % 3]].faults.append(fault)
    claims = {vm_id: _claims(view, vm_id) for vm_id, view in views.items()}
    dispatched: list[str] = []

    async def caller(vm_id, key, timeout_ms, gives_back):
        record = await claims[vm_id].claim(key, "d", timeout_ms=timeout_ms)
        if isinstance(record, Refusal) or not record.fresh:
            return
        if gives_back:
            await claims[vm_id].settle(record, "released")
        else:
            dispatched.append(key)
            await claims[vm_id].settle(record, "done")

    await asyncio.gather(*(caller(*step) for step in plan))
    for view in views.values():
        await view.deliver_late()
    for each in claims.values():
        assert await each.flush(10_000)
    for view in views.values():
        await view.deliver_late()
    return dispatched, await inner.scan("claims/")


@then("random claims under random faults never hold a key twice")
def step_model(context):
    @settings(
        max_examples=150,
        deadline=None,
        database=None,
        derandomize=True,
        suppress_health_check=list(HealthCheck),
    )
    @hypothesis_given(_plans, st.lists(st.sampled_from(COMMIT_FAULTS), max_size=12))
    def check(plan, faults):
        dispatched, rows = context.run(_run_plan(plan, faults))
        assert len(dispatched) == len(set(dispatched)), dispatched
        states = {row.key.split("/")[1]: decode_claim(row).record for row in rows}
        for key, record in states.items():
            expected = {"done"} if key in dispatched else {"released"}
            assert record.state in expected, (key, record, dispatched)

    check()
