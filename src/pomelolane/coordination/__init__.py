"""Coordination of gateways and schedulers across VMs.

Gateways own the authoritative state of their requests. Schedulers are chosen by
rendezvous hashing, keep only soft state and can be replaced at any time.
"""

from pomelolane.coordination.chooser import Chooser
from pomelolane.coordination.client import GatewayClient
from pomelolane.coordination.coordination import (
    SHARED_POLICIES,
    Coordination,
    make_coordination,
)
from pomelolane.coordination.role import SchedulerRole
from pomelolane.coordination.scope import reachable_data_centres, scoped_tree
from pomelolane.coordination.service_queue import ServiceQueue
from pomelolane.coordination.status import (
    CoordinationStatus,
    LinkStatus,
    ServiceQueueStatus,
)
from pomelolane.coordination.timings import Timings

__all__ = [
    "SHARED_POLICIES",
    "Chooser",
    "Coordination",
    "CoordinationStatus",
    "GatewayClient",
    "LinkStatus",
    "SchedulerRole",
    "ServiceQueue",
    "ServiceQueueStatus",
    "Timings",
    "make_coordination",
    "reachable_data_centres",
    "scoped_tree",
]
