"""Steps of the features on calls to endpoints under tests/endpoints."""

import asyncio

from behave import given, register_type, then, when
from endpoints_server import head
from endpoints_world import (
    ENDPOINTS,
    HELLO_ANSWER,
    STREAM_ENDS,
    engine_streaming,
    read_all,
    request,
    serve,
)
from hypothesis import given as fuzz_given
from hypothesis import settings
from hypothesis import strategies as st

from pomelolane.exceptions import (
    EndpointBrokenError,
    EndpointError,
    EndpointRefusedError,
    StreamGoneError,
)
from pomelolane.registry import ENDPOINT_ADAPTERS

FAILURES = {
    "refused": EndpointRefusedError,
    "broken": EndpointBrokenError,
    "gone": StreamGoneError,
}


def _register_choice(name, texts):
    def parse(text):
        return text

    parse.pattern = "|".join(texts)
    register_type(**{name: parse})


_register_choice("Endpoint", ENDPOINTS)
_register_choice("StreamEnd", STREAM_ENDS)


@given("an endpoint that {kind:Endpoint}")
@given("an engine that {kind:Endpoint}")
def step_endpoint(context, kind):
    serve(context, ENDPOINTS[kind])


@given("an engine that streams {count:d} events and {end:StreamEnd}")
def step_engine(context, count, end):
    serve(context, engine_streaming(count, end))


@given("an endpoint that does not listen")
def step_not_listening(context):
    serve(context, ENDPOINTS["answers 404"])
    context.server.stop()


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


# --- dispatch ---


@when("the endpoint's answer is read")
def step_read(context):
    context.run(read_all(context, request()))


@when("the plain service's answer is read")
def step_read_plain(context):
    sent = context.plain.dispatch(context.endpoint, request())
    context.stream = context.run(sent)


@then("the plain service's status is {status:d}")
def step_plain_status(context, status):
    assert context.stream.status == status


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
