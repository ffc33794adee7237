"""Watch of the endpoints in the metadata store.

Endpoints write at every heartbeat, so their changes are fetched at a pace of our own.
"""

from __future__ import annotations

import asyncio
import contextlib
import math
import random
from typing import TYPE_CHECKING

import msgspec
import xxhash

from pomelolane import events
from pomelolane.logs import log_event
from pomelolane.platform.documents import endpoint_from_row
from pomelolane.platform.errors import (
    DocumentError,
    HistoryLostError,
    StoreUnavailableError,
)
from pomelolane.platform.goneentries import GoneEntries
from pomelolane.platform.sharing import (
    Knowledge,
    SharedReads,
    local_time_ms,
    make_news,
)
from pomelolane.platform.storeclient import StoredRow
from pomelolane.platform.trouble import StoreTrouble

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from pomelolane.forwarding import (
        CurrentConfiguration,
        EndpointDirectory,
    )
    from pomelolane.messages import WatchedChanges
    from pomelolane.model import Endpoint
    from pomelolane.platform.storeclient import StoreClient
    from pomelolane.ports import Clock, Membership, Transport

_ENDPOINT_TABLE = "servers"

ENDPOINT_PERIOD_S = 1.0
"""Pace of reads of endpoints: half of the time in which a leaving one must get
nothing more (2 s at the tightest)."""

_PERIOD_SPREAD = (0.9, 1.08)

SHARED_AGE_MS = 1_300
"""Age from which on a VM reads the endpoints itself: the longest pause of the one
that reads for it, and 0.2 s; with a read still well within the 2 s above."""

_BEHIND_AGE_MS = 1_450
"""Age from which on a VM asks other VMs: its own read has begun before."""

_LOST_BEHIND_AGE_MS = 1_000
"""The same while the store does not serve this VM."""

_MOST_GONE = 1_000
"""Endpoints that are remembered as gone, for VMs that ask what has changed."""

REFRESH_INTERVAL_S = 0.1
"""Shortest time between two reads that are asked for beside that pace."""

RETURN_GRACE_S = 2.5
"""How long a row may be missing after an outage: the registry's entries are
back within about two seconds of the store's return."""

FAILED_CALLS_OF_OUTAGE = 2
"""Calls in a row that fail in an outage; a single one may fail at any time."""

SHORTEST_OUTAGE_MS = 1_200
"""Time without an answer that counts as an outage; a row expires only after several
missed heartbeats."""

_ERROR_PAUSE_S = 0.5
"""Pause after an unexpected error, such as a lack of files: the next read is still
within the time in which a leaving endpoint must get nothing more."""

_OWN_READ_MS = 100
"""Time that a read of this VM's own may take, beside its pace."""


