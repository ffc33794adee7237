"""The platform's table, object store, VM list and weight store.

Also what the system builds on them: claims, leases and load orders.
"""

from pomelolane.platform.claims import (
    TableClaims,
    claim_key,
    decode_claim,
    job_reservation,
    make_claims,
    reserved_job,
)
from pomelolane.platform.committer import Committer, GroupCommitter
from pomelolane.platform.connect import (
    EMBEDDED,
    Platform,
    make_embedded_platform,
    platform_from_url,
)
from pomelolane.platform.embedded import (
    EmbeddedObjectStore,
    EmbeddedTable,
    EmbeddedVmList,
    EmbeddedWeightStore,
)
from pomelolane.platform.health import PlatformHealth
from pomelolane.platform.retention import ClaimSweeper
from pomelolane.platform.weights import PacedPulls, WeightStore

__all__ = [
    "EMBEDDED",
    "ClaimSweeper",
    "Committer",
    "EmbeddedObjectStore",
    "EmbeddedTable",
    "EmbeddedVmList",
    "EmbeddedWeightStore",
    "GroupCommitter",
    "PacedPulls",
    "Platform",
    "PlatformHealth",
    "TableClaims",
    "WeightStore",
    "claim_key",
    "decode_claim",
    "job_reservation",
    "make_claims",
    "make_embedded_platform",
    "platform_from_url",
    "reserved_job",
]
