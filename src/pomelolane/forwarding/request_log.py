"""Log events and counters of forwarded requests, one function per event."""

from __future__ import annotations

from typing import TYPE_CHECKING

from pomelolane import events
from pomelolane.forwarding import metrics
from pomelolane.logs import log_event
from pomelolane.outcomes import Outcome, Reason

if TYPE_CHECKING:
    from pomelolane.endpoints import AnswerStream
    from pomelolane.exceptions import BadRequestError
    from pomelolane.forwarding.attribution import Attribution
    from pomelolane.forwarding.call import CallState, ForwardCall
    from pomelolane.forwarding.endpoints import EndpointDirectory
    from pomelolane.forwarding.relay import RelayResult
    from pomelolane.http.exchange import Exchange
    from pomelolane.model import Endpoint
    from pomelolane.outcomes import Refusal
    from pomelolane.ports import Grant
    from pomelolane.resumption import StreamOrigin


def accepted(call: ForwardCall) -> None:
    """Log a request that has passed the checks, with the values it was checked by."""
    log_event(
        events.FORWARD_ACCEPTED,
        request=call.log_id,
        fingerprint=call.fingerprint,
        parts=" ".join(call.subjects.parts),
        grant=call.local_id,
        route=call.route.name,
        service=call.service,
        organisation=call.organisation,
        rank=call.rank,
        kind=call.route.kind,
        objective_ms=call.route.objective_ms,
        limit_ms=call.limit_ms,
        prompt_tokens=call.description.prompt_tokens,
        hint_tokens=call.description.answer_hint_tokens,
        charge_tokens=call.charge_tokens,
        version=call.version,
        resumes=call.description.resumes,
        resume_after=call.description.resume_after.decode("latin-1"),
    )


def rejected(
    exchange: Exchange,
    request_id: str,
    error: BadRequestError,
    *,
    version: int,
    in_force_ms: float,
    confirmed_ms: float,
    lag_ms: float,
    unlogged: int,
) -> None:
    """Log a request without a route or a known key.

    Args:
        exchange: The caller's exchange.
        request_id: The caller's id of the request.
        error: Why it was not accepted.
        version: Version of the configuration that it was checked by.
        in_force_ms: For how long requests have been checked by it.
        confirmed_ms: Time since this VM last learned that there is no newer one.
        lag_ms: Largest lag of the event loop in the last seconds.
        unlogged: Such requests since the last line that were not logged.
    """
    log_event(
        events.FORWARD_REJECTED,
        request=request_id,
        host=exchange.header(b"host").decode("latin-1"),
        path=exchange.path.decode("latin-1"),
        status=error.status,
        reason=error.reason,
        version=version,
        in_force_ms=in_force_ms,
        confirmed_ms=confirmed_ms,
        lag_ms=lag_ms,
        unlogged=unlogged,
    )


def sent(
    state: CallState,
    grant: Grant,
    endpoint: Endpoint,
    remaining_ms: int,
    now_ms: float,
    directory: EndpointDirectory,
) -> None:
    """Log that a request is sent to an endpoint, with the list that names it."""
    log_event(
        events.FORWARD_SENT,
        request=state.call.log_id,
        grant=grant.request_id,
        endpoint=grant.endpoint_id,
        send=state.sends,
        waited_ms=now_ms - state.call.accepted_ms,
        expected_ms=grant.expected_ttft_ms,
        left_ms=remaining_ms,
        list_age_ms=directory.age_ms,
        list_version=directory.version,
        software=endpoint.version,
    )


def origin_found(
    call: ForwardCall, origin: StreamOrigin, source: str, waited_ms: float
) -> None:
    """Log and count a resumed stream of which is known where it began."""
    metrics.count_resumed(origin.service, source)
    log_event(
        events.STREAM_ORIGIN_FOUND,
        request=call.log_id,
        resumes=call.description.resumes,
        service=origin.service,
        software=origin.version,
        source=source,
        waited_ms=waited_ms,
    )


