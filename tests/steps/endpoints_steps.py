"""Steps of the features under tests/endpoints."""

import asyncio

from behave import given, register_type, then, when
from endpoints_server import (
    RawServer,
    answering,
    chunk,
    event_bytes,
    event_head,
    head,
    resetting,
    silent_after,
)
from hypothesis import given as fuzz_given
from hypothesis import settings
from hypothesis import strategies as st

from pomelolane.clock import ManualClock
from pomelolane.endpoints import (
    ConnectionPool,
    HttpConnection,
    SseCounter,
    make_engine_adapter,
    make_plain_adapter,
    relay,
    usage_from_json,
)
from pomelolane.exceptions import (
    EndpointBrokenError,
    EndpointError,
    EndpointRefusedError,
    StreamGoneError,
)
from pomelolane.model import Endpoint
from pomelolane.ports import UpstreamRequest
from pomelolane.registry import ENDPOINT_ADAPTERS

HELLO = b"hello world"
HELLO_ANSWER = head(content_length=len(HELLO)) + HELLO
DONE = b"data: [DONE]\n\n"
FAILURES = {
    "refused": EndpointRefusedError,
    "broken": EndpointBrokenError,
    "gone": StreamGoneError,
}


def serve(context, handler):
    """Start a raw server and make the adapters for it."""
    context.clock = ManualClock()
    context.pool = ConnectionPool(clock=context.clock)
    context.engine = make_engine_adapter(context.pool)
    context.plain = make_plain_adapter(context.pool)
    context.errors = []
    context.server = context.run(RawServer(handler).start())
    context.endpoint = Endpoint("e1", "s", "dc", context.server.address)


def request(method="POST", body=b"{}", headers=()):
    return UpstreamRequest("r1", "k1", method, "/v1/x?y=1", headers, body)


async def read_all(context, sent):
    """Dispatch and read; keep stream, body and error."""
    context.body = b""
    try:
        context.stream = await context.engine.dispatch(context.endpoint, sent)
        async for data in context.stream.chunks():
            context.body += data
    except EndpointError as error:
        context.errors.append(error)


# --- scripted endpoints ---


@given('an endpoint that answers with a length and the body "hello world"')
def step_length(context):
    serve(context, answering(HELLO_ANSWER))


@given('an endpoint that answers with chunks and the body "hello world"')
def step_chunks(context):
    pieces = (chunk(b"hello "), b"5\r\nwo", b"rld\r\n0\r", b"\n\r\n")
    serve(context, answering(head(transfer_encoding="chunked"), *pieces))


@given('an endpoint that answers with an interim head and the body "hello world"')
def step_interim(context):
    serve(context, answering(head(100), HELLO_ANSWER))


@given('an endpoint that answers with only a close and the body "hello world"')
def step_close_delimited(context):
    serve(context, answering(head() + HELLO, close=True))


@given("an endpoint that does not listen")
def step_not_listening(context):
    serve(context, answering())
    context.server.stop()


FAULTS = {
    "closes before it answers": answering(close=True),
    "closes within the head": answering(b"HTTP/1.1 200 OK\r\nA: b", close=True),
    "closes within a length": answering(HELLO_ANSWER[:-1], close=True),
    "closes within the chunks": answering(
        head(transfer_encoding="chunked"), chunk(HELLO), close=True
    ),
    "resets within the chunks": resetting(
        head(transfer_encoding="chunked"), chunk(HELLO)
    ),
    "answers what is not HTTP": answering(b"SSH-2.0-OpenSSH\r\n\r\n"),
    "answers with an endless head": answering(
        b"HTTP/1.1 200 OK\r\n" + b"A: b\r\n" * 40000
    ),
    "switches protocols": answering(head(101, upgrade="x", connection="upgrade")),
    "answers 204": answering(head(204)),
    "answers 304 with a length": answering(head(304, content_length=500)),
    "answers in an unknown coding": answering(head(transfer_encoding="gzip, chunked")),
    "answers with an unknown status": answering(head(999, content_length=0)),
    "answers 404": answering(head(404, content_length=0)),
    "closes after each answer without saying so": answering(HELLO_ANSWER, close=True),
    "sends bytes after the end of its answer": answering(HELLO_ANSWER + b"surplus"),
    "answers HEAD with the length of a body it does not send": answering(
        head(content_length=500)
    ),
}


