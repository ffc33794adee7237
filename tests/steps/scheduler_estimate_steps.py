"""Steps of tests/scheduler/estimates.feature."""

from dataclasses import replace

from behave import given, then, when
from scheduler_driver import SERVICE, CoreDriver, make_handle

from pomelolane.model import Endpoint
from pomelolane.scheduler.objective.estimates import EndpointEstimate, is_record_due

SOURCE = "vm-1"
ENDPOINT = Endpoint("e", SERVICE, "", "", version="1")
ESTIMATE = EndpointEstimate("e", 0, "1", 5.0, 40.0, 0.0, 9, 0.0)


def _core(context, *endpoints):
    context.core = CoreDriver(endpoints, policy="objective")
    return context.core


def _adopt(core, *estimates):
    return core.core.adopt_estimates(estimates, core.now, SOURCE)


def _worker(core):
    return core.core._fleet.find("e")


@given(
    "a scheduler with an estimate of slowdown {slowdown:g}, {interval:g} ms an event "
    "and {failures:g} failures"
)
def step_estimate(context, slowdown, interval, failures):
    core = _core(context, ENDPOINT)
    worker = _worker(core)
    worker.slowdown, worker.event_interval_ms = slowdown, interval
    worker.fail_share, worker.samples, worker.sampled_ms = failures, 9, core.now


@when("a new scheduler adopts it after {age_s:d} s")
@when("another one adopts it from there after {age_s:d} s")
def step_adopt(context, age_s):
    context.core.clock.advance(1000 * age_s)
    exported = context.core.core.estimates(context.core.now)
    new = _core(context, ENDPOINT)
    _adopt(new, *exported)


@when("a new scheduler without endpoints adopts it after 0 s")
def step_adopt_early(context):
    exported = context.core.core.estimates(context.core.now)
    assert _adopt(_core(context), *exported) == 0


@when("the endpoint is declared {later_s:d} s later")
def step_declare(context, later_s):
    context.core.clock.advance(1000 * later_s)
    context.core.configure([ENDPOINT])


@then('1 estimate of "{source}" counts as adopted')
def step_counted(context, source):
    assert context.core.core.adopted_estimates() == {source: 1}


@then(
    "it assumes slowdown {slowdown:g}, {interval:g} ms an event "
    "and {failures:g} failures"
)
def step_assumes(context, slowdown, interval, failures):
    worker = _worker(context.core)
    found = worker.slowdown, worker.event_interval_ms, worker.fail_share
    pairs = zip(found, (slowdown, interval, failures), strict=True)
    assert all(abs(one - other) < 0.05 for one, other in pairs), found


@given('an estimate of a start at {born_ms:d} with version "{version}"')
def step_start(context, born_ms, version):
    context.estimate = replace(ESTIMATE, born_ms=born_ms, version=version)
    context.used = []


@when('a scheduler whose endpoint was born at {born_ms:d} with version "1" adopts it')
@when("the same with an endpoint that states no start")
def step_adopt_start(context, born_ms=0):
    core = _core(context, replace(ENDPOINT, born_ms=born_ms))
    context.used.append("used" if _adopt(core, context.estimate) else "dropped")


@then("the estimate is {first} for the first and {second} for the second")
def step_used(context, first, second):
    assert context.used == [first, second], context.used


@given('a scheduler that saw an answer of "e" {own_s:d} s ago')
def step_own(context, own_s):
    core = _core(context, ENDPOINT)
    core.submit(make_handle({"id": "r"}))
    core.event("r", ttft_ms=30.0)
    core.clock.advance(1000 * own_s)


@when("it is sent an estimate whose newest sample is {sent_s:d} s old")
def step_sent(context, sent_s):
    context.adopted = _adopt(context.core, replace(ESTIMATE, age_ms=1000 * sent_s))


@then("it {keeps} its own")
def step_keeps(context, keeps):
    assert context.adopted == (0 if keeps == "keeps" else 1)


@then("a request is granted, and after 1 failure the endpoint is not suspended")
def step_not_suspended(context):
    core = context.core
    assert _worker(core).fail_share == 1.0
    core.submit(make_handle({"id": "r"}))
    core.event("r", finished=True, outcome="failed")
    assert not core.core.status()["e"].suspended


@given("a scheduler that is sent an estimate with {name} {value:g}")
def step_impossible(context, name, value):
    _adopt(_core(context, ENDPOINT), replace(ESTIMATE, **{name: value}))


@then("it keeps its starting values")
def step_starting(context):
    worker = _worker(context.core)
    assert (worker.slowdown, worker.event_interval_ms, worker.samples) == (1.0, 0.0, 0)


@given("a record of slowdown 4 and failures 0 written {elapsed_s:d} s ago")
def step_recorded(context, elapsed_s):
    context.recorded = replace(ESTIMATE, slowdown=4.0)
    context.elapsed_ms = 1000 * elapsed_s


@when("the scheduler's slowdown is {slowdown:g} and its failures are {failures:g}")
def step_now(context, slowdown, failures):
    estimate = replace(ESTIMATE, slowdown=slowdown, failure_ratio=failures)
    recorded = {"e": context.recorded}
    context.due = is_record_due([estimate], recorded, context.elapsed_ms)


@then("recording is {due}")
def step_due(context, due):
    assert context.due == (due == "due")
