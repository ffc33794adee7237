"""Entries of endpoints that have left, in a store that came back from an older copy."""

from __future__ import annotations

_MOST_ENTRIES = 1_000


class GoneEntries:
    """Tells entries that only an older copy of the store holds from new ones.

    An endpoint that lives writes its entry again; until then, an entry of the same
    start whose removal this VM has read says nothing.
    """

    def __init__(self) -> None:
        self._born_ms: dict[str, int] = {}
        self._copied_values: dict[str, bytes | None] = {}

    def __contains__(self, key: str) -> bool:
        """Return whether an entry has been removed and has not come back."""
        return key in self._born_ms

    def add(self, key: str, born_ms: int) -> None:
        """Record that an entry was removed, and the start that it told."""
        self._discard(key)
        self._born_ms[key] = born_ms
        if len(self._born_ms) > _MOST_ENTRIES:
            self._discard(next(iter(self._born_ms)))

    def store_came_back(self) -> None:
        """Record that the store may have come back from an older copy."""
        self._copied_values = dict.fromkeys(self._born_ms)

    def is_copied(self, key: str, value: bytes, born_ms: int) -> bool:
        """Return whether an entry that is there is one of the copy.

        Args:
            key: Its key.
            value: What it holds; each heartbeat changes it.
            born_ms: The start that it tells.
        """
        if key in self._copied_values and self._born_ms.get(key) == born_ms:
            copied = self._copied_values[key]
            if copied is None or copied == value:
                self._copied_values[key] = value
                return True
        self._discard(key)
        return False

    def _discard(self, key: str) -> None:
        self._born_ms.pop(key, None)
        self._copied_values.pop(key, None)
