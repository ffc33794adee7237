"""Refusals of requests that never reach the application."""

from __future__ import annotations

from pomelolane.http.problem import (
    encode_problem,
    problem_from_refusal,
    problem_headers,
)
from pomelolane.outcomes import Outcome, Reason, Refusal

MAX_HEAD_BYTES = 32 * 1024
"""Most bytes of a request's head, and of all that comes in a row without being one or
a part of a body: empty lines, the framing of chunks, trailers."""

EVICTED_RETRY_MS = 1000
"""Retry delay for callers whose requests are refused for want of memory."""

_STATUS_LINES = {
    400: b"HTTP/1.1 400 Bad Request\r\n",
    408: b"HTTP/1.1 408 Request Timeout\r\n",
    431: b"HTTP/1.1 431 Request Header Fields Too Large\r\n",
    503: b"HTTP/1.1 503 Service Unavailable\r\n",
}

MEMORY_FULL = Refusal(
    Outcome.NOT_RUN,
    Reason.MEMORY_FULL,
    EVICTED_RETRY_MS,
    "the VM has no memory left for this request",
)


class RequestRefusedError(Exception):
    """Ends the parser's work on a request that is refused.

    Attributes:
        status: HTTP status of the answer.
        refusal: The refusal.
    """

    def __init__(self, status: int, refusal: Refusal) -> None:
        super().__init__(refusal.detail)
        self.status = status
        self.refusal = refusal


def bad_request(detail: str) -> Refusal:
    """Return the refusal of a request that can't be read."""
    return Refusal(Outcome.NOT_RUN, Reason.BAD_REQUEST, detail=detail)


def head_too_long() -> tuple[int, Refusal]:
    """Return status and refusal of a request whose head or framing is too long."""
    return 431, bad_request(f"the head is longer than {MAX_HEAD_BYTES} bytes")


def encode_refusal(status: int, refusal: Refusal) -> bytes:
    """Encode a whole answer, after which the connection is closed."""
    problem = problem_from_refusal(refusal)
    body = encode_problem(problem)
    head = [_STATUS_LINES[status]]
    head += [name + b": " + value + b"\r\n" for name, value in problem_headers(problem)]
    head.append(b"content-length: %d\r\nconnection: close\r\n\r\n" % len(body))
    return b"".join(head) + body
