"""Options of the default scheduling core.

Each rule that measurements justify has a switch, so that its benefit can be
measured again with the rule disabled.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class CoreOptions:
    """Enabled rules of a core and their constants.

    Attributes:
        fair_shares: Share a tier between teams and organisations by weight;
            otherwise order it by deadline alone.
        reserve: Reserve slots for bursts of higher tiers.
        affinity: Prefer endpoints that cache a prefix of the prompt.
        stragglers: Stop ordinary grants to endpoints that have become slow.
        refuse_unreachable: Refuse requests that cannot meet their deadline.
        predict_wait: Refuse on arrival requests whose predicted wait makes the
            deadline unreachable.
        wait_for_better: Let a request wait for a busy endpoint that would
            finish it sooner than any free one.
        wait_for_prefix: Let a request wait for a busy endpoint that caches a
            prefix of its prompt.
        bound_prefill: Keep prompts queued here while an engine's prefill is busy.
        learn_speeds: Use observed speeds; otherwise the declared ones.
        sure_first: Grant a slot to a request without time for a long answer only
            if no request of its tier has that time.
        learn_lengths: Use observed answer lengths; otherwise the declared ones.
        prefill_lookahead_ms: Largest prefill backlog with which an engine may
            still be granted a request.
        safety_factor: Factor on predicted service times in deadline checks.
        chance_factor: The same for requests without time for a long answer.
        prefix_weight: Weight of the prefill time of uncached prompt tokens in the
            placement score.
        predict_wait_margin: A request is refused on arrival if its predicted wait
            exceeds its slack by this factor.
        reserve_window_ms: Half-life of the arrival rate that measures a burst.
        reserve_memory_ms: Half-life of the highest recent arrival rate.
        reserve_limit: Largest share of slots that may be reserved.
        default_slot_share: Share of each endpoint's slots used at the start.
    """

    fair_shares: bool = True
    reserve: bool = True
    affinity: bool = True
    stragglers: bool = True
    refuse_unreachable: bool = True
    predict_wait: bool = True
    wait_for_better: bool = False
    wait_for_prefix: bool = True
    bound_prefill: bool = True
    learn_speeds: bool = True
    sure_first: bool = True
    learn_lengths: bool = True
    prefill_lookahead_ms: float = 50.0
    safety_factor: float = 1.1
    chance_factor: float = 1.5
    prefix_weight: float = 30.0
    predict_wait_margin: float = 2.0
    reserve_window_ms: float = 1_000.0
    reserve_memory_ms: float = 60_000.0
    reserve_limit: float = 0.5
    default_slot_share: float = 1.0
