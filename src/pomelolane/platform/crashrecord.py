"""The record of endpoints that crashed under requests, in the metadata store.

Each report is a row of its own: VMs that write at one moment, or twice, need not know
of each other.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from pomelolane import events
from pomelolane.logs import log_event
from pomelolane.platform.errors import HistoryLostError
from pomelolane.quarantine import CrashReport, RecordedCrash, RecordNews

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from pomelolane.platform.storeclient import Snapshot, StoreClient, StoredRow

_TABLE = "crashes"
_SEPARATOR = "/"

WAIT_MS = 5_000
"""How long a call waits for a change. The other VMs are told by those that found out;
this is for a VM that none of them reaches."""


class _Row(msgspec.Struct, omit_defaults=True):
    # On the store's steady clock, which all VMs can tell.
    at_ms: int
    # Only for an endpoint that does not state its start; the previous version's rows
    # lack it.
    endpoint_id: str = ""


class StoreCrashRecord:
    """The :class:`~pomelolane.quarantine.CrashRecord` of the platform.

    Args:
        store: The store.
    """

    def __init__(self, store: StoreClient) -> None:
        self._store = store
        self._after = 0

    async def save(
        self, reports: Sequence[RecordedCrash], dropped: Sequence[CrashReport]
    ) -> None:
        """Add reports and take others out.

        Raises:
            StoreUnavailableError: It may not have been done.
        """
        now_ms = self._store.now_ms()
        rows = {
            _key(one.report): msgspec.json.encode(
                _Row(int(now_ms - one.age_ms), one.report.endpoint_id)
            )
            for one in reports
        }
        await self._store.write(_TABLE, rows, [_key(report) for report in dropped])

    async def load(self) -> RecordNews:
        """Return all reports.

        Raises:
            StoreUnavailableError: They cannot be read.
        """
        snapshot = await self._store.read(_TABLE)
        self._after = snapshot.version
        return _news(snapshot)

    async def changes(self) -> RecordNews:
        """Return what has changed since the last answer, waiting for it a while.

        Raises:
            StoreUnavailableError: It cannot be read.
        """
        try:
            snapshot = await self._store.changes(_TABLE, self._after, WAIT_MS)
        except HistoryLostError:
            return await self.load()
        self._after = max(self._after, snapshot.version)
        return _news(snapshot)


def _key(report: CrashReport) -> str:
    return f"{report.fingerprint}{_SEPARATOR}{report.endpoint_start}"


def _report(row: StoredRow, endpoint_id: str = "") -> CrashReport:
    fingerprint, _, endpoint_start = row.key.partition(_SEPARATOR)
    return CrashReport(fingerprint, endpoint_start, endpoint_id)


def _news(snapshot: Snapshot) -> RecordNews:
    cleared = [_report(row) for row in snapshot.rows if row.deleted]
    return RecordNews(tuple(_crashes(snapshot.rows, snapshot.now_ms)), cleared)


def _crashes(rows: Iterable[StoredRow], now_ms: float) -> Iterable[RecordedCrash]:
    for row in rows:
        if row.deleted:
            continue
        try:
            value = msgspec.json.decode(row.value, type=_Row)
        except msgspec.DecodeError as error:
            log_event(events.ROW_REJECTED, table=_TABLE, row=row.key, error=error)
            continue
        report = _report(row, value.endpoint_id)
        yield RecordedCrash(report, max(0.0, now_ms - value.at_ms))