def _parse_fault(text):
    return FAULTS[text]


_parse_fault.pattern = "|".join(FAULTS)
register_type(Fault=_parse_fault)


@given("an endpoint that {fault:Fault}")
def step_fault(context, fault):
    serve(context, fault)


@given("an endpoint that echoes the body")
def step_echo(context):
    async def echo(server, reader, writer):
        _, body = await server.read_request(reader)
        writer.write(head(content_length=len(body)) + body)
        await writer.drain()
        await reader.read(1)

    serve(context, echo)


@given("an endpoint that writes {size:d} bytes as fast as it can")
def step_flood(context, size):
    async def flood(server, reader, writer):
        await server.read_request(reader)
        writer.write(head(content_length=size))
        while server.written < size:
            writer.write(b"x" * 100_000)
            await writer.drain()
            server.written += 100_000
        await reader.read(1)

    context.size = size
    serve(context, flood)


@given("an endpoint that closes when told")
def step_closes_when_told(context):
    context.close_now = asyncio.Event()

    async def handle(server, reader, writer):
        await server.read_request(reader)
        writer.write(HELLO_ANSWER)
        if server.connections == 1:
            await context.close_now.wait()
        else:
            await reader.read(1)

    serve(context, handle)


@given("an engine that streams {count:d} events and its end")
def step_events(context, count):
    pieces = [chunk(event_bytes(count)), chunk(DONE), chunk(b"")]
    serve(context, answering(event_head(), *pieces))


@given("an engine that streams {count:d} events and closes")
def step_events_close(context, count):
    serve(context, answering(event_head() + chunk(event_bytes(count)), close=True))


@given("an engine that streams {count:d} events and ends well without its marker")
def step_events_no_marker(context, count):
    pieces = chunk(event_bytes(count)) + chunk(b"")
    serve(context, answering(event_head() + pieces))


@given("an engine that streams {count:d} events and cancels with the last of them")
def step_events_cancelled(context, count):
    choice = b'{"index":0,"delta":{},"finish_reason":"cancelled"}'
    last = b'data: {"choices":[' + choice + b'],"usage":{"prompt_tokens":20}}\n\n'
    pieces = [chunk(event_bytes(count - 1)), chunk(last), chunk(DONE), chunk(b"")]
    serve(context, answering(event_head(), *pieces))


@given("an engine that streams {count:d} events and falls silent")
def step_events_silent(context, count):
    serve(context, silent_after(event_head() + chunk(event_bytes(count))))


@given("an engine that breaks after its head")
def step_break_after_head(context):
    serve(context, answering(event_head(), close=True))


@given("an engine that answers JSON with {count:d} cached tokens")
def step_json(context, count):
    body = usage_json(count)
    content = head(content_type="application/json", content_length=len(body))
    serve(context, answering(content + body))


def usage_json(count):
    details = b'"prompt_tokens_details":{"cached_tokens":%d}' % count
    return b'{"choices":[],"usage":{"prompt_tokens":20,' + details + b"}}"


# --- dispatch ---


@when("the endpoint's answer is read")
def step_read(context):
    context.run(read_all(context, request()))


@when("the endpoint's answer is read {times:d} times")
def step_read_times(context, times):
    for _ in range(times):
        context.run(read_all(context, request()))


@when("the endpoint's answer to HEAD is read")
def step_read_head(context):
    context.run(read_all(context, request("HEAD", b"")))


@when("a request with a line break in a header is dispatched")
def step_bad_header(context):
    context.run(read_all(context, request(headers=((b"a", b"b\r\nc: d"),))))


@when("a request with all kinds of headers is dispatched")
def step_all_headers(context):
    names = (b"Authorization", b"TE", b"X-Forwarded-For", b"Host", b"X-Request-Id")
    headers = ((b"Accept", b"a/b"), *((name, b"secret") for name in names))
    context.run(read_all(context, request(headers=headers)))


