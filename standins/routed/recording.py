"""Records what an endpoint answers, so that it can send an answer again."""

from __future__ import annotations

from enum import StrEnum
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    import asyncio

_NAMING_HEADER = b"request-id: "
_MAX_RECORDED_PARTS = 100


class Repeats(StrEnum):
    """Which answers an endpoint sends again where the next answer is due."""

    NOTHING = "nothing"
    REFUSALS = "refusals"
    """Answers by which it turns a request away."""
    ANSWERS = "answers"
    """All answers."""
    UNNAMED_REFUSALS = "unnamed refusals"
    """Refusals, the second time without the request's id."""
    ENDLESS = "endless bodies"
    """All answers, the second time with a body that does not end."""


class RecordingWriter:
    """A connection's writer that keeps its last answer.

    Args:
        writer: The connection's own writer.
    """

    def __init__(self, writer: asyncio.StreamWriter) -> None:
        self._writer = writer
        self._answer: list[bytes] = []

    def __getattr__(self, name: str) -> Any:
        return getattr(self._writer, name)

    def write(self, data: bytes) -> None:
        """Write a part of an answer, and keep it."""
        if len(self._answer) < _MAX_RECORDED_PARTS:
            self._answer.append(data)
        self._writer.write(data)

    def send_extra(self, data: bytes) -> None:
        """Write bytes that belong to no answer of this connection."""
        self._writer.write(data)

    def take_answer(self, repeats: Repeats) -> bytes:
        """Return what is to be sent again of the last answer; a new one begins."""
        answer, self._answer = b"".join(self._answer), []
        head, _, body = answer.partition(b"\r\n\r\n")
        lines = head.split(b"\r\n")
        is_refusal = any(line.startswith(b"not-executed:") for line in lines)
        if repeats is Repeats.NOTHING or not answer:
            return b""
        if repeats is Repeats.ANSWERS or (repeats is Repeats.REFUSALS and is_refusal):
            return answer
        if repeats is Repeats.UNNAMED_REFUSALS and is_refusal:
            lines = [one for one in lines if not one.startswith(_NAMING_HEADER)]
            return b"\r\n".join([*lines, b"", body])
        if repeats is Repeats.ENDLESS:
            lines = [one for one in lines if not one.startswith(b"content-length:")]
            return b"\r\n".join([*lines, b"transfer-encoding: chunked", b"", b""])
        return b""
