"""Watch of the configuration in the metadata store.

It changes seldom and must be in force soon, so it is waited for: by one VM of each
data centre, which passes it on, and by each VM that hears nothing of that one.
"""

from __future__ import annotations

import asyncio
import contextlib
import random
from typing import TYPE_CHECKING

import xxhash

from pomelolane import events
from pomelolane.logallowance import LogAllowance
from pomelolane.logs import log_event
from pomelolane.platform.documents import configuration_from_json
from pomelolane.platform.errors import (
    DocumentError,
    HistoryLostError,
    StoreUnavailableError,
)
from pomelolane.platform.rolloutrecord import orders_from_rows
from pomelolane.platform.sharing import (
    Knowledge,
    SharedReads,
    local_time_ms,
    make_news,
    size_of_news,
)
from pomelolane.platform.storeclient import StoredRow
from pomelolane.platform.trouble import StoreTrouble

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from pomelolane.forwarding import Configuration, CurrentConfiguration
    from pomelolane.messages import WatchedChanges
    from pomelolane.platform.documents import LimitWindow
    from pomelolane.platform.seriespace import SeriesPace
    from pomelolane.platform.storeclient import StoreClient
    from pomelolane.ports import Clock, Membership, Transport
    from pomelolane.rollouts import RolloutOrder

_TABLE = "op"
_KEY = "config"
_STORE = "store"
"""Source of what this VM has read itself, in the log."""

_WAIT_SHARE = 0.3
"""Part of the time in which a configuration must be in force that a call waits for a
change. Each answer tells the other VMs that nothing was missed until then."""

_PATIENCE_SHARE = 0.45
"""Part of that time after which a VM that hears nothing asks itself: a call's wait, its
way, and the rest for an answer from the store and for putting it in force."""

_PATIENCE_SPREAD = 1.2
"""VMs that hear nothing ask one after the other: the first ones that hear again, from
the next VM that asks for all, need not ask."""

_MOST_PASSED_BYTES = 24_000
"""Documents that are larger when compressed are only announced, and each VM reads them
itself."""

_BEHIND_SHARE = 0.5
"""Part of that time after which a VM that has heard nothing asks other VMs: its own
call begins at about the same time, and may find the store in trouble."""

_LOST_BEHIND_SHARE = 0.3
"""The same of a VM that reads for others while the store does not serve it."""

_UNREAD_PAUSE_S = 0.1

_LOST_PAUSE_S = 0.3
_ERROR_PAUSE_S = 0.3
_ERRORS_LOGGED_PER_S = 0.1

_LOOK_S = 0.1
"""How often a VM looks whether it is now the one that asks for the others."""


