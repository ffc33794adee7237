"""Steps of the coordination features."""

import asyncio
from dataclasses import replace

import aiohttp
from aiohttp import web
from behave import given, then, when
from hypothesis import HealthCheck, settings
from hypothesis import given as for_all
from hypothesis import strategies as st

from pomelolane.coordination import rendezvous
from pomelolane.messages import Handle, NotScheduler, Submit
from pomelolane.outcomes import Outcome, Refusal
from pomelolane.ports import Peer
from tests.coordination.fakes import FakeCore, World, make_tree

DEFAULT_SLOTS = {"a/1": 2, "b/1": 2, "c/1": 2}
LONG_MS = 60_000


def _world(context):
    """Return the world, started when first needed."""
    if context.world is None:
        context.world = World(context.names, context.slots, context.policy)
        context.run(context.world.configure())
        context.run(context.world.run(50))
    return context.world


def _handle(world, tier=0, budget_ms=LONG_MS, service="pool"):
    return Handle(
        f"r{len(world.requests)}", service, "check", tier, "org", "t", budget_ms, 10, 5
    )


def _ask(context, name, **kwargs):
    world = _world(context)
    handle = _handle(world, **kwargs)

    async def ask():
        context.request = world.ask(name, handle)
        await world.settle()

    context.run(ask())
    return context.request


def _other(world):
    scheduler = world.scheduler()
    return next(name for name in world.vms if name != scheduler)


def _live(world):
    return [name for name, vm in world.vms.items() if not vm.frozen]


def _in_flight(world):
    return [r for r in world.requests.values() if not r.ended]


# --- the region -------------------------------------------------------------


@given('a coordinated region of VMs "{names}"')
def step_region(context, names):
    context.names = names.split()
    context.slots = DEFAULT_SLOTS if names != "a-1" else {"a/1": 2}
    context.policy = "pomelolane"
    context.world = None


@given('a coordinated region under policy "{policy}" of VMs "{names}"')
def step_region_policy(context, policy, names):
    step_region(context, names)
    context.policy = policy


@given('coordinated endpoints "{pairs}"')
def step_endpoints(context, pairs):
    parts = (pair.split("=") for pair in pairs.split())
    context.slots = {name: int(count) for name, count in parts}


@given("all coordinated slots are taken")
def step_taken(context):
    step_taken_for(context, 200)


@given("all coordinated slots are taken for {for_ms:d} ms")
def step_taken_for(context, for_ms):
    world = _world(context)
    world.run_ms = for_ms
    names = list(world.vms)
    for number in range(sum(context.slots.values())):
        _ask(context, names[number % len(names)], tier=1)
    context.run(world.run(20))
    world.run_ms = 100
    context.fillers = set(world.requests)
    assert len(world.order) == len(context.fillers)


@given("all coordinated slots take {for_ms:d} ms")
def step_take(context, for_ms):
    _world(context).run_ms = for_ms


@given('no message of kind "{kind}" arrives')
def step_dropped(context, kind):
    _world(context).network.dropped_kinds = {kind}


@given('messages of kind "{kind}" are kept back')
def step_kept(context, kind):
    _world(context).network.kept_kinds = {kind}


@given("every message is delivered twice")
def step_twice(context):
    _world(context).network.duplication = 1.0


@given(
    "a network that loses {loss:d} %, doubles {doubled:d} % "
    "and delays by up to {delay:d} ms"
)
def step_faulty(context, loss, doubled, delay):
    network = _world(context).network
    network.loss = loss / 100
    network.duplication = doubled / 100
    network.most_delay_ms = delay


@given('all coordinated endpoints but "{one}" are leaving, as the gateways know')
def step_leaving(context, one):
    world = _world(context)
    scheduler = world.scheduler()
    for name, vm in world.vms.items():
        for endpoint_id in context.slots:
            if endpoint_id != one and name != scheduler:
                vm.coordination.mark_leaving(endpoint_id)


# --- asking -----------------------------------------------------------------


@when('"{name}" asks for {count:d} slots of tier {tier:d}')
def step_ask(context, name, count, tier):
    for _ in range(count):
        _ask(context, name, tier=tier)


@when("every VM asks for {count:d} slots of tier {tier:d}")
def step_every_asks(context, count, tier):
    for name in list(_world(context).vms):
        step_ask(context, name, count, tier)


