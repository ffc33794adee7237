"""Steps of tests/forwarding/silence.feature."""

import asyncio
from types import SimpleNamespace

from behave import given, then, when

from pomelolane.clock import MonotonicClock
from pomelolane.endpoints import AnswerStream
from pomelolane.exceptions import EndpointBrokenError
from pomelolane.forwarding import (
    Forwarder,
    RetryAllowance,
    Route,
    RouteKind,
    RouteTarget,
    SharedRetryBudget,
)
from pomelolane.forwarding.call import ForwardCall
from pomelolane.forwarding.confirmation import Confirmation
from pomelolane.forwarding.sender import SendResult
from pomelolane.http.exchange import Exchange
from pomelolane.model import Endpoint
from pomelolane.outcomes import Outcome, Reason, Refusal
from pomelolane.ports import Grant
from pomelolane.ports.forwarding import CallDescription, Verdict
from pomelolane.quarantine import Quarantine
from tests.faults import until

GAP_MS = 20
WAIT_S = 5.0
_HEADERS = [(b"content-type", b"text/event-stream")]
_ROUTE = Route(
    "help",
    "h",
    "/",
    RouteKind.STREAMING,
    (RouteTarget("s"),),
    attempts=2,
    is_resumable=True,
    gap_ms=GAP_MS,
)


def _event(number):
    return b"id: %d\ndata: x\n\n" % number


class _Connection:
    """An endpoint's side of one answer."""

    def __init__(self):
        self.stream = AnswerStream(self, 200, _HEADERS)
        self.is_cut = False

    def close(self):
        self.is_cut = True
        self.stream.finish(complete=False, error=EndpointBrokenError("cut"))

    def pause_reading(self):
        pass

    def resume_reading(self):
        pass

    def finish(self, *events):
        for number in events:
            self.stream.feed(_event(number))
        self.stream.finish(complete=True, error=None)


class _Scheduler:
    """Grants the first ask at once, and others as it is told."""

    def __init__(self):
        self.asked = []
        self.held = set()
        self.withdrawn = []
        self.pending = None

    async def acquire(self, handle):
        self.asked.append(handle)
        self.pending = asyncio.get_running_loop().create_future()
        if len(self.asked) == 1:
            self.grant("e1")
        try:
            return await self.pending
        except asyncio.CancelledError:
            self.withdrawn.append(handle.request_id)
            self.held.discard(handle.request_id)
            raise

    @property
    def is_asked(self):
        return self.pending is not None and not self.pending.done()

    def grant(self, endpoint_id):
        request_id = self.asked[-1].request_id
        self.held.add(request_id)
        self.pending.set_result(Grant(request_id, endpoint_id, 1.0))

    def refuse(self):
        self.pending.set_result(Refusal(Outcome.NOT_RUN, Reason.QUEUE_FULL))

    def release(self, grant):
        self.held.remove(grant.request_id)

    def observe(self, event):
        if event.finished:
            self.held.remove(event.request_id)


class _Intake:
    def __init__(self, clock):
        self._clock = clock

    async def accept(self, exchange):
        return ForwardCall(
            local_id="local",
            description=CallDescription("r1", 0),
            route=_ROUTE,
            service="s",
            organisation="o",
            rank=0,
            charge_tokens=0,
            method="GET",
            target=b"/",
            headers=(),
            body=b"",
            accepted_ms=self._clock.now_ms(),
            limit_ms=int(WAIT_S * 1000),
            version=1,
            fingerprint="0123456789abcdef",
        )


class _Directory:
    age_ms = 0.0
    version = 1
    confirmation = Confirmation(MonotonicClock())

    def usable(self, endpoint_id):
        return Endpoint(endpoint_id, "s", "hall-a", "127.0.0.1:1")

    def is_usable(self, endpoint):
        return True


class _Sender:
    """Brings one connection after the other."""

    def __init__(self):
        self.connections = []

    async def connect(self, endpoint):
        return None

    async def send(self, *args):
        connection = _Connection()
        self.connections.append(connection)
        if len(self.connections) == 1:
            connection.stream.feed(_event(1))
        else:
            connection.finish(2, 3)
        return SendResult(connection.stream, Verdict.ANSWER, None)


