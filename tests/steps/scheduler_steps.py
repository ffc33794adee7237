"""Steps of the scheduler's features: a core with a manual clock and no I/O."""

from dataclasses import replace

from behave import given, then, when
from scheduler_driver import (
    SERVICE,
    CoreDriver,
    alike_endpoints,
    endpoint_from_row,
    make_handle,
)

from pomelolane.messages import RunningHandle
from pomelolane.model import Endpoint, Limits, Organisation, ServiceKind
from pomelolane.outcomes import Outcome
from pomelolane.ports import CacheEvent, Grant, LoadReport

BLOCK_TOKENS = 256


@given("a core with the endpoints")
def step_core(context):
    context.core = CoreDriver([endpoint_from_row(row) for row in context.table])


@given("the core's slots are all taken by tier {tier:d}")
def step_full(context, tier):
    total = sum(endpoint.slots for endpoint in context.core.endpoints)
    for number in range(total):
        row = {"id": f"full-{number}", "tier": tier, "decode": 100, "prefill": 1}
        context.core.submit(make_handle(row))
    assert len(context.core.running) == total


@when("the core receives the requests")
def step_submit(context):
    for row in context.table:
        context.core.submit(make_handle(row))


@when('one request of the core ends on "{endpoint}"')
def step_end(context, endpoint):
    driver = context.core
    first = next(i for i, where in driver.running.items() if where == endpoint)
    driver.end(first)


@when('the request "{request_id}" is withdrawn from the core')
def step_withdrawn(context, request_id):
    context.core.forget(request_id)


@when('the core marks "{endpoint}" as leaving')
def step_leaving(context, endpoint):
    context.core.take(context.core.core.mark_leaving(endpoint, context.core.now))


@when('the core marks "{endpoint}" as returned')
def step_returned(context, endpoint):
    context.core.take(context.core.core.mark_returned(endpoint, context.core.now))


@when('the endpoint "{endpoint}" is declared as leaving')
def step_declared_leaving(context, endpoint):
    endpoints = [
        replace(e, leaving=e.endpoint_id == endpoint) for e in context.core.endpoints
    ]
    context.core.configure(endpoints)


@when('the core registers {number:d} requests that already run on "{endpoint}"')
def step_running(context, number, endpoint):
    for index in range(number):
        handle = make_handle({"id": f"old-{index}"})
        running = RunningHandle(handle, endpoint, 1, True)
        context.core.core.register_running(running, context.core.now)


@then('the core granted "{request_id}" on "{endpoint}"')
def step_granted(context, request_id, endpoint):
    result = context.core.result(request_id)
    assert isinstance(result, Grant), result
    assert result.endpoint_id == endpoint, result


@then('the core decided "{request_id}" {times:d} times')
def step_times(context, request_id, times):
    assert len(context.core.decisions.get(request_id, ())) == times


@then('the core has not decided "{request_id}"')
def step_undecided(context, request_id):
    assert request_id not in context.core.decisions, context.core.decisions


@given("a core with a queue of {limit:d} and the endpoints")
def step_core_queue(context, limit):
    endpoints = [endpoint_from_row(row) for row in context.table]
    context.core = CoreDriver(endpoints, queue_limit=limit)


@given("a core whose organisation is limited to {limit:d} {what}")
def step_core_limited(context, limit, what):
    fields = {
        "requests a second": "requests_per_s",
        "tokens a second": "tokens_per_s",
        "running requests": "concurrency",
    }
    limits = Limits(**{fields[what]: limit})
    organisation = Organisation("org", "team", "", limits=limits)
    endpoint = Endpoint("limited", SERVICE, "", "", slots=8)
    context.core = CoreDriver([endpoint], organisations=[organisation])


@when("the core receives {number:d} requests of tier {tier:d}")
def step_many(context, number, tier):
    for index in range(number):
        row = {"id": f"many-{index}", "tier": tier, "decode": 400}
        context.core.submit(make_handle(row))


