"""A table whose faults tests choose, for the platform's and jobs' features."""

from __future__ import annotations

import asyncio
from collections import deque
from typing import TYPE_CHECKING

from pomelolane.exceptions import (
    CommitUnknownError,
    PlatformUnavailableError,
    RateLimitedError,
)

if TYPE_CHECKING:
    from pomelolane.store import EmbeddedTable

DOWN = "down"
LOST_REPLY = "lost_reply"
LOST_WRITE = "lost_write"
LATE_WRITE = "late_write"
RATE_LIMITED = "rate_limited"
FINE = "fine"
COMMIT_FAULTS = (FINE, DOWN, LOST_REPLY, LOST_WRITE, LATE_WRITE, RATE_LIMITED)


class FaultyTable:
    """Passes calls to an embedded table, with faults in the order given.

    Args:
        inner: The table, shared by several views of it.
    """

    def __init__(self, inner: EmbeddedTable) -> None:
        self.inner = inner
        self.faults: deque[str] = deque()
        self.is_down = False
        self.late: list = []
        self.gate: asyncio.Event | None = None

    async def read(self, key):
        """Read one row unless down."""
        await self._reach()
        return await self.inner.read(key)

    async def scan(self, prefix, *, limit=1000):
        """Scan unless down."""
        await self._reach()
        return await self.inner.scan(prefix, limit=limit)

    async def commit(self, writes, *, atomic=True):
        """Commit, with the next fault."""
        await self._reach()
        fault = self.faults.popleft() if self.faults else FINE
        if fault == DOWN:
            raise PlatformUnavailableError("down")
        if fault == RATE_LIMITED:
            raise RateLimitedError(1)
        if fault == LATE_WRITE:
            self.late.append((writes, atomic))
        elif fault != LOST_WRITE:
            results = await self.inner.commit(writes, atomic=atomic)
        if fault != FINE:
            raise CommitUnknownError(fault)
        return results

    async def deliver_late(self) -> None:
        """Let the writes that the network held back arrive now."""
        late, self.late = self.late, []
        for writes, atomic in late:
            await self.inner.commit(writes, atomic=atomic)

    async def _reach(self) -> None:
        await asyncio.sleep(0)
        if self.gate is not None:
            await self.gate.wait()
        if self.is_down:
            raise PlatformUnavailableError("down")


async def until(condition, timeout_s=5.0) -> None:
    """Wait until a condition holds; fail when it never does."""
    loop = asyncio.get_running_loop()
    give_up_at = loop.time() + timeout_s
    while True:
        value = condition()
        if asyncio.iscoroutine(value):
            value = await value
        if value:
            return
        assert loop.time() < give_up_at, "condition never held"
        await asyncio.sleep(0.002)
