"""Steps of tests/scheduler/estimates.feature."""

from dataclasses import replace

from behave import given, then, when
from scheduler_driver import SERVICE, CoreDriver, make_handle

from pomelolane.model import Endpoint
from pomelolane.scheduler.objective.estimates import EndpointEstimate, is_record_due

ENDPOINT = Endpoint("e", SERVICE, "", "", version="1")
ESTIMATE = EndpointEstimate("e", 0, "1", 5.0, 40.0, 0.0, 9, 0.0)


def _core(context, *endpoints):
    context.core = CoreDriver(endpoints, policy="objective")
    return context.core


def _adopt(core, *estimates):
    return core.core.adopt_estimates(estimates, core.now, "vm-1")


@given("a scheduler that knows {slowdown:g}, {interval:g} ms and {failures:g}")
def step_learnt(context, slowdown, interval, failures):
    core = _core(context, ENDPOINT)
    worker = core.core._fleet.find("e")
    worker.slowdown, worker.event_interval_ms = slowdown, interval
    worker.fail_share, worker.samples, worker.sampled_ms = failures, 9, core.now


@when("a scheduler adopts it after {first_s:d} s, and another one {then_s:d} s later")
def step_adopt(context, first_s, then_s):
    for after_s in (first_s, then_s):
        context.core.clock.advance(1000 * after_s)
        exported = context.core.core.estimates(context.core.now)
        _adopt(_core(context, ENDPOINT), *exported)


@when("a scheduler adopts it, and its endpoint is declared {later_s:d} s later")
def step_declare(context, later_s):
    exported = context.core.core.estimates(context.core.now)
    assert _adopt(_core(context), *exported) == 0
    context.core.clock.advance(1000 * later_s)
    context.core.configure([ENDPOINT])
    assert context.core.core.adopted_estimates() == {"vm-1": 1}


@then("it assumes {slowdown:g}, {interval:g} ms and {failures:g}")
def step_assumes(context, slowdown, interval, failures):
    worker = context.core.core._fleet.find("e")
    found = worker.slowdown, worker.event_interval_ms, worker.fail_share
    pairs = zip(found, (slowdown, interval, failures), strict=True)
    assert all(abs(one - other) < 0.05 for one, other in pairs), found


@when("an estimate of start {born_ms:d}, version {version} is sent to both")
def step_send_start(context, born_ms, version):
    estimate = replace(ESTIMATE, born_ms=born_ms, version=version)
    context.adopters = [
        str(born)
        for born in (7, 0)
        if _adopt(_core(context, replace(ENDPOINT, born_ms=born)), estimate)
    ]


@then("it is adopted by {adopters}")
def step_adopters(context, adopters):
    assert " ".join(context.adopters or ["none"]) == adopters


@given("a scheduler that saw an answer {own_s:d} s ago")
def step_own(context, own_s):
    core = _core(context, ENDPOINT)
    core.submit(make_handle({"id": "r"}))
    core.event("r", ttft_ms=30.0)
    core.clock.advance(1000 * own_s)


@then("it adopts {count:d} estimates whose newest sample is {sent_s:d} s old")
def step_newer(context, count, sent_s):
    assert _adopt(context.core, replace(ESTIMATE, age_ms=1000 * sent_s)) == count


@then("it adopts {count:d} estimates with {name} {value:g}")
def step_impossible(context, count, name, value):
    assert _adopt(context.core, replace(ESTIMATE, **{name: value})) == count


@then("a request is granted, and after 1 failure the endpoint is not suspended")
def step_not_suspended(context):
    core = context.core
    assert core.core.status()["e"].fail_share == 1.0
    core.submit(make_handle({"id": "r"}))
    core.event("r", finished=True, outcome="failed")
    assert not core.core.status()["e"].suspended


@then("{slowdown:g} and {failures:g} are {due} {s:d} s after 4 and 0")
def step_due(context, slowdown, failures, due, s):
    now = replace(ESTIMATE, slowdown=slowdown, failure_ratio=failures)
    recorded = {"e": replace(ESTIMATE, slowdown=4.0)}
    assert is_record_due([now], recorded, 1000 * s) == (due == "due")