@when("the core receives {number:d} requests that an earlier scheduler admitted")
def step_admitted_before(context, number):
    for index in range(number):
        context.core.submit(make_handle({"id": f"old-{index}"}, admitted=True))


@when('the endpoint "{endpoint}" is removed from the core\'s tree')
def step_removed(context, endpoint):
    rest = [e for e in context.core.endpoints if e.endpoint_id != endpoint]
    context.core.configure(rest)


@when("all endpoints are in the core's tree again")
def step_declared_again(context):
    context.core.configure(context.core.endpoints)


@when("{ms:d} ms pass for the core")
def step_pass(context, ms):
    context.core.tick(ms)


@when('the core\'s request "{request_id}" ends')
def step_one_end(context, request_id):
    context.core.end(request_id)


@when('an endpoint refuses the core\'s request "{request_id}"')
def step_cut_off(context, request_id):
    context.core.cut_off(request_id)


@when(
    'the core receives a load report of "{endpoint}" with {running:d} running and '
    "{waiting:d} waiting, {age_ms:d} ms old"
)
def step_report(context, endpoint, running, waiting, age_ms):
    report = LoadReport(endpoint, running, waiting, 0, age_ms)
    context.core.take(context.core.core.report_load(report, context.core.now))


@when("the core is limited to a share of {share:f} of the slots")
def step_share(context, share):
    context.core.take(context.core.core.limit_slots(share, context.core.now))


@given('the core has measured the usual speed of "{endpoint}"')
def step_measured_speed(context, endpoint):
    context.core.submit(make_handle({"id": "steady", "decode": 4000}))
    assert context.core.running["steady"] == endpoint
    context.core.event("steady", ttft_ms=20.0)
    declared = {e.endpoint_id: e for e in context.core.endpoints}[endpoint]
    for _ in range(40):
        context.core.tick(100)
        tokens = round(declared.decode_tokens_per_s / 10)
        context.core.progress(endpoint, tokens, 100.0)


@when('the core sees "{endpoint}" stream {factor:d} times slower for {ms:d} ms')
def step_slower(context, endpoint, factor, ms):
    declared = {e.endpoint_id: e for e in context.core.endpoints}[endpoint]
    context.slow = (endpoint, factor * 1000.0 / declared.decode_tokens_per_s)
    step_stay_slow(context, ms)


@when("the core's straggler stays slow for {ms:d} ms")
def step_stay_slow(context, ms):
    _, gap_ms = context.slow
    until = context.core.now + ms
    while context.core.now < until:
        context.core.tick(gap_ms)
        if "steady" in context.core.running:
            context.core.event("steady", tokens=1, elapsed_ms=gap_ms)


@given('the core has sent a prompt of {blocks:d} blocks to "{endpoint}"')
def step_sent(context, blocks, endpoint):
    other = {e.endpoint_id for e in context.core.endpoints} - {endpoint}
    context.core.submit(_prompt("first", blocks, 1, excluded=tuple(other)))
    assert context.core.running["first"] == endpoint
    context.core.end("first")


@when("the core receives a prompt with {which} {blocks:d} blocks")
def step_prompt(context, which, blocks):
    first = 1 if which == "the same" else 1_000
    context.core.submit(_prompt("again", blocks, first))


@when('the core receives eviction events of "{endpoint}" for the {blocks:d} blocks')
def step_evicted(context, endpoint, blocks):
    for number in range(blocks):
        event = CacheEvent(endpoint, number + 1, False, number + 1)
        context.core.core.report_cache(event, context.core.now)


@when('the core receives cache events of "{endpoint}" with {gaps:d} gaps')
def step_gaps(context, endpoint, gaps):
    for number in range(gaps + 1):
        event = CacheEvent(endpoint, 10 * number, True, 5_000 + number)
        context.core.core.report_cache(event, context.core.now)


