"""Watches of the metadata store: the configuration and the endpoints.

The configuration is waited for, since it changes seldom and must be in force
soon. Endpoints write at every heartbeat, so their changes are fetched at a
pace of our own.
"""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING

from pomelolane import events
from pomelolane.logs import log_event
from pomelolane.platform.documents import configuration_from_json, endpoint_from_row
from pomelolane.platform.errors import (
    DocumentError,
    HistoryLostError,
    StoreUnavailableError,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from pomelolane.forwarding import (
        Configuration,
        CurrentConfiguration,
        EndpointDirectory,
    )
    from pomelolane.platform.documents import LimitWindow
    from pomelolane.platform.storeclient import Snapshot, StoreClient
    from pomelolane.ports import Clock

_CONFIGURATION_TABLE = "op"
_CONFIGURATION_KEY = "config"
_ENDPOINT_TABLE = "servers"

CONFIGURATION_WAIT_MS = 4_000
"""How long a call waits for a change; a silent store is noticed after that."""

ENDPOINT_PERIOD_S = 1.0
"""Pace of reads of endpoints: half of the time in which a leaving one must get
nothing more (2 s at the tightest)."""

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
        self._missing_since_ms: dict[str, float] = {}
        self._grace_until_ms = 0.0
        self._after = -1
        self._version = 0
        self._on_regained: list[Callable[[], None]] = []
        current.on_change(lambda _: self._publish())

    def on_regained(self, callback: Callable[[], None]) -> None:
        """Call back when the store answers again after an outage."""
        self._on_regained.append(callback)

    @property
    def is_read(self) -> bool:
        """Whether the table was read at least once."""
        return self._after >= 0

    async def run(self) -> None:
        """Watch until cancelled."""
        while True:
            pause_s = ENDPOINT_PERIOD_S * random.uniform(0.9, 1.1)
            try:
                await self._step()
            except HistoryLostError:
                self._after = -1
                continue
            except StoreUnavailableError as error:
                pause_s = self._trouble.failed(error)
            await asyncio.sleep(pause_s)

    async def _step(self) -> None:
        whole = self._after < 0
        if whole:
            snapshot = await self._store.read(_ENDPOINT_TABLE)
        else:
            snapshot = await self._store.changes(_ENDPOINT_TABLE, self._after, 0)
        if self._trouble.succeeded(snapshot.version):
            self._grace_until_ms = self._clock.now_ms() + RETURN_GRACE_S * 1000
            for callback in self._on_regained:
                callback()
        self._after = max(self._after, snapshot.version)
        self._version = snapshot.version
        self._take(snapshot, whole=whole)
        self._publish()

    def _take(self, snapshot: Snapshot, *, whole: bool) -> None:
        now_ms = self._clock.now_ms()
        gone = {row.key for row in snapshot.rows if row.deleted}
        present = {row.key: row.value for row in snapshot.rows if not row.deleted}
        if whole:
            gone |= self._values.keys() - present.keys()
        self._values.update(present)
        for key in present:
            self._missing_since_ms.pop(key, None)
        for key in gone & self._values.keys():
            self._missing_since_ms.setdefault(key, now_ms)
        # A row that lapsed while the store was away may come back soon.
        if now_ms >= self._grace_until_ms:
            for key in self._missing_since_ms:
                self._values.pop(key, None)
            self._missing_since_ms.clear()

    def _publish(self) -> None:
        configuration = self._current.value
        services = configuration.services if configuration is not None else {}
        endpoints = {}
        for key, value in self._values.items():
            try:
                endpoints[key] = endpoint_from_row(key, value, services)
            except DocumentError as error:
                log_event(
                    events.CONFIGURATION_REJECTED, error=error, version=self._version
                )
        if self.is_read:
            self._directory.replace(endpoints, self._version)


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
