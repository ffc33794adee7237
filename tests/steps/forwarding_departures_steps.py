"""Steps of tests/forwarding/departures.feature."""

import asyncio

from behave import given, then, when

from pomelolane.clock import ManualClock
from pomelolane.coordination.stream_reporter import StreamReporter
from pomelolane.exceptions import EndpointBrokenError
from pomelolane.forwarding import Forwarder, Route, RouteKind
from pomelolane.forwarding.call import CallState, ForwardCall
from pomelolane.forwarding.departures import AnnouncedDepartures
from pomelolane.forwarding.endpoints import EndpointDirectory, instance_id_of
from pomelolane.forwarding.failures import RetrySignal
from pomelolane.forwarding.sender import Sender
from pomelolane.model import Endpoint
from pomelolane.platform.dialect import PlatformDialect
from pomelolane.ports import Grant
from pomelolane.ports.forwarding import CallDescription
from pomelolane.quarantine import Quarantine

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
    context.clock = clock = ManualClock()
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


class Bystander:
    """Stands for a part that is only told of what happens."""

    def __getattr__(self, name):
        return self._heed

    def _heed(self, *args, **values):
        return self


class Connection:
    """A connection that breaks as soon as a request is written to it."""

    def __init__(self):
        self.written = []
        self.is_discarded = False

    async def exchange(self, method, parts, is_own):
        self.written += parts
        raise EndpointBrokenError("the connection broke")

    def discard(self):
        self.is_discarded = True


class Pool:
    """Makes one connection, and lets something happen meanwhile."""

    def __init__(self, happen, when):
        self.connection = Connection()
        self._happen = happen
        self._when = when

    async def acquire(self, address):
        if self._when == "before":
            self._happen()
        else:
            # Comes before any task that is created from here on.
            asyncio.get_running_loop().call_soon(self._happen)
        return self.connection


class CrashWatch(Bystander):
    """Takes no endpoint for crashed."""

    async def broke(self):
        return None


def _call():
    return ForwardCall(
        local_id="local",
        description=CallDescription("r", 0, 0, 0),
        route=Route("r", "h", "/", RouteKind.IDEMPOTENT, ()),
        service="pool",
        organisation="o",
        rank=0,
        charge_tokens=10,
        method="GET",
        target=b"/",
        headers=(),
        body=b"",
        accepted_ms=0.0,
        limit_ms=1000,
        version=1,
    )


_NEXT_STATES = {
    "begins to leave": {"e1": _endpoint("e1", 1000, leaving=True)},
    "leaves without a word": {},
    "starts again": {"e1": _endpoint("e1", 2000)},
    "stays": {"e1": _endpoint("e1", 1000)},
}


@when(
    'the first VM connects to "{name}" for a request, and "{same}" {what} before',
)
def step_connects_before(context, name, same, what):
    del same
    _connect(context, name, what, "before")


@when(
    'the first VM connects to "{name}" for a request, and "{same}" {what} right then',
)
def step_connects_then(context, name, same, what):
    del same
    _connect(context, name, what, "right then")


@when(
    "the first VM has heard nothing for {silent_ms:d} ms, "
    'and sends a request to "{name}", which has begun to leave'
)
def step_unconfirmed(context, silent_ms, name):
    directory, clock = context.vms["first"][0], context.clock
    clock.advance(silent_ms)
    news = _NEXT_STATES["begins to leave"]
    directory.on_refresh(lambda: directory.replace(news, 2))
    _connect(context, name, "stays", "before")


def _connect(context, name, what, when):
    directory, _ = context.vms["first"]
    context.pool = Pool(lambda: directory.replace(_NEXT_STATES[what], 2), when)
    clock = ManualClock()
    dialect = PlatformDialect()
    forwarder = Forwarder(
        intake=None,
        client=None,
        sender=Sender(context.pool, None, dialect),
        directory=directory,
        notice_handler=None,
        make_budget=None,
        quarantine=Quarantine(clock),
        crashes=CrashWatch(),
        clock=clock,
        data_centre="hall",
        reach=Bystander(),
        peer_relay=None,
        continuation=None,
    )
    context.state = CallState(_call())
    grant = Grant("g", name, 10.0)
    watch = StreamReporter(Bystander(), grant, clock)
    try:
        context.run(forwarder._attempt(context.state, None, grant, watch))
    except RetrySignal as retry:
        context.retry = retry


@then('"{name}" gets no byte of the request')
def step_no_byte(context, name):
    del name
    assert not context.pool.connection.written
    assert context.pool.connection.is_discarded


@then("the request has not run and may go elsewhere")
def step_not_run(context):
    assert not context.state.may_have_run
    assert context.state.sends == 0
    assert not context.retry.is_charged


@then('"{name}" gets the request')
def step_gets(context, name):
    del name
    assert context.pool.connection.written
    assert context.state.may_have_run


@then('an answer with "Server-Leaving: {value}" is read as {result}')
def step_read_as(context, value, result):
    del context
    header = (b"server-leaving", value.encode())
    notice = PlatformDialect().read_notice(200, [header])
    invalid = (False, (("server-leaving", value),))
    assert (notice.is_leaving, notice.rejected) == NOTICES.get(result, invalid)
