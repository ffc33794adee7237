"""Steps of tests/endpoints/skipping.feature and endless.feature."""

import asyncio

from behave import given, then, when
from endpoints_server import RawServer, chunk, head

from pomelolane.endpoints import ConnectionPool
from pomelolane.exceptions import EndpointBrokenError

_REQUEST = b"GET / HTTP/1.1\r\n\r\n"
_ID = b"x-answers"
_OWN = head(x_answers="own", content_length=3) + b"own"
_OTHER = head(x_answers="other", content_length=4) + b"late"
_CHUNKED = head(x_answers="other", transfer_encoding="chunked")
_BLOCK_BYTES = 65536
_MOST_BLOCKS = 1024
_WITHIN_S = 5.0

_BEFORE = {
    "another's answer": [_OTHER],
    "another's answer in pieces": [_OTHER[:20], _OTHER[20:-2], _OTHER[-2:]],
    "another's chunks": [_CHUNKED + chunk(b"late") + b"0\r\n\r\n"],
    "another's answer without a body": [head(204, x_answers="other")],
    "8 answers of others": [_OTHER] * 8,
    "9 answers of others": [_OTHER] * 9,
    "another's answer up to its close": [head(x_answers="other") + b"late"],
    "what is not HTTP": [b"SSH-2.0\r\n"],
}
_OWN_CHUNKED = head(x_answers="own", transfer_encoding="chunked")
_ENDLESS = {
    "a status line without end": (b"HTTP/1.1 200 ", b"x" * _BLOCK_BYTES),
    "a header without end": (b"HTTP/1.1 200 X\r\nx: ", b"x" * _BLOCK_BYTES),
    "a header's name without end": (b"HTTP/1.1 200 X\r\n", b"x" * _BLOCK_BYTES),
    "interim answers without end": (b"", head(102) * 4096),
    "its own chunk's size without end": (_OWN_CHUNKED, b"0" * _BLOCK_BYTES),
    "its own chunk's extension without end": (
        _OWN_CHUNKED + b"5;x=",
        b"x" * _BLOCK_BYTES,
    ),
    "its own trailers without end": (
        _OWN_CHUNKED + chunk(b"own") + b"0\r\nx: ",
        b"x" * _BLOCK_BYTES,
    ),
    "another's body without end": (
        head(x_answers="other", content_length=10**12),
        bytes(_BLOCK_BYTES),
    ),
    "another's chunks without end": (_CHUNKED, chunk(bytes(_BLOCK_BYTES))),
    "another's head without end": (
        b"HTTP/1.1 200 X\r\nx-answers: other\r\n",
        b"x: %b\r\n" % bytes(1000).replace(b"\0", b"y") * 64,
    ),
}


@given("an endpoint that sends {before} before its answer")
def step_endpoint(context, before):
    async def handle(server, reader, writer):
        while True:
            await server.read_request(reader)
            for piece in _BEFORE.get(before, ()):
                writer.write(piece)
                await writer.drain()
                await asyncio.sleep(0.01)
            if before in _ENDLESS:
                begin, block = _ENDLESS[before]
                writer.write(begin)
                for _ in range(_MOST_BLOCKS):
                    writer.write(block)
                    await writer.drain()
                    server.written += len(block)
            writer.write(_OWN)

    context.server = context.run(RawServer(handle).start())
    context.pool = ConnectionPool()


def _is_own(headers, is_first):
    del is_first
    return dict(headers)[_ID] == b"own"


async def _read(context, method):
    address = context.server.address
    context.error = None
    try:
        async with asyncio.timeout(_WITHIN_S):
            connection = await context.pool.acquire(address)
            stream = await connection.exchange(method, [_REQUEST], _is_own)
            context.body = b"".join([piece async for piece in stream.chunks()])
            context.is_complete = stream.complete
    except EndpointBrokenError as error:
        context.error = error


@when("the answer that names the request is read")
def step_read(context):
    context.run(_read(context, "GET"))


@when("the answer to HEAD that names the request is read")
def step_read_head(context):
    context.run(_read(context, "HEAD"))


@then('it is "{body}" and complete')
def step_body(context, body):
    assert context.error is None, context.error
    assert context.body == body.encode() and context.is_complete, context.body


@then("its connection is not used again")
def step_not_reused(context):
    assert context.pool.idle_count(context.server.address) == 0


@then("the exchange has failed as broken")
def step_broken(context):
    assert context.error is not None


@then("the endpoint is cut off after {most:d} MB at most, socket buffers included")
def step_cut_off(context, most):
    async def settle():
        written = -1
        while written != context.server.written:
            written = context.server.written
            await asyncio.sleep(0.05)

    context.run(settle())
    assert context.server.written <= most * 1_000_000, context.server.written
