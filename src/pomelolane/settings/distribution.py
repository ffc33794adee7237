"""Carries committed branches of the settings tree to every VM.

Delegates poll the table's change counter and pass branches on, a VM through
which a change was made sends it to all at once, and whoever hears of a higher
version than its own asks for it. Only higher versions are ever adopted.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Protocol

from pomelolane.events import TASK_FAILED
from pomelolane.exceptions import PlatformError, RateLimitedError
from pomelolane.logs import log_event
from pomelolane.messages import BranchContent, BranchWanted
from pomelolane.settings import rows
from pomelolane.settings.schema import PLATFORM_BRANCH

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Mapping

    from pomelolane.messages import Message
    from pomelolane.ports import Clock, Table, View
    from pomelolane.settings.store import SettingsStore

POLL_MS = 1000.0
POLL_MAX_MS = 5000.0
TICK_S = 0.1
ASK_AFTER_MS = 150.0
"""How long to wait for a branch that is probably on its way already."""

ASK_AGAIN_MS = 400.0
SETTLE_MS = 700.0
"""How long a starting VM without the platform listens for still higher versions.

It is longer than the interval of heartbeats, so every neighbour has spoken.
"""


class Peers(Protocol):
    """What the distribution needs of the membership."""

    is_delegate: bool
    data_centre: str

    def view(self) -> View:
        """Return the current view."""

    def local_peers(self) -> tuple[str, ...]:
        """Return the other live VMs of the own data centre."""

    def remote_delegates(self) -> tuple[str, ...]:
        """Return the known delegates of the other data centres."""

    def send(self, vm_id: str, message: Message) -> bool:
        """Queue a message without blocking."""

    def subscribe(
        self, kind: type[Message], handler: Callable[[str, Message], None]
    ) -> None:
        """Call the handler for each message of a kind."""

    def set_versions(self, versions: Mapping[str, int]) -> None:
        """Tell the others the versions in force here."""

    def on_versions(self, callback: Callable[[str, Mapping[str, int]], None]) -> None:
        """Call back with the versions that others have in force."""


@dataclass(slots=True)
class _Lag:
    """A branch of which others have a higher version.

    Attributes:
        due_ms: When to ask for it next.
        holders: Their versions by VM.
        turn: Counts the questions, so that each goes to another holder.
    """

    due_ms: float
    holders: dict[str, int] = field(default_factory=dict)
    turn: int = 0


class Distribution:
    """Holds the highest known version of each branch and spreads it.

    Nobody is told of any branch before the VM is in sync, so that no part of
    a tree and no old one is ever in force at a start.

    Args:
        table: The platform's table.
        store: The settings tree in it.
        peers: The other VMs.
        clock: Time source.
    """

    def __init__(
        self, table: Table, store: SettingsStore, peers: Peers, clock: Clock
    ) -> None:
        self._table = table
        self._store = store
        self._peers = peers
        self._clock = clock
        self._branches: dict[str, BranchContent] = {}
        self._lags: dict[str, _Lag] = {}
        self._counter = 0
        self._platform_read = False
        self._heard_ms: float | None = None
        self._synced = asyncio.Event()
        self._callbacks: list[Callable[[str, int, bytes], None]] = []
        self._tasks: list[asyncio.Task] = []
        peers.subscribe(BranchWanted, self._take_wanted)
        peers.subscribe(BranchContent, self._take_content)
        peers.on_versions(self._take_versions)

    @property
    def is_synced(self) -> bool:
        """Whether the platform was read or the peers' tree taken over."""
        return self._synced.is_set()

    async def wait_synced(self) -> None:
        """Wait until the tree is known from the platform or from peers."""
        await self._synced.wait()

    def on_change(self, callback: Callable[[str, int, bytes], None]) -> None:
        """Call ``callback(branch, version, content)`` for each adopted version."""
        self._callbacks.append(callback)

    def snapshot(self) -> dict[str, BranchContent]:
        """Return the highest known version of each branch."""
        return dict(self._branches)

    def versions(self) -> dict[str, int]:
        """Return the highest known version number of each branch."""
        return {name: each.version for name, each in self._branches.items()}

    def offer(self, branch: str, version: int, content: bytes) -> bool:
        """Take a version committed through this VM and send it to everybody.

        Returns:
            Whether it is higher than the one known.
        """
        offered = BranchContent(branch, version, content)
        if not self._adopt(offered):
            return False
        self._send_all(
            offered, (*self._peers.local_peers(), *self._peers.remote_delegates())
        )
        return True

    async def start(self) -> None:
        """Begin to follow the platform and the peers."""
        loop = asyncio.get_running_loop()
        self._tasks = [loop.create_task(self._poll()), loop.create_task(self._watch())]

    async def stop(self) -> None:
        """End it."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    # --- the platform -------------------------------------------------------

    async def _poll(self) -> None:
        delay_ms = POLL_MS
        while True:
            if self._peers.is_delegate or not self.is_synced:
                delay_ms = await self._poll_once(delay_ms)
            await asyncio.sleep(delay_ms / 1000.0)

    async def _poll_once(self, delay_ms: float) -> float:
        """Poll and return the delay until the next time."""
        try:
            await self.poll()
        except RateLimitedError as error:
            return max(float(error.retry_after_ms), min(delay_ms * 2, POLL_MAX_MS))
        except PlatformError:
            return min(delay_ms * 2, POLL_MAX_MS)
        except Exception as error:
            log_event(TASK_FAILED, task="settings poll", error=repr(error))
            return POLL_MAX_MS
        return POLL_MS

    async def poll(self) -> None:
        """Read the change counter, and the branches if it has grown.

        Raises:
            PlatformError: The table does not answer.
        """
        row = await self._table.read(rows.COUNTER_KEY)
        if row and row.version > self._counter:
            await self._fetch()
        self._platform_read = True
        self._check_synced()

    async def _fetch(self) -> None:
        snapshot = await self._store.snapshot()
        for each in snapshot.branches.values():
            found = BranchContent(each.branch, each.version, each.content)
            if self._adopt(found):
                self._send_all(found, self._peers.local_peers())
        self._counter = snapshot.counter

    # --- the peers ----------------------------------------------------------

    async def _watch(self) -> None:
        while True:
            self.tick()
            await asyncio.sleep(TICK_S)

    def tick(self) -> None:
        """Ask for what is missing; called every :data:`TICK_S`."""
        now_ms = self._clock.now_ms()
        self._forget_gone()
        for branch, lag in self._lags.items():
            if now_ms >= lag.due_ms:
                self._ask(branch, lag, now_ms)
        self._check_synced()

    def _ask(self, branch: str, lag: _Lag, now_ms: float) -> None:
        holders = sorted(lag.holders)
        holder = holders[lag.turn % len(holders)]
        lag.turn += 1
        lag.due_ms = now_ms + ASK_AGAIN_MS
        self._peers.send(holder, BranchWanted(branch, self._version_of(branch)))

    def _take_wanted(self, sender: str, wanted: BranchWanted) -> None:
        known = self._branches.get(wanted.branch)
        if known is not None and known.version > wanted.above_version:
            self._peers.send(sender, known)

    def _take_content(self, sender: str, content: BranchContent) -> None:
        if not self._adopt(content):
            return
        peer = self._peers.view().peers.get(sender)
        foreign = peer is None or peer.data_centre != self._peers.data_centre
        if foreign and self._peers.is_delegate:
            self._send_all(content, self._peers.local_peers())

    def _take_versions(self, vm_id: str, versions: Mapping[str, int]) -> None:
        now_ms = self._clock.now_ms()
        if versions and self._heard_ms is None:
            self._heard_ms = now_ms
        for branch, version in versions.items():
            if version > self._version_of(branch):
                lag = self._lags.setdefault(branch, _Lag(now_ms + ASK_AFTER_MS))
                lag.holders[vm_id] = version

    def _forget_gone(self) -> None:
        reachable = self._peers.view().peers
        for branch, lag in list(self._lags.items()):
            for vm_id in lag.holders.keys() - reachable.keys():
                del lag.holders[vm_id]
            if not lag.holders:
                del self._lags[branch]

    def _send_all(self, content: BranchContent, vm_ids: Iterable[str]) -> None:
        for vm_id in vm_ids:
            self._peers.send(vm_id, content)

    # --- what is held -------------------------------------------------------

    def _version_of(self, branch: str) -> int:
        known = self._branches.get(branch)
        return known.version if known is not None else 0

    def _adopt(self, offered: BranchContent) -> bool:
        if offered.version <= self._version_of(offered.branch):
            return False
        self._branches[offered.branch] = offered
        self._shorten_lag(offered)
        self._peers.set_versions(self.versions())
        if self.is_synced:
            self._tell(offered)
        return True

    def _shorten_lag(self, adopted: BranchContent) -> None:
        lag = self._lags.get(adopted.branch)
        if lag is None:
            return
        lag.holders = {
            vm_id: version
            for vm_id, version in lag.holders.items()
            if version > adopted.version
        }
        if not lag.holders:
            del self._lags[adopted.branch]

    def _check_synced(self) -> None:
        if self.is_synced or not (self._platform_read or self._peers_settled()):
            return
        self._synced.set()
        # The platform's own branch declares what the teams' branches refer to.
        first = sorted(self._branches, key=lambda name: (name != PLATFORM_BRANCH, name))
        for branch in first:
            self._tell(self._branches[branch])

    def _peers_settled(self) -> bool:
        if self._heard_ms is None or self._lags:
            return False
        return self._clock.now_ms() - self._heard_ms >= SETTLE_MS

    def _tell(self, adopted: BranchContent) -> None:
        for callback in self._callbacks:
            try:
                callback(adopted.branch, adopted.version, adopted.content)
            except Exception as error:
                log_event(TASK_FAILED, task="settings change", error=repr(error))


def make_distribution(
    table: Table, store: SettingsStore, peers: Peers, clock: Clock
) -> Distribution:
    """Build the distribution of one VM; call ``start()`` after the member's."""
    return Distribution(table, store, peers, clock)
