"""Steps of tests/platform/notices.feature, against real VMs and stand-ins."""

import asyncio
import itertools
import json
import time
from collections import Counter

from behave import given, then, when

from tests.routed_world import caller_headers

SPAN_S = 4.0
STABLE_S = 3.0
"""Time from which on a limit binds."""

MOST_FACTOR = 1.5
MOST_BESIDE = 5


@when("callers ask the engines {per_s:d} times a second for {for_s:d} s")
def step_ask(context, per_s, for_s):
    context.statuses = Counter()
    context.asked_s = time.monotonic()
    context.named = {}
    context.lifted = {}

    async def play():
        vms = itertools.cycle(context.world.vms)
        asking = []
        for number in range(per_s * for_s):
            call = _ask(next(vms), number, context.statuses)
            asking.append(asyncio.ensure_future(call))
            await asyncio.sleep(1 / per_s)
        await asyncio.gather(*asking)

    context.play = context.loop.create_task(play())
    context.add_cleanup(context.play.cancel)


async def _ask(vm, number, statuses):
    headers = caller_headers(f"r{number}", token_usage="90,10")
    try:
        answer = await vm.ask("POST /chat/a HTTP/1.1", headers, b"")
        statuses[answer.status] += 1
    except (OSError, TimeoutError):
        statuses["none"] += 1


def _later(context, after_s, act):
    async def wait():
        await asyncio.sleep(after_s)
        act()

    task = context.loop.create_task(wait())
    context.add_cleanup(task.cancel)


@when('"{name}" names a limit of {per_s:g} requests a second after {after_s:d} s')
def step_names(context, name, per_s, after_s):
    def act():
        context.world.endpoints[name].says["server-limit"] = f"{per_s:g}"
        context.named[name] = time.monotonic(), per_s

    _later(context, after_s, act)


@then('"{name}" gets no more than its limit allows')
def step_bounded(context, name):
    context.run(context.play)
    named_s, per_s = context.named[name]
    until_s = context.lifted.get(name, time.monotonic())
    times_s = [one.at_s for one in context.world.endpoints[name].seen]
    binding = [at for at in times_s if named_s + STABLE_S <= at < until_s]
    held = [sum(at <= one < at + SPAN_S for one in binding) for at in binding]
    most = MOST_FACTOR * SPAN_S * per_s + MOST_BESIDE
    assert max(held, default=0) <= most, json.dumps({"held": max(held), "most": most})


@then("all requests are served")
def step_all_served(context):
    context.run(context.play)
    assert set(context.statuses) == {200}, context.statuses


@given('"{name}" says "{header}: {value}"')
def step_says(context, name, header, value):
    context.world.endpoints[name].says[header.lower()] = value


def _logged(context, event, name):
    return [
        [line for line in vm.events(event) if line["endpoint"] == name]
        for vm in context.world.vms
    ]


@then('a VM logs "{event}" of "{name}"')
def step_logs(context, event, name):
    assert any(_logged(context, event, name))


@then('each VM that logs "{event}" of "{name}" does so once')
def step_logs_once(context, event, name):
    counts = [len(lines) for lines in _logged(context, event, name)]
    assert max(counts) == 1, counts