@when("every VM but the scheduler asks for {count:d} slots of tier {tier:d}")
def step_others_ask(context, count, tier):
    world = _world(context)
    scheduler = world.scheduler()
    for name in list(world.vms):
        if name != scheduler:
            step_ask(context, name, count, tier)


@when("another VM than the scheduler asks for a slot")
def step_other_asks(context):
    context.asker = _other(_world(context))
    _ask(context, context.asker)


@when('"{name}" asks for a slot with {budget_ms:d} ms left')
def step_ask_budget(context, name, budget_ms):
    _ask(context, name, budget_ms=budget_ms)


@when('"{name}" asks twice with one request id')
def step_ask_twice(context, name):
    first = _ask(context, name)

    async def again():
        client = context.world.vms[name].coordination.client
        context.request = replace(first, result=await client.acquire(first.handle))

    context.run(again())


@when('"{name}" asks for a slot of an unknown service')
def step_ask_unknown(context, name):
    _ask(context, name, service="nothing")


@when('the scheduler refuses a request of "{name}" with {ms:d} ms to wait')
def step_scheduler_refuses(context, name, ms):
    world = _world(context)
    request = _ask(context, name)
    world.vms[name].coordination.client.tick()
    core = _scheduler_desk(world).core
    core.queue[request.handle.request_id] = (request.handle, 0.0)
    context.run(world.run(100))
    assert request.result.retry_after_ms == ms


@when("the last coordinated request is cancelled")
def step_cancel(context):
    async def cancel():
        context.request.task.cancel()
        await context.world.settle()

    context.run(cancel())
    context.request.ended = True


# --- faults -----------------------------------------------------------------


@when("the kept messages arrive")
def step_release(context):
    world = context.world
    world.network.kept_kinds = set()
    world.network.release_kept()
    context.run(world.settle())


@when("the network is whole again")
def step_whole(context):
    network = context.world.network
    network.dropped_kinds = set()
    network.kept_kinds = set()
    network.loss = network.duplication = 0.0


@when("the coordinated clock moves by {for_ms:d} ms")
@then("the coordinated clock moves by {for_ms:d} ms")
def step_clock(context, for_ms):
    context.run(_world(context).run(for_ms))


@when("the scheduler is killed")
def step_kill(context):
    context.run(context.world.run(20))
    context.world.kill(context.world.scheduler())


@when("the scheduler is killed and the view tells it")
def step_kill_view(context):
    step_kill(context)
    context.world.share_view()


@when("that VM is killed and the view tells it")
def step_kill_asker(context):
    context.world.kill(context.asker)
    context.world.share_view()


@when("that VM restarts under the same name")
def step_restart(context):
    world = context.world
    name = context.asker
    context.run(world.restart(name))
    world.share_view()
    context.run(world.run(50))


@when("the scheduler freezes for {for_ms:d} ms")
def step_freeze(context, for_ms):
    world = context.world
    vm = world.vms[world.scheduler()]
    vm.frozen = True
    context.run(world.run(for_ms))
    vm.frozen = False


@when("the scheduler drains and the view tells it")
def step_drain(context):
    step_drain_quietly(context)
    context.world.share_view()


@when("the scheduler drains and only it knows")
def step_drain_quietly(context):
    world = context.world
    name = world.scheduler()
    context.drained = name
    coordination = world.vms[name].coordination
    world.peers[name] = replace(world.peers[name], draining=True)
    context.handover = context.loop.create_task(coordination.handover())
    context.run(world.settle())


@when("VMs join until the role moves")
def step_join(context):
    world = context.world
    former = world.scheduler()
    for number in range(2, 12):
        name = f"a-{number}"
        world.peers[name] = Peer(name, number, "a", "")
        world.start_vm(name)
        world.vms[name].coordination.configure(world.tree)
        world.share_view()
        context.run(world.run(20))
        if world.scheduler() != former:
            return
    raise AssertionError("the role never moved")


@when("the role moves while the former scheduler lives on")
def step_move(context):
    world = context.world
    former = world.scheduler()
    world.peers[former] = replace(world.peers[former], draining=True)
    world.share_view()
    context.run(world.run(20))
    assert world.scheduler() != former


@when('data centre "{one}" is cut off from "{others}"')
def step_cut(context, one, others):
    sides = step_cut_quietly(context, one, others)
    for side in sides:
        context.world.share_view(side)


@when('data centre "{one}" is cut off from "{others}" without the views knowing')
def step_cut_quietly(context, one, others):
    world = context.world
    side = [name for name in world.vms if name[0] == one]
    rest = [name for name in world.vms if name[0] in others.split()]
    world.cut(side, rest)
    return side, rest


