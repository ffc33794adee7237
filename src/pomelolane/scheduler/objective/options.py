"""Constants of the objective policy, each with its unit and its source."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ObjectiveOptions:
    """How the policy predicts, waits and suspects.

    Attributes:
        prefill_per_ms: Prompt tokens an engine of speed 1 reads in a
            millisecond; the users' sheets say 55.
        first_token_ms: Time to a first token beside the prompt's; the calm
            days show 20 to 30 ms on the fastest engines.
        token_ms: Time of one answer token of speed 1; a step takes 2.89 ms
            and a little more for each running request (users' sheets).
        plain_ms: Work time of a plain call of speed 1 (users' sheets).
        prefill_chunk_tokens: Prompt tokens read between two tokens of the
            streams that run beside (a common size of engines' chunks).
        tokens_per_event: Expected answer tokens in one event of a stream, before
            any answer was seen.
        gap_share: Part of the allowed pause between events that a prompt may
            take from the streams that run beside it.
        speed_step: Weight of one observation in a learnt speed.
        suspect_ms: Silence beyond the prediction after which an endpoint gets
            nothing more; three predictions are added.
        suspend_ms: Pause of an endpoint after failures, doubled each time.
        suspend_limit_ms: Longest such pause; about the time after which the
            registry drops a silent endpoint.
        refused_pause_ms: Pause of an endpoint that refused as full.
        late_free_share: Part of all slots kept free of late work.
        wait_factor: How much longer than predicted a wait is taken to be.
        late_share: Part of the time between objective and deadline for which a
            late request goes on waiting; callers give up before half of it.
        patience_share: Part of the time for which callers bear silence that a
            request waits at most: what is left must be enough for a first answer
            byte on a slow endpoint, and a refusal while the caller is there lets it
            come back.
        early_share: Part of the objective within which a refusal still costs
            the caller nothing.
        demand_ms: How long what was granted to a rank is remembered: bursts of
            arrivals are over in seconds, and a slot is held for about one.
        length_factor: How much longer than hinted an answer may be and still
            end in time: hints are right at the median only.
        min_retry_ms: Shortest time to come back that is told.
        max_retry_ms: Longest one; callers have seconds.
        far_ms: How much sooner an answer must begin in another data centre than in
            the caller's own; a message takes about 1.5 ms more each way, and the
            bytes between data centres are paid for.
        margin_ms: What an answer takes on its ways between caller, gateway, scheduler
            and endpoint, beside what is predicted of the endpoint: some five ways of
            1 to 3 ms. A full service is granted what is predicted to be just on time,
            and much of that would be just late.
        spread_factor: How many times the mean error of predictions an answer must be
            predicted before it is due: calls of unlike length are predicted in the
            mean only, and a full service would answer many just too late.
        fail_step: Weight of one answer in the learnt share of failures.
        fail_weight: How much a share of failures lengthens a prediction.
    """

    prefill_per_ms: float = 55.0
    first_token_ms: float = 25.0
    token_ms: float = 3.6
    plain_ms: float = 45.0
    prefill_chunk_tokens: int = 2048
    tokens_per_event: int = 6
    gap_share: float = 0.8
    speed_step: float = 0.25
    suspect_ms: float = 250.0
    suspend_ms: float = 400.0
    suspend_limit_ms: float = 3_600.0
    refused_pause_ms: float = 60.0
    late_free_share: float = 0.1
    wait_factor: float = 1.0
    late_share: float = 0.25
    patience_share: float = 0.7
    early_share: float = 0.25
    demand_ms: float = 3_000.0
    length_factor: float = 2.0
    min_retry_ms: int = 100
    max_retry_ms: int = 5_000
    far_ms: float = 20.0
    margin_ms: float = 10.0
    spread_factor: float = 1.5
    fail_step: float = 0.1
    fail_weight: float = 6.0
