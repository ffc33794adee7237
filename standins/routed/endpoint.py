"""An endpoint that speaks the platform's protocol: engine or plain service.

It admits in arrival order, as many at a time as it has slots, and refuses beyond
its queue. What it does wrong is set from outside.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import random
import socket
import struct
import time
from collections import deque
from dataclasses import dataclass, field
from enum import StrEnum

from standins.routed.recording import RecordingWriter, Repeats

_LONG_S = 60.0
"""Longer than any caller waits."""

_BROKEN_EVENT = 3
_BROKEN_EVENT_BYTES = 7
"""Bytes of that event which a broken stream still sends."""

_BEFORE_RESET_S = 0.05
_ENDLESS_CHUNK = b"10000\r\n" + bytes(65536) + b"\r\n"


class Fault(StrEnum):
    """What an endpoint does wrong."""

    NONE = "none"
    ERROR = "error"
    SILENT = "silent"
    CRASH = "crash"
    """The connection is reset when the request is in."""
    TORN = "torn"
    """The body ends inside its third event, or half-way, with an orderly close."""
    RESET = "reset"
    """As torn, but the connection is reset."""
    CUT_SHORT = "cut short"
    """As torn, but the framing tells that the body is complete."""
    MUTE = "mute"
    """The stream says nothing more after its second event."""
    FOREIGN = "foreign"
    """The answer bears another request's id."""
    UNSEALED = "unsealed"
    """The answer has no proof that it is the endpoint's own."""
    EXTRA = "extra"
    """A second answer follows."""
    ENCODED = "encoded"
    """The body claims an encoding."""
    ENDLESS_HEADER = "endless header"
    """The answer's head holds a header that does not end."""
    ENDLESS_BODY = "endless body"
    """The body does not end."""
    ENDLESS_EVENT = "endless event"
    """The third event of a stream does not end."""


class BodyFraming(StrEnum):
    """How an endpoint tells where a body ends."""

    LENGTH = "length"
    CHUNKS = "chunks"
    CLOSE = "close"


_BREAKS = frozenset({Fault.TORN, Fault.RESET, Fault.CUT_SHORT})


@dataclass(frozen=True, slots=True)
class Flaw:
    """What is wrong with a version.

    Attributes:
        share: Part of its answers that are bad.
        slower_by: Factor on their time; 0 where they fail instead.
        after_s: Time from the endpoint's start until then.
        busy: Part of its slots that must be taken.
        path: How their paths begin.
    """

    share: float = 0.5
    slower_by: float = 0.0
    after_s: float = 0.0
    busy: float = 0.0
    path: str = "/"


@dataclass(slots=True)
class EndpointOptions:
    """How an endpoint works.

    Attributes:
        slots: Requests at a time.
        queue: Requests that may wait beside.
        work_ms: Time to the answer, or its first event.
        events: Events of a stream, 0 for a plain service.
        event_ms: Time between two events.
        pause_ms: Silence before the third event of a stream, after which it goes on.
        framing: How it frames its successful answers; None for chunks of streams
            and the length of all others.
        line_end: What ends a line of its streams.
        trailer: Bytes behind the last event of its streams.
        broken_share: Part of its streams that are reset inside their third event, or
            end there where the end of the connection frames them.
        brittle_limit: Requests that it may turn away within a second for want of room;
            beyond, it falls over. It says so in all answers. 0 for no such limit.
        down_s: How long it is down once it has fallen over.
        fatal: Part of a body under which the process ends when it begins the request;
            empty for none.
        fatal_part: Id of a part of prompts under which the process ends when it begins
            the answer; empty for none.
        ends_silently: Whether its connections then stay open and say nothing more.
        version: Version of its software.
        flaw: What is wrong with that version, if anything.
    """

    slots: int = 4
    queue: int = 8
    work_ms: float = 5.0
    events: int = 0
    event_ms: float = 2.0
    pause_ms: float = 0.0
    framing: BodyFraming | None = None
    line_end: str = "\n"
    trailer: bytes = b""
    broken_share: float = 0.0
    brittle_limit: int = 0
    down_s: float = 3.0
    fatal: bytes = b""
    fatal_part: str = ""
    ends_silently: bool = False
    version: str = "v1"
    flaw: Flaw | None = None


