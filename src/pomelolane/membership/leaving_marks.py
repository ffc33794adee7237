"""Marks of leaving endpoints, with their sources and expiry.

Each VM repeats only the marks that it made itself, so a mark expires
:data:`MARK_TIMEOUT_MS` after its makers remove it or die.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

MARK_TIMEOUT_MS = 30_000.0


class LeavingMarks:
    """Marks made by this VM or received; the caller passes in the time."""

    def __init__(self) -> None:
        self._own: dict[str, str] = {}
        self._known: dict[str, float] = {}

    @property
    def own(self) -> tuple[str, ...]:
        """Endpoints that this VM itself marks as leaving."""
        return tuple(sorted(self._own))

    @property
    def known(self) -> frozenset[str]:
        """Endpoints that any VM marks as leaving."""
        return frozenset(self._known)

    def mark_own(self, endpoint_id: str, source: str, now_ms: float) -> bool:
        """Mark an endpoint; return whether the mark is new."""
        self._own[endpoint_id] = source
        return bool(self.refresh((endpoint_id,), now_ms))

    def clear_own(self, endpoint_id: str) -> None:
        """Remove a mark made by this VM; other VMs may still repeat it."""
        self._own.pop(endpoint_id, None)

    def own_of_source(self, source: str) -> tuple[str, ...]:
        """Return the endpoints that this VM marked for one source."""
        return tuple(each for each, why in self._own.items() if why == source)

    def refresh(self, endpoint_ids: Iterable[str], now_ms: float) -> tuple[str, ...]:
        """Record marks as repeated now and return the new ones."""
        new = tuple(each for each in endpoint_ids if each not in self._known)
        self._known.update(dict.fromkeys(endpoint_ids, now_ms))
        return new

    def has_overdue(self, now_ms: float) -> bool:
        """Return whether :meth:`expire` may have marks to drop."""
        return any(now_ms - at_ms > MARK_TIMEOUT_MS for at_ms in self._known.values())

    def expire(self, now_ms: float) -> tuple[str, ...]:
        """Drop and return the marks not repeated in :data:`MARK_TIMEOUT_MS`."""
        self._known.update(dict.fromkeys(self._own, now_ms))
        ended = tuple(
            each
            for each, at_ms in self._known.items()
            if now_ms - at_ms > MARK_TIMEOUT_MS
        )
        for each in ended:
            del self._known[each]
        return ended
