"""Steps of tests/http/connections.feature."""

from behave import given, then, when

from pomelolane.http.connections import CallerBounds, CallerConnections


class Caller:
    """A connection that drops its request as it is refused."""

    def __init__(self, registry, name, refused):
        self._registry = registry
        self._name = name
        self._refused = refused
        self.held_bytes = 0

    def receive(self, size, is_complete):
        self.held_bytes += size
        self._record(is_incomplete=not is_complete)

    def evict(self):
        self._refused.append(self._name)
        self.held_bytes = 0
        self._record(is_incomplete=False)

    def _record(self, is_incomplete):
        self._registry.update(
            self,
            self.held_bytes,
            is_evictable=is_incomplete,
            is_closable=is_incomplete,
        )


@given("callers whose {count:d} connections may take {size:d} bytes together")
def step_registry(context, count, size):
    context.registry = CallerConnections(CallerBounds(count, size))
    context.callers, context.refused, context.unconnected = {}, [], []


def _caller(context, name):
    if name not in context.callers:
        caller = Caller(context.registry, name, context.refused)
        context.callers[name] = caller
        if not context.registry.add(caller):
            context.unconnected.append(name)
    return context.callers[name]


@when('"{name}" sends {size:d} bytes of a request')
def step_part(context, name, size):
    _caller(context, name).receive(size, is_complete=False)


@when('"{name}" sends a request of {size:d} bytes')
def step_whole(context, name, size):
    _caller(context, name).receive(size, is_complete=True)


@when('"{name}" connects')
def step_connects(context, name):
    _caller(context, name)


@then('"{name}" has no connection')
def step_unconnected(context, name):
    assert context.unconnected == [name], context.unconnected


@when('"{name}" leaves')
def step_leaves(context, name):
    context.registry.remove(_caller(context, name))


@then('"{name}" is refused')
def step_refused(context, name):
    assert context.refused == [name], context.refused


@then("nobody is refused")
def step_none_refused(context):
    assert not context.refused, context.refused


@then("{size:d} bytes are held")
def step_held(context, size):
    assert context.registry.held_bytes == size, context.registry.held_bytes
