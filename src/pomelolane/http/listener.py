"""The HTTP server under the gateway: uvicorn with bounds on what callers send.

A request that is too long, too slow or malformed, or for which there is no memory,
gets a problem-details answer, and its connection is closed.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct
from collections import deque
from typing import TYPE_CHECKING, Any

import httptools
import uvicorn
from uvicorn.protocols.http.flow_control import FlowControl

from pomelolane.endpoints.caller_protocol import RelayHttpProtocol
from pomelolane.http.connections import CallerConnections
from pomelolane.http.problem import (
    encode_problem,
    problem_from_refusal,
    problem_headers,
)
from pomelolane.outcomes import Outcome, Reason, Refusal

if TYPE_CHECKING:
    from collections.abc import Callable

MAX_HEAD_BYTES = 32 * 1024
"""Most bytes of a request's head, and of all that comes in a row without being one or
a part of a body: empty lines, the framing of chunks, trailers."""

MAX_PIPELINED_REQUESTS = 8
"""Most requests of a connection that wait behind the one being answered."""

KEEP_ALIVE_S = 75
BACKLOG = 2048
CLOSE_TIMEOUT_S = 2.0
"""Time for a refused caller to read its answer."""

UNREAD_TIMEOUT_MS = 20_000
"""Time after which the kernel ends a connection whose caller takes no more bytes."""

RECEIVE_BUFFER_BYTES = 64 * 1024
"""Bytes of a connection that the kernel keeps until they are read, and so what comes
from one connection before the others get their turn."""

EVICTED_RETRY_MS = 1000
"""Retry delay for callers whose requests are refused for want of memory."""

_PIECE_BYTES = 4 * 1024
"""Bytes that are parsed between two checks of the bounds."""

_EVENTS_PER_REQUEST = 50
"""What the begin of a request counts for in the parser's turns."""

_HEADER_OVERHEAD_BYTES = 200
"""Memory of a parsed header beside its text."""

_REQUEST_OVERHEAD_BYTES = 4096
"""Memory of a request beside its headers and its body."""

_RESET_ON_CLOSE = struct.pack("ii", 1, 0)

_STATUS_LINES = {
    400: b"HTTP/1.1 400 Bad Request\r\n",
    408: b"HTTP/1.1 408 Request Timeout\r\n",
    431: b"HTTP/1.1 431 Request Header Fields Too Large\r\n",
    503: b"HTTP/1.1 503 Service Unavailable\r\n",
}

_MEMORY_FULL = Refusal(
    Outcome.NOT_RUN,
    Reason.MEMORY_FULL,
    EVICTED_RETRY_MS,
    "the VM has no memory left for this request",
)


class _HoldableFlow(FlowControl):
    """uvicorn's flow control, which also stops to read while data is not parsed yet."""

    def __init__(self, transport: asyncio.Transport) -> None:
        super().__init__(transport)
        self._is_held = False

    def hold(self) -> None:
        """Stop to read until `release`."""
        self._is_held = True
        self._transport.pause_reading()

    def release(self) -> None:
        """Read again, unless uvicorn has stopped it."""
        if self._is_held:
            self._is_held = False
            if not self.read_paused:
                self._transport.resume_reading()

    def resume_reading(self) -> None:
        """Read again, unless data is not parsed yet."""
        if self._is_held:
            self.read_paused = False
        else:
            super().resume_reading()


class _RequestRefusedError(Exception):
    """Ends the parser's work on a request that is refused.

    Attributes:
        status: HTTP status of the answer.
        refusal: The refusal.
    """

    def __init__(self, status: int, refusal: Refusal) -> None:
        super().__init__(refusal.detail)
        self.status = status
        self.refusal = refusal


