"""Status of a VM's scheduling for operators.

Values are read on demand; no counters are kept for the status alone.
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
    from pomelolane.scheduler.objective.reserved_slots import ReservationFigures
    from pomelolane.scheduler.objective.shares import RankShares
    from pomelolane.scheduler.pacing import PacedLimit


@dataclass(frozen=True, slots=True)
class ServiceQueueStatus:
    """Status of a service queue.

    Attributes:
        service: Name of the service.
        settling: Whether grants are held until all gateways have registered.
        followers: VMs whose gateways follow this queue.
        waiting_by_tier: Number of waiting requests by tier rank.
        running_by_endpoint: Number of granted requests by endpoint.
        core: Status of the core, such as endpoint speeds, None if it has none.
        paced: Level and waiting requests of the organisations whose limits are paced.
        reservations: Number of reserved retries, None if the core makes none.
        shares: Organisations' shares of the slots in the contended ranks.
        adopted_estimates: Number of endpoints whose estimate was adopted from another
            scheduler, by source (a VM or the store), None if the core adopts none.
    """

    service: str
    settling: bool
    followers: tuple[str, ...]
    waiting_by_tier: dict[int, int]
    running_by_endpoint: dict[str, int]
    core: Any = None
    paced: tuple[PacedLimit, ...] = ()
    reservations: ReservationFigures | None = None
    shares: tuple[RankShares, ...] = ()
    adopted_estimates: dict[str, int] | None = None


@dataclass(frozen=True, slots=True)
class LinkStatus:
    """Status of this VM's gateway for one service.

    Attributes:
        service: Name of the service.
        scheduler: VM that is followed, empty while the local queue is used.
        epoch: Number of the current choice of scheduler.
        waiting: Number of this gateway's waiting requests.
        running: Number of this gateway's running requests.
        limits: Rate limits that endpoints have announced.
        reservations: Number of reservations of refusals that were relayed to callers.
    """

    service: str
    scheduler: str
    epoch: int
    waiting: int
    running: int
    limits: tuple[NamedLimit, ...]
    reservations: int = 0


@dataclass(frozen=True, slots=True)
class CoordinationStatus:
    """Status of all links and service queues of a VM.

    Attributes:
        links: Links of this VM's gateway, sorted by service.
        roles: Services that this VM schedules.
        service_queues: Queues of the scheduler role and local queues.
        suspects: VMs that are skipped because they are silent.
    """

    links: tuple[LinkStatus, ...]
    roles: tuple[str, ...]
    service_queues: tuple[ServiceQueueStatus, ...]
    suspects: tuple[str, ...]


def service_queue_status(service_queue: ServiceQueue) -> ServiceQueueStatus:
    """Return the status of a service queue."""
    entries = service_queue.request_table.entries.values()
    waiting = Counter(e.handle.tier_rank for e in entries if not e.endpoint_id)
    running = Counter(e.endpoint_id for e in entries if e.endpoint_id)
    read_core = getattr(service_queue.core, "status", None)
    read_paced = getattr(service_queue.core, "paced_limits", tuple)
    core = read_core() if callable(read_core) else None
    read_adopted = getattr(service_queue.core, "adopted_estimates", None)
    return ServiceQueueStatus(
        service=service_queue.service,
        settling=service_queue.is_settling,
        followers=tuple(sorted(service_queue.followers())),
        waiting_by_tier=dict(sorted(waiting.items())),
        running_by_endpoint=dict(sorted(running.items())),
        core=getattr(core, "endpoints", core),
        shares=getattr(core, "shares", ()),
        paced=read_paced(),
        reservations=service_queue.reservation_figures(),
        adopted_estimates=read_adopted() if callable(read_adopted) else None,
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
        reservations=len(link.reservations.current(now_ms)),
    )
