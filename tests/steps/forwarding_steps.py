"""Steps of retry budgets, routes, slot requests and stopping forwarders."""

import math
from dataclasses import replace

from behave import given, then, when

from pomelolane.clock import ManualClock
from pomelolane.forwarding import (
    Forwarder,
    RetryAllowance,
    Route,
    RouteKind,
    RouteTable,
    RouteTarget,
    SharedRetryBudget,
)
from pomelolane.forwarding.call import CallState, ForwardCall
from pomelolane.forwarding.handles import handle_from_state
from pomelolane.forwarding.routes import service_from_route
from pomelolane.ports.forwarding import CallDescription
from pomelolane.quarantine import Quarantine
from pomelolane.resumption import StreamOrigin

STEP_MS = 100


@given(
    "{count:d} VMs with a retry ratio of {ratio:f} and a slack of {slack:d} in {s:d} s"
)
def step_vms(context, count, ratio, slack, s):
    context.clock = ManualClock()
    allowance = RetryAllowance(ratio, slack, s * 1000)
    context.budgets = [
        SharedRetryBudget(allowance, lambda: count, context.clock) for _ in range(count)
    ]


def _spend_all(context):
    return sum(1 for budget in context.budgets for _ in range(1000) if budget.spend())


@when("{s:d} s pass")
def step_pass(context, s):
    context.clock.advance(s * 1000)


@when("every VM spends its budget and sends {count:d} requests")
def step_earn(context, count):
    _spend_all(context)
    for budget in context.budgets:
        for _ in range(count):
            budget.earn()


@then("all VMs together may retry {count:d} times now")
def step_may(context, count):
    assert _spend_all(context) == count


@then("all VMs together retry {least:d} to {most:d} times in the next {s:d} s")
def step_window(context, least, most, s):
    spent = 0
    for _ in range(s * 1000 // STEP_MS):
        spent += _spend_all(context)
        context.clock.advance(STEP_MS)
    assert least <= spent <= most, spent


_TARGETS = (RouteTarget("s"),)


def _route(name, host="h", prefix="/", targets=_TARGETS):
    return Route(name, host, prefix, RouteKind.IDEMPOTENT, tuple(targets))


@given("the routes")
def step_routes(context):
    rows = [dict(row.items()) for row in context.table]
    context.routes = RouteTable(_route(**row) for row in rows)


@then('host "{host}" and path "{path}" match route "{name}"')
def step_lead(context, host, path, name):
    assert context.routes.find(host, path).name == name


@then('host "{host}" and path "{path}" match no route')
def step_nowhere(context, host, path):
    assert context.routes.find(host, path) is None


@given('a route split {one:d} to {other:d} between "{first}" and "{second}"')
def step_split(context, one, other, first, second):
    targets = [RouteTarget(first, one), RouteTarget(second, other)]
    context.route = _route("split", targets=targets)


@then('of {count:d} requests {least:d} to {most:d} go to "{service}"')
def step_of(context, count, least, most, service):
    drawn = [service_from_route(context.route, f"r{n}") for n in range(count)]
    assert least <= drawn.count(service) <= most, drawn.count(service)


@then("a request id goes to the same service each time")
def step_same(context):
    assert len({service_from_route(context.route, "r7") for _ in range(20)}) == 1


def _call():
    description = CallDescription("r", 0, 0, 0)
    return ForwardCall(
        local_id="local",
        description=description,
        route=_route("r"),
        service="s",
        organisation="o",
        rank=0,
        charge_tokens=10,
        method="GET",
        target=b"/",
        headers=(),
        body=b"",
        accepted_ms=0.0,
        limit_ms=1000,
        version=1,
        fingerprint="0123456789abcdef" * 2,
    )


@given("a request whose send {ended}")
def step_send_ended(context, ended):
    context.state = CallState(_call())
    context.before = handle_from_state(context.state, "", 0.0)
    context.state.grants = 1
    if "may have run" in ended:
        context.state.sends = 1
        context.state.may_have_run = True


@when("it asks for a slot again")
def step_asks_again(context):
    context.handle = handle_from_state(context.state, "", 0.0)
    assert context.handle.fingerprint == "0123456789abcdef"


@given('a request that resumes a stream of "{version}"')
def step_resumes(context, version):
    route = replace(_route("r"), kind=RouteKind.STREAMING, is_resumable=True)
    description = replace(_call().description, resume_after=b"3", resumes="first")
    call = replace(_call(), route=route, description=description)
    context.state = CallState(call, origin=StreamOrigin("s", version))


@when("it asks for a slot")
def step_asks(context):
    context.handle = handle_from_state(context.state, "", 0.0)


@then('it asks for endpoints of "{version}"')
def step_version(context, version):
    assert context.handle.version == version


@given("its answer has begun and sent its last event after {ms:d} ms")
def step_begun_and_sent(context, ms):
    call = context.state.call
    context.state.call = replace(call, route=replace(call.route, patience_ms=2000))
    context.state.answer_begun = True
    context.state.last_sent_ms = float(ms)


@when("it asks for a slot after {ms:d} ms")
def step_asks_after(context, ms):
    context.handle = handle_from_state(context.state, "", float(ms))


@then("it waits for {ms:d} ms at most")
def step_patience(context, ms):
    assert 0 < context.handle.patience_ms <= ms, context.handle.patience_ms


@then("it asks as attempt {attempt:d}")
def step_attempt(context, attempt):
    assert context.handle.attempt == attempt


@then("with a new request id")
def step_own_id(context):
    assert context.handle.request_id != context.before.request_id


@given("its answer has begun")
def step_begun(context):
    context.state.answer_begun = True


@then("it is due within {ms:d} ms")
def step_due(context, ms):
    assert 0 < context.handle.budget_ms - context.handle.late_window_ms <= ms


@then("it may not be refused early")
def step_not_early(context):
    assert context.handle.objective_ms == 0


@given("a forwarder that stops in {ms:d} ms")
def step_stopping(context, ms):
    clock = ManualClock()
    unused = None
    context.forwarder = Forwarder(
        unused,
        unused,
        unused,
        unused,
        unused,
        unused,
        Quarantine(clock),
        unused,
        clock,
        "",
        unused,
        unused,
        unused,
    )
    assert context.forwarder.can_accept(math.inf)
    context.forwarder.set_stop_time(clock.now_ms() + ms)


@then("a request with a time limit of {ms:d} ms is {result}")
def step_accepted(context, ms, result):
    assert context.forwarder.can_accept(ms) is (result == "accepted")
