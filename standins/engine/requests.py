"""The body of a chat-completions request, as far as an engine reads it.

Unknown fields are passed over, as real engines do.
"""

from __future__ import annotations

from typing import Annotated

import msgspec

DEFAULT_OUTPUT_TOKENS = 64

PositiveInt = Annotated[int, msgspec.Meta(gt=0)]


class ContentPart(msgspec.Struct, frozen=True):
    """A part of a message's content."""

    type: str = "text"
    text: str = ""


class ChatMessage(msgspec.Struct, frozen=True):
    """One message of the conversation."""

    role: str
    content: str | list[ContentPart] | None = None


class ChatRequest(msgspec.Struct, frozen=True):
    """A request for an answer.

    Attributes:
        messages: The conversation.
        model: Model or adapter.
        stream: Whether the answer comes as events.
        max_tokens: Bound on the answer.
        x_output_tokens: How long the answer becomes, within the bound.
    """

    messages: list[ChatMessage]
    model: str = ""
    stream: bool = False
    max_tokens: PositiveInt | None = None
    x_output_tokens: PositiveInt | None = None

    def prompt_bytes(self) -> bytes:
        """Return the concatenated contents of the messages."""
        return "".join(map(_content_text, self.messages)).encode()

    def output_tokens(self) -> int:
        """Return how long the answer becomes."""
        bound = self.max_tokens or self.x_output_tokens or DEFAULT_OUTPUT_TOKENS
        return min(self.x_output_tokens or bound, bound)


def _content_text(message: ChatMessage) -> str:
    if message.content is None:
        return ""
    if isinstance(message.content, str):
        return message.content
    return "".join(part.text for part in message.content)


__all__ = ["ChatMessage", "ChatRequest", "ContentPart"]
