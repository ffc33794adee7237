"""KV memory in blocks, with a prefix cache in what the running requests leave.

Blocks in use by a request are pinned and shared; once released they stay until
the memory is needed, the least recently used going first.
"""

from __future__ import annotations

from collections import Counter, OrderedDict
from typing import TYPE_CHECKING

from standins.engine.prompts import BLOCK_TOKENS

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Sequence

    BlockListener = Callable[[bool, int], None]


class BlockCache:
    """Accounts for KV memory and knows which prefix blocks are computed.

    ``listener(stored, block)`` is called for each block stored or evicted.
    """

    def __init__(self, kv_tokens: int, listener: BlockListener) -> None:
        self._kv_tokens = kv_tokens
        self._listener = listener
        self._pins: Counter[int] = Counter()
        self._ready: set[int] = set()
        self._idle: OrderedDict[int, None] = OrderedDict()
        self._private_tokens = 0

    @property
    def used_tokens(self) -> int:
        """Memory held by requests; cached blocks that nobody uses are free."""
        return len(self._pins) * BLOCK_TOKENS + self._private_tokens

    def fits(self, blocks: Sequence[int], private_tokens: int) -> bool:
        """Tell whether a request's memory can be had now."""
        new_blocks = sum(1 for block in blocks if block not in self._pins)
        needed = new_blocks * BLOCK_TOKENS + private_tokens
        return self.used_tokens + needed <= self._kv_tokens

    def could_ever_fit(self, blocks: Sequence[int], private_tokens: int) -> bool:
        """Tell whether a request fits into an empty engine."""
        return len(blocks) * BLOCK_TOKENS + private_tokens <= self._kv_tokens

    def acquire(self, blocks: Sequence[int], private_tokens: int) -> None:
        """Give a request its memory."""
        for block in blocks:
            self._pins[block] += 1
            self._idle.pop(block, None)
        self._private_tokens += private_tokens
        self._evict()

    def release(self, blocks: Sequence[int], private_tokens: int) -> None:
        """Take a request's memory back; its computed blocks become idle."""
        for block in reversed(blocks):
            self._unpin(block)
        self._private_tokens -= private_tokens
        self._evict()

    def hit_blocks(self, blocks: Sequence[int]) -> int:
        """Count the computed blocks at the start of a prompt."""
        hits = 0
        for block in blocks:
            if block not in self._ready:
                break
            hits += 1
        return hits

    def store(self, blocks: Iterable[int]) -> None:
        """Mark pinned blocks as computed."""
        for block in blocks:
            if block not in self._ready:
                self._ready.add(block)
                self._listener(True, block)

    def import_blocks(self, blocks: Sequence[int]) -> int:
        """Take blocks that another engine computed, as far as they fit.

        Returns:
            How many of them are here afterwards.
        """
        self.store(blocks)
        for block in reversed(blocks):
            if block not in self._pins:
                self._idle[block] = None
                self._idle.move_to_end(block)
        self._evict()
        return sum(1 for block in blocks if block in self._ready)

    def _unpin(self, block: int) -> None:
        self._pins[block] -= 1
        if self._pins[block]:
            return
        del self._pins[block]
        if block in self._ready:
            self._idle[block] = None

    def _evict(self) -> None:
        free_tokens = self._kv_tokens - self.used_tokens
        while len(self._idle) * BLOCK_TOKENS > free_tokens:
            block, _ = self._idle.popitem(last=False)
            self._ready.discard(block)
            self._listener(False, block)


__all__ = ["BlockCache"]
