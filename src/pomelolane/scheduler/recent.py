"""Ids of recently ended requests, so that a late duplicate is recognised."""

from __future__ import annotations

from collections import OrderedDict

_RETENTION_MS = 60_000.0
_MAX_IDS = 50_000


class RecentIds:
    """Set of request ids whose entries expire after a minute."""

    def __init__(self) -> None:
        self._ended_ms: OrderedDict[str, float] = OrderedDict()

    def __contains__(self, request_id: str) -> bool:
        return request_id in self._ended_ms

    def add(self, request_id: str, now_ms: float) -> None:
        """Add an id; above the size limit, the oldest is removed."""
        self._ended_ms[request_id] = now_ms
        if len(self._ended_ms) > _MAX_IDS:
            self._ended_ms.popitem(last=False)

    def purge(self, now_ms: float) -> None:
        """Remove expired ids."""
        while self._ended_ms:
            oldest = next(iter(self._ended_ms))
            if now_ms - self._ended_ms[oldest] <= _RETENTION_MS:
                return
            self._ended_ms.popitem(last=False)
