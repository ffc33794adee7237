"""Reads the text of a streamed chat answer and tells whether it is whole.

It takes bytes as they come and knows the stream's end, its finish and errors.
"""

from __future__ import annotations

import msgspec

from pomelolane.commands.client import problem_from_body

_DATA = b"data:"
_EVENT = b"event:"
_DONE = b"[DONE]"
_ERROR_EVENT = b"error"


class _Delta(msgspec.Struct, frozen=True):
    content: str | None = None


class _Choice(msgspec.Struct, frozen=True):
    delta: _Delta = _Delta()
    message: _Delta = _Delta()


class ChatChunk(msgspec.Struct, frozen=True):
    """What is read of a chunk, or of an answer that is not streamed."""

    choices: tuple[_Choice, ...] = ()

    @property
    def text(self) -> str:
        """Return the text of the first choice."""
        if not self.choices:
            return ""
        first = self.choices[0]
        return first.delta.content or first.message.content or ""


class ChatStream:
    """The events of one streamed answer.

    Attributes:
        whole: Whether the closing event was seen.
        chunks: Events that carried text.
    """

    def __init__(self) -> None:
        self.whole = False
        self.chunks = 0
        self._rest = b""
        self._event = b""

    def feed(self, data: bytes) -> str:
        """Take bytes and return the text that they complete.

        Raises:
            VmRefusedError: The stream carries an error.
        """
        lines = (self._rest + data).split(b"\n")
        self._rest = lines.pop()
        return "".join(self._take(line.rstrip(b"\r")) for line in lines)

    def _take(self, line: bytes) -> str:
        if line.startswith(_EVENT):
            self._event = line[len(_EVENT) :].strip()
        elif line.startswith(_DATA):
            return self._take_data(line[len(_DATA) :].strip())
        elif not line:
            self._event = b""
        return ""

    def _take_data(self, data: bytes) -> str:
        if self._event == _ERROR_EVENT:
            raise problem_from_body(200, data)
        if data == _DONE:
            self.whole = True
            return ""
        text = text_of_chunk(data)
        self.chunks += bool(text)
        return text


def text_of_chunk(data: bytes) -> str:
    """Return the text of a chunk or answer, empty where it has none."""
    try:
        return msgspec.json.decode(data, type=ChatChunk).text
    except (msgspec.DecodeError, RecursionError):
        return ""
