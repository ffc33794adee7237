"""Timeouts and periods of the protocol between gateways and schedulers.

The defaults suit data centres about one millisecond apart.
"""

from __future__ import annotations

from dataclasses import dataclass

LOCAL = ""
"""Used instead of a scheduler's VM id if the gateway uses its local queues."""


@dataclass(frozen=True, slots=True)
class Timings:
    """Timeouts and periods of gateways and schedulers.

    Attributes:
        client_tick_ms: Period in which a gateway checks deadlines.
        idle_tick_ms: The same while no request waits and this VM schedules nothing, a
            third of ``reply_ms``. Most VMs of a fleet are idle, and each tick costs
            CPU time.
        role_tick_ms: Period in which a scheduler ticks its cores.
        reply_ms: Reply timeout, after which a message is sent again.
        reply_attempts: Consecutive reply timeouts after which a VM is suspected.
        max_silence_ms: Longest silence before a VM is suspected, even after false
            alarms. If gateways switched schedulers further apart in time than a new
            scheduler holds lower tiers (``settle_lower_ms``), lower tiers could
            overtake higher ones.
        suspect_ms: How long a suspected VM is skipped, unless it sends a message.
        retry_ms: Delay after a VM replied that it is not the scheduler.
        waiting_sync_ms: Sync period while requests wait.
        running_sync_ms: Sync period while requests run and none waits.
        full_sync_every: Long lists of requests are sent in each n-th sync only.
        progress_ms: Longest time for which token progress is batched.
        fallback_ms: Time without a scheduler after which a gateway uses local queues.
        settle_ms: Longest time for which a new scheduler waits for its gateways.
        settle_lower_ms: Additional time for which it holds all tiers but the highest.
        linger_ms: How long a former scheduler still serves its followers.
        follower_silence_ms: Silence after which a gateway counts as lost.
        orphan_grace_ms: Shortest time for which a lost gateway's slot stays taken.
        orphan_limit_ms: Longest such time.
        default_retry_after_ms: Retry delay before a scheduler has named one.
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
