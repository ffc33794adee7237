"""Steps of tests/forwarding/errors.feature."""

import asyncio
import json
from contextlib import ExitStack
from dataclasses import replace
from unittest.mock import patch

from behave import given, then, when

from pomelolane.clock import MonotonicClock
from pomelolane.endpoints import AnswerStream
from pomelolane.forwarding import (
    Forwarder,
    RetryAllowance,
    Route,
    RouteKind,
    RouteTarget,
    SharedRetryBudget,
    request_log,
)
from pomelolane.forwarding.call import ForwardCall
from pomelolane.forwarding.confirmation import Confirmation
from pomelolane.forwarding.sender import SendResult
from pomelolane.http.exchange import Exchange
from pomelolane.model import Endpoint
from pomelolane.ports import Grant
from pomelolane.ports.forwarding import CallDescription, Verdict
from pomelolane.quarantine import Quarantine

_ROUTE = Route("plain", "h", "/", RouteKind.IDEMPOTENT, (RouteTarget("s"),))
_CALL = ForwardCall(
    local_id="local",
    description=CallDescription("r1", 0),
    route=replace(_ROUTE, attempts=1),
    service="s",
    organisation="o",
    rank=0,
    charge_tokens=0,
    method="GET",
    target=b"/",
    headers=(),
    body=b"",
    accepted_ms=0.0,
    limit_ms=2000,
    version=1,
    fingerprint="0123456789abcdef",
)
_BODY = b"whole"


class _BugError(Exception):
    """What no code handles."""


class _Idle:
    """Takes any call that has no result."""

    def __getattr__(self, name):
        return lambda *args, **kwargs: None


class _Reach(_Idle):
    is_cut_off = False


class _Continuation(_Idle):
    async def bind_resumed(self, state):
        return None

    def has_endpoint_left(self, state):
        return True


class _PeerRelay:
    async def serve(self, state, relay):
        return False

    async def can_serve(self, state):
        return False


class _Parts:
    """The parts of a forwarder; one fails at a moment of a request."""

    age_ms = 0.0
    version = 1

    def __init__(self, fails_at):
        self.fails_at = fails_at
        self.clock = MonotonicClock()
        self.confirmation = Confirmation(self.clock)

    def _fail(self, moment):
        if self.fails_at == moment:
            raise _BugError

    async def accept(self, exchange):
        self._fail("while it is checked")
        return replace(_CALL, accepted_ms=self.clock.now_ms())

    async def acquire(self, handle):
        self._fail("while it waits")
        return Grant(handle.request_id, "e1", 1.0)

    def observe(self, event):
        pass

    def usable(self, endpoint_id):
        return Endpoint(endpoint_id, "s", "hall-a", "127.0.0.1:1")

    def is_usable(self, endpoint):
        return True

    async def connect(self, endpoint):
        return None

    async def send(self, *args):
        self._fail("after it was sent")
        stream = AnswerStream(_Idle(), 200, [(b"content-length", b"5")])
        stream.feed(_BODY[:2] if self.fails_at == "inside its answer" else _BODY)
        read_ready = stream.read_ready

        async def read():
            self._fail("before its answer begins")
            data = await read_ready()
            if not data:
                self._fail("inside its answer")
            return data

        stream.read_ready = read
        stream.finish(complete=True, error=None)
        return SendResult(stream, Verdict.ANSWER, None)


def _make_forwarder(parts):
    clock = parts.clock
    return Forwarder(
        parts,
        parts,
        parts,
        parts,
        _Idle(),
        lambda: SharedRetryBudget(RetryAllowance(0.1, 1, 1000), lambda: 1, clock),
        Quarantine(clock),
        _Crashes(),
        clock,
        "hall-a",
        _Reach(),
        _PeerRelay(),
        _Continuation(),
    )


class _Crashes:
    def begin(self, fingerprint, endpoint):
        return _Idle()


@given("a forwarder in which an error occurs {moment}")
def step_forwarder(context, moment):
    context.moment = moment
    context.forwarder = _make_forwarder(_Parts(moment))


async def _receive():
    return {"type": "http.request", "body": b"", "more_body": False}


def _serve(context, serve):
    context.sent = []
    context.logged = []

    async def send(message):
        context.sent.append(message)

    def fail(*args):
        raise _BugError

    scope = {"method": "GET", "raw_path": b"/", "query_string": b"", "headers": []}
    exchange = Exchange(scope, _receive, send)
    exchange.watch_disconnect = lambda on_gone: None
    with ExitStack() as patches:
        record = patches.enter_context(patch.object(request_log, "error"))
        failing = {"as it is logged": "accepted", "behind its answer": "finished"}
        if context.moment in failing:
            name = failing[context.moment]
            patches.enter_context(patch.object(request_log, name, fail))
        context.run(serve(exchange))
        context.logged = record.call_args_list


@when("a caller's request is served")
def step_serve(context):
    _serve(context, context.forwarder.serve)


@when("another VM's request is served")
def step_serve_relayed(context):
    _serve(context, context.forwarder.serve_relayed)


def _is_complete(sent):
    return bool(sent) and not sent[-1].get("more_body", False)


@then('its caller gets {status:d} for the reason "{reason}"')
def step_refused(context, status, reason):
    head, body = context.sent
    assert head["status"] == status, context.sent
    problem = json.loads(body["body"])
    assert problem["reason"] == reason, problem
    assert problem["outcome"] == ("not_run" if status == 503 else "unknown"), problem
    assert _is_complete(context.sent)


@then("that VM gets {status:d}")
def step_peer_status(context, status):
    assert context.sent[0]["status"] == status, context.sent
    assert _is_complete(context.sent)


@then("its caller's answer is broken off")
def step_broken_off(context):
    assert context.sent[0]["status"] == 200, context.sent
    assert not _is_complete(context.sent), context.sent


@then("its caller's answer is complete")
def step_complete(context):
    assert [one["type"] for one in context.sent].count("http.response.start") == 1
    assert context.sent[0]["status"] == 200, context.sent
    assert _is_complete(context.sent), context.sent


@then("the error is logged")
def step_logged(context):
    (call,) = context.logged
    assert isinstance(call.args[1], _BugError), call


@then("no request is open")
def step_none_open(context):
    assert not context.forwarder.open_calls


@given("a forwarder that stands still while it connects")
def step_stalling_forwarder(context):
    context.moment = "never"
    parts = _Parts("never")
    parts.confirmation = Confirmation(parts.clock, 1_000)
    parts.confirmation._confirmed_ms -= 900
    send, context.sent_at_ages = parts.send, []

    async def connect(endpoint):
        parts.confirmation._confirmed_ms -= 1_100
        loop = asyncio.get_running_loop()
        loop.call_later(0.02, lambda: parts.confirmation.confirm(parts.clock.now_ms()))

    async def observed_send(*args):
        context.sent_at_ages.append(parts.confirmation.age_ms)
        return await send(*args)

    parts.connect, parts.send = connect, observed_send
    context.forwarder = _make_forwarder(parts)


@then("it was sent by confirmed knowledge")
def step_sent_confirmed(context):
    (age_ms,) = context.sent_at_ages
    assert age_ms < 1_000, age_ms
