"""Steps of tests/platform/rollouts.feature, against real VMs and stand-ins."""

import asyncio
import itertools
import json
import time

from behave import given, then, when

from standins.routed.endpoint import Flaw
from standins.routed.store import Trouble
from tests.routed_world import RoutedWorld, caller_headers

SERVICE = "pool"
PER_S = 90
DURATION_S = 12
SHARE = 0.1
SLACK = 20
BEFORE_S = 1.5
AFTER_S = 1.0
LEAVE_S = 2.0
LOOK_S = 0.05
ROLLBACK_S = 5.0
ENGINES = {"slots": 7, "work_ms": 30.0, "events": 8, "event_ms": 15.0}
PATHS = ("POST /chat/a", "POST /chat/a", "POST /help/a")
FLAWS = {
    "is good": None,
    "fails for half of its answers": Flaw(0.5),
    "fails on one route": Flaw(0.8, path="/help/"),
    "is slower by six times": Flaw(1.0, slower_by=6.0),
    "fails for half from 4 s on": Flaw(0.5, after_s=4.0 + BEFORE_S),
    "fails for half where it is busy": Flaw(0.5, busy=0.5),
}


@given("six old and six new engines of one service")
def step_engines(context):
    context.world = world = context.run(RoutedWorld().start())
    context.add_cleanup(lambda: context.run(world.aclose()))
    world.bounds = {"exposureShare": SHARE, "exposureSlack": SLACK}
    for number in range(6):
        _add(context, f"old{number}", "v1")
        _add(context, f"new{number}", "v2")
    context.flaw = None
    context.version = "v2"


def _add(context, name, version):
    context.run(context.world.add_endpoint(name, SERVICE, version=version, **ENGINES))


@given("the new version {flaw}")
def step_flaw(context, flaw):
    context.flaw = FLAWS[flaw]


@given("both versions fail for a seventh of their answers")
def step_both(context):
    for endpoint in context.world.endpoints.values():
        endpoint.options.flaw = Flaw(1 / 7)


@when("the new version is ordered")
def step_ordered(context):
    for endpoint in context.world.endpoints.values():
        if endpoint.options.version == "v2" and context.flaw is not None:
            endpoint.options.flaw = context.flaw
            endpoint.restart_clock()
    _begin(context)


@when("a good version follows")
def step_follows(context):
    for number in range(6):
        _add(context, f"next{number}", "v3")
    context.version = "v3"
    _begin(context)


@when("an order is written that cannot be read")
def step_broken(context):
    context.world.store.put("op", "rollout/portal", b'{"service": 7}')
    context.world.store.put("op", "rollout/", b"{")


def _begin(context):
    context.statuses = []
    context.ended = None
    context.play = context.loop.create_task(_play(context))
    context.add_cleanup(context.play.cancel)


async def _play(context):
    asking = context.loop.create_task(_ask_all(context))
    await asyncio.sleep(BEFORE_S)
    order = {"service": SERVICE, "to": context.version, "durationS": DURATION_S}
    context.ordered_s = time.monotonic()
    context.world.store.put("op", f"rollout/{SERVICE}", json.dumps(order).encode())
    await _operate(context)
    await asking


async def _ask_all(context):
    """Ask from before the order until a moment after its time."""
    paths = itertools.cycle(PATHS)
    asking = []
    for number in range(int(PER_S * (BEFORE_S + DURATION_S + AFTER_S))):
        vm = context.world.vms[number % len(context.world.vms)]
        asking.append(context.loop.create_task(_ask(context, vm, next(paths), number)))
        await asyncio.sleep(1 / PER_S)
    await asyncio.gather(*asking)


async def _ask(context, vm, path, number):
    headers = caller_headers(
        f"{context.version}-{number}", token_usage="90,72", length_hint="72"
    )
    try:
        answer = await vm.ask(f"{path} HTTP/1.1", headers, b"{}")
    except (OSError, TimeoutError):
        context.statuses.append(0)
    else:
        context.statuses.append(answer.status if answer.is_whole else 0)


