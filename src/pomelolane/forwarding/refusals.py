"""Answers that the gateway itself gives to refused and failed requests.

Statuses that mean "not run" are used only for requests that no endpoint can have begun.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from pomelolane.http.problem import (
    PROBLEM_TYPE,
    encode_problem,
    problem_from_refusal,
)
from pomelolane.outcomes import Outcome, Reason, Refusal

if TYPE_CHECKING:
    from pomelolane.exceptions import BadRequestError
    from pomelolane.forwarding.call import CallState
    from pomelolane.http.exchange import Exchange

_LIMIT_REASONS = (
    Reason.REQUEST_LIMIT,
    Reason.TOKEN_LIMIT,
    Reason.LIMIT_GUESSED,
    Reason.CONCURRENCY_LIMIT,
)
_REASONS_KEPT_AFTER_SEND = (
    Reason.DEADLINE_PASSED,
    Reason.CRASHES_ENDPOINTS,
    Reason.NO_MATCHING_VERSION,
    Reason.ORIGIN_UNKNOWN,
    Reason.INTERNAL_ERROR,
)
"""Reasons that hold whether or not an endpoint has begun the request."""

NOT_READY_RETRY_MS = 500
"""Retry delay for callers of a VM without a configuration, or with an outdated one."""

_NOT_READY_REASONS = (Reason.NOT_READY, Reason.CONFIGURATION_UNCONFIRMED)

INTERNAL_ERROR = Refusal(
    Outcome.NOT_RUN, Reason.INTERNAL_ERROR, detail="an unexpected error occurred"
)
"""Refusal of a request that an unhandled error has ended before it was sent."""


def refusal_after_sends(state: CallState, refusal: Refusal) -> Refusal:
    """Return the refusal with its outcome adjusted to the sends made so far.

    If an endpoint may have run the request, the outcome is unknown.
    """
    if not state.may_have_run:
        return refusal
    outcome = Outcome.UNKNOWN
    reason = refusal.reason
    if reason not in _REASONS_KEPT_AFTER_SEND:
        reason = Reason.ENDPOINT_BROKEN
    return Refusal(outcome, reason, 0, refusal.detail)


def refusal_from_error(error: BadRequestError) -> Refusal:
    """Return the refusal of a request that was not accepted."""
    reason = error.reason if isinstance(error.reason, Reason) else Reason.BAD_REQUEST
    retry_ms = NOT_READY_RETRY_MS if reason in _NOT_READY_REASONS else 0
    return Refusal(Outcome.NOT_RUN, reason, retry_ms, error.detail)


def status_of(refusal: Refusal) -> int:
    """Return the HTTP status of a refusal."""
    if refusal.outcome is not Outcome.NOT_RUN:
        return 504 if refusal.reason is Reason.DEADLINE_PASSED else 502
    if refusal.reason in _LIMIT_REASONS:
        return 429
    if refusal.reason in (Reason.ENDPOINT_BROKEN, Reason.ENDPOINT_ERROR):
        return 503
    return problem_from_refusal(refusal).status


async def answer_refusal(
    exchange: Exchange, refusal: Refusal, request_id: str, *, closes: bool
) -> int:
    """Send a refusal to the caller and return its HTTP status.

    Args:
        exchange: The caller's exchange.
        refusal: The refusal.
        request_id: Id of the request, empty if it was not accepted.
        closes: Whether to close the caller's connection after the answer.
    """
    status = status_of(refusal)
    problem = problem_from_refusal(refusal, request_id)
    headers = [(b"content-type", PROBLEM_TYPE)]
    if refusal.retry_after_ms > 0 and refusal.outcome is Outcome.NOT_RUN:
        # Callers of these routes accept fractions of a second in Retry-After.
        seconds = f"{refusal.retry_after_ms / 1000:.2f}"
        headers.append((b"retry-after", seconds.encode()))
    if status == 401:
        headers.append((b"www-authenticate", b"Bearer"))
    if closes:
        headers.append((b"connection", b"close"))
    await exchange.respond(status, headers, encode_problem(problem))
    return status
