"""Kept answers: how a finished answer is stored, replayed and converted.

A kept answer is one object: a line of JSON with status and media type, then
the body as the caller first got it.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from pomelolane.exceptions import EndpointBrokenError

if TYPE_CHECKING:
    from pomelolane.gateway.sinks import KeptAnswer

EVENT_STREAM = b"text/event-stream"
JSON = b"application/json"
_DATA = b"data: "
_DONE = b"[DONE]"


class AnswerHead(msgspec.Struct, frozen=True):
    """First line of a kept answer."""

    status: int
    content_type: str


class StoredAnswer(msgspec.Struct, frozen=True):
    """A kept answer read back.

    Attributes:
        status: HTTP status.
        content_type: Media type.
        body: Whole body.
    """

    status: int
    content_type: bytes
    body: bytes


class _Delta(msgspec.Struct):
    content: str = ""


class _Choice(msgspec.Struct):
    delta: _Delta
    finish_reason: str | None = None


class _Chunk(msgspec.Struct):
    choices: list[_Choice]
    id: str = ""
    usage: msgspec.Raw = msgspec.Raw(b"null")


def encode_answer(answer: KeptAnswer) -> bytes:
    """Encode a collected answer for the object store."""
    head = AnswerHead(answer.status, answer.content_type.decode("latin-1"))
    return msgspec.json.encode(head) + b"\n" + bytes(answer.body)


def answer_from_object(data: bytes) -> StoredAnswer:
    """Decode a kept answer."""
    line, _, body = data.partition(b"\n")
    head = msgspec.json.decode(line, type=AnswerHead)
    return StoredAnswer(head.status, head.content_type.encode("latin-1"), body)


def completion_from_events(body: bytes, model: str) -> bytes:
    """Turn a whole event stream into the JSON answer of an unstreamed call.

    Raises:
        EndpointBrokenError: The stream has no proper end.
    """
    content: list[str] = []
    last = _Chunk(choices=[])
    finish_reason: str | None = None
    done = False
    for line in body.split(b"\n"):
        if not line.startswith(_DATA):
            continue
        data = line[len(_DATA) :].strip()
        if data == _DONE:
            done = True
            break
        last = msgspec.json.decode(data, type=_Chunk)
        for choice in last.choices[:1]:
            content.append(choice.delta.content)
            finish_reason = choice.finish_reason or finish_reason
    if not done:
        raise EndpointBrokenError("the stream has no end mark")
    message = {"role": "assistant", "content": "".join(content)}
    choice = {"index": 0, "message": message, "finish_reason": finish_reason}
    return msgspec.json.encode(
        {
            "id": last.id,
            "object": "chat.completion",
            "model": model,
            "choices": [choice],
            "usage": last.usage,
        }
    )
