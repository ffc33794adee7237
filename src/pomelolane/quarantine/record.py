"""Keeps reports where VMs find them that start later, or that no other VM reaches.

All VMs may lose power at one moment, and nothing else would know then what a request
has done.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol

from pomelolane import events
from pomelolane.exceptions import PlatformError
from pomelolane.logs import log_event
from pomelolane.quarantine.book import RETENTION_MS, CrashReport

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from pomelolane.quarantine.quarantine import Quarantine

GATHER_S = 0.01
"""How long reports are gathered into one write: all requests of an endpoint that
crashes break within a millisecond, and a VM that starts takes far longer."""

MOST_WRITTEN = 90
"""Reports in one write; the store takes 100 rows."""

PAUSE_S = 0.25
"""Time between two tries while the record cannot be reached: what it holds must be
known everywhere 3 s after an outage."""

LOOK_S = 0.5
"""How often a VM looks whether it is now the one that reads for its data centre."""

LOADED_S = 0.25
"""How long a VM that starts waits for the record at most; the store answers in a few
milliseconds, and callers wait."""


@dataclass(frozen=True, slots=True)
class RecordedCrash:
    """A report as it stands in the record.

    Attributes:
        report: The report.
        age_ms: How long ago it was made.
    """

    report: CrashReport
    age_ms: float


@dataclass(frozen=True, slots=True)
class RecordNews:
    """What has changed in the record.

    Attributes:
        crashes: Reports that stand there.
        cleared: Reports that were taken out.
    """

    crashes: Sequence[RecordedCrash] = ()
    cleared: Sequence[CrashReport] = ()


class CrashRecord(Protocol):
    """Where reports are kept."""

    async def save(
        self, reports: Sequence[RecordedCrash], dropped: Sequence[CrashReport]
    ) -> None:
        """Add reports and take others out.

        Raises:
            PlatformError: It may not have been done.
        """

    async def load(self) -> RecordNews:
        """Return all reports.

        Raises:
            PlatformError: They cannot be read.
        """

    async def changes(self) -> RecordNews:
        """Return what has changed since the last answer, waiting for it a while.

        Raises:
            PlatformError: It cannot be read.
        """


class RecordKeeper:
    """Writes what this VM finds out, and reads what others did.

    Args:
        record: Where reports are kept.
        quarantine: What is known here.
        is_reader: Returns whether this VM reads for its data centre.
        pass_on: Called with reports that were read and new here.
    """

    def __init__(
        self,
        record: CrashRecord,
        quarantine: Quarantine,
        is_reader: Callable[[], bool],
        pass_on: Callable[[Sequence[CrashReport]], None],
    ) -> None:
        self._record = record
        self._quarantine = quarantine
        self._is_reader = is_reader
        self._pass_on = pass_on
        self._unsaved: dict[CrashReport, None] = {}
        self._undropped: dict[CrashReport, None] = {}
        self._has_unsaved = asyncio.Event()
        self._is_loaded = asyncio.Event()
        self._is_failing = False
        quarantine.on_news(self._note)

    async def loaded(self) -> None:
        """Return when the record was read, or soon."""
        try:
            async with asyncio.timeout(LOADED_S):
                await self._is_loaded.wait()
        except TimeoutError:
            return

    async def write(self) -> None:
        """Write until cancelled."""
        while True:
            await self._has_unsaved.wait()
            await asyncio.sleep(GATHER_S)
            await self._write_some()

    async def read(self) -> None:
        """Read until cancelled: all at first, then as one for the data centre."""
        while True:
            if self._is_loaded.is_set() and not self._is_reader():
                await asyncio.sleep(LOOK_S)
                continue
            try:
                await self._read_some()
            except PlatformError as error:
                self._failed("read", error)
                await asyncio.sleep(PAUSE_S)
            else:
                self._is_failing = False

    # --- inside -----------------------------------------------------------

    def _note(
        self, reports: Sequence[CrashReport], cleared: Sequence[CrashReport]
    ) -> None:
        for report in cleared:
            self._unsaved.pop(report, None)
        self._unsaved.update(dict.fromkeys(reports))
        self._undropped.update(dict.fromkeys(cleared))
        self._has_unsaved.set()

    async def _write_some(self) -> None:
        reports = list(self._unsaved)[:MOST_WRITTEN]
        dropped = list(self._undropped)[: MOST_WRITTEN - len(reports)]
        crashes = []
        for report in reports:
            age_ms = self._quarantine.age_ms(report)
            if age_ms is not None:
                crashes.append(RecordedCrash(report, age_ms))
        try:
            if crashes or dropped:
                await self._record.save(crashes, dropped)
        except PlatformError as error:
            self._failed("write", error)
            await asyncio.sleep(PAUSE_S)
            return
        for report in reports:
            self._unsaved.pop(report, None)
        for report in dropped:
            self._undropped.pop(report, None)
        if not self._unsaved and not self._undropped:
            self._has_unsaved.clear()

    async def _read_some(self) -> None:
        if self._is_loaded.is_set():
            self._take(await self._record.changes())
            return
        self._take(await self._record.load())
        # Nobody's reports are on their way: what is read is all that is known.
        self._quarantine.review()
        self._is_loaded.set()

    def _take(self, news: RecordNews) -> None:
        young = [one for one in news.crashes if one.age_ms < RETENTION_MS]
        if len(young) < len(news.crashes):
            old = [one.report for one in news.crashes if one.age_ms >= RETENTION_MS]
            self._note((), old)
        found = [(one.report, one.age_ms) for one in young]
        self._pass_on(self._quarantine.take(found, news.cleared))

    def _failed(self, action: str, error: PlatformError) -> None:
        if not self._is_failing:
            log_event(events.CRASH_RECORD_FAILED, action=action, error=error)
        self._is_failing = True
