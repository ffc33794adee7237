"""When a source last confirmed what a VM knows of it."""

from __future__ import annotations

import asyncio
import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from pomelolane.ports import Clock

CONFIRM_TIMEOUT_MS = 150
"""Longest time that requests wait for a confirmation; the store answers within
milliseconds unless it is in trouble."""

_STALL_MS = 50
"""Delay of the limit above that counts as a stall of the event loop."""

_MOST_WAITS = 3
"""Times that a request waits anew because the event loop stood still meanwhile."""


class Confirmation:
    """Age of what is known, and a way to have it confirmed.

    A VM that stood still is handed the requests that came meanwhile before the news.

    Args:
        clock: Source of the current time.
        max_age_ms: Age from which on requests wait for a confirmation.
        expiry_ms: Age from which on something newer may have to be in force.
    """

    def __init__(
        self,
        clock: Clock,
        max_age_ms: float = math.inf,
        expiry_ms: float = math.inf,
    ) -> None:
        self._clock = clock
        self._max_age_ms = max_age_ms
        self._expiry_ms = expiry_ms
        self._confirmed_ms = clock.now_ms()
        self._next = asyncio.Event()
        self._waiting = 0
        self._has_failed = False
        self._callbacks: list[Callable[[], None]] = []

    @property
    def age_ms(self) -> float:
        """Time since the source last confirmed what is known."""
        return self._clock.now_ms() - self._confirmed_ms

    @property
    def has_expired(self) -> bool:
        """Whether something newer may have to be in force already."""
        return self.age_ms > self._expiry_ms

    def on_wanted(self, callback: Callable[[], None]) -> None:
        """Call back when the source is to be asked at once."""
        self._callbacks.append(callback)

    def want(self) -> None:
        """Have the source asked at once."""
        for callback in self._callbacks:
            callback()

    def confirm(self, at_ms: float) -> None:
        """Record that what is known was the newest at a time."""
        self._confirmed_ms = max(self._confirmed_ms, at_ms)
        if self.age_ms <= self._max_age_ms:
            self._has_failed = False
        confirmed, self._next = self._next, asyncio.Event()
        confirmed.set()

    async def ensure(self) -> None:
        """Wait until what is known is young enough, for a short time.

        While the source confirms nothing, only the first requests wait.
        """
        if self.age_ms <= self._max_age_ms or self._has_failed:
            return
        if not self._waiting:
            self.want()
        self._waiting += 1
        try:
            for _ in range(_MOST_WAITS):
                due_ms = self._clock.now_ms() + CONFIRM_TIMEOUT_MS
                if await self._wait():
                    return
                # After a stall, the answer may lie unread in the socket.
                if self._clock.now_ms() - due_ms <= _STALL_MS:
                    break
            self._has_failed = True
        finally:
            self._waiting -= 1

    async def _wait(self) -> bool:
        """Return whether what is known was confirmed within the time limit."""
        try:
            async with asyncio.timeout(CONFIRM_TIMEOUT_MS / 1000):
                while self.age_ms > self._max_age_ms:
                    await self._next.wait()
        except TimeoutError:
            return False
        return True
