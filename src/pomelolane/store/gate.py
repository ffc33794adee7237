"""Turns writes away at once while the platform has not answered for a while.

A caller's write must not be what finds out whether a silent platform is back:
a read in the background does, a few times a second.
"""

from __future__ import annotations

import asyncio
import contextlib
from typing import TYPE_CHECKING

from pomelolane.exceptions import PlatformError

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from pomelolane.store.health import PlatformHealth

CLOSED_AFTER_MS = 1000.0
PROBE_MS = 250.0


class WriteGate:
    """Closed while the platform is silent; opens when a probe is answered.

    Args:
        health: Whether the platform answers.
        probe: Reads something cheap; any answer will do.
    """

    def __init__(
        self, health: PlatformHealth, probe: Callable[[], Awaitable[object]]
    ) -> None:
        self._health = health
        self._probe = probe
        self._probing: asyncio.Task[None] | None = None

    def is_closed(self) -> bool:
        """Tell whether writes are turned away now."""
        if self._health.down_ms < CLOSED_AFTER_MS:
            return False
        if self._probing is None or self._probing.done():
            loop = asyncio.get_running_loop()
            self._probing = loop.create_task(self._probe_until_up())
        return True

    async def aclose(self) -> None:
        """Stop probing."""
        if self._probing is not None:
            self._probing.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await self._probing

    async def _probe_until_up(self) -> None:
        while not self._health.is_up:
            with contextlib.suppress(PlatformError):
                await self._probe()
            await asyncio.sleep(PROBE_MS / 1000.0)
