"""How an attempt and a whole request can end, as the gateway sees it.

A sink takes the bytes of an answer; there is one for callers and one for jobs.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from collections.abc import Callable

    from pomelolane.endpoints import AnswerStream
    from pomelolane.gateway.sinks import KeptAnswer


@dataclass(frozen=True, slots=True)
class Delivered:
    """The whole answer went to the sink; truthy.

    Attributes:
        status: HTTP status of the endpoint.
        endpoint_id: Where it ran.
        ttft_ms: Time from dispatch to the first byte.
        chunks: Token events or body pieces passed on.
    """

    status: int
    endpoint_id: str
    ttft_ms: float
    chunks: int


@dataclass(frozen=True, slots=True)
class SinkResult:
    """What a sink made of one upstream answer.

    Attributes:
        whole: Whether the answer came to its proper end.
        begun: Whether any byte of it has left towards the caller.
        chunks: Token events seen.
        cached_tokens: Prompt tokens reported as cached, -1 if unknown.
        caller_gone: Whether the caller left before the end.
    """

    whole: bool
    begun: bool
    chunks: int
    cached_tokens: int = -1
    caller_gone: bool = False


class FirstByte(Protocol):
    """Hears of an answer's first body bytes."""

    def __call__(self, *, begun: bool = True) -> None:
        """Note the first byte.

        Args:
            begun: Whether it has left towards the caller.
        """


class Sink(Protocol):
    """Takes the answer of one attempt."""

    async def take(
        self,
        stream: AnswerStream,
        on_first: FirstByte,
        on_progress: Callable[[int], None],
    ) -> SinkResult:
        """Pass an answer on until its end.

        Args:
            stream: The arriving answer.
            on_first: Called at the first body bytes; with ``begun=False`` while
                none of them has left towards the caller.
            on_progress: Called with the number of token events so far.
        """


class AnswerSink(Sink, Protocol):
    """A sink that ends at a caller.

    Attributes:
        streams_events: Whether the answer that goes out is an event stream.
    """

    streams_events: bool

    def keep(self, tee: KeptAnswer) -> None:
        """Collect a copy of the answer from here on."""
