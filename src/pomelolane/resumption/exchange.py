"""Copies records of streams to other VMs, and asks them for records.

A VM tells two others before it sends the first events of a stream, so that the record
outlives the VM. A VM whose caller resumes a stream asks those that should have it.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from itertools import count
from typing import TYPE_CHECKING

from pomelolane.messages import OriginTold, OriginWanted, StreamBegun
from pomelolane.resumption.holders import choose_holders
from pomelolane.resumption.origin import StreamOrigin
from pomelolane.resumption.records import OriginRecord

if TYPE_CHECKING:
    from pomelolane.ports import Clock, Membership, Peer, Transport, View
    from pomelolane.resumption.records import OriginRecords

COPIES = 2
"""Number of VMs that are told of a stream: one of them may end with the VM that began
it, and one data centre may be lost."""

ASKED_VMS = 5
"""Number of VMs that are asked: more than the copies, as two VMs may see different
others while some start or end."""

ANSWER_TIMEOUT_MS = 250
"""Longest time to wait for their answers, which take a few milliseconds. Callers leave
after two seconds without an event."""

Start = tuple[str, int]
"""A VM and the number of its start."""


@dataclass(slots=True)
class _OpenStream:
    """A stream that is being sent to its caller by this VM."""

    origin: StreamOrigin
    expires_ms: float
    told: set[Start] = field(default_factory=set)


@dataclass(slots=True)
class _Search:
    """A question to other VMs."""

    asked: set[str]
    found: asyncio.Future[StreamOrigin | None]


class OriginExchange:
    """This VM's part in keeping records of streams.

    Args:
        vm_id: Id of this VM.
        membership: Who is alive.
        transport: Sends messages to the other VMs.
        records: What this VM knows.
        clock: Source of the current time.
    """

    def __init__(
        self,
        vm_id: str,
        membership: Membership,
        transport: Transport,
        records: OriginRecords,
        clock: Clock,
    ) -> None:
        self._vm_id = vm_id
        self._membership = membership
        self._transport = transport
        self._records = records
        self._clock = clock
        self._open: dict[int, _OpenStream] = {}
        self._searches: dict[int, _Search] = {}
        self._numbers = count(1)
        membership.on_change(self._tell_new_holders)
        transport.subscribe(StreamBegun, self._handle_begun)
        transport.subscribe(OriginWanted, self._handle_wanted)
        transport.subscribe(OriginTold, self._handle_told)

    def begin(self, key: int, origin: StreamOrigin, left_ms: float) -> None:
        """Record a stream whose first events are about to be sent.

        Args:
            key: Key of the stream.
            origin: What began it.
            left_ms: Time for which its caller may resume it.
        """
        self._records.add(key, origin, left_ms)
        stream = _OpenStream(origin, self._clock.now_ms() + left_ms)
        self._open[key] = stream
        self._tell(key, stream, self._others())

    def end(self, key: int) -> None:
        """Record that this VM sends nothing more of a stream."""
        self._open.pop(key, None)

    def open_records(self) -> dict[int, OriginRecord]:
        """Return the records of the streams that this VM is sending."""
        return {
            key: OriginRecord(stream.origin, stream.expires_ms)
            for key, stream in self._open.items()
        }

    async def find(self, key: int) -> StreamOrigin | None:
        """Return what began a stream, None if no VM that was asked knows it."""
        record = self._records.find(key)
        if record is not None:
            return record.origin
        asked = choose_holders(key, self._others(), ASKED_VMS)
        if not asked:
            return None
        number = next(self._numbers)
        found = asyncio.get_running_loop().create_future()
        self._searches[number] = _Search({peer.vm_id for peer in asked}, found)
        try:
            for peer in asked:
                self._transport.send(peer.vm_id, OriginWanted(number, key))
            async with asyncio.timeout(ANSWER_TIMEOUT_MS / 1000):
                return await found
        except TimeoutError:
            return None
        finally:
            del self._searches[number]

    def _others(self) -> list[Peer]:
        peers = self._membership.view().peers.values()
        return [peer for peer in peers if peer.vm_id != self._vm_id]

    def _tell_new_holders(self, view: View) -> None:
        """Tell the VMs that take the place of holders which have ended."""
        del view
        others = self._others()
        for key, stream in self._open.items():
            self._tell(key, stream, others)

    def _tell(self, key: int, stream: _OpenStream, others: list[Peer]) -> None:
        left_ms = int(stream.expires_ms - self._clock.now_ms())
        if left_ms <= 0:
            return
        origin = stream.origin
        message = StreamBegun(key, left_ms, origin.service, origin.version)
        staying = [peer for peer in others if not peer.draining]
        for peer in choose_holders(key, staying, COPIES):
            start = peer.vm_id, peer.incarnation
            if start not in stream.told:
                stream.told.add(start)
                self._transport.send(peer.vm_id, message)

    def _handle_begun(self, sender: str, message: StreamBegun) -> None:
        del sender
        origin = StreamOrigin(message.service, message.version)
        self._records.add(message.key, origin, message.left_ms)

    def _handle_wanted(self, sender: str, message: OriginWanted) -> None:
        record = self._records.find(message.key)
        answer = OriginTold(message.number)
        if record is not None:
            origin = record.origin
            answer = OriginTold(message.number, origin.service, origin.version)
        self._transport.send(sender, answer)

    def _handle_told(self, sender: str, message: OriginTold) -> None:
        search = self._searches.get(message.number)
        if search is None or search.found.done():
            return
        search.asked.discard(sender)
        if message.version is not None:
            search.found.set_result(StreamOrigin(message.service, message.version))
        elif not search.asked:
            search.found.set_result(None)
