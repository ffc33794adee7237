"""The one client of the platform's metadata store."""

from __future__ import annotations

import asyncio
import base64
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any
from urllib.parse import urlencode

import msgspec

from pomelolane.clock import MonotonicClock
from pomelolane.endpoints import ConnectionPool
from pomelolane.exceptions import EndpointBrokenError, EndpointRefusedError
from pomelolane.forwarding.metrics import count_store_call
from pomelolane.platform.errors import HistoryLostError, StoreUnavailableError

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

CALL_TIMEOUT_S = 1.0
"""Bound on a call; the store answers in milliseconds unless it is in trouble, and
what it says after an outage must be known within 3 s of its return."""

CONNECT_TIMEOUT_MS = 500
"""Bound on connecting: half of a call's."""

MAX_IDLE_MS = 60_000
"""Idle connections are kept for as long as the store does; before one is used
again, a look at its socket tells whether the store has closed it."""

_ERA = b"store-era"
"""Header whose number rises when the store comes back from an older copy."""

_PAGE_ROWS = 500
_HISTORY_GONE = 410
_CONFLICT = 412


class _Row(msgspec.Struct):
    key: str
    # Counter value of the transaction that wrote the row, not a count of the
    # row's own changes.
    ver: int = 0
    # Text that encodes bytes, if a right-minded writer wrote it.
    value: Any = ""
    # Set where the row was deleted.
    tombstone: bool = False


class _Rows(msgspec.Struct, rename="camel"):
    rows: tuple[_Row, ...] = ()
    has_more: bool = False
    # Newest version of the whole store.
    ver: int = 0
    now_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class _Answer:
    """A successful answer.

    Attributes:
        era: Number of the store's numbering of versions, 0 where it tells none.
        data: The body.
    """

    era: int
    data: bytes


@dataclass(frozen=True, slots=True)
class StoredRow:
    """A row, or the mark that it was deleted.

    Attributes:
        key: Its key.
        version: Version of the store at its last change.
        value: Its bytes, none where they cannot be read.
        deleted: Whether it is no more.
    """

    key: str
    version: int
    value: bytes
    deleted: bool = False


@dataclass(frozen=True, slots=True)
class TableRow:
    """A row of a table's unnamed part, as a transaction names it.

    Attributes:
        table: The table.
        key: Its key.
        value: Its bytes, to be written.
        version: The version that it must have, 0 for none.
    """

    table: str
    key: str
    value: bytes = b""
    version: int = 0


@dataclass(frozen=True, slots=True)
class Snapshot:
    """Rows of a table.

    Attributes:
        rows: The rows, with all changes up to a version; some may be newer.
        version: That version.
        now_ms: The store's steady clock at that version.
    """

    rows: tuple[StoredRow, ...]
    version: int
    now_ms: float


