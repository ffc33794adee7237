"""Detects streams that have stalled."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine

    from pomelolane.ports import Clock


class StallWatch:
    """Abandons a stream that is silent, once it can go on elsewhere.

    It uses one timer per stream instead of a timeout per read, to keep reads cheap.

    Args:
        max_silence_ms: Silence after which a slot elsewhere is sought.
        seek: Returns once the stream can go on elsewhere. It is cancelled if the stream
            goes on by itself.
        cut: Ends the stream.
        clock: Source of the current time.

    Attributes:
        has_abandoned: Whether the stream was abandoned.
    """

    def __init__(
        self,
        max_silence_ms: float,
        seek: Callable[[], Coroutine[None, None, None]],
        cut: Callable[[], None],
        clock: Clock,
    ) -> None:
        self._max_silence_ms = max_silence_ms
        self._seek = seek
        self._cut = cut
        self._clock = clock
        self._reading_since_ms: float | None = None
        self._seeking: asyncio.Task[None] | None = None
        self.has_abandoned = False
        self._timer = self._schedule_check(max_silence_ms)

    def begin_read(self) -> None:
        """Record that a read has begun."""
        self._reading_since_ms = self._clock.now_ms()

    def end_read(self) -> None:
        """Record that the read has returned."""
        self._reading_since_ms = None
        if self._seeking is not None and not self.has_abandoned:
            self._seeking.cancel()
            self._seeking = None
            self._timer = self._schedule_check(self._max_silence_ms)

    def stop(self) -> None:
        """Stop watching."""
        self._timer.cancel()
        if self._seeking is not None:
            self._seeking.cancel()

    def _schedule_check(self, ms: float) -> asyncio.TimerHandle:
        return asyncio.get_running_loop().call_later(ms / 1000, self._check)

    def _check(self) -> None:
        since_ms = self._reading_since_ms
        silent_ms = 0.0 if since_ms is None else self._clock.now_ms() - since_ms
        if silent_ms < self._max_silence_ms:
            self._timer = self._schedule_check(self._max_silence_ms - silent_ms)
        else:
            self._seeking = asyncio.create_task(self._abandon_in_time())

    async def _abandon_in_time(self) -> None:
        await self._seek()
        self.has_abandoned = True
        self._cut()
