"""Steps of tests/http/listener.feature."""

import asyncio
import errno
import socket
from contextlib import suppress

from behave import given, then, when

from pomelolane.forwarding.app import ExchangeApp
from pomelolane.http.connections import CallerBounds, CallerConnections
from pomelolane.http.listener import Listener
from pomelolane.http.sockets import listening_socket
from tests.faults import until

WAIT_S = 5.0
PIECE_S = 0.02
HEAD = b"POST / HTTP/1.1\r\nhost: h\r\ncontent-length: %d\r\n\r\n"
BODY = b"done"
BYTES = {
    "half of a head": b"GET / HTTP/1.1\r\nhost: ",
    "a malformed head": b"\x01\x02\r\n\r\n",
    "a tunnel": b"CONNECT h:80 HTTP/1.1\r\nhost: h\r\n\r\nGET / HTTP/1.1\r\n\r\n",
    "a head that is too long": b"GET / HTTP/1.1\r\nx: " + b"x" * 40_000,
}


@given("a listener that waits {head_ms:d} ms for a head, and answers after {ms:d} ms")
def step_listener(context, head_ms, ms):
    async def serve(exchange):
        context.bodies.append(await exchange.read_body(1_000_000, 2000))
        context.header_names = [name.decode() for name, _ in exchange.headers]
        await asyncio.sleep(ms / 1000)
        await exchange.respond(200, [], BODY)

    context.bodies = []
    sock = listening_socket("127.0.0.1", 0)
    context.port = sock.getsockname()[1]
    listener = Listener(ExchangeApp(serve), head_ms)
    context.run(listener.start(sock))
    context.add_cleanup(lambda: context.run(listener.stop()))

    async def connect():
        return await asyncio.open_connection("127.0.0.1", context.port)

    context.reader, context.writer = context.run(connect())
    context.add_cleanup(context.writer.close)
    context.answers = []


@given("a listener that holds {held:d} bytes, and answers with {size:d}")
def step_bounded_listener(context, held, size):
    async def serve(exchange):
        await exchange.respond(200, [], bytes(size))

    context.registry = CallerConnections(CallerBounds(max_held_bytes=held))
    sock = listening_socket("127.0.0.1", 0)
    context.port = sock.getsockname()[1]
    listener = Listener(ExchangeApp(serve), 1000, context.registry)
    context.run(listener.start(sock))
    context.add_cleanup(lambda: context.run(listener.stop()))


@when("a caller sends a request and reads no answer")
def step_unread(context):
    context.unread = socket.create_connection(("127.0.0.1", context.port))
    context.add_cleanup(context.unread.close)
    context.unread.send(HEAD % 0)


@then("the listener has closed its connection")
def step_listener_closed(context):
    context.run(until(lambda: _is_reset(context.unread)))


def _is_reset(sock):
    return sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR) == errno.ECONNRESET


async def _send(context, pieces):
    for piece in pieces:
        context.writer.write(piece)
        await asyncio.sleep(PIECE_S)


async def _read_answer(context, within_s=WAIT_S):
    async with asyncio.timeout(within_s):
        head = await context.reader.readuntil(b"\r\n\r\n")
        length = int(head.lower().partition(b"content-length: ")[2].split()[0])
        await context.reader.readexactly(length)
        context.answers.append(int(head.split()[1]))


@when("a caller sends a request with a body of {size:d} bytes in {count:d} pieces")
def step_long_body(context, size, count):
    async def play():
        piece = b"x" * (size // count)
        await _send(context, [HEAD % size, *[piece] * count])
        await _read_answer(context)

    context.run(play())


@when("it sends another request whose head comes in {count:d} pieces")
def step_head_in_pieces(context, count):
    async def play():
        head = HEAD % 0
        size = -(-len(head) // count)
        await _send(context, [head[at : at + size] for at in range(0, len(head), size)])
        await _read_answer(context)

    context.run(play())


@when('a caller offers "{offer}" with the body "{body}", {how}')
def step_offer(context, offer, body, how):
    upgrade = f"connection: Upgrade\r\nupgrade: {offer}\r\n".encode()
    head = HEAD % (len(body) + 4)
    body = f"{body}\r\n\r\n".encode()
    if how == "in a chunk":
        head = b"POST / HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\n\r\n"
        body = b"%x\r\n%b\r\n0\r\n\r\n" % (len(body), body)
    head = head[:-2] + upgrade + head[-2:]

    async def play():
        apart = how == "in a packet of its own"
        await _send(context, [head, body] if apart else [head + body])
        await _read_answer(context)
        with suppress(TimeoutError):
            await _read_answer(context, within_s=1.0)

    context.run(play())


@then('the bodies received are "{body}"')
def step_bodies(context, body):
    assert context.bodies == [f"{body}\r\n\r\n".encode()], context.bodies


@when('a caller sends a chunked body with the trailer "{trailer}"')
def step_trailer(context, trailer):
    head = b"POST / HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\n\r\n"

    async def play():
        end = f"1\r\nx\r\n0\r\n{trailer}\r\n\r\n".encode()
        await _send(context, [head, end])
        await _read_answer(context)

    context.run(play())


@when("a caller sends {count:d} requests in one packet")
def step_packet(context, count):
    async def play():
        context.writer.write(HEAD % 0 * count)
        with suppress(asyncio.IncompleteReadError):
            for _ in range(count):
                await _read_answer(context)

    context.run(play())


@then('the request\'s headers do not hold "{name}"')
def step_no_header(context, name):
    assert name not in context.header_names, context.header_names


@when('a caller sends a request and then the bytes of "{what}"')
def step_bytes_behind(context, what):
    async def play():
        await _send(context, [HEAD % 0, BYTES[what]])
        await _read_answer(context)

    context.run(play())


@when('a caller sends the bytes of "{what}"')
def step_bytes(context, what):
    async def play():
        await _send(context, [BYTES[what]])
        await _read_answer(context)

    context.run(play())


@then("it gets {count:d} answer")
@then("it gets {count:d} answers")
def step_answers(context, count):
    assert context.answers == [200] * count, context.answers


@then("it gets the status {status:d}")
def step_status(context, status):
    assert context.answers == [status], context.answers


@then("the connection is closed")
def step_closed(context):
    rest = context.run(asyncio.wait_for(context.reader.read(), WAIT_S))
    assert rest == b"", rest