@given("the core has served a burst of {number:d} short requests")
def step_burst(context, number):
    for index in range(number):
        row = {"id": f"check-{index}", "decode": 20, "prefill": 50, "budget_ms": 2000}
        context.core.submit(make_handle(row))
        context.core.tick(20)
        if f"check-{index}" in context.core.running:
            context.core.end(f"check-{index}")


@when("the core receives many long requests of tier {tier:d}")
def step_long(context, tier):
    for index in range(40):
        row = {"id": f"long-{index}", "tier": tier, "decode": 800, "prefill": 1}
        context.core.submit(make_handle({**row, "budget_ms": 600_000}))


@then("the core runs {number:d} requests of tier {tier:d}")
def step_runs(context, number, tier):
    step_runs_between(context, number, number, tier)


@then("the core runs from {low:d} to {high:d} requests of tier {tier:d}")
def step_runs_between(context, low, high, tier):
    handles = context.core.handles
    running = sum(handles[i].tier_rank == tier for i in context.core.running)
    assert low <= running <= high, running


@then('the core granted "{request_id}" at once')
def step_granted_at_once(context, request_id):
    assert isinstance(context.core.result(request_id), Grant)


@then("the core has granted {number:d} requests")
def step_granted_number(context, number):
    results = [r for found in context.core.decisions.values() for r in found]
    assert sum(isinstance(r, Grant) for r in results) == number


@then("the core has refused {number:d} requests")
def step_refused_number(context, number):
    results = [r for found in context.core.decisions.values() for r in found]
    assert sum(not result for result in results) == number, results


@then('the core refused "{request_id}" as "{reason}"')
def step_refused(context, request_id, reason):
    result = context.core.result(request_id)
    assert not result, result
    assert result.outcome is Outcome.NOT_RUN
    assert result.reason == reason, result


@then('the core\'s refusal of "{request_id}" gives a retry time')
def step_retry_time(context, request_id):
    assert context.core.result(request_id).retry_after_ms > 0


@then(
    'the core\'s refusal of "{request_id}" gives a retry time of {low:d} to {high:d} ms'
)
def step_retry_time_between(context, request_id, low, high):
    retry_ms = context.core.result(request_id).retry_after_ms
    assert low <= retry_ms <= high, retry_ms


@given('a core of the policy "{policy}" with {number:d} endpoints of {slots:d} slot')
@given('a core of the policy "{policy}" with {number:d} endpoints of {slots:d} slots')
def step_policy(context, policy, number, slots):
    context.core = CoreDriver(alike_endpoints(number, slots), policy=policy)


@given("a core of a plain service with {number:d} endpoints of {slots:d} slots")
def step_plain(context, number, slots):
    endpoints = alike_endpoints(number, slots)
    context.core = CoreDriver(endpoints, kind=ServiceKind.PLAIN)


@given(
    'the core has measured calls of {fast:d} ms on "{one}", {slow:d} ms on "{other}"'
)
def step_calls(context, fast, one, slow, other):
    driver = context.core
    times = {one: fast, other: slow}
    for index in range(16):
        excluded = (other,) if index % 2 else (one,)
        request_id = f"call-{index}"
        driver.submit(make_handle({"id": request_id}, excluded=excluded))
        where = driver.running[request_id]
        driver.tick(times[where])
        driver.event(request_id, ttft_ms=float(times[where]))
        driver.event(request_id, finished=True)


@then("the core granted {number:d} requests on each endpoint")
def step_each(context, number):
    granted = list(context.core.running.values())
    for endpoint in context.core.endpoints:
        assert granted.count(endpoint.endpoint_id) == number, granted


def _prompt(request_id, blocks, first, **fields):
    row = {"id": request_id, "prefill": blocks * BLOCK_TOKENS + 10, "decode": 5}
    hashes = tuple(range(first, first + blocks))
    return make_handle(row, prefix_hashes=hashes, **fields)
