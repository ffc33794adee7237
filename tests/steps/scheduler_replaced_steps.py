"""Steps of tests/scheduler/load/scheduler_replaced_beside_slow_endpoints.feature."""

import random
from dataclasses import replace
from itertools import chain

from behave import then, when
from scheduler_driver import make_handle

from bench.lab.day import Arrival, Day, EngineSpec, Kind
from bench.lab.play import DOWN_MS, play_day
from pomelolane.scheduler.objective import ObjectiveCore, ObjectiveOptions
from pomelolane.scheduler.objective.forecast import (
    FleetLatencyModel,
    SlotForecast,
    WaitForecast,
)
from pomelolane.scheduler.objective.worker import LatencyModel

REPLACED_MS = 10_000.0
RESUMED_MS = REPLACED_MS + DOWN_MS
SPEC = EngineSpec(4, 30, 3.0, 0.1, 55.0, 2048, 6, (1.0, 1.0, 4.4), 9)
KIND = Kind("chat", 0, 0, 6000, 0, 80, 0, 0, 400, 400, 6000, 2000, 1.0, 0.1)


def _day(seed):
    """Draw a day whose callers pause while the scheduler is replaced."""
    draw = random.Random(seed)
    arrivals, at_ms = [], 0.0
    while at_ms < RESUMED_MS + 1000:
        at_ms += draw.expovariate(0.025)
        if not REPLACED_MS - 1000 < at_ms < RESUMED_MS:
            arrival = Arrival(len(arrivals), at_ms, KIND, 6000, 80, 80, "east", False)
            arrivals.append(arrival)
    return Day(seed, SPEC, (KIND,), tuple(arrivals), (), (REPLACED_MS,), at_ms)


def _play(seed, adopts):
    """Return the attempts of the seconds before and after the scheduler is replaced."""
    cores = []

    def make(service):
        core = ObjectiveCore(service, ObjectiveOptions())
        if cores and adopts:
            core.adopt_estimates(cores[-1].estimates(REPLACED_MS), REPLACED_MS)
        cores.append(core)
        return core

    attempts = play_day(_day(seed), make).attempts
    assert len(cores) == 2
    return [
        [one.is_on_time for one in attempts if 0 <= one.arrival.at_ms - begin < 1000]
        for begin in (REPLACED_MS - 2000, RESUMED_MS)
    ]


@when("the scheduler is replaced in days 1 to 5, with and without its estimates")
def step_replace(context):
    context.lost = {}
    for adopts in (True, False):
        plays = [_play(seed, adopts) for seed in range(1, 6)]
        before, after = (list(chain(*parts)) for parts in zip(*plays, strict=True))
        context.lost[adopts] = sum(before) / len(before) - sum(after) / len(after)


@then("at most {share:f} fewer answers are on time with them, and more without them")
def step_kept(context, share):
    assert context.lost[True] <= share < context.lost[False], context.lost


@then("waits are within {share:f} of the need at slowdowns {slowdowns}, slots {slots}")
def step_forecast(context, share, slowdowns, slots):
    pairs = zip(map(float, slowdowns.split()), map(int, slots.split()), strict=True)
    models = [LatencyModel(25 * s, s / 55, 3.6 * s, n) for s, n in pairs]
    handle = make_handle({"id": "r", "prefill": 6000, "decode": 80})
    forecast = SlotForecast([0.0] * sum(model.slots for model in models))
    waits = WaitForecast(forecast, FleetLatencyModel(models), 0.0)
    for number in range(300):
        waits.append((0, number), handle)
    alone = [
        (m.slots, FleetLatencyModel([replace(m, slots=1)]).duration_ms(handle))
        for m in models
    ]
    needed_ms = 300 / sum(slots / duration for slots, duration in alone)
    found = waits.next_ms() / needed_ms
    assert abs(found - 1) <= share, found
