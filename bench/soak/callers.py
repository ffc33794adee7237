"""Callers that keep their connections until the process at the other end is gone."""

from __future__ import annotations

import asyncio
import contextlib
import time
from dataclasses import dataclass
from typing import TYPE_CHECKING

from bench.soak.evidence import Call
from standins.routed.streams import CallerStream, take_stream

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Sequence
    from itertools import count

    from bench.soak.evidence import Evidence
    from standins.routed.vm import PlatformVm

CALLERS_PER_VM = 6
FATAL_PART = "bad0"
KEY = "soak-key"
STREAM_LINE = "POST /help/a"
ENGINE_PATHS = ("POST /chat/a", STREAM_LINE)
EXTRA_PATH = "/plain/extra/"
KEYED_PATH = "/keyed/"
PATHS = (
    "GET /plain/a",
    "POST /plain/file/a",
    f"POST {EXTRA_PATH}a",
    f"GET {KEYED_PATH}{KEY}",
    *ENGINE_PATHS,
)
_MEAN_PAUSE_S = 0.4
_TIMEOUT_S = 4.0
_AGAIN_S = 0.1
_STREAM_ATTEMPTS = 4
_CROWD_SHARE = 0.9
_SLOW_SHARE = 0.3
_CHANGED_SHARE = 0.5
_PIECE_BYTES = (20, 400)
_PIECE_PAUSE_S = (0.0, 0.4)
_EVENT_END = b"\n\n"


@dataclass(slots=True)
class Doors:
    """The VMs, as new connections meet them.

    Attributes:
        vms: The VMs.
        draw: Chooses among them.
        crowded: Number of the VM that gets most new connections, None for none.
    """

    vms: Sequence[PlatformVm]
    draw: random.Random
    crowded: int | None = None

    def choose(self, home: int) -> int:
        """Return the number of the VM that a caller's new connection meets."""
        goes = self.crowded is not None and self.draw.random() < _CROWD_SHARE
        return self.crowded if goes else home

    def choose_other(self, number: int) -> int:
        """Return the number of another VM, for a retry."""
        return (number + self.draw.randrange(1, len(self.vms))) % len(self.vms)


