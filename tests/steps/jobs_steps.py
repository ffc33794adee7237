"""Steps for durable jobs: who runs them, how often, and how they end."""

from __future__ import annotations

import asyncio
from dataclasses import replace

from behave import given, then, when
from hypothesis import HealthCheck, settings
from hypothesis import given as hypothesis_given
from hypothesis import strategies as st

from pomelolane.clock import MonotonicClock
from pomelolane.jobs import JobRecord, JobState
from pomelolane.jobs.liveness import HeartbeatWriter
from pomelolane.outcomes import Reason, Refusal
from pomelolane.ports import ClaimRecord, Peer
from pomelolane.store import GroupCommitter, job_reservation
from tests.faults import COMMIT_FAULTS, until
from tests.jobs_world import DAY_MS, SETTINGS, World, answer_to, request

_FOR_EVER = 1_000_000
_BODY = b"body"


async def _make_world(**more):
    return World(**more)


@given('job VMs "{first}" and "{second}" on one platform')
def step_world(context, first, second):
    context.world = context.run(_make_world(vm_ids=first + second))
    context.started = False


def _start(context):
    if not context.started:
        context.started = True

        async def start():
            context.world.start()

        context.run(start())


def _vm(context, vm_id):
    return context.world.vms[vm_id]


@given("the job scheduler refuses it since endpoints end under it")
def step_refuses_ends(context):
    for vm in context.world.vms.values():
        vm.dispatcher.refusals = _FOR_EVER
        vm.dispatcher.reason = Reason.CRASHES_ENDPOINTS


@then("the job was refused once")
def step_refused_once(context):
    vms = context.world.vms.values()
    refused = [_FOR_EVER - vm.dispatcher.refusals for vm in vms]
    assert sum(refused) == 1, refused


@given('job VM "{vm_id}" may run nothing')
def step_may_run_nothing(context, vm_id):
    _vm(context, vm_id).jobs.runner._draining = True


@given("the job scheduler refuses {count:d} times")
def step_refuses(context, count):
    for vm in context.world.vms.values():
        vm.dispatcher.refusals = count
    context.world.vms["b"].dispatcher.refusals = 0
    context.world.vms["b"].jobs.runner._draining = True


@given("the job scheduler refuses for ever")
def step_refuses_for_ever(context):
    for vm in context.world.vms.values():
        vm.dispatcher.refusals = _FOR_EVER


@given('the job scheduler of "{vm_id}" does not answer')
def step_no_grants(context, vm_id):
    _vm(context, vm_id).dispatcher.grants.clear()


@given("the job engine answers slowly")
def step_slow_engine(context):
    context.world.engine.open.clear()


@when("the job engine answers")
def step_engine_answers(context):
    context.world.engine.open.set()


@given("the job engine cuts the next {count:d} answers")
def step_engine_cuts(context, count):
    context.world.engine.cut = count


@when("the job engine forgets its streams")
def step_engine_forgets(context):
    context.world.engine.streams.clear()


@given('the job table of "{vm_id}" goes "{faults}"')
def step_table_faults(context, vm_id, faults):
    _vm(context, vm_id).table.faults.extend(faults.split())


@when('the job table of "{vm_id}" is down')
def step_table_down(context, vm_id):
    _vm(context, vm_id).table.is_down = True


@given("the job platform goes down")
@when("the job platform goes down")
def step_platform_down(context):
    for vm in context.world.vms.values():
        vm.table.is_down = True


@when("the job platform is up again")
def step_platform_up(context):
    async def later():
        await asyncio.sleep(0.02)
        for vm in context.world.vms.values():
            vm.table.is_down = False

    context.run(later())


@given('job VM "{vm_id}" freezes before it places a job')
def step_freezes(context, vm_id):
    _vm(context, vm_id).dispatcher.thaw.clear()


@when('job VM "{vm_id}" has started anew and goes on beating')
def step_started_anew(context, vm_id):
    world = context.world
    world.membership.peers[vm_id] = Peer(vm_id, 2, "dc", "")
    committer = GroupCommitter(world.inner, MonotonicClock(), spacing_ms=1, lazy_ms=1)
    heartbeat = HeartbeatWriter(committer, "r", vm_id, 2, world.wall)

    async def beat_on():
        while True:
            await heartbeat.beat()
            await asyncio.sleep(SETTINGS.beat_ms / 1000)

    context.beating = context.loop.create_task(beat_on())


@when('job VM "{vm_id}" is frozen')
def step_frozen(context, vm_id):
    vm = _vm(context, vm_id)
    context.run(until(lambda: vm.jobs.runner.running == 1))
    for loop in vm.jobs.runner._loops:
        loop.cancel()
    context.world.membership.peers.pop(vm_id)


@when('job VM "{vm_id}" wakes')
def step_wakes(context, vm_id):
    _vm(context, vm_id).dispatcher.thaw.set()


