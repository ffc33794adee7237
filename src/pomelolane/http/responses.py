"""Handlers and answers of the HTTP interfaces, in blacksheep's terms."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
from aioprometheus import REGISTRY
from aioprometheus.renderer import render
from blacksheep import Content, Request, Response

from pomelolane.http.exchange import ExchangeMiddleware

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from blacksheep import Application


def function_from_method(
    method: Callable[[Request], Awaitable[Response]],
) -> Callable[[Request], Awaitable[Response]]:
    """Return a plain function: blacksheep marks handlers, and can't mark methods."""

    async def handle(request: Request) -> Response:
        return await method(request)

    return handle


def make_asgi(app: Application) -> ExchangeMiddleware:
    """Wrap the application for the HTTP server."""
    return ExchangeMiddleware(app)


def json_response(
    status: int, value: object, headers: list[tuple[bytes, bytes]] | None = None
) -> Response:
    """Return a JSON answer."""
    content = Content(b"application/json", msgspec.json.encode(value))
    return Response(status, headers or [], content)


def metrics_response(request: Request) -> Response:
    """Return the page of all metrics of this process, in the form asked for."""
    accept = request.get_first_header(b"accept") or b""
    page, headers = render(REGISTRY, [accept.decode("latin-1")])
    media_type = headers.get("Content-Type", "text/plain").encode()
    return Response(200, content=Content(media_type, page))
