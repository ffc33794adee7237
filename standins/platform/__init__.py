"""The platform stand-in: table, objects, weights and a lagging list of VMs.

Everything is in memory and is lost with the process.
"""

from standins.platform.limits import RateLimit
from standins.platform.listing import LaggingList, ListedMachine
from standins.platform.options import PlatformOptions
from standins.platform.running import PlatformStandin, start_platform
from standins.platform.table import RowResult, RowWrite, StoredRow, StoredTable

__all__ = [
    "LaggingList",
    "ListedMachine",
    "PlatformOptions",
    "PlatformStandin",
    "RateLimit",
    "RowResult",
    "RowWrite",
    "StoredRow",
    "StoredTable",
    "start_platform",
]