class EndpointWatch:
    """Keeps the directory of endpoints up to date.

    Args:
        store: The store.
        directory: Where endpoints are put.
        current: Names the services.
        clock: Time.
    """

    def __init__(
        self,
        store: StoreClient,
        directory: EndpointDirectory,
        current: CurrentConfiguration,
        clock: Clock,
    ) -> None:
        self._store = store
        self._directory = directory
        self._current = current
        self._clock = clock
        self._trouble = StoreTrouble("endpoints", clock)
        self._values: dict[str, bytes] = {}
        self._row_versions: dict[str, int] = {}
        self._endpoints: dict[str, Endpoint] = {}
        self._rejected: dict[str, str] = {}
        self._shared: SharedReads | None = None
        self._dropped_at_ms: dict[str, float] = {}
        self._gone = GoneEntries()
        self._era = 0
        self._grace_until_ms = 0.0
        self._silent_since_ms = 0.0
        self._heard_ms = clock.now_ms()
        self._shown_ms = -math.inf
        self._forgotten: list[str] = []
        self._changed_at: dict[str, int] = {}
        self._complete_since = math.inf
        self._as_of_ms = 0.0
        self._after = -1
        self._has_read = False
        self._version = 0
        self._on_regained: list[Callable[[], None]] = []
        self._on_came_back: list[Callable[[], None]] = []
        self._refresh_wanted = asyncio.Event()
        self._answered_elsewhere = asyncio.Event()
        directory.on_refresh(self._refresh_wanted.set)
        current.on_change(lambda _: self._guarded(self._decode_all))

    def on_regained(self, callback: Callable[[], None]) -> None:
        """Call back when the store answers again after an outage."""
        self._on_regained.append(callback)

    def on_came_back(self, callback: Callable[[], None]) -> None:
        """Call back when the store has come back from an older copy."""
        self._on_came_back.append(callback)

    def share(
        self, vm_id: str, data_centre: str, membership: Membership, transport: Transport
    ) -> None:
        """Read for the other VMs of the data centre, or let one of them do so."""
        self._shared = SharedReads(
            _ENDPOINT_TABLE, vm_id, data_centre, membership, transport, self
        )

    @property
    def knowledge(self) -> Knowledge:
        """What is known of the table."""
        return Knowledge(self._after, self._as_of_ms)

    @property
    def is_behind(self) -> bool:
        """Whether other VMs should be asked."""
        most_ms = _LOST_BEHIND_AGE_MS if self._trouble.is_lost else _BEHIND_AGE_MS
        return self._directory.age_ms > most_ms

    def changes_since(self, version: int) -> WatchedChanges | None:
        """Return the endpoints that changed beyond their heartbeat after a version.

        Args:
            version: The version, -1 for all endpoints.
        """
        if version < 0:
            keys = self._values.keys()
        elif version < self._complete_since:
            return None
        else:
            # What changed at the version itself may be newer, too: it is noticed late.
            keys = {key for key, at in self._changed_at.items() if at >= version}
        rows = [self._row(key) for key in keys]
        return make_news(
            _ENDPOINT_TABLE, version, self.knowledge, rows, self._state_hash()
        )

    def _row(self, key: str) -> StoredRow:
        value = self._values.get(key)
        version = self._row_versions.get(key, self._after)
        return StoredRow(key, version, value or b"", deleted=value is None)

    def take_shared(self, news: WatchedChanges, sender: str = "") -> None:
        """Take what another VM has read."""
        del sender
        self._guarded(self._take_shared, news)

    async def ask_others(self) -> None:
        """Ask other VMs whenever too little is known, until cancelled."""
        if self._shared is not None:
            await self._shared.run()

    async def run(self) -> None:
        """Watch until cancelled."""
        while True:
            try:
                await self._watch()
            except Exception as error:
                self._fail(error)
                self._refresh_wanted.clear()
                await asyncio.sleep(_ERROR_PAUSE_S)

    async def _watch(self) -> None:
        """Read, if it is time, and pause."""
        self._end_grace()
        fresh_s = self._fresh_s()
        if fresh_s > 0 and not self._refresh_wanted.is_set():
            await self._pause(fresh_s)
            return
        self._refresh_wanted.clear()
        pause_s = ENDPOINT_PERIOD_S * random.uniform(*_PERIOD_SPREAD)
        if not self._trouble.is_lost:
            self._silent_since_ms = self._last_good_ms()
        try:
            await self._step()
        except HistoryLostError:
            self._after = -1
        except StoreUnavailableError as error:
            is_reader = self._shared is None or self._shared.is_reader
            pause_s = self._trouble.failed(error, is_reader=is_reader)
            await self._pause_after_failure(pause_s)
        else:
            age_s = (self._clock.now_ms() - self._shown_ms) / 1000
            pause_s = max(REFRESH_INTERVAL_S, pause_s - age_s)
            await self._pause(pause_s, REFRESH_INTERVAL_S)

    def _guarded(self, act: Callable[..., None], *args: object) -> None:
        """Call a method; whoever has called back must not fail with it."""
        try:
            act(*args)
        except Exception as error:
            self._fail(error)

    def _fail(self, error: Exception) -> None:
        """Have the list read whole: what was done of a change is not known."""
        log_event(events.TASK_FAILED, task="endpoint watch", error=repr(error))
        self._after = -1
        self._refresh_wanted.set()

    async def _pause_after_failure(self, pause_s: float) -> None:
        """Pause until missing rows are forgotten or the store answers another VM."""
        self._answered_elsewhere.clear()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(min(pause_s, self._grace_left_s())):
                await self._answered_elsewhere.wait()

    async def _pause(self, pause_s: float, least_s: float = 0.0) -> None:
        """Pause until missing rows are forgotten or, not too soon, a read is wanted."""
        pause_s = min(pause_s, self._grace_left_s())
        least_s = min(pause_s, least_s)
        await asyncio.sleep(least_s)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(pause_s - least_s):
                await self._refresh_wanted.wait()

    def _grace_left_s(self) -> float:
        """Return the time until the first missing row is forgotten, if there is any.

        An endpoint that left must get nothing for longer than that.
        """
        if not self._dropped_at_ms:
            return math.inf
        next_ms = min(self._dropped_at_ms.values())
        return max(0.0, next_ms - self._clock.now_ms()) / 1000

    def _end_grace(self) -> None:
        if not self._grace_left_s():
            self._drop_missing(self._clock.now_ms())
            self._publish_unconfirmed()

    def _last_good_ms(self) -> float:
        """Return since when the store can have been silent for this VM.

        A VM for which another one reads knows of a silence only by its own calls: it
        receives nothing either where that one fails.
        """
        now_ms = self._clock.now_ms()
        own_period_ms = 1000 * ENDPOINT_PERIOD_S * max(_PERIOD_SPREAD)
        age_ms = now_ms - self._heard_ms
        shared = self._shared
        has_other_reader = shared is not None and (
            not shared.is_reader or age_ms > own_period_ms + _OWN_READ_MS
        )
        return now_ms if has_other_reader else now_ms - age_ms

    def _is_outage(self, failed_calls: int, at_ms: float) -> bool:
        """Return whether calls that failed until a moment count as an outage."""
        is_long = at_ms - self._silent_since_ms >= SHORTEST_OUTAGE_MS
        return is_long and failed_calls >= FAILED_CALLS_OF_OUTAGE

    def _kept_until_ms(self) -> float:
        """Return until when rows are kept that are gone by what another VM knows.

        The VM that reads for others keeps them, as after its own read: another one that
        was the first to read after an outage may have made fewer calls in it.
        """
        now_ms = self._clock.now_ms()
        is_reader = self._shared is not None and self._shared.is_reader
        if is_reader and self._is_outage(self._trouble.failed_calls, now_ms):
            return now_ms + 1000 * RETURN_GRACE_S
        return 0.0

    def _begin_grace(self, failed_calls: int, asked_ms: float) -> None:
        """Keep rows that are missing after an outage, as they may come back.

        Rows that were missing before are not kept any longer for it.

        Args:
            failed_calls: How many calls in a row have failed before.
            asked_ms: When the store was asked that has answered again.
        """
        if self._is_outage(failed_calls, asked_ms):
            self._grace_until_ms = self._clock.now_ms() + 1000 * RETURN_GRACE_S

    def _fresh_s(self) -> float:
        """Return for how long what another VM has read is young enough."""
        shared = self._shared
        if shared is None or self._after < 0 or self._trouble.is_lost:
            return 0.0
        if shared.is_reader:
            return 0.0
        return (SHARED_AGE_MS - self._directory.age_ms) / 1000

    def _take_shared(self, news: WatchedChanges) -> None:
        """Take what another VM has read, unless something is missing before it."""
        if not news.after <= self._after <= news.version:
            return
        whole = news.after < 0
        if self._trouble.is_lost:
            self._answered_elsewhere.set()
        rows: Sequence[StoredRow] = tuple(
            StoredRow(one.key, one.version or news.version, one.value, one.deleted)
            for one in news.changes
        )
        if whole:
            rows = self._differing(rows, news.version)
        self._after = self._version = news.version
        self._has_read = self._has_read or whole
        self._take(rows, whole=False, kept_until_ms=self._kept_until_ms())
        if self._state_hash() != news.state_hash:
            # Something was missed, such as a row that went and came back unchanged.
            self._after = -1
            self._refresh_wanted.set()
            self._publish_unconfirmed()
            return
        self._as_of_ms = news.as_of_ms
        self._publish(news.as_of_ms)

    def _differing(self, rows: Sequence[StoredRow], version: int) -> list[StoredRow]:
        """Return what another VM's whole list changes here.

        That VM may not have noticed yet that a row is missing: it does not bring back
        one that is missing here, and does not shorten the time for which it is kept.
        """
        missing = self._dropped_at_ms.keys()
        present = [
            row
            for row in rows
            if row.key not in missing
            and (
                row.key in self._values
                or row.version > self._changed_at.get(row.key, -1)
            )
        ]
        gone = self._values.keys() - {row.key for row in rows} - missing
        return present + [StoredRow(key, version, b"", deleted=True) for key in gone]

    def _state_hash(self) -> int:
        states = sorted(
            (key, one.leaving, one.born_ms) for key, one in self._endpoints.items()
        )
        return xxhash.xxh32_intdigest(msgspec.msgpack.encode(states))

    async def _step(self) -> None:
        after = self._after
        whole = after < 0
        asked_ms = self._clock.now_ms()
        if whole:
            snapshot = await self._store.read(_ENDPOINT_TABLE)
        else:
            snapshot = await self._store.changes(_ENDPOINT_TABLE, after, 0)
        failed_calls = self._trouble.failed_calls
        if self._trouble.succeeded(snapshot.version):
            self._begin_grace(failed_calls, asked_ms)
            for callback in self._on_regained:
                callback()
        self._look_at_era()
        if not after <= self._after <= snapshot.version:
            # Another VM has passed on a newer state while the answer was on its way, or
            # has shown that the list is to be read whole.
            return
        self._after = self._version = snapshot.version
        self._has_read = True
        changed = self._take(
            snapshot.rows, whole=whole, kept_until_ms=self._grace_until_ms
        )
        self._as_of_ms = snapshot.now_ms
        self._publish(snapshot.now_ms, asked_ms)
        if self._shared is not None and not whole and self._shared.is_reader:
            self._pass_on(after, changed, snapshot.now_ms)
        self._forgotten.clear()

    def _look_at_era(self) -> None:
        """Notice that the store has come back from an older copy."""
        before, self._era = self._era, self._store.era(_ENDPOINT_TABLE)
        if self._era == before:
            return
        self._gone.store_came_back()
        if before:
            for callback in self._on_came_back:
                callback()

    def _pass_on(
        self, after: int, changed: Sequence[StoredRow], as_of_ms: float
    ) -> None:
        """Tell the other VMs what changed, and which rows were forgotten.

        Rows that may yet come back are not reported as deleted.
        """
        forgotten = [
            StoredRow(key, self._after, b"", deleted=True)
            for key in self._forgotten
            if key not in self._values
        ]
        known = Knowledge(self._after, as_of_ms)
        rows = [*changed, *forgotten]
        self._shared.pass_on(
            make_news(_ENDPOINT_TABLE, after, known, rows, self._state_hash())
        )

    def _take(
        self, rows: Sequence[StoredRow], *, whole: bool, kept_until_ms: float
    ) -> list[StoredRow]:
        """Adopt rows; return those present that changed beyond their heartbeat.

        Args:
            rows: The rows.
            whole: Whether they are all that there are.
            kept_until_ms: Time until which rows are kept that are gone.
        """
        now_ms = self._clock.now_ms()
        gone = {row.key for row in rows if row.deleted}
        present = [row for row in rows if not row.deleted and not self._is_copied(row)]
        if whole:
            gone |= self._values.keys() - {row.key for row in present}
            self._complete_since = min(self._complete_since, self._version)
        changed = []
        for row in present:
            was_missing = self._dropped_at_ms.pop(row.key, None) is not None
            before = None if was_missing else self._endpoints.get(row.key)
            self._values[row.key] = row.value
            self._row_versions[row.key] = row.version
            self._decode(row.key)
            if self._endpoints.get(row.key) != before:
                changed.append(row)
                self._changed_at[row.key] = self._version
        for key in gone & self._values.keys():
            at_ms = max(now_ms, kept_until_ms)
            self._dropped_at_ms[key] = min(at_ms, self._dropped_at_ms.get(key, at_ms))
        self._drop_missing(now_ms)
        return changed

    def _is_copied(self, row: StoredRow) -> bool:
        """Return whether only an older copy of the store holds an entry."""
        configuration = self._current.value
        if row.key not in self._gone or configuration is None:
            return False
        try:
            endpoint = endpoint_from_row(row.key, row.value, configuration.services)
        except DocumentError:
            return False
        is_copied = self._gone.is_copied(row.key, row.value, endpoint.born_ms)
        if is_copied:
            self._reject(row.key, "it was removed before the store came back")
        return is_copied

    def _drop_missing(self, now_ms: float) -> None:
        """Forget the missing rows whose time is over."""
        due = [key for key, at_ms in self._dropped_at_ms.items() if at_ms <= now_ms]
        self._forgotten += due
        for key in due:
            del self._dropped_at_ms[key]
            self._values.pop(key, None)
            self._row_versions.pop(key, None)
            endpoint = self._endpoints.pop(key, None)
            if endpoint is not None:
                self._gone.add(key, endpoint.born_ms)
            self._rejected.pop(key, None)
            self._changed_at[key] = self._version
        gone = self._changed_at.keys() - self._values.keys()
        if len(gone) > _MOST_GONE:
            for key in gone:
                del self._changed_at[key]
            self._complete_since = self._version

    def _decode(self, key: str) -> None:
        configuration = self._current.value
        if configuration is None:
            # Nobody can say yet which services there are.
            return
        try:
            endpoint = endpoint_from_row(key, self._values[key], configuration.services)
        except Exception as error:
            # No entry may keep the others from being read, whatever it holds.
            self._endpoints.pop(key, None)
            is_expected = isinstance(error, DocumentError)
            self._reject(key, str(error) if is_expected else repr(error))
        else:
            self._endpoints[key] = endpoint
            self._rejected.pop(key, None)

    def _reject(self, key: str, error: str) -> None:
        """Tell of a wrong entry once; its writer may repeat it every second."""
        if self._rejected.get(key) == error:
            return
        self._rejected[key] = error
        log_event(
            events.ENDPOINT_REJECTED, endpoint=key, error=error, version=self._version
        )

    def _decode_all(self) -> None:
        """Read all rows anew: the configuration names the services."""
        for key in self._values:
            self._decode(key)
        self._publish_unconfirmed()

    def _publish(self, as_of_ms: float, read_from_ms: float = -math.inf) -> None:
        """Hand the directory the endpoints that the store has confirmed.

        Args:
            as_of_ms: The store's clock when it held them, 0 if unknown.
            read_from_ms: When the VM's own read began, if that confirms them.
        """
        self._heard_ms = self._clock.now_ms()
        shown_ms = local_time_ms(as_of_ms, self._store, self._clock)
        self._shown_ms = max(self._shown_ms, shown_ms)
        if self._has_read and self._current.value is not None:
            self._directory.replace(
                dict(self._endpoints),
                self._version,
                read_from_ms=read_from_ms,
                as_of_ms=self._shown_ms,
            )

    def _publish_unconfirmed(self) -> None:
        if self._has_read and self._current.value is not None:
            endpoints = dict(self._endpoints)
            self._directory.replace(endpoints, self._version, confirms=False)
