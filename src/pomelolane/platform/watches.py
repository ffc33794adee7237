"""Watches of the metadata store: the configuration and the endpoints.

The configuration is waited for, since it changes seldom and must be in force
soon. Endpoints write at every heartbeat, so their changes are fetched at a
pace of our own.
"""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING

import msgspec
import xxhash

from pomelolane import events
from pomelolane.logs import log_event
from pomelolane.platform.documents import configuration_from_json, endpoint_from_row
from pomelolane.platform.errors import (
    DocumentError,
    HistoryLostError,
    StoreUnavailableError,
)
from pomelolane.platform.sharing import SharedReads
from pomelolane.platform.storeclient import StoredRow

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from pomelolane.forwarding import (
        Configuration,
        CurrentConfiguration,
        EndpointDirectory,
    )
    from pomelolane.messages import WatchedChanges
    from pomelolane.model import Endpoint
    from pomelolane.platform.documents import LimitWindow
    from pomelolane.platform.storeclient import Snapshot, StoreClient
    from pomelolane.ports import Clock, Membership, Transport

_CONFIGURATION_TABLE = "op"
_CONFIGURATION_KEY = "config"
_ENDPOINT_TABLE = "servers"

CONFIGURATION_WAIT_MS = 4_000
"""How long a call waits for a change; a silent store is noticed after that."""

ENDPOINT_PERIOD_S = 1.0
"""Pace of reads of endpoints: half of the time in which a leaving one must get
nothing more (2 s at the tightest)."""

SHARED_AGE_MS = 1_300
"""Age from which on a VM reads the endpoints itself: the longest pause of the one
that reads for it, and 0.2 s; with a read still well within the 2 s above."""

RETURN_GRACE_S = 2.5
"""How long a row may be missing after an outage: the registry's entries are
back within about two seconds of the store's return."""

_FIRST_PAUSE_S = 0.1
_LONGEST_PAUSE_S = 0.5


class _Trouble:
    """Notes when the store is lost and regained, and how long to pause."""

    def __init__(self, what: str, clock: Clock) -> None:
        self._what = what
        self._clock = clock
        self._good_ms = clock.now_ms()
        self._pause_s = 0.0

    @property
    def is_lost(self) -> bool:
        return self._pause_s > 0

    def failed(self, error: Exception) -> float:
        """Return how long to pause before the next try."""
        if not self.is_lost:
            log_event(
                events.STORE_LOST,
                what=self._what,
                error=str(error),
                age_ms=self._clock.now_ms() - self._good_ms,
            )
        doubled = max(_FIRST_PAUSE_S, 2 * self._pause_s)
        self._pause_s = min(_LONGEST_PAUSE_S, doubled)
        return self._pause_s * random.uniform(0.5, 1.0)

    def succeeded(self, version: int) -> bool:
        """Note a good answer; True where the store was lost before it."""
        now_ms = self._clock.now_ms()
        was_lost = self.is_lost
        if was_lost:
            log_event(
                events.STORE_REGAINED,
                what=self._what,
                down_ms=now_ms - self._good_ms,
                version=version,
            )
        self._good_ms = now_ms
        self._pause_s = 0.0
        return was_lost


