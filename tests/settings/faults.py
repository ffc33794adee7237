"""A faulty table that lets something happen right after a lost answer.

Another operator's change, or an outage, then falls between a write and the
reading back.
"""

from __future__ import annotations

from pomelolane.exceptions import CommitUnknownError
from pomelolane.store import EmbeddedTable
from tests.faults import FaultyTable


class HookedTable(FaultyTable):
    """A faulty table of its own, with one hook."""

    def __init__(self):
        super().__init__(EmbeddedTable())
        self.after_loss = None

    async def commit(self, writes, *, atomic=True):
        """Commit, and run the hook once where the answer is lost."""
        try:
            return await super().commit(writes, atomic=atomic)
        except CommitUnknownError:
            hook, self.after_loss = self.after_loss, None
            if hook:
                await hook()
            raise
