"""Passes an endpoint's answer on to the caller, unchanged and as it comes."""

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
class RelayEnd:
    """How an answer ended.

    Attributes:
        whole: Whether all of it came and was passed on.
        bytes: Body bytes passed on.
        events: Pieces passed on.
        gap_ms: Longest pause between two pieces.
    """

    whole: bool
    bytes: int
    events: int
    gap_ms: float


async def _read(stream: AnswerStream, stall: StallWatch | None) -> bytes:
    """Return the bytes that are ready, nothing at the end."""
    if stall is None:
        return await stream.read_ready()
    stall.begin_read()
    data = await stream.read_ready()
    stall.end_read()
    return data


class EventCutter:
    """Cuts a stream of events behind its last whole one.

    What a broken stream leaves of an event must not reach the caller if the
    stream goes on elsewhere.
    """

    def __init__(self) -> None:
        self._rest = b""
        self.last_id = b""

    def feed(self, data: bytes) -> bytes:
        """Return what ends with a whole event, and keep the rest."""
        self._rest += data
        end = self._rest.rfind(_EVENT_END)
        if end < 0:
            return b""
        whole = self._rest[: end + len(_EVENT_END)]
        self._rest = self._rest[len(whole) :]
        self._note_id(whole)
        return whole

    def _note_id(self, whole: bytes) -> None:
        for line in reversed(whole.split(b"\n")):
            if line.startswith(_EVENT_ID):
                self.last_id = line[len(_EVENT_ID) :].strip()
                return


class Relay:
    """Relays the answers of one request's sends as one answer.

    Args:
        exchange: The caller's exchange.
        state: The request.
        clock: Time.
        closes: Whether the caller's connection ends with the answer.
    """

    def __init__(
        self, exchange: Exchange, state: CallState, clock: Clock, *, closes: bool
    ) -> None:
        self._clock = clock
        self._exchange = exchange
        self._state = state
        self._closes = closes
        self._resumable = state.call.route.is_resumable

    async def pass_on(
        self,
        stream: AnswerStream,
        on_piece: Callable[[int], None],
        stall: StallWatch | None = None,
    ) -> RelayEnd:
        """Pass an answer on; the head goes out with the first bytes.

        Args:
            stream: The endpoint's answer.
            on_piece: Called with the number of pieces so far.
            stall: Watches for silence, where the answer may go on elsewhere.
        """
        cutter = EventCutter() if self._resumable else None
        size = pieces = 0
        gap_ms = last_ms = 0.0
        while data := await _read(stream, stall):
            if cutter is not None:
                data = cutter.feed(data)
                if not data:
                    continue
                self._state.last_event_id = cutter.last_id or self._state.last_event_id
            await self._begin(stream)
            await self._send_body(data, more=True)
            size += len(data)
            pieces += 1
            on_piece(pieces)
            now_ms = self._clock.now_ms()
            gap_ms = max(gap_ms, now_ms - last_ms) if pieces > 1 else 0.0
            last_ms = now_ms
        if stream.error is not None:
            return RelayEnd(False, size, pieces, gap_ms)
        await self._begin(stream)
        await self._send_body(b"", more=False)
        return RelayEnd(True, size, pieces, gap_ms)

    async def _begin(self, stream: AnswerStream) -> None:
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