class GuardedProtocol(RelayHttpProtocol):
    """uvicorn's protocol with bounds on what is held before a request is complete.

    Attributes:
        header_timeout_ms: Bound on a head's time; the server makes protocols
            itself, so the bound belongs to the class.
        registry: All connections of the VM's callers.
    """

    header_timeout_ms: int
    registry: CallerConnections

    def __init__(self, *args: Any, **kwargs: Any) -> None:
        super().__init__(*args, **kwargs)
        self._head_bytes = 0
        self._head_cost_bytes = 0
        self._trailer_bytes = 0
        self._framing_bytes = 0
        self._has_progress = False
        self._body_expected = False
        self._unparsed = b""
        self._unparsed_at = 0
        self._events = 0
        # Memory of each request that is not answered yet, oldest first.
        self._request_costs: deque[int] = deque()
        self._is_refused = False
        self._refusal: _RequestRefusedError | None = None
        self._head_timer: asyncio.TimerHandle | None = None
        self._close_timer: asyncio.TimerHandle | None = None

    # --- asyncio.Protocol ---

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Wait for the first head, for a bounded time."""
        super().connection_made(transport)
        self.flow = _HoldableFlow(transport)
        if not self.registry.add(self):
            transport.abort()
            return
        _bound_socket(transport.get_extra_info("socket"))
        self._arm()

    def connection_lost(self, exc: Exception | None) -> None:
        """Wait for no head any more."""
        self._disarm()
        if self._close_timer is not None:
            self._close_timer.cancel()
        self.registry.remove(self)
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        """Parse the data, some of it in later turns of the event loop."""
        is_pending = bool(self._unparsed)
        self._unparsed = self._unparsed[self._unparsed_at :] + data
        self._unparsed_at = 0
        if is_pending:
            return
        while self.registry.turns.has_capacity:
            if not self.parse_next():
                return
        self.flow.hold()
        self.registry.turns.enqueue(self, self.loop)

    def parse_next(self) -> bool:
        """Parse the next piece; return whether more data is left."""
        if self._can_parse():
            piece = self._unparsed[self._unparsed_at : self._unparsed_at + _PIECE_BYTES]
            self._unparsed_at += len(piece)
            self._parse(piece)
        if self._can_parse() and self._unparsed_at < len(self._unparsed):
            return True
        self._unparsed, self._unparsed_at = b"", 0
        if not self.transport.is_closing():
            self.flow.release()
        return False

    def _can_parse(self) -> bool:
        return not (self._is_refused or self.transport.is_closing())

    def _parse(self, piece: bytes) -> None:
        if not self._body_expected and self._head_timer is None:
            self._arm()
        self._has_progress = False
        self._events = 1
        self._feed(piece)
        self.registry.turns.count(self._events, self.loop)
        if self._is_refused:
            return
        if self._has_progress:
            self._framing_bytes = 0
        else:
            self._framing_bytes += len(piece)
        if self._framing_bytes > MAX_HEAD_BYTES:
            self._refuse(*_head_too_long())
        else:
            self._record_progress()

    def _feed(self, piece: bytes) -> None:
        self._unset_keepalive_if_required()
        try:
            self.parser.feed_data(piece)
        except httptools.HttpParserUpgrade as upgrade:
            self._go_on_without_upgrade(piece[upgrade.args[0] :])
        except httptools.HttpParserError:
            self.send_400_response("the request is not HTTP/1.1")

    def _go_on_without_upgrade(self, rest: bytes) -> None:
        """Parse a request again without its offer of another protocol.

        The parser takes the offer as accepted, and the body for the other protocol's.

        Args:
            rest: Bytes behind the request's head.
        """
        method = self.parser.get_method()
        if method == b"CONNECT":
            self._refuse(400, _bad_request("tunnels are not served"))
            return
        version = self.parser.get_http_version().encode()
        head = [method + b" " + self.url + b" HTTP/" + version]
        head += [
            name + b": " + value for name, value in self.headers if name != b"upgrade"
        ]
        self.parser = httptools.HttpRequestParser(self)
        # As uvicorn sets it.
        self.parser.set_dangerous_leniencies(lenient_data_after_close=True)
        self._feed(b"\r\n".join([*head, b"", rest]))

    def pause_writing(self) -> None:
        """Count what the caller doesn't read as memory of its requests."""
        super().pause_writing()
        self._record_progress()

    def resume_writing(self) -> None:
        """Count it no more."""
        super().resume_writing()
        self._record_progress()

    # --- the parser's events ---

    def on_message_begin(self) -> None:
        """Begin to count the bytes of a head."""
        super().on_message_begin()
        self._head_bytes = 0
        self._trailer_bytes = 0
        self._head_cost_bytes = _REQUEST_OVERHEAD_BYTES

    def on_url(self, url: bytes) -> None:
        """Count a part of the request's target."""
        self._count_head(len(url))
        super().on_url(url)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Count a header; one that comes behind the body is dropped."""
        self._events += 1
        size = len(name) + len(value) + len(b": \r\n")
        if self._body_expected:
            self._trailer_bytes += size
            if self._trailer_bytes > MAX_HEAD_BYTES:
                self._stop_parsing(*_head_too_long())
            return
        self._count_head(size)
        self._head_cost_bytes += _HEADER_OVERHEAD_BYTES
        super().on_header(name, value)

    def _count_head(self, size: int) -> None:
        self._head_bytes += size
        self._head_cost_bytes += size
        if self._head_bytes > MAX_HEAD_BYTES:
            self._stop_parsing(*_head_too_long())

    def on_headers_complete(self) -> None:
        """Begin a request whose head has come whole, if there is room for it."""
        self._disarm()
        if self.parser.should_upgrade():
            return
        if len(self.pipeline) >= MAX_PIPELINED_REQUESTS:
            self._stop_parsing(503, _MEMORY_FULL)
        if not self.registry.has_room(self, self._head_cost_bytes):
            self._stop_parsing(503, _MEMORY_FULL)
        self._has_progress = True
        self._events += _EVENTS_PER_REQUEST
        self._request_costs.append(self._head_cost_bytes)
        self._head_bytes = self._head_cost_bytes = 0
        super().on_headers_complete()
        self._body_expected = True

    def on_body(self, body: bytes) -> None:
        """Count a part of a body."""
        self._has_progress = True
        self._events += 1
        if self._request_costs:
            self._request_costs[-1] += len(body)
        super().on_body(body)

    def on_message_complete(self) -> None:
        """Note that the next bytes begin another head."""
        self._has_progress = True
        if self.parser.should_upgrade():
            return
        self._body_expected = False
        super().on_message_complete()

    def on_response_complete(self) -> None:
        """Release the memory of a request, and go on with the next one."""
        if self._request_costs:
            self._request_costs.popleft()
        if self._is_refused and len(self.pipeline) == 1 and self._body_expected:
            self.pipeline.clear()
            self._close()
            return
        super().on_response_complete()
        self._record_progress()

    def _stop_parsing(self, status: int, refusal: Refusal) -> None:
        """Have the parser stop at once: uvicorn then calls `send_400_response`."""
        self._refusal = _RequestRefusedError(status, refusal)
        raise self._refusal

    def send_400_response(self, msg: str) -> None:
        """Refuse what the parser cannot read, as problem details."""
        if self._refusal is None:
            self._refuse(400, _bad_request(msg))
        else:
            self._refuse(self._refusal.status, self._refusal.refusal)

    # --- memory ---

    def evict(self) -> None:
        """End a connection that waits for its caller."""
        if self.flow.write_paused:
            self._reset()
        elif self._is_receiving():
            self._refuse(503, _MEMORY_FULL)
        elif not self._is_answering():
            self._close()

    def _record_progress(self) -> None:
        held_bytes = sum(self._request_costs)
        held_bytes += self._head_cost_bytes + self._framing_bytes
        held_bytes += len(self._unparsed)
        is_unread = self.flow.write_paused
        if is_unread:
            held_bytes += self.transport.get_write_buffer_size()
        is_receiving = self._is_receiving() and not self._is_refused
        self.registry.update(
            self,
            held_bytes,
            is_evictable=is_unread or is_receiving,
            is_closable=is_unread or not self._is_answering() or self._is_in_turn(),
        )

    def _drop_incomplete(self) -> None:
        if not self._body_expected:
            self.scope, self.headers = {}, []
        elif self._request_costs:
            self._request_costs.pop()
            self.cycle.body = bytearray()
        self._head_bytes = self._head_cost_bytes = self._framing_bytes = 0
        self._record_progress()

    # --- states and refusals ---

    def _is_receiving(self) -> bool:
        return self._body_expected or self._head_bytes + self._framing_bytes > 0

    def _is_in_turn(self) -> bool:
        """Whether the request being received is the one to be answered next."""
        return self._body_expected and not self.pipeline

    def _is_answering(self) -> bool:
        return self.cycle is not None and not self.cycle.response_complete

    def _arm(self) -> None:
        delay_s = self.header_timeout_ms / 1000
        self._head_timer = self.loop.call_later(delay_s, self._head_is_late)

    def _disarm(self) -> None:
        if self._head_timer is not None:
            self._head_timer.cancel()
            self._head_timer = None

    def _head_is_late(self) -> None:
        self._head_timer = None
        if not self._is_receiving():
            self._close()
            return
        detail = f"the head took over {self.header_timeout_ms} ms"
        self._refuse(408, _bad_request(detail))

    def _refuse(self, status: int, refusal: Refusal) -> None:
        """Refuse the request being received; earlier ones still get their answers."""
        self._disarm()
        if self.transport.is_closing() or self._is_refused:
            return
        self._is_refused = True
        if self._is_in_turn():
            if not self.cycle.response_started:
                self.transport.write(_raw_problem(status, refusal))
            # The application reads no more of the body, and sends no second answer.
            self.cycle.disconnected = True
            self.cycle.message_event.set()
            self._close()
        elif not self._is_answering():
            self.transport.write(_raw_problem(status, refusal))
            self._close()
        elif not self._body_expected:
            self.cycle.keep_alive = False
        self._drop_incomplete()
        # It may hold a part of a head.
        self.parser = None

    def _close(self) -> None:
        """Close the connection; a caller that reads nothing can't keep it open."""
        if not self.transport.is_closing():
            self.transport.close()
            self._close_timer = self.loop.call_later(CLOSE_TIMEOUT_S, self._reset)

    def _reset(self) -> None:
        """Drop the connection with all that its caller has not read."""
        sock = self.transport.get_extra_info("socket")
        with contextlib.suppress(OSError):
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
        self.transport.abort()


