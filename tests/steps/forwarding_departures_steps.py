"""Steps of tests/forwarding/departures.feature."""

from behave import given, then, when

from pomelolane.clock import ManualClock
from pomelolane.forwarding.departures import AnnouncedDepartures
from pomelolane.forwarding.endpoints import EndpointDirectory, instance_id_of
from pomelolane.model import Endpoint
from pomelolane.platform.dialect import PlatformDialect

NOTICES = {
    "leaving": (True, ()),
    "staying": (False, ()),
}


class SharedMarks:
    """Leaving marks that reach all VMs at once."""

    def __init__(self):
        self.own = set()
        self.notified = []
        self._callbacks = []

    def mark_leaving(self, instance_id, source):
        self.own.add(instance_id)
        self.notified.append(instance_id)
        for callback in self._callbacks:
            callback(instance_id, source)

    def clear_leaving(self, instance_id):
        self.own.discard(instance_id)

    def on_leaving(self, callback):
        self._callbacks.append(callback)


def _endpoint(name, born_ms, *, leaving=False):
    return Endpoint(
        name, "pool", "hall", "127.0.0.1:1", born_ms=born_ms, leaving=leaving
    )


@given('two VMs that know the endpoint "{name}", started at {born_ms:d}')
def step_vms(context, name, born_ms):
    context.marks = SharedMarks()
    clock = ManualClock()
    context.vms = {}
    for vm in ("first", "second"):
        directory = EndpointDirectory(clock)
        context.vms[vm] = directory, AnnouncedDepartures(directory, context.marks)
    _list(context, {name: _endpoint(name, born_ms)})


def _list(context, endpoints):
    for directory, _ in context.vms.values():
        directory.replace(dict(endpoints), 1)


@when('"{name}" announces to the {vm} VM that it is leaving')
def step_announces(context, vm, name):
    directory, departures = context.vms[vm]
    endpoint = directory.all[name]
    departures.announce(endpoint)
    departures.announce(endpoint)


@when('the {vm} VM is notified that "{name}", started at {born_ms:d}, is leaving')
def step_notified(context, vm, name, born_ms):
    del vm
    context.marks.mark_leaving(instance_id_of(_endpoint(name, born_ms)), "another")


@when("the registry lists nothing")
def step_lists_nothing(context):
    _list(context, {})


@when('the registry lists "{name}", started at {born_ms:d}')
def step_lists(context, name, born_ms):
    _list(context, {name: _endpoint(name, born_ms)})


@when('the registry lists "{name}", started at {born_ms:d}, as leaving')
def step_lists_leaving(context, name, born_ms):
    _list(context, {name: _endpoint(name, born_ms, leaving=True)})


@then('the {vm} VM sends no requests to "{name}"')
def step_unusable(context, name, vm):
    assert context.vms[vm][0].usable(name) is None


@then('the {vm} VM sends requests to "{name}"')
def step_usable(context, name, vm):
    assert context.vms[vm][0].usable(name) is not None


@then("the VMs were notified once")
def step_once(context):
    assert len(context.marks.notified) == 1, context.marks.notified


@then("no VM keeps a mark of its own")
def step_no_own_mark(context):
    assert not context.marks.own


@then('an answer with "Server-Leaving: {value}" is read as {result}')
def step_read_as(context, value, result):
    del context
    header = (b"server-leaving", value.encode())
    notice = PlatformDialect().read_notice(200, [header])
    invalid = (False, (("server-leaving", value),))
    assert (notice.is_leaving, notice.rejected) == NOTICES.get(result, invalid)
