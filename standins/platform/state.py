"""The platform stand-in's state: what it stores, its limits and its faults.

The HTTP interfaces read and change it; it knows no sockets.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import msgspec

from standins.platform.limits import RateLimit
from standins.platform.listing import LaggingList
from standins.platform.table import StoredTable

if TYPE_CHECKING:
    from collections.abc import Sequence

    from standins.platform.options import PlatformOptions
    from standins.platform.table import RowWrite

PREFIX_SEGMENTS = 2


class Faults(msgspec.Struct):
    """Faults in force, as the control port sets them.

    Attributes:
        outage: Every call is answered 503.
        refuse_writes: Every write is answered 503.
        delay_ms: Each call takes so much longer.
        lose_replies: So many commits to come take effect without a reply.
    """

    outage: bool = False
    refuse_writes: bool = False
    delay_ms: float = 0.0
    lose_replies: int = 0


@dataclass(slots=True)
class Counters:
    """What was done since the last reset.

    Attributes:
        writes: Commits and object writes that took effect.
        reads: Reads answered.
        limited: Calls answered 429.
        commits_by_prefix: Commits that touched a key prefix.
    """

    writes: int = 0
    reads: int = 0
    limited: int = 0
    commits_by_prefix: Counter[str] = field(default_factory=Counter)

    def count_commit(self, writes: Sequence[RowWrite]) -> None:
        """Count one commit, once for each prefix that it touches."""
        self.writes += 1
        self.commits_by_prefix.update({_prefix(write.key) for write in writes})


class PlatformState:
    """All that one platform stand-in holds."""

    def __init__(self, options: PlatformOptions, now_ms: float) -> None:
        self._options = options
        self.table = StoredTable()
        self.objects: dict[str, bytes] = {}
        self.vms = LaggingList(options.list_lag_ms)
        self.reset(now_ms)

    def reset(self, now_ms: float) -> None:
        """Empty the stores, end the faults and count from nothing; VMs stay."""
        options = self._options
        self.table.clear()
        self.objects.clear()
        self.faults = Faults()
        self.counters = Counters()
        self.write_limit = RateLimit(options.writes_per_s, now_ms)
        self.read_limit = RateLimit(options.reads_per_s, now_ms)
        self.weight_limit = RateLimit(options.weight_bytes_per_s, now_ms)


def _prefix(key: str) -> str:
    """Name the group of a row: all but its last part, two parts at most."""
    parts = key.split("/")
    return "/".join(parts[: min(PREFIX_SEGMENTS, max(1, len(parts) - 1))])


__all__ = ["Counters", "Faults", "PlatformState"]
