"""Handlers and answers of the HTTP interfaces, in blacksheep's terms.

The facade does not export them: loading blacksheep takes a fifth of the start of a VM
that only forwards, and it routes nothing there.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
from blacksheep import Content, Request, Response

from pomelolane.http.metrics import get_metrics_page
from pomelolane.http.problem import (
    PROBLEM_TYPE,
    encode_problem,
    problem_from_refusal,
    problem_headers,
)

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from pomelolane.outcomes import Refusal


def function_from_method(
    method: Callable[[Request], Awaitable[Response]],
) -> Callable[[Request], Awaitable[Response]]:
    """Return a plain function: blacksheep marks handlers, and can't mark methods."""

    async def handle(request: Request) -> Response:
        return await method(request)

    return handle


def json_response(
    status: int, value: object, headers: list[tuple[bytes, bytes]] | None = None
) -> Response:
    """Return a JSON answer."""
    content = Content(b"application/json", msgspec.json.encode(value))
    return Response(status, headers or [], content)


def metrics_response(request: Request) -> Response:
    """Return the page of all metrics of this process, in the form asked for."""
    accept = request.get_first_header(b"accept") or b""
    media_type, page = get_metrics_page(accept)
    return Response(200, content=Content(media_type, page))


def problem_response(refusal: Refusal, request_id: str = "") -> Response:
    """Return the problem-details answer to a refusal."""
    problem = problem_from_refusal(refusal, request_id)
    headers = [pair for pair in problem_headers(problem) if pair[0] != b"content-type"]
    content = Content(PROBLEM_TYPE, encode_problem(problem))
    return Response(problem.status, headers, content)
