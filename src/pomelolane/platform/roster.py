"""The VMs' own list of each other, kept in a table of the metadata store.

It says whom to try; who lives is told by heartbeats alone.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
import zmq

from pomelolane import events
from pomelolane.logs import log_event
from pomelolane.membership import ClusterKeys
from pomelolane.membership.keys import SHARED_NAME
from pomelolane.platform.errors import StoreUnavailableError
from pomelolane.ports import ListedVm

if TYPE_CHECKING:
    from collections.abc import Sequence

    from pomelolane.platform.storeclient import StoreClient, StoredRow
    from pomelolane.ports import Clock

TABLE = "vms"
_KEY_TABLE = "keys"
_KEY_ROW = "shared"
FIRST_READS = 3
"""Reads in a row after the start, while the others' rows come in."""

PERIOD_MS = 10_000.0
"""Age up to which a read is used again later; heartbeats spread news sooner."""


class _Entry(msgspec.Struct):
    data_centre: str
    address: str


class _KeyPair(msgspec.Struct):
    public: str
    private: str


async def shared_keys(store: StoreClient) -> ClusterKeys:
    """Return the VMs' common key pair, made by whichever VM comes first.

    Who may read the store's table is a VM of this system; nobody else can
    speak to the VMs.

    Raises:
        StoreUnavailableError: The store does not answer, or not with keys.
    """
    found = await _read_keys(store)
    if found is None:
        public, private = zmq.curve_keypair()
        made = _KeyPair(public.decode(), private.decode())
        rows = {_KEY_ROW: msgspec.json.encode(made)}
        await store.write(_KEY_TABLE, rows, only_new=True)
        found = await _read_keys(store)
    if found is None:
        raise StoreUnavailableError("the common keys were written and are not there")
    public_key = found.public.encode()
    return ClusterKeys(public_key, found.private.encode(), {SHARED_NAME: public_key})


async def _read_keys(store: StoreClient) -> _KeyPair | None:
    snapshot = await store.read(_KEY_TABLE)
    for row in snapshot.rows:
        if row.key == _KEY_ROW and not row.deleted:
            return _key_pair(row.value)
    return None


def _key_pair(value: bytes) -> _KeyPair:
    try:
        return msgspec.json.decode(value, type=_KeyPair)
    except msgspec.DecodeError as error:
        raise StoreUnavailableError(f"the common keys are no keys: {error}") from error


class VmRoster:
    """The :class:`~pomelolane.ports.VmList` of this project's VMs.

    Args:
        store: The store.
        clock: Time.
    """

    def __init__(self, store: StoreClient, clock: Clock) -> None:
        self._store = store
        self._clock = clock
        self._listed: tuple[ListedVm, ...] = ()
        self._reads = 0
        self._read_ms = 0.0

    async def enter(self, vm_id: str, data_centre: str, address: str) -> None:
        """Put this VM on the list.

        Raises:
            StoreUnavailableError: The store does not take it.
        """
        value = msgspec.json.encode(_Entry(data_centre, address))
        await self._store.write(TABLE, {vm_id: value})

    def vm_ids(self) -> list[str]:
        """Return the VMs on the list as last read, none before that."""
        return [listed.vm_id for listed in self._listed]

    async def read(self) -> Sequence[ListedVm]:
        """Return the list, which may be seconds old.

        Raises:
            StoreUnavailableError: It has never been read.
        """
        now_ms = self._clock.now_ms()
        is_young = now_ms - self._read_ms < PERIOD_MS
        if self._reads >= FIRST_READS and is_young:
            return self._listed
        try:
            snapshot = await self._store.read(TABLE)
        except StoreUnavailableError:
            # An older list still tells whom to try; the watches log the outage.
            if self._reads == 0:
                raise
            return self._listed
        self._reads += 1
        self._read_ms = now_ms
        listed = (_listed(row) for row in snapshot.rows if not row.deleted)
        self._listed = tuple(vm for vm in listed if vm is not None)
        return self._listed


def _listed(row: StoredRow) -> ListedVm | None:
    try:
        entry = msgspec.json.decode(row.value, type=_Entry)
    except msgspec.DecodeError as error:
        log_event(events.ROW_REJECTED, table=TABLE, row=row.key, error=error)
        return None
    return ListedVm(row.key, entry.data_centre, entry.address, leaving=False)
