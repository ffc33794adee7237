"""Steps of tests/forwarding/event_buffer.feature."""

from behave import given, then, when

from pomelolane.forwarding.event_buffer import EventBuffer, HeldEvents

_BEGIN = b"data: "
_END = b"\n\n"


@given("streams may hold back {each:d} bytes each, and {together:d} together")
def step_bounds(context, each, together):
    context.held_events = HeldEvents(each, together)
    context.buffers = {}
    context.received = {}


@when('the stream "{name}" gets the start of an event of {size:d} bytes')
def step_start(context, name, size):
    buffer = context.buffers[name] = EventBuffer(context.held_events)
    context.received[name] = _BEGIN + b"x" * (size - len(_BEGIN))
    assert not buffer.feed(context.received[name])


@when('the event of "{name}" ends')
def step_end(context, name):
    context.passed = context.buffers[name].feed(_END)


@when('the stream "{name}" is discarded')
def step_discard(context, name):
    context.buffers[name].discard()


@then("the streams hold back {size:d} bytes")
def step_held(context, size):
    assert context.held_events.held_bytes == size, context.held_events.held_bytes


@then('"{name}" has passed on the whole event')
def step_passed(context, name):
    assert context.passed == context.received[name] + _END, context.passed


@then('the streams that break are "{names}"')
@then('the streams that break are ""')
def step_too_long(context, names=""):
    found = [name for name, buffer in context.buffers.items() if buffer.is_too_long]
    assert ", ".join(found) == names, found
