"""Adapters by which a VM speaks HTTP to model engines and plain services.

They register themselves by the service kind that they serve.
"""

from __future__ import annotations

import asyncio
import contextlib
from typing import TYPE_CHECKING

from pomelolane.endpoints.headers import request_head
from pomelolane.endpoints.pool import ConnectionPool
from pomelolane.exceptions import (
    EndpointBrokenError,
    EndpointError,
    EndpointRefusedError,
    StreamGoneError,
)
from pomelolane.model import ServiceKind
from pomelolane.ports import UpstreamRequest
from pomelolane.registry import ENDPOINT_ADAPTERS, register

if TYPE_CHECKING:
    from collections.abc import Callable

    from pomelolane.endpoints.stream import AnswerStream
    from pomelolane.model import Endpoint

CANCEL_TIMEOUT_MS = 2_000
"""Bound on telling an engine that a stream is not wanted any more."""

_OK = 200
_NOT_FOUND = 404
_REFUSALS = (429, 503)
_SERVER_ERRORS = range(500, 600)
_EVENT_STREAM = b"text/event-stream"


def declared_address(endpoint: Endpoint) -> str:
    """Return the address that the endpoint's declaration gives."""
    return endpoint.address


class PlainAdapter:
    """Passes requests to plain services.

    Args:
        pool: Connections, shared between adapters.
        route: Returns the ``ip:port`` by which this VM reaches an endpoint.
    """

    def __init__(self, pool: ConnectionPool, route: Callable[[Endpoint], str]) -> None:
        self._pool = pool
        self._route = route

    async def dispatch(
        self, endpoint: Endpoint, request: UpstreamRequest
    ) -> AnswerStream:
        """Send a request, once.

        Raises:
            EndpointRefusedError: Certainly not taken.
            EndpointBrokenError: Possibly taken.
        """
        address = self._route(endpoint)
        head = request_head(request, address)
        parts = (head, request.body) if request.body else (head,)
        connection = await self._pool.acquire(address)
        return await connection.exchange(request.method, parts)

    async def resume(
        self, endpoint: Endpoint, stream_id: str, from_chunk: int
    ) -> AnswerStream:
        """Raise, because plain services keep no streams.

        Raises:
            StreamGoneError: Always.
        """
        del from_chunk
        raise StreamGoneError(f"{endpoint.endpoint_id} keeps no stream {stream_id}")

    async def cancel(self, endpoint: Endpoint, stream_id: str) -> None:
        """Do nothing: closing the stream is all that a plain service hears."""


class EngineAdapter(PlainAdapter):
    """Speaks to model engines, which can resume and cancel streams."""

    async def dispatch(
        self, endpoint: Endpoint, request: UpstreamRequest
    ) -> AnswerStream:
        """Send a request, once, and mark an answer that ends by ``[DONE]``.

        An engine says 429 or 503 to what it does not take; another server
        error leaves open whether it ran.

        Raises:
            EndpointRefusedError: Certainly not taken.
            EndpointBrokenError: Possibly taken.
        """
        stream = await super().dispatch(endpoint, request)
        if stream.status in _REFUSALS or stream.status in _SERVER_ERRORS:
            await _raise_for_status(endpoint, stream)
        content_type = stream.header(b"content-type").lower()
        stream.is_events = stream.status == _OK and content_type.startswith(
            _EVENT_STREAM
        )
        return stream

    async def resume(
        self, endpoint: Endpoint, stream_id: str, from_chunk: int
    ) -> AnswerStream:
        """Attach to a stream that an earlier dispatch started.

        Raises:
            StreamGoneError: The engine does not know it.
            EndpointError: The engine could not be asked.
        """
        path = f"/v1/streams/{stream_id}?from={from_chunk}"
        stream = await self.dispatch(endpoint, _bare_request("GET", path, stream_id))
        if stream.status == _NOT_FOUND:
            await _drain(stream)
            raise StreamGoneError(f"{endpoint.endpoint_id} knows no {stream_id}")
        return stream

    async def cancel(self, endpoint: Endpoint, stream_id: str) -> None:
        """Ask the engine to stop a stream; errors are swallowed."""
        request = _bare_request("POST", f"/v1/streams/{stream_id}/cancel", stream_id)
        try:
            async with asyncio.timeout(CANCEL_TIMEOUT_MS / 1000.0):
                await _drain(await self.dispatch(endpoint, request))
        except (EndpointError, TimeoutError):
            return


@register(ENDPOINT_ADAPTERS, ServiceKind.PLAIN)
def make_plain_adapter(
    pool: ConnectionPool | None = None,
    route: Callable[[Endpoint], str] = declared_address,
) -> PlainAdapter:
    """Return an adapter for plain services."""
    return PlainAdapter(pool or ConnectionPool(), route)


@register(ENDPOINT_ADAPTERS, ServiceKind.ENGINE)
def make_engine_adapter(
    pool: ConnectionPool | None = None,
    route: Callable[[Endpoint], str] = declared_address,
) -> EngineAdapter:
    """Return an adapter for model engines."""
    return EngineAdapter(pool or ConnectionPool(), route)


def _bare_request(method: str, path: str, stream_id: str) -> UpstreamRequest:
    return UpstreamRequest(stream_id, "", method, path, (), b"")


async def _raise_for_status(endpoint: Endpoint, stream: AnswerStream) -> None:
    detail = f"{endpoint.endpoint_id} answered {stream.status}"
    with contextlib.suppress(EndpointError):
        await _drain(stream)
    if stream.status in _REFUSALS:
        raise EndpointRefusedError(detail)
    raise EndpointBrokenError(detail)


async def _drain(stream: AnswerStream) -> None:
    async for _ in stream.chunks():
        pass
