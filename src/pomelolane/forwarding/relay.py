"""Relays an endpoint's answer to the caller, unchanged and without buffering."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from pomelolane.endpoints import AnswerStream
    from pomelolane.forwarding.call import CallState
    from pomelolane.forwarding.stall import StallWatch
    from pomelolane.http.exchange import Exchange
    from pomelolane.ports import Clock

_EVENT_END = b"\n\n"
_EVENT_ID = b"id:"
_CLOSE = (b"connection", b"close")


@dataclass(frozen=True, slots=True)
class RelayResult:
    """Result of relaying one answer.

    Attributes:
        is_complete: Whether the whole answer was relayed.
        bytes: Number of body bytes relayed.
        chunks: Number of chunks relayed.
        gap_ms: Longest pause between two chunks.
        unsent_bytes: Number of bytes held back at the end, inside an event.
    """

    is_complete: bool
    bytes: int
    chunks: int
    gap_ms: float
    unsent_bytes: int = 0


async def _read(stream: AnswerStream, stall: StallWatch | None) -> bytes:
    """Return the bytes that are ready, or empty bytes at the end of the stream."""
    if stall is None:
        return await stream.read_ready()
    stall.begin_read()
    data = await stream.read_ready()
    stall.end_read()
    return data


class CompleteEventBuffer:
    """Holds back the incomplete last event of a stream of server-sent events.

    If the stream breaks and is resumed at another endpoint, the caller must not get the
    beginning of an event twice.

    Attributes:
        last_id: Id of the last complete event.
    """

    def __init__(self) -> None:
        self._incomplete = b""
        self.last_id = b""

    @property
    def held_bytes(self) -> int:
        """Number of bytes held back."""
        return len(self._incomplete)

    def feed(self, data: bytes) -> bytes:
        """Add data, and return all complete events not returned before."""
        self._incomplete += data
        end = self._incomplete.rfind(_EVENT_END)
        if end < 0:
            return b""
        complete = self._incomplete[: end + len(_EVENT_END)]
        self._incomplete = self._incomplete[len(complete) :]
        self._update_last_id(complete)
        return complete

    def _update_last_id(self, complete: bytes) -> None:
        for line in reversed(complete.split(b"\n")):
            if line.startswith(_EVENT_ID):
                self.last_id = line[len(_EVENT_ID) :].strip()
                return


class Relay:
    """Relays the answers to all sends of one request as a single answer.

    Args:
        exchange: The caller's exchange.
        state: State of the request.
        clock: Source of the current time.
        closes: Whether to close the caller's connection after the answer.
    """

    def __init__(
        self, exchange: Exchange, state: CallState, clock: Clock, *, closes: bool
    ) -> None:
        self._clock = clock
        self._exchange = exchange
        self._state = state
        self._closes = closes
        self._resumable = state.call.route.is_resumable

    async def relay(
        self,
        stream: AnswerStream,
        on_chunk: Callable[[int], None],
        stall: StallWatch | None = None,
    ) -> RelayResult:
        """Relay an answer; its head is sent together with the first bytes of the body.

        Args:
            stream: The endpoint's answer.
            on_chunk: Called with the number of chunks relayed so far.
            stall: Abandons the stream if it stalls, None if it can't be resumed.
        """
        event_buffer = CompleteEventBuffer() if self._resumable else None
        size = chunks = 0
        gap_ms = last_ms = 0.0
        while data := await _read(stream, stall):
            if event_buffer is not None:
                data = event_buffer.feed(data)
                if not data:
                    continue
                self._state.last_event_id = (
                    event_buffer.last_id or self._state.last_event_id
                )
            await self._send_head(stream)
            await self._send_body(data, more=True)
            size += len(data)
            chunks += 1
            on_chunk(chunks)
            now_ms = self._clock.now_ms()
            gap_ms = max(gap_ms, now_ms - last_ms) if chunks > 1 else 0.0
            last_ms = now_ms
        unsent_bytes = 0 if event_buffer is None else event_buffer.held_bytes
        if stream.error is not None:
            return RelayResult(False, size, chunks, gap_ms, unsent_bytes)
        await self._send_head(stream)
        await self._send_body(b"", more=False)
        return RelayResult(True, size, chunks, gap_ms, unsent_bytes)

    async def _send_head(self, stream: AnswerStream) -> None:
        """Send the head of the answer, unless an earlier attempt has sent one."""
        if self._state.answer_begun:
            return
        self._state.answer_begun = True
        headers = list(stream.headers)
        if self._closes:
            headers.append(_CLOSE)
        await self._exchange.send(
            {
                "type": "http.response.start",
                "status": stream.status,
                "headers": headers,
            }
        )

    async def _send_body(self, data: bytes, *, more: bool) -> None:
        await self._exchange.send(
            {"type": "http.response.body", "body": data, "more_body": more}
        )
