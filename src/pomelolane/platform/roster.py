"""The VMs' own list of each other, kept in a table of the metadata store.

It says whom to try; who lives is told by heartbeats alone.
"""

from __future__ import annotations

import asyncio
import random
from dataclasses import dataclass
from typing import TYPE_CHECKING, TypeVar

import msgspec
import zmq

from pomelolane import events
from pomelolane.logs import log_event
from pomelolane.membership import ClusterKeys
from pomelolane.membership.keys import SHARED_KEY_NAME
from pomelolane.platform.errors import StoreUnavailableError
from pomelolane.ports import ListedVm

if TYPE_CHECKING:
    from collections.abc import Sequence

    from pomelolane.platform.storeclient import StoreClient, StoredRow
    from pomelolane.ports import Clock

_Kind = TypeVar("_Kind")

TABLE = "vms"
_KEY_ROW = "/keys"
"""Row of the VMs' common key pair: no VM has such a name."""

_KEYS_SPREAD_S = 0.3
"""Time over which VMs of a fleet that starts for the first time offer a key pair: the
store writes a few hundred rows a second, and 200 VMs at once would wait for it."""

_FIRST_READS = 3
"""Reads of a VM that was not on the list until it takes the list for whole: others may
have started with it, and those that it hears of then tell it of the rest."""

_FIRST_PERIOD_MS = 500.0
"""Age up to which one of these reads is used again."""

PERIOD_MS = 10_000.0
"""The same for later reads; heartbeats spread news sooner."""

_RESTORE_PAUSE_S = 0.5
"""Pause after a call that failed as the list was to be restored."""


class _Entry(msgspec.Struct, frozen=True):
    data_centre: str
    address: str


class _KeyPair(msgspec.Struct):
    public: str
    private: str


@dataclass(frozen=True, slots=True)
class FirstContact:
    """What a starting VM learns of the store.

    Attributes:
        now_ms: The store's steady clock.
        keys: The VMs' common keys.
    """

    now_ms: int
    keys: ClusterKeys


class VmRoster:
    """The :class:`~pomelolane.ports.VmList` of this project's VMs.

    Who may read the store's table is a VM of this system: the keys that VMs prove to
    each other stand there too.

    Args:
        store: The store.
        clock: Time.
        vm_id: This VM.
        data_centre: Where it stands.
        address: ``ip:port`` at which other VMs reach it.
    """

    def __init__(
        self,
        store: StoreClient,
        clock: Clock,
        vm_id: str,
        data_centre: str,
        address: str,
    ) -> None:
        self._store = store
        self._clock = clock
        self._vm_id = vm_id
        self._own = _Entry(data_centre, address)
        self._entries: dict[str, _Entry] = {}
        self._keys: _KeyPair | None = None
        self._reads = 0
        self._first_reads = _FIRST_READS
        self._read_ms = 0.0
        self._came_back = asyncio.Event()

    async def first_contact(self) -> FirstContact:
        """Read the list and the keys, made by whichever VM comes first, and enter.

        A VM that starts again finds all in one call.

        Raises:
            StoreUnavailableError: The store does not answer, or not with keys.
        """
        now_ms = await self._read()
        if self._entries.get(self._vm_id) == self._own:
            self._first_reads = 1
        else:
            await self._enter()
        if self._keys is None:
            await asyncio.sleep(random.uniform(0.0, _KEYS_SPREAD_S))
            now_ms = await self._read()
        if self._keys is None:
            await self._offer_keys()
            now_ms = await self._read()
        if self._keys is None:
            raise StoreUnavailableError("the common keys were written and not found")
        public_key = self._keys.public.encode()
        private_key = self._keys.private.encode()
        keys = ClusterKeys(public_key, private_key, {SHARED_KEY_NAME: public_key})
        return FirstContact(int(now_ms), keys)

    def store_came_back(self) -> None:
        """Record that the store may have lost what VMs wrote there."""
        self._came_back.set()

    async def keep(self) -> None:
        """Write again what a store that came back has lost, until cancelled.

        VMs that start would make other keys, and know of none of those that run.
        """
        while True:
            await self._came_back.wait()
            self._came_back.clear()
            try:
                await self._restore()
            except StoreUnavailableError:
                self._came_back.set()
                await asyncio.sleep(_RESTORE_PAUSE_S)

    async def _restore(self) -> None:
        keys, self._keys = self._keys, None
        try:
            await self._read()
            if self._keys is None and keys is not None:
                await self._write_keys(keys)
        finally:
            self._keys = keys
        if self._entries.get(self._vm_id) != self._own:
            await self._enter()

    def vm_ids(self) -> list[str]:
        """Return the VMs on the list as last read, none before that."""
        return list(self._entries)

    async def read(self) -> Sequence[ListedVm]:
        """Return the list, which may be seconds old.

        Raises:
            StoreUnavailableError: It has never been read.
        """
        is_whole = self._reads >= self._first_reads
        period_ms = PERIOD_MS if is_whole else _FIRST_PERIOD_MS
        if self._reads == 0 or self._clock.now_ms() - self._read_ms >= period_ms:
            try:
                await self._read()
            except StoreUnavailableError:
                # An older list still tells whom to try; the watches log the outage.
                if self._reads == 0:
                    raise
        return tuple(
            ListedVm(vm_id, entry.data_centre, entry.address, leaving=False)
            for vm_id, entry in self._entries.items()
        )

    async def _read(self) -> float:
        """Read the table; return the store's clock."""
        snapshot = await self._store.read(TABLE)
        self._reads += 1
        self._read_ms = self._clock.now_ms()
        rows = {row.key: row for row in snapshot.rows if not row.deleted}
        key_row = rows.pop(_KEY_ROW, None)
        if key_row is not None:
            self._keys = _decoded(key_row, _KeyPair)
        entries = {key: _decoded(row, _Entry) for key, row in rows.items()}
        self._entries = {key: one for key, one in entries.items() if one is not None}
        return snapshot.now_ms

    async def _enter(self) -> None:
        value = msgspec.json.encode(self._own)
        await self._store.write(TABLE, {self._vm_id: value})

    async def _offer_keys(self) -> None:
        public, private = zmq.curve_keypair()
        await self._write_keys(_KeyPair(public.decode(), private.decode()))

    async def _write_keys(self, keys: _KeyPair) -> None:
        """Write the common keys, unless there are some."""
        rows = {_KEY_ROW: msgspec.json.encode(keys)}
        await self._store.write(TABLE, rows, only_new=True)


def _decoded(row: StoredRow, kind: type[_Kind]) -> _Kind | None:
    try:
        return msgspec.json.decode(row.value, type=kind)
    except msgspec.DecodeError as error:
        log_event(events.ROW_REJECTED, table=TABLE, row=row.key, error=error)
        return None
