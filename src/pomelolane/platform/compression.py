"""Compression of long values in messages between VMs."""

from __future__ import annotations

import zlib
from typing import TYPE_CHECKING

import msgspec

from pomelolane.messages import RecordChange, WatchedChanges

if TYPE_CHECKING:
    from collections.abc import Iterable

_LEAST_BYTES = 1_000
"""Shorter values gain nothing."""

_LEVEL = 1

_MOST_BYTES = 16 * 1024 * 1024
"""Largest value that is restored."""

_Changes = tuple[RecordChange, ...]


def compress_changes(changes: Iterable[RecordChange]) -> tuple[_Changes, _Changes]:
    """Return the changes with short values, and the others with compressed ones."""
    plain, compressed = [], []
    for change in changes:
        if len(change.value) < _LEAST_BYTES:
            plain.append(change)
        else:
            value = zlib.compress(change.value, _LEVEL)
            compressed.append(msgspec.structs.replace(change, value=value))
    return tuple(plain), tuple(compressed)


def expand_changes(news: WatchedChanges) -> WatchedChanges:
    """Return a message with all of its values restored.

    Changes that can't be restored are left out; the hash of the state shows that.
    """
    if not news.compressed:
        return news
    restored = []
    for change in news.compressed:
        stream = zlib.decompressobj()
        try:
            value = stream.decompress(change.value, _MOST_BYTES)
        except zlib.error:
            continue
        if stream.eof:
            restored.append(msgspec.structs.replace(change, value=value))
    changes = (*news.changes, *restored)
    return msgspec.structs.replace(news, changes=changes, compressed=())