class _Idle:
    """Takes any call that has no result."""

    is_cut_off = False

    def __getattr__(self, name):
        return lambda *args, **kwargs: None


class _Crashes:
    def begin(self, fingerprint, endpoint):
        return _Idle()

    async def look(self, *args):
        pass


class _Continuation(_Idle):
    async def bind_resumed(self, state):
        return None

    def begin(self, state, origin):
        state.origin = origin

    def has_endpoint_left(self, state):
        return True


class _PeerRelay:
    async def serve(self, state, relay):
        return False

    async def can_serve(self, state):
        return False


def _make_forwarder(scheduler, sender):
    clock = MonotonicClock()
    allowance = RetryAllowance(1.0, 10, 1000)
    return Forwarder(
        _Intake(clock),
        scheduler,
        sender,
        _Directory(),
        _Idle(),
        lambda: SharedRetryBudget(allowance, lambda: 1, clock),
        Quarantine(clock),
        _Crashes(),
        clock,
        "hall-a",
        _Idle(),
        _PeerRelay(),
        _Continuation(),
    )


@given("a forwarder whose endpoint has sent an event and is silent")
def step_forwarder(context):
    scheduler, sender = _Scheduler(), _Sender()
    forwarder = _make_forwarder(scheduler, sender)
    caller = SimpleNamespace(leaves=asyncio.Event(), sent=[])

    async def receive():
        await caller.leaves.wait()
        return {"type": "http.disconnect"}

    async def send(message):
        caller.sent.append(message)

    scope = {"method": "GET", "raw_path": b"/", "query_string": b"", "headers": []}
    exchange = Exchange(scope, receive, send)
    context.scheduler, context.sender, context.caller = scheduler, sender, caller
    context.serving = context.loop.create_task(forwarder.serve(exchange))


def _await_ask(context):
    context.run(until(lambda: context.scheduler.is_asked))


@when("it waits for a slot elsewhere")
def step_waits(context):
    _await_ask(context)


@when("another endpoint grants a slot")
def step_grants(context):
    _await_ask(context)
    context.scheduler.grant("e2")


@when("another endpoint grants a slot as the first one goes on")
def step_grants_late(context):
    _await_ask(context)
    context.scheduler.grant("e2")
    context.sender.connections[0].finish(2, 3)


@when("the scheduler refuses a slot twice")
def step_refuses(context):
    for _ in range(2):
        _await_ask(context)
        context.scheduler.refuse()
    _await_ask(context)


@when("the first endpoint goes on")
def step_goes_on(context):
    context.sender.connections[0].finish(2, 3)


@when("the first endpoint breaks off")
def step_breaks(context):
    first_ask = context.scheduler.asked[-1]
    context.sender.connections[0].close()
    context.run(until(lambda: context.scheduler.asked[-1] is not first_ask))


@when("the caller of that answer leaves")
def step_caller_leaves(context):
    context.caller.leaves.set()


def _end(context):
    context.run(asyncio.wait_for(context.serving, WAIT_S))


def _assert_whole(context):
    _end(context)
    sent = context.caller.sent
    body = b"".join(one.get("body", b"") for one in sent)
    assert body == b"".join(map(_event, (1, 2, 3))), body
    assert not sent[-1]["more_body"], sent


@then("the first endpoint is cut off")
def step_cut(context):
    _end(context)
    assert context.sender.connections[0].is_cut


@then("the answer is whole at the first endpoint")
def step_whole_first(context):
    _assert_whole(context)
    assert len(context.sender.connections) == 1
    assert not context.sender.connections[0].is_cut


@then("the answer goes on at the other endpoint")
def step_goes_on_elsewhere(context):
    _assert_whole(context)
    assert len(context.sender.connections) == 2


@then("no slot is held")
def step_none_held(context):
    assert not context.scheduler.held, context.scheduler.held


@then("the wait was withdrawn")
def step_withdrawn(context):
    _end(context)
    asked = context.scheduler.asked
    assert context.scheduler.withdrawn == [asked[-1].request_id], asked


@then("all its asks had ids of their own")
def step_ids(context):
    ids = [handle.request_id for handle in context.scheduler.asked]
    assert len(ids) == 3, ids
    assert len(set(ids)) == len(ids), ids


@then("the whole answer has come")
def step_whole(context):
    _assert_whole(context)
