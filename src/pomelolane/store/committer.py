"""Group commit: one table write carries what many callers want written.

While one commit is in flight the next writes gather, so that commits a second
are bounded by the spacing and do not grow with the callers' rate.
"""

from __future__ import annotations

import asyncio
import contextlib
from collections import deque
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Protocol

from pomelolane.events import CLAIM_COMMITTED
from pomelolane.exceptions import (
    CommitUnknownError,
    PlatformError,
    PlatformUnavailableError,
    RateLimitedError,
)
from pomelolane.logs import log_event

if TYPE_CHECKING:
    from collections.abc import Sequence

    from pomelolane.ports import Clock, Table, Write, WriteResult

DEFAULT_SPACING_MS = 25.0
DEFAULT_LAZY_MS = 500.0
DEFAULT_PROBE_MS = 250.0
MAX_SPACING_MS = 400.0
MAX_BATCH = 500

_SPACING_GROWTH = 2.0
_SPACING_DECAY = 0.9
_HANG_MS = 500.0
_HANGS_ALLOWED = 1


class Committer(Protocol):
    """Commits single writes, each on its own condition."""

    def submit(self, write: Write, *, lazy: bool = False) -> PendingWrite:
        """Queue a write; a lazy one waits for company for a while."""


@dataclass(slots=True, eq=False)
class PendingWrite:
    """A write on its way.

    Attributes:
        write: What to write.
        future: Ends with the result, or with ``PlatformUnavailableError``
            (certainly not applied) or ``CommitUnknownError``.
        lazy: Whether it may wait for company.
        queued_at_ms: When it was queued.
        sent: Whether a commit with it is in flight.
    """

    write: Write
    future: asyncio.Future[WriteResult]
    lazy: bool
    queued_at_ms: float
    sent: bool = False

    def withdraw(self) -> bool:
        """Give the write up.

        Returns:
            True where it was certainly never applied.
        """
        if self.sent or self.future.done():
            return False
        self.future.set_exception(PlatformUnavailableError("withdrawn"))
        return True


@dataclass(slots=True)
class CommitCounters:
    """What a committer has done, for metrics.

    Attributes:
        commits: Commits sent.
        writes: Writes that they carried.
        rate_limited: Commits refused by the table's rate limit.
    """

    commits: int = 0
    writes: int = 0
    rate_limited: int = 0


