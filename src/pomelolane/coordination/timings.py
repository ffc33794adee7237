"""Times and sizes that bound how gateways and schedulers meet.

The defaults suit data centres about a millisecond apart.
"""

from __future__ import annotations

from dataclasses import dataclass

LOCAL = ""
"""In place of a scheduler's VM id: the gateway's own private desk."""


@dataclass(frozen=True, slots=True)
class Timings:
    """How long each side waits for the other.

    Attributes:
        client_tick_ms: Period in which a gateway checks deadlines.
        calm_tick_ms: The same while nothing waits there and it schedules nothing: a
            third of the time that questions may stay unanswered. Most VMs of a fleet
            are idle like that, and each tick costs processor time.
        role_tick_ms: Period in which a scheduler drives its cores.
        reply_ms: A question unanswered for this long is asked again.
        reply_attempts: Questions unanswered after which a VM is suspected.
        patience_ms: Longest silence after which a VM is suspected, also after false
            alarms. Gateways that differ by more than a new scheduler holds lower
            tiers (``settle_lower_ms``) would let those pass higher ones.
        suspect_ms: How long a silent VM is left out, unless it is heard.
        retry_ms: Pause after a VM said that it is not the scheduler.
        waiting_sync_ms: Period of syncs while requests wait.
        running_sync_ms: Period of syncs while requests only run.
        whole_every: Each how many syncs long lists are sent.
        progress_ms: Longest time for which token progress is gathered.
        fallback_ms: Without a scheduler for this long a gateway goes alone.
        settle_ms: Longest wait of a new scheduler for its gateways.
        settle_lower_ms: How much longer it holds all but the highest tier.
        linger_ms: How long a former scheduler serves those that follow it.
        follower_silence_ms: A silent gateway is taken as gone after this.
        orphan_grace_ms: Least time for which a lost gateway's slot is held.
        orphan_limit_ms: Longest such time.
        default_retry_after_ms: Used before a scheduler has named another.
    """

    client_tick_ms: float = 25.0
    idle_tick_ms: float = 100.0
    role_tick_ms: float = 50.0
    reply_ms: float = 300.0
    reply_attempts: int = 2
    max_silence_ms: float = 1200.0
    suspect_ms: float = 5000.0
    retry_ms: float = 100.0
    waiting_sync_ms: float = 300.0
    running_sync_ms: float = 1000.0
    full_sync_every: int = 4
    progress_ms: float = 250.0
    fallback_ms: float = 1500.0
    settle_ms: float = 300.0
    settle_lower_ms: float = 1700.0
    linger_ms: float = 2000.0
    follower_silence_ms: float = 5000.0
    orphan_grace_ms: float = 500.0
    orphan_limit_ms: float = 30000.0
    default_retry_after_ms: int = 1000
