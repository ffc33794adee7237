"""Requests to endpoints and their answers.

Adapters are in ``pomelolane.endpoints``.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Sequence

    from pomelolane.model import Endpoint


@dataclass(frozen=True, slots=True)
class UpstreamRequest:
    """A request as it goes to an endpoint.

    Attributes:
        request_id: Becomes the engine's stream id.
        key: Idempotency key passed on to plain services, empty if none.
        method: HTTP method.
        path: Path with query.
        headers: Headers to pass on.
        body: Whole body.
    """

    request_id: str
    key: str
    method: str
    path: str
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes


class UpstreamStream(Protocol):
    """An answer that is arriving."""

    status: int
    headers: Sequence[tuple[bytes, bytes]]

    def chunks(self) -> AsyncIterator[bytes]:
        """Yield body bytes as they come, coalescing what is ready."""

    async def aclose(self) -> None:
        """Close the connection."""


class EndpointAdapter(Protocol):
    """Speaks to one kind of endpoint."""

    async def dispatch(
        self, endpoint: Endpoint, request: UpstreamRequest
    ) -> UpstreamStream:
        """Send a request, once.

        Raises:
            EndpointRefusedError: Certainly not taken.
            EndpointBrokenError: Possibly taken.
        """

    async def resume(
        self, endpoint: Endpoint, stream_id: str, from_chunk: int
    ) -> UpstreamStream:
        """Attach to a stream that an earlier dispatch started.

        Raises:
            StreamGoneError: The engine does not know it.
        """

    async def cancel(self, endpoint: Endpoint, stream_id: str) -> None:
        """Ask the engine to stop a stream; errors are swallowed."""
