"""Ids of requests that have ended lately, so that a late repeat is recognised."""

from __future__ import annotations

from collections import OrderedDict

_KEEP_MS = 60_000.0
_KEEP_MOST = 50_000


class RecentIds:
    """A set of ids that forgets the old ones."""

    def __init__(self) -> None:
        self._ended_ms: OrderedDict[str, float] = OrderedDict()

    def __contains__(self, request_id: str) -> bool:
        return request_id in self._ended_ms

    def add(self, request_id: str, now_ms: float) -> None:
        """Remember an id."""
        self._ended_ms[request_id] = now_ms
        if len(self._ended_ms) > _KEEP_MOST:
            self._ended_ms.popitem(last=False)

    def purge(self, now_ms: float) -> None:
        """Forget what is older than a minute."""
        while self._ended_ms:
            oldest = next(iter(self._ended_ms))
            if now_ms - self._ended_ms[oldest] <= _KEEP_MS:
                return
            self._ended_ms.popitem(last=False)
