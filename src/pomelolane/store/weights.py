"""Pulls from the rate-limited weight store, paced and one at a time.

A refusal widens the pace for everybody who waits, so that a burst of load
orders does not turn into a burst of refused pulls.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Protocol

from pomelolane.exceptions import RateLimitedError

if TYPE_CHECKING:
    from pomelolane.ports import Clock
    from pomelolane.sentinels import Missing

DEFAULT_PULL_INTERVAL_MS = 1000.0
DEFAULT_PULL_ATTEMPTS = 8


class WeightStore(Protocol):
    """The platform's store of model weights."""

    async def fetch(self, model: str) -> bytes | Missing:
        """Read a model's weights.

        Raises:
            RateLimitedError: Too many pulls.
            PlatformUnavailableError: No answer.
        """


class PacedPulls:
    """Pulls weights, or lets engines pull them, no faster than allowed.

    Args:
        store: Where the weights are.
        clock: Measures the pace.
        interval_ms: Least time between the starts of two pulls.
        attempts: Pulls tried before a rate limit is passed on.
    """

    def __init__(
        self,
        store: WeightStore,
        clock: Clock,
        *,
        interval_ms: float = DEFAULT_PULL_INTERVAL_MS,
        attempts: int = DEFAULT_PULL_ATTEMPTS,
    ) -> None:
        self._store = store
        self._clock = clock
        self._interval_ms = interval_ms
        self._attempts = attempts
        self._next_at_ms = float("-inf")
        self._turn = asyncio.Lock()

    async def pull(self, model: str) -> bytes | Missing:
        """Wait for a turn and read a model's weights.

        Raises:
            RateLimitedError: Still refused after the last attempt.
            PlatformUnavailableError: No answer.
        """
        async with self._turn:
            for attempt in range(1, self._attempts + 1):
                await self._turn_comes()
                try:
                    return await self._store.fetch(model)
                except RateLimitedError as error:
                    self.postpone(error.retry_after_ms)
                    if attempt == self._attempts:
                        raise
        raise AssertionError("unreachable")

    async def wait_for_turn(self) -> None:
        """Wait until the next pull may begin, e.g. one that an engine makes."""
        async with self._turn:
            await self._turn_comes()

    def postpone(self, retry_after_ms: int) -> None:
        """Begin no pull before the store asked to be called again."""
        wait_ms = max(float(retry_after_ms), self._interval_ms)
        self._next_at_ms = self._clock.now_ms() + wait_ms

    async def _turn_comes(self) -> None:
        wait_ms = self._next_at_ms - self._clock.now_ms()
        if wait_ms > 0:
            await asyncio.sleep(wait_ms / 1000.0)
        self._next_at_ms = self._clock.now_ms() + self._interval_ms
