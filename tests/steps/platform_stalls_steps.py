"""Steps of VMs that stand still while the store has news."""

import asyncio
import json
import signal
from collections import Counter

from behave import given, then, when

from tests.routed_world import caller_headers, configuration

REQUESTS = 10
SETTLE_S = 1.5


def _routes(prefix):
    """Return routes of which the first has this prefix."""
    plain, *others = json.loads(configuration())["routes"]
    return [plain | {"prefix": prefix}, *others]


async def _ask_stopped(vm, line, stopped_ms, asked_after_ms, change):
    """Stop a VM, change something, and return the answers to its callers."""
    vm.signal(signal.SIGSTOP)
    change()
    await asyncio.sleep(asked_after_ms / 1000)
    asking = [
        asyncio.create_task(vm.ask(f"{line} HTTP/1.1", caller_headers(f"r{number}")))
        for number in range(REQUESTS)
    ]
    await asyncio.sleep((stopped_ms - asked_after_ms) / 1000)
    vm.signal(signal.SIGCONT)
    return await asyncio.gather(*asking)


@given("a store that answers {delay_ms:d} ms later")
def step_delay(context, delay_ms):
    context.world.store.late_s = delay_ms / 1000


@given("{count:d} VMs that callers may ask")
def step_vms(context, count):
    async def start():
        for _ in range(count):
            await context.world.add_vm()

    context.run(start())


@when(
    "each round stops VM {number:d} for {stopped_ms:d} ms, moves a route at once, "
    "and callers ask it {after_ms:d} ms later"
)
def step_route_moves(context, number, stopped_ms, after_ms):
    world, vm = context.world, context.world.vms[number - 1]

    async def play_round(round_number):
        old, new = f"/p{round_number}/", f"/p{round_number + 1}/"
        world.configure(routes=_routes(old))
        await asyncio.sleep(SETTLE_S)

        def change():
            world.configure(routes=_routes(new))

        # Half of the rounds ask for the route that comes, half for the one that goes.
        prefix, due = (new, 200) if round_number % 2 else (old, 404)
        line = f"GET {prefix}a"
        answers = await _ask_stopped(vm, line, stopped_ms, after_ms, change)
        return [answer.status for answer in answers if answer.status != due]

    context.play_round = play_round


@when(
    'each round stops VM {number:d} for {stopped_ms:d} ms, "{name}" leaves at once, '
    "and callers ask it {after_ms:d} ms later"
)
def step_leaves(context, number, stopped_ms, name, after_ms):
    world, vm = context.world, context.world.vms[number - 1]

    async def play_round(round_number):
        endpoint = world.endpoints[name]
        await asyncio.sleep(SETTLE_S)
        seen = len(endpoint.seen)

        def change():
            world.store.delete("servers", name)

        line = "GET /plain/a"
        answers = await _ask_stopped(vm, line, stopped_ms, after_ms, change)
        world.register(name)
        assert Counter(answer.status for answer in answers) == {200: REQUESTS}
        return endpoint.seen[seen:]

    context.play_round = play_round


@then("in {count:d} rounds no answer is by an older configuration")
@then('in {count:d} rounds "p1" gets no request')
def step_nothing_old(context, count):
    async def play():
        return [await context.play_round(number) for number in range(count)]

    found = context.run(play())
    print(f"\n{found}")
    assert not any(found), found
