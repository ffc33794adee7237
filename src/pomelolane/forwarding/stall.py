"""Detects streams that have stalled."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from pomelolane.ports import Clock

RECHECK_MS = 250.0
"""Interval for trying again to abandon a stalled stream; a used-up retry budget
refills within seconds."""


class StallWatch:
    """Abandons a stream when a read takes too long.

    It uses one timer per stream instead of a timeout per read, to keep reads cheap.

    Args:
        max_silence_ms: Silence after which the stream is abandoned.
        abandon: Abandons the stream; returns False if it must not be abandoned.
        clock: Source of the current time.

    Attributes:
        has_abandoned: Whether the stream was abandoned.
    """

    def __init__(
        self, max_silence_ms: float, abandon: Callable[[], bool], clock: Clock
    ) -> None:
        self._max_silence_ms = max_silence_ms
        self._abandon = abandon
        self._clock = clock
        self._reading_since_ms: float | None = None
        self.has_abandoned = False
        self._timer = self._schedule_check(max_silence_ms)

    def begin_read(self) -> None:
        """Record that a read has begun."""
        self._reading_since_ms = self._clock.now_ms()

    def end_read(self) -> None:
        """Record that the read has returned."""
        self._reading_since_ms = None

    def stop(self) -> None:
        """Stop watching."""
        self._timer.cancel()

    def _schedule_check(self, ms: float) -> asyncio.TimerHandle:
        return asyncio.get_running_loop().call_later(ms / 1000, self._check)

    def _check(self) -> None:
        since_ms = self._reading_since_ms
        silent_ms = 0.0 if since_ms is None else self._clock.now_ms() - since_ms
        if silent_ms < self._max_silence_ms:
            self._timer = self._schedule_check(self._max_silence_ms - silent_ms)
        elif self._abandon():
            self.has_abandoned = True
        else:
            self._timer = self._schedule_check(RECHECK_MS)
