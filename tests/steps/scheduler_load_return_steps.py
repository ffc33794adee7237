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


@then("at least {share:f} of the callers that return are served")
def step_returned(context, share):
    served = _served(_returned(context, at_once=False))
    assert served >= share, served


@then("at least {share:f} of those with a reservation are served")
def step_reserved(context, share):
    returned = _returned(context, at_once=False)
    served = _served([call for call in returned if call.reserved_ms])
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
