"""The record of organisations' use, kept in a table of the metadata store."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from pomelolane.scheduler.limits import Use

if TYPE_CHECKING:
    from collections.abc import Sequence

    from pomelolane.platform.storeclient import StoreClient

_TABLE = "uses"


class _Entry(msgspec.Struct, array_like=True):
    organisation: str
    # On the store's steady clock, which all VMs can tell.
    at_ms: int
    tokens: int


class StoreUseRecord:
    """The :class:`~pomelolane.forwarding.ledger.UseRecord` of the platform.

    Args:
        store: The store.
    """

    def __init__(self, store: StoreClient) -> None:
        self._store = store

    async def save(self, service: str, uses: Sequence[Use]) -> None:
        """Replace a service's record.

        Raises:
            StoreUnavailableError: It may not have been replaced.
        """
        now_ms = int(self._store.now_ms())
        entries = [
            _Entry(use.organisation, now_ms - use.age_ms, use.tokens) for use in uses
        ]
        await self._store.write(_TABLE, {service: msgspec.json.encode(entries)})

    async def load(self, service: str) -> list[Use]:
        """Return a service's record with present ages.

        Raises:
            StoreUnavailableError: It cannot be read.
        """
        snapshot = await self._store.read(_TABLE)
        found: list[_Entry] = []
        for row in snapshot.rows:
            if row.key == service:
                found = msgspec.json.decode(row.value, type=list[_Entry])
        now_ms = int(snapshot.now_ms)
        return [
            Use(entry.organisation, max(0, now_ms - entry.at_ms), entry.tokens)
            for entry in found
        ]
