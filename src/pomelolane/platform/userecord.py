"""The record of organisations' use, kept in a table of the metadata store.

Each VM has a row of its own for each service, since VMs that are cut off from
each other may schedule the same one; a new scheduler adds them up.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from pomelolane import events
from pomelolane.forwarding.usage_exchange import account_name
from pomelolane.logs import log_event
from pomelolane.scheduler.rate_limiting import TokenUse

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from pomelolane.platform.storeclient import StoreClient, StoredRow

_TABLE = "uses"
_OLDEST_MS = 20_000
"""Age from which on a use counts in no span; the spans are a few seconds."""


class _Entry(msgspec.Struct, array_like=True):
    organisation: str
    # On the store's steady clock, which all VMs can tell.
    at_ms: int
    tokens: int
    # What a span could hold when they passed, 0 where that is not known.
    bound: int = 0
    # Number of the start that let them pass, 0 for the one whose record it is.
    incarnation: int = 0


class _Record(msgspec.Struct):
    incarnation: int
    entries: list[_Entry]
    # What earlier starts of the same VM had recorded.
    former: list[_Entry] = []


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
        self._former: dict[str, list[_Entry]] = {}
        self._is_read = False

    async def save(self, service: str, uses: Sequence[TokenUse]) -> None:
        """Replace this VM's record of a service, but for what earlier starts let pass.

        Raises:
            StoreUnavailableError: It may not have been replaced.
        """
        if not self._is_read:
            await self.load()
        now_ms = int(self._store.now_ms())
        entries = [
            _Entry(use.organisation, now_ms - use.age_ms, use.tokens, use.bound)
            for use in uses
        ]
        former = _young(self._former.get(service, ()), now_ms)
        record = msgspec.json.encode(_Record(self._incarnation, entries, former))
        await self._store.write(_TABLE, {self._key(service): record})

    async def load(self) -> list[TokenUse]:
        """Return what all others recorded, of all services, with present ages.

        Raises:
            StoreUnavailableError: It cannot be read.
        """
        snapshot = await self._store.read(_TABLE)
        now_ms = int(snapshot.now_ms)
        found: list[TokenUse] = []
        for row in snapshot.rows:
            service, separator, vm_id = row.key.rpartition("/")
            if row.deleted or not separator:
                continue
            record = _record(row)
            if record is None:
                continue
            if vm_id == self._vm_id:
                self._keep_former(service, record)
                continue
            entries = [*_marked(record), *record.former]
            found += _uses(entries, now_ms, service, vm_id)
        self._is_read = True
        for service, former in self._former.items():
            found += _uses(former, now_ms, service, self._vm_id)
        return found

    def _keep_former(self, service: str, record: _Record) -> None:
        """Keep what earlier starts let pass: the next record replaces theirs."""
        if record.incarnation != self._incarnation:
            self._former[service] = [*_marked(record), *record.former]

    def _key(self, service: str) -> str:
        return f"{service}/{self._vm_id}"


def _record(row: StoredRow) -> _Record | None:
    try:
        return msgspec.json.decode(row.value, type=_Record)
    except msgspec.DecodeError as error:
        log_event(events.ROW_REJECTED, table=_TABLE, row=row.key, error=error)
        return None


def _young(entries: Iterable[_Entry], now_ms: int) -> list[_Entry]:
    return [entry for entry in entries if now_ms - entry.at_ms < _OLDEST_MS]


def _marked(record: _Record) -> list[_Entry]:
    """Return the entries of a record, each with the number of its start."""
    return [
        msgspec.structs.replace(entry, incarnation=record.incarnation)
        for entry in record.entries
    ]


def _uses(
    entries: Iterable[_Entry], now_ms: int, service: str, vm_id: str
) -> list[TokenUse]:
    return [
        TokenUse(
            entry.organisation,
            max(0, now_ms - entry.at_ms),
            entry.tokens,
            account_name(vm_id, entry.incarnation),
            entry.bound,
            service,
        )
        for entry in _young(entries, now_ms)
    ]
