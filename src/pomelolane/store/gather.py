"""A few VMs of a data centre commit for all the others.

Table writes then follow neither the callers' rate nor the number of VMs. A
gatherer that stays silent is passed over: its batch counts as unknown, is
read back by whoever sent it, and is committed directly from there.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import TYPE_CHECKING

import xxhash

from pomelolane.events import GATHERER_SILENT
from pomelolane.exceptions import (
    CommitUnknownError,
    PlatformError,
    PlatformUnavailableError,
)
from pomelolane.logs import log_event
from pomelolane.membership import weight
from pomelolane.messages import (
    ClaimBatch,
    ClaimResults,
    RelayedResult,
    RelayedWrite,
)
from pomelolane.ports import Write, WriteResult
from pomelolane.store.committer import GroupCommitter, PendingWrite

if TYPE_CHECKING:
    from collections.abc import Sequence

    from pomelolane.ports import Clock, Membership, Peer, Transport, View

_MOST_RELAYED = 200
_RELAYED_PREFIXES = ("claims/", "jobs/")


@dataclass(frozen=True, slots=True)
class GatherSettings:
    """Settings of the gathering.

    Attributes:
        hold_ms: How long a VM collects writes before it sends them on.
        reply_timeout_ms: Silence after which a gatherer is passed over.
        distrust_ms: How long it is passed over then.
        second_from_vms: VMs of a data centre from which two of them gather.
        commits_per_s: Commits a second of all gatherers in view together.
        least_spacing_ms: Least time between two commits of one gatherer.
    """

    hold_ms: float = 2.0
    reply_timeout_ms: float = 1000.0
    distrust_ms: float = 3000.0
    second_from_vms: int = 6
    commits_per_s: float = 150.0
    least_spacing_ms: float = 25.0


@dataclass(frozen=True, slots=True)
class _Batch:
    gatherer: str
    pendings: Sequence[PendingWrite]
    timer: asyncio.TimerHandle


class GatheringCommitter:
    """Hands writes to the data centre's gatherer, or commits them itself.

    Args:
        core: Commits directly; for others too where this VM gathers.
        transport: Messages to other VMs.
        membership: Who is alive.
        vm_id: This VM.
        data_centre: Its data centre.
        clock: Monotonic clock.
        settings: Times and numbers.
    """

    def __init__(
        self,
        core: GroupCommitter,
        transport: Transport,
        membership: Membership,
        vm_id: str,
        data_centre: str,
        clock: Clock,
        settings: GatherSettings,
    ) -> None:
        self.core = core
        self._transport = transport
        self._membership = membership
        self._vm_id = vm_id
        self._data_centre = data_centre
        self._clock = clock
        self._settings = settings
        self._outbox: dict[bool, list[PendingWrite]] = {True: [], False: []}
        self._batches: dict[int, _Batch] = {}
        self._last_batch_id = 0
        self._distrusted_until_ms: dict[str, float] = {}
        self._answering: set[asyncio.Task[None]] = set()
        transport.subscribe(ClaimBatch, self._on_batch)
        transport.subscribe(ClaimResults, self._on_results)
        membership.on_change(self._on_view)
        self._on_view(membership.view())

    def submit(self, write: Write, *, lazy: bool = False) -> PendingWrite:
        """Queue a write; a lazy one waits for company for a while."""
        if write.value is None or self._gatherer() == self._vm_id:
            return self.core.submit(write, lazy=lazy)
        loop = asyncio.get_running_loop()
        pending = PendingWrite(write, loop.create_future(), lazy, self._clock.now_ms())
        self._outbox[lazy].append(pending)
        if len(self._outbox[lazy]) == 1:
            loop.call_later(self._settings.hold_ms / 1000.0, self._flush, lazy)
        return pending

    # --- sending

    def _gatherer(self) -> str:
        """Return who commits for this VM at this moment."""
        now_ms = self._clock.now_ms()
        gatherers = gatherers_of(
            self._membership.view(), self._data_centre, self._settings.second_from_vms
        )
        if not gatherers or self._vm_id in gatherers:
            return self._vm_id
        chosen = gatherers[_hash(self._vm_id) % len(gatherers)]
        if self._distrusted_until_ms.get(chosen, 0.0) > now_ms:
            return self._vm_id
        return chosen

    def _flush(self, lazy: bool) -> None:
        pendings = [each for each in self._outbox[lazy] if not each.future.done()]
        self._outbox[lazy] = []
        for first in range(0, len(pendings), _MOST_RELAYED):
            self._send(pendings[first : first + _MOST_RELAYED], lazy)

    def _send(self, pendings: Sequence[PendingWrite], lazy: bool) -> None:
        gatherer = self._gatherer()
        self._last_batch_id += 1
        batch_id = self._last_batch_id
        writes = tuple(_relayed(pending.write) for pending in pendings)
        if gatherer == self._vm_id or not self._transport.send(
            gatherer, ClaimBatch(batch_id, lazy, writes)
        ):
            self._commit_directly(pendings)
            return
        for pending in pendings:
            pending.sent = True
        timeout_ms = self._settings.reply_timeout_ms
        timeout_ms += self.core.lazy_ms if lazy else 0.0
        loop = asyncio.get_running_loop()
        timer = loop.call_later(timeout_ms / 1000.0, self._give_up, batch_id)
        self._batches[batch_id] = _Batch(gatherer, pendings, timer)

    def _commit_directly(self, pendings: Sequence[PendingWrite]) -> None:
        for pending in pendings:
            if pending.future.done():
                continue
            pending.sent = True
            direct = self.core.submit(pending.write, lazy=pending.lazy)
            direct.future.add_done_callback(
                lambda done, pending=pending: _pass_on(done, pending.future)
            )

    def _give_up(self, batch_id: int) -> None:
        batch = self._batches.pop(batch_id)
        self._distrust(batch.gatherer)
        log_event(GATHERER_SILENT, gatherer=batch.gatherer, writes=len(batch.pendings))
        for pending in batch.pendings:
            if not pending.future.done():
                pending.future.set_exception(CommitUnknownError("gatherer is silent"))

    def _distrust(self, gatherer: str) -> None:
        until_ms = self._clock.now_ms() + self._settings.distrust_ms
        self._distrusted_until_ms[gatherer] = until_ms

    def _on_results(self, sender: str, message: ClaimResults) -> None:
        batch = self._batches.get(message.batch_id)
        if batch is None or batch.gatherer != sender:
            return
        if len(message.results) != len(batch.pendings):
            return
        del self._batches[message.batch_id]
        batch.timer.cancel()
        turned_down: list[PendingWrite] = []
        for pending, result in zip(batch.pendings, message.results, strict=True):
            if result.unavailable:
                turned_down.append(pending)
            else:
                _settle(pending, result)
        if turned_down:
            # Perhaps only the gatherer is cut off from the table.
            self._distrust(sender)
            self._commit_directly(turned_down)

    # --- gathering

    def _on_batch(self, sender: str, message: ClaimBatch) -> None:
        pendings = [
            self.core.submit(
                Write(each.key, each.value, each.if_version), lazy=message.lazy
            )
            for each in message.writes
            if each.key.startswith(_RELAYED_PREFIXES)
        ]
        if len(pendings) != len(message.writes):
            return
        task = asyncio.get_running_loop().create_task(
            self._answer(sender, message.batch_id, pendings)
        )
        self._answering.add(task)
        task.add_done_callback(self._answering.discard)

    async def _answer(
        self, sender: str, batch_id: int, pendings: list[PendingWrite]
    ) -> None:
        results = await asyncio.gather(
            *(pending.future for pending in pendings), return_exceptions=True
        )
        relayed = tuple(_result_to_relay(result) for result in results)
        self._transport.send(sender, ClaimResults(batch_id, relayed))

    def _on_view(self, view: View) -> None:
        """Share the commits that the table bears among the gatherers."""
        data_centres = {peer.data_centre for peer in view.peers.values()}
        count = sum(
            len(gatherers_of(view, each, self._settings.second_from_vms))
            for each in data_centres
        )
        shared_ms = count * 1000.0 / self._settings.commits_per_s
        self.core.set_spacing(max(self._settings.least_spacing_ms, shared_ms))


def gatherers_of(view: View, data_centre: str, second_from_vms: int) -> list[str]:
    """Return the VMs that gather for a data centre, by rendezvous hashing."""
    peers = [
        peer
        for peer in view.peers.values()
        if peer.data_centre == data_centre and not peer.draining
    ]
    peers.sort(key=_place)
    count = 2 if len(peers) >= second_from_vms else 1
    return [peer.vm_id for peer in peers[:count]]


def make_gathering_committer(
    core: GroupCommitter,
    transport: Transport,
    membership: Membership,
    vm_id: str,
    data_centre: str,
    clock: Clock,
    settings: GatherSettings | None = None,
) -> GatheringCommitter:
    """Make a VM's part of the gathering; see :class:`GatheringCommitter`."""
    return GatheringCommitter(
        core,
        transport,
        membership,
        vm_id,
        data_centre,
        clock,
        settings or GatherSettings(),
    )


