"""Steps of tests/quarantine/ends.feature."""

import asyncio
import socket
import time
from dataclasses import replace

from behave import given, then, when

from pomelolane.clock import ManualClock, WallClock
from pomelolane.endpoints import ConnectionPool
from pomelolane.forwarding import EndpointDirectory
from pomelolane.model import Endpoint
from pomelolane.quarantine import CrashWatch, Quarantine

REQUEST = "request"
CONNECT_TIMEOUT_MS = 400
BACKLOG_FILLERS = 4
"""Connections that fill the queue of a listener which accepts none: the next one's
opening packets are dropped, as on the way to a host that is cut off."""


class Found(Quarantine):
    """Notes what is reported."""

    def __init__(self, clock):
        super().__init__(clock)
        self.reported = []

    def crashed(self, fingerprint, endpoint_start, endpoint_id):
        self.reported.append((fingerprint, endpoint_id))


@given("an endpoint that a request was sent to")
def step_endpoint(context):
    context.clock = ManualClock()
    context.sock = socket.create_server(("127.0.0.1", 0))
    context.add_cleanup(context.sock.close)
    address = f"127.0.0.1:{context.sock.getsockname()[1]}"
    context.endpoint = Endpoint("e1", "pool", "hall-a", address, born_ms=1)
    context.directory = EndpointDirectory(context.clock)
    context.pool = ConnectionPool(connect_timeout_ms=CONNECT_TIMEOUT_MS)
    context.add_cleanup(lambda: context.run(_close(context)))
    context.found = Found(context.clock)
    context.watch = CrashWatch(
        context.found,
        context.pool,
        context.directory,
        context.clock,
        WallClock(),
    )
    context.directory.on_change(context.watch.endpoints_changed)
    # Another one keeps the list from ever being empty.
    context.other = replace(
        context.endpoint, endpoint_id="other", address="127.0.0.1:2"
    )
    _list(context, context.endpoint)


async def _close(context):
    context.pool.close()
    await asyncio.sleep(0)


def _unreachable(context):
    sock = socket.socket()
    sock.bind(("127.0.0.1", 0))
    sock.listen(0)
    context.add_cleanup(sock.close)
    for _ in range(BACKLOG_FILLERS):
        filler = socket.socket()
        filler.setblocking(False)
        filler.connect_ex(sock.getsockname())
        context.add_cleanup(filler.close)
    return f"127.0.0.1:{sock.getsockname()[1]}"


def _list(context, *endpoints):
    listed = {one.endpoint_id: one for one in (context.other, *endpoints)}
    context.directory.replace(listed, 1)


@when('the answer breaks off since "{what}"')
def step_breaks(context, what):
    endpoint = context.endpoint
    address = endpoint.address
    if "gone" in what:
        context.sock.close()
    if "leaving" in what:
        _list(context, replace(endpoint, leaving=True))
    if "taken from the list" in what:
        _list(context)
    if "cannot be reached" in what:
        address = _unreachable(context)

    async def look():
        begun_s = time.monotonic()
        run = context.watch.begin(REQUEST, replace(endpoint, address=address))
        await run.broke()
        context.waited_ms = 1000 * (time.monotonic() - begun_s)
        await asyncio.sleep(CONNECT_TIMEOUT_MS / 1000 + 0.1)

    context.run(look())


@when("the registry shows another start of it")
def step_start(context):
    _list(context, replace(context.endpoint, born_ms=2))


@when("the registry shows another endpoint at its address")
def step_another(context):
    _list(context, replace(context.endpoint, endpoint_id="e2"))


@when("{s:d} s go by for the watch")
def step_later(context, s):
    context.clock.advance(s * 1000)


@then("an end is reported")
def step_reported(context):
    assert context.found.reported == [(REQUEST, "e1")], context.found.reported


@then("nothing is reported")
def step_not_reported(context):
    assert context.found.reported == []


@then("the request waited at most {ms:d} ms")
def step_waited(context, ms):
    assert context.waited_ms <= ms, context.waited_ms


@when("a request runs at the endpoint")
def step_runs(context):
    context.one_run = context.watch.begin(REQUEST, context.endpoint)


@when('the request there "{left}"')
def step_left(context, left):
    if left == "is left unanswered":
        context.one_run.leave()
    elif left != "goes on":
        context.one_run.settle()


@when('the registry tells that "{what}"')
def step_registry(context, what):
    if "leaves" in what:
        _list(context, replace(context.endpoint, leaving=True))
    if "another start" in what:
        _list(context, replace(context.endpoint, born_ms=2))
    else:
        _list(context)


@when("{count:d} requests are left unanswered there")
def step_many_left(context, count):
    for number in range(count):
        context.watch.begin(f"r{number}", context.endpoint).leave()


@then("at most {most:d} of them are kept in mind")
def step_kept(context, most):
    _list(context)
    assert 0 < len(context.found.reported) <= most, len(context.found.reported)
