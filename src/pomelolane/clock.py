"""Clocks: the process's monotonic one, and one that tests move by hand.

Nothing in the package reads the time in any other way.
"""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from pomelolane.ports import Clock

LONGEST_GAP_MS = 1000.0
"""Time between two readings above which a process counts as paused."""


_CLOCK = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)
"""The monotonic clock of Linux stands still while a VM is suspended, and the rest of
the world does not: a lease, a deadline or a silence that was measured with it would
seem seconds younger than it is."""


class MonotonicClock:
    """The operating system's monotonic clock, time of suspension included."""

    def now_ms(self) -> float:
        """Return milliseconds since an arbitrary origin."""
        return time.clock_gettime(_CLOCK) * 1000.0


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


class SteadyClock:
    """A clock that stands still while its process does.

    Whoever judges others by their silence must not count the time in which it
    could not listen. It has to be read often: a longer time between two readings
    than ``longest_gap_ms`` counts as a pause of the process.

    Args:
        clock: The clock that goes on.
        on_pause: Called at the first reading after a pause, before it returns.
        longest_gap_ms: Longest time between two readings of a running process.
    """

    def __init__(
        self,
        clock: Clock,
        on_pause: Callable[[], None],
        longest_gap_ms: float = LONGEST_GAP_MS,
    ) -> None:
        self._clock = clock
        self._on_pause = on_pause
        self._longest_gap_ms = longest_gap_ms
        self._last_ms = clock.now_ms()
        self._paused_ms = 0.0

    @property
    def paused_ms(self) -> float:
        """Sum of all pauses that were noticed."""
        return self._paused_ms

    def now_ms(self) -> float:
        """Return milliseconds of the time in which the process ran."""
        now_ms = self._clock.now_ms()
        gap_ms = now_ms - self._last_ms
        self._last_ms = now_ms
        if gap_ms > self._longest_gap_ms:
            self._paused_ms += gap_ms
            self._on_pause()
        return now_ms - self._paused_ms
