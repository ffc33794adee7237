"""Steps of tests/platform/limits.feature, against real VMs and stand-ins."""

import asyncio
import itertools
import json
from collections import Counter

from behave import given, then, when

from standins.routed.store import Trouble
from tests.routed_world import KEY, ORGANISATION, caller_headers

SPAN_S = 4
TOKENS = "token_count"
KILL_EVERY_S = 2.5


def _tenants(rate_per_s, burst, unit=TOKENS):
    tenant = {
        "name": ORGANISATION,
        "apiKeys": [KEY],
        "unit": unit,
        "plainTokens": 100,
        "ratePerS": rate_per_s,
        "burst": burst,
    }
    return [tenant]


@given("an organisation that may use {per_s:d} tokens a second and {burst:d} at once")
def step_limited(context, per_s, burst):
    _limit(context, per_s, burst, 1_000, TOKENS)


@given(
    "an organisation that may send {per_s:d} requests a second and {burst:d} at once"
)
def step_limited_requests(context, per_s, burst):
    _limit(context, per_s, burst, 10, "request_count")


def _limit(context, per_s, burst, slack, unit):
    context.limit = per_s, burst
    context.world.bounds = {
        "quotaWindowS": SPAN_S,
        "quotaOvershoot": 0.1,
        "quotaSlack": slack,
    }
    context.world.configure(tenants=_tenants(per_s, burst, unit))
    for endpoint in context.world.endpoints.values():
        endpoint.options.slots = 40


@when(
    "it asks {per_s:d} times a second for {tokens:d} tokens, half of them of each "
    "service, for {for_s:d} s"
)
def step_asks(context, per_s, tokens, for_s):
    context.tokens = tokens
    context.statuses = Counter()

    async def play():
        vms = itertools.cycle(context.world.vms)
        paths = itertools.cycle(("GET /plain/a", "POST /chat/a"))
        asking = []
        for number in range(per_s * for_s):
            path = f"{next(paths)} HTTP/1.1"
            call = _ask(next(vms), path, number, tokens, context.statuses)
            asking.append(asyncio.ensure_future(call))
            await asyncio.sleep(1 / per_s)
        await asyncio.gather(*asking)

    context.play = context.loop.create_task(play())
    context.add_cleanup(context.play.cancel)


async def _ask(vm, path, number, tokens, statuses):
    headers = caller_headers(f"r{number}", token_usage=f"{tokens - 10},10")
    try:
        answer = await vm.ask(path, headers, b"")
        statuses[answer.status] += 1
    except (OSError, TimeoutError):
        return


@when("its limit is halved and taken back each {each_ms:d} ms meanwhile")
def step_halved(context, each_ms):
    async def change():
        for turn in itertools.count():
            await asyncio.sleep(each_ms / 1000)
            part = 1 + turn % 2
            context.world.configure(
                tenants=_tenants(*(value * part // 2 for value in context.limit))
            )

    task = context.loop.create_task(change())
    context.add_cleanup(task.cancel)


@when("the VMs are killed and started again one after the other meanwhile")
def step_killed(context):
    async def kill():
        for vm in context.world.vms:
            await asyncio.sleep(KILL_EVERY_S)
            vm.process.kill()
            await vm.process.wait()
            await vm.start()

    task = context.loop.create_task(kill())
    context.add_cleanup(task.cancel)


@when("all VMs are killed and started again after {after_s:d} s")
def step_all_killed(context, after_s):
    async def kill():
        await asyncio.sleep(after_s)
        await context.world.restart_vms()

    task = context.loop.create_task(kill())
    context.add_cleanup(task.cancel)


def _schedules(vm, service):
    roles = [one for one in vm.events("scheduler_role") if one["service"] == service]
    return bool(roles) and roles[-1]["held"] in (True, "true")


@when("the store is away from {from_s:f} to {to_s:f} s as two schedulers are stopped")
def step_store_away(context, from_s, to_s):
    async def stop():
        await asyncio.sleep(from_s)
        context.world.store.trouble = Trouble.BUSY
        step_s = (to_s - from_s) / 4
        running = list(context.world.vms)
        for _ in range(2):
            await asyncio.sleep(step_s)
            vm = next(vm for vm in running if _schedules(vm, "pool"))
            running.remove(vm)
            vm.signal()
        await asyncio.sleep(2 * step_s)
        context.world.store.trouble = Trouble.NONE

    task = context.loop.create_task(stop())
    context.add_cleanup(task.cancel)


@then("none of its requests is answered with {status:d}")
def step_none(context, status):
    context.run(context.play)
    statuses = context.statuses
    assert statuses[200] > 0 and not statuses[status], statuses


@then("no {span_s:d} s hold more than {most:d} of its tokens")
def step_bounded(context, span_s, most):
    _check_held(context, span_s, most, context.tokens)


@then("no {span_s:d} s hold more than {most:d} of its requests")
def step_bounded_requests(context, span_s, most):
    _check_held(context, span_s, most, 1)


def _check_held(context, span_s, most, each):
    context.run(context.play)
    seen = [one for each in context.world.endpoints.values() for one in each.seen]
    times_s = sorted(one.at_s for one in seen)
    begun = [sum(at <= one < at + span_s for one in times_s) for at in times_s]
    held = max(begun) * each
    # An organisation that is refused everything keeps its limit, too.
    assert most / 2 <= held <= most, json.dumps({"held": held, "all": len(times_s)})