@dataclass(slots=True)
class Seen:
    """A request as it arrived.

    Attributes:
        line: Method, path and query, and protocol.
        headers: By lower-case name.
        body: The body.
        ran: Whether it was begun.
        cut: Whether its caller closed the connection first.
        at_s: When it arrived, by the test's monotonic clock.
        ended_s: When the process ended under it, 0 where it did not.
        bad_s: When it got a bad answer by the version's flaw, 0 where it did not.
        turned_away: Whether it was turned away with a time of rest.
        broke_off: Whether the endpoint broke off its answer.
        slot_from_s: When it got a slot, 0 where it did not.
        slot_until_s: When it left the slot, 0 where it has not.
    """

    line: str
    headers: dict[str, str]
    body: bytes
    ran: bool = False
    cut: bool = False
    at_s: float = field(default_factory=time.monotonic)
    ended_s: float = 0.0
    bad_s: float = 0.0
    turned_away: bool = False
    broke_off: bool = False
    slot_from_s: float = 0.0
    slot_until_s: float = 0.0

    @property
    def shared_parts(self) -> list[str]:
        """Ids of all parts of its prompt but the last one."""
        parts = self.headers.get("prompt-prefix", "").split(",")
        return [one.partition(":")[0] for one in parts[:-1]]


@dataclass(eq=False)
class RoutedEndpoint:
    """One endpoint.

    Attributes:
        endpoint_id: Its id of this start.
        options: How it works.
        fault: What it does wrong.
        seen: All requests so far.
        falls: How often it has fallen over.
        ended: Set once its process has ended under a request.
        says: Headers that all its answers bear.
        rest: What it asks for in ``Retry-After`` as it turns requests away, empty
            where it turns none away.
        turns_away_each: Which requests it turns away: 4 for each fourth.
        names_refused: Whether it names the request as it turns one away.
        repeats: Which answers it sends again, before the next one on the connection.
    """

    endpoint_id: str
    options: EndpointOptions = field(default_factory=EndpointOptions)
    fault: Fault = Fault.NONE
    seen: list[Seen] = field(default_factory=list)
    says: dict[str, str] = field(default_factory=dict)
    rest: str = ""
    turns_away_each: int = 1
    names_refused: bool = True
    repeats: Repeats = Repeats.NOTHING

    def __post_init__(self) -> None:
        self._running = asyncio.Semaphore(self.options.slots)
        self._waiting = 0
        self._turned_away_s: deque[float] = deque()
        self.falls = 0
        if self.options.brittle_limit:
            self.says["server-brittle"] = str(self.options.brittle_limit)
        self._at_work = 0
        self._started_s = time.monotonic()
        self._tasks: set[asyncio.Task[None]] = set()
        self._withheld: list[asyncio.Task[bool]] = []
        self._coming_back: asyncio.Task[None] | None = None
        self.ended = asyncio.Event()
        self._speaks = asyncio.Event()
        self._speaks.set()

    async def start(self, host: str = "127.0.0.1", port: int = 0) -> str:
        """Listen and return ``ip:port``."""
        self._server = await asyncio.start_server(self._serve, host, port)
        return f"{host}:{self._server.sockets[0].getsockname()[1]}"

    async def fall_silent(self, for_s: float) -> None:
        """Send nothing of any answer for a time, then go on."""
        self._speaks.clear()
        await asyncio.sleep(for_s)
        self._speaks.set()

    def restart_clock(self) -> None:
        """Count the time until its flaw from now on."""
        self._started_s = time.monotonic()

    async def aclose(self) -> None:
        """Stop to listen and drop all connections."""
        if self._coming_back is not None:
            self._coming_back.cancel()
        self._drop_all()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def _drop_all(self) -> None:
        self._server.close()
        for task in tuple(self._tasks):
            task.cancel()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        self._tasks.add(task)
        recorder = RecordingWriter(writer)
        try:
            while await self._exchange(reader, recorder):
                pass
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            writer.transport.abort()
        finally:
            self._tasks.discard(task)
            writer.close()

    async def _exchange(
        self, reader: asyncio.StreamReader, writer: RecordingWriter
    ) -> bool:
        request = await _read(reader)
        await self._repeat(writer)
        self.seen.append(request)
        named = {"request-id": request.headers.get("request-id", "")}
        expected = request.headers.get("expect-instance", self.endpoint_id)
        if expected != self.endpoint_id:
            writer.write(_head(421, named | {"instance-id": self.endpoint_id}, 0))
            return True
        if self.rest and len(self.seen) % self.turns_away_each == 0:
            request.turned_away = True
            headers = {"not-executed": "1", "retry-after": self.rest, **self.says}
            named = named if self.names_refused else {}
            writer.write(_head(503, named | headers, 0))
            return True
        full = self._waiting >= self.options.queue and self._running.locked()
        if full:
            headers = {"not-executed": "1", **self.says}
            writer.write(_head(503, named | headers, 0))
            return not self._falls_over()
        self._waiting += 1
        try:
            await self._running.acquire()
        finally:
            self._waiting -= 1
        self._at_work += 1
        request.slot_from_s = time.monotonic()
        try:
            return await self._run(request, reader, writer)
        finally:
            request.slot_until_s = time.monotonic()
            self._at_work -= 1
            self._running.release()

    async def _repeat(self, writer: RecordingWriter) -> None:
        """Send the connection's last answer again, if it is one that is repeated."""
        extra = writer.take_answer(self.repeats)
        if extra:
            writer.send_extra(extra)
        if extra and self.repeats is Repeats.ENDLESS:
            await _send_without_end(writer, b"", _ENDLESS_CHUNK)

    def halve_room(self) -> None:
        """Let half as many requests run and none wait from now on."""
        self.options.queue = 0
        for _ in range(self.options.slots // 2):
            self._withheld.append(asyncio.ensure_future(self._running.acquire()))

    def _falls_over(self) -> bool:
        """Count a request that is turned away; return whether that was one too many."""
        limit = self.options.brittle_limit
        now_s = time.monotonic()
        self._turned_away_s.append(now_s)
        while now_s - self._turned_away_s[0] > 1.0:
            self._turned_away_s.popleft()
        if not limit or len(self._turned_away_s) <= limit:
            return False
        self._turned_away_s.clear()
        self.falls += 1
        host, port = self._server.sockets[0].getsockname()[:2]
        self._drop_all()
        self._coming_back = asyncio.create_task(self._come_back(host, port))
        return True

    async def _come_back(self, host: str, port: int) -> None:
        await asyncio.sleep(self.options.down_s)
        await self.start(host, port)

    async def _run(
        self,
        request: Seen,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        request.ran = True
        leaving = asyncio.ensure_future(reader.read(1))
        answering = asyncio.ensure_future(self._answer(request, writer))
        try:
            await asyncio.wait(
                {leaving, answering}, return_when=asyncio.FIRST_COMPLETED
            )
        except asyncio.CancelledError:
            request.broke_off = True
            leaving.cancel()
            answering.cancel()
            raise
        if not answering.done():
            request.cut = True
            answering.cancel()
        leaving.cancel()
        with contextlib.suppress(asyncio.CancelledError, OSError):
            await leaving
        with contextlib.suppress(asyncio.CancelledError):
            return await answering
        return False

    async def _answer(self, request: Seen, writer: asyncio.StreamWriter) -> bool:
        fault = self.fault
        if fault is Fault.SILENT:
            await asyncio.sleep(_LONG_S)
        work_s = self.options.work_ms / 1000
        flaw = self.options.flaw
        if flaw is not None and self._is_bad(flaw, request):
            request.bad_s = time.monotonic() + work_s * max(1.0, flaw.slower_by)
            work_s *= max(1.0, flaw.slower_by)
            fault = fault if flaw.slower_by else Fault.ERROR
        await asyncio.sleep(work_s)
        await self._speaks.wait()
        if self._is_fatal(request):
            request.ended_s = time.monotonic()
            self.ended.set()
            if not self.options.ends_silently:
                self._drop_all()
                return False
        await self._be_silent_if_ended()
        if fault is Fault.CRASH:
            _reset(writer)
            return False
        headers = {"request-id": request.headers.get("request-id", "")}
        headers["server-seal"] = f"seal-of-{self.endpoint_id}"
        headers |= self.says
        if fault is Fault.FOREIGN:
            headers["request-id"] = "another"
        if fault is Fault.UNSEALED:
            del headers["server-seal"]
        if fault is Fault.ENCODED:
            headers["content-encoding"] = "gzip"
        if fault is Fault.ERROR:
            writer.write(_head(500, headers, 6) + b"broken")
            return True
        if fault is Fault.ENDLESS_HEADER:
            await _send_without_end(writer, b"HTTP/1.1 200 Status\r\nx: ", b"x" * 65536)
        if fault is Fault.ENDLESS_BODY:
            head = _head(200, headers, 0, BodyFraming.CHUNKS)
            await _send_without_end(writer, head, _ENDLESS_CHUNK)
        if self.options.events:
            return await self._stream(request, headers, writer)
        return await self._answer_plainly(headers, writer)

    async def _answer_plainly(
        self, headers: dict[str, str], writer: asyncio.StreamWriter
    ) -> bool:
        body = b"answer of " + self.endpoint_id.encode()
        if self.fault in _BREAKS:
            framing = self.options.framing or BodyFraming.LENGTH
            sent_bytes = len(body) // 2
            await self._break_off(
                self.fault, headers, writer, framing, body, sent_bytes
            )
            return False
        framing = self.options.framing or BodyFraming.LENGTH
        head = _head(200, headers, len(body), framing)
        whole = head + _framed(framing, body) + _end_of(framing)
        writer.write(whole * 2 if self.fault is Fault.EXTRA else whole)
        await writer.drain()
        return framing is not BodyFraming.CLOSE

    async def _break_off(
        self,
        fault: Fault,
        headers: dict[str, str],
        writer: asyncio.StreamWriter,
        framing: BodyFraming,
        body: bytes,
        sent_bytes: int,
    ) -> None:
        """Send only the beginning of a body, and end as the fault says."""
        sent = body[:sent_bytes]
        if fault is Fault.CUT_SHORT:
            writer.write(_head(200, headers, len(sent), framing))
            writer.write(_framed(framing, sent) + _end_of(framing))
        else:
            writer.write(_head(200, headers, len(body), framing))
            writer.write(_framed(framing, body, sent_bytes))
        await writer.drain()
        if fault is Fault.RESET:
            # What was sent must have left before the reset takes it back.
            await asyncio.sleep(_BEFORE_RESET_S)
            _reset(writer)

    def _is_bad(self, flaw: Flaw, request: Seen) -> bool:
        path = request.line.split(" ")[1]
        is_late = time.monotonic() >= self._started_s + flaw.after_s
        is_busy = self._at_work >= flaw.busy * self.options.slots
        is_chosen = random.random() < flaw.share
        return is_chosen and is_late and is_busy and path.startswith(flaw.path)

    def _is_fatal(self, request: Seen) -> bool:
        fatal = self.options.fatal
        part = self.options.fatal_part
        in_body = bool(fatal) and fatal in request.body
        return in_body or (bool(part) and part in request.shared_parts)

    async def _be_silent_if_ended(self) -> None:
        if self.ended.is_set():
            await asyncio.sleep(_LONG_S)

    async def _stream(
        self, request: Seen, headers: dict[str, str], writer: asyncio.StreamWriter
    ) -> bool:
        headers["content-type"] = "text/event-stream"
        framing = self.options.framing or BodyFraming.CHUNKS
        first = int(request.headers.get("last-event-id", "0")) + 1
        numbers = range(first, self.options.events + 1)
        fault = self.fault
        if fault is Fault.NONE and random.random() < self.options.broken_share:
            ends_in_order = framing is BodyFraming.CLOSE
            fault = Fault.TORN if ends_in_order else Fault.RESET
        if fault in _BREAKS and _BROKEN_EVENT in numbers:
            whole = b"".join(self._event(number) for number in numbers)
            before = range(first, _BROKEN_EVENT)
            sent_bytes = sum(len(self._event(number)) for number in before)
            sent_bytes += _BROKEN_EVENT_BYTES
            request.broke_off = True
            await self._break_off(fault, headers, writer, framing, whole, sent_bytes)
            return False
        size = sum(len(self._event(number)) for number in numbers)
        writer.write(_head(200, headers, size + len(self.options.trailer), framing))
        for number in numbers:
            if fault is Fault.MUTE and number == _BROKEN_EVENT:
                await asyncio.sleep(_LONG_S)
            if fault is Fault.ENDLESS_EVENT and number == _BROKEN_EVENT:
                begin = _framed(framing, b"data: ")
                await _send_without_end(writer, begin, _ENDLESS_CHUNK)
            if number == _BROKEN_EVENT:
                await asyncio.sleep(self.options.pause_ms / 1000)
            await self._be_silent_if_ended()
            await self._speaks.wait()
            if writer.is_closing():
                return False
            writer.write(_framed(framing, self._event(number)))
            await writer.drain()
            await asyncio.sleep(self.options.event_ms / 1000)
        if self.options.trailer:
            writer.write(_framed(framing, self.options.trailer))
        writer.write(_end_of(framing))
        return framing is not BodyFraming.CLOSE

    def _event(self, number: int) -> bytes:
        data = f"data: piece {number} of {self.options.version}"
        lines = (f"id: {number}", data, "", "")
        return self.options.line_end.join(lines).encode()


def registered(
    endpoint: RoutedEndpoint,
    service: str,
    address: str,
    data_centre: str,
    state: str = "ready",
    born_ms: int = 0,
) -> bytes:
    """Return the row by which an endpoint registers; no start is told for 0."""
    row = {
        "service": service,
        "address": address,
        "zone": data_centre,
        "version": endpoint.options.version,
        "slots": endpoint.options.slots,
        "state": state,
        "coldRemainingMs": 0,
        "sequence": 1,
    }
    if born_ms:
        row["born"] = born_ms
    return json.dumps(row).encode()


async def _read(reader: asyncio.StreamReader) -> Seen:
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    line, *fields = head.strip().split("\r\n")
    headers = {}
    for one in fields:
        name, _, value = one.partition(":")
        headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return Seen(line, headers, body)


def _head(
    status: int,
    headers: dict[str, str],
    length: int,
    framing: BodyFraming = BodyFraming.LENGTH,
) -> bytes:
    fields = dict(headers)
    if framing is BodyFraming.CHUNKS:
        fields["transfer-encoding"] = "chunked"
    elif framing is BodyFraming.LENGTH:
        fields["content-length"] = str(length)
    lines = [f"HTTP/1.1 {status} Status"]
    lines += [f"{name}: {value}" for name, value in fields.items()]
    return "\r\n".join([*lines, "", ""]).encode()


async def _send_without_end(
    writer: asyncio.StreamWriter, begin: bytes, block: bytes
) -> None:
    """Send until the connection is closed.

    Raises:
        OSError: It is closed.
    """
    writer.write(begin)
    while True:
        writer.write(block)
        await writer.drain()


def _reset(writer: asyncio.StreamWriter) -> None:
    """Close a connection by a reset; by itself ``abort`` closes it in order."""
    sock = writer.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


def _framed(framing: BodyFraming, data: bytes, sent_bytes: int | None = None) -> bytes:
    """Return a piece of a body in its framing, or the beginning of such a piece."""
    sent = data if sent_bytes is None else data[:sent_bytes]
    if framing is not BodyFraming.CHUNKS:
        return sent
    end = b"\r\n" if sent_bytes is None else b""
    return b"%x\r\n%b%b" % (len(data), sent, end)


def _end_of(framing: BodyFraming) -> bytes:
    return b"0\r\n\r\n" if framing is BodyFraming.CHUNKS else b""
