"""Steps of tests/proofs/shares.feature and reservations.feature, over real VMs."""

import asyncio
import random
from collections import Counter

from behave import given, then, when

from standins.routed.store import Trouble
from tests.load_world import (
    SEED,
    SETTLE_S,
    SLOT_S,
    USUAL_PER_S,
    LoadWorld,
    draw_arrivals,
)

STORE_BEFORE_S = 1.0
FEWEST_RETURNS = 50
"""A share of fewer callers says little, and with hints of long waits none come back."""


@given(
    "{vms:d} VMs under load before {engines:d} engines, and {count:d} organisations "
    "of one rank"
)
def step_world(context, vms, engines, count):
    keys = {f"org-{number}": f"key-{number}" for number in range(1, count + 1)}
    context.world = world = LoadWorld(keys)
    context.add_cleanup(lambda: context.run(world.aclose()))
    context.run(world.start())
    context.run(world.fill(vms, engines))


def _play(context, rates_per_s, for_s, **options):
    """Play the usual load for a while, then another one."""
    world = context.world
    draw = random.Random(SEED)
    usual = dict.fromkeys(world.keys, USUAL_PER_S / len(world.keys))
    arrivals = draw_arrivals(usual, 0.0, SETTLE_S, draw)
    arrivals += draw_arrivals(rates_per_s, SETTLE_S, SETTLE_S + for_s, draw)
    context.run(world.play(arrivals, **options))
    from_s = world.played.begun_s + SETTLE_S
    context.used = world.used_share(from_s, from_s + for_s)
    print(f"slots used: {context.used:.3f}")
    context.firsts = [
        one for one in world.played.firsts if one.arrival.at_s >= SETTLE_S
    ]


def _spike(context, factor, for_s, beside=None):
    world = context.world
    rates_per_s = dict.fromkeys(world.keys, USUAL_PER_S / len(world.keys))
    context.busy = next(iter(world.keys))
    rates_per_s[context.busy] *= factor
    _play(context, rates_per_s, for_s, beside=beside)


@when("one organisation asks for {factor:d} times its usual for {for_s:d} s")
def step_spike(context, factor, for_s):
    _spike(context, factor, for_s)


@when(
    "one organisation asks for {factor:d} times its usual for {for_s:d} s "
    "and VMs are killed in turn"
)
def step_spike_kills(context, factor, for_s):
    async def kill():
        await asyncio.sleep(SETTLE_S)
        await context.world.kill_in_turn(for_s)

    _spike(context, factor, for_s, kill)


@when(
    "one organisation asks for {factor:d} times its usual for {for_s:d} s "
    "and the store refuses from 1 s before"
)
def step_spike_store(context, factor, for_s):
    async def refuse():
        await asyncio.sleep(SETTLE_S - STORE_BEFORE_S)
        context.world.store.trouble = Trouble.BUSY

    _spike(context, factor, for_s, refuse)


@when(
    "all ask for {factor:f} times the capacity for {for_s:d} s "
    "and refused callers come back once"
)
def step_overload(context, factor, for_s):
    world = context.world
    per_s = factor * world.slots / SLOT_S
    rates_per_s = dict.fromkeys(world.keys, per_s / len(world.keys))
    _play(context, rates_per_s, for_s, returns=True)


def _check_served(attempts, least):
    statuses = Counter(one.status for one in attempts)
    share = statuses[200] / max(1, len(attempts))
    print(f"served: {share:.3f} of {len(attempts)}, statuses {dict(statuses)}")
    assert share >= least, (share, statuses)


def _others(context):
    return [one for one in context.firsts if one.arrival.organisation != context.busy]


@then("at least {least:f} of the others' requests are served")
def step_served(context, least):
    _check_served(_others(context), least)


@then(
    "at least {least:f} of the others' requests are served later than {s:d} s "
    "after a kill"
)
def step_served_kills(context, least, s):
    played = context.world.played
    counted = [one for one in _others(context) if not played.is_within_kill(one, s)]
    _check_served(counted, least)


@then("at least {least:f} of those that come back are served")
def step_returned(context, least):
    returned = context.world.played.returned
    first = Counter(one.status for one in context.firsts)
    print(f"first attempts: {dict(first)}, came back: {len(returned)}")
    assert len(returned) >= FEWEST_RETURNS, len(returned)
    _check_served(returned, least)


@then("at least {least:f} of the slots are used")
def step_used(context, least):
    assert context.used >= least, context.used
