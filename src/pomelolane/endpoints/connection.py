"""One keep-alive HTTP/1.1 connection to an endpoint.

It carries one exchange at a time and parses answers with httptools.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
from types import SimpleNamespace
from typing import TYPE_CHECKING

import httptools

from pomelolane.endpoints.headers import strip_hop_headers
from pomelolane.endpoints.stream import AnswerStream, Framing
from pomelolane.exceptions import EndpointBrokenError, EndpointRefusedError

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence
    from typing import TypeAlias

    AnswerCheck: TypeAlias = Callable[[Sequence[tuple[bytes, bytes]], bool], bool]

MAX_HEAD_BYTES = 64 * 1024
"""Bound on the headers that come for one request."""

MAX_FRAMING_BYTES = 128 * 1024
"""Most bytes received without the end of a head or a byte of a body. The parser keeps a
header until it is whole, so a bound on whole headers does not suffice."""

MAX_SKIPPED_ANSWERS = 8
"""Most answers to other requests that are skipped before a request's own one."""

MAX_SKIPPED_BYTES = 1024 * 1024
"""Most bytes of their bodies."""

_FIRST_INTERIM_STATUS = 100
_FIRST_FINAL_STATUS = 200
MAX_RAW_CHUNK_BYTES = 4096
"""Size up to which a chunk that comes alone and whole may pass undecoded."""

_CHUNKED = b"chunked"
_CRLF = b"\r\n"
_BODILESS = frozenset({204, 304})
_LAST_STATUS = 599
_SWITCHING_PROTOCOLS = 101


def _make_chunk_heads() -> dict[int, bytes]:
    heads = {}
    for size in range(1, MAX_RAW_CHUNK_BYTES + 1):
        head = b"%x\r\n" % size
        heads[len(head) + size + len(_CRLF)] = head
    return heads


_CHUNK_HEADS = _make_chunk_heads()
"""The one head that makes so many bytes a whole chunk, by the bytes' number."""