def _place(peer: Peer) -> tuple[int, str]:
    return weight("gather", peer.vm_id), peer.vm_id


def _hash(text: str) -> int:
    return xxhash.xxh3_64_intdigest(text.encode())


def _relayed(write: Write) -> RelayedWrite:
    return RelayedWrite(write.key, write.value or b"", write.if_version)


def _result_to_relay(result: WriteResult | BaseException) -> RelayedResult:
    if isinstance(result, WriteResult):
        return RelayedResult(applied=result.applied, version=result.version)
    if isinstance(result, PlatformUnavailableError):
        return RelayedResult(unavailable=True)
    return RelayedResult(unknown=True)


def _settle(pending: PendingWrite, result: RelayedResult) -> None:
    if pending.future.done():
        return
    if result.unknown:
        pending.future.set_exception(CommitUnknownError("the gatherer says so"))
    else:
        pending.future.set_result(
            WriteResult(pending.write.key, result.applied, result.version)
        )


def _pass_on(
    done: asyncio.Future[WriteResult], to: asyncio.Future[WriteResult]
) -> None:
    if to.done():
        return
    error = CommitUnknownError("stopped") if done.cancelled() else done.exception()
    if error is None:
        to.set_result(done.result())
    elif isinstance(error, PlatformError):
        to.set_exception(error)
    else:
        to.set_exception(CommitUnknownError(repr(error)))
