"""Steps of VMs that are cut off from endpoints."""

import asyncio
import time
from collections import Counter

from behave import given, then, when

from standins.routed.links import Cut
from tests.routed_world import caller_headers

LINES = ("GET /plain/a", "POST /plain/file/a", "POST /chat/a", "POST /help/a")
EVERY_S = 0.1


@given('a platform VM in "{data_centre}" with links of its own')
def step_vm_with_links(context, data_centre):
    context.cut_vm = context.run(context.world.add_vm_with_links(data_centre))


async def _ask(vm, number):
    line = LINES[number % len(LINES)]
    headers = caller_headers(f"q{number}")
    return await vm.ask(f"{line} HTTP/1.1", headers, b"abc")


async def _ask_often(context, count, every_s):
    """Send requests of all kinds at a steady pace and return their answers."""
    asking = []
    for _ in range(count):
        context.asked += 1
        asking.append(asyncio.ensure_future(_ask(context.cut_vm, context.asked)))
        await asyncio.sleep(every_s)
    return await asyncio.gather(*asking, return_exceptions=True)


@when(
    'its links are cut so that connections are "{how}", and {ms:d} ms pass with callers'
)
def step_cut(context, how, ms):
    context.asked = 0

    async def cut():
        await _ask_often(context, 10, EVERY_S)
        for link in context.world.links:
            await link.cut(Cut(how))
        early = _ask_often(context, int(ms / 1000 / EVERY_S), EVERY_S)
        context.early = asyncio.ensure_future(early)
        await asyncio.sleep(ms / 1000)

    context.run(cut())


@given("engines that take {ms:d} ms for each event")
def step_event_ms(context, ms):
    for endpoint in context.world.endpoints.values():
        endpoint.options.event_ms = ms


@given("the endpoints are gone but listed")
def step_gone(context):
    context.asked = 0
    context.early = context.run(_done())
    for endpoint in context.world.endpoints.values():
        context.run(endpoint.aclose())


async def _done():
    return asyncio.ensure_future(asyncio.sleep(0))


async def _ask_and(context, line, ms, change_links):
    """Send a request, change the links after a time, and keep the answer."""
    headers = caller_headers("q1")
    asking = asyncio.ensure_future(
        context.cut_vm.ask(f"{line} HTTP/1.1", headers, b"abc")
    )
    await asyncio.sleep(ms / 1000)
    await change_links(context.world.links)
    context.answer = await asking


@when('its links are cut so that connections are "{how}", {ms:d} ms after "{line}"')
def step_cut_after(context, how, ms, line):
    async def cut(links):
        for link in links:
            await link.cut(Cut(how))

    context.run(_ask_and(context, line, ms, cut))


@given("endpoints that take {ms:d} ms")
def step_work_ms(context, ms):
    for endpoint in context.world.endpoints.values():
        endpoint.options.work_ms = ms


@when('its links are silent for {for_ms:d} ms, {ms:d} ms after "{line}"')
def step_silent(context, for_ms, ms, line):
    async def silence(links):
        for link in links:
            await link.cut(Cut.SILENT)
        await asyncio.sleep(for_ms / 1000)
        for link in links:
            await link.heal(resets=False)

    context.run(_ask_and(context, line, ms, silence))


@when("its links are whole again, and {ms:d} ms pass")
def step_heal(context, ms):
    async def heal():
        for link in context.world.links:
            await link.heal()
        await asyncio.sleep(ms / 1000)

    context.run(heal())


@when("callers send {count:d} requests of all kinds to it within {s:d} s")
def step_ask(context, count, s):
    context.first_id = context.asked + 1
    started_s = time.monotonic()
    context.answers = context.run(_ask_often(context, count, s / count))
    context.took_ms = (time.monotonic() - started_s - s) * 1000
    context.run(context.early)


def _is_served(answer):
    if isinstance(answer, Exception):
        return False
    return answer.status == 200 and not answer.is_broken_off


@then("at least {share:f} of them are served")
def step_served(context, share):
    served = sum(map(_is_served, context.answers))
    ends = Counter(getattr(each, "status", repr(each)) for each in context.answers)
    assert served >= share * len(context.answers), (served, ends)


@then("no request that may not be repeated ran twice")
def step_once(context):
    runs = Counter(
        seen.headers["request-id"]
        for endpoint in context.world.endpoints.values()
        for seen in endpoint.seen
        if seen.ran and not seen.line.startswith(("GET", "POST /help/"))
    )
    assert all(count == 1 for count in runs.values()), runs.most_common(3)


@then("it has relayed none of them")
def step_not_relayed(context):
    relayed = {line["request"] for line in context.cut_vm.events("forward_relayed")}
    last = {f"q{number}" for number in range(context.first_id, context.asked + 1)}
    assert relayed, "nothing was relayed during the cut"
    assert not relayed & last, relayed & last


@then("none of them is served, and none was held for over {ms:d} ms")
def step_none_served(context, ms):
    statuses = Counter(answer.status for answer in context.answers)
    assert set(statuses) <= {502, 503, 504}, statuses
    assert context.took_ms <= ms, context.took_ms


@then("no VM takes an endpoint for crashed")
def step_no_crash(context):
    assert context.answer.is_broken_off, context.answer.data
    crashes = [
        line for vm in context.world.vms for line in vm.events("endpoint_crashed")
    ]
    assert not crashes, crashes