@when('"{name}" loses all others without its view knowing')
def step_isolate(context, name):
    world = _world(context)
    assert world.scheduler() != name, "choose another VM for this scenario"
    world.cut([name], [other for other in world.vms if other != name])


@when('"{name}" has to go alone')
def step_alone(context, name):
    world = context.world
    client = world.vms[name].coordination.client
    link = client.links()["pool"]
    context.run(world.run_until(lambda: link.is_alone or link.scheduler == name))


@when("the cut is healed")
@then("the cut is healed")
def step_heal(context):
    world = context.world
    world.network.cuts.clear()
    world.share_view()
    context.run(world.run(1000))


# --- what holds -------------------------------------------------------------


@then("{count:d} coordinated requests have a slot before the clock moves")
def step_at_once(context, count):
    assert len(context.world.order) == count, context.world.order


@then("all coordinated requests run exactly once")
def step_once(context):
    world = context.world
    context.run(world.run_until(lambda: not _in_flight(world), 30_000))
    for request in world.requests.values():
        cancelled = request.task.cancelled()
        assert cancelled or len(request.dispatches) == 1, request


@then("no coordinated endpoint ever ran more than its slots")
def step_not_crowded(context):
    for endpoint_id, most in context.world.most_used.items():
        assert most <= context.slots[endpoint_id], context.world.most_used


@then("every request of tier {high:d} ran before those of tier {low:d}")
def step_order(context, high, low):
    world = context.world
    tiers = [world.requests[name].handle.tier_rank for name in world.order]
    last_high = max(at for at, tier in enumerate(tiers) if tier == high)
    first_low = min(at for at, tier in enumerate(tiers) if tier == low)
    assert last_high < first_low, tiers


@then("no scheduler holds anything in the end")
def step_nothing_left(context):
    world = context.world
    step_whole(context)
    step_once_ended(context)
    context.run(world.run(12_000))
    world.check_nothing_is_left()


def step_once_ended(context):
    world = context.world
    context.run(world.run_until(lambda: not _in_flight(world), 30_000))


@then('the last coordinated request was refused as "{reason}"')
def step_refused(context, reason):
    result = context.request.result
    assert isinstance(result, Refusal), result
    assert result.reason == reason, result


@then("the refusal says that it did not run and when to come back")
def step_not_run(context):
    result = context.request.result
    assert result.outcome == Outcome.NOT_RUN
    assert result.retry_after_ms > 0
    assert not context.request.dispatches


@then("the last coordinated request was never dispatched")
def step_never(context):
    assert not context.request.dispatches


@then('the last coordinated request ran at "{endpoint_id}"')
def step_ran_at(context, endpoint_id):
    assert context.request.dispatches == [endpoint_id]


def _scheduler_desk(world):
    return world.vms[world.scheduler()].coordination.role.desk("pool")


@then("the scheduler has no waiting request")
def step_no_waiting(context):
    context.run(context.world.settle())
    desk = _scheduler_desk(context.world)
    assert not desk.book.waiting(), desk.book.waiting()
    assert not desk.core.queue


@then("the scheduler heard a budget that had shrunk")
def step_shrunk(context):
    waits = context.world.requests[context.request.handle.request_id].handle
    assert context.heard_budgets, "no submit was seen"
    assert all(budget < waits.budget_ms for budget in context.heard_budgets)


@when("the network is whole again and submits are noted")
def step_noted(context):
    step_whole(context)
    context.heard_budgets = []
    for vm in context.world.vms.values():
        vm.transport.subscribe(
            Submit,
            lambda _, message: context.heard_budgets.extend(
                handle.budget_ms for handle in message.waiting
            ),
        )


@then("all coordinated VMs follow the same scheduler")
def step_same(context):
    world = _world(context)
    context.run(world.run(100))
    followed = {
        world.vms[name].coordination.client.links()["pool"].scheduler
        for name in _live(world)
    }
    assert len(followed) == 1, followed
    assert followed <= set(world.vms), followed


@then("just that VM holds the coordinated role")
def step_one_role(context):
    world = context.world
    holders = [n for n, v in world.vms.items() if v.coordination.role.desk("pool")]
    assert holders == [world.scheduler()], holders


@then("its handover ends")
def step_handover(context):
    context.run(context.world.run_until(context.handover.done))