async def _operate(context):
    """Do what the operator does as soon as an order has ended, or its time has."""
    state = ""
    while time.monotonic() < context.ordered_s + DURATION_S:
        state = _state(context)
        if state in ("completed", "rolled_back"):
            break
        await asyncio.sleep(LOOK_S)
    context.state = state
    ends = [one for one in context.world.endpoints.values() if _ends(context, one)]
    if state == "completed":
        for endpoint in ends:
            await endpoint.aclose()
            context.world.store.delete("servers", endpoint.endpoint_id)
    elif state == "rolled_back":
        await asyncio.sleep(LEAVE_S)
        for endpoint in ends:
            context.world.register(endpoint.endpoint_id, "draining")


def _state(context):
    told = context.world.store.value("status", f"rollout/{SERVICE}")
    if not told:
        return ""
    status = json.loads(told)
    return status["state"] if status["to"] == context.version else ""


def _ends(context, endpoint):
    is_new = endpoint.options.version == context.version
    return is_new == (context.state == "rolled_back")


@when("all VMs are killed after {after_s:d} s and started again")
def step_killed(context, after_s):
    async def kill():
        await asyncio.sleep(BEFORE_S + after_s)
        await context.world.restart_vms()

    task = context.loop.create_task(kill())
    context.add_cleanup(task.cancel)


@when("the store is away from {from_s:d} to {to_s:d} s of it")
def step_away(context, from_s, to_s):
    async def refuse():
        await asyncio.sleep(BEFORE_S + from_s)
        context.world.store.trouble = Trouble.BUSY
        await asyncio.sleep(to_s - from_s)
        context.world.store.trouble = Trouble.NONE

    task = context.loop.create_task(refuse())
    context.add_cleanup(task.cancel)


@then("the order is {state} within {within_s:d} s")
def step_state(context, state, within_s):
    context.run(context.play)
    phases = [one for vm in context.world.vms for one in vm.events("rollout_phase")]
    assert context.state == state, (context.state, _figures(context), phases)


def _seen(context, version):
    endpoints = context.world.endpoints.values()
    new = [one for one in endpoints if one.options.version == version]
    return sorted(
        (
            seen
            for one in new
            for seen in one.seen
            if context.ordered_s <= seen.at_s <= context.ordered_s + DURATION_S
        ),
        key=lambda seen: seen.at_s,
    )


def _figures(context):
    """Return requests in the order's time, the new version's, and its bad ones."""
    arrived = sum(len(_seen(context, version)) for version in ("v1", "v2", "v3"))
    seen = _seen(context, context.version)
    return arrived, len(seen), sum(1 for one in seen if one.bad_s)


@then("the new engines got a tenth of the requests and 20 more at most")
def step_exposed(context):
    arrived, exposed, _ = _figures(context)
    assert exposed <= SHARE * arrived + SLACK, (exposed, arrived)


@then("the new engines got a tenth of the requests and 20 more at most, or all is well")
def step_exposed_if_bad(context):
    if context.flaw is not None:
        step_exposed(context)


@then("they got nothing later than 5 s after their 50th bad answer")
def step_late(context):
    seen = _seen(context, context.version)
    bad = sorted(one.bad_s for one in seen if one.bad_s)
    if len(bad) >= 50:
        late = [one for one in seen if one.at_s > bad[49] + ROLLBACK_S]
        assert not late, len(late)


@then("{least:f} of the requests are answered")
def step_answered(context, least):
    good = sum(200 <= status < 300 for status in context.statuses)
    assert good >= least * len(context.statuses), (good, len(context.statuses))


@then("the VMs tell of a row that is rejected")
def step_rejected(context):
    for vm in context.world.vms:
        rows = {one["row"] for one in vm.events("rollout_rejected")}
        assert "rollout/portal" in rows, rows
