"""Steps of tests/scheduler/versions.feature."""

from dataclasses import replace

import msgspec
from behave import given, when
from behave import then as then_step
from scheduler_driver import make_handle

RESUME_MS = 150
LONG_ANSWER_TOKENS = 600
LITTLE_TIME_MS = 4_000


def _of_version(context, version):
    return [one for one in context.core.endpoints if one.version == version]


def _bound(number, version, patience_ms=0, budget_ms=10_000, decode=10):
    row = {"id": f"bound{number}", "tier": 0, "budget_ms": budget_ms, "decode": decode}
    handle = make_handle(row, late_window_ms=budget_ms - RESUME_MS)
    return msgspec.structs.replace(handle, version=version, patience_ms=patience_ms)


@given('all slots of "{version}" are in use')
def step_in_use(context, version):
    others = [one for one in context.core.endpoints if one.version != version]
    excluded = tuple(one.endpoint_id for one in others)
    for one in _of_version(context, version):
        row = {"id": f"full-{one.endpoint_id}", "tier": 0, "decode": 500}
        handle = make_handle(row, objective_ms=1000)
        context.core.submit(msgspec.structs.replace(handle, excluded=excluded))
    assert len(context.core.running) == len(_of_version(context, version))


@when('{count:d} request bound to "{version}" arrives')
@when('{count:d} requests bound to "{version}" arrive')
def step_arrive(context, count, version):
    for number in range(count):
        context.core.submit(_bound(number, version))


@when('1 request bound to "{version}" whose caller stays for {ms:d} ms arrives')
def step_patient(context, version, ms):
    context.core.submit(_bound(0, version, patience_ms=ms))


@when('1 request bound to "{version}" with little time left arrives')
def step_little_time(context, version):
    handle = _bound(0, version, budget_ms=LITTLE_TIME_MS, decode=LONG_ANSWER_TOKENS)
    context.core.submit(handle)


@when('the endpoints of "{version}" leave, and {ms:d} ms pass')
def step_leave(context, version, ms):
    endpoints = [
        replace(one, leaving=one.version == version) for one in context.core.endpoints
    ]
    context.core.configure(endpoints)
    context.core.tick(ms)


@given('the endpoints of "{version}" take only streams of their version')
def step_only_resumed(context, version):
    endpoints = [
        replace(one, leaving=True, takes_resumed=True)
        if one.version == version
        else one
        for one in context.core.endpoints
    ]
    context.core.configure(endpoints)


@given('the endpoints of "{version}" are suspended')
def step_suspended(context, version):
    for number in range(2):
        for one in _of_version(context, version):
            name = f"bad{number}{one.endpoint_id}"
            others = [e for e in context.core.endpoints if e is not one]
            excluded = tuple(other.endpoint_id for other in others)
            handle = make_handle({"id": name}, objective_ms=60_000)
            context.core.submit(msgspec.structs.replace(handle, excluded=excluded))
            context.core.event(name, finished=True, outcome="failed")
    figures = context.core.core.status().endpoints
    assert all(figures[e.endpoint_id].suspended for e in _of_version(context, version))


@given('the endpoints of "{slow}" are slower than those of "{fast}"')
def step_slow(context, slow, fast):
    for number in range(40):
        for one in context.core.endpoints:
            name = f"warm{number}{one.endpoint_id}"
            others = [e for e in context.core.endpoints if e is not one]
            excluded = tuple(other.endpoint_id for other in others)
            handle = make_handle({"id": name, "decode": 60}, objective_ms=60_000)
            context.core.submit(msgspec.structs.replace(handle, excluded=excluded))
            interval_ms = 200.0 if one.version == slow else 2.0
            context.core.event(name, ttft_ms=10.0)
            context.core.event(name, tokens=10, elapsed_ms=interval_ms * 10)
            context.core.event(name, finished=True)


@then_step('"{name}" is granted on an endpoint of "{version}"')
def step_granted_version(context, name, version):
    ids = {one.endpoint_id for one in _of_version(context, version)}
    assert context.core.result(name).endpoint_id in ids