class HttpConnection(asyncio.Protocol):
    """A connection that sends one request and streams one answer at a time.

    Args:
        sock: The connected socket, kept to look for a close by the peer.
        on_idle: Called when an answer has ended and another may follow.
        on_closed: Called once when the connection is gone.
    """

    def __init__(
        self,
        sock: socket.socket,
        on_idle: Callable[[HttpConnection], None],
        on_closed: Callable[[HttpConnection], None],
    ) -> None:
        self.idle_since_ms = 0.0
        self._sock = sock
        self._on_idle = on_idle
        self._on_closed = on_closed
        self._transport: asyncio.Transport | None = None
        self._reading_paused = False
        self._requests = 0
        self._parts: list[bytes] = []
        self._parser = httptools.HttpResponseParser(self._parser_events())
        self._reset()

    def _reset(self) -> None:
        self._waiter: asyncio.Future[AnswerStream] | None = None
        self._stream: AnswerStream | None = None
        self._method = ""
        self._headers: list[tuple[bytes, bytes]] = []
        self._head_bytes = 0
        self._deliver: Callable[[bytes], None] | None = None
        self._take_chunk: Callable[[bytes, int], None] | None = None
        self._chunk_closed = False
        self._is_at_chunk = False
        self._is_busy = False
        self._message_done = False
        self._reusable = False
        self._has_progress = False
        self._framing_bytes = 0
        self._is_own: AnswerCheck | None = None
        self._is_skipping = False
        self._skipped_answers = 0
        self._skipped_bytes = 0

    # --- the user's side ---

    def is_stale(self) -> bool:
        """Tell whether the peer has closed or spoken out of turn.

        The look at the socket finds what the loop has not yet seen.
        """
        if self._transport is None or self._transport.is_closing():
            return True
        try:
            self._sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return False
        except OSError:
            return True
        return True

    async def exchange(
        self,
        method: str,
        request: Sequence[bytes],
        is_own: AnswerCheck | None = None,
    ) -> AnswerStream:
        """Send a request and wait for the head of its answer.

        Args:
            method: HTTP method.
            request: Head and body, encoded.
            is_own: Returns from an answer's headers whether it belongs to the request;
                an answer that doesn't is skipped. It also gets whether it must belong
                to it, as nothing else was sent on the connection. It may raise
                EndpointBrokenError. None to take the first answer.

        Raises:
            EndpointRefusedError: The connection was closed before the write.
            EndpointBrokenError: It failed after the write.
        """
        transport = self._transport
        if transport is None or transport.is_closing():
            raise EndpointRefusedError("the connection was closed")
        self._reset()
        self._requests += 1
        self._method = method
        self._is_own = is_own
        self._is_busy = True
        self._waiter = asyncio.get_running_loop().create_future()
        transport.writelines(request)
        try:
            return await self._waiter
        except asyncio.CancelledError:
            self.close()
            raise

    def close(self) -> None:
        """Close at once, unless the connection is idle already."""
        if not self._is_busy:
            return
        self._abort(EndpointBrokenError("the connection was closed locally"))

    def discard(self) -> None:
        """Close an idle connection."""
        if self._transport is not None:
            self._transport.abort()

    def pause_reading(self) -> None:
        """Stop to receive; may be called twice."""
        if not self._reading_paused and self._transport is not None:
            self._reading_paused = True
            self._transport.pause_reading()

    def resume_reading(self) -> None:
        """Receive again; may be called twice."""
        if self._reading_paused and self._transport is not None:
            self._reading_paused = False
            if not self._transport.is_closing():
                self._transport.resume_reading()

    def deliver_to(
        self,
        take: Callable[[bytes], None],
        take_chunk: Callable[[bytes, int], None] | None = None,
    ) -> None:
        """Hand the body's bytes to other callables from now on.

        Args:
            take: Takes a piece of the body.
            take_chunk: Takes a whole chunk as it came, and its head's length.
        """
        if self._is_busy:
            self._deliver = take
            self._take_chunk = take_chunk

    # --- asyncio.Protocol ---

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Keep the transport."""
        self._transport = transport
        _delay_acks(self._sock)

    def data_received(self, data: bytes) -> None:
        """Parse bytes and pass on what they hold of the body."""
        if self._take_chunk is not None and self._is_at_chunk:
            head = _CHUNK_HEADS.get(len(data))
            if head is not None and data.startswith(head) and data.endswith(_CRLF):
                self._take_chunk(data, len(head))
                return
        if not self._is_busy:
            self.discard()
            return
        failure = None
        self._has_progress = False
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            failure = _broken_error(error)
        if self._parts or self._has_progress:
            self._framing_bytes = 0
        else:
            self._framing_bytes += len(data)
            if self._framing_bytes > MAX_FRAMING_BYTES and failure is None:
                failure = EndpointBrokenError("the answer's framing does not end")
        parts = self._parts
        if parts:
            body = parts[0] if len(parts) == 1 else b"".join(parts)
            parts.clear()
            self._deliver(body)
        if self._message_done:
            self._end_message(reusable=self._reusable and failure is None)
        elif failure is not None:
            self._abort(failure)
        # Whole chunk lines are behind the parser only if the bytes end in one.
        self._is_at_chunk = self._chunk_closed and data.endswith(_CRLF)

    def connection_lost(self, exc: Exception | None) -> None:
        """End what was under way; a length told by the close is not vouched for."""
        stream = self._stream
        is_end = stream is not None and stream.framing is Framing.CLOSE and exc is None
        self._fail(
            None
            if is_end
            else EndpointBrokenError(f"the endpoint closed the connection: {exc}")
        )
        self._transport = None
        self._on_closed(self)

    # --- the parser's events ---

    def _parser_events(self) -> SimpleNamespace:
        """Return the callbacks; pieces of the body need none."""
        return SimpleNamespace(
            on_message_begin=self._on_message_begin,
            on_header=self._on_header,
            on_headers_complete=self._on_headers_complete,
            on_body=self._parts.append,
            on_chunk_header=self._on_chunk_header,
            on_chunk_complete=self._on_chunk_complete,
            on_message_complete=self._on_message_complete,
        )

    def _on_message_begin(self) -> None:
        """Refuse a second answer to one request."""
        if self._message_done:
            raise EndpointBrokenError("bytes follow the end of the answer")

    def _on_header(self, name: bytes, value: bytes) -> None:
        """Collect a header within the bound."""
        self._head_bytes += len(name) + len(value)
        if self._head_bytes > MAX_HEAD_BYTES:
            raise EndpointBrokenError("the answer's head is too large")
        self._headers.append((name.lower(), value.strip()))

    def _on_headers_complete(self) -> None:
        """Hand the stream to the one who waits, unless the answer is interim."""
        status = self._parser.get_status_code()
        if status == _SWITCHING_PROTOCOLS:
            raise EndpointBrokenError("the endpoint switched protocols")
        if _FIRST_INTERIM_STATUS <= status < _FIRST_FINAL_STATUS:
            return
        if not _FIRST_FINAL_STATUS <= status <= _LAST_STATUS:
            raise EndpointBrokenError(f"the endpoint answered status {status}")
        framing = self._framing()
        headers = strip_hop_headers(self._headers)
        is_first = self._requests == 1 and self._skipped_answers == 0
        if self._is_own is not None and not self._is_own(headers, is_first):
            self._begin_skip(framing)
            return
        self._has_progress = True
        self._chunk_closed = framing is Framing.CHUNKS
        self._stream = AnswerStream(self, status, headers, framing)
        self._deliver = self._stream.feed
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(self._stream)
        if self._method == "HEAD":
            self._message_done = True
            self._deliver = _drop

    def _begin_skip(self, framing: Framing) -> None:
        """Skip an answer to another request; this one's own is still to come."""
        if framing is Framing.CLOSE or self._method == "HEAD":
            raise EndpointBrokenError(
                "the end of another request's answer is not known"
            )
        if self._skipped_answers == MAX_SKIPPED_ANSWERS:
            raise EndpointBrokenError("too many answers belong to other requests")
        self._is_skipping = True
        self._skipped_answers += 1
        self._deliver = self._skip

    def _skip(self, data: bytes) -> None:
        """Drop a piece of an answer to another request."""
        self._skipped_bytes += len(data)
        if self._skipped_bytes > MAX_SKIPPED_BYTES:
            self._abort(EndpointBrokenError("another request's answer is too long"))

    def _end_skip(self) -> None:
        """Make way for the request's own answer."""
        self._is_skipping = False
        self._has_progress = True
        self._headers = []
        # The last piece is not delivered yet, and the own answer may follow it at once.
        self._skipped_bytes += sum(map(len, self._parts))
        self._parts.clear()

    def _framing(self) -> Framing:
        headers = dict(self._headers)
        coding = headers.get(b"transfer-encoding", _CHUNKED).lower()
        if coding != _CHUNKED:
            raise EndpointBrokenError(f"the answer's coding is {coding!r}")
        if self._method == "HEAD" or self._parser.get_status_code() in _BODILESS:
            return Framing.LENGTH
        if b"transfer-encoding" in headers:
            return Framing.CHUNKS
        return Framing.LENGTH if b"content-length" in headers else Framing.CLOSE

    def _on_chunk_header(self) -> None:
        self._chunk_closed = False

    def _on_chunk_complete(self) -> None:
        self._chunk_closed = True

    def _on_message_complete(self) -> None:
        """Take note of the end; an interim answer only makes way."""
        if self._is_skipping:
            self._end_skip()
            return
        if self._stream is None:
            self._headers = []
            return
        if self._method != "HEAD":
            self._message_done = True
            is_in_step = self._skipped_answers == 0
            self._reusable = is_in_step and self._parser.should_keep_alive()

    # --- internals ---

    def _end_message(self, *, reusable: bool) -> None:
        stream = self._stream
        transport = self._transport
        self._leave()
        stream.finish(complete=True, error=None)
        if transport is None:
            return
        if reusable and transport.get_write_buffer_size() == 0:
            self.resume_reading()
            self._on_idle(self)
        else:
            transport.close()

    def _leave(self) -> None:
        self._waiter = None
        self._stream = None
        self._deliver = None
        self._take_chunk = None
        self._is_own = None
        self._is_busy = False

    def _abort(self, error: EndpointBrokenError) -> None:
        self._fail(error)
        if self._transport is not None:
            self._transport.abort()

    def _fail(self, error: EndpointBrokenError | None) -> None:
        waiter = self._waiter
        stream = self._stream
        self._leave()
        if stream is not None:
            stream.finish(complete=False, error=error)
        elif waiter is not None and not waiter.done():
            waiter.set_exception(error)


def _drop(data: bytes) -> None:
    del data


def _broken_error(error: Exception) -> EndpointBrokenError:
    cause = error.__context__
    if isinstance(cause, EndpointBrokenError):
        return cause
    return EndpointBrokenError(f"the answer is not HTTP: {error}")


def _delay_acks(sock: socket.socket | None) -> None:
    """Ask not to acknowledge each token by a packet of its own (Linux)."""
    option = getattr(socket, "TCP_QUICKACK", None)
    if option is not None and sock is not None:
        with contextlib.suppress(OSError):
            sock.setsockopt(socket.IPPROTO_TCP, option, 0)