@then("another coordinated VM holds the role")
def step_other_role(context):
    assert context.world.scheduler() != context.drained
    assert _scheduler_desk(context.world) is not None


@then("the scheduler still holds the slot of its request")
def step_still_held(context):
    entry = _scheduler_desk(context.world).book.entries
    assert context.request.handle.request_id in entry
    assert (
        context.request.handle.request_id in _scheduler_desk(context.world).core.granted
    )


@when("a VM that is not the scheduler gets a submit")
def step_wrong_submit(context):
    world = _world(context)
    name = _other(world)
    asker = next(n for n in world.vms if n not in (name, world.scheduler()))
    context.answers = []
    world.vms[asker].transport.subscribe(
        NotScheduler, lambda sender, message: context.answers.append((sender, message))
    )
    submit = Submit(epoch=1, waiting=(_handle(world),))
    world.vms[asker].transport.send(name, submit)
    context.run(world.settle())
    context.asked = name


@then("it answers that it is not the scheduler and names the one it follows")
def step_wrong_answer(context):
    expected = NotScheduler(1, "pool", context.world.scheduler())
    assert context.answers == [(context.asked, expected)], context.answers


@then("each side grants only its own endpoints")
def step_scope(context):
    world = context.world
    desks = {name: vm.coordination.role.desk("pool") for name, vm in world.vms.items()}
    held = {
        name: set(desk.core.slots) - desk.core.out
        for name, desk in desks.items()
        if desk
    }
    assert len(held) == 2, held
    for name, endpoints in held.items():
        expected = {"a/1"} if name[0] == "a" else {"b/1", "c/1"}
        assert endpoints == expected, held


@then('the scheduler knows all requests of "{name}"')
def step_known(context, name):
    world = context.world
    known = _scheduler_desk(world).book.entries
    open_ids = [r.handle.request_id for r in _in_flight(world)]
    assert len(open_ids) == 8
    assert set(open_ids) <= set(known), known
    assert any(entry.endpoint_id for entry in known.values())


@then("no message went between coordinated VMs")
def step_no_message(context):
    assert context.world.network.sent == 0


@then(
    "the status of the scheduler shows {waiting:d} waiting and {running:d} running "
    "requests"
)
def step_status(context, waiting, running):
    world = context.world
    status = world.vms[world.scheduler()].coordination.status()
    assert status.roles == ("pool",)
    assert status.links[0].scheduler == world.scheduler()
    desk = status.desks[0]
    assert desk.waiting_by_tier == {1: waiting}, desk
    assert sum(desk.running_by_endpoint.values()) == running, desk


@then("of 200 services only those of a lost VM move among {count:d} VMs")
def step_rendezvous(context, count):
    vms = [f"vm-{number}" for number in range(count)]
    services = [f"service-{number}" for number in range(200)]
    before = {name: rendezvous(name, vms) for name in services}
    after = {name: rendezvous(name, vms[1:]) for name in services}
    assert set(before.values()) == set(vms)
    for name in services:
        assert after[name] == before[name] or before[name] == vms[0]


# --- reports ----------------------------------------------------------------


class _ReportingCore(FakeCore):
    def __init__(self, service):
        super().__init__(service)
        self.reports = []
        self.events = []

    def report_load(self, report, now_ms):
        self.reports.append(report)
        return []

    def report_cache(self, event, now_ms):
        self.events.append(event)


async def _serve(started, load, events):
    async def answer_load(request):
        return web.Response(body=load, content_type="application/json")

    async def answer_events(request):
        return web.Response(body=events, content_type="application/json")

    app = web.Application()
    app.router.add_get("/load", answer_load)
    app.router.add_get("/cache/events", answer_events)
    runner = web.AppRunner(app)
    await runner.setup()
    site = web.TCPSite(runner, "127.0.0.1", 0)
    await site.start()
    try:
        started.set_result(runner.addresses[0][1])
        await asyncio.Event().wait()
    finally:
        await runner.cleanup()


def _engine(context, load, events):
    # The task ends with the scenario, which cancels what is left on its loop.
    started = context.loop.create_future()
    context.engine = context.loop.create_task(_serve(started, load, events))
    port = context.run(started)
    world = World(["a-1"], {"a/1": 2}, core=_ReportingCore)
    endpoint = replace(world.tree.endpoints["a/1"], address=f"127.0.0.1:{port}")
    world.tree = replace(make_tree({}), endpoints={"a/1": endpoint})
    context.run(world.configure())
    context.world = world


