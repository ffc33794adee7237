"""Steps of endpoints that fall silent for about a second."""

import asyncio

from behave import given

from bench.processes import wait_until
from tests.routed_world import RoutedWorld, caller_headers

TAKEN_WITHIN_S = 5.0
HELD_MS = 2900


@given(
    'a platform whose endpoint "{name}" of "{service}" has one slot, taken by "{line}"'
)
def step_taken(context, name, service, line):
    context.world = world = context.run(RoutedWorld().start())
    context.add_cleanup(lambda: context.run(world.aclose()))
    context.asked = 0

    async def take():
        endpoint = await world.add_endpoint(name, service, slots=1, work_ms=HELD_MS)
        context.vm = await world.add_vm()
        asking = context.vm.ask(f"{line} HTTP/1.1", caller_headers("first"))
        context.asking = asyncio.ensure_future(asking)
        await wait_until(lambda: endpoint.seen, TAKEN_WITHIN_S, "the slot is free")

    context.run(take())


@given('the endpoint "{name}" pauses for {ms:d} ms inside its streams')
def step_pauses(context, name, ms):
    context.world.endpoints[name].options.pause_ms = ms
