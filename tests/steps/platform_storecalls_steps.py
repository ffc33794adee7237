"""Steps of tests/platform/storecalls.feature; the others are those of the watches."""

import asyncio
import errno
import json
import socket
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from unittest.mock import patch

import uvloop
from behave import given, then, when

from pomelolane.endpoints import pool
from pomelolane.platform.errors import StoreUnavailableError
from pomelolane.platform.storeclient import StoreClient
from tests.routed_world import configuration


async def _tries(call):
    """Repeat a call until it succeeds; return how often it was made."""
    for tries in range(1, 10):
        try:
            await call()
        except StoreUnavailableError:
            await asyncio.sleep(0.5)
        else:
            return tries
    raise AssertionError("the call never succeeded")


@given("the event loop of a VM")
def step_loop(context):
    context.loop = uvloop.new_event_loop()
    context.run = context.loop.run_until_complete
    context.add_cleanup(lambda: context.run(_end_all(context.loop)))


async def _end_all(loop):
    tasks = asyncio.all_tasks(loop) - {asyncio.current_task()}
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


@when("each answer of the store takes {ms:d} ms")
def step_late(context, ms):
    context.store.late_s = ms / 1000


@when("the store sends {rate:d} bytes a second")
def step_slow_link(context, rate):
    context.store.bytes_per_s = rate


@when("the store says version {version:d} with {size_kb:d} kB of routes")
def step_says_large(context, version, size_kb):
    document = json.loads(configuration(version))
    route = document["routes"][0]
    count = 1000 * size_kb // len(json.dumps(route))
    document["routes"] += [route | {"prefix": f"/{i}/"} for i in range(count)]
    context.store.put("op", "config", json.dumps(document).encode())


@when("requests want the configuration confirmed each {ms:d} ms")
def step_wanted(context, ms):
    async def want():
        while True:
            context.configurations.ask_now()
            await asyncio.sleep(ms / 1000)

    task = context.loop.create_task(want())
    context.add_cleanup(task.cancel)


@when("{count:d} connections to the store are idle and fall silent")
def step_silent(context, count):
    async def play():
        for task in context.tasks:
            task.cancel()
        await asyncio.gather(*(context.client.read("op") for _ in range(count)))
        context.store.silence_connections()

    context.run(play())


@when("the store has lost its history for {ms:d} ms")
def step_lost_history(context, ms):
    store = context.store
    calls = context.client.calls
    store.oldest = 1_000_000
    context.run(asyncio.sleep(ms / 1000))
    store.oldest = 0
    context.calls = context.client.calls - calls


@then("each watch has called the store at most {most:d} times meanwhile")
def step_few_calls(context, most):
    assert context.calls <= 2 * most, context.calls


class _Answer(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"

    def do_GET(self):
        time.sleep(self.server.late_s)
        body = b'{"rows": [], "ver": 1, "nowMs": 1}'
        self.send_response(200)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def log_message(self, *args):
        pass


@given("a store in another thread that answers after {ms:d} ms")
def step_other_thread(context, ms):
    server = ThreadingHTTPServer(("127.0.0.1", 0), _Answer)
    server.daemon_threads = True
    server.late_s = ms / 1000
    threading.Thread(target=server.serve_forever, daemon=True).start()
    context.add_cleanup(server.shutdown)
    context.client = StoreClient(f"127.0.0.1:{server.server_port}")
    context.run(context.client.read("op"))


@when("the event loop stands still for {ms:d} ms of each {period_ms:d} ms")
def step_stalls(context, ms, period_ms):
    # In a callback of a socket: the timers come next, before other sockets are read.
    loop = context.loop
    sending, receiving = socket.socketpair()
    context.add_cleanup(sending.close)
    context.add_cleanup(receiving.close)
    context.add_cleanup(lambda: loop.remove_reader(receiving))

    def wake():
        if sending.fileno() >= 0:
            sending.send(b"x")

    def stall():
        receiving.recv(1)
        time.sleep(ms / 1000)
        loop.call_later((period_ms - ms) / 1000, wake)

    loop.add_reader(receiving, stall)
    wake()


@then("a {kind} succeeds at the {place} try")
def step_tries(context, kind, place):
    calls = {
        "read": lambda: context.client.read("op"),
        "write": lambda: context.client.write("own", {"k": b""}),
    }
    tries = context.run(_tries(calls[kind]))
    assert tries == {"first": 1, "second": 2}[place], tries


@when("the process has no file descriptor left")
def step_no_descriptor(context):
    def fail(*args):
        raise OSError(errno.EMFILE, "Too many open files")

    async def read():
        context.client.close()
        with patch.object(pool.socket, "socket", fail):
            await context.client.read("op")

    context.read = read


@then("a read ends as one that the store did not answer")
def step_read_unavailable(context):
    try:
        context.run(context.read())
    except StoreUnavailableError:
        return
    raise AssertionError("it was answered")
