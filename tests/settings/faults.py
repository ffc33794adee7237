"""A table in memory that loses writes and replies.

A lost reply leaves the write in effect, a lost write does not.
"""

from __future__ import annotations

import asyncio

from pomelolane.exceptions import CommitUnknownError, PlatformUnavailableError
from pomelolane.platform import EmbeddedTable


class FaultyTable(EmbeddedTable):
    """A table that loses writes and replies when told to."""

    def __init__(self):
        super().__init__()
        self.lost_replies = 0
        self.lost_writes = 0
        self.down = False
        self.after_loss = None

    async def read(self, key):
        """Read one row."""
        await self._pass()
        return await super().read(key)

    async def scan(self, prefix, *, limit=1000):
        """Read the rows of a prefix."""
        await self._pass()
        return await super().scan(prefix, limit=limit)

    async def commit(self, writes, *, atomic=True):
        """Commit, and lose what is to be lost."""
        await self._pass()
        if self.lost_writes:
            self.lost_writes -= 1
            await self._lose()
        results = await super().commit(writes, atomic=atomic)
        if self.lost_replies:
            self.lost_replies -= 1
            await self._lose()
        return results

    async def _pass(self):
        await asyncio.sleep(0)
        if self.down:
            raise PlatformUnavailableError("down")

    async def _lose(self):
        callback, self.after_loss = self.after_loss, None
        if callback:
            await callback()
        raise CommitUnknownError("lost")
