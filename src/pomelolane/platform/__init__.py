"""The platform's table, object store, VM list and weight store.

Also what the system builds on them: claims, leases and load orders.
"""

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
from pomelolane.platform.weights import PacedPulls, WeightStore

__all__ = [
    "EMBEDDED",
    "EmbeddedObjectStore",
    "EmbeddedTable",
    "EmbeddedVmList",
    "EmbeddedWeightStore",
    "PacedPulls",
    "Platform",
    "PlatformHealth",
    "WeightStore",
    "make_embedded_platform",
    "platform_from_url",
]
