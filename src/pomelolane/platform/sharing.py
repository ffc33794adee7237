"""One VM of each data centre reads a table for the others and passes changes on.

Nobody depends on it: who hears nothing for a while reads the table itself, and asks
other VMs what they know. The store may serve them and not this one.
"""

from __future__ import annotations

import asyncio
import math
import random
from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol

from pomelolane.membership import is_store_reader, weight
from pomelolane.messages import ChangesWanted, RecordChange, WatchedChanges
from pomelolane.platform.compression import compress_changes, expand_changes

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from pomelolane.platform.storeclient import StoreClient, StoredRow
    from pomelolane.ports import Clock, Membership, Peer, Transport

_ASK_PERIOD_S = 0.3
"""How often a VM that knows nothing recent asks others; they answer in milliseconds."""

_WHOLE_PERIOD_S = 1.0
"""Shortest time between two questions for a whole table, which has many rows."""

_CANDIDATES = 4
"""VMs of the own data centre, and of others, of which one each is asked at a time."""


def local_time_ms(as_of_ms: float, store: StoreClient, clock: Clock) -> float:
    """Return a VM's own time at a moment of the store's clock, never later than now.

    Args:
        as_of_ms: The moment, 0 if unknown, which counts as now.
        store: Tells the store's clock.
        clock: The VM's own clock.
    """
    age_ms = max(0.0, store.now_ms() - as_of_ms) if as_of_ms else 0.0
    return clock.now_ms() - age_ms


@dataclass(frozen=True, slots=True)
class Knowledge:
    """What a VM knows of a table.

    Attributes:
        version: Version up to which it knows the table, -1 if not all of it.
        as_of_ms: The store's clock when that was the newest, 0 if unknown.
    """

    version: int
    as_of_ms: float


class TableWatch(Protocol):
    """A watch of one table that shares what it knows."""

    @property
    def knowledge(self) -> Knowledge:
        """What is known of the table."""

    @property
    def is_behind(self) -> bool:
        """Whether other VMs should be asked."""

    def take_shared(self, news: WatchedChanges, sender: str = "") -> None:
        """Take what another VM knows."""

    def changes_since(self, version: int) -> WatchedChanges | None:
        """Return what changed after a version, None if that is not known.

        Args:
            version: The version, -1 for all that there is.
        """


class SharedReads:
    """This VM's part in the reads of one table.

    Args:
        table: The table.
        vm_id: This VM.
        data_centre: Where it stands.
        membership: Who is alive.
        transport: Way to the others.
        watch: The watch of the table.
    """

    def __init__(
        self,
        table: str,
        vm_id: str,
        data_centre: str,
        membership: Membership,
        transport: Transport,
        watch: TableWatch,
    ) -> None:
        self._table = table
        self._vm_id = vm_id
        self._data_centre = data_centre
        self._membership = membership
        self._transport = transport
        self._watch = watch
        self._next_whole_s = -math.inf
        transport.subscribe(WatchedChanges, self._handle_changes)
        transport.subscribe(ChangesWanted, self._handle_wanted)

    @property
    def is_reader(self) -> bool:
        """Whether this VM reads for the others of its data centre."""
        view = self._membership.view()
        return is_store_reader(self._vm_id, self._data_centre, view)

    async def run(self) -> None:
        """Ask other VMs whenever the watch is behind, until cancelled."""
        while True:
            if self._watch.is_behind:
                self.ask()
            await asyncio.sleep(_ASK_PERIOD_S * random.uniform(0.9, 1.1))

    def ask(self) -> None:
        """Ask other VMs what they know."""
        known = self._watch.knowledge
        asked = self._choose_asked()
        if known.version < 0 and asked:
            now_s = asyncio.get_running_loop().time()
            if now_s < self._next_whole_s:
                return
            self._next_whole_s = now_s + _WHOLE_PERIOD_S
            asked = [random.choice(asked)]
        question = ChangesWanted(self._table, known.version, known.as_of_ms)
        for peer in asked:
            self._transport.send(peer.vm_id, question)

    def pass_on(self, news: WatchedChanges) -> None:
        """Tell the other VMs of the data centre what was read."""
        for vm_id in self._listeners():
            self._transport.send(vm_id, news)

    def count_listeners(self) -> int:
        """Return how many VMs are told what this one has read."""
        return len(self._listeners())

    def _listeners(self) -> list[str]:
        return [
            peer.vm_id
            for peer in self._membership.view().peers.values()
            if peer.data_centre == self._data_centre and peer.vm_id != self._vm_id
        ]

    def _choose_asked(self) -> list[Peer]:
        """Choose one VM of the own data centre and one of another one."""
        peers = self._membership.view().peers.values()
        others = [
            peer
            for peer in peers
            if peer.vm_id != self._vm_id and peer.ready and not peer.draining
        ]
        # Few links are opened if the same VMs are asked again.
        others.sort(key=lambda one: weight(self._vm_id, one.vm_id))
        near = [one for one in others if one.data_centre == self._data_centre]
        far = [one for one in others if one.data_centre != self._data_centre]
        groups = [group[:_CANDIDATES] for group in (near, far) if group]
        return [random.choice(group) for group in groups]

    def _handle_wanted(self, sender: str, message: ChangesWanted) -> None:
        if message.source != self._table:
            return
        known = self._watch.knowledge
        is_later = known.as_of_ms > message.as_of_ms and known.version >= message.after
        if known.version < 0 or not is_later:
            return
        news = self._watch.changes_since(message.after)
        if news is not None:
            self._transport.send(sender, news)

    def _handle_changes(self, sender: str, message: WatchedChanges) -> None:
        if message.source == self._table:
            self._watch.take_shared(expand_changes(message), sender)


def make_news(
    table: str,
    after: int,
    known: Knowledge,
    rows: Iterable[StoredRow],
    state_hash: int,
) -> WatchedChanges:
    """Return the message with changes of a table.

    Args:
        table: The table.
        after: Version after which the changes begin, -1 if the rows are all there are.
        known: What the sender knows of the table.
        rows: The changes.
        state_hash: Hash of what the table holds with them.
    """
    changes = [RecordChange(r.key, r.value, r.deleted, r.version) for r in rows]
    plain, compressed = compress_changes(changes)
    return WatchedChanges(
        table, after, known.version, plain, state_hash, known.as_of_ms, compressed
    )


def size_of_news(news: WatchedChanges) -> int:
    """Return the bytes of the values in a message."""
    changes: Sequence[RecordChange] = news.changes + news.compressed
    return sum(len(change.value) for change in changes)
