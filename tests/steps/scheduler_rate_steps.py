"""Steps for announced rate limits, also for VMs that are cut off from each other."""

import math
from dataclasses import replace
from itertools import combinations, count

from behave import given, then, when
from scheduler_driver import make_handle

from pomelolane.messages import StreamEvent
from pomelolane.platform.dialect import PlatformDialect
from pomelolane.ports import Grant
from pomelolane.scheduler.objective.core import make_objective_core
from tests.coordination.world import World, ask

BORN_MS = 7_000


def _submit(context, name, budget_ms=60_000):
    row = {"id": name, "tier": 1, "budget_ms": budget_ms}
    context.core.submit(make_handle(row, objective_ms=budget_ms - 10_000))


def _grant_new_request(context, endpoint):
    """Submit a request and wait until it is granted on an endpoint."""
    context.numbers = getattr(context, "numbers", count())
    name = f"asked{next(context.numbers)}"
    _submit(context, name)
    for _ in range(500):
        if name in context.core.running:
            assert context.core.running[name] == endpoint
            return name
        context.core.tick(50)
    raise AssertionError(f"{name} was not granted")


def _answer(context, name, limit_per_s):
    context.core.event(name, ttft_ms=25.0, limit_per_s=limit_per_s)
    context.core.event(name, finished=True)


@when('an answer of "{endpoint}" announces a limit of {per_s:g} requests per second')
def step_announces_limit(context, endpoint, per_s):
    _answer(context, _grant_new_request(context, endpoint), per_s)


@when('an answer of "{endpoint}" announces no limit')
def step_announces_no_limit(context, endpoint):
    _answer(context, _grant_new_request(context, endpoint), math.inf)


@when('a request is granted on "{endpoint}"')
def step_grant_early(context, endpoint):
    context.early = _grant_new_request(context, endpoint)


@when("that request's answer announces no limit")
def step_answer_early(context):
    _answer(context, context.early, math.inf)


@when(
    "a gateway reports a limit of {per_s:g} requests per second "
    'from "{endpoint}", {age_ms:d} ms old'
)
def step_gateway_reports(context, endpoint, per_s, age_ms):
    now_ms = context.core.now
    context.core.core.hear_limit(endpoint, per_s, now_ms - age_ms, now_ms)


@when('the registry briefly loses "{endpoint}"')
def step_lost(context, endpoint):
    endpoints = context.core.endpoints
    context.core.configure([one for one in endpoints if one.endpoint_id != endpoint])
    context.core.tick(50)
    context.core.configure(endpoints)


@when('"{endpoint}" restarts')
def step_restarts(context, endpoint):
    endpoints = [replace(one, born_ms=BORN_MS) for one in context.core.endpoints]
    context.core.configure(endpoints)


@when('"{endpoint}" fails {times:d} times')
def step_fails(context, endpoint, times):
    for _ in range(times):
        name = _grant_new_request(context, endpoint)
        context.core.event(name, finished=True, outcome="failed")


@when("{number:d} requests wait for {span_ms:d} ms")
def step_wait(context, number, span_ms):
    context.asked = {f"wave{context.core.now}-{one}" for one in range(number)}
    for name in context.asked:
        _submit(context, name)
    until_ms = context.core.now + span_ms
    while context.core.now < until_ms:
        context.core.tick(50)
        for name in context.asked & context.core.running.keys():
            context.core.event(name, ttft_ms=25.0)
            context.core.event(name, finished=True)
    context.granted = sum(_is_granted(context, name) for name in context.asked)
    for name in context.asked:
        if name not in context.core.decisions:
            context.core.forget(name)


def _is_granted(context, name):
    decided = context.core.decisions.get(name, [None])
    return isinstance(decided[0], Grant)


@then('"{endpoint}" is granted {least:d} to {most:d} of them')
def step_granted(context, endpoint, least, most):
    assert least <= context.granted <= most, context.granted


@given("{number:d} VMs that know that an endpoint takes {per_s:g} requests a second")
def step_all_know(context, number, per_s):
    names = [f"a-{one}" for one in range(number)]
    world = context.world = World(
        names,
        {"a/1": 24},
        "objective",
        core=make_objective_core,
        known_vms=lambda: number,
    )
    context.run(world.configure())
    context.run(world.run(2_000))
    for _ in range(4):
        for name in names:
            ask(context, name)
    context.run(world.run(20))
    for name in names:
        _hear(context, name, per_s)
    context.run(world.run(50))


@when("none of them hears any other")
def step_all_isolated(context):
    world = context.world
    world.network.cuts |= {frozenset(pair) for pair in combinations(world.vms, 2)}


@given("the scheduler's successor has not heard of it")
def step_successor_unaware(context):
    holder = context.world.vms[context.world.scheduler()]
    context.successor = holder.coordination.successor("pool")
    client = context.world.vms[context.successor].coordination.client
    client.links()["pool"].limits.remove(["a/1"])


@when("the scheduler dies, and its successor is the last to see that")
def step_successor_late(context):
    world = context.world
    world.kill(world.scheduler())
    peers = {name: world.peers[name] for name in world.vms}
    for name in world.vms.keys() - {context.successor}:
        world.vms[name].membership.set(peers)
    for name in world.vms:
        ask(context, name)
    context.run(world.run(300))
    world.share_view()
    context.run(world.run(1_000))


@then("the successor keeps the endpoint's limit")
def step_successor_knows(context):
    service_queue = context.world.vms[
        context.successor
    ].coordination.role.service_queue("pool")
    assert service_queue.core.limited_endpoints() == {"a/1"}


def _hear(context, name, per_s):
    """Let a VM's gateway receive an answer that announces a limit."""
    request_id = next(
        request_id
        for request_id, request in context.world.requests.items()
        if request.gateway == name and "a/1" in request.dispatches
    )
    event = StreamEvent(request_id, "a/1", limit_per_s=per_s)

    async def observe():
        context.world.vms[name].coordination.client.observe(event)

    context.run(observe())


@when("each of them is asked for {number:d} requests in {span_ms:d} ms")
def step_each_asked(context, number, span_ms):
    world = context.world
    before = {*world.requests}
    for _ in range(number):
        for name in world.vms:
            ask(context, name, budget_ms=5_000)
        context.run(world.run(span_ms // number))
    context.later = [
        request for name, request in world.requests.items() if name not in before
    ]


@then("together they send {most:d} requests to it at most, and {least:d} at least")
def step_together(context, most, least):
    sent = sum("a/1" in request.dispatches for request in context.later)
    assert least <= sent <= most, sent


@then('an answer {status:d} with "Server-Limit: {value}" announces {limit}')
@then('an answer {status:d} with "Server-Limit: " announces {limit}')
def step_header(context, status, limit, value=""):
    del context
    headers = [(b"server-limit", value.encode())] if value else []
    notice = PlatformDialect().read_notice(status, headers)
    expected = {"no limit": math.inf, "nothing": None, "nothing readable": None}
    announced = expected[limit] if limit in expected else float(limit)
    assert notice.limit_per_s == announced, notice
    assert bool(notice.rejected) == (limit == "nothing readable"), notice