@dataclass(slots=True)
class GroupCommitter:
    """Commits writes in groups, one commit in flight.

    Attributes:
        table: The platform's table.
        clock: Monotonic clock.
        spacing_ms: Least time between the starts of two commits; grows while
            the table's rate limit refuses and shrinks back afterwards.
        lazy_ms: How long a lazy write waits for an urgent one to ride with.
        probe_ms: After a failure, how long writes are turned away at once
            before one is let through to try again.
        max_batch: Most writes in one commit.
        counters: What it has done.
    """

    table: Table
    clock: Clock
    spacing_ms: float = DEFAULT_SPACING_MS
    lazy_ms: float = DEFAULT_LAZY_MS
    probe_ms: float = DEFAULT_PROBE_MS
    max_batch: int = MAX_BATCH
    counters: CommitCounters = field(default_factory=CommitCounters)
    _queue: deque[PendingWrite] = field(default_factory=deque)
    _urgent: asyncio.Event = field(default_factory=asyncio.Event)
    _task: asyncio.Task[None] | None = None
    _least_spacing_ms: float = 0.0
    _last_start_ms: float = float("-inf")
    _failed_at_ms: float | None = None
    _hangs: int = 0

    def __post_init__(self) -> None:
        self._least_spacing_ms = self.spacing_ms

    def submit(self, write: Write, *, lazy: bool = False) -> PendingWrite:
        """Queue a write; a lazy one waits for company for a while."""
        loop = asyncio.get_running_loop()
        pending = PendingWrite(write, loop.create_future(), lazy, self.clock.now_ms())
        if self._turned_away():
            pending.future.set_exception(PlatformUnavailableError("table is down"))
            return pending
        self._queue.append(pending)
        if not lazy or self._failed_at_ms is not None:
            self._urgent.set()
        if self._task is None:
            self._task = loop.create_task(self._run())
        return pending

    def set_spacing(self, spacing_ms: float) -> None:
        """Set the least time between the starts of two commits."""
        self._least_spacing_ms = spacing_ms
        self.spacing_ms = spacing_ms

    def _turned_away(self) -> bool:
        if self._failed_at_ms is None:
            return False
        if self._task is not None:
            return True
        return self.clock.now_ms() - self._failed_at_ms < self.probe_ms

    async def _run(self) -> None:
        try:
            while self._queue:
                await self._wait_until_due()
                batch = self._take_batch()
                if batch:
                    await self._commit(batch)
        except (Exception, asyncio.CancelledError):
            self._fail(list(self._queue), PlatformUnavailableError("stopped"))
            self._queue.clear()
            raise
        finally:
            self._task = None

    async def _wait_until_due(self) -> None:
        spaced_at_ms = self._last_start_ms + self.spacing_ms
        lazy_at_ms = self._queue[0].queued_at_ms + self.lazy_ms
        wait_ms = lazy_at_ms - self.clock.now_ms()
        if wait_ms > 0 and not self._urgent.is_set():
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._urgent.wait(), wait_ms / 1000.0)
        wait_ms = spaced_at_ms - self.clock.now_ms()
        if wait_ms > 0:
            await asyncio.sleep(wait_ms / 1000.0)

    def _take_batch(self) -> list[PendingWrite]:
        batch: list[PendingWrite] = []
        while self._queue and len(batch) < self.max_batch:
            pending = self._queue.popleft()
            if not pending.future.done():
                pending.sent = True
                batch.append(pending)
        if not any(not pending.lazy for pending in self._queue):
            self._urgent.clear()
        return batch

    async def _commit(self, batch: list[PendingWrite]) -> None:
        self._last_start_ms = self.clock.now_ms()
        self.counters.commits += 1
        self.counters.writes += len(batch)
        try:
            results = await self.table.commit(
                [pending.write for pending in batch], atomic=False
            )
        except RateLimitedError as error:
            self._put_back(batch, error)
        except PlatformError as error:
            self._note_failure(error)
            self._fail(batch, error)
        except BaseException:
            self._fail(batch, CommitUnknownError("stopped"))
            raise
        else:
            self._answer(batch, results)

    def _note_failure(self, error: PlatformError) -> None:
        # A reply that is lost at once is no outage; a table that hangs is.
        elapsed_ms = self.clock.now_ms() - self._last_start_ms
        if elapsed_ms >= _HANG_MS:
            self._hangs += 1
        unreachable = isinstance(error, PlatformUnavailableError)
        if unreachable or self._hangs > _HANGS_ALLOWED:
            self._failed_at_ms = self.clock.now_ms()

    def _put_back(self, batch: list[PendingWrite], error: RateLimitedError) -> None:
        self.counters.rate_limited += 1
        for pending in reversed(batch):
            pending.sent = False
            self._queue.appendleft(pending)
        grown_ms = self.spacing_ms * _SPACING_GROWTH
        self.spacing_ms = min(max(grown_ms, error.retry_after_ms), MAX_SPACING_MS)
        self._urgent.set()

    def _fail(self, batch: list[PendingWrite], error: PlatformError) -> None:
        for pending in batch:
            if not pending.future.done():
                pending.future.set_exception(error)

    def _answer(
        self, batch: list[PendingWrite], results: Sequence[WriteResult]
    ) -> None:
        self._failed_at_ms = None
        self._hangs = 0
        self.spacing_ms = max(self._least_spacing_ms, self.spacing_ms * _SPACING_DECAY)
        elapsed_ms = self.clock.now_ms() - self._last_start_ms
        log_event(CLAIM_COMMITTED, claims=len(batch), elapsed_ms=elapsed_ms)
        for pending, result in zip(batch, results, strict=True):
            if not pending.future.done():
                pending.future.set_result(result)
