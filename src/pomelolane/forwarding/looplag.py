"""Measures how late the event loop runs what is due."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from pomelolane.ports import Clock

_SPAN_MS = 5_000.0
"""The largest lag is that of the last one to two of these spans."""


class EventLoopLag:
    """Largest delay of a periodic callback over the last seconds.

    Args:
        period_ms: Time between two calls of :meth:`record` on an idle event loop.
        clock: Source of the current time.
    """

    def __init__(self, period_ms: float, clock: Clock) -> None:
        self._period_ms = period_ms
        self._clock = clock
        self._due_ms = clock.now_ms() + period_ms
        self._span_began_ms = clock.now_ms()
        self._largest_ms = 0.0
        self._largest_before_ms = 0.0

    def record(self) -> None:
        """Record a call of the periodic callback."""
        now_ms = self._clock.now_ms()
        if now_ms - self._span_began_ms >= _SPAN_MS:
            self._span_began_ms = now_ms
            self._largest_before_ms, self._largest_ms = self._largest_ms, 0.0
        self._largest_ms = max(self._largest_ms, now_ms - self._due_ms)
        self._due_ms = now_ms + self._period_ms

    @property
    def largest_ms(self) -> float:
        """Largest lag of the last seconds, the one that may be under way included."""
        current_ms = self._clock.now_ms() - self._due_ms
        return max(self._largest_before_ms, self._largest_ms, current_ms)
