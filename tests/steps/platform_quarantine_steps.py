"""Steps of requests that end endpoints, against real VMs and stand-ins."""

import asyncio
import itertools
import time

from behave import given, then, when

from standins.routed.endpoint import Fault
from tests.routed_world import caller_headers

FATAL = b"ends the process"
PATH = "POST /help/a HTTP/1.1"
HARMLESS_EVERY_S = 0.05
REASON = b"crashes_endpoints"
TWO = (FATAL + b" one", FATAL + b" two")
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
    """Ask as callers do, who repeat once what has failed, at any VM."""
    vms = context.world.vms
    for one in (vm, vms[(vms.index(vm) + 1) % len(vms)]):
        at_s = time.monotonic()
        answer = await _ask(context, one, body)
        served = answer is not None and answer.status == 200 and answer.is_whole
        context.harmless.append((at_s, served, answer))
        if served:
            return


async def _play(context, for_s, bodies, every_s):
    """Send the fatal bodies every so often, and harmless ones beside them."""
    until_s = time.monotonic() + for_s
    asking = []

    async def fatal(body):
        for vm in itertools.cycle(context.world.vms):
            if time.monotonic() >= until_s:
                return
            asking.append(asyncio.ensure_future(_ask(context, vm, body)))
            await asyncio.sleep(every_s)

    async def harmless():
        for vm in itertools.cycle(context.world.vms):
            if time.monotonic() >= until_s:
                return
            body = b"question %d" % next(context.asked)
            asking.append(asyncio.ensure_future(_ask_harmless(context, vm, body)))
            await asyncio.sleep(HARMLESS_EVERY_S)

    await asyncio.gather(harmless(), *(fatal(body) for body in bodies))
    await asyncio.gather(*asking)


@when(
    "such a request comes every {every_ms:d} ms at the VMs in turn for {for_s:d} s, "
    "beside harmless ones"
)
def step_comes(context, every_ms, for_s):
    context.run(_play(context, for_s, (FATAL,), every_ms / 1000))


@when("two such requests come every {every_ms:d} ms at the VMs in turn for {for_s:d} s")
def step_two(context, every_ms, for_s):
    context.run(_play(context, for_s, TWO, every_ms / 1000))


@when("harmless requests come for {for_s:d} s")
def step_harmless_come(context, for_s):
    context.run(_play(context, for_s, (), 0.0))


@given("engines that take {work_ms:d} ms to begin an answer")
def step_engine_work(context, work_ms):
    for endpoint in context.world.endpoints.values():
        endpoint.options.work_ms = work_ms


@given("engines whose connections stay open when they end")
def step_silent_end(context):
    for endpoint in context.world.endpoints.values():
        endpoint.options.ends_silently = True


@given('all engines do "{fault}"')
def step_engine_fault(context, fault):
    for name, endpoint in context.world.endpoints.items():
        if name.startswith("e"):
            endpoint.fault = Fault(fault)


@when("all VMs are killed and start again")
def step_restart(context):
    async def restart():
        for vm in context.world.vms:
            vm.process.kill()
        await asyncio.gather(*(vm.process.wait() for vm in context.world.vms))
        await asyncio.gather(*(vm.start() for vm in context.world.vms))
        await asyncio.gather(*(vm.ready() for vm in context.world.vms))

    context.run(restart())


def _fatal_sends(context, body=FATAL):
    endpoints = context.world.endpoints.values()
    seen = [one for each in endpoints for one in each.seen if body in one.body]
    return sorted(seen, key=lambda one: one.at_s)


def _third_end_s(context, body=FATAL):
    ends = sorted(one.ended_s for one in _fatal_sends(context, body) if one.ended_s)
    assert len(ends) >= ENDS, "the request has not ended three endpoints"
    return ends[ENDS - 1]


def _check_at_most(context, most, s, body):
    from_s = _third_end_s(context, body) + s
    sends = _fatal_sends(context, body)
    late = [one for one in sends if one.at_s > from_s]
    ended = sum(1 for one in sends if one.ended_s)
    print(f"{len(late)} times more; {ended} endpoints ended in all")
    assert len(late) <= most


@then(
    "it reached endpoints at most {most:d} times later than {s:d} s after its third end"
)
def step_at_most(context, most, s):
    _check_at_most(context, most, s, FATAL)


@then(
    "each reached endpoints at most {most:d} times later than {s:d} s after its "
    "third end"
)
def step_each_at_most(context, most, s):
    for body in TWO:
        _check_at_most(context, most, s, body)


@then("harmless requests are served again from {s:d} s after its third end on")
def step_harmless(context, s):
    from_s = _third_end_s(context) + s
    later = [one for one in context.harmless if one[0] > from_s]
    failed = [answer and answer.data[:200] for _, served, answer in later if not served]
    assert later, "no harmless request came so late"
    assert not failed, f"{len(failed)} of {len(later)} not served: {failed[:3]}"


def _quarantined(context):
    lines = [
        line for vm in context.world.vms for line in vm.events("request_quarantined")
    ]
    return {line["fingerprint"] for line in lines}


@then("the VMs blame one request only")
def step_one(context):
    assert len(_quarantined(context)) == 1, _quarantined(context)


@then("the VMs blame two requests only")
def step_two_only(context):
    assert len(_quarantined(context)) == 2, _quarantined(context)


@then("no harmless request was refused for its company")
def step_no_company(context):
    refused = [
        answer
        for _, _, answer in context.harmless
        if answer is not None and REASON in answer.body
    ]
    assert context.harmless
    assert not refused, [answer.data for answer in refused]


@then("the VMs blame nothing, and tell of no end")
def step_nothing(context):
    assert context.harmless
    assert not _quarantined(context)
    assert not any(vm.events("endpoint_crashed") for vm in context.world.vms)
