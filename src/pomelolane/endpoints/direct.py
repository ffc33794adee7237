"""Writes a relayed answer to uvicorn's transport without any task switch.

Each piece goes out in the callback in which it came in; a full buffer on the
caller's side pauses the endpoint's connection.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from uvicorn.protocols.http.httptools_impl import RequestResponseCycle

from pomelolane.endpoints.caller_protocol import RelayHttpProtocol

if TYPE_CHECKING:
    from pomelolane.endpoints.meter import AnswerMeter, RelayObserver
    from pomelolane.endpoints.stream import AnswerStream

METERED_PIECES = 8
"""Pieces of an event stream that are counted, and told of, together."""

_CHUNK_END = -2


def direct_cycle(send: object) -> RequestResponseCycle | None:
    """Return uvicorn's cycle behind an ASGI ``send`` if it can be driven so.

    That holds for a caller that has left as well: its transport has no protocol
    any more, and nothing is written to it.
    """
    cycle = getattr(send, "__self__", None)
    if not isinstance(cycle, RequestResponseCycle):
        return None
    if has_left(cycle) or _listening_protocol(cycle) is not None:
        return cycle
    return None


def has_left(cycle: RequestResponseCycle) -> bool:
    """Tell whether the caller has left.

    With requests sent early, uvicorn tells the last of them only, but the
    transport knows.
    """
    return cycle.disconnected or cycle.transport.is_closing()


def _listening_protocol(cycle: RequestResponseCycle) -> RelayHttpProtocol | None:
    protocol = cycle.transport.get_protocol()
    return protocol if isinstance(protocol, RelayHttpProtocol) else None


class DirectSink:
    """Passes an answer's pieces to a caller's transport.

    To be used after the head was sent. It ends by the stream's end, the
    caller's leaving, or a body longer than its head told.

    Args:
        stream: The endpoint's answer.
        cycle: The caller's answer.
        meter: Fed with each piece that is passed on.
        observer: Told of progress.
    """

    def __init__(
        self,
        stream: AnswerStream,
        cycle: RequestResponseCycle,
        meter: AnswerMeter,
        observer: RelayObserver,
    ) -> None:
        self.caller_gone = False
        self._stream = stream
        self._cycle = cycle
        self._write = cycle.transport.write
        self._protocol = _listening_protocol(cycle)
        self.takes_chunks = bool(cycle.chunked_encoding)
        self._meter = meter
        self._observer = observer
        self._unmetered: list[bytes] = []
        self._batch_pieces = METERED_PIECES if stream.is_events else 1
        self._ended = asyncio.get_running_loop().create_future()

    async def run(self) -> None:
        """Pass on until the end; the stream is detached afterwards."""
        self._listen(self)
        try:
            if has_left(self._cycle):
                self.on_lost()
            elif self._cycle.flow.write_paused:
                self.on_full()
            if not self._ended.done():
                self._stream.attach(self)
            await self._ended
        finally:
            self._listen(None)
            self._stream.detach()
            self._meter_batch()

    # --- the endpoint's side ---

    def write(self, data: bytes) -> None:
        """Pass on a piece at once; event streams are metered in batches."""
        if self.takes_chunks:
            self._write(b"%x\r\n%b\r\n" % (len(data), data))
        else:
            self._write_counted(data)
        unmetered = self._unmetered
        unmetered.append(data)
        if len(unmetered) >= self._batch_pieces:
            self._meter_batch()

    def write_chunk(self, data: bytes, head_length: int) -> None:
        """Pass on a chunk in its own framing."""
        self._write(data)
        unmetered = self._unmetered
        unmetered.append(data[head_length:_CHUNK_END])
        if len(unmetered) >= self._batch_pieces:
            self._meter_batch()

    def end(self) -> None:
        """End with the stream."""
        self._meter_batch()
        if not self._ended.done():
            self._ended.set_result(None)

    # --- the caller's side ---

    def on_full(self) -> None:
        """Pause the endpoint."""
        self._stream.pause()

    def on_writable(self) -> None:
        """Let the endpoint go on."""
        self._stream.resume()

    def on_lost(self) -> None:
        """End with the caller, or go on for the copy alone."""
        self.caller_gone = True
        self._write = _drop
        if self._meter.copies:
            self._stream.resume()
        else:
            self._stream.detach()
            self.end()

    def _listen(self, listener: DirectSink | None) -> None:
        if self._protocol is not None:
            self._protocol.listener = listener

    def _meter_batch(self) -> None:
        pieces = self._unmetered
        if pieces:
            self._unmetered = []
            self._meter.feed_all(pieces)
            self._observer.on_progress(self._meter.chunks)

    def _write_counted(self, data: bytes) -> None:
        cycle = self._cycle
        if cycle.scope["method"] == "HEAD":
            return
        cycle.expected_content_length -= len(data)
        self._write(data)


def _drop(data: bytes) -> None:
    del data
