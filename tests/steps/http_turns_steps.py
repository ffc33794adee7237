"""Steps of tests/http/turns.feature."""

import asyncio

from behave import given, then, when

from pomelolane.http.turns import ParserTurns


class Pending:
    """A connection with pieces that are not parsed yet."""

    def __init__(self, context, name, pieces, events):
        self._context = context
        self._name = name
        self._pieces = pieces
        self._events = events

    def parse_next(self):
        self._pieces -= 1
        self._context.parsed.append(self._name)
        self._context.turn_events[-1] += self._events
        self._context.turns.count(self._events, self._context.loop)
        return self._pieces > 0


@given('"{name}" has {pieces:d} pieces of {events:d} events each')
@given('"{name}" has {pieces:d} piece of {events:d} events')
def step_pending(context, name, pieces, events):
    if "pending" not in context:
        context.pending, context.parsed, context.turn_events = [], [], [0]
        context.turns = ParserTurns()
    context.pending.append(Pending(context, name, pieces, events))


@when("both wait for the parser's turns")
def step_wait(context):
    async def play():
        for connection in context.pending:
            context.turns.enqueue(connection, context.loop)
        while len(context.parsed) < 11:
            await asyncio.sleep(0)
            context.turn_events.append(0)

    context.run(asyncio.wait_for(play(), 10))


@then('"{name}" is done before the third piece of "{other}"')
def step_before(context, name, other):
    third = [i for i, one in enumerate(context.parsed) if one == other][2]
    assert context.parsed.index(name) < third, context.parsed


@then("no turn has over {most:d} events")
def step_turns(context, most):
    assert max(context.turn_events) <= most, context.turn_events
