"""Marks of leaving endpoints, with their sources and expiry.

A mark says that an endpoint is shutting down and gets no new requests. Each VM repeats
only the marks that it made itself, so a mark expires :data:`MARK_TIMEOUT_MS` after the
last VM that made it has removed it or failed.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

MARK_TIMEOUT_MS = 30_000.0


class LeavingMarks:
    """Marks made by this VM or received; the caller passes in the time."""

    def __init__(self) -> None:
        self._own_sources: dict[str, str] = {}
        self._repeated_ms: dict[str, float] = {}

    @property
    def own(self) -> tuple[str, ...]:
        """Endpoints that this VM itself marks as leaving."""
        return tuple(sorted(self._own_sources))

    @property
    def known(self) -> frozenset[str]:
        """Endpoints that any VM marks as leaving."""
        return frozenset(self._repeated_ms)

    def mark_own(self, endpoint_id: str, source: str, now_ms: float) -> bool:
        """Mark an endpoint; return whether the mark is new."""
        self._own_sources[endpoint_id] = source
        return bool(self.refresh((endpoint_id,), now_ms))

    def clear_own(self, endpoint_id: str) -> None:
        """Remove a mark made by this VM; other VMs may still repeat it."""
        self._own_sources.pop(endpoint_id, None)

    def own_of_source(self, source: str) -> tuple[str, ...]:
        """Return the endpoints that this VM marked for one source."""
        return tuple(
            each for each, made_for in self._own_sources.items() if made_for == source
        )

    def refresh(self, endpoint_ids: Iterable[str], now_ms: float) -> tuple[str, ...]:
        """Record marks as repeated now and return the new ones."""
        new = tuple(each for each in endpoint_ids if each not in self._repeated_ms)
        self._repeated_ms.update(dict.fromkeys(endpoint_ids, now_ms))
        return new

    def has_overdue(self, now_ms: float) -> bool:
        """Return whether :meth:`expire` may have marks to drop."""
        return any(
            now_ms - at_ms > MARK_TIMEOUT_MS for at_ms in self._repeated_ms.values()
        )

    def expire(self, now_ms: float) -> tuple[str, ...]:
        """Drop and return the marks not repeated in :data:`MARK_TIMEOUT_MS`."""
        self._repeated_ms.update(dict.fromkeys(self._own_sources, now_ms))
        ended = tuple(
            each
            for each, at_ms in self._repeated_ms.items()
            if now_ms - at_ms > MARK_TIMEOUT_MS
        )
        for each in ended:
            del self._repeated_ms[each]
        return ended
