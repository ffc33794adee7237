"""Notices that this process did not run for a while (stopped, swapped, busy).

What it then believes of the others is old, and what waits in its sockets is
older than it looks.
"""

from __future__ import annotations

MIN_PAUSE_MS = 1000.0
BACKLOG_MS = 300.0
"""After a pause, time in which messages may still be from before it."""


class PauseDetector:
    """Compares the time between signs of life of the own loop.

    Args:
        now_ms: Time of the first sign.
    """

    def __init__(self, now_ms: float) -> None:
        self._last_tick_ms = now_ms
        self._resumed_ms: float | None = None

    def record_tick(self, now_ms: float) -> None:
        """Take note that the loop runs; call it at every tick."""
        self._last_tick_ms = now_ms

    def gap_ms(self, now_ms: float) -> float:
        """Return the length of the pause that ends now, 0 for none."""
        gap_ms = now_ms - self._last_tick_ms
        return gap_ms if gap_ms > MIN_PAUSE_MS else 0.0

    def begin_recovery(self, now_ms: float) -> None:
        """Begin a spell in which the view counts as stale."""
        self._last_tick_ms = now_ms
        self._resumed_ms = now_ms

    def end_recovery(self) -> None:
        """End the spell."""
        self._resumed_ms = None

    @property
    def resumed_ms(self) -> float | None:
        """When the last pause ended, while its effects last."""
        return self._resumed_ms

    def heard_ms(self, now_ms: float) -> float:
        """Return the time that a message read now proves its sender alive.

        Soon after a pause it may have waited in a buffer, so it proves nothing
        that the waking did not assume already.
        """
        if self._resumed_ms is not None and now_ms - self._resumed_ms < BACKLOG_MS:
            return self._resumed_ms
        return now_ms