def finished(
    call: ForwardCall,
    endpoint: Endpoint,
    stream: AnswerStream,
    first_ms: float,
    result: RelayResult,
    now_ms: float,
) -> None:
    """Log and count a complete answer to the caller."""
    metrics.count_send(call.service, "answered")
    log_event(
        events.FORWARD_FINISHED,
        request=call.log_id,
        endpoint=endpoint.endpoint_id,
        status=stream.status,
        first_ms=first_ms,
        total_ms=now_ms - call.accepted_ms,
        pieces=result.chunks,
        gap_ms=result.gap_ms,
        bytes=result.bytes,
        framing=stream.framing,
        unsent_bytes=result.unsent_bytes,
    )


def answer_not_own(
    call: ForwardCall, endpoint: Endpoint, attribution: Attribution, answered_id: str
) -> None:
    """Log and count an answer that names another request than it came for, or none."""
    metrics.count_answer_not_own(call.service, attribution.value)
    log_event(
        events.ANSWER_NOT_OWN,
        request=call.log_id,
        endpoint=endpoint.endpoint_id,
        attribution=attribution,
        named=answered_id,
    )


def error(request_id: str, raised: Exception) -> None:
    """Log an unhandled error that ended a request."""
    log_event(events.FORWARD_ERROR, request=request_id, error=repr(raised))


def relayed(state: CallState, peer_id: str, left_ms: int) -> None:
    """Log that a request is relayed to another VM."""
    log_event(
        events.FORWARD_RELAYED,
        request=state.call.log_id,
        peer=peer_id,
        sends=state.sends,
        left_ms=left_ms,
    )


def relay_ended(
    state: CallState,
    peer_id: str,
    status: int,
    now_ms: float,
    result: RelayResult | None = None,
    detail: str = "",
) -> None:
    """Log and count the end of a relay to another VM.

    Args:
        state: State of the request.
        peer_id: The VM.
        status: Status of its answer, 0 if there was none.
        now_ms: Current time.
        result: What was relayed of the answer, None if nothing was.
        detail: Why the answer is not complete, empty if it is.
    """
    metrics.count_send(state.call.service, "unrelayed" if detail else "relayed")
    log_event(
        events.FORWARD_RELAY_ENDED,
        request=state.call.log_id,
        peer=peer_id,
        status=status,
        total_ms=now_ms - state.call.accepted_ms,
        pieces=result.chunks if result else 0,
        bytes=result.bytes if result else 0,
        detail=detail,
    )


def failed(state: CallState, reason: Reason, detail: str) -> None:
    """Log and count a send that ended without a complete answer."""
    metrics.count_send(state.call.service, reason.value)
    log_event(
        events.FORWARD_FAILED,
        request=state.call.log_id,
        endpoint=state.endpoint_id,
        send=state.sends,
        reason=reason,
        may_have_run=state.may_have_run,
        answer_begun=state.answer_begun,
        detail=detail,
    )


def retried(state: CallState, refusal: Refusal, balance: float) -> None:
    """Log that a request is retried at another endpoint."""
    log_event(
        events.FORWARD_RETRIED,
        request=state.call.log_id,
        send=state.sends,
        reason=refusal.reason,
        budget=balance,
    )


def refused(state: CallState, refusal: Refusal, status: int, held_ms: float) -> None:
    """Log and count a request that the gateway refused, or whose answer it aborted."""
    call = state.call
    _count_end(call, refusal.outcome.value, refusal.reason.value)
    log_event(
        events.FORWARD_REFUSED,
        request=call.log_id,
        route=call.route.name,
        service=call.service,
        outcome=refusal.outcome,
        reason=refusal.reason,
        status=status,
        held_ms=held_ms,
        retry_after_ms=refusal.retry_after_ms,
        sends=state.sends,
        endpoint=state.endpoint_id,
        detail=refusal.detail,
    )


def abandoned(state: CallState, now_ms: float) -> None:
    """Log and count a request that was cancelled as its caller disconnected."""
    call = state.call
    _count_end(call, Outcome.UNKNOWN.value, Reason.CALLER_GONE.value)
    log_event(
        events.FORWARD_ABANDONED,
        request=call.log_id,
        endpoint=state.endpoint_id,
        sends=state.sends,
        answer_begun=state.answer_begun,
        held_ms=now_ms - call.accepted_ms,
    )


def _count_end(call: ForwardCall, outcome: str, reason: str) -> None:
    metrics.count_end(call.route.name, call.service, call.rank, outcome, reason)
