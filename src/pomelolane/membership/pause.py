"""Detects that this process did not run for a while (stopped, swapped, busy).

After a pause its view of the other VMs is stale, and messages buffered in its sockets
may be older than the time at which they are read.
"""

from __future__ import annotations

MIN_PAUSE_MS = 1000.0
BACKLOG_MS = 300.0
"""Time after a pause during which messages sent before its end may still be read."""


class PauseDetector:
    """Detects pauses by the time between ticks of the event loop.

    Args:
        now_ms: Time of the first tick.
    """

    def __init__(self, now_ms: float) -> None:
        self._last_tick_ms = now_ms
        self._resumed_ms: float | None = None

    def record_tick(self, now_ms: float) -> None:
        """Record a tick of the event loop."""
        self._last_tick_ms = now_ms

    def pause_ms(self, now_ms: float) -> float:
        """Return the length in ms of the pause that ends now, 0 for none."""
        pause_ms = now_ms - self._last_tick_ms
        return pause_ms if pause_ms > MIN_PAUSE_MS else 0.0

    def begin_recovery(self, now_ms: float) -> None:
        """Begin the recovery, during which the view counts as stale."""
        self._last_tick_ms = now_ms
        self._resumed_ms = now_ms

    def end_recovery(self) -> None:
        """End the recovery; the view is current again."""
        self._resumed_ms = None

    @property
    def resumed_ms(self) -> float | None:
        """End of the last pause during the recovery from it, None otherwise."""
        return self._resumed_ms

    def heard_ms(self, now_ms: float) -> float:
        """Return the time to record as last heard for the sender of a message.

        It applies to messages that are read now. Soon after a pause such a message may
        have been buffered since before its end. All VMs count as heard at the end of
        the pause, so that time is returned.
        """
        if self._resumed_ms is not None and now_ms - self._resumed_ms < BACKLOG_MS:
            return self._resumed_ms
        return now_ms
