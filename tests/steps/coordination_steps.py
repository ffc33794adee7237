"""Steps of the coordination features: requests and expectations."""

import asyncio
from dataclasses import replace

import msgspec
from behave import given, then, when

from pomelolane.membership import choose
from pomelolane.messages import NotScheduler, Submit
from pomelolane.outcomes import Outcome, Refusal
from tests.coordination.world import (
    ask,
    in_flight,
    live,
    make_handle,
    scheduler_queue,
    world_of,
)

DEFAULT_SLOTS = {"a/1": 2, "b/1": 2, "c/1": 2}


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
    world = world_of(context)
    world.run_ms = for_ms
    names = list(world.vms)
    for number in range(sum(context.slots.values())):
        ask(context, names[number % len(names)], tier=1)
    context.run(world.run(20))
    world.run_ms = 100
    context.fillers = set(world.requests)
    assert len(world.order) == len(context.fillers)


@then(
    "the scheduler's VM ticks every {busy_ms:d} ms and the others every {calm_ms:d} ms"
)
def step_ticks(context, busy_ms, calm_ms):
    world = world_of(context)
    scheduler = world.scheduler()
    for name, vm in world.vms.items():
        expected_ms = busy_ms if name == scheduler else calm_ms
        assert vm.coordination.period_ms == expected_ms, name


@then("the VMs that wait tick every {ms:d} ms")
def step_waiting_tick(context, ms):
    world = world_of(context)
    waiting = {r.gateway for r in in_flight(world) if not r.dispatches}
    assert waiting
    assert all(world.vms[name].coordination.period_ms == ms for name in waiting)


@given("all coordinated slots take {for_ms:d} ms")
def step_take(context, for_ms):
    world_of(context).run_ms = for_ms


@given('no message of kind "{kind}" arrives')
def step_dropped(context, kind):
    world_of(context).network.dropped_kinds = {kind}


@given('messages of kind "{kind}" are held back')
def step_kept(context, kind):
    world_of(context).network.held_kinds = {kind}


@given(
    "a network that loses {loss:d} %, duplicates {doubled:d} % "
    "and delays by up to {delay:d} ms"
)
def step_faulty(context, loss, doubled, delay):
    network = world_of(context).network
    network.loss = loss / 100
    network.duplication = doubled / 100
    network.max_delay_ms = delay


@given(
    'all coordinated endpoints but "{one}" are marked leaving except on the scheduler'
)
def step_leaving(context, one):
    world = world_of(context)
    scheduler = world.scheduler()
    for name, vm in world.vms.items():
        for endpoint_id in context.slots:
            if endpoint_id != one and name != scheduler:
                vm.coordination.mark_leaving(endpoint_id)


@given("all coordinated endpoints are marked leaving on all VMs")
def step_all_leaving(context):
    for vm in world_of(context).vms.values():
        for endpoint_id in context.slots:
            vm.coordination.mark_leaving(endpoint_id)


@given("all coordinated endpoints have their marks removed on all VMs")
def step_all_returned(context):
    for vm in world_of(context).vms.values():
        for endpoint_id in context.slots:
            vm.coordination.mark_returned(endpoint_id)


# --- requests ---------------------------------------------------------------


@when('"{who}" asks for {count:d} slots of tier {tier:d}')
def step_ask(context, who, count, tier):
    world = world_of(context)
    others = [name for name in world.vms if name != world.scheduler()]
    names = {"each": list(world.vms), "others": others, "another": others[:1]}
    context.asker = (others or [who])[0]
    for name in names.get(who, [who]):
        for _ in range(count):
            ask(context, name, tier=tier)


@when('"{name}" asks for a slot with {budget_ms:d} ms left')
def step_ask_budget(context, name, budget_ms):
    ask(context, name, budget_ms=budget_ms)


@when('"{name}" asks twice with one request id')
def step_ask_twice(context, name):
    first = ask(context, name)

    async def again():
        client = context.world.vms[name].coordination.client
        context.request = replace(first, result=await client.acquire(first.handle))

    context.run(again())


@when('"{name}" asks for a slot of an unknown service')
def step_ask_unknown(context, name):
    ask(context, name, service="nothing")


@when('the scheduler refuses a request of "{name}" with {ms:d} ms retry delay')
def step_scheduler_refuses(context, name, ms):
    world = world_of(context)
    request = ask(context, name)
    world.vms[name].coordination.client.tick()
    core = scheduler_queue(world).core
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


@when('"another" is granted all slots and gives one back')
def step_give_back(context):
    world = world_of(context)
    name = next(one for one in world.vms if one != world.scheduler())
    client = world.vms[name].coordination.client
    handles = [
        msgspec.structs.replace(make_handle(world), request_id=f"g{number}")
        for number in range(sum(context.slots.values()))
    ]

    async def take_and_give_back():
        asking = asyncio.gather(*map(client.acquire, handles))
        await world.settle()
        grants = await asking
        assert all(grants), grants
        assert len(scheduler_queue(world).core.granted) == len(grants)
        client.release(grants[0])
        await world.settle()
        context.granted = grants

    context.run(take_and_give_back())


# --- expectations -----------------------------------------------------------


@then("one coordinated slot is free")
def step_one_free(context):
    granted = scheduler_queue(context.world).core.granted
    expected = {grant.request_id for grant in context.granted[1:]}
    assert set(granted) == expected, granted


@then("{count:d} coordinated requests have a slot before the clock moves")
def step_at_once(context, count):
    assert len(context.world.order) == count, context.world.order


