"""Steps of tests/scheduler/estimates.feature."""

from dataclasses import replace

from behave import given, then, when
from scheduler_driver import SERVICE, CoreDriver, make_handle

from pomelolane.model import Endpoint
from pomelolane.scheduler.objective.estimates import (
    EndpointEstimate,
    is_record_due,
    start_key,
)

ENDPOINT = Endpoint("e", SERVICE, "", "", version="1")
ESTIMATE = EndpointEstimate("e", 0, "1", 4.0, 40.0, 0.0, 9, 0.0, 6.0)


def _adopt(driver, *estimates):
    return driver.core.adopt_estimates(estimates, driver.now, "vm-1")


@given("a scheduler that knows {slowdown:g} {interval:g} {failures:g}")
def step_learnt(context, slowdown, interval, failures):
    context.core = CoreDriver([ENDPOINT], policy="objective")
    worker = context.core.core._fleet.find("e")
    worker.slowdown, worker.event_interval_ms = slowdown, interval
    worker.fail_share, worker.samples, worker.sampled_ms = failures, 9, context.core.now


@when("it goes through: {events}")
def step_events(context, events):
    for event in events.split(", "):
        driver = context.core
        match event.split():
            case ["wait", s]:
                driver.clock.advance(1000 * int(s))
            case ["declare", version]:
                driver.configure([replace(ENDPOINT, version=version)])
            case ["undeclare"]:
                driver.configure([])
            case ["replace", *undeclared]:
                endpoints = [] if undeclared else [ENDPOINT]
                context.core = CoreDriver(endpoints, policy="objective")
                _adopt(context.core, *driver.core.estimates(driver.now))


@then("it assumes {values}")
def step_assumes(context, values):
    worker = context.core.core._fleet.find("e")
    found = worker.slowdown, worker.event_interval_ms, worker.fail_share
    pairs = zip(found, map(float, values.split()), strict=True)
    assert all(abs(one - other) < 0.05 for one, other in pairs), found
    # Each adoption is reported once, also that of an endpoint that is declared later.
    adopted = context.core.core.adopted_estimates()
    assert set(context.core.core.take_new_adoptions()) == set(adopted)
    assert not context.core.core.take_new_adoptions()


@given("a scheduler that saw an answer 20 s ago, then a failed one, of start {start:g}")
def step_own(context, start):
    endpoint = replace(ENDPOINT, born_ms=int(start))
    context.core = CoreDriver([endpoint], policy="objective")
    for name, after_ms, event in (
        ("r", 20_000, {"ttft_ms": 30.0}),
        ("f", 0, {"finished": True, "outcome": "failed"}),
    ):
        context.core.submit(make_handle({"id": name}))
        context.core.event(name, **event)
        context.core.clock.advance(after_ms)


@then("it adopts {count:d} estimates that have {name} {value} and are 10 s old")
def step_newer(context, count, name, value):
    core = context.core.core
    endpoint = core._fleet.find("e").endpoint
    estimate = replace(ESTIMATE, born_ms=endpoint.born_ms, age_ms=10_000.0)
    kind = type(getattr(estimate, name))
    assert _adopt(context.core, replace(estimate, **{name: kind(value)})) == count
    # What it knows of its own endpoint is passed on if receivers can read it.
    keys = [start_key(one) for one in core.estimates(context.core.now)]
    assert keys == ([start_key(endpoint)] if endpoint.born_ms < 2**53 else [])


@then("it keeps {kept:d} of {sent:d} estimates, and tokens per event follow the newest")
def step_many(context, kept, sent):
    driver = context.core
    event_size = driver.core._fleet.event_size
    endpoints = [ENDPOINT]
    for name, age_ms, tokens in (("a", 9e3, 10.0), ("b", 0.0, 20.0), ("c", 5.0, 3.0)):
        estimate = replace(ESTIMATE, endpoint_id=name, age_ms=age_ms)
        endpoints.append(replace(ENDPOINT, endpoint_id=name))
        driver.configure(endpoints)
        assert _adopt(driver, replace(estimate, event_tokens=tokens)) == 1
    assert event_size.tokens == 20.0
    event_size.learn(60, 3)
    driver.clock.advance(1000)
    assert _adopt(driver, replace(ESTIMATE, endpoint_id="b", event_tokens=3.0)) == 1
    assert event_size.tokens == 20.0
    many = [replace(ESTIMATE, endpoint_id=f"x{n}", age_ms=2.0 * n) for n in range(sent)]
    _adopt(driver, *many)
    assert len(driver.core._fleet._estimates._received) == kept


@then("a request is granted, and after 1 failure the endpoint is not suspended")
def step_not_suspended(context):
    core = context.core
    assert core.core.status()["e"].fail_share == 1.0
    core.submit(make_handle({"id": "r"}))
    core.event("r", finished=True, outcome="failed")
    assert not core.core.status()["e"].suspended


@then("an estimate with {name} {value:g} is {due} {s:d} s after one with the usual")
def step_due(context, name, value, due, s):
    recorded = {start_key(ESTIMATE): ESTIMATE}
    now = replace(ESTIMATE, **{name: value})
    assert is_record_due([now], recorded, 1000 * s) == (due == "due")
