"""Where an answer's bytes go: to the caller, or into memory for later.

The caller's answer begins only with its first body bytes, so that until then
another attempt can take its place unseen.
"""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from pomelolane.endpoints import relay
from pomelolane.gateway.answers import EVENT_STREAM, JSON, completion_from_events
from pomelolane.gateway.ending import SinkResult

if TYPE_CHECKING:
    from collections.abc import Callable

    from pomelolane.endpoints import AnswerStream, RelayResult
    from pomelolane.gateway.ending import FirstByte
    from pomelolane.http.exchange import Exchange

MAX_KEPT_BYTES = 8 * 1024 * 1024


class CallerSink:
    """Relays an answer to the caller of an exchange.

    Args:
        exchange: The caller's exchange.
        headers: Headers added to the endpoint's.
        tee: Where a copy of the answer is collected, if anywhere.

    Attributes:
        streams_events: Whether the last answer was an event stream.
    """

    def __init__(
        self,
        exchange: Exchange,
        headers: tuple[tuple[bytes, bytes], ...],
        tee: KeptAnswer | None = None,
    ) -> None:
        self._send = exchange.raw_send
        self._headers = headers
        self._tee = tee
        self.streams_events = False

    def keep(self, tee: KeptAnswer) -> None:
        """Collect a copy of the answer from here on."""
        self._tee = tee

    async def take(
        self,
        stream: AnswerStream,
        on_first: FirstByte,
        on_progress: Callable[[int], None],
    ) -> SinkResult:
        """Relay the answer; see :class:`~pomelolane.gateway.ending.Sink`."""
        self.streams_events = _is_event_stream(stream)
        if self._tee is not None:
            self._tee.begin(stream)
        result = await relay(
            stream,
            self._send,
            on_first=on_first,
            on_progress=on_progress,
            headers=self._headers,
            copy_to=self._tee.add if self._tee is not None else None,
        )
        return _sink_result(result)


class KeptAnswer:
    """An answer collected in memory.

    Attributes:
        status: HTTP status, 0 until an answer began.
        content_type: Its media type.
        body: The bytes so far.
    """

    def __init__(self) -> None:
        self.status = 0
        self.content_type = b""
        self.body = bytearray()
        self.overflowed = False

    def begin(self, stream: AnswerStream) -> None:
        """Start over with a new attempt's answer."""
        self.status = stream.status
        self.content_type = _header(stream, b"content-type")
        self.body.clear()
        self.overflowed = False

    def add(self, chunk: bytes) -> None:
        """Add bytes; an answer over ``MAX_KEPT_BYTES`` is not kept."""
        if len(self.body) + len(chunk) > MAX_KEPT_BYTES:
            self.overflowed = True
            return
        self.body += chunk

    def join_events(self, model: str) -> None:
        """Turn a whole event stream into one JSON answer; others stay."""
        if not self.content_type.startswith(EVENT_STREAM):
            return
        joined = completion_from_events(bytes(self.body), model)
        self.body = bytearray(joined)
        self.content_type = JSON


class MemorySink:
    """Collects an answer without a caller, for jobs."""

    def __init__(self) -> None:
        self.answer = KeptAnswer()

    async def take(
        self,
        stream: AnswerStream,
        on_first: FirstByte,
        on_progress: Callable[[int], None],
    ) -> SinkResult:
        """Collect the answer; see :class:`~pomelolane.gateway.ending.Sink`."""
        self.answer.begin(stream)
        result = await relay(
            stream,
            _discard,
            on_first=on_first,
            on_progress=on_progress,
            copy_to=self.answer.add,
        )
        return _sink_result(result)


class JoiningSink(MemorySink):
    """Puts an engine's events together to one JSON answer for the caller.

    Nothing goes out before the answer is whole, so that a break can still be
    repaired by another attempt.

    Args:
        exchange: The caller's exchange.
        headers: Headers of the answer.
        model: Service name that the answer gives as its model.
    """

    streams_events = False

    def __init__(
        self, exchange: Exchange, headers: tuple[tuple[bytes, bytes], ...], model: str
    ) -> None:
        super().__init__()
        self._exchange = exchange
        self._headers = headers
        self._model = model

    def keep(self, tee: KeptAnswer) -> None:
        """Collect into the copy that is kept for a repeated key."""
        self.answer = tee

    async def take(
        self,
        stream: AnswerStream,
        on_first: FirstByte,
        on_progress: Callable[[int], None],
    ) -> SinkResult:
        """Collect, then answer; see :class:`~pomelolane.gateway.ending.Sink`."""

        def on_first_event() -> None:
            # The caller has nothing yet, so this is not the answer's beginning.
            on_first(begun=False)

        collected = await super().take(stream, on_first_event, on_progress)
        if not collected.whole or self.answer.overflowed:
            return replace(collected, whole=False, begun=False)
        self.answer.join_events(self._model)
        headers = [(b"content-type", self.answer.content_type), *self._headers]
        await self._exchange.respond(
            self.answer.status, headers, bytes(self.answer.body)
        )
        return replace(collected, begun=True)


def _sink_result(result: RelayResult) -> SinkResult:
    return SinkResult(result.whole, result.started, result.chunks, result.cached_tokens)


async def _discard(message: object) -> None:
    del message


def _header(stream: AnswerStream, name: bytes) -> bytes:
    for known, value in stream.headers:
        if known.lower() == name:
            return value
    return b""


def _is_event_stream(stream: AnswerStream) -> bool:
    return _header(stream, b"content-type").startswith(EVENT_STREAM)
