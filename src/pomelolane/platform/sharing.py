"""One VM of each data centre reads a table for the others and passes changes on.

Nobody depends on it: who hears nothing for a while reads the table itself.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from pomelolane.membership import is_store_reader
from pomelolane.messages import RecordChange, WatchedChanges

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from pomelolane.platform.storeclient import StoreClient, StoredRow
    from pomelolane.ports import Clock, Membership, Peer, Transport


def local_time_ms(as_of_ms: float, store: StoreClient, clock: Clock) -> float:
    """Return a VM's own time at a moment of the store's clock, never later than now.

    Args:
        as_of_ms: The moment, 0 if unknown, which counts as now.
        store: Tells the store's clock.
        clock: The VM's own clock.
    """
    age_ms = max(0.0, store.now_ms() - as_of_ms) if as_of_ms else 0.0
    return clock.now_ms() - age_ms


class SharedReads:
    """This VM's part in the reads of one table.

    Args:
        table: The table.
        vm_id: This VM.
        data_centre: Where it stands.
        membership: Who is alive.
        transport: Way to the others.
        take: Called with what another VM has read.
    """

    def __init__(
        self,
        table: str,
        vm_id: str,
        data_centre: str,
        membership: Membership,
        transport: Transport,
        take: Callable[[WatchedChanges], None],
    ) -> None:
        self._table = table
        self._vm_id = vm_id
        self._data_centre = data_centre
        self._membership = membership
        self._transport = transport
        self._take = take
        transport.subscribe(WatchedChanges, self._heard)

    @property
    def is_reader(self) -> bool:
        """Whether this VM reads for the others of its data centre."""
        view = self._membership.view()
        return is_store_reader(self._vm_id, self._data_centre, view)

    def pass_on(
        self,
        after: int,
        version: int,
        rows: Iterable[StoredRow],
        state_hash: int,
        as_of_ms: float,
    ) -> None:
        """Tell the others of the data centre what was read.

        Args:
            after: Version after which the changes begin.
            version: Last version that they cover.
            rows: The changes.
            state_hash: Hash of what the table holds with them.
            as_of_ms: The store's clock at that version, 0 if unknown.
        """
        changes = tuple(
            RecordChange(r.key, r.value, r.deleted, r.version) for r in rows
        )
        message = WatchedChanges(
            self._table, after, version, changes, state_hash, as_of_ms
        )
        for peer in self._peers():
            if peer.vm_id != self._vm_id:
                self._transport.send(peer.vm_id, message)

    def _peers(self) -> list[Peer]:
        peers = self._membership.view().peers.values()
        return [peer for peer in peers if peer.data_centre == self._data_centre]

    def _heard(self, sender: str, message: WatchedChanges) -> None:
        del sender
        if message.source == self._table:
            self._take(message)
