"""Builds the status report of this VM from what its parts know.

It is read when somebody asks; nothing is kept for it.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from pomelolane.model import ServiceKind
from pomelolane.report import (
    EndpointReport,
    PeerReport,
    RolesReport,
    StatusReport,
    VmReport,
)

if TYPE_CHECKING:
    from pomelolane.coordination import CoordinationStatus
    from pomelolane.model import Endpoint
    from pomelolane.parts import Parts

LEAVING = "leaving"
READY = "ready"
NO_TIER = "tier {rank}"


def build_report(parts: Parts) -> StatusReport:
    """Return the report of a VM."""
    status = parts.coordination.status()
    tree = parts.tree.value
    return StatusReport(
        vm=_vm_report(parts),
        peers=_peer_reports(parts),
        roles=RolesReport(
            delegate=parts.member.is_delegate,
            services={link.service: link.scheduler for link in status.links},
        ),
        endpoints=tuple(
            _endpoint_report(endpoint, parts, status)
            for endpoint in tree.endpoints.values()
        ),
        queues=_queues(parts, status),
        settings=dict(tree.versions),
        counters=_counters(parts),
    )


def _vm_report(parts: Parts) -> VmReport:
    options = parts.options
    return VmReport(
        id=options.vm_id,
        data_centre=options.data_centre,
        region=options.region,
        incarnation=parts.incarnation,
        ready=parts.is_ready(),
        draining=parts.gateway.draining,
        version=parts.version,
    )


def _peer_reports(parts: Parts) -> tuple[PeerReport, ...]:
    peers = parts.member.view().peers.values()
    return tuple(
        PeerReport(
            peer.vm_id,
            peer.data_centre,
            peer.incarnation,
            peer.address,
            peer.draining,
        )
        for peer in sorted(peers, key=lambda peer: peer.vm_id)
    )


def _endpoint_report(
    endpoint: Endpoint, parts: Parts, status: CoordinationStatus
) -> EndpointReport:
    """Report an endpoint; observed speeds are known to its scheduler only."""
    running = 0
    figures = None
    for service_queue in status.service_queues:
        running += service_queue.running_by_endpoint.get(endpoint.endpoint_id, 0)
        if service_queue.core is not None:
            figures = service_queue.core.get(endpoint.endpoint_id, figures)
    leaving = (
        endpoint.leaving or endpoint.endpoint_id in parts.member.leaving_endpoints()
    )
    service = parts.tree.value.services[endpoint.service]
    declares_speed = service.kind is ServiceKind.ENGINE
    prefill = endpoint.prefill_tokens_per_s if declares_speed else 0.0
    decode = endpoint.decode_tokens_per_s if declares_speed else 0.0
    if figures:
        prefill = figures.prefill_tokens_per_s
        decode = figures.decode_tokens_per_s
    return EndpointReport(
        id=endpoint.endpoint_id,
        service=endpoint.service,
        data_centre=endpoint.data_centre,
        state=LEAVING if leaving else READY,
        slots=endpoint.slots,
        in_flight=running,
        prefill_tokens_per_s=prefill,
        decode_tokens_per_s=decode,
        straggling=bool(figures and figures.straggling),
    )


def _queues(parts: Parts, status: CoordinationStatus) -> dict[str, dict[str, int]]:
    names = {tier.rank: tier.name for tier in parts.tree.value.tiers.values()}
    queues: dict[str, dict[str, int]] = {}
    for service_queue in status.service_queues:
        tiers = queues.setdefault(service_queue.service, {})
        for rank, waiting in service_queue.waiting_by_tier.items():
            name = names.get(rank, NO_TIER.format(rank=rank))
            tiers[name] = tiers.get(name, 0) + waiting
    return queues


def _counters(parts: Parts) -> dict[str, float]:
    transport = parts.member.transport
    return {
        "open_requests": float(len(parts.dispatcher.open_requests)),
        "running_jobs": float(parts.jobs.runner.running),
        "bytes_sent_to_vms": float(transport.bytes_sent),
        "frames_sent_to_vms": float(transport.frames_sent),
    }