@then("all coordinated requests run exactly once")
def step_once(context):
    world = context.world
    context.run(world.run_until(lambda: not in_flight(world), 30_000))
    for request in world.requests.values():
        cancelled = request.task.cancelled()
        assert cancelled or len(request.dispatches) == 1, request


@then("no coordinated endpoint ever ran more than its slots")
def step_not_crowded(context):
    for endpoint_id, most in context.world.max_used.items():
        assert most <= context.slots[endpoint_id], context.world.max_used


@then("every request of tier {high:d} ran before those of tier {low:d}")
def step_order(context, high, low):
    world = context.world
    tiers = [world.requests[name].handle.tier_rank for name in world.order]
    last_high = max(at for at, tier in enumerate(tiers) if tier == high)
    first_low = min(at for at, tier in enumerate(tiers) if tier == low)
    assert last_high < first_low, tiers


@then("no scheduler holds any request in the end")
def step_nothing_left(context):
    step_nothing_left_after(context, 12_000)


@then("no scheduler holds any request after {for_ms:d} ms")
def step_nothing_left_after(context, for_ms):
    world = context.world
    world_of(context).network.restore()
    context.run(world.run_until(lambda: not in_flight(world), 30_000))
    context.run(world.run(for_ms))
    world.check_no_request_left()


@then('the last coordinated request was refused as "{reason}"')
def step_refused(context, reason):
    result = context.request.result
    assert isinstance(result, Refusal), result
    assert result.reason == reason, result


@then("the refusal has the outcome not_run and a retry delay")
def step_not_run(context):
    result = context.request.result
    assert result.outcome == Outcome.NOT_RUN
    assert result.retry_after_ms > 0
    assert not context.request.dispatches


@then("the last coordinated request has no slot yet")
def step_no_slot(context):
    assert not context.request.dispatches, context.request
    assert not context.request.ended


@then('the last coordinated request ran at "{endpoint_ids}"')
def step_ran_at(context, endpoint_ids):
    assert context.request.dispatches == endpoint_ids.replace("nowhere", "").split()


@then("the scheduler has no waiting request")
def step_no_waiting(context):
    context.run(context.world.settle())
    service_queue = scheduler_queue(context.world)
    assert not service_queue.request_table.waiting(), (
        service_queue.request_table.waiting()
    )
    assert not service_queue.core.queue


@then("the scheduler received a smaller time budget")
def step_shrunk(context):
    waits = context.world.requests[context.request.handle.request_id].handle
    assert context.heard_budgets, "no submit was seen"
    assert all(budget < waits.budget_ms for budget in context.heard_budgets)


@when("the network works again and submits are recorded")
def step_noted(context):
    world_of(context).network.restore()
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
    world = world_of(context)
    context.run(world.run(100))
    followed = {
        world.vms[name].coordination.client.links()["pool"].scheduler
        for name in live(world)
    }
    assert len(followed) == 1, followed
    assert followed <= set(world.vms), followed


@then("only that VM holds the scheduler role")
def step_one_role(context):
    world = context.world
    holders = [
        n for n, v in world.vms.items() if v.coordination.role.service_queue("pool")
    ]
    assert holders == [world.scheduler()], holders


@then("its handover ends")
def step_handover(context):
    context.run(context.world.run_until(context.handover.done))


@then("another coordinated VM holds the role")
def step_other_role(context):
    assert context.world.scheduler() != context.drained
    assert scheduler_queue(context.world) is not None


@then("the scheduler still holds the slot of its request")
def step_still_held(context):
    entry = scheduler_queue(context.world).request_table.entries
    assert context.request.handle.request_id in entry
    assert (
        context.request.handle.request_id in scheduler_queue(context.world).core.granted
    )


@when("a VM that is not the scheduler gets a submit")
def step_wrong_submit(context):
    world = world_of(context)
    name, asker, *_ = [vm for vm in world.vms if vm != world.scheduler()]
    context.answers = []
    world.vms[asker].transport.subscribe(
        NotScheduler, lambda sender, message: context.answers.append((sender, message))
    )
    submit = Submit(epoch=1, waiting=(make_handle(world),))
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
    service_queues = {
        name: vm.coordination.role.service_queue("pool")
        for name, vm in world.vms.items()
    }
    held = {
        name: set(service_queue.core.slots) - service_queue.core.unavailable
        for name, service_queue in service_queues.items()
        if service_queue
    }
    assert len(held) == 2, held
    for name, endpoints in held.items():
        expected = {"a/1"} if name[0] == "a" else {"b/1", "c/1"}
        assert endpoints == expected, held


@then('the scheduler knows all requests of "{name}"')
def step_known(context, name):
    world = context.world
    known = scheduler_queue(world).request_table.entries
    open_ids = [r.handle.request_id for r in in_flight(world)]
    assert len(open_ids) == 8
    assert set(open_ids) <= set(known), known
    assert any(entry.endpoint_id for entry in known.values())


@then("no message was sent between coordinated VMs")
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
    service_queue = status.service_queues[0]
    assert service_queue.waiting_by_tier == {1: waiting}, service_queue
    assert sum(service_queue.running_by_endpoint.values()) == running, service_queue


@then("of 200 services only those of a lost VM move among {count:d} VMs")
def step_choose(context, count):
    vms = [f"vm-{number}" for number in range(count)]
    services = [f"service-{number}" for number in range(200)]
    before = {name: choose(name, vms) for name in services}
    after = {name: choose(name, vms[1:]) for name in services}
    assert set(before.values()) == set(vms)
    for name in services:
        assert after[name] == before[name] or before[name] == vms[0]
