"""Steps of tests/scheduler/load: simulated overload of a plain service."""

from behave import then, when

from bench.lab.plain import PlainKind, PlainLoad, play_plain_load, share_on_time
from pomelolane.scheduler.objective import make_objective_core

BURST_FROM_MS = 2_000.0
CALM_MS = 4_000.0
WORK_SPREAD = 0.4
"""Two in three calls take from two thirds to one and a half times the median."""

KINDS = (
    PlainKind("checked", rank=0, per_s=30, objective_ms=385, limit_ms=4_200),
    PlainKind("quoted", rank=2, per_s=120, objective_ms=384, limit_ms=4_186),
    # Without an objective: due only when the caller disconnects.
    PlainKind("untimed", rank=3, per_s=12, objective_ms=950, limit_ms=950),
)


@when(
    "a plain service with {slots:d} slots per endpoint that takes {work_ms:d} ms"
    " is simulated"
)
def step_play(context, slots, work_ms):
    context.bursts = [_burst(row, slots, work_ms) for row in context.table]


@when(
    "a plain service with {slots:d} slots per endpoint is simulated"
    " whose calls take {work_ms:d} ms on average"
)
def step_play_unlike(context, slots, work_ms):
    context.bursts = [_burst(row, slots, work_ms, WORK_SPREAD) for row in context.table]


def _burst(row, slots, work_ms, work_spread=0.0):
    """Simulate a load burst; return its calls with their outcomes."""
    until_ms = BURST_FROM_MS + float(row["seconds"]) * 1000
    burst = (BURST_FROM_MS, until_ms, float(row["factor"]))
    endpoints = int(row["endpoints"])
    length_ms = until_ms + CALM_MS
    load = PlainLoad(
        endpoints, slots, work_ms, KINDS, (burst,), length_ms, 1, work_spread
    )
    calls = play_plain_load(load, make_objective_core).calls
    return [call for call in calls if BURST_FROM_MS <= call.at_ms < until_ms]


def _calls_by_burst(context, kind):
    return [[c for c in calls if c.kind.name == kind] for calls in context.bursts]


@then('each time at least {share:f} of its answers to "{kind}" are on time')
def step_on_time(context, share, kind):
    shares = [share_on_time(calls) for calls in _calls_by_burst(context, kind)]
    assert min(shares) >= share, shares


@then('each time at most {share:f} of the callers of "{kind}" disconnect')
def step_leave(context, share, kind):
    shares = [
        sum(call.state == "left" for call in calls) / len(calls)
        for calls in _calls_by_burst(context, kind)
    ]
    assert max(shares) <= share, shares
