"""The settings file that the platform writes for each process."""

from __future__ import annotations

from dataclasses import dataclass, replace
from pathlib import Path

import msgspec

from pomelolane.forwarding import RetryAllowance
from pomelolane.http.connections import CallerBounds
from pomelolane.platform.documents import LimitWindow
from pomelolane.platform.errors import DocumentError
from pomelolane.rollouts import RolloutBounds

_MIB = 1024 * 1024

_CALLERS_PART_OF_DESCRIPTORS = 2
"""The other half is for connections to endpoints, other VMs and the store."""

_CALLERS_PART_OF_MEMORY = 4
"""The rest is for the program, answers, and copies of requests while they are sent."""


class _Listen(msgspec.Struct):
    front: str
    ready: str


class _Bounds(msgspec.Struct, rename="camel"):
    drain_ms: int = 2_000
    grace_s: float = 8.0
    config_apply_ms: int = 2_000
    retry_budget_ratio: float = 0.2
    budget_slack: float = 50.0
    budget_window_s: float = 10.0
    # "quota" is what the project calls an organisation's limit.
    quota_window_s: float = 8.0
    quota_overshoot: float = 0.0
    quota_slack: float = 0.0
    exposure_share: float = 0.1
    exposure_slack: float = 0.0


class _Limits(msgspec.Struct, rename="camel"):
    # Speed of one core as a part of a whole one.
    cpu_share: float = 1.0
    link_mbps: float = 1000.0
    # 0 where the platform sets no limit.
    memory_mb: float = 0
    max_fds: float = 0


class _Store(msgspec.Struct):
    address: str


class _File(msgspec.Struct, rename="camel"):
    node: str
    role: str
    ip: str
    # "zone" is what the project calls a data centre.
    zone: str
    region: str
    listen: _Listen
    port_range: tuple[int, int]
    platform: _Store
    # The other machines' control addresses; only their hosts are used, since
    # the project's own ports are the same on all machines.
    seeds: tuple[str, ...] = ()
    bounds: _Bounds = msgspec.field(default_factory=_Bounds)
    limits: _Limits = msgspec.field(default_factory=_Limits)


@dataclass(frozen=True, slots=True)
class NodeFile:
    """What a process learns of itself and its bounds.

    Attributes:
        vm_id: This VM.
        role: Role that it was started for.
        ip: Its address.
        data_centre: Where it stands.
        region: Region of the data centre.
        front: ``ip:port`` for callers.
        ready: ``ip:port`` for the balancer's readiness questions.
        peer_port: First port that is free for the VMs' own protocol.
        has_relay_port: Whether the port after it is free as well.
        store_address: ``ip:port`` of the metadata store.
        drain_ms: Time within which a leaving endpoint must get nothing more.
        grace_ms: Time between the stop signal and the end by force.
        apply_ms: Time within which a configuration must be in force.
        retries: Repeated sends allowed over all VMs.
        limit_window: How organisations' use is counted.
        rollouts: What a version that is not proved may get.
        core_share: Speed of the core that its loop runs on, 1 for a whole one.
        link_mbps: Rate of its network link.
        caller_bounds: Bounds on the connections of all callers together.
    """

    vm_id: str
    role: str
    ip: str
    data_centre: str
    region: str
    front: str
    ready: str
    peer_port: int
    has_relay_port: bool
    store_address: str
    drain_ms: int
    grace_ms: int
    apply_ms: int
    retries: RetryAllowance
    limit_window: LimitWindow
    rollouts: RolloutBounds
    core_share: float
    link_mbps: float
    caller_bounds: CallerBounds


def node_file_from_path(path: str) -> NodeFile:
    """Read the settings file.

    Raises:
        DocumentError: It is not there or cannot be read.
    """
    try:
        file = msgspec.json.decode(Path(path).read_bytes(), type=_File)
    except (OSError, msgspec.DecodeError) as error:
        raise DocumentError(f"{path}: {error}") from error
    bounds = file.bounds
    return NodeFile(
        vm_id=file.node,
        role=file.role,
        ip=file.ip,
        data_centre=file.zone,
        region=file.region,
        front=file.listen.front,
        ready=file.listen.ready,
        peer_port=file.port_range[0],
        has_relay_port=file.port_range[0] < file.port_range[1],
        store_address=file.platform.address,
        drain_ms=bounds.drain_ms,
        grace_ms=int(bounds.grace_s * 1000),
        apply_ms=bounds.config_apply_ms,
        retries=RetryAllowance(
            bounds.retry_budget_ratio,
            bounds.budget_slack,
            bounds.budget_window_s * 1000,
        ),
        limit_window=LimitWindow(
            int(bounds.quota_window_s * 1000),
            bounds.quota_overshoot,
            bounds.quota_slack,
        ),
        rollouts=RolloutBounds(bounds.exposure_share, bounds.exposure_slack),
        core_share=file.limits.cpu_share,
        link_mbps=file.limits.link_mbps,
        caller_bounds=_caller_bounds(file.limits),
    )


def _caller_bounds(limits: _Limits) -> CallerBounds:
    bounds = CallerBounds()
    if limits.max_fds > 0:
        most = int(limits.max_fds / _CALLERS_PART_OF_DESCRIPTORS)
        bounds = replace(bounds, max_connections=most)
    if limits.memory_mb > 0:
        most = int(limits.memory_mb * _MIB / _CALLERS_PART_OF_MEMORY)
        bounds = replace(bounds, max_held_bytes=most)
    return bounds
