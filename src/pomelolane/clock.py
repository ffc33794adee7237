"""Clocks: the process's monotonic one, and one that tests move by hand.

Nothing in the package reads the time in any other way.
"""

from __future__ import annotations

import time


class MonotonicClock:
    """The operating system's monotonic clock."""

    def now_ms(self) -> float:
        """Return milliseconds since an arbitrary origin."""
        return time.monotonic() * 1000.0


class WallClock:
    """Time of day, for retention and deadlines kept in the table.

    Two VMs' clocks may differ, so no lease or other safety rests on it.
    """

    def now_ms(self) -> float:
        """Return milliseconds since the epoch."""
        return time.time() * 1000.0


class ManualClock:
    """A clock that moves only when told to.

    Args:
        start_ms: First reading.
    """

    def __init__(self, start_ms: float = 0.0) -> None:
        self._now_ms = start_ms

    def now_ms(self) -> float:
        """Return the current reading."""
        return self._now_ms

    def advance(self, by_ms: float) -> None:
        """Move forward by ``by_ms``."""
        self._now_ms += by_ms
