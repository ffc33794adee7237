"""Timeouts of requests that go on while the VM is suspended.

The loop's timers count only the time in which the VM runs; callers and endpoints count
all of it.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from types import TracebackType

    from pomelolane.ports import Clock

JUMP_MS = 50.0
"""Difference between the clock and the loop's timers that counts as a suspension; they
are read within a millisecond of each other."""


class Timeouts:
    """Makes timeouts, and corrects those that are open after a suspension.

    Args:
        clock: A clock that counts suspensions.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._open: set[Timeout] = set()
        self._ahead_ms: float | None = None

    def after(self, ms: float) -> Timeout:
        """Return a context that raises ``TimeoutError`` after a time."""
        if self._ahead_ms is None:
            self._ahead_ms = self._measure_ahead_ms()
        return Timeout(self._open, self._clock, ms)

    def look(self) -> None:
        """Correct all timeouts if the VM was suspended since the last look."""
        before_ms = self._ahead_ms
        self._ahead_ms = self._measure_ahead_ms()
        if before_ms is None or abs(self._ahead_ms - before_ms) < JUMP_MS:
            return
        for timeout in tuple(self._open):
            timeout.correct()

    def _measure_ahead_ms(self) -> float:
        """Return how far the clock is ahead of the loop's timers."""
        return self._clock.now_ms() - asyncio.get_running_loop().time() * 1000


class Timeout:
    """One bound on what is done inside it; use :meth:`Timeouts.after`."""

    __slots__ = ("_clock", "_due_ms", "_open", "_timeout")

    def __init__(self, open_timeouts: set[Timeout], clock: Clock, ms: float) -> None:
        self._open = open_timeouts
        self._clock = clock
        self._due_ms = clock.now_ms() + ms
        self._timeout = asyncio.timeout(None)

    async def __aenter__(self) -> None:
        """Begin to count."""
        await self._timeout.__aenter__()
        self.correct()
        self._open.add(self)

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> bool | None:
        """End; a cancellation by this timeout becomes ``TimeoutError``."""
        self._open.discard(self)
        return await self._timeout.__aexit__(kind, error, trace)

    def correct(self) -> None:
        """Set the loop's timer to what is left by the clock."""
        if self._timeout.expired():
            return
        left_ms = max(0.0, self._due_ms - self._clock.now_ms())
        when_s = asyncio.get_running_loop().time() + left_ms / 1000
        self._timeout.reschedule(when_s)
