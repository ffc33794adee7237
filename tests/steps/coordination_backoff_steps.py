"""Steps of tests/coordination/backoffs.feature."""

from dataclasses import replace

from behave import given, then, when

from pomelolane.platform.dialect import PlatformDialect
from pomelolane.scheduler.objective.core import make_objective_core
from tests.coordination.world import World, ask

ENDPOINT = "a/1"
COUNTS = {"no": 0, "one": 1}


@given("two coordinated VMs and one endpoint with {slots:d} slots")
def step_world(context, slots):
    context.slots = slots
    context.world = world = World(
        ["a-0", "a-1"], {ENDPOINT: slots}, "objective", core=make_objective_core
    )
    context.run(world.configure())
    context.run(world.run(2_000))


@when('"{vm}" is told to back off for {rest_ms:d} ms')
def step_rest(context, vm, rest_ms):
    client = context.world.vms[vm].coordination.client
    client.back_off("pool", ENDPOINT, rest_ms)


@when('"{vm}" takes all slots for {for_ms:d} ms')
def step_take(context, vm, for_ms):
    world = context.world
    world.run_ms = for_ms
    for _ in range(context.slots):
        ask(context, vm)
    context.run(world.run(20))
    world.run_ms = 100


@when('"{first}" and "{second}" each ask for a slot')
def step_ask(context, first, second):
    context.asked = {vm: ask(context, vm) for vm in (first, second)}
    context.run(context.world.run(50))


@when("{ms:d} ms pass for the coordinated VMs")
def step_pass(context, ms):
    context.run(context.world.run(ms))


@when("the endpoint restarts")
def step_again(context):
    world = context.world
    endpoint = replace(world.tree.endpoints[ENDPOINT], born_ms=7_000)
    world.tree = replace(world.tree, endpoints={ENDPOINT: endpoint})
    context.run(world.configure())


@then('"{first}" has used {some} slot and "{second}" {others}')
def step_used(context, first, some, second, others):
    used = {vm: len(request.dispatches) for vm, request in context.asked.items()}
    assert used == {first: COUNTS[some], second: COUNTS[others]}, used


@then('an answer {status:d} with "Retry-After: {value}" asks for {ms:d} ms, {read}')
def step_header(context, status, value, ms, read):
    del context
    header = (b"retry-after", value.encode())
    notice = PlatformDialect().read_notice(status, [header])
    assert notice.rest_ms == ms, notice
    assert bool(notice.rejected) == (read == "rejected"), notice
