"""uvicorn's HTTP protocol with bounds on what is held for a connection.

A request that is too long, too slow or malformed, or for which there is no memory,
gets a problem-details answer, and its connection is closed.
"""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING, Any

import httptools

from pomelolane.endpoints.caller_protocol import RelayHttpProtocol
from pomelolane.http.refusals import (
    MAX_HEAD_BYTES,
    MEMORY_FULL,
    RequestRefusedError,
    bad_request,
    encode_refusal,
    head_too_long,
)
from pomelolane.http.sockets import bound_socket, reset_on_close
from pomelolane.http.turns import HoldableFlow

if TYPE_CHECKING:
    import asyncio

    from pomelolane.http.connections import CallerConnections
    from pomelolane.outcomes import Refusal

MAX_PIPELINED_REQUESTS = 8
"""Most requests of a connection that wait behind the one being answered."""

CLOSE_TIMEOUT_S = 2.0
"""Time for a refused caller to read its answer."""

_PIECE_BYTES = 4 * 1024
"""Bytes that are parsed between two checks of the bounds."""

_EVENTS_PER_REQUEST = 50
"""What the begin of a request counts for in the parser's turns."""

_HEADER_OVERHEAD_BYTES = 200
"""Memory of a parsed header beside its text."""

_REQUEST_OVERHEAD_BYTES = 4096
"""Memory of a request beside its headers and its body."""


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
        self._refusal: RequestRefusedError | None = None
        self._head_timer: asyncio.TimerHandle | None = None
        self._close_timer: asyncio.TimerHandle | None = None

    # --- asyncio.Protocol ---

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Wait for the first head, for a bounded time."""
        super().connection_made(transport)
        self.flow = HoldableFlow(transport)
        if not self.registry.add(self):
            transport.abort()
            return
        bound_socket(transport.get_extra_info("socket"))
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
        is_pending = self._unparsed_bytes() > 0
        self._unparsed = self._unparsed[self._unparsed_at :] + data
        self._unparsed_at = 0
        if is_pending:
            return
        while self.registry.turns.has_capacity:
            if not self.parse_next():
                return
        self.flow.hold()
        self.registry.turns.enqueue(self, self.loop)
        self._record_progress()

    def parse_next(self) -> bool:
        """Parse the next piece; return whether more data is left."""
        if self._can_parse():
            piece = self._unparsed[self._unparsed_at : self._unparsed_at + _PIECE_BYTES]
            self._unparsed_at += len(piece)
            self._parse(piece)
        if self._can_parse() and self._unparsed_bytes() > 0:
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
            self._refuse(*head_too_long())
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
            self._refuse(400, bad_request("tunnels are not served"))
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
                self._stop_parsing(*head_too_long())
            return
        self._count_head(size)
        self._head_cost_bytes += _HEADER_OVERHEAD_BYTES
        super().on_header(name, value)

    def _count_head(self, size: int) -> None:
        self._head_bytes += size
        self._head_cost_bytes += size
        if self._head_bytes > MAX_HEAD_BYTES:
            self._stop_parsing(*head_too_long())

    def on_headers_complete(self) -> None:
        """Begin a request whose head has come whole, if there is room for it."""
        self._disarm()
        if self.parser.should_upgrade():
            return
        if len(self.pipeline) >= MAX_PIPELINED_REQUESTS:
            self._stop_parsing(503, MEMORY_FULL)
        if not self.registry.has_room(self, self._head_cost_bytes):
            self._stop_parsing(503, MEMORY_FULL)
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
        """Have the parser stop at once, and refuse the request."""
        self._refusal = RequestRefusedError(status, refusal)
        raise self._refusal

    def send_400_response(self, msg: str) -> None:
        """Refuse what the parser cannot read, as problem details."""
        # The error refers back to this connection.
        error, self._refusal = self._refusal, None
        if error is None:
            self._refuse(400, bad_request(msg))
        else:
            self._refuse(error.status, error.refusal)

    # --- memory ---

    def evict(self) -> None:
        """End a connection that waits for its caller."""
        if self.flow.write_paused:
            self._reset()
        elif self._is_receiving():
            self._refuse(503, MEMORY_FULL)
        elif not self._is_answering():
            self._close()

    def _record_progress(self) -> None:
        held_bytes = sum(self._request_costs)
        held_bytes += self._head_cost_bytes + self._framing_bytes
        held_bytes += self._unparsed_bytes()
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
        self._unparsed, self._unparsed_at = b"", 0
        self._record_progress()

    # --- states and refusals ---

    def _unparsed_bytes(self) -> int:
        return len(self._unparsed) - self._unparsed_at

    def _is_receiving(self) -> bool:
        head_bytes = self._head_bytes + self._framing_bytes + self._unparsed_bytes()
        return self._body_expected or head_bytes > 0

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
        self._refuse(408, bad_request(detail))

    def _refuse(self, status: int, refusal: Refusal) -> None:
        """Refuse the request being received; earlier ones still get their answers."""
        self._disarm()
        if self.transport.is_closing() or self._is_refused:
            return
        self._is_refused = True
        if self._is_in_turn():
            if not self.cycle.response_started:
                self.transport.write(encode_refusal(status, refusal))
            # The application reads no more of the body, and sends no second answer.
            self.cycle.disconnected = True
            self.cycle.message_event.set()
            self._close()
        elif not self._is_answering():
            self.transport.write(encode_refusal(status, refusal))
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
        reset_on_close(self.transport.get_extra_info("socket"))
        self.transport.abort()


def make_protocol(
    header_timeout_ms: int, registry: CallerConnections
) -> type[GuardedProtocol]:
    """Return a protocol class with the given bounds."""
    bounds = {"header_timeout_ms": header_timeout_ms, "registry": registry}
    return type("BoundProtocol", (GuardedProtocol,), bounds)
