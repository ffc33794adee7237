"""Which headers pass between caller and endpoint, and how a request's head looks.

Headers that belong to one hop, or tell of the caller's secrets, stay here.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from pomelolane.exceptions import EndpointRefusedError

if TYPE_CHECKING:
    from collections.abc import Iterable

    from pomelolane.ports import UpstreamRequest

Header = tuple[bytes, bytes]

HOP_HEADERS = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    }
)

_SET_HERE = frozenset(
    {b"host", b"content-length", b"expect", b"x-request-id", b"idempotency-key"}
)

_NOT_FOR_ENDPOINTS = frozenset(
    {
        b"authorization",
        b"baggage",
        b"forwarded",
        b"traceparent",
        b"tracestate",
        b"via",
        b"x-forwarded-for",
        b"x-forwarded-host",
        b"x-forwarded-proto",
        b"x-real-ip",
    }
)

_DROPPED_TO_ENDPOINTS = HOP_HEADERS | _SET_HERE | _NOT_FOR_ENDPOINTS

_BODY_METHODS = frozenset({"POST", "PUT", "PATCH"})

_FORBIDDEN_IN_VALUE = frozenset(b"\r\n\0")

_FORBIDDEN_IN_TOKEN = frozenset(range(0x21)) | {0x7F}


def strip_hop_headers(headers: Iterable[Header]) -> tuple[Header, ...]:
    """Return an answer's headers without those of one hop."""
    headers = tuple(headers)
    named = {
        name.strip().lower()
        for key, value in headers
        if key == b"connection"
        for name in value.split(b",")
    }
    dropped = HOP_HEADERS | named
    return tuple(header for header in headers if header[0] not in dropped)


def request_head(request: UpstreamRequest, host: str) -> bytes:
    """Return the head of a request as it goes to an endpoint.

    Raises:
        EndpointRefusedError: A part cannot be written as HTTP.
    """
    lines = [_request_line(request), b"host: " + host.encode("ascii")]
    for name, value in _passed_headers(request):
        _check(name, _FORBIDDEN_IN_TOKEN)
        _check(value, _FORBIDDEN_IN_VALUE)
        lines.append(name + b": " + value)
    lines.append(b"\r\n")
    return b"\r\n".join(lines)


def _request_line(request: UpstreamRequest) -> bytes:
    try:
        method = request.method.encode("ascii")
        path = request.path.encode("latin-1")
    except UnicodeEncodeError as error:
        raise EndpointRefusedError("the request line is not ASCII") from error
    _check(method, _FORBIDDEN_IN_TOKEN)
    _check(path, _FORBIDDEN_IN_TOKEN)
    return method + b" " + path + b" HTTP/1.1"


def _passed_headers(request: UpstreamRequest) -> Iterable[Header]:
    for name, value in request.headers:
        if name.lower() not in _DROPPED_TO_ENDPOINTS:
            yield name, value
    yield b"x-request-id", request.request_id.encode("latin-1", "replace")
    if request.key:
        yield b"idempotency-key", request.key.encode("latin-1", "replace")
    if request.body or request.method in _BODY_METHODS:
        yield b"content-length", b"%d" % len(request.body)


def _check(text: bytes, forbidden: frozenset[int]) -> None:
    if not forbidden.isdisjoint(text):
        raise EndpointRefusedError("a header or the request line holds a control byte")
