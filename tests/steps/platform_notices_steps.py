"""Steps of tests/platform/notices.feature, against real VMs and stand-ins."""

import asyncio
import itertools
import json
import signal
import time
from collections import Counter

from behave import given, then, when

from tests.routed_world import caller_headers

SPAN_S = 4.0
STABLE_S = 3.0
"""Time from which on a limit binds."""

RESTED_FROM_S = 0.5
MOST_FACTOR = 1.5
MOST_BESIDE = 5


@when("callers ask the engines {per_s:d} times a second for {for_s:d} s")
def step_ask(context, per_s, for_s):
    context.statuses = Counter()
    context.asked_s = time.monotonic()
    context.for_s = for_s
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
        status = str(answer.status)
        if float(answer.headers.get("retry-after", 0)) > 0:
            status += " with a time"
        statuses[status] += 1
    except (OSError, TimeoutError):
        statuses["none"] += 1


def _later(context, after_s, act):
    async def wait():
        await asyncio.sleep(context.asked_s + after_s - time.monotonic())
        act()

    task = context.loop.create_task(wait())
    context.add_cleanup(task.cancel)


@when('"{name}" names a limit of {per_s:g} requests a second after {after_s:d} s')
def step_names(context, name, per_s, after_s):
    def act():
        context.world.endpoints[name].says["server-limit"] = f"{per_s:g}"
        context.named[name] = time.monotonic(), per_s

    _later(context, after_s, act)


@when('"{name}" names no limit any more after {after_s:d} s')
def step_names_none(context, name, after_s):
    def act():
        del context.world.endpoints[name].says["server-limit"]
        context.lifted[name] = time.monotonic()

    _later(context, after_s, act)


@given("another platform VM")
def step_another_vm(context):
    context.run(context.world.add_vm())


def _scheduler(context):
    """Return the VM that took the engines' role last."""
    return max(context.world.vms, key=_taken_ms)


def _taken_ms(vm):
    roles = [one for one in vm.events("scheduler_role") if one["service"] == "pool"]
    if not roles or roles[-1]["held"] not in (True, "true"):
        return 0
    return roles[-1]["t_ms"]


@when("the engines' scheduler is killed after {after_s:d} s")
def step_kill(context, after_s):
    _later(context, after_s, lambda: _scheduler(context).process.kill())


@when("the engines' scheduler is frozen from {from_s:d} s to {to_s:d} s")
def step_freeze(context, from_s, to_s):
    def freeze():
        vm = _scheduler(context)
        vm.signal(signal.SIGSTOP)
        _later(context, to_s, lambda: vm.signal(signal.SIGCONT))

    _later(context, from_s, freeze)


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
    assert set(context.statuses) == {"200"}, context.statuses


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


@then("each engine gets nearly what its limit allows it")
def step_used(context):
    for name, (named_s, per_s) in context.named.items():
        seen = context.world.endpoints[name].seen
        count = sum(one.at_s >= named_s + STABLE_S for one in seen)
        span_s = context.asked_s + context.for_s - named_s - STABLE_S
        assert count >= 0.75 * per_s * span_s, (name, count, span_s)


@then("each answer is 200, or 503 with a time to come back")
def step_refused(context):
    allowed = {"200", "503 with a time"}
    assert set(context.statuses) == allowed, context.statuses


@then('"{name}" gets more than {count:d} requests in the last {last_s:d} s')
def step_last(context, name, count, last_s):
    since_s = context.asked_s + context.for_s - last_s
    counts = {
        endpoint_id: sum(one.at_s >= since_s for one in endpoint.seen)
        for endpoint_id, endpoint in context.world.endpoints.items()
    }
    assert counts[name] > count, counts


@when('"{name}" says that it leaves after {after_s:d} s')
def step_leaves(context, name, after_s):
    def act():
        context.world.endpoints[name].says["server-leaving"] = "1"
        context.said_s = time.monotonic()

    _later(context, after_s, act)


@then('"{name}" gets nothing later than {within_s:d} s after its word')
def step_nothing(context, name, within_s):
    context.run(context.play)
    seen = context.world.endpoints[name].seen
    late = sum(one.at_s > context.said_s + within_s for one in seen)
    assert late == 0, late


@when(
    '"{name}" turns each {each:d}th request away for {rest_s:d} s of rest after '
    "{after_s:d} s"
)
def step_rests(context, name, each, rest_s, after_s):
    context.world.endpoints[name].turns_away_each = each
    context.rest_s = rest_s

    def act():
        context.world.endpoints[name].rest = str(rest_s)

    _later(context, after_s, act)


@then('"{name}" gets {most:d} requests at most from a VM while it rests')
def step_rested(context, name, most):
    context.run(context.play)
    seen = context.world.endpoints[name].seen
    assert any(one.turned_away for one in seen)
    for vm in range(len(context.world.vms)):
        own = [one for one in seen if _asked_vm(context, one) == vm]
        for asked in (one.at_s for one in own if one.turned_away):
            rest = asked + RESTED_FROM_S, asked + context.rest_s
            got = sum(rest[0] < one.at_s < rest[1] for one in own)
            assert got <= most, (vm, got)


def _asked_vm(context, seen):
    """Return the number of the VM that a request was sent to."""
    return int(seen.headers["request-id"][1:]) % len(context.world.vms)
