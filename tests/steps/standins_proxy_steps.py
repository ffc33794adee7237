"""Steps for the fault proxy between a client and an echo server."""

import asyncio
import contextlib
import json

from behave import given, then, when

from standins.proxy import ProxyOptions, start_proxy
from tests.standins_world import GIVE_UP_S, call, keep, until_true


@given("a stand-in link to an echo server")
def step_link(context):
    context.received = 0
    context.sent = context.echoed = b""
    context.client = None

    async def echo(reader, writer):
        with contextlib.suppress(OSError):
            while data := await reader.read(65536):
                context.received += len(data)
                writer.write(data)
                await writer.drain()
        writer.close()

    async def start():
        server = await asyncio.start_server(echo, "127.0.0.1", 0)
        context.add_cleanup(server.close)
        return server.sockets[0].getsockname()[1]

    context.proxy = keep(context, context.run(start_proxy(ProxyOptions())))
    target = f"127.0.0.1:{context.run(start())}"
    body = {"name": "l", "target": target}
    pending = call("POST", context.proxy.control.port, "/links", json=body)
    context.link_port = json.loads(context.run(pending)[1])["listen_port"]


@given("the stand-in link has {change}")
@when("the stand-in link has {change}")
def step_link_change(context, change):
    pending = call("POST", context.proxy.control.port, "/links/l", data=change)
    assert context.run(pending)[0] == 200


@given("a client is connected over the stand-in link")
def step_connect(context):
    connect = asyncio.open_connection("127.0.0.1", context.link_port)
    context.client = context.run(connect)
    context.add_cleanup(context.client[1].close)


@when("{count:d} bytes are sent over the stand-in link")
def step_send(context, count):
    step_connect(context)
    _send(context, bytes(i % 251 for i in range(count)))


@when("{count:d} more bytes are sent over the stand-in link")
def step_send_more(context, count):
    _send(context, b"m" * count)


def _send(context, data):
    context.sent = data
    context.client[1].write(data)


def _read_echo(context):
    echo = context.client[0].readexactly(len(context.sent))
    return context.run(asyncio.wait_for(echo, GIVE_UP_S))


@then("all of them come back over the stand-in link")
@then("only the last {count:d} bytes come back over the stand-in link")
def step_echoed(context, count=0):
    del count
    assert _read_echo(context) == context.sent


@then("the stand-in client's connection is broken")
def step_client_broken(context):
    with contextlib.suppress(ConnectionResetError):
        assert context.run(context.client[0].read(1)) == b""


@then("the stand-in link refuses connections")
def step_link_refuses(context):
    try:
        context.run(asyncio.open_connection("127.0.0.1", context.link_port))
    except ConnectionRefusedError:
        return
    raise AssertionError


@then("the stand-in echo server has received {count:d} bytes")
def step_received(context, count):
    pending = call("GET", context.proxy.control.port, "/links")
    assert context.run(pending)[0] == 200
    assert context.received == count


@then("the stand-in echo server receives {count:d} bytes")
def step_receives(context, count):
    context.run(until_true(lambda: context.received == count))
