"""The record of organisations' use, kept in a table of the metadata store.

Each VM has a row of its own for each service, since VMs that are cut off from
each other may schedule the same one; a new scheduler adds them up.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from pomelolane.scheduler.limits import Use

if TYPE_CHECKING:
    from collections.abc import Sequence

    from pomelolane.platform.storeclient import StoreClient

_TABLE = "uses"
_OLDEST_MS = 20_000
"""Age from which on a use counts in no span; the spans are a few seconds."""


class _Entry(msgspec.Struct, array_like=True):
    organisation: str
    # On the store's steady clock, which all VMs can tell.
    at_ms: int
    tokens: int


class _Record(msgspec.Struct):
    incarnation: int
    entries: list[_Entry]


class StoreUseRecord:
    """The :class:`~pomelolane.forwarding.ledger.UseRecord` of the platform.

    Args:
        store: The store.
        vm_id: This VM.
        incarnation: Number of this start; what an earlier start let pass is not
            known here but by its record.
    """

    def __init__(self, store: StoreClient, vm_id: str, incarnation: int) -> None:
        self._store = store
        self._vm_id = vm_id
        self._incarnation = incarnation

    async def save(self, service: str, uses: Sequence[Use]) -> None:
        """Replace this VM's record of a service.

        Raises:
            StoreUnavailableError: It may not have been replaced.
        """
        now_ms = int(self._store.now_ms())
        entries = [
            _Entry(use.organisation, now_ms - use.age_ms, use.tokens) for use in uses
        ]
        record = msgspec.json.encode(_Record(self._incarnation, entries))
        await self._store.write(_TABLE, {self._key(service): record})

    async def load(self, service: str) -> list[Use]:
        """Return what all others recorded of a service, with present ages.

        Raises:
            StoreUnavailableError: It cannot be read.
        """
        snapshot = await self._store.read(_TABLE)
        now_ms = int(snapshot.now_ms)
        found = []
        for row in snapshot.rows:
            if row.deleted or not row.key.startswith(f"{service}/"):
                continue
            record = msgspec.json.decode(row.value, type=_Record)
            is_own = row.key == self._key(service)
            if is_own and record.incarnation == self._incarnation:
                continue
            vm_id = row.key.removeprefix(f"{service}/")
            found += [_use(entry, now_ms, vm_id) for entry in record.entries]
        return [use for use in found if use.age_ms < _OLDEST_MS]

    def _key(self, service: str) -> str:
        return f"{service}/{self._vm_id}"


def _use(entry: _Entry, now_ms: int, vm_id: str) -> Use:
    age_ms = max(0, now_ms - entry.at_ms)
    return Use(entry.organisation, age_ms, entry.tokens, vm_id)