class ConfigurationWatch:
    """Keeps the configuration in force up to date.

    Args:
        store: The store.
        current: Where configurations are put in force.
        clock: Time.
        limit_window: How organisations' use is counted.
        pace: How fast versions in series are taken.

    Attributes:
        on_orders: Called with orders to roll a version out, as they are read.
    """

    def __init__(
        self,
        store: StoreClient,
        current: CurrentConfiguration,
        clock: Clock,
        limit_window: LimitWindow,
        pace: SeriesPace,
    ) -> None:
        self._store = store
        self._limit_window = limit_window
        self._current = current
        self._clock = clock
        apply_ms = pace.apply_ms
        self._wait_ms = self._next_wait_ms = int(apply_ms * _WAIT_SHARE)
        spread = random.uniform(1.0, _PATIENCE_SPREAD)
        self._patience_ms = apply_ms * _PATIENCE_SHARE * spread
        self._apply_ms = apply_ms
        self._pace = pace
        self._trouble = StoreTrouble("configuration", clock)
        self._shared: SharedReads | None = None
        self._after = -1
        self._as_of_ms = 0.0
        self._rows: dict[str, StoredRow] = {}
        self._is_reading = False
        self._is_waiting = False
        self._has_lost_history = False
        self._document_hash = 0
        self._adopted_hash = 0
        self._refused_hash: int | None = None
        self._errors = LogAllowance(_ERRORS_LOGGED_PER_S, clock)
        self._orders: list[RolloutOrder] = []
        self._poll: asyncio.Task[None] | None = None
        self._is_wanted = asyncio.Event()
        self.on_orders: Callable[[list[RolloutOrder]], None] = _ignore_orders

    def share(
        self, vm_id: str, data_centre: str, membership: Membership, transport: Transport
    ) -> None:
        """Ask for the other VMs of the data centre, or let one of them do so."""
        self._shared = SharedReads(
            _TABLE, vm_id, data_centre, membership, transport, self
        )

    @property
    def knowledge(self) -> Knowledge:
        """What is known of the table."""
        return Knowledge(self._after, self._as_of_ms)

    @property
    def is_behind(self) -> bool:
        """Whether other VMs should be asked."""
        is_lost = self._trouble.is_lost and self._shared.is_reader
        share = _LOST_BEHIND_SHARE if is_lost else _BEHIND_SHARE
        return self._current.confirmation.age_ms > share * self._apply_ms

    def changes_since(self, version: int) -> WatchedChanges:
        """Return the rows that changed after a version, -1 for all rows."""
        rows = [row for row in self._rows.values() if row.version > version]
        return make_news(_TABLE, version, self.knowledge, rows, self._document_hash)

    async def ask_others(self) -> None:
        """Ask other VMs whenever too little is known, until cancelled."""
        if self._shared is not None:
            await self._shared.run()

    def refresh(self) -> None:
        """Ask anew: a call from before an outage may never be answered."""
        self._after = -1
        if self._poll is not None:
            self._poll.cancel()

    def ask_now(self) -> None:
        """Ask what there is, without waiting for a change."""
        if self._shared is not None:
            self._shared.ask()
        self._is_reading = False
        self._is_wanted.set()
        if self._poll is not None and self._is_waiting:
            self._poll.cancel()

    async def run(self) -> None:
        """Watch until cancelled."""
        while True:
            try:
                await self._read_or_wait()
            except Exception as error:
                self._log_error(error)
                # What was missed is found by reading the table whole.
                self._after = -1
                await self._pause(_ERROR_PAUSE_S)

    async def _read_or_wait(self) -> None:
        self._is_wanted.clear()
        fresh_s = self._fresh_s()
        if fresh_s > 0:
            self._is_reading = False
            await self._pause(min(fresh_s, _LOOK_S))
            return
        self._poll = asyncio.create_task(self._step())
        try:
            await asyncio.wait({self._poll})
        finally:
            self._poll.cancel()
        if self._poll.cancelled():
            return
        self._next_wait_ms = self._wait_ms
        try:
            pause_s = self._poll.result()
        except HistoryLostError:
            self._after = -1
            # A table may be read as of before the history that is left.
            if self._has_lost_history:
                await self._pause(_LOST_PAUSE_S * random.uniform(0.5, 1.0))
            self._has_lost_history = True
        except StoreUnavailableError as error:
            is_reader = self._shared is None or self._shared.is_reader
            pause_s = self._trouble.failed(error, is_reader=is_reader)
            await self._pause(pause_s)
        else:
            # The others hear again as soon as without the pause.
            self._next_wait_ms = max(0, self._wait_ms - int(1000 * pause_s))
            await self._pause(pause_s)

    async def _pause(self, pause_s: float) -> None:
        """Pause, unless somebody wants to know at once."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(pause_s):
                await self._is_wanted.wait()

    def _log_error(self, error: Exception) -> None:
        if self._errors.take() is not None:
            log_event(events.TASK_FAILED, task="configuration", error=repr(error))

    def _fresh_s(self) -> float:
        """Return for how long what another VM has told is young enough."""
        shared = self._shared
        if shared is None or self._after < 0 or shared.is_reader:
            return 0.0
        return (self._patience_ms - self._current.confirmation.age_ms) / 1000

    async def _step(self) -> float:
        """Read the table or wait for a change; return the pause until the next time."""
        after = self._after
        self._is_waiting = False
        if after < 0:
            snapshot = await self._store.read(_TABLE)
        else:
            # The first answer is for those who have heard nothing for a while.
            wait_ms = self._next_wait_ms if self._is_reading else 0
            self._is_waiting = wait_ms > 0
            snapshot = await self._store.changes(_TABLE, after, wait_ms)
            self._has_lost_history = False
        self._is_reading = True
        self._trouble.succeeded(snapshot.version)
        if not after <= self._after <= snapshot.version:
            # Another VM has passed on a newer state while the answer was on its way, or
            # has shown that the table is to be read whole.
            return 0.0
        if after < 0:
            self._rows.clear()
        self._adopt_rows(snapshot.rows, source=_STORE)
        self._confirm(snapshot.version, snapshot.now_ms)
        sent_bytes = 0
        if self._shared is not None and self._shared.is_reader:
            sent_bytes = self._pass_on(after, snapshot.rows, snapshot.now_ms)
        if self._current.value is None and after < 0:
            return _UNREAD_PAUSE_S
        if not snapshot.rows:
            return 0.0
        read_bytes = sum(len(row.value) for row in snapshot.rows)
        return self._pace.pause_s(read_bytes, sent_bytes)

    def _pass_on(self, after: int, rows: Sequence[StoredRow], as_of_ms: float) -> int:
        """Tell the other VMs what was read; return the bytes sent to all of them."""
        known = Knowledge(self._after, as_of_ms)
        news = make_news(_TABLE, after, known, rows, self._document_hash)
        size_bytes = size_of_news(news)
        sent_bytes = size_bytes * self._shared.count_listeners()
        if size_bytes > _MOST_PASSED_BYTES or not self._pace.may_send(sent_bytes):
            # What is left out must show: only the configuration's hash is compared.
            rows = [row for row in rows if row.key != _KEY]
            news = make_news(_TABLE, after, known, rows, self._document_hash)
            sent_bytes = 0
        self._shared.pass_on(news)
        return sent_bytes

    def take_shared(self, news: WatchedChanges, sender: str = "") -> None:
        """Take what another VM was told, unless something is missing before it."""
        if not news.after <= self._after <= news.version:
            return
        rows = tuple(
            StoredRow(one.key, one.version or news.version, one.value, one.deleted)
            for one in news.changes
        )
        self._adopt_rows(rows, source=sender)
        # Else it was too large to be passed on, or was read in another order.
        if self._document_hash == news.state_hash:
            self._confirm(news.version, news.as_of_ms)

    def _adopt_rows(self, rows: Sequence[StoredRow], source: str) -> None:
        """Adopt what rows hold; what is known is to be confirmed after it."""
        # The table is read whole if an error keeps anything of this from being taken.
        self._after = -1
        self._order(orders_from_rows(rows))
        for row in rows:
            self._rows[row.key] = row
            if row.key != _KEY or row.deleted:
                continue
            self._document_hash = xxhash.xxh32_intdigest(row.value)
            self._adopt(row, source)

    def _confirm(self, version: int, as_of_ms: float) -> None:
        """Note that all of the table's changes up to a version are adopted."""
        shown_ms = local_time_ms(as_of_ms, self._store, self._clock)
        self._current.confirm(shown_ms)
        self._after = version
        self._as_of_ms = as_of_ms

    def _order(self, orders: list[RolloutOrder]) -> None:
        """Pass orders on, with those that could not be passed on before."""
        self._orders += orders
        if not self._orders:
            return
        try:
            self.on_orders(self._orders)
        except Exception as error:
            self._log_error(error)
            # Of each service, only the last order counts.
            latest = {order.service: order for order in self._orders}
            self._orders = list(latest.values())
        else:
            self._orders = []

    def _adopt(self, row: StoredRow, source: str) -> None:
        try:
            configuration = configuration_from_json(row.value, self._limit_window)
        except DocumentError as error:
            if self._is_newly_refused():
                log_event(
                    events.CONFIGURATION_REJECTED, error=error, version=row.version
                )
            return
        before = self._current.value
        if self._current.adopt(configuration):
            self._adopted_hash = self._document_hash
            _log_applied(before, configuration, source)
        elif self._document_hash != self._adopted_hash and self._is_newly_refused():
            log_event(
                events.CONFIGURATION_OUTDATED,
                version=configuration.version,
                in_force=self._current.version,
            )

    def _is_newly_refused(self) -> bool:
        """Return whether the document is another one than was refused last."""
        before, self._refused_hash = self._refused_hash, self._document_hash
        return before != self._document_hash


def _ignore_orders(orders: list[RolloutOrder]) -> None:
    """Stand in until somebody wants to know."""


def _log_applied(before: Configuration | None, now: Configuration, source: str) -> None:
    log_event(
        events.CONFIGURATION_APPLIED,
        version=now.version,
        routes=len(now.routes),
        services=len(now.services),
        organisations=len(now.organisations),
        source=source,
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
