"""Steps of the ends of server-sent events."""

from behave import then, when

from pomelolane.endpoints.boundary import EventBoundary


def _follow(data, size):
    """Return the boundary after all pieces, and the bytes before the last one."""
    boundary, passed = EventBoundary(), 0
    for start in range(0, len(data), size):
        between = boundary.feed(data[start : start + size])
        passed = start + between if between else passed
    return boundary, passed


@when('a stream of events sends "{text}" in pieces of every size')
def step_pieces(context, text):
    data = text.encode().decode("unicode_escape").encode()
    context.ends = [_follow(data, size) for size in range(1, len(data) + 1)]
    context.whole = data


@then("it is {place} each time, and {passed:d} bytes lie before the last such place")
def step_place(context, place, passed):
    places = {boundary.is_between_events for boundary, _ in context.ends}
    assert places == {place == "between events"}, places
    # The LF of a CR LF may come in a piece of its own, behind its event.
    allowed = {passed, passed - 1} if b"\r\n" in context.whole else {passed}
    assert {passed for _, passed in context.ends} <= allowed, context.ends
    assert context.ends[-1][1] == passed