@when("a body of {size:d} bytes is sent to the endpoint")
def step_large(context, size):
    context.sent = bytes(range(256)) * (size // 256)
    context.run(read_all(context, request(body=context.sent)))


@when("the endpoint's answer is left unread")
def step_unread(context):
    async def dispatch_and_settle():
        context.stream = await context.engine.dispatch(context.endpoint, request())
        written = -1
        while written != context.server.written:
            written = context.server.written
            await asyncio.sleep(0.05)

    context.run(dispatch_and_settle())


@when("the endpoint closes an idle connection behind the loop's back")
def step_close_behind(context):
    context.run(read_all(context, request()))
    writer = context.server.writers[0]
    sock = writer.get_extra_info("socket")
    sock.shutdown(2)


@when("the endpoint's answer is read with {seconds:d} seconds before and after")
def step_read_aged(context, seconds):
    context.run(read_all(context, request()))
    context.clock.advance(seconds * 1000)
    context.run(read_all(context, request()))


@when("{count:d} answers are read at once, and 1 more {seconds:d} seconds later")
def step_read_at_once(context, count, seconds):
    async def read_at_once():
        await asyncio.gather(*(read_all(context, request()) for _ in range(count)))

    context.run(read_at_once())
    assert context.pool.idle_count(context.server.address) == count
    context.clock.advance(seconds * 1000)
    context.run(read_all(context, request()))


@then("the endpoint pool keeps {count:d} idle connections")
def step_idle_count(context, count):
    assert context.pool.idle_count(context.server.address) == count


@when("an ended stream is closed while its connection serves the next one")
def step_close_ended(context):
    async def run():
        await read_all(context, request())
        ended = context.stream
        reading = asyncio.ensure_future(read_all(context, request()))
        await asyncio.sleep(0)
        await ended.aclose()
        await reading

    context.run(run())


@when('the engine\'s stream "{stream_id}" is resumed from chunk {chunk_number:d}')
def step_resume(context, stream_id, chunk_number):
    resume(context, context.engine, stream_id, chunk_number)


@when('the plain service\'s stream "{stream_id}" is resumed from chunk {number:d}')
def step_resume_plain(context, stream_id, number):
    resume(context, context.plain, stream_id, number)


def resume(context, adapter, stream_id, chunk_number):
    try:
        context.run(adapter.resume(context.endpoint, stream_id, chunk_number))
    except EndpointError as error:
        context.errors.append(error)


@when('the engine\'s stream "{stream_id}" is cancelled')
def step_cancel(context, stream_id):
    context.run(context.engine.cancel(context.endpoint, stream_id))


# --- outcomes of dispatch ---


@then('the endpoint\'s answer is "{text}" and is complete')
def step_complete(context, text):
    assert not context.errors, context.errors
    assert context.body == text.encode(), context.body
    assert context.stream.complete


@then('the endpoint\'s answer is "" and is complete')
def step_empty_complete(context):
    assert not context.errors, context.errors
    assert context.body == b""
    assert context.stream.complete


@then('the endpoint\'s answer is "{text}" and is not vouched for')
def step_unvouched(context, text):
    assert not context.errors, context.errors
    assert context.body == text.encode(), context.body
    assert context.stream.ended
    assert not context.stream.complete


@then("the endpoint call fails as {failure}")
def step_fails(context, failure):
    assert [type(error) for error in context.errors] == [FAILURES[failure]]


@then("no endpoint call failed")
def step_no_failure(context):
    assert not context.errors, context.errors


@then("the endpoint saw {count:d} connections")
def step_connections(context, count):
    assert context.server.connections == count, context.server.connections


@then("the endpoint's answer is the same body")
def step_same(context):
    assert not context.errors, context.errors
    assert context.body == context.sent
    assert context.server.requests[0][1] == context.sent


@then("the endpoint stops before it has written all")
def step_stopped(context):
    assert context.server.written < context.size, context.server.written


@then("the whole of the endpoint's answer can still be read")
def step_still_read(context):
    async def read_rest():
        return sum([len(data) async for data in context.stream.chunks()])

    assert context.run(read_rest()) == context.size


@then("the endpoint heard only the headers meant for it")
def step_headers(context):
    heard = context.server.requests[0][0].lower()
    assert b"secret" not in heard, heard
    for line in (b"accept: a/b", b"x-request-id: r1", b"idempotency-key: k1"):
        assert heard.count(line) == 1, heard


@then('the endpoint was asked for "{line}"')
def step_asked(context, line):
    heard = context.server.requests[-1][0]
    assert heard.startswith(line.encode() + b" HTTP/1.1\r\n"), heard


@then("the endpoint's answer is an event stream")
def step_is_events(context):
    assert context.stream.is_events


@then('the registered endpoint adapters are "engine" and "plain"')
def step_registered(context):
    del context
    assert {"engine", "plain"} <= set(ENDPOINT_ADAPTERS)


# --- fuzzing ---


@given("an endpoint that answers with bytes made up by a fuzzer")
def step_fuzzer(context):
    async def handle(server, reader, writer):
        await server.read_request(reader)
        writer.write(context.fuzzed)
        await writer.drain()

    serve(context, handle)


_SCRAPS = st.sampled_from(
    [
        b"HTTP/1.1 200 OK\r\n",
        b"HTTP/1.1 100 Continue\r\n\r\n",
        b"Content-Length: 5\r\n",
        b"Content-Length: -1\r\n",
        b"Transfer-Encoding: chunked\r\n",
        b"\r\n",
        b"5\r\nhello\r\n",
        b"0\r\n\r\n",
        b"fffffffffffffffff\r\n",
        b"data: [DONE]\n\n",
    ]
)


@then("each fuzzed answer ends as whole, unvouched or broken")
def step_fuzzed(context):
    @settings(max_examples=150, deadline=None, database=None)
    @fuzz_given(st.lists(_SCRAPS | st.binary(max_size=30), max_size=8).map(b"".join))
    def check(answer):
        context.fuzzed = answer
        context.errors.clear()
        context.stream = None
        context.run(asyncio.wait_for(read_all(context, request()), 5))
        if context.errors:
            assert isinstance(context.errors[0], EndpointBrokenError), context.errors
        else:
            assert context.stream.ended

    check()


# --- events ---


@given("an event stream of {count:d} events and its end")
def step_event_stream(context, count):
    context.events = event_bytes(count) + DONE


@then("cutting the event stream anywhere counts {count:d} events and sees its end")
def step_cut_anywhere(context, count):
    data = context.events
    for size in range(1, len(data) + 1):
        counter = SseCounter()
        for start in range(0, len(data), size):
            counter.feed(data[start : start + size])
        assert (counter.events, counter.is_done) == (count, True), size


@given('the event bytes "{text}"')
def step_event_bytes(context, text):
    context.events = text.replace("\\r", "\r").replace("\\n", "\n").encode()


@then("the event counter says {count:d} events and {end}")
def step_counter(context, count, end):
    counter = SseCounter()
    counter.feed(context.events)
    assert (counter.events, counter.is_done) == (count, end == "end")


@then("the usage of a JSON answer with {count:d} cached tokens is read")
def step_usage(context, count):
    del context
    usage = usage_from_json(usage_json(count))
    assert usage.prompt_tokens_details.cached_tokens == count


@then("the usage of junk is empty")
def step_usage_junk(context):
    del context
    for junk in (b"", b"[]", b"{", b'{"usage":7}', b'{"usage":null}', b"\xff"):
        assert usage_from_json(junk).prompt_tokens == -1, junk


# --- relay ---


class Caller:
    """An ASGI ``send`` that keeps what it is given."""

    def __init__(self):
        self.messages = []

    async def send(self, message):
        """Keep a message."""
        self.messages.append(message)

    @property
    def body(self):
        """All body bytes so far."""
        return b"".join(message.get("body", b"") for message in self.messages)

    @property
    def is_closed(self):
        """Whether the answer was closed as whole."""
        return self.messages[-1].get("more_body") is False


def start_relay(context):
    context.caller = Caller()
    context.gone = asyncio.Event()
    context.firsts = []
    context.progress = []
    context.progressed = asyncio.Event()

    def on_progress(chunks):
        context.progress.append(chunks)
        context.progressed.set()

    async def run():
        stream = await context.engine.dispatch(context.endpoint, request())
        return await relay(
            stream,
            context.caller.send,
            context.gone,
            on_first=lambda: context.firsts.append(1),
            on_progress=on_progress,
        )

    return context.loop.create_task(run())


@when("the endpoint's answer is relayed")
def step_relay(context):
    context.result = context.run(start_relay(context))


@when("the caller leaves while the endpoint's answer is relayed")
def step_leave(context):
    async def leave(task):
        await context.progressed.wait()
        context.gone.set()
        return await task

    context.result = context.run(leave(start_relay(context)))


@then("the relay passed on every byte and closed the answer")
def step_relayed(context):
    assert context.result.whole, context.result
    assert context.caller.is_closed
    assert len(context.caller.body) == context.result.bytes > 0


@then("the relay counted {chunks:d} chunks and {cached:d} cached tokens")
def step_relay_counted(context, chunks, cached):
    assert context.result.chunks == chunks, context.result
    assert context.result.cached_tokens == cached, context.result


@then("the relay opened nothing and says broken")
def step_unopened(context):
    assert context.caller.messages == []
    assert context.result.broken and not context.result.started


@then("the relay left the answer open and says broken")
def step_left_open(context):
    assert context.result.broken and context.result.started, context.result
    assert not context.result.whole
    assert not context.caller.is_closed
    assert context.result.chunks == 5, context.result


@then("the relay says that the caller has gone")
def step_gone(context):
    assert context.result.caller_gone, context.result
    assert not context.result.whole and not context.result.broken


@then("the relay told the first byte once and the progress up to {chunks:d} chunks")
def step_told(context, chunks):
    assert context.firsts == [1]
    assert context.progress[-1] == chunks, context.progress


# --- chunks that pass undecoded ---


class ChunkSink:
    """Keeps what it is given, in either form."""

    takes_chunks = True

    def __init__(self):
        self.body = b""
        self.raw_chunks = 0
        self.ended = 0

    def write(self, data):
        """Take decoded bytes."""
        self.body += data

    def write_chunk(self, data, head_length):
        """Take a whole chunk."""
        size = int(data[:head_length], 16)
        assert data == chunk(data[head_length : head_length + size])
        self.body += data[head_length:-2]
        self.raw_chunks += 1

    def end(self):
        """Note the end."""
        self.ended += 1


class NoTransport:
    """A transport that takes everything and does nothing."""

    def writelines(self, parts):
        """Take bytes."""

    def is_closing(self):
        """Tell that it is open."""
        return False

    def get_write_buffer_size(self):
        """Tell that nothing waits."""
        return 0

    def abort(self):
        """Do nothing."""


async def feed_cut(segments):
    """Feed a connection with an answer's segments; return sink and stream."""
    connection = HttpConnection(None, lambda _: None, lambda _: None)
    connection.connection_made(NoTransport())
    answer = asyncio.ensure_future(connection.exchange("POST", ()))
    await asyncio.sleep(0)
    connection.data_received(event_head())
    stream = await answer
    sink = ChunkSink()
    stream.attach(sink)
    for segment in segments:
        connection.data_received(segment)
    return sink, stream


def cut_segments(pieces, cuts):
    """Cut each chunk where told: 0 leaves it whole, n cuts off n bytes."""
    rest = b""
    segments = []
    for piece, cut in zip(pieces, cuts, strict=True):
        data = rest + chunk(piece)
        rest = b""
        if cut:
            data, rest = data[:-cut], data[-cut:]
        if data:
            segments.append(data)
    return [*segments, rest + chunk(b"")]


@then("however a fuzzer cuts a chunked answer, a sink of chunks gets its body")
def step_chunk_sink(context):
    piece = st.binary(min_size=1, max_size=40) | st.sampled_from([b"\r\n", b"5\r\nab"])
    seen = set()

    @settings(max_examples=300, deadline=None, database=None)
    @fuzz_given(st.lists(st.tuples(piece, st.integers(0, 9)), min_size=1, max_size=9))
    def check(parts):
        pieces, cuts = zip(*parts, strict=True)
        sink, stream = context.run(feed_cut(cut_segments(pieces, cuts)))
        assert sink.body == b"".join(pieces), (sink.body, parts)
        assert stream.complete and sink.ended == 1
        seen.add(sink.raw_chunks > 0)

    check()
    assert seen == {True, False}


@then("a chunk whose cut-off head and first bytes look like one passes unharmed")
def step_disguised(context):
    first = b"data: a\n\n"
    disguised = b"X\r\n" + b"y" * 14
    whole = chunk(disguised)
    # The second segment alone reads like a chunk of one byte.
    segments = [chunk(first) + whole[:1], whole[1:7], whole[7:] + chunk(b"")]
    assert segments[1] == chunk(b"X")
    sink, stream = context.run(feed_cut(segments))
    assert sink.body == first + disguised, sink.body
    assert stream.complete
