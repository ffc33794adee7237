"""Counts the events of passing server-sent-event bytes, and sees their end.

Nothing is decoded on the way; a JSON answer's usage is read at its end only.
"""

from __future__ import annotations

import msgspec

DONE_MARKER = b"[DONE]"

_FIELD = b"data:"
_NEEDLE = b"\n" + _FIELD
_BORDER = len(_NEEDLE) - 1
_TAIL_BYTES = 1024
_CANCELLED = (b'"finish_reason":"cancelled"', b'"finish_reason": "cancelled"')


class SseCounter:
    """Counts ``data:`` lines across chunk borders.

    Attributes:
        data_lines: Lines seen so far, the end marker's included.
    """

    __slots__ = ("_tail", "data_lines")

    def __init__(self) -> None:
        self.data_lines = 0
        self._tail = b"\n"

    def feed(self, data: bytes) -> None:
        """Count the lines that begin in these bytes, or end their begin."""
        tail = self._tail
        border = tail[-_BORDER:] + data[:_BORDER]
        self.data_lines += data.count(_NEEDLE) + border.count(_NEEDLE)
        self._tail = data if len(data) >= _TAIL_BYTES else (tail + data)[-_TAIL_BYTES:]

    @property
    def is_done(self) -> bool:
        """Whether the last line so far is the end marker."""
        lines = (b"\n" + self._tail).rstrip().rsplit(b"\n", 1)
        last = lines[-1]
        return last.startswith(_FIELD) and last[len(_FIELD) :].strip() == DONE_MARKER

    @property
    def is_cancelled(self) -> bool:
        """Whether the last events say that the engine cancelled the answer.

        Text inside a string has its quotes escaped and cannot look like it.
        """
        return any(mark in self._tail for mark in _CANCELLED)

    @property
    def events(self) -> int:
        """Events so far without the end marker."""
        return self.data_lines - 1 if self.is_done else self.data_lines


class PromptTokensDetails(msgspec.Struct, frozen=True):
    """Part of a usage record."""

    cached_tokens: int = -1


class Usage(msgspec.Struct, frozen=True):
    """What an engine says that a request cost; -1 where it does not say."""

    prompt_tokens: int = -1
    completion_tokens: int = -1
    prompt_tokens_details: PromptTokensDetails = PromptTokensDetails()


class _Answer(msgspec.Struct, frozen=True):
    usage: Usage = Usage()


NO_USAGE = Usage()

_DECODER = msgspec.json.Decoder(_Answer)


def usage_from_json(body: bytes) -> Usage:
    """Return the usage record of a JSON answer, an empty one if it has none."""
    try:
        return _DECODER.decode(body).usage
    except msgspec.DecodeError:
        return NO_USAGE
