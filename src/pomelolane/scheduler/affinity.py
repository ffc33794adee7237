"""Index of the prompt prefixes that each engine probably has in its cache.

It is derived from which prompt was sent where. Two sources correct it: cache
events, which arrive late and with gaps, and the cached tokens of each answer.
"""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

    from pomelolane.ports import CacheEvent

BLOCK_TOKENS = 256
_MAX_EVENT_LAG_MS = 2_000.0
_CONFIDENCE_AFTER_GAP_FACTOR = 0.7
_CONFIDENCE_STEP = 0.2
_FIRST_CONFIDENCE = 0.95
_NO_HOLDERS: frozenset[str] = frozenset()


class _EndpointRecord:
    """Prefix blocks of one engine, least recently used first."""

    __slots__ = ("blocks", "capacity", "confidence", "sequence")

    def __init__(self, capacity: int) -> None:
        self.blocks: OrderedDict[int, float] = OrderedDict()
        self.capacity = capacity
        self.confidence = _FIRST_CONFIDENCE
        self.sequence = -1


class PrefixIndex:
    """Maps endpoints to cached prefix blocks and blocks to endpoints."""

    def __init__(self) -> None:
        self._records: dict[str, _EndpointRecord] = {}
        self._holders: dict[int, set[str]] = {}

    def add_endpoint(self, endpoint_id: str, kv_tokens: int) -> None:
        """Add an endpoint, or update the cache size of a known one."""
        capacity = kv_tokens // BLOCK_TOKENS
        record = self._records.get(endpoint_id)
        if record is None:
            self._records[endpoint_id] = _EndpointRecord(capacity)
        else:
            record.capacity = capacity

    def remove_endpoint(self, endpoint_id: str) -> None:
        """Remove an endpoint."""
        record = self._records.pop(endpoint_id, None)
        for block in record.blocks if record else ():
            self._drop_holder(block, endpoint_id)

    def holders(self, hashes: Sequence[int]) -> set[str] | frozenset[str]:
        """Return the endpoints that cache the longest known prefix."""
        low, high = 0, len(hashes)
        while low < high:
            middle = (low + high + 1) // 2
            if hashes[middle - 1] in self._holders:
                low = middle
            else:
                high = middle - 1
        return self._holders[hashes[low - 1]] if low else _NO_HOLDERS

    def cached_tokens(self, endpoint_id: str, hashes: Sequence[int]) -> int:
        """Return the prompt tokens expected in an endpoint's cache."""
        record = self._records.get(endpoint_id)
        if record is None or not hashes:
            return 0
        depth = _cached_depth(record, hashes)
        return int(depth * BLOCK_TOKENS * record.confidence)

    def record_sent(
        self,
        endpoint_id: str,
        hashes: Sequence[int],
        kv_free_tokens: int,
        now_ms: float,
    ) -> None:
        """Record that a prompt was sent; its last blocks are evicted first."""
        record = self._records.get(endpoint_id)
        if record is None:
            return
        for block in reversed(hashes):
            self._store(endpoint_id, record, block, now_ms)
        max_blocks = min(record.capacity, max(0, kv_free_tokens) // BLOCK_TOKENS)
        while len(record.blocks) > max_blocks:
            oldest = next(iter(record.blocks))
            self._evict(endpoint_id, record, oldest)

    def record_cache_hit(self, endpoint_id: str, expected: int, cached: int) -> None:
        """Adjust the confidence by the cached tokens that the engine reported."""
        record = self._records.get(endpoint_id)
        if record is None or expected <= 0:
            return
        measured = min(1.0, cached / expected * record.confidence)
        record.confidence += _CONFIDENCE_STEP * (measured - record.confidence)

    def apply_event(self, event: CacheEvent, now_ms: float) -> None:
        """Apply a cache event; a gap in sequence numbers lowers the confidence."""
        record = self._records.get(event.endpoint_id)
        if record is None:
            return
        if record.sequence >= 0 and event.sequence > record.sequence + 1:
            record.confidence *= _CONFIDENCE_AFTER_GAP_FACTOR
        record.sequence = max(record.sequence, event.sequence)
        if event.stored:
            self._store(event.endpoint_id, record, event.prefix_hash, now_ms)
            return
        # An eviction event may be older than the last prompt with this block.
        stored_ms = record.blocks.get(event.prefix_hash)
        if stored_ms is not None and now_ms - stored_ms > _MAX_EVENT_LAG_MS:
            self._evict(event.endpoint_id, record, event.prefix_hash)

    def _store(
        self, endpoint_id: str, record: _EndpointRecord, block: int, now_ms: float
    ) -> None:
        record.blocks[block] = now_ms
        record.blocks.move_to_end(block)
        holders = self._holders.get(block)
        if holders is None:
            self._holders[block] = {endpoint_id}
        else:
            holders.add(endpoint_id)

    def _evict(self, endpoint_id: str, record: _EndpointRecord, block: int) -> None:
        del record.blocks[block]
        self._drop_holder(block, endpoint_id)

    def _drop_holder(self, block: int, endpoint_id: str) -> None:
        holders = self._holders.get(block)
        if holders is None:
            return
        holders.discard(endpoint_id)
        if not holders:
            del self._holders[block]


def _cached_depth(record: _EndpointRecord, hashes: Sequence[int]) -> int:
    """Return how many leading blocks of a prompt are cached, by bisection."""
    blocks = record.blocks
    low, high = 0, len(hashes)
    while low < high:
        middle = (low + high + 1) // 2
        if hashes[middle - 1] in blocks:
            low = middle
        else:
            high = middle - 1
    return low
