"""Answers as streams of chunks that can be read again from any chunk.

Chunk ``i`` can always be worked out anew, so only the count is kept.
"""

from __future__ import annotations

import asyncio
from enum import StrEnum
from typing import TYPE_CHECKING, Protocol

import msgspec

if TYPE_CHECKING:
    from standins.engine.batch import Sequence

DONE_EVENT = b"data: [DONE]\n\n"


class StreamEnd(StrEnum):
    """How a stream ended."""

    STOP = "stop"
    CANCELLED = "cancelled"
    LOST = "lost"


class Sink(Protocol):
    """A reader's connection."""

    def write(self, data: bytes) -> None:
        """Send bytes without waiting."""


class Stream:
    """One answer, its readers and how it ended.

    Attributes:
        stream_id: Id to resume and cancel it by.
        model: Model that was asked.
        version: Software version of the engine.
        sequence: Its place in the batch.
        chunks: Chunks that readers may have by now.
        end: How it ended, None while it goes on.
        ended: Set at the end.
    """

    def __init__(
        self, stream_id: str, model: str, sequence: Sequence, version: str = "v1"
    ) -> None:
        self.stream_id = stream_id
        self.model = model
        self.version = version
        self.sequence = sequence
        self.chunks = 0
        self.end: StreamEnd | None = None
        self.ended = asyncio.Event()
        self._progress = asyncio.Event()
        self._sinks: list[Sink] = []
        self._before, self._after = _chunk_frame(
            stream_id, sequence.prompt.tag, version
        )

    async def wait_for_chunk(self, number: int) -> None:
        """Wait until a chunk is there or the stream has ended."""
        while self.chunks <= number and self.end is None:
            self._progress.clear()
            await self._progress.wait()

    def attach(self, sink: Sink, from_chunk: int) -> None:
        """Send a reader all that is there from a chunk on, then each chunk."""
        sink.write(self.events_from(from_chunk))
        if self.end is None:
            self._sinks.append(sink)

    def events_from(self, from_chunk: int) -> bytes:
        """Return the events from a chunk on, with the closing ones if ended."""
        events = [self._event(i) for i in range(from_chunk, self.chunks)]
        if self.end is not None:
            events.append(self._closing_events())
        return b"".join(events)

    def text(self) -> str:
        """Return the answer so far as one text."""
        tag = self.sequence.prompt.tag
        return "".join(f"{tag}-{i} " for i in range(self.chunks))

    def add_token(self) -> bool:
        """Hand the next token to the readers.

        Returns:
            Whether it was the last one.
        """
        number = self.chunks
        self.chunks = number + 1
        last = self.chunks >= self.sequence.output_tokens
        if last:
            self._finish(StreamEnd.STOP)
        self._progress.set()
        if self._sinks:
            event = self._event(number)
            self._write(event + DONE_EVENT if last else event)
        return last

    def cancel(self) -> None:
        """End the stream early, by a reader's wish."""
        if self.end is None:
            self._finish(StreamEnd.CANCELLED)
            self._write(self._closing_events())

    def lose(self) -> None:
        """End the stream without a word to its readers."""
        if self.end is None:
            self._sinks.clear()
            self._finish(StreamEnd.LOST)

    def _finish(self, end: StreamEnd) -> None:
        self.end = end
        self.ended.set()
        self._progress.set()

    def _write(self, data: bytes) -> None:
        for sink in self._sinks:
            sink.write(data)

    def _event(self, number: int) -> bytes:
        if number == self.sequence.output_tokens - 1:
            content = f"{self.sequence.prompt.tag}-{number} "
            return self._final_event({"content": content}, StreamEnd.STOP)
        return self._before + str(number).encode() + self._after

    def _closing_events(self) -> bytes:
        if self.end is StreamEnd.CANCELLED:
            return self._final_event({}, StreamEnd.CANCELLED) + DONE_EVENT
        return DONE_EVENT

    def _final_event(self, delta: dict[str, str], reason: StreamEnd) -> bytes:
        choice = {"index": 0, "delta": delta, "finish_reason": reason}
        event = {
            "id": self.stream_id,
            "object": "chat.completion.chunk",
            "system_fingerprint": self.version,
            "choices": [choice],
            "usage": self.usage(),
        }
        return b"data: " + msgspec.json.encode(event) + b"\n\n"

    def usage(self) -> dict[str, object]:
        """Return the usage in the form that the ecosystem knows."""
        cached = {"cached_tokens": self.sequence.cached_tokens}
        return {
            "prompt_tokens": self.sequence.prompt.tokens,
            "completion_tokens": self.chunks,
            "prompt_tokens_details": cached,
        }


def _chunk_frame(stream_id: str, tag: str, version: str) -> tuple[bytes, bytes]:
    """Return what stands before and after a token's number in its event."""
    quoted_id = msgspec.json.encode(stream_id)
    before = (
        b'data: {"id":' + quoted_id + b',"object":"chat.completion.chunk",'
        b'"system_fingerprint":' + msgspec.json.encode(version) + b","
        b'"choices":[{"index":0,"delta":{"content":"' + tag.encode() + b"-"
    )
    return before, b' "},"finish_reason":null}]}\n\n'


__all__ = ["Sink", "Stream", "StreamEnd"]
