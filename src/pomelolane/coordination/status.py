"""What a VM tells operators about its part in scheduling.

The figures are read when asked for; nothing is counted for them alone.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from pomelolane.coordination.timings import LOCAL

if TYPE_CHECKING:
    from pomelolane.coordination.link import Link
    from pomelolane.coordination.service_queue import ServiceQueue
    from pomelolane.messages import NamedLimit


@dataclass(frozen=True, slots=True)
class ServiceQueueStatus:
    """A service's queue as its scheduler sees it.

    Attributes:
        service: The service.
        settling: Whether grants are held back until gateways registered.
        followers: VMs that follow this one.
        waiting_by_tier: Waiting requests by tier rank.
        running_by_endpoint: Granted requests by endpoint.
        core: What the core tells of itself, such as endpoint speeds.
    """

    service: str
    settling: bool
    followers: tuple[str, ...]
    waiting_by_tier: dict[int, int]
    running_by_endpoint: dict[str, int]
    core: Any = None


@dataclass(frozen=True, slots=True)
class LinkStatus:
    """Whom this VM's gateway follows for a service.

    Attributes:
        service: The service.
        scheduler: VM followed, empty while the gateway is alone.
        epoch: Number of the choice.
        waiting: Own requests that wait.
        running: Own requests that run.
        limits: Rates that endpoints in need have asked for.
    """

    service: str
    scheduler: str
    epoch: int
    waiting: int
    running: int
    limits: tuple[NamedLimit, ...]


@dataclass(frozen=True, slots=True)
class CoordinationStatus:
    """All of a VM's links and desks.

    Attributes:
        links: By service, of this VM's gateway.
        roles: Services that this VM schedules.
        desks: Their queues, and private ones while alone.
        suspects: VMs passed over because they are silent.
    """

    links: tuple[LinkStatus, ...]
    roles: tuple[str, ...]
    service_queues: tuple[ServiceQueueStatus, ...]
    suspects: tuple[str, ...]


def service_queue_status(service_queue: ServiceQueue) -> ServiceQueueStatus:
    """Return the status of a desk."""
    entries = service_queue.request_table.entries.values()
    waiting = Counter(e.handle.tier_rank for e in entries if not e.endpoint_id)
    running = Counter(e.endpoint_id for e in entries if e.endpoint_id)
    read_core = getattr(service_queue.core, "status", None)
    return ServiceQueueStatus(
        service=service_queue.service,
        settling=service_queue.is_settling,
        followers=tuple(sorted(service_queue.followers())),
        waiting_by_tier=dict(sorted(waiting.items())),
        running_by_endpoint=dict(sorted(running.items())),
        core=read_core() if callable(read_core) else None,
    )


def link_status(link: Link, now_ms: float) -> LinkStatus:
    """Return the status of a link."""
    return LinkStatus(
        service=link.service,
        scheduler="" if link.scheduler == LOCAL else link.scheduler,
        epoch=link.epoch,
        waiting=len(link.waiting),
        running=len(link.running),
        limits=link.limits.current(now_ms),
    )
