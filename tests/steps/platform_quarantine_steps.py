"""Steps of requests that end endpoints, against real VMs and stand-ins."""

import asyncio
import itertools
import time

from behave import given, then, when

from tests.routed_world import caller_headers

FATAL = b"ends the process"
PATH = "POST /help/a HTTP/1.1"
HARMLESS_EVERY_S = 0.05
ENDS = 3
"""Endpoints that may end under a request before it is kept from the others."""


@given("engines that end under such a request and are back after {down_s:d} s")
def step_fatal(context, down_s):
    world = context.world
    for endpoint in world.endpoints.values():
        endpoint.options.fatal = FATAL
    task = context.loop.create_task(world.keep_starting(down_s))
    context.add_cleanup(task.cancel)
    context.asked = itertools.count(1)
    context.harmless = []


@given("{count:d} platform VMs")
def step_vms(context, count):
    for _ in range(count):
        context.run(context.world.add_vm())


async def _ask(context, vm, body):
    headers = caller_headers(f"r{next(context.asked)}")
    try:
        return await vm.ask(PATH, headers, body)
    except (OSError, TimeoutError):
        return None


async def _ask_harmless(context, vm, body):
    at_s = time.monotonic()
    answer = await _ask(context, vm, body)
    served = answer is not None and answer.status == 200 and answer.is_whole
    context.harmless.append((at_s, served, answer))


@when(
    "such a request comes every {every_ms:d} ms at the VMs in turn for {for_s:d} s, "
    "beside harmless ones"
)
def step_comes(context, every_ms, for_s):
    async def fatal(until_s):
        for vm in itertools.cycle(context.world.vms):
            if time.monotonic() >= until_s:
                return
            asking.append(asyncio.ensure_future(_ask(context, vm, FATAL)))
            await asyncio.sleep(every_ms / 1000)

    async def harmless(until_s):
        for vm in itertools.cycle(context.world.vms):
            if time.monotonic() >= until_s:
                return
            body = b"question %d" % next(context.asked)
            asking.append(asyncio.ensure_future(_ask_harmless(context, vm, body)))
            await asyncio.sleep(HARMLESS_EVERY_S)

    async def play():
        until_s = time.monotonic() + for_s
        await asyncio.gather(fatal(until_s), harmless(until_s))
        await asyncio.gather(*asking)

    asking = []
    context.run(play())


@when("all VMs are killed and start again")
def step_restart(context):
    async def restart():
        for vm in context.world.vms:
            vm.process.kill()
        await asyncio.gather(*(vm.process.wait() for vm in context.world.vms))
        await asyncio.gather(*(vm.start() for vm in context.world.vms))
        await asyncio.gather(*(vm.ready() for vm in context.world.vms))

    context.run(restart())


def _fatal_sends(context):
    endpoints = context.world.endpoints.values()
    seen = [one for each in endpoints for one in each.seen if FATAL in one.body]
    return sorted(seen, key=lambda one: one.at_s)


def _third_end_s(context):
    ends = sorted(one.ended_s for one in _fatal_sends(context) if one.ended_s)
    assert len(ends) >= ENDS, "the request has not ended three endpoints"
    return ends[ENDS - 1]


@then(
    "it reached endpoints at most {most:d} times later than {s:d} s after its third end"
)
def step_at_most(context, most, s):
    from_s = _third_end_s(context) + s
    late = [one for one in _fatal_sends(context) if one.at_s > from_s]
    ended = sum(1 for one in _fatal_sends(context) if one.ended_s)
    assert len(late) <= most, f"{len(late)} times more; {ended} endpoints ended in all"


@then("harmless requests are served again from {s:d} s after its third end on")
def step_harmless(context, s):
    from_s = _third_end_s(context) + s
    later = [one for one in context.harmless if one[0] > from_s]
    failed = [answer and answer.data[:200] for _, served, answer in later if not served]
    assert later, "no harmless request came so late"
    assert not failed, f"{len(failed)} of {len(later)} not served: {failed[:3]}"
