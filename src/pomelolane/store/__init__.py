"""The platform's table, object store, VM list and weight store.

Also what the system builds on them: claims, leases and load orders.
"""

from pomelolane.store.claims import (
    TableClaims,
    claim_key,
    decode_claim,
    job_reservation,
    make_claims,
    reserved_job,
)
from pomelolane.store.committer import Committer, GroupCommitter
from pomelolane.store.connect import (
    EMBEDDED,
    Platform,
    make_embedded_platform,
    platform_from_url,
)
from pomelolane.store.embedded import (
    EmbeddedObjectStore,
    EmbeddedTable,
    EmbeddedVmList,
    EmbeddedWeightStore,
)
from pomelolane.store.gather import (
    GatheringCommitter,
    GatherSettings,
    make_gathering_committer,
)
from pomelolane.store.health import PlatformHealth
from pomelolane.store.keeper import ModelKeeper
from pomelolane.store.leases import Lease, Leases, make_leases
from pomelolane.store.orders import (
    Demand,
    ModelOrders,
    OrderResult,
    endpoint_to_load,
    make_model_orders,
)
from pomelolane.store.retention import ClaimSweeper
from pomelolane.store.weights import PacedPulls, WeightStore

__all__ = [
    "EMBEDDED",
    "ClaimSweeper",
    "Committer",
    "Demand",
    "EmbeddedObjectStore",
    "EmbeddedTable",
    "EmbeddedVmList",
    "EmbeddedWeightStore",
    "GatherSettings",
    "GatheringCommitter",
    "GroupCommitter",
    "Lease",
    "Leases",
    "ModelKeeper",
    "ModelOrders",
    "OrderResult",
    "PacedPulls",
    "Platform",
    "PlatformHealth",
    "TableClaims",
    "WeightStore",
    "claim_key",
    "decode_claim",
    "endpoint_to_load",
    "job_reservation",
    "make_claims",
    "make_embedded_platform",
    "make_gathering_committer",
    "make_leases",
    "make_model_orders",
    "platform_from_url",
    "reserved_job",
]
