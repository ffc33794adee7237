"""Relays an endpoint's answer to the caller, unchanged and without buffering."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from pomelolane.endpoints.stream import Framing
from pomelolane.forwarding.configuration import RouteKind
from pomelolane.forwarding.event_buffer import EventBuffer
from pomelolane.forwarding.sender import RELAY_ID_HEADER
from pomelolane.resumption import ORIGIN_HEADER, encode_origin

if TYPE_CHECKING:
    from collections.abc import Callable

    from pomelolane.endpoints import AnswerStream
    from pomelolane.forwarding.call import CallState
    from pomelolane.forwarding.event_buffer import HeldEvents
    from pomelolane.forwarding.stall import StallWatch
    from pomelolane.http.exchange import Exchange
    from pomelolane.ports import Clock

_EVENT_STREAM = b"text/event-stream"
_CLOSE = (b"connection", b"close")
_TOO_LONG = "an event of the stream is too long"
_FIRST_REDIRECTION_STATUS = 300
_HEADERS_BETWEEN_VMS = frozenset({ORIGIN_HEADER, RELAY_ID_HEADER})


@dataclass(frozen=True, slots=True)
class RelayResult:
    """Result of relaying one answer.

    Attributes:
        failure: Why the answer is not complete, empty if it is.
        bytes: Number of body bytes relayed.
        chunks: Number of chunks relayed.
        gap_ms: Longest pause between two chunks.
        unsent_bytes: Number of bytes held back behind the last event.
    """

    failure: str
    bytes: int
    chunks: int
    gap_ms: float
    unsent_bytes: int = 0

    @property
    def is_complete(self) -> bool:
        """Whether the whole answer was relayed."""
        return not self.failure


async def _read(stream: AnswerStream, stall: StallWatch | None) -> bytes:
    """Return the bytes that are ready, or empty bytes at the end of the stream."""
    if stall is None:
        return await stream.read_ready()
    stall.begin_read()
    data = await stream.read_ready()
    stall.end_read()
    return data


class Relay:
    """Relays the answers to all sends of one request as a single answer.

    An answer is relayed as complete only if its framing tells so and, in a stream of
    events, the last event has ended. If only the close of the endpoint's connection
    tells the end of the body, the caller's answer ends by the close as well.

    Args:
        exchange: The caller's exchange.
        state: State of the request.
        clock: Source of the current time.
        held_events: Bounds the incomplete events that the VM holds back.
        closes: Whether to close the caller's connection after the answer.
    """

    def __init__(
        self,
        exchange: Exchange,
        state: CallState,
        clock: Clock,
        held_events: HeldEvents,
        *,
        closes: bool,
    ) -> None:
        self._clock = clock
        self._exchange = exchange
        self._state = state
        self._held_events = held_events
        self._closes = closes

    async def relay(
        self,
        stream: AnswerStream,
        on_chunk: Callable[[int], None],
        stall: StallWatch | None = None,
        on_begin: Callable[[], None] | None = None,
    ) -> RelayResult:
        """Relay an answer; its head is sent together with the first bytes of the body.

        Args:
            stream: The endpoint's answer.
            on_chunk: Called with the number of chunks relayed so far.
            stall: Abandons the stream if it stalls, None if it can't be resumed.
            on_begin: Called before the first events of the answer are sent.
        """
        events = self._make_event_buffer(stream)
        try:
            return await self._relay(stream, events, on_chunk, stall, on_begin)
        finally:
            if events is not None:
                events.discard()

    async def _relay(
        self,
        stream: AnswerStream,
        events: EventBuffer | None,
        on_chunk: Callable[[int], None],
        stall: StallWatch | None,
        on_begin: Callable[[], None] | None,
    ) -> RelayResult:
        size = chunks = 0
        gap_ms = last_ms = 0.0
        while data := await _read(stream, stall):
            if events is not None:
                data = events.feed(data)
                if events.is_too_long:
                    held_bytes = events.held_bytes
                    return RelayResult(_TOO_LONG, size, chunks, gap_ms, held_bytes)
                if not data:
                    continue
                self._state.last_event_id = events.last_id or self._state.last_event_id
                if on_begin is not None and not self._state.answer_begun:
                    on_begin()
            await self._send_head(stream, events)
            await self._send_body(data, more=True)
            size += len(data)
            chunks += 1
            on_chunk(chunks)
            now_ms = self._state.last_sent_ms = self._clock.now_ms()
            gap_ms = max(gap_ms, now_ms - last_ms) if chunks > 1 else 0.0
            last_ms = now_ms
        failure = self._failure(stream, events, size)
        unsent_bytes = 0 if events is None else events.held_bytes
        if not failure:
            await self._send_head(stream, events)
            rest = b"" if events is None else events.take_held()
            await self._send_body(rest, more=False)
        return RelayResult(failure, size, chunks, gap_ms, unsent_bytes)

    def _make_event_buffer(self, stream: AnswerStream) -> EventBuffer | None:
        """Return a buffer for a stream of events, None for any other answer."""
        if stream.status >= _FIRST_REDIRECTION_STATUS:
            return None
        route = self._state.call.route
        media_type = stream.header(b"content-type").lower()
        if media_type and not media_type.startswith(_EVENT_STREAM):
            return None
        if not media_type and route.kind is not RouteKind.STREAMING:
            return None
        return EventBuffer(self._held_events if route.is_resumable else None)

    def _failure(
        self, stream: AnswerStream, events: EventBuffer | None, size: int
    ) -> str:
        """Return why an answer that has ended is not complete, empty if it is."""
        if stream.error is not None:
            return str(stream.error)
        if events is None:
            return ""
        if not events.is_between_events:
            return "the stream ended inside an event"
        is_empty = size == 0 and not self._state.last_event_id
        if stream.framing is Framing.CLOSE and is_empty:
            return "the connection closed before the first event"
        return ""

    async def _send_head(
        self, stream: AnswerStream, events: EventBuffer | None
    ) -> None:
        """Send the head of the answer, unless an earlier attempt has sent one."""
        if self._state.answer_begun:
            return
        self._state.answer_begun = True
        headers = [one for one in stream.headers if one[0] not in _HEADERS_BETWEEN_VMS]
        if events is not None:
            # A length would be complete even if the stream ends inside an event.
            headers = [header for header in headers if header[0] != b"content-length"]
        if self._state.is_relayed and self._state.origin is not None:
            headers.append((ORIGIN_HEADER, encode_origin(self._state.origin)))
        if self._closes:
            headers.append(_CLOSE)
        await self._exchange.send_head(
            stream.status, headers, ends_by_close=stream.framing is Framing.CLOSE
        )

    async def _send_body(self, data: bytes, *, more: bool) -> None:
        await self._exchange.send(
            {"type": "http.response.body", "body": data, "more_body": more}
        )