def make_protocol(
    header_timeout_ms: int, registry: CallerConnections
) -> type[GuardedProtocol]:
    """Return a protocol class with the given bounds."""
    bounds = {"header_timeout_ms": header_timeout_ms, "registry": registry}
    return type("BoundProtocol", (GuardedProtocol,), bounds)


def _bound_socket(sock: socket.socket) -> None:
    """Bound what the kernel keeps, and for how long a caller may read nothing."""
    user_timeout = getattr(socket, "TCP_USER_TIMEOUT", None)
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        if user_timeout is not None:
            sock.setsockopt(socket.IPPROTO_TCP, user_timeout, UNREAD_TIMEOUT_MS)


def _bad_request(detail: str) -> Refusal:
    return Refusal(Outcome.NOT_RUN, Reason.BAD_REQUEST, detail=detail)


def _head_too_long() -> tuple[int, Refusal]:
    return 431, _bad_request(f"the head is longer than {MAX_HEAD_BYTES} bytes")


def _raw_problem(status: int, refusal: Refusal) -> bytes:
    problem = problem_from_refusal(refusal)
    body = encode_problem(problem)
    head = [_STATUS_LINES[status]]
    head += [name + b": " + value + b"\r\n" for name, value in problem_headers(problem)]
    head.append(b"content-length: %d\r\nconnection: close\r\n\r\n" % len(body))
    return b"".join(head) + body