class Caller:
    """One caller of a VM.

    Args:
        doors: The VMs.
        home: Number of the VM that its connections meet while none is crowded.
        headers: Headers of all requests.
        evidence: Where calls are noted.
        ids: Numbers for requests.
        choose_line: Returns lines of requests on what the configuration has changed.
        part: Part of the prompts of all its requests that crashes endpoints, empty for
            none.
    """

    def __init__(
        self,
        doors: Doors,
        home: int,
        headers: list[str],
        evidence: Evidence,
        ids: count,
        choose_line: Callable[[random.Random], str],
        part: str = "",
    ) -> None:
        self._doors = doors
        self._home = home
        self._headers = headers
        self._evidence = evidence
        self._draw = doors.draw
        self._ids = ids
        self._choose_line = choose_line
        self._part = part

    async def run(self) -> None:
        """Ask until cancelled."""
        failed = None
        while True:
            if failed is None:
                number = self._doors.choose(self._home)
            else:
                number = self._doors.choose_other(failed)
            vm = self._doors.vms[number]
            is_retry, failed = failed is not None, number
            try:
                reader, writer = await asyncio.open_connection(vm.ip, vm.front.port)
            except OSError:
                await asyncio.sleep(_AGAIN_S)
                continue
            try:
                while await self._ask(number, reader, writer):
                    pause_s = self._draw.expovariate(1 / _MEAN_PAUSE_S)
                    await asyncio.sleep(pause_s)
                    if is_retry or self._doors.crowded is not None:
                        break
                failed = None
            except (OSError, asyncio.IncompleteReadError):
                self._evidence.statuses[0] += 1
            finally:
                writer.close()

    async def ask_once(self, line: str) -> None:
        """Send one request on a connection of its own."""
        vm = self._doors.vms[self._home]
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            reader, writer = await asyncio.open_connection(vm.ip, vm.front.port)
            try:
                await self._ask(self._home, reader, writer, line)
            finally:
                writer.close()

    async def _ask(
        self,
        number: int,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        line: str = "",
    ) -> bool:
        """Send one request; return whether the connection may be used again."""
        request_id = f"{number}-{next(self._ids)}"
        path = self._draw.choice(ENGINE_PATHS if self._part else PATHS)
        if not self._part and self._draw.random() < _CHANGED_SHARE:
            path = self._choose_line(self._draw)
        path = line or path
        key = path.rpartition("/")[2] if KEYED_PATH in path else KEY
        call = Call(time.monotonic(), path, part=self._part)
        self._evidence.calls[request_id] = call
        lines = [f"{path} HTTP/1.1", f"request-id: {request_id}", *self._headers]
        lines.append(f"authorization: Bearer {key}")
        lines.append(f"prompt-prefix: a1:100,{self._part or 'b2'}:50,{request_id}:10")
        try:
            async with asyncio.timeout(_TIMEOUT_S):
                call.body = await self._send(path, lines, writer)
                call.whole_s = time.monotonic()
                call.status, call.is_sealed, closes = await _read_answer(reader)
        except (OSError, asyncio.IncompleteReadError) as error:
            call.timed_out = isinstance(error, TimeoutError)
            call.was_reset = isinstance(error, ConnectionResetError)
            call.ended_s = time.monotonic()
            raise
        call.ended_s = time.monotonic()
        self._evidence.statuses[call.status] += 1
        return not closes

    async def _send(
        self, path: str, lines: list[str], writer: asyncio.StreamWriter
    ) -> bytes:
        """Send a request, some with a body that comes slowly; return the body."""
        pieces = []
        if path.startswith("POST") and self._draw.random() < _SLOW_SHARE:
            sizes = [self._draw.randint(*_PIECE_BYTES) for _ in range(3)]
            pieces = [self._draw.randbytes(size) for size in sizes]
        in_chunks = bool(pieces) and self._draw.random() < 0.5
        framing = f"content-length: {sum(map(len, pieces))}"
        framing = "transfer-encoding: chunked" if in_chunks else framing
        writer.write("\r\n".join([*lines, framing, "", ""]).encode())
        for piece in pieces:
            await asyncio.sleep(self._draw.uniform(*_PIECE_PAUSE_S))
            if writer.is_closing():
                raise ConnectionResetError
            framed = b"%x\r\n%b\r\n" % (len(piece), piece) if in_chunks else piece
            writer.write(framed)
            await writer.drain()
        if in_chunks:
            writer.write(b"0\r\n\r\n")
        await writer.drain()
        return b"".join(pieces)


async def take_streams(
    doors: Doors,
    headers: Sequence[str],
    evidence: Evidence,
    ids: count,
) -> None:
    """Take streams until cancelled; leave half of them and resume them elsewhere."""
    vms, draw = doors.vms, doors.draw

    def make_id(vm: PlatformVm) -> str:
        request_id = f"{vms.index(vm)}-{next(ids)}"
        evidence.calls[request_id] = Call(time.monotonic(), STREAM_LINE)
        return request_id

    while True:
        order = draw.sample(vms, min(len(vms), _STREAM_ATTEMPTS))
        leaves = [draw.randint(1, 4) for _ in range(draw.choice((0, 0, 1, 2)))]
        stream = CallerStream()
        evidence.streams.append(stream)
        await take_stream(order, make_id, STREAM_LINE, headers, leaves, stream=stream)
        for each in stream.attempts:
            call = evidence.calls[each.request_id]
            call.status = each.status if each.status != 200 or each.goes_on else 0
        await asyncio.sleep(draw.expovariate(1 / _MEAN_PAUSE_S))


async def _read_answer(reader: asyncio.StreamReader) -> tuple[int, bool, bool]:
    """Return the status, whether an endpoint sealed it and whether it was the last."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").lower()
    status = int(head.split(" ", 2)[1])
    fields = dict(line.split(": ", 1) for line in head.strip().split("\r\n")[1:])
    closes = fields.get("connection") == "close"
    if "content-length" in fields:
        await reader.readexactly(int(fields["content-length"]))
    elif "transfer-encoding" in fields:
        while size := int(await _read_line(reader), 16):
            await reader.readexactly(size + 2)
        await _read_line(reader)
    else:
        closes = True
        body = await reader.read(-1)
        is_stream = fields.get("content-type") == "text/event-stream"
        if is_stream and not body.endswith(_EVENT_END):
            raise asyncio.IncompleteReadError(body, None)
    return status, "server-seal" in fields, closes


async def _read_line(reader: asyncio.StreamReader) -> bytes:
    """Return a line; an answer that ends without one was broken off."""
    return await reader.readuntil(b"\n")
