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


def direct_cycle(send: object) -> RequestResponseCycle | None:
    """Return uvicorn's cycle behind an ASGI ``send`` if it can be driven so."""
    cycle = getattr(send, "__self__", None)
    if not isinstance(cycle, RequestResponseCycle):
        return None
    if not isinstance(cycle.transport.get_protocol(), RelayHttpProtocol):
        return None
    return cycle


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
        self._transport = cycle.transport
        self._protocol: RelayHttpProtocol = cycle.transport.get_protocol()
        self._is_chunked = bool(cycle.chunked_encoding)
        self._meter = meter
        self._feed = meter.feed
        self._observer = observer
        self._ended = asyncio.get_running_loop().create_future()

    async def run(self) -> None:
        """Pass on until the end; the stream is detached afterwards."""
        self._protocol.listener = self
        try:
            if self._cycle.disconnected:
                self.on_lost()
                return
            if self._cycle.flow.write_paused:
                self.on_full()
            self._stream.attach(self)
            await self._ended
        finally:
            self._protocol.listener = None
            self._stream.detach()

    # --- the endpoint's side ---

    def write(self, data: bytes) -> None:
        """Pass on a piece at once."""
        if self._is_chunked:
            self._transport.write(b"%x\r\n%b\r\n" % (len(data), data))
        else:
            self._write_counted(data)
        self._feed(data)
        self._observer.progress(self._meter)

    def end(self) -> None:
        """End with the stream."""
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
        """End with the caller."""
        self.caller_gone = True
        self._stream.detach()
        self.end()

    def _write_counted(self, data: bytes) -> None:
        cycle = self._cycle
        if cycle.scope["method"] == "HEAD":
            return
        cycle.expected_content_length -= len(data)
        self._transport.write(data)
