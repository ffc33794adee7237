"""Steps of endpoints that fall over when they turn away too many requests."""

import asyncio

from behave import given, then, when

from tests.routed_world import RoutedWorld, caller_headers

WORK_MS = 100
SLOTS = 4
EVENT_AFTER_S = 2.0
RESTART_EVERY_S = 1.0


@given(
    "a platform with {count:d} brittle endpoints that may turn away {limit:d} requests "
    "a second"
)
def step_platform(context, count, limit):
    context.world = world = context.run(RoutedWorld().start())
    context.add_cleanup(lambda: context.run(world.aclose()))
    world.configure(tenants=[])
    for number in range(count):
        adding = world.add_endpoint(
            f"p{number}",
            "portal",
            work_ms=WORK_MS,
            slots=SLOTS,
            queue=SLOTS,
            brittle_limit=limit,
        )
        context.run(adding)
    context.room_per_s = count * SLOTS * 1000 / WORK_MS


async def _nothing(world):
    del world


async def _kill_each(world):
    for vm in world.vms:
        vm.process.kill()
        await vm.process.wait()
        await vm.start()
        await asyncio.sleep(RESTART_EVERY_S)


async def _let_none_wait(world):
    for endpoint in world.endpoints.values():
        endpoint.options.queue = 0


async def _halve_room(world):
    for endpoint in world.endpoints.values():
        endpoint.halve_room()


EVENTS = {
    "nothing happens": _nothing,
    "each VM is killed once": _kill_each,
    "no request may wait": _let_none_wait,
    "half of their room is gone": _halve_room,
}


@when("callers ask for twice the room for {s:d} s while {event}")
def step_overload(context, s, event):
    async def ask(number):
        vm = context.world.vms[number % len(context.world.vms)]
        try:
            return await vm.ask("GET /plain/a HTTP/1.1", caller_headers(f"q{number}"))
        except OSError:
            return None

    async def play():
        loop = asyncio.get_running_loop()
        began_s = loop.time()
        happening = None
        asking = []
        while (passed_s := loop.time() - began_s) < s:
            if happening is None and passed_s >= EVENT_AFTER_S:
                happening = asyncio.ensure_future(EVENTS[event](context.world))
            while len(asking) < 2 * context.room_per_s * passed_s:
                asking.append(asyncio.ensure_future(ask(len(asking))))
            await asyncio.sleep(0.01)
        await happening
        return await asyncio.gather(*asking)

    context.answers = context.run(play())


@then("the endpoints have fallen over {count:d} times at most")
def step_falls(context, count):
    endpoints = context.world.endpoints.values()
    served = sum(1 for each in context.answers if each and each.status == 200)
    falls = sum(endpoint.falls for endpoint in endpoints)
    refused = sum(not seen.ran for each in endpoints for seen in each.seen)
    seen = sum(len(endpoint.seen) for endpoint in endpoints)
    print(f"{falls} falls, {refused} of {seen} turned away, {served} served")
    assert served > 0
    assert falls <= count, (falls, refused, seen, served)
