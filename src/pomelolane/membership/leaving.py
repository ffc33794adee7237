"""Endpoints known to be leaving, by whom, and until when that holds.

Each VM repeats only the marks that it made itself, so a mark ends when its
makers take it back; it outlives a maker that died by :data:`MARK_TIMEOUT_MS`.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

MARK_TIMEOUT_MS = 30_000.0


class LeavingMarks:
    """Marks made here and marks heard of; pure, time is passed in."""

    def __init__(self) -> None:
        self._own: dict[str, str] = {}
        self._known: dict[str, float] = {}

    @property
    def own(self) -> tuple[str, ...]:
        """Endpoints that this VM itself has marked."""
        return tuple(sorted(self._own))

    @property
    def known(self) -> frozenset[str]:
        """Endpoints marked by anybody."""
        return frozenset(self._known)

    def mark_own(self, endpoint_id: str, source: str, now_ms: float) -> bool:
        """Mark an endpoint; False where it was known already."""
        self._own[endpoint_id] = source
        return bool(self.refresh((endpoint_id,), now_ms))

    def clear_own(self, endpoint_id: str) -> None:
        """Take back a mark made here; others may still hold it."""
        self._own.pop(endpoint_id, None)

    def own_of_source(self, source: str) -> tuple[str, ...]:
        """Return the endpoints marked here for one reason."""
        return tuple(each for each, why in self._own.items() if why == source)

    def refresh(self, endpoint_ids: Iterable[str], now_ms: float) -> tuple[str, ...]:
        """Take note of marks and return those that are new."""
        new = tuple(each for each in endpoint_ids if each not in self._known)
        self._known.update(dict.fromkeys(endpoint_ids, now_ms))
        return new

    def has_overdue(self, now_ms: float) -> bool:
        """Tell whether :meth:`expire` has anything to look at."""
        return any(now_ms - at_ms > MARK_TIMEOUT_MS for at_ms in self._known.values())

    def expire(self, now_ms: float) -> tuple[str, ...]:
        """Drop the marks that nobody repeats and return them."""
        self._known.update(dict.fromkeys(self._own, now_ms))
        ended = tuple(
            each
            for each, at_ms in self._known.items()
            if now_ms - at_ms > MARK_TIMEOUT_MS
        )
        for each in ended:
            del self._known[each]
        return ended
