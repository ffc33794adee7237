"""The record of endpoints that crashed under requests, in the platform's table."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import msgspec

from pomelolane import events
from pomelolane.logs import log_event
from pomelolane.ports import Write
from pomelolane.quarantine.book import CrashReport
from pomelolane.quarantine.record import RecordedCrash, RecordNews

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from pomelolane.ports import Clock, Row, Table

PREFIX = "crashes/"

PERIOD_S = 2.0
"""Pace of reads: the other VMs are told by those that found out, and a VM that none of
them reaches may send such a request for so long."""


class _Value(msgspec.Struct, omit_defaults=True):
    at_wall_ms: float
    # Only for an endpoint that does not state its start; the previous version's rows
    # lack it.
    endpoint_id: str = ""


class TableCrashRecord:
    """The :class:`~pomelolane.quarantine.CrashRecord` of the platform's table.

    Args:
        table: The table.
        wall: Time of day, which outlives a VM.
    """

    def __init__(self, table: Table, wall: Clock) -> None:
        self._table = table
        self._wall = wall
        self._known: frozenset[CrashReport] = frozenset()

    async def save(
        self, reports: Sequence[RecordedCrash], dropped: Sequence[CrashReport]
    ) -> None:
        """Add reports and take others out.

        Raises:
            PlatformError: It may not have been done.
        """
        now_ms = self._wall.now_ms()
        writes = [
            Write(
                _key(one.report),
                msgspec.json.encode(
                    _Value(now_ms - one.age_ms, one.report.endpoint_id)
                ),
                None,
            )
            for one in reports
        ]
        writes += [Write(_key(report), None, None) for report in dropped]
        await self._table.commit(writes, atomic=False)

    async def load(self) -> RecordNews:
        """Return all reports.

        Raises:
            PlatformError: They cannot be read.
        """
        rows = await self._table.scan(PREFIX)
        now_ms = self._wall.now_ms()
        ends = tuple(_crashes(rows, now_ms))
        present = frozenset(one.report for one in ends)
        cleared = tuple(self._known - present)
        self._known = present
        return RecordNews(ends, cleared)

    async def changes(self) -> RecordNews:
        """Return the reports a while after the last answer.

        Raises:
            PlatformError: They cannot be read.
        """
        await asyncio.sleep(PERIOD_S)
        return await self.load()


def _key(report: CrashReport) -> str:
    return f"{PREFIX}{report.fingerprint}/{report.endpoint_start}"


def _report(row: Row, endpoint_id: str) -> CrashReport:
    fingerprint, _, start = row.key.removeprefix(PREFIX).partition("/")
    return CrashReport(fingerprint, start, endpoint_id)


def _crashes(rows: Iterable[Row], now_ms: float) -> Iterable[RecordedCrash]:
    for row in rows:
        try:
            value = msgspec.json.decode(row.value, type=_Value)
        except msgspec.DecodeError as error:
            log_event(events.ROW_REJECTED, table=PREFIX, row=row.key, error=error)
            continue
        report = _report(row, value.endpoint_id)
        yield RecordedCrash(report, max(0.0, now_ms - value.at_wall_ms))
