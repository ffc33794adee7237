"""Classifies sends that failed to bring a complete answer.

A request that the endpoint certainly has not begun can be sent again like a new one.
After any other failure it may have run.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from pomelolane.forwarding import request_log
from pomelolane.forwarding.refusals import refusal_after_sends
from pomelolane.outcomes import Outcome, Reason, Refusal

if TYPE_CHECKING:
    from pomelolane.coordination.stream_reporter import StreamReporter
    from pomelolane.forwarding.call import CallState
    from pomelolane.forwarding.relay import RelayResult
    from pomelolane.forwarding.stall import StallWatch

RETRY_AFTER_MS = 300
"""Retry delay after an endpoint refused: about the duration of a request."""

VERSION_RETRY_MS = 1_000
"""Retry delay where a stream can't go on: endpoints that have crashed come back within
seconds, as do VMs that know its version."""


class RetrySignal(Exception):  # noqa: N818  (a signal, not an error)
    """The request may be tried at another endpoint.

    Attributes:
        refusal: Answer for the caller if the request is not tried again.
        is_charged: Whether the retry is already charged to the retry budget.
    """

    def __init__(self, refusal: Refusal) -> None:
        super().__init__(refusal.detail)
        self.refusal = refusal
        self.is_charged = False


def refused_by_endpoint(
    state: CallState, watch: StreamReporter, detail: str
) -> RetrySignal:
    """Record a send that the endpoint has certainly not begun; return the signal."""
    state.excluded += (state.endpoint_id,)
    watch.finish(refused=True, outcome=Outcome.NOT_RUN)
    return _failed(state, Reason.ENDPOINT_REFUSED, detail)


def broken_by_endpoint(
    state: CallState, watch: StreamReporter, detail: str
) -> RetrySignal:
    """Record a failed send that the endpoint may have begun; return the signal."""
    state.excluded += (state.endpoint_id,)
    watch.finish(outcome=Outcome.FAILED)
    return _failed(state, Reason.ENDPOINT_BROKEN, detail)


def incomplete_answer(
    state: CallState,
    watch: StreamReporter,
    result: RelayResult,
    stall: StallWatch | None,
) -> RetrySignal:
    """Record an answer that ended or was abandoned early; return the signal.

    A stream that the stall watch abandoned has already been charged to the budget.
    """
    if stall is None or not stall.has_abandoned:
        return broken_by_endpoint(state, watch, result.failure)
    retry = broken_by_endpoint(state, watch, "the stream fell silent")
    retry.is_charged = True
    return retry


def broken_by_peer(state: CallState, detail: str) -> RetrySignal:
    """Record a relay to another VM that broke; return the signal."""
    return _failed(state, Reason.ENDPOINT_BROKEN, detail)


def no_matching_version(state: CallState) -> Refusal:
    """Return the refusal of a stream whose version has no endpoint left for it."""
    refusal = Refusal(
        Outcome.NOT_RUN,
        Reason.NO_MATCHING_VERSION,
        VERSION_RETRY_MS,
        f"no endpoint of {state.origin.service} has version {state.origin.version}",
    )
    return refusal_after_sends(state, refusal)


def origin_unknown(state: CallState) -> Refusal:
    """Return the refusal of a stream of which nobody can tell what began it."""
    refusal = Refusal(
        Outcome.NOT_RUN,
        Reason.ORIGIN_UNKNOWN,
        VERSION_RETRY_MS,
        "the version that began the stream is not known",
    )
    return refusal_after_sends(state, refusal)


def timed_out(state: CallState) -> Refusal:
    """Return the refusal of a request whose time limit has passed."""
    refusal = Refusal(
        Outcome.NOT_RUN,
        Reason.DEADLINE_PASSED,
        RETRY_AFTER_MS,
        "the time allowed has passed",
    )
    return refusal_after_sends(state, refusal)


def _failed(state: CallState, reason: Reason, detail: str) -> RetrySignal:
    request_log.failed(state, reason, detail)
    return RetrySignal(Refusal(Outcome.NOT_RUN, reason, RETRY_AFTER_MS, detail))
