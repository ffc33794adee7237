"""Steps of tests/forwarding/departures.feature."""

from behave import given, then, when

from pomelolane.clock import ManualClock
from pomelolane.forwarding.departures import AnnouncedDepartures
from pomelolane.forwarding.endpoints import EndpointDirectory, instance_id_of
from pomelolane.model import Endpoint
from pomelolane.platform.dialect import PlatformDialect

WORDS = {
    "that it leaves": (True, ()),
    "nothing": (False, ()),
}


class SharedMarks:
    """Marks that reach all VMs at once."""

    def __init__(self):
        self.own = set()
        self.told = []
        self._callbacks = []

    def mark_leaving(self, start, source):
        self.own.add(start)
        self.told.append(start)
        for callback in self._callbacks:
            callback(start, source)

    def clear_leaving(self, start):
        self.own.discard(start)

    def on_leaving(self, callback):
        self._callbacks.append(callback)


def _endpoint(name, born_ms):
    return Endpoint(name, "pool", "hall", "127.0.0.1:1", born_ms=born_ms)


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


@when('the {vm} VM hears that "{name}" leaves')
def step_hears(context, vm, name):
    directory, departures = context.vms[vm]
    endpoint = directory.all[name]
    departures.announce(endpoint)
    departures.announce(endpoint)


@when('the {vm} VM is told that "{name}", started at {born_ms:d}, leaves')
def step_told(context, vm, name, born_ms):
    del vm
    context.marks.mark_leaving(instance_id_of(_endpoint(name, born_ms)), "another")


@when("the registry lists nothing")
def step_lists_nothing(context):
    _list(context, {})


@when('the registry lists "{name}", started at {born_ms:d}')
def step_lists(context, name, born_ms):
    _list(context, {name: _endpoint(name, born_ms)})


@then('"{name}" gets nothing from the {vm} VM')
def step_unusable(context, name, vm):
    assert context.vms[vm][0].usable(name) is None


@then('"{name}" gets requests from the {vm} VM')
def step_usable(context, name, vm):
    assert context.vms[vm][0].usable(name) is not None


@then("the second VM was told once")
def step_once(context):
    assert len(context.marks.told) == 1, context.marks.told


@then("no VM repeats the word")
def step_no_repeat(context):
    assert not context.marks.own


@then('an answer with "Server-Leaving: {value}" says {word}')
def step_says(context, value, word):
    del context
    header = (b"server-leaving", value.encode())
    notice = PlatformDialect().read_notice(200, [header])
    unread = (False, (("server-leaving", value),))
    assert (notice.is_leaving, notice.rejected) == WORDS.get(word, unread)
