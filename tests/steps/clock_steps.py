"""Steps of clock.feature; those on a desk are in coordination_desk_steps."""

from behave import given, then, when

from pomelolane.clock import ManualClock, SteadyClock


@given("a steady clock over one that is moved by hand")
def step_clock(context):
    context.manual = ManualClock(50.0)
    context.pauses = []
    context.steady = SteadyClock(context.manual, lambda: context.pauses.append(1))
    context.begun_ms = context.steady.now_ms()


@when(
    "that clock moves on by {one:d} ms, {two:d} ms and {three:d} ms with a reading each"
)
def step_move(context, one, two, three):
    for step_ms in (one, two, three):
        context.manual.advance(step_ms)
        context.now_ms = context.steady.now_ms()


@then("the steady clock has moved on by {ms:d} ms")
def step_moved(context, ms):
    assert context.now_ms - context.begun_ms == ms


@then("one pause was told")
def step_told(context):
    assert len(context.pauses) == 1
