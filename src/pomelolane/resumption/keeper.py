"""Keeps the origins of open streams where they outlive all VMs.

Each VM saves its open streams together every second or more rarely. What has not been
saved before all VMs end is not known afterwards, and is refused.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol

from pomelolane import events
from pomelolane.exceptions import PlatformError
from pomelolane.logs import log_event
from pomelolane.resumption.records import MAX_RECORDS, OriginRecord

if TYPE_CHECKING:
    from collections.abc import Sequence

    from pomelolane.ports import Clock, Membership
    from pomelolane.resumption.exchange import OriginExchange
    from pomelolane.resumption.origin import StreamOrigin
    from pomelolane.resumption.records import OriginRecords

SAVE_PERIOD_S = 0.4
"""Shortest time between two saves of a VM, as store calls are paid for."""

SAVES_PER_S = 50
"""Saves of all VMs together; the store allows some hundreds of writes."""

LOAD_TIMEOUT_S = 0.25
"""Longest time that a starting VM waits for what was saved. The store answers in a few
milliseconds, and callers are waiting."""

_LOAD_RETRY_S = 0.5


@dataclass(frozen=True, slots=True)
class SavedOrigin:
    """The origin of one stream, as it is saved.

    Attributes:
        key: Key of the stream.
        origin: What began it.
        left_ms: Time for which its caller may resume it.
    """

    key: int
    origin: StreamOrigin
    left_ms: float


@dataclass(frozen=True, slots=True)
class SavedOrigins:
    """What was found in the storage.

    Attributes:
        own: What earlier starts of this VM have saved.
        others: What the other VMs have saved.
    """

    own: Sequence[SavedOrigin] = ()
    others: Sequence[SavedOrigin] = ()


class OriginStorage(Protocol):
    """Storage of the origins of streams, which outlives all VMs."""

    async def save(self, saved: Sequence[SavedOrigin]) -> None:
        """Replace what this VM has saved.

        Raises:
            PlatformError: It may not have been replaced.
        """

    async def load(self) -> SavedOrigins:
        """Return what all VMs have saved, but for what has expired.

        Raises:
            PlatformError: It cannot be read.
        """


class OriginKeeper:
    """Saves the streams of this VM, and loads those of all VMs at the start.

    Args:
        exchange: The streams that this VM has open.
        records: Gets what was loaded.
        storage: Where streams are saved.
        membership: The other VMs, which write there as well.
        clock: Source of the current time.
    """

    def __init__(
        self,
        exchange: OriginExchange,
        records: OriginRecords,
        storage: OriginStorage,
        membership: Membership,
        clock: Clock,
    ) -> None:
        self._exchange = exchange
        self._records = records
        self._storage = storage
        self._membership = membership
        self._clock = clock
        self._kept: dict[int, OriginRecord] = {}
        self._is_unsaved = False
        self._is_failing = False
        self._loaded = asyncio.Event()

    async def run(self) -> None:
        """Load once, then save until cancelled."""
        while True:
            if self._loaded.is_set():
                await self.save()
            else:
                # A save would replace what an earlier start of this VM has saved.
                await self.load()
            await asyncio.sleep(self._pause_s())

    async def wait_until_loaded(self) -> None:
        """Wait until the saved streams are known, or a timeout."""
        try:
            async with asyncio.timeout(LOAD_TIMEOUT_S):
                await self._loaded.wait()
        except TimeoutError:
            return

    def _pause_s(self) -> float:
        if not self._loaded.is_set():
            return _LOAD_RETRY_S
        vms = 1 + len(self._membership.view().peers)
        return max(SAVE_PERIOD_S, vms / SAVES_PER_S)

    async def load(self) -> None:
        """Load what all VMs have saved."""
        try:
            found = await self._storage.load()
        except PlatformError as error:
            self._note_failure(error)
            return
        self._is_failing = False
        now_ms = self._clock.now_ms()
        for one in found.own:
            self._kept[one.key] = OriginRecord(one.origin, now_ms + one.left_ms)
        for one in _consistent([*found.others, *found.own]):
            # What VMs have told since is newer.
            if self._records.find(one.key) is None:
                self._records.add(one.key, one.origin, one.left_ms)
        self._loaded.set()

    async def save(self) -> None:
        """Save the open streams if some of them are not saved yet."""
        opened = self._exchange.open_records()
        if not self._is_unsaved and opened.keys() <= self._kept.keys():
            return
        self._keep(opened)
        self._is_unsaved = True
        now_ms = self._clock.now_ms()
        saved = [
            SavedOrigin(key, record.origin, record.expires_ms - now_ms)
            for key, record in self._kept.items()
        ]
        try:
            await self._storage.save(saved)
        except PlatformError as error:
            self._note_failure(error)
        else:
            self._is_unsaved = self._is_failing = False

    def _keep(self, opened: dict[int, OriginRecord]) -> None:
        """Keep the open streams, and for as long as they may be resumed, earlier ones.

        Each VM loads what all have saved, so that the room is shared.
        """
        now_ms = self._clock.now_ms()
        earlier = {key: one for key, one in self._kept.items() if key not in opened}
        kept = [
            (key, record)
            for key, record in (earlier | opened).items()
            if record.expires_ms > now_ms
        ]
        vms = 1 + len(self._membership.view().peers)
        self._kept = dict(kept[-max(1, MAX_RECORDS // vms) :])

    def _note_failure(self, error: PlatformError) -> None:
        """Log the first of several failures."""
        if not self._is_failing:
            log_event(events.STORE_LOST, what="streams", error=error, age_ms=0)
        self._is_failing = True


def _consistent(found: Sequence[SavedOrigin]) -> list[SavedOrigin]:
    """Return what was saved, without streams that have two origins."""
    origins: dict[int, set[StreamOrigin]] = {}
    for one in found:
        origins.setdefault(one.key, set()).add(one.origin)
    return [one for one in found if len(origins[one.key]) == 1]