class Listener:
    """Runs the HTTP server inside a loop that somebody else owns.

    Args:
        app: The ASGI application.
        header_timeout_ms: Longest time for a request's head.
        registry: Connections that share their bounds with this listener's; one of its
            own if none is given.
    """

    def __init__(
        self,
        app: Callable[..., Any],
        header_timeout_ms: int,
        registry: CallerConnections | None = None,
    ) -> None:
        config = uvicorn.Config(
            app,
            http=make_protocol(header_timeout_ms, registry or CallerConnections()),
            ws="none",
            lifespan="off",
            access_log=False,
            log_config=None,
            log_level="critical",
            proxy_headers=False,
            server_header=False,
            date_header=False,
            timeout_keep_alive=KEEP_ALIVE_S,
            backlog=BACKLOG,
        )
        self._server = uvicorn.Server(config)
        self._task: asyncio.Task[None] | None = None

    async def start(self, sock: socket.socket) -> None:
        """Begin to take connections on a bound socket."""
        self._server.config.load()
        self._server.lifespan = self._server.config.lifespan_class(self._server.config)
        await self._server.startup([sock])
        self._task = asyncio.create_task(self._server.main_loop())

    async def stop(self) -> None:
        """Close the listener, let open requests end, then close the rest."""
        self._server.should_exit = True
        if self._task is not None:
            await self._task
        await self._server.shutdown()


def listening_socket(host: str, port: int) -> socket.socket:
    """Return a socket bound to an address, not yet listening."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind((host, port))
    sock.setblocking(False)
    return sock
