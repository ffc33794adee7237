"""Problem-details answers: how a refusal or failure reads to a caller.

The format is RFC 9457 with the members ``outcome``, ``reason`` and
``retry_after_ms`` added.
"""

from __future__ import annotations

import math
from http import HTTPStatus
from typing import TYPE_CHECKING

import msgspec

from pomelolane.outcomes import Outcome, Reason, Refusal

if TYPE_CHECKING:
    from pomelolane.exceptions import BadRequestError

PROBLEM_TYPE = b"application/problem+json"
_TYPE_PREFIX = "urn:pomelolane:problem:"

_STATUS_BY_REASON: dict[Reason, int] = {
    Reason.BAD_REQUEST: 400,
    Reason.UNAUTHENTICATED: 401,
    Reason.FORBIDDEN: 403,
    Reason.NOT_FOUND: 404,
    Reason.UNKNOWN_SERVICE: 404,
    Reason.UNKNOWN_WORK: 400,
    Reason.BODY_TIMEOUT: 408,
    Reason.CLAIM_HELD: 409,
    Reason.HOLDER_GONE: 409,
    Reason.CANCELLED: 410,
    Reason.BODY_TOO_LARGE: 413,
    Reason.KEY_REUSED: 422,
    Reason.REQUEST_LIMIT: 429,
    Reason.TOKEN_LIMIT: 429,
    Reason.LIMIT_GUESSED: 429,
    Reason.CONCURRENCY_LIMIT: 429,
    Reason.ENDPOINT_BROKEN: 502,
    Reason.ENDPOINT_ERROR: 502,
    Reason.DEADLINE_PASSED: 504,
}


class Problem(msgspec.Struct, frozen=True):
    """Body of a problem-details answer.

    Attributes:
        type: URN of the reason.
        title: The status's standard phrase.
        status: HTTP status.
        detail: One sentence for people.
        outcome: What is known about whether the request ran.
        reason: Machine-readable cause.
        retry_after_ms: When to come back, 0 where it can't help.
        request_id: The request, empty where none was made.
    """

    type: str
    title: str
    status: int
    detail: str
    outcome: Outcome
    reason: Reason
    retry_after_ms: int = 0
    request_id: str = ""


def status_from_refusal(refusal: Refusal) -> int:
    """Return the HTTP status that goes with a refusal."""
    status = _STATUS_BY_REASON.get(refusal.reason, 503)
    passed_while_waiting = (
        refusal.reason is Reason.DEADLINE_PASSED and refusal.outcome is Outcome.NOT_RUN
    )
    return 503 if passed_while_waiting else status


def problem_from_refusal(refusal: Refusal, request_id: str = "") -> Problem:
    """Build the answer's body from a refusal."""
    status = status_from_refusal(refusal)
    return Problem(
        type=_TYPE_PREFIX + refusal.reason.value,
        title=HTTPStatus(status).phrase,
        status=status,
        detail=refusal.detail or refusal.reason.value.replace("_", " "),
        outcome=refusal.outcome,
        reason=refusal.reason,
        retry_after_ms=refusal.retry_after_ms,
        request_id=request_id,
    )


def refusal_from_bad_request(error: BadRequestError) -> Refusal:
    """Turn a malformed request into its refusal."""
    reason = error.reason
    if not isinstance(reason, Reason):
        reason = Reason.BAD_REQUEST
    return Refusal(Outcome.NOT_RUN, reason, detail=error.detail)


def problem_headers(problem: Problem) -> list[tuple[bytes, bytes]]:
    """Return the headers of a problem answer, ``Retry-After`` in whole seconds."""
    headers = [(b"content-type", PROBLEM_TYPE)]
    if problem.request_id:
        headers.append((b"x-request-id", problem.request_id.encode()))
    if problem.retry_after_ms > 0:
        seconds = math.ceil(problem.retry_after_ms / 1000)
        headers.append((b"retry-after", str(seconds).encode()))
    if problem.status == HTTPStatus.UNAUTHORIZED:
        headers.append((b"www-authenticate", b"Bearer"))
    return headers


def encode_problem(problem: Problem) -> bytes:
    """Encode a problem as JSON."""
    return msgspec.json.encode(problem)
