"""The platform's transactional table, in memory.

Rows have versions; a commit applies writes on conditions, all or each alone.
"""

from __future__ import annotations

import bisect
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

ABSENT_VERSION = 0


@dataclass(frozen=True, slots=True)
class StoredRow:
    """A committed row.

    Attributes:
        key: Row key.
        version: 1 for the first write after it was absent, then by one.
        value: Opaque bytes.
    """

    key: str
    version: int
    value: bytes


@dataclass(frozen=True, slots=True)
class RowWrite:
    """One write of a commit.

    Attributes:
        key: Row key.
        value: New value, None to delete.
        if_version: Version that the row must have, 0 absent, None any.
    """

    key: str
    value: bytes | None
    if_version: int | None


@dataclass(frozen=True, slots=True)
class RowResult:
    """What became of one write.

    Attributes:
        key: Row key.
        applied: Whether it was applied.
        version: The row's version afterwards, 0 where absent.
    """

    key: str
    applied: bool
    version: int


class StoredTable:
    """Rows by key, in key order."""

    def __init__(self) -> None:
        self._rows: dict[str, StoredRow] = {}
        self._keys: list[str] = []

    def read(self, key: str) -> StoredRow | None:
        """Return the row of a key."""
        return self._rows.get(key)

    def scan(self, prefix: str, limit: int) -> list[StoredRow]:
        """Return the first rows whose key starts with a prefix."""
        found: list[StoredRow] = []
        position = bisect.bisect_left(self._keys, prefix)
        while position < len(self._keys) and len(found) < limit:
            key = self._keys[position]
            if not key.startswith(prefix):
                break
            found.append(self._rows[key])
            position += 1
        return found

    def commit(self, writes: Sequence[RowWrite], *, atomic: bool) -> list[RowResult]:
        """Apply writes; with ``atomic`` none unless every condition holds."""
        if atomic and not all(map(self._holds, writes)):
            return [RowResult(w.key, False, self._version(w.key)) for w in writes]
        return [self._apply_if_holds(write) for write in writes]

    def clear(self) -> None:
        """Forget every row."""
        self._rows.clear()
        self._keys.clear()

    def _version(self, key: str) -> int:
        row = self._rows.get(key)
        return row.version if row else ABSENT_VERSION

    def _holds(self, write: RowWrite) -> bool:
        return write.if_version is None or write.if_version == self._version(write.key)

    def _apply_if_holds(self, write: RowWrite) -> RowResult:
        applied = self._holds(write)
        if applied:
            self._apply(write)
        return RowResult(write.key, applied, self._version(write.key))

    def _apply(self, write: RowWrite) -> None:
        if write.value is None:
            self._delete(write.key)
            return
        if write.key not in self._rows:
            bisect.insort(self._keys, write.key)
        version = self._version(write.key) + 1
        self._rows[write.key] = StoredRow(write.key, version, write.value)

    def _delete(self, key: str) -> None:
        if self._rows.pop(key, None) is not None:
            del self._keys[bisect.bisect_left(self._keys, key)]


__all__ = ["RowResult", "RowWrite", "StoredRow", "StoredTable"]
