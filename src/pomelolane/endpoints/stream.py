"""An endpoint's answer while it arrives.

Its bytes either wait in a bounded buffer for a reader or go straight to a sink.
"""

from __future__ import annotations

import asyncio
from enum import StrEnum
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable, Sequence

    from pomelolane.exceptions import EndpointBrokenError

BUFFER_HIGH_BYTES = 256 * 1024
"""Unread bytes above which reading from the endpoint is paused."""


class Framing(StrEnum):
    """What tells where an answer's body ends."""

    LENGTH = "length"
    CHUNKS = "chunks"
    CLOSE = "close"
    """The end of the connection, which a broken answer may share."""


class ByteSink(Protocol):
    """Takes an answer's bytes inside the callback that received them.

    Attributes:
        takes_chunks: Whether ``write_chunk`` may be called in place of ``write``.
    """

    takes_chunks: bool

    def write(self, data: bytes) -> None:
        """Take the next bytes; never called with none."""

    def write_chunk(self, data: bytes, head_length: int) -> None:
        """Take one whole HTTP chunk as it came, and its head's length."""

    def end(self) -> None:
        """Learn that the stream has ended; called once."""


class ReadingControl(Protocol):
    """The part of a connection that a stream drives."""

    def pause_reading(self) -> None:
        """Stop to receive; may be called twice."""

    def resume_reading(self) -> None:
        """Receive again; may be called twice."""

    def deliver_to(
        self,
        take: Callable[[bytes], None],
        take_chunk: Callable[[bytes, int], None] | None = None,
    ) -> None:
        """Hand the body's bytes to other callables from now on."""

    def close(self) -> None:
        """Close the connection if the answer has not ended."""


class AnswerStream:
    """The answer to one request, as ``UpstreamStream`` of the ports.

    Once it has ended, its connection may serve another request and is left alone.

    Attributes:
        status: HTTP status.
        headers: Headers without those that belong to one hop.
        framing: What tells where the body ends.
        is_events: Whether the body is an event stream that ends by ``[DONE]``.
        complete: Whether the framing told that all bytes came.
        ended: Whether no more bytes will come.
        error: Why the answer ended early, None otherwise.
    """

    def __init__(
        self,
        connection: ReadingControl,
        status: int,
        headers: Sequence[tuple[bytes, bytes]],
        framing: Framing = Framing.LENGTH,
    ) -> None:
        self.status = status
        self.headers = headers
        self.framing = framing
        self.is_events = False
        self.complete = False
        self.ended = False
        self.error: EndpointBrokenError | None = None
        self._connection = connection
        self._buffer: list[bytes] = []
        self._buffered_bytes = 0
        self._sink: ByteSink | None = None
        self._waiter: asyncio.Future[None] | None = None

    def header(self, name: bytes) -> bytes:
        """Return a header's value by its lower-case name, empty if absent."""
        for key, value in self.headers:
            if key == name:
                return value
        return b""

    # --- the reader's side ---

    async def read(self) -> bytes:
        """Return all bytes that are ready, waiting for the first.

        Returns:
            Nothing at the end of the stream.

        Raises:
            EndpointBrokenError: The answer ended before it was whole.
        """
        data = await self.read_ready()
        if not data and self.error is not None:
            raise self.error
        return data

    async def read_ready(self) -> bytes:
        """Return all bytes that are ready, nothing once the stream has ended."""
        await self.wait()
        return self._take() if self._buffer else b""

    @property
    def is_broken_unread(self) -> bool:
        """Whether the stream broke and no byte of it is left to read."""
        return self.error is not None and not self._buffer

    async def wait(self) -> None:
        """Wait until bytes are ready or the stream has ended."""
        while not self._buffer and not self.ended:
            self._waiter = asyncio.get_running_loop().create_future()
            try:
                await self._waiter
            finally:
                self._waiter = None

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yield body bytes as they come, coalescing what is ready.

        Raises:
            EndpointBrokenError: The answer ended before it was whole.
        """
        while data := await self.read():
            yield data

    async def aclose(self) -> None:
        """Close the connection unless the answer has ended."""
        self.cut()

    def cut(self) -> None:
        """Close the connection at once unless the answer has ended."""
        if not self.ended:
            self._connection.close()

    # --- the sink's side ---

    def attach(self, sink: ByteSink) -> None:
        """Send buffered and all later bytes to a sink."""
        self._sink = sink
        if self._buffer:
            sink.write(self._take())
        if not self.ended:
            take_chunk = sink.write_chunk if sink.takes_chunks else None
            self._connection.deliver_to(sink.write, take_chunk)
        if self.ended:
            sink.end()

    def detach(self) -> None:
        """Buffer bytes again."""
        self._sink = None
        if not self.ended:
            self._connection.deliver_to(self.feed)

    def pause(self) -> None:
        """Stop to receive from the endpoint."""
        if not self.ended:
            self._connection.pause_reading()

    def resume(self) -> None:
        """Receive again."""
        if not self.ended:
            self._connection.resume_reading()

    # --- the connection's side ---

    def feed(self, data: bytes) -> None:
        """Take bytes from the connection, while no sink is attached."""
        self._buffer.append(data)
        self._buffered_bytes += len(data)
        if self._buffered_bytes > BUFFER_HIGH_BYTES:
            self._connection.pause_reading()
        self._wake()

    def finish(self, *, complete: bool, error: EndpointBrokenError | None) -> None:
        """Take note that no more bytes will come."""
        self.ended = True
        self.complete = complete
        self.error = error
        if self._sink is not None:
            self._sink.end()
        self._wake()

    def _take(self) -> bytes:
        parts = self._buffer
        self._buffer = []
        self._buffered_bytes = 0
        self.resume()
        return parts[0] if len(parts) == 1 else b"".join(parts)

    def _wake(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)
