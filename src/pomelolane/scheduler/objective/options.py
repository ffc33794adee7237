"""Tuning constants of the objective policy, with units and reasons."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ObjectiveOptions:
    """Constants for predicting response times, queueing and suspending endpoints.

    An endpoint of speed 1 takes as long as these constants say. The learnt slowdown of
    an endpoint is a factor on these times.

    Attributes:
        prefill_per_ms: Prompt tokens that an engine of speed 1 reads per millisecond
            (55 in the users' data sheets).
        first_token_ms: Time to the first token without reading the prompt; 20 to 30 ms
            under light load on the fastest engines.
        token_ms: Time per answer token at speed 1; a decode step takes 2.89 ms and a
            little more for each running request (users' data sheets).
        plain_ms: Duration of a plain call at speed 1 (users' data sheets).
        prefill_chunk_tokens: Prompt tokens read between two tokens of concurrent
            streams (a common chunk size of engines).
        tokens_per_event: Initial estimate of answer tokens per stream event.
        gap_share: Share of the allowed pause between events that reading a prompt may
            take up in concurrent streams.
        speed_step: Weight of one sample in the learnt speed.
        suspect_ms: Silence after which a request counts as silent, in addition to three
            times its predicted time to first byte.
        suspend_ms: Suspension of an endpoint after failures, doubled each time.
        suspend_limit_ms: Longest suspension; about the time after which the registry
            drops a silent endpoint.
        refused_pause_ms: Pause of an endpoint that refused a request as full, doubled
            with each consecutive failure to at most 32 times this value.
        late_free_share: Share of all slots kept free of late requests while
            others wait.
        wait_factor: Safety factor on predicted waits.
        late_share: Share of the time between objective and deadline for which a late
            request keeps waiting; callers give up before half of it.
        patience_share: Share of the time that a caller waits for a first byte for which
            a request may wait in the queue. The rest must be enough for a first answer
            byte on a slow endpoint. A refusal while the caller is still connected lets
            it retry.
        early_share: Share of the objective within which a refusal leaves the caller
            time to try elsewhere.
        demand_ms: Time constant of the demand per rank: bursts of arrivals last
            seconds, and a slot is held for about one second.
        length_factor: How many times longer than hinted an answer may be and still end
            before its deadline, as hints are right only at the median.
        min_retry_ms: Shortest retry delay in refusals.
        max_retry_ms: Longest retry delay in refusals; callers have only seconds.
        far_ms: How much sooner an answer must begin for an endpoint in another data
            centre to be preferred. A message takes about 1.5 ms more each way, and
            traffic between data centres is paid for.
        margin_ms: Time for messages between caller, gateway, scheduler and endpoint:
            about five hops of 1 to 3 ms. Under full load, requests predicted to be just
            on time are granted, and without the margin many of them would be late.
        spread_factor: Safety margin in multiples of the mean prediction error. Calls of
            varying duration are predicted by their mean, so that under full load many
            would be answered just too late without it.
        fail_step: Weight of one sample in the learnt share of failures.
        fail_weight: Penalty factor on predicted times per share of failed answers.
        reserved_share: Share of the slots that may be reserved for refused callers; the
            rest is for new requests.
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
    reserved_share: float = 0.5
