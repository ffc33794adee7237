"""Steps of direct.feature: a relay under uvicorn, asked by raw callers."""

import asyncio
import contextlib
import socket

import aiohttp
import uvicorn
import uvloop
from behave import given, then, when
from endpoints_server import chunk, event_bytes, event_head
from endpoints_world import DONE, serve
from hypothesis import assume, settings
from hypothesis import given as fuzz_given
from hypothesis import strategies as st

from pomelolane.endpoints import RelayHttpProtocol, relay
from pomelolane.endpoints.direct import DirectSink
from pomelolane.ports import UpstreamRequest

REQUEST = b"POST /x HTTP/1.1\r\nhost: a\r\ncontent-length: 2\r\n\r\n{}"


class RelayingServer:
    """A uvicorn server whose application dispatches and relays each request."""

    def __init__(self, context):
        self.context = context
        self.results = []
        self.copies = []
        self.copying = False
        self.relayed = asyncio.Event()

    async def __call__(self, scope, receive, send):
        """Serve one ASGI call."""
        while (await receive()).get("more_body"):
            pass
        sent = UpstreamRequest("r1", "", scope["method"], scope["path"], (), b"{}")
        stream = await self.context.engine.dispatch(self.context.endpoint, sent)
        copy = bytearray()
        copy_to = copy.extend if self.copying else None
        try:
            result = await relay(stream, send, copy_to=copy_to)
        finally:
            await stream.aclose()
        self.copies.append(bytes(copy))
        self.results.append(result)
        self.relayed.set()

    async def run(self):
        """Listen on a free port until the loop ends."""
        sock = socket.socket()
        sock.bind(("127.0.0.1", 0))
        self.port = sock.getsockname()[1]
        config = uvicorn.Config(
            self, http=RelayHttpProtocol, log_config=None, log_level="critical"
        )
        config.load()
        server = uvicorn.Server(config)
        server.lifespan = config.lifespan_class(config)
        await server.startup([sock])
        self.server = server

    async def connect(self):
        """Open a raw caller's connection."""
        return await asyncio.open_connection("127.0.0.1", self.port, limit=2**17)


def close_loop(loop):
    """End all that runs on a loop of a step's own."""
    pending = asyncio.all_tasks(loop)
    for task in pending:
        task.cancel()
    loop.run_until_complete(asyncio.gather(*pending, return_exceptions=True))
    loop.close()


@given("a relaying server on uvloop")
def step_server(context):
    context.loop = uvloop.new_event_loop()
    context.run = context.loop.run_until_complete
    context.add_cleanup(close_loop, context.loop)
    context.relaying = RelayingServer(context)
    context.run(context.relaying.run())


async def read_answer(reader):
    """Read one answer off a raw connection; return head and body."""
    head = (await reader.readuntil(b"\r\n\r\n")).lower()
    if b"transfer-encoding: chunked" not in head:
        length = int(head.split(b"content-length: ")[1].split(b"\r\n")[0])
        return head, await reader.readexactly(length)
    body = b""
    while size := int(await reader.readuntil(b"\r\n"), 16):
        body += (await reader.readexactly(size + 2))[:-2]
    await reader.readexactly(2)
    return head, body


@when("a caller asks the relaying server {times:d} times on one connection")
def step_ask(context, times):
    async def ask():
        reader, writer = await context.relaying.connect()
        answers = []
        for _ in range(times):
            writer.write(REQUEST)
            answers.append(await read_answer(reader))
        writer.close()
        return answers

    context.made = []
    original = DirectSink.run

    async def noted(sink):
        context.made.append(sink)
        await original(sink)

    DirectSink.run = noted
    try:
        context.answers = context.run(asyncio.wait_for(ask(), 10))
    finally:
        DirectSink.run = original


@when("a caller asks the relaying server by {method}")
def step_ask_by(context, method):
    async def ask():
        url = f"http://127.0.0.1:{context.relaying.port}/x"
        async with (
            aiohttp.ClientSession() as session,
            session.request(method, url, data=b"{}") as answer,
        ):
            context.status = answer.status
            context.body = await answer.read()

    context.run(asyncio.wait_for(ask(), 10))


@when("a caller asks the relaying server and does not read")
def step_ask_unread(context):
    async def ask():
        context.caller_streams = await context.relaying.connect()
        context.caller_streams[1].write(REQUEST)
        written = -1
        while written != context.server.written or written < 1:
            written = context.server.written
            await asyncio.sleep(0.05)

    context.run(asyncio.wait_for(ask(), 10))


@when("a caller asks the relaying server, does not read, and leaves")
def step_ask_unread_leave(context):
    step_ask_unread(context)
    context.caller_streams[1].transport.abort()
    context.run(asyncio.wait_for(context.relaying.relayed.wait(), 10))
    context.result = context.relaying.results[0]


@when("a caller reads {count:d} events from the relaying server and leaves")
def step_leave(context, count):
    async def leave():
        reader, writer = await context.relaying.connect()
        writer.write(REQUEST)
        await reader.readuntil(b'{"n":%d}\n\n' % (count - 1))
        writer.transport.abort()
        await context.relaying.relayed.wait()

    context.run(asyncio.wait_for(leave(), 10))
    context.result = context.relaying.results[0]


@given("an engine that streams {count:d} events and the rest when told")
def step_rest_when_told(context, count):
    context.begun = asyncio.Event()
    context.told = asyncio.Event()

    async def handle(server, reader, writer):
        await server.read_request(reader)
        first = chunk(event_bytes(count)) if count else b""
        writer.write(event_head() + first)
        context.begun.set()
        await context.told.wait()
        writer.write(chunk(event_bytes(5)) + chunk(DONE) + chunk(b""))

    serve(context, handle)