@when('job VM "{vm_id}" is killed')
def step_killed(context, vm_id):
    async def kill():
        context.world.kill(vm_id)

    context.run(kill())


@when('job VM "{vm_id}" waits for a slot')
def step_waits(context, vm_id):
    context.run(until(lambda: _vm(context, vm_id).dispatcher.waiting))


@when('job VM "{vm_id}" drains for {timeout_ms:d} ms and ends')
def step_drains(context, vm_id, timeout_ms):
    vm = _vm(context, vm_id)
    context.run(vm.jobs.runner.drain(timeout_ms))
    step_killed(context, vm_id)


def _accept(context, vm_id, asked):
    _start(context)
    context.result = context.run(_vm(context, vm_id).jobs.api.accept(asked))
    if isinstance(context.result, JobRecord):
        context.job_id = context.result.job_id
    return context.result


@when('a job is accepted on "{vm_id}"')
def step_accept(context, vm_id):
    _accept(context, vm_id, request(_BODY))


@when('an idempotent job is accepted on "{vm_id}"')
def step_accept_idempotent(context, vm_id):
    _accept(context, vm_id, request(_BODY, idempotent=True))


@when('an idempotent job with a key is accepted on "{vm_id}"')
def step_accept_idempotent_keyed(context, vm_id):
    _accept(context, vm_id, request(_BODY, idempotent=True, key="k"))


@when('a job is accepted on "{vm_id}" with a deadline of {deadline_ms:d} ms')
def step_accept_deadline(context, vm_id, deadline_ms):
    _accept(context, vm_id, request(_BODY, deadline_ms=deadline_ms))
    context.world.wall.advance(deadline_ms + 1)


@when('a job with key "{key}" is accepted on "{vm_id}"')
def step_accept_key(context, key, vm_id):
    context.first = _accept(context, vm_id, request(_BODY, key=key))


@when('the same job is accepted on "{vm_id}"')
def step_accept_same(context, vm_id):
    _accept(context, vm_id, request(_BODY, key=context.first.key))


@when('another job with key "{key}" is accepted on "{vm_id}"')
def step_accept_other(context, key, vm_id):
    _accept(context, vm_id, request(b"another body", key=key))


@given('job key "{key}" was reserved by a VM that is gone')
def step_reserved(context, key):
    _claim(context, key, job_reservation(key))


@given('job key "{key}" is held by a direct call')
def step_direct(context, key):
    _claim(context, key, "")


def _claim(context, key, answer_object):
    claim = _vm(context, "a").claims.claim(
        key, _BODY.hex(), timeout_ms=5_000, answer_object=answer_object
    )
    assert context.run(claim).fresh


@when("the job's stream has begun")
def step_stream_begun(context):
    context.run(until(lambda: context.world.engine.streams))


@when('the job is cancelled on "{vm_id}"')
def step_cancel(context, vm_id):
    api = _vm(context, vm_id).jobs.api
    assert context.run(api.cancel(context.job_id, "org"))


@when("the jobs are tidied after their archive time")
def step_archive(context):
    context.world.wall.advance(SETTINGS.archive_after_ms + 1)
    context.run(until(lambda: _no_open_rows(context.world)))


@when("the jobs are tidied after their retention")
def step_retention(context):
    context.world.wall.advance(DAY_MS + 1)

    async def gone():
        return not await context.world.inner.scan("jobs/kept/")

    context.run(until(gone, timeout_s=20))


async def _no_open_rows(world):
    return not await world.inner.scan("jobs/open/")


@then("no open job row is left")
def step_no_open(context):
    assert context.run(_no_open_rows(context.world))


@when("{count:d} job rows are stored")
def step_many_rows(context, count):
    store = _vm(context, "a").jobs.store

    async def insert():
        record = await _template(context)
        for i in range(count):
            key = f"{i * 2654435761 % 2**32:08x}"
            await store.insert(replace(record, job_id=key))

    context.run(insert())


async def _template(context):
    api = _vm(context, "a").jobs.api
    return api._new_record(request(_BODY), "0")


@then("a scan of open jobs finds {count:d}")
def step_scan_finds(context, count):
    jobs = context.run(_vm(context, "b").jobs.store.scan_open())
    assert len({job.record.job_id for job in jobs}) == count


async def _ended(world, job_id):
    record = await world.record(job_id)
    return record is not None and record.is_final


def _await_end(context):
    assert isinstance(context.result, JobRecord), context.result
    world = context.world
    context.run(until(lambda: _ended(world, context.job_id), timeout_s=10))
    return context.run(world.record(context.job_id))


@then('the job ends as "{state}" with its own answer')
def step_ends_with_answer(context, state):
    record = _await_end(context)
    assert record.state == state, record
    vm = context.world.vms["b"]
    answer = context.run(vm.jobs.api.answer(context.job_id, "org"))
    assert answer == answer_to(_BODY), answer