class ConfigurationWatch:
    """Keeps the configuration in force up to date.

    Args:
        store: The store.
        current: Where configurations are put in force.
        clock: Time.
        limit_window: How organisations' use is counted.
    """

    def __init__(
        self,
        store: StoreClient,
        current: CurrentConfiguration,
        clock: Clock,
        limit_window: LimitWindow,
    ) -> None:
        self._store = store
        self._limit_window = limit_window
        self._current = current
        self._trouble = _Trouble("configuration", clock)
        self._after = -1
        self._poll: asyncio.Task[None] | None = None

    def refresh(self) -> None:
        """Ask anew: a call from before an outage may never be answered."""
        self._after = -1
        if self._poll is not None:
            self._poll.cancel()

    async def run(self) -> None:
        """Watch until cancelled."""
        while True:
            self._poll = asyncio.create_task(self._step())
            try:
                await asyncio.wait({self._poll})
            finally:
                self._poll.cancel()
            if self._poll.cancelled():
                continue
            try:
                self._poll.result()
            except HistoryLostError:
                self._after = -1
            except StoreUnavailableError as error:
                await asyncio.sleep(self._trouble.failed(error))

    async def _step(self) -> None:
        if self._after < 0:
            snapshot = await self._store.read(_CONFIGURATION_TABLE)
        else:
            snapshot = await self._store.changes(
                _CONFIGURATION_TABLE, self._after, CONFIGURATION_WAIT_MS
            )
        self._trouble.succeeded(snapshot.version)
        self._take(snapshot)
        self._after = max(self._after, snapshot.version)
        if self._current.value is None:
            await asyncio.sleep(_FIRST_PAUSE_S)

    def _take(self, snapshot: Snapshot) -> None:
        for row in snapshot.rows:
            if row.key != _CONFIGURATION_KEY or row.deleted:
                continue
            try:
                configuration = configuration_from_json(row.value, self._limit_window)
            except DocumentError as error:
                log_event(
                    events.CONFIGURATION_REJECTED, error=error, version=row.version
                )
                continue
            before = self._current.value
            if self._current.adopt(configuration):
                _log_applied(before, configuration)


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
        self._trouble = _Trouble("endpoints", clock)
        self._values: dict[str, bytes] = {}
        self._endpoints: dict[str, Endpoint] = {}
        self._rejected: dict[str, str] = {}
        self._shared: SharedReads | None = None
        self._missing_since_ms: dict[str, float] = {}
        self._grace_until_ms = 0.0
        self._after = -1
        self._version = 0
        self._on_regained: list[Callable[[], None]] = []
        current.on_change(lambda _: self._decode_all())

    def on_regained(self, callback: Callable[[], None]) -> None:
        """Call back when the store answers again after an outage."""
        self._on_regained.append(callback)

    @property
    def is_read(self) -> bool:
        """Whether the table was read at least once."""
        return self._after >= 0

    def share(
        self, vm_id: str, data_centre: str, membership: Membership, transport: Transport
    ) -> None:
        """Read for the other VMs of the data centre, or let one of them do so."""
        take = self._take_shared
        self._shared = SharedReads(
            _ENDPOINT_TABLE, vm_id, data_centre, membership, transport, take
        )

    async def run(self) -> None:
        """Watch until cancelled."""
        while True:
            fresh_s = self._fresh_s()
            if fresh_s > 0:
                await asyncio.sleep(fresh_s)
                continue
            pause_s = ENDPOINT_PERIOD_S * random.uniform(0.9, 1.1)
            try:
                await self._step()
            except HistoryLostError:
                self._after = -1
                continue
            except StoreUnavailableError as error:
                pause_s = self._trouble.failed(error)
            await asyncio.sleep(pause_s)

    def _fresh_s(self) -> float:
        """Return for how long what another VM has read is young enough."""
        shared = self._shared
        if shared is None or not self.is_read or self._trouble.is_lost:
            return 0.0
        if shared.is_reader:
            return 0.0
        return (SHARED_AGE_MS - self._directory.age_ms) / 1000

    def _take_shared(self, news: WatchedChanges) -> None:
        """Take what another VM has read, unless something is missing before it."""
        is_next = self.is_read and news.after <= self._after <= news.version
        # After an outage the own read decides what has lapsed and what may return.
        if not is_next or self._trouble.is_lost:
            return
        rows = tuple(
            StoredRow(one.key, news.version, one.value, one.deleted)
            for one in news.changes
        )
        self._after = self._version = news.version
        self._take(rows, whole=False)
        if self._state_hash() != news.state_hash:
            # Something was missed, such as a row that went and came back unchanged.
            self._after = -1
            return
        self._publish()

    def _state_hash(self) -> int:
        states = sorted(
            (key, one.leaving, one.born_ms) for key, one in self._endpoints.items()
        )
        return xxhash.xxh32_intdigest(msgspec.msgpack.encode(states))

    async def _step(self) -> None:
        after = self._after
        whole = after < 0
        if whole:
            snapshot = await self._store.read(_ENDPOINT_TABLE)
        else:
            snapshot = await self._store.changes(_ENDPOINT_TABLE, after, 0)
        if self._trouble.succeeded(snapshot.version):
            self._grace_until_ms = self._clock.now_ms() + RETURN_GRACE_S * 1000
            for callback in self._on_regained:
                callback()
        self._after = max(self._after, snapshot.version)
        self._version = snapshot.version
        changed = self._take(snapshot.rows, whole=whole)
        self._publish()
        if self._shared is not None and not whole and self._shared.is_reader:
            self._shared.pass_on(after, self._after, changed, self._state_hash())

    def _take(self, rows: Sequence[StoredRow], *, whole: bool) -> list[StoredRow]:
        """Adopt rows; return those that changed in more than their heartbeat."""
        now_ms = self._clock.now_ms()
        gone = {row.key for row in rows if row.deleted}
        present = [row for row in rows if not row.deleted]
        if whole:
            gone |= self._values.keys() - {row.key for row in present}
        changed = [row for row in rows if row.deleted]
        for row in present:
            was_missing = self._missing_since_ms.pop(row.key, None) is not None
            before = None if was_missing else self._endpoints.get(row.key)
            self._values[row.key] = row.value
            self._decode(row.key)
            if self._endpoints.get(row.key) != before:
                changed.append(row)
        for key in gone & self._values.keys():
            self._missing_since_ms.setdefault(key, now_ms)
        self._drop_missing(now_ms)
        return changed

    def _drop_missing(self, now_ms: float) -> None:
        """Forget missing rows; one that lapsed in an outage may come back soon."""
        if now_ms < self._grace_until_ms:
            return
        for key in self._missing_since_ms:
            self._values.pop(key, None)
            self._endpoints.pop(key, None)
            self._rejected.pop(key, None)
        self._missing_since_ms.clear()

    def _decode(self, key: str) -> None:
        configuration = self._current.value
        if configuration is None:
            # Nobody can say yet which services there are.
            return
        try:
            endpoint = endpoint_from_row(key, self._values[key], configuration.services)
        except DocumentError as error:
            self._endpoints.pop(key, None)
            self._reject(key, str(error))
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
        self._publish(confirms=False)

    def _publish(self, *, confirms: bool = True) -> None:
        if self.is_read and self._current.value is not None:
            endpoints = dict(self._endpoints)
            self._directory.replace(endpoints, self._version, confirms=confirms)


def _log_applied(before: Configuration | None, now: Configuration) -> None:
    log_event(
        events.CONFIGURATION_APPLIED,
        version=now.version,
        routes=len(now.routes),
        services=len(now.services),
        organisations=len(now.organisations),
    )
    known = before.organisations if before is not None else {}
    for name, organisation in now.organisations.items():
        limits = organisation.limits
        if name in known and known[name].limits == limits:
            continue
        log_event(
            events.ORGANISATION_LIMIT,
            organisation=name,
            tokens_per_s=limits.tokens_per_s,
            burst_tokens=limits.burst_tokens,
            requests_per_s=limits.requests_per_s,
            version=now.version,
        )
