"""Builds the scheduler's request handle of a forwarded request."""

from __future__ import annotations

from typing import TYPE_CHECKING

from pomelolane.messages import Handle

if TYPE_CHECKING:
    from pomelolane.forwarding.call import CallState

RESUME_MS = 150
"""Time within which a broken stream should resume. It is less than any objective that
the users specified, so that the stream is due before new requests of its rank."""

FINGERPRINT_DIGITS = 16
"""Digits of the fingerprint that a handle carries: 64 bits, so that equal ones do not
occur by chance among the few thousand requests that one scheduler recognises."""


def handle_from_state(state: CallState, data_centre: str, now_ms: float) -> Handle:
    """Return the handle with which a request asks for a slot.

    Args:
        state: State of the request.
        data_centre: Data centre of the gateway.
        now_ms: Current time.
    """
    call = state.call
    described = call.description
    remaining_ms = max(0, int(call.remaining_ms(now_ms)))
    objective_ms = min(call.route.objective_ms or call.limit_ms, call.limit_ms)
    late_window_ms = call.limit_ms - objective_ms
    patience_ms = call.route.patience_ms
    if patience_ms:
        silent_since_ms = state.last_sent_ms or call.accepted_ms
        patience_ms = max(1, int(patience_ms - (now_ms - silent_since_ms)))
    if state.answer_begun or call.resumes_stream:
        # The caller has a part of the answer, so the request precedes new ones of its
        # rank and is not refused early.
        objective_ms = 0
        late_window_ms = max(0, remaining_ms - RESUME_MS)
    return Handle(
        request_id=f"{call.local_id}.{state.grants + state.asks}",
        service=call.service,
        work=call.route.name,
        tier_rank=call.rank,
        organisation=call.organisation,
        team="",
        budget_ms=remaining_ms,
        prefill_tokens=described.prompt_tokens,
        decode_tokens=described.answer_hint_tokens or described.answer_limit_tokens,
        data_centre=data_centre,
        excluded=state.excluded,
        # A request that no endpoint has begun is charged to the limit like a new one.
        attempt=state.sends,
        objective_ms=objective_ms,
        late_window_ms=late_window_ms,
        gap_ms=call.route.gap_ms,
        charge_tokens=call.charge_tokens,
        patience_ms=patience_ms,
        fingerprint=call.fingerprint[:FINGERPRINT_DIGITS],
        version=None if state.origin is None else state.origin.version,
    )
