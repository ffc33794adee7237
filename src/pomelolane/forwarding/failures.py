"""What became of a send that did not bring the whole answer, and what it means.

A send that the endpoint has certainly not begun leaves the request as it was; any other
may have run.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from pomelolane.forwarding import journal
from pomelolane.forwarding.refusals import truthful
from pomelolane.outcomes import Outcome, Reason, Refusal

if TYPE_CHECKING:
    from pomelolane.coordination.stream_reporter import StreamReporter
    from pomelolane.endpoints import AnswerStream
    from pomelolane.forwarding.call import CallState
    from pomelolane.forwarding.stall import StallWatch

RETRY_AFTER_MS = 300
"""When to come back after an endpoint has refused: about a request's time."""


class AgainSignal(Exception):  # noqa: N818  (a signal, not an error)
    """The request may be tried at another endpoint.

    Attributes:
        refusal: What the caller hears if it is not.
        is_paid: Whether the repeat is counted against the budget already.
    """

    def __init__(self, refusal: Refusal) -> None:
        super().__init__(refusal.detail)
        self.refusal = refusal
        self.is_paid = False


def not_taken(state: CallState, watch: StreamReporter, detail: str) -> AgainSignal:
    """Judge a send that the endpoint has certainly not begun."""
    state.excluded += (state.endpoint_id,)
    watch.finish(refused=True, outcome=Outcome.NOT_RUN)
    return _failed(state, Reason.ENDPOINT_REFUSED, detail)


def broken(state: CallState, watch: StreamReporter, detail: str) -> AgainSignal:
    """Judge a send that the endpoint may have begun."""
    state.excluded += (state.endpoint_id,)
    watch.finish(outcome=Outcome.FAILED)
    return _failed(state, Reason.ENDPOINT_BROKEN, detail)


def cut_short(
    state: CallState,
    watch: StreamReporter,
    stream: AnswerStream,
    stall: StallWatch | None,
) -> AgainSignal:
    """Judge an answer that has ended before it was whole."""
    if stall is None or not stall.has_left:
        return broken(state, watch, str(stream.error))
    again = broken(state, watch, "the stream fell silent")
    again.is_paid = True
    return again


def timed_out(state: CallState) -> Refusal:
    """Return what the caller hears when its time is over."""
    refusal = Refusal(
        Outcome.NOT_RUN,
        Reason.DEADLINE_PASSED,
        RETRY_AFTER_MS,
        "the time allowed has passed",
    )
    return truthful(state, refusal)


def _failed(state: CallState, reason: Reason, detail: str) -> AgainSignal:
    journal.failed(state, reason, detail)
    return AgainSignal(Refusal(Outcome.NOT_RUN, reason, RETRY_AFTER_MS, detail))
