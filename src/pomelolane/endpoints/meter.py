"""Measures an answer on its way: chunks, bytes, wholeness, cached tokens.

It is fed each piece once and asked for the rest at the end.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from pomelolane.endpoints.sse import SseCounter, usage_from_json

if TYPE_CHECKING:
    from collections.abc import Callable

    from pomelolane.endpoints.stream import AnswerStream

MAX_USAGE_BODY_BYTES = 1024 * 1024
"""Size above which a JSON answer is not kept to read its usage."""

_CACHED_TOKENS = b"x-cached-tokens"
_JSON = b"application/json"


class AnswerMeter:
    """What is known of an answer so far.

    Args:
        stream: The answer.
        copy_to: Given all that the meter is fed.

    Attributes:
        bytes: Body bytes.
        pieces: Pieces in which they came.
        started: Whether the caller's answer was opened.
    """

    def __init__(
        self, stream: AnswerStream, copy_to: Callable[[bytes], None] | None = None
    ) -> None:
        self.bytes = 0
        self.pieces = 0
        self.started = False
        self._stream = stream
        self._copy_to = copy_to
        self._counter = SseCounter() if stream.is_events else None
        self._kept: list[bytes] | None = None
        if stream.header(b"content-type").startswith(_JSON):
            self._kept = []

    def feed(self, data: bytes) -> None:
        """Take the next piece."""
        self.bytes += len(data)
        self.pieces += 1
        if self._counter is not None:
            self._counter.feed(data)
        elif self._kept is not None:
            self._keep(data)
        if self._copy_to is not None:
            self._copy_to(data)

    def feed_all(self, pieces: list[bytes]) -> None:
        """Take several pieces at once."""
        self.feed(pieces[0] if len(pieces) == 1 else b"".join(pieces))
        self.pieces += len(pieces) - 1

    @property
    def copies(self) -> bool:
        """Whether what is fed is also wanted elsewhere."""
        return self._copy_to is not None

    @property
    def chunks(self) -> int:
        """Events of an event stream, pieces of any other body."""
        return self.pieces if self._counter is None else self._counter.events

    @property
    def is_whole(self) -> bool:
        """Whether the framing, and an event stream's end marker, were seen.

        An event stream whose length only the close tells is vouched for by its
        end marker alone. One that the engine cancelled ends as well, but is
        not whole.
        """
        stream = self._stream
        if not stream.ended or stream.error is not None:
            return False
        if self._counter is None:
            return stream.complete
        return self._counter.is_done and not self._counter.is_cancelled

    @property
    def cached_tokens(self) -> int:
        """Cached prompt tokens by header or JSON usage, -1 if not known."""
        header = self._stream.header(_CACHED_TOKENS)
        if header.isdigit():
            return int(header)
        if self._kept and self.is_whole:
            usage = usage_from_json(b"".join(self._kept))
            return usage.prompt_tokens_details.cached_tokens
        return -1

    def _keep(self, data: bytes) -> None:
        self._kept.append(data)
        if self.bytes > MAX_USAGE_BODY_BYTES:
            self._kept = None


class RelayObserver:
    """Hears of a relayed answer's progress; both calls must be quick.

    Args:
        on_first: Called at the first byte of the body.
        on_progress: Called with the number of chunks so far, now and then and
            at the end.
    """

    __slots__ = ("on_first", "on_progress")

    def __init__(
        self,
        on_first: Callable[[], None] | None = None,
        on_progress: Callable[[int], None] | None = None,
    ) -> None:
        self.on_first = on_first or _ignore
        self.on_progress = on_progress or _ignore


def _ignore(*_: object) -> None:
    pass
