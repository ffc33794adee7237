"""Steps of tests/quarantine/starts.feature, beside those of sharing.feature."""

import asyncio

from behave import given, then, when

from pomelolane.clock import ManualClock, MonotonicClock
from pomelolane.endpoints import ConnectionPool
from pomelolane.model import Endpoint, Tree
from pomelolane.quarantine import CrashWatch
from pomelolane.tree import CurrentTree

REQUEST = "harmless"
FOUND_S = 0.5
"""Time in which reports are sent, written, read and judged."""


@given("nothing listens at an endpoint that does not state its start")
def step_endpoint(context):
    context.endpoint = Endpoint("e1", "pool", "hall-a", "127.0.0.1:1")
    context.tree = CurrentTree()
    context.tree.adopt(Tree(endpoints={"e1": context.endpoint}, versions={"b": 1}))


@when('"{name}" has "{request}" fail there at {at_s:f} s of its wall clock')
def step_fails(context, name, request, at_s):
    watch = CrashWatch(
        context.network.vms[name].quarantine,
        ConnectionPool(),
        context.tree,
        MonotonicClock(),
        ManualClock(1000 * at_s),
    )

    async def fail():
        await watch.begin(request, context.endpoint).broke()

    context.run(fail())


def _check_one(context, *names):
    async def settle():
        await asyncio.sleep(FOUND_S)

    context.run(settle())
    for name in names:
        quarantine = context.network.vms[name].quarantine
        assert len(quarantine) > 0, f"{name} has heard of no crash"
        assert not quarantine.is_suspect(REQUEST), f"{name} counts several crashes"


@then('one crash of it is known to "{one}" and "{other}"')
def step_one_crash(context, one, other):
    _check_one(context, one, other)


@then('one crash of it is known to "{name}"')
def step_one_crash_alone(context, name):
    _check_one(context, name)
