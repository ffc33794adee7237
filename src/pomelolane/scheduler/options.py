"""Switches and constants of the decision core.

Each rule that a measurement speaks for has a switch here, so that its worth can
be measured again by turning it off.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class CoreOptions:
    """What a decision core does, and how strongly.

    Attributes:
        fair_shares: Share a tier between teams and organisations by weight;
            otherwise by deadline alone.
        reserve: Keep room for bursts of higher tiers.
        affinity: Prefer endpoints that hold a prefix of the prompt.
        stragglers: Take grants from endpoints that have become slow.
        refuse_unreachable: Refuse work that cannot meet its deadline.
        predict_wait: Refuse at once what the queue ahead makes unreachable.
        wait_for_better: Let a request wait for a busy endpoint that would
            finish it sooner than any free one.
        wait_for_prefix: Let a request wait for a busy endpoint that holds a
            prefix of its prompt.
        bound_prefill: Keep prompts queued here while an engine's prefill is busy.
        learn_speeds: Use observed speeds; otherwise the declared ones.
        sure_first: Give a slot to a request without time for a long answer only
            where none that has it waits in its tier.
        learn_lengths: Use observed answer lengths; otherwise the expected ones.
        prefill_lookahead_ms: Prefill work that an engine may have ahead and
            still take a grant.
        safety_factor: Margin on predicted service times against deadlines.
        chance_factor: The same for requests without time for a long answer.
        prefix_weight: Worth of not processing a prompt again, as a multiple of
            the time that it would take.
        predict_wait_margin: How many times the predicted wait must rule the
            deadline out before a request is refused on arrival.
        reserve_window_ms: Time over which arrivals are counted as one burst.
        reserve_memory_ms: Time after which a burst counts half.
        reserve_limit: Largest share of slots kept.
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