@then('the job ends as "{state}" with outcome "{outcome}"')
def step_ends_with_outcome(context, state, outcome):
    record = _await_end(context)
    assert (record.state, record.outcome) == (state, outcome), record


@then("the engine has run the job {count:d} time")
@then("the engine has run the job {count:d} times")
def step_runs(context, count):
    assert len(context.world.engine.runs) == count, context.world.engine.runs


@then("its body is deleted")
def step_body_deleted(context):
    name = context.run(context.world.record(context.job_id)).body_object

    async def gone():
        return not await context.world.objects.get(name)

    context.run(until(gone))


@then('organisation "{name}" finds no such job, no answer and nothing to cancel')
def step_not_found(context, name):
    api = _vm(context, "b").jobs.api
    for call in (api.state, api.answer, api.cancel):
        assert not context.run(call(context.job_id, name))


@then('job VM "{vm_id}" carries nothing')
def step_carries_nothing(context, vm_id):
    context.run(until(lambda: _vm(context, vm_id).jobs.runner.running == 0))


@then('the job is refused as "{outcome}"')
def step_refused(context, outcome):
    assert isinstance(context.result, Refusal), context.result
    assert context.result.outcome == outcome


@then("both acceptances name one job")
def step_one_job(context):
    assert context.first.job_id == context.result.job_id


@then("the job's acceptance names the direct call's claim")
def step_names_claim(context):
    assert isinstance(context.result, ClaimRecord), context.result
    assert not context.world.engine.runs


# --- the model check: random faults, kills and freezes

_events = st.lists(
    st.one_of(
        st.tuples(st.just("accept"), st.sampled_from("abc")),
        st.tuples(st.just("fault"), st.sampled_from("abc")),
        st.tuples(st.just("out_of_view"), st.sampled_from("ab")),
        st.tuples(st.just("freeze"), st.sampled_from("ab")),
        st.tuples(st.just("kill"), st.sampled_from("ab")),
        st.tuples(st.just("cut"), st.just("")),
        st.tuples(st.just("slow"), st.just("")),
        st.tuples(st.just("down"), st.sampled_from("ab")),
        st.tuples(st.just("refuse"), st.sampled_from("abc")),
        st.tuples(st.just("wait"), st.just("")),
    ),
    min_size=6,
    max_size=20,
)
_MODEL_SETTINGS = replace(SETTINGS, lapse_ms=15, placing_timeout_ms=10)


async def _apply(world, event, vm_id, faults, accepted):
    vm = world.vms.get(vm_id)
    later = asyncio.get_running_loop().call_later
    if event == "accept":
        body = f"body {len(accepted)}".encode()
        result = await vm.jobs.api.accept(request(body))
        accepted.append((result, body))
    elif event == "fault" and faults:
        vm.table.faults.append(faults.pop())
    elif event == "out_of_view":
        world.membership.peers.pop(vm_id, None)
    elif event == "freeze":
        vm.dispatcher.thaw.clear()
        later(0.03, vm.dispatcher.thaw.set)
    elif event == "kill":
        world.kill(vm_id)
    elif event == "cut":
        world.engine.cut += 1
    elif event == "slow":
        world.engine.open.clear()
        later(0.03, world.engine.open.set)
    elif event == "down":
        vm.table.is_down = True
        later(0.03, lambda: setattr(vm.table, "is_down", False))
    elif event == "refuse":
        vm.dispatcher.refusals += 2
    elif event == "wait":
        await asyncio.sleep(0.01)


async def _run_events(events, faults):
    world = World("abc", _MODEL_SETTINGS)
    world.start()
    accepted = []
    killed = set()
    try:
        for event, vm_id in events:
            if event == "accept" and vm_id in killed:
                continue
            await _apply(world, event, vm_id, faults, accepted)
            if event == "kill":
                killed.add(vm_id)
        for vm in world.vms.values():
            await vm.table.deliver_late()
        for result, body in accepted:
            await _check_job(world, result, body)
    finally:
        world.stop()


async def _check_job(world, result, body):
    if isinstance(result, Refusal):
        return
    await until(lambda: _ended(world, result.job_id), timeout_s=20)
    record = await world.record(result.job_id)
    runs = world.engine.runs.count(result.job_id)
    assert runs <= 1, (runs, record)
    if record.state is JobState.DONE:
        assert await world.objects.get(record.answer_object) == answer_to(body)
    elif record.outcome == "not_run":
        assert runs == 0, record


@then("random faults never run a job twice and never lose one")
def step_model(context):
    @settings(
        max_examples=200,
        deadline=None,
        database=None,
        derandomize=True,
        suppress_health_check=list(HealthCheck),
    )
    @hypothesis_given(_events, st.lists(st.sampled_from(COMMIT_FAULTS), max_size=8))
    def check(events, faults):
        context.run(_run_events(events, list(faults)))

    check()
