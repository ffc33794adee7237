"""The record of where streams began, kept in a table of the metadata store.

Each VM has one row, with the streams that it had open at its last save. A row tells for
each stream what began it, so that an older copy of the store lacks streams, but says
nothing wrong of those it has.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from pomelolane import events
from pomelolane.logs import log_event
from pomelolane.resumption import SavedOrigin, SavedOrigins, StreamOrigin
from pomelolane.resumption.history import STREAM_LIFE_MS

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from pomelolane.platform.storeclient import StoreClient, StoredRow

_TABLE = "streams"


class _Stream(msgspec.Struct, array_like=True):
    key: int
    # Position in the row's origins.
    origin: int
    # On the store's steady clock, which all VMs can tell.
    expires_ms: int


class _Row(msgspec.Struct):
    # Service and version.
    origins: list[tuple[str, str]]
    streams: list[_Stream]


class StoreOriginRecord:
    """The platform's :class:`~pomelolane.resumption.OriginStorage`.

    Args:
        store: The store.
        vm_id: This VM.
    """

    def __init__(self, store: StoreClient, vm_id: str) -> None:
        self._store = store
        self._vm_id = vm_id

    async def save(self, saved: Sequence[SavedOrigin]) -> None:
        """Replace what this VM has saved.

        Raises:
            StoreUnavailableError: It may not have been replaced.
        """
        now_ms = self._store.now_ms()
        positions = {
            origin: position
            for position, origin in enumerate({one.origin for one in saved})
        }
        streams = [
            _Stream(one.key, positions[one.origin], int(now_ms + one.left_ms))
            for one in saved
        ]
        origins = [(origin.service, origin.version) for origin in positions]
        row = msgspec.msgpack.encode(_Row(origins, streams))
        await self._store.write(_TABLE, {self._vm_id: row})

    async def load(self) -> SavedOrigins:
        """Return what all VMs have saved, but for what has expired.

        Raises:
            StoreUnavailableError: It cannot be read.
        """
        snapshot = await self._store.read(_TABLE)
        own: list[SavedOrigin] = []
        others: list[SavedOrigin] = []
        for row in snapshot.rows:
            if not row.deleted:
                found = own if row.key == self._vm_id else others
                found += _saved(row, snapshot.now_ms)
        return SavedOrigins(own, others)


def _saved(row: StoredRow, now_ms: float) -> Iterable[SavedOrigin]:
    try:
        decoded = msgspec.msgpack.decode(row.value, type=_Row)
        origins = [StreamOrigin(*origin) for origin in decoded.origins]
        saved = [
            SavedOrigin(one.key, origins[one.origin], _left_ms(one, now_ms))
            for one in decoded.streams
        ]
    except (msgspec.DecodeError, IndexError) as error:
        log_event(events.ROW_REJECTED, table=_TABLE, row=row.key, error=error)
        return []
    return [one for one in saved if one.left_ms > 0]


def _left_ms(stream: _Stream, now_ms: float) -> float:
    # The store's clock may have been set back.
    return min(stream.expires_ms - now_ms, STREAM_LIFE_MS)