class StoreClient:
    """Calls the store over HTTP.

    Args:
        address: ``ip:port`` of the store.

    Attributes:
        calls: Calls made so far.
    """

    def __init__(self, address: str) -> None:
        self._address = address
        self._pool = ConnectionPool(
            connect_timeout_ms=CONNECT_TIMEOUT_MS, max_idle_ms=MAX_IDLE_MS
        )
        self.calls = 0
        self._eras: dict[str, int] = {}
        self._clock = MonotonicClock()
        self._ahead_ms = 0.0

    def now_ms(self) -> float:
        """Return the store's steady clock, as far as its answers have told it."""
        return self._clock.now_ms() + self._ahead_ms

    async def read(self, table: str) -> Snapshot:
        """Read all rows of a table's unnamed part.

        Raises:
            StoreUnavailableError: No answer, or a refusal.
        """
        rows: list[StoredRow] = []
        start = ""
        first: _Rows | None = None
        # Versions of another numbering than that of the first page are unknown here.
        self._eras.pop(table, None)
        while True:
            query = {"table": table, "part": "", "limit": str(_PAGE_ROWS)}
            if start:
                query["from"] = start
            era, page = await self._get("/rows-get", query, CALL_TIMEOUT_S)
            self._eras.setdefault(table, era)
            rows.extend(_stored(row) for row in page.rows)
            first = first or page
            if not page.has_more or not page.rows:
                # Pages show different moments; what changed after the first one is yet
                # to be read.
                return Snapshot(tuple(rows), first.ver, first.now_ms)
            start = page.rows[-1].key + "\0"

    async def read_row(self, table: str, key: str) -> tuple[StoredRow | None, float]:
        """Read one row of a table's unnamed part, and the store's steady clock.

        Returns:
            The row, None if there is none, and the clock in ms.

        Raises:
            StoreUnavailableError: No answer, or a refusal.
        """
        query = {"table": table, "part": "", "limit": "1", "from": key}
        _, page = await self._get("/rows-get", query, CALL_TIMEOUT_S)
        found = [_stored(row) for row in page.rows if row.key == key]
        row = next((row for row in found if not row.deleted), None)
        return row, page.now_ms

    async def changes(self, table: str, after: int, wait_ms: int) -> Snapshot:
        """Return the rows that changed after a version, waiting for the first.

        Raises:
            StoreUnavailableError: No answer, or a refusal.
            HistoryLostError: The store no longer knows, or has come back from an older
                copy and gives versions out again; read the table whole.
        """
        query = {"table": table, "after": str(after), "waitMs": str(wait_ms)}
        timeout_s = CALL_TIMEOUT_S + wait_ms / 1000
        era, page = await self._get("/rows-feed", query, timeout_s)
        if self._eras.setdefault(table, era) != era:
            raise HistoryLostError(table)
        return Snapshot(tuple(_stored(r) for r in page.rows), page.ver, page.now_ms)

    async def write(
        self,
        table: str,
        values: Mapping[str, bytes],
        deletes: Sequence[str] = (),
        *,
        only_new: bool = False,
    ) -> bool:
        """Write and delete rows of a table's unnamed part in one transaction.

        Args:
            table: The table.
            values: Rows to write, by key.
            deletes: Keys of rows to delete.
            only_new: Write nothing if one of the rows to write is there.

        Returns:
            Whether the condition held.

        Raises:
            StoreUnavailableError: It may or may not have been done.
        """
        writes = [TableRow(table, key, value) for key, value in values.items()]
        expected = [TableRow(table, key) for key in values] if only_new else []
        deleted = [TableRow(table, key) for key in deletes]
        return await self.transact(writes, expected, deleted)

    async def transact(
        self,
        writes: Sequence[TableRow],
        expected: Sequence[TableRow] = (),
        deletes: Sequence[TableRow] = (),
    ) -> bool:
        """Change rows of unnamed parts in one transaction.

        Args:
            writes: Rows to write.
            expected: Rows that must have these versions, 0 for none.
            deletes: Rows to delete.

        Returns:
            Whether the condition held.

        Raises:
            StoreUnavailableError: It may or may not have been done.
        """
        body = {
            "expected": [_named(row) | {"ver": row.version} for row in expected],
            "writes": [
                _named(row) | {"value": base64.b64encode(row.value).decode()}
                for row in writes
            ],
            "deletes": [_named(row) for row in deletes],
        }
        try:
            await self._call("POST", "/rows-tx", {}, CALL_TIMEOUT_S, body)
        except StoreUnavailableError as error:
            if error.status == _CONFLICT:
                return False
            raise
        return True

    def close(self) -> None:
        """Close the connections."""
        self._pool.close()

    async def _get(
        self, path: str, query: dict[str, str], timeout_s: float
    ) -> tuple[int, _Rows]:
        begun_ms = self._clock.now_ms()
        answer = await self._call("GET", path, query, timeout_s)
        try:
            rows = msgspec.json.decode(answer.data, type=_Rows)
        except msgspec.DecodeError as error:
            raise StoreUnavailableError(f"{path}: {error}") from error
        self._note_clock(rows.now_ms, begun_ms)
        return answer.era, rows

    def _note_clock(self, store_ms: float, begun_ms: float) -> None:
        """Correct the store's clock by as little as an answer requires.

        The answer was made between the beginning of the call and now.
        """
        least_ms = store_ms - self._clock.now_ms()
        most_ms = store_ms - begun_ms
        self._ahead_ms = min(max(self._ahead_ms, least_ms), most_ms)

    async def _call(
        self,
        method: str,
        path: str,
        query: dict[str, str],
        timeout_s: float,
        body: object = None,
    ) -> _Answer:
        self.calls += 1
        data = b"" if body is None else msgspec.json.encode(body)
        head = self._head(method, path, query, len(data))
        try:
            async with asyncio.timeout(timeout_s):
                status, answer = await self._exchange(method, [head, data])
        except (EndpointRefusedError, EndpointBrokenError, TimeoutError) as error:
            count_store_call(path, 0, len(data), 0)
            raise StoreUnavailableError(f"{path}: {error!r}") from error
        count_store_call(path, status, len(data), len(answer.data))
        if status == _HISTORY_GONE:
            raise HistoryLostError(path)
        if status != 200:
            raise StoreUnavailableError(f"{path}: status {status}", status)
        return answer

    async def _exchange(self, method: str, request: list[bytes]) -> tuple[int, _Answer]:
        connection = await self._pool.acquire(self._address)
        stream = await connection.exchange(method, request)
        try:
            answer = b"".join([piece async for piece in stream.chunks()])
        finally:
            # A call that ran out of time must not leave its answer to the next.
            await stream.aclose()
        return stream.status, _Answer(_era(stream.headers), answer)

    def _head(self, method: str, path: str, query: dict[str, str], size: int) -> bytes:
        target = f"{path}?{urlencode(query)}" if query else path
        lines = [f"{method} {target} HTTP/1.1", f"Host: {self._address}"]
        if size:
            lines += ["Content-Type: application/json", f"Content-Length: {size}"]
        return "\r\n".join([*lines, "", ""]).encode("ascii")


def _named(row: TableRow) -> dict[str, Any]:
    return {"table": row.table, "part": "", "key": row.key}


def _era(headers: Sequence[tuple[bytes, bytes]]) -> int:
    text = dict(headers).get(_ERA, b"")
    return int(text) if text.isdigit() else 0


def _stored(row: _Row) -> StoredRow:
    value = b"" if row.tombstone else _bytes_from_text(row.value)
    return StoredRow(row.key, row.ver, value, row.tombstone)


def _bytes_from_text(value: object) -> bytes:
    """Return a row's bytes; none, which nothing decodes, where they cannot be read.

    One row of another writer must not hide all the others of its table.
    """
    if not isinstance(value, str):
        return b""
    try:
        return base64.b64decode(value, validate=True)
    except ValueError:
        return b""
