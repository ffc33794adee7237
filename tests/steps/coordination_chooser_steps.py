"""Steps of tests/coordination/chooser.feature."""

from behave import given, then, when

from pomelolane.clock import ManualClock
from pomelolane.coordination.chooser import Chooser
from pomelolane.ports import Peer
from tests.coordination.fakes import FakeMembership


def _see(context, count):
    names = [f"vm-{number}" for number in range(count)]
    context.membership.set({name: Peer(name, 1, "a", "") for name in names})


@given("a VM that sees {count:d} VMs for {for_s:d} s without calling its chooser")
def step_sees(context, count, for_s):
    context.clock = ManualClock()
    context.membership = FakeMembership()
    context.chooser = Chooser("vm-0", context.membership, context.clock)
    _see(context, count)
    context.clock.advance(for_s * 1000)


@when("it sees {count:d} of them")
def step_sees_some(context, count):
    _see(context, count)


@when("{for_s:d} s pass")
def step_time(context, for_s):
    context.clock.advance(for_s * 1000)


@then("its visible share of VMs is {part:f}")
def step_part(context, part):
    assert abs(context.chooser.visible_share() - part) < 0.001