@when("a caller of a copying server reads {count:d} events and leaves")
def step_leave_copying(context, count):
    context.relaying.copying = True

    async def leave():
        reader, writer = await context.relaying.connect()
        writer.write(REQUEST)
        await reader.readuntil(b'{"n":%d}\n\n' % (count - 1))
        await abort_noticed(context, writer)

    context.run(asyncio.wait_for(leave(), 10))


async def abort_noticed(context, writer):
    """Reset the caller's connection and wait until the server knows."""
    connections = context.relaying.server.server_state.connections
    writer.transport.abort()
    while connections:  # noqa: ASYNC110
        await asyncio.sleep(0)


@when("a caller of a {kind} server leaves before the first byte")
def step_leave_early(context, kind):
    context.relaying.copying = kind.startswith("copying")
    requests = REQUEST * 2 if kind.endswith("pipelined") else REQUEST

    async def leave():
        _, writer = await context.relaying.connect()
        writer.write(requests)
        await context.begun.wait()
        await abort_noticed(context, writer)

    context.run(asyncio.wait_for(leave(), 10))


@then("the relay says that the caller has gone, and is {verdict}")
def step_gone_early(context, verdict):
    (result,) = context.relaying.results
    assert result.caller_gone
    assert result.whole == (verdict == "whole"), result


@when("the engine is told to stream the rest")
def step_tell_rest(context):
    context.told.set()
    context.run(asyncio.wait_for(context.relaying.relayed.wait(), 10))


@then("the relay is whole without its caller, and so is the copy")
def step_whole_without(context):
    (result,) = context.relaying.results
    assert result.whole and result.caller_gone, result
    assert context.relaying.copies == [event_bytes(5) * 2 + DONE]


@when("a caller asks the relaying server once and reads to the end")
def step_ask_cut(context):
    async def ask():
        reader, writer = await context.relaying.connect()
        writer.write(REQUEST)
        try:
            context.answers = [await read_answer(reader)]
        except asyncio.IncompleteReadError:
            context.answers = []
        writer.close()

    context.run(asyncio.wait_for(ask(), 10))


@when("a caller sends {count:d} requests at once to the relaying server")
def step_pipeline(context, count):
    async def ask():
        reader, writer = await context.relaying.connect()
        writer.write(REQUEST * count)
        return [await read_answer(reader) for _ in range(count)]

    context.answers = context.run(asyncio.wait_for(ask(), 10))


@then("each relayed answer has {count:d} events and its end")
def step_each(context, count):
    assert context.answers
    for head, body in context.answers:
        assert head.startswith(b"http/1.1 200"), head
        assert b"x-cached-tokens: 7" in head
        assert body == event_bytes(count) + DONE, body
    assert all(result.whole for result in context.relaying.results)


@then("the relay drove the connection directly")
def step_direct(context):
    assert len(context.made) == len(context.answers)


@then('the relayed answer has status {status:d} and the body "{body}"')
def step_plain(context, status, body):
    assert (context.status, context.body) == (status, body.encode())


@then('the relayed answer has status {status:d} and the body ""')
def step_plain_empty(context, status):
    assert (context.status, context.body) == (status, b"")
    assert all(result.whole for result in context.relaying.results)


@then("the caller can still read {size:d} bytes")
def step_read_rest(context, size):
    _, body = context.run(asyncio.wait_for(read_answer(context.caller_streams[0]), 30))
    assert len(body) == size
    context.run(context.relaying.relayed.wait())
    assert context.relaying.results[0].whole


@then("the endpoint's connection is closed")
def step_upstream_closed(context):
    async def closed():
        # A reset is a close as well.
        with contextlib.suppress(ConnectionResetError):
            await context.server.writers[0].wait_closed()

    context.run(asyncio.wait_for(closed(), 10))


@then("the caller sees a cut answer")
def step_cut(context):
    assert context.answers == []
    assert context.relaying.results[0].broken


@then("the caller gets {count:d} whole answers one after the other")
def step_in_turn(context, count):
    assert [body for _, body in context.answers] == [event_bytes(5) + DONE] * count


@when("a caller asks the copying server")
def step_ask_copying(context):
    context.relaying.copying = True
    step_ask(context, 1)


@then("the copy of the relayed answer is the answer")
def step_copy(context):
    assert context.relaying.copies == [context.answers[0][1]]


@given("an engine that cuts its stream as a fuzzer tells")
def step_cutting(context):
    async def cut(server, reader, writer):
        while True:
            await server.read_request(reader)
            data = context.wire
            for cut_at in context.cuts:
                writer.write(data[:cut_at])
                data = data[cut_at:]
                await writer.drain()
                await asyncio.sleep(0)
            writer.write(data)

    serve(context, cut)


@then("each fuzzed stream reaches the caller unchanged")
def step_fuzzed(context):
    reader, writer = context.run(context.relaying.connect())

    async def ask():
        writer.write(REQUEST)
        return await read_answer(reader)

    @settings(max_examples=60, deadline=None, database=None)
    @fuzz_given(
        st.lists(st.binary(min_size=1, max_size=400), max_size=12),
        st.lists(st.integers(1, 300), max_size=12),
    )
    def check(pieces, cuts):
        pieces.append(b"\n" + DONE)
        body = b"".join(pieces)
        # hypothesis draws on constants of the code under test, the cancel mark
        # among them; a cancelled stream is cut on purpose and tested as such.
        assume(b"cancelled" not in body)
        context.wire = event_head() + b"".join(map(chunk, [*pieces, b""]))
        context.cuts = cuts
        _, got = context.run(asyncio.wait_for(ask(), 5))
        assert got == body

    check()
