"""Steps of tests/scheduler/load/refused_callers_return.feature."""

from dataclasses import replace

from behave import then, when

from bench.lab.plain import PlainKind, PlainLoad, play_plain_load
from pomelolane.scheduler.objective import make_objective_core

FROM_MS, UNTIL_MS = 2_000.0, 8_000.0
CALM_SHARE = 0.5
BURST_FACTOR = 1.6 / CALM_SHARE
WORK_SPREAD = 0.4
HASTY_SHARE = 0.1


def _served(calls):
    assert len(calls) >= 50, len(calls)
    return sum(call.state == "served" for call in calls) / len(calls)


def _new_served(calls):
    return sum(call.tries == 1 and call.state == "served" for call in calls) / len(
        calls
    )


def _returned(context, *, at_once):
    return [
        call
        for call in context.calls
        if call.tries == 2 and call.kind.repeats_at_once is at_once
    ]


def _play(load):
    calls = play_plain_load(load, make_objective_core).calls
    return [call for call in calls if FROM_MS <= call.at_ms < UNTIL_MS]


@when(
    "{endpoints:d} endpoints of {slots:d} slots that take {work_ms:d} ms get 1.6 times"
    " their capacity for 6 s"
)
def step_play(context, endpoints, slots, work_ms):
    per_s = CALM_SHARE * endpoints * slots * 1000 / work_ms
    patient = PlainKind("patient", 0, per_s * (1 - HASTY_SHARE), 400, 6_000)
    hasty = PlainKind("hasty", 0, per_s * HASTY_SHARE, 400, 6_000, repeats_at_once=True)
    load = PlainLoad(
        endpoints,
        slots,
        work_ms,
        (patient, hasty),
        ((FROM_MS, UNTIL_MS, BURST_FACTOR),),
        length_ms=UNTIL_MS + 6_000,
        work_spread=WORK_SPREAD,
        keeps_retry_times=True,
        has_fingerprints=True,
    )
    context.calls = _play(load)
    context.without = _play(replace(load, has_fingerprints=False))


@when("of two {kinds} one asks for {first:f} and one for {second:f} times the capacity")
def step_play_two(context, kinds, first, second):
    changes = {"rank": 1} if kinds == "ranks" else {"organisation": "other"}
    one = PlainKind("first", 0, first * 24_000 / 105, 400, 6_000)
    other = replace(one, name="second", per_s=second * 24_000 / 105, **changes)
    load = PlainLoad(6, 4, 105, (one, other), (), UNTIL_MS, work_spread=WORK_SPREAD)
    context.calls = _play(replace(load, keeps_retry_times=True, has_fingerprints=True))


@then("at least {served:f} of the first are served; the second reserves up to {most:f}")
def step_two(context, served, most):
    first = [call for call in context.calls if call.kind.name == "first"]
    assert _served(first) >= served, _served(first)
    second = [call for call in context.calls if call.kind.name == "second"]
    reserved = sum(call.reserved_ms for call in second) / (24 * (UNTIL_MS - FROM_MS))
    assert 0 < reserved <= most, reserved


@then("at least {share:f} of the callers that return are served")
def step_returned(context, share):
    served = _served(_returned(context, at_once=False))
    assert served >= share, served


@then("at least {share:f} of those with a reservation are served")
def step_reserved(context, share):
    returned = _returned(context, at_once=False)
    served = _served([call for call in returned if call.reserved_ms])
    assert any(call.is_reserved for call in returned)
    assert served >= share, served


@then("those who repeat at once are served no more often than new requests")
def step_hasty(context):
    served = _served(_returned(context, at_once=True))
    assert served <= _new_served(context.calls), served


@then("new requests are served at least half as often as without reservations")
def step_new(context):
    with_reservations, without = (
        _new_served(context.calls),
        _new_served(context.without),
    )
    assert with_reservations >= 0.5 * without, (with_reservations, without)