@given('an engine that reports its load, cache events and state "{state}"')
def step_engine(context, state):
    load = (
        b'{"running":3,"waiting":1,"kv_used_tokens":9,"age_ms":500.5,'
        b'"models":["m"],"state":"' + state.encode() + b'"}'
    )
    events = b'{"events":[{"sequence":4,"stored":true,"prefix_hash":77}]}'
    _engine(context, load, events)


@given("an engine that answers reports with garbage")
def step_garbage(context):
    _engine(context, b'{"running":"many"}', b"[")


@when("the scheduler polls its engines")
def step_poll(context):
    coordination = context.world.vms["a-1"].coordination

    async def poll():
        async with aiohttp.ClientSession() as session:
            await coordination.poller.poll(session)

    context.run(poll())


@then("the core got the load report and the cache events")
def step_got(context):
    core = _scheduler_desk(context.world).core
    assert [(r.running, r.waiting, r.age_ms) for r in core.reports] == [(3, 1, 500.5)]
    assert [(e.sequence, e.prefix_hash) for e in core.events] == [(4, 77)]


@then("the engine counts as leaving and membership was told")
def step_told(context):
    assert _scheduler_desk(context.world).core.leaving == {"a/1"}
    assert context.world.told_leaving == ["a/1"]


@then("the core got no report")
def step_got_none(context):
    core = _scheduler_desk(context.world).core
    assert not core.reports
    assert not core.events


# --- any schedule of faults -------------------------------------------------

_NAMES = ["a-1", "a-2", "b-1", "b-2", "c-1"]

_FAULTS = st.lists(
    st.one_of(
        st.tuples(st.just("freeze"), st.sampled_from(_NAMES)),
        st.tuples(st.just("thaw"), st.sampled_from(_NAMES)),
        st.tuples(st.just("restart"), st.sampled_from(_NAMES)),
        st.tuples(st.just("cut"), st.sampled_from("abc")),
        st.tuples(st.just("heal"), st.just("")),
        st.tuples(st.just("views"), st.just("")),
        st.tuples(st.just("ask"), st.sampled_from(_NAMES)),
        st.tuples(st.just("cancel"), st.integers(0, 30).map(str)),
        st.tuples(st.just("wait"), st.sampled_from(["30", "250", "900"])),
    ),
    min_size=5,
    max_size=25,
)


def _act(world, action, subject):
    if action in ("freeze", "thaw"):
        world.vms[subject].frozen = action == "freeze"
    elif action == "cut":
        side = [name for name in world.vms if name[0] == subject]
        world.cut(side, [name for name in world.vms if name[0] != subject])
    elif action == "heal":
        world.network.cuts.clear()
    elif action == "views":
        world.share_reachable_views()
    elif action == "ask" and not world.vms[subject].frozen:
        for tier in (2, 0):
            world.ask(subject, _handle(world, tier=tier))
    elif action == "cancel":
        request = world.requests.get(f"r{subject}")
        if request is not None and not world.vms[request.gateway].frozen:
            request.task.cancel()
            request.ended = True


async def _live_through(actions, seed, loss, delay_ms):
    world = World(_NAMES, {"a/1": 1, "b/1": 2, "c/1": 1}, seed=seed)
    world.network.loss = loss
    world.network.duplication = loss
    world.network.most_delay_ms = delay_ms
    await world.configure()
    for action, subject in actions:
        if action == "restart":
            await world.restart(subject)
        _act(world, action, subject)
        await world.run(int(subject) if action == "wait" else 20)
    for vm in world.vms.values():
        vm.frozen = False
    world.network.cuts.clear()
    world.network.loss = world.network.duplication = 0.0
    world.share_view()
    await world.run_until(lambda: not _in_flight(world), 30_000)
    await world.run(12_000)
    for request in world.requests.values():
        ran_once = len(request.dispatches) == 1
        assert ran_once or request.task.cancelled(), request
    world.check_nothing_is_left()


@then("whatever hypothesis does to the region, each request ends exactly once")
def step_hypothesis(context):
    @settings(
        max_examples=40,
        deadline=None,
        derandomize=True,
        database=None,
        suppress_health_check=list(HealthCheck),
    )
    @for_all(
        _FAULTS,
        st.integers(0, 1000),
        st.sampled_from([0.0, 0.1, 0.3]),
        st.sampled_from([0, 10, 60]),
    )
    def live(actions, seed, loss, delay_ms):
        asyncio.run(_live_through(actions, seed, loss, delay_ms))

    live()
