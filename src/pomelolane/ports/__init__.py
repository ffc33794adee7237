"""The protocols at which the parts of the system meet.

Each part depends on these types and never on another part's classes.
"""

from pomelolane.ports.claims import ClaimRecord, Claims
from pomelolane.ports.clock import Clock
from pomelolane.ports.endpoints import EndpointAdapter, UpstreamRequest, UpstreamStream
from pomelolane.ports.membership import Membership, Peer, Transport, View
from pomelolane.ports.platform import (
    ListedVm,
    ObjectStore,
    Row,
    Table,
    VmList,
    Write,
    WriteResult,
)
from pomelolane.ports.scheduling import (
    LIMIT_KEPT_MS,
    CacheEvent,
    Decision,
    Grant,
    LoadReport,
    SchedulerClient,
    SchedulingCore,
    VersionTrial,
)

__all__ = [
    "LIMIT_KEPT_MS",
    "CacheEvent",
    "ClaimRecord",
    "Claims",
    "Clock",
    "Decision",
    "EndpointAdapter",
    "Grant",
    "ListedVm",
    "LoadReport",
    "Membership",
    "ObjectStore",
    "Peer",
    "Row",
    "SchedulerClient",
    "SchedulingCore",
    "Table",
    "Transport",
    "UpstreamRequest",
    "UpstreamStream",
    "VersionTrial",
    "View",
    "VmList",
    "Write",
    "WriteResult",
]
