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
from pomelolane.platform.calllimit import LONGEST_S, SHORTEST_S, CallLimit
from pomelolane.platform.errors import HistoryLostError, StoreUnavailableError

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

CALL_TIMEOUT_S = SHORTEST_S
"""Bound on a call while the store answers in time."""

CONNECT_TIMEOUT_MS = 500
"""Bound on connecting: half of a call's."""

_STALL_S = 0.05
"""Delay of the loop's timers that counts as a stall of the event loop."""

_AFTER_STALL_S = 0.5
"""Time after a stall for what it held up: the answer lies unread in the socket, or the
request has not even been written."""

_LONGEST_TRANSFER_S = 10.0
"""Bound on receiving an answer that has begun: a megabyte on a slow link."""

_MOST_LATE_CALLS = 4
"""Calls past their limit whose answers are still awaited."""

_REREAD_MS = 500.0
"""Shortest time between two lost histories of a table that callers are told of: they
read it whole at once, and the store's reads may lag behind what it has dropped."""

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


@dataclass(slots=True)
class _OpenCall:
    """A call that is not answered yet.

    Attributes:
        silent_since_ms: Since when the store owes the answer, or its next bytes.
    """

    silent_since_ms: float


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
        # Writes may be queued in the store while reads are not.
        self._limits = {"GET": CallLimit(), "POST": CallLimit()}
        self._late_calls: set[asyncio.Task[tuple[int, _Answer]]] = set()
        self._eras: dict[str, int] = {}
        self._next_reread_ms: dict[str, float] = {}
        self._clock = MonotonicClock()
        self._ahead_ms = 0.0

    def now_ms(self) -> float:
        """Return the store's steady clock, as far as its answers have told it."""
        return self._clock.now_ms() + self._ahead_ms

    def era(self, table: str) -> int:
        """Return the numbering of versions at the last read of a table, 0 if none."""
        return self._eras.get(table, 0)

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
            era, page = await self._get("/rows-get", query)
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
        _, page = await self._get("/rows-get", query)
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
        try:
            era, page = await self._get("/rows-feed", query, wait_ms / 1000)
            if self._eras.setdefault(table, era) != era:
                raise HistoryLostError(table)
        except HistoryLostError:
            await self._pause_before_reread(table)
            raise
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
            await self._call("POST", "/rows-tx", {}, body=body)
        except StoreUnavailableError as error:
            if error.status == _CONFLICT:
                return False
            raise
        return True

    def close(self) -> None:
        """Close the connections."""
        for task in self._late_calls:
            task.cancel()
        self._pool.close()

    async def _pause_before_reread(self, table: str) -> None:
        """Wait if the table's history was lost a moment ago already."""
        now_ms = self._clock.now_ms()
        # A wait that was cancelled must not delay the next one further.
        latest_ms = now_ms + _REREAD_MS
        due_ms = min(max(now_ms, self._next_reread_ms.get(table, now_ms)), latest_ms)
        self._next_reread_ms[table] = due_ms + _REREAD_MS
        await asyncio.sleep((due_ms - now_ms) / 1000)

    async def _get(
        self, path: str, query: dict[str, str], wait_s: float = 0.0
    ) -> tuple[int, _Rows]:
        begun_ms = self._clock.now_ms()
        answer = await self._call("GET", path, query, wait_s)
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
        wait_s: float = 0.0,
        body: object = None,
    ) -> _Answer:
        self.calls += 1
        data = b"" if body is None else msgspec.json.encode(body)
        head = self._head(method, path, query, len(data))
        try:
            status, answer = await self._answer_in_time(method, [head, data], wait_s)
        except (EndpointRefusedError, EndpointBrokenError, TimeoutError) as error:
            count_store_call(path, 0, len(data), 0)
            raise StoreUnavailableError(f"{path}: {error!r}") from error
        count_store_call(path, status, len(data), len(answer.data))
        if status == _HISTORY_GONE:
            raise HistoryLostError(path)
        if status != 200:
            raise StoreUnavailableError(f"{path}: status {status}", status)
        return answer

    async def _answer_in_time(
        self, method: str, request: list[bytes], wait_s: float
    ) -> tuple[int, _Answer]:
        """Return the answer to a call for which the store may be silent for the limit.

        Args:
            method: HTTP method.
            request: Head and body, encoded.
            wait_s: Time that the store itself may wait, beside the limit.

        Raises:
            TimeoutError: The limit has passed.
        """
        limit = self._limits[method]
        begun_ms = self._clock.now_ms()
        call = _OpenCall(begun_ms + 1000 * wait_s)
        task = asyncio.create_task(self._exchange(method, request, call))
        try:
            left_s = wait_s + limit.limit_s
            while left_s > 0:
                due_s = self._age_s(begun_ms) + left_s
                await asyncio.wait({task}, timeout=left_s)
                if task.done():
                    return task.result()
                age_s = self._age_s(begun_ms)
                # An earlier call's late answer may have lengthened the limit meanwhile.
                left_s = limit.limit_s - self._age_s(call.silent_since_ms)
                if age_s - due_s > _STALL_S and age_s < wait_s + LONGEST_S:
                    left_s = max(left_s, _AFTER_STALL_S)
        except asyncio.CancelledError:
            task.cancel()
            raise
        self._await_late(task)
        self._pool.discard_idle(self._address, begun_ms)
        raise TimeoutError

    async def _exchange(
        self, method: str, request: list[bytes], call: _OpenCall
    ) -> tuple[int, _Answer]:
        limit = self._limits[method]
        loop = asyncio.get_running_loop()
        due_ms = call.silent_since_ms
        longest_s = LONGEST_S - self._age_s(due_ms)
        async with (
            asyncio.timeout(longest_s + _LONGEST_TRANSFER_S),
            asyncio.timeout(longest_s) as silence,
        ):
            connection = await self._pool.acquire(self._address)
            stream = await connection.exchange(method, request)
            limit.note_answer(self._age_s(due_ms))
            pieces = []
            try:
                call.silent_since_ms = self._clock.now_ms()
                async for piece in stream.chunks():
                    pieces.append(piece)
                    call.silent_since_ms = self._clock.now_ms()
                    silence.reschedule(loop.time() + LONGEST_S)
            finally:
                # A call that ran out of time must not leave its answer to the next.
                await stream.aclose()
        return stream.status, _Answer(_era(stream.headers), b"".join(pieces))

    def _await_late(self, task: asyncio.Task[tuple[int, _Answer]]) -> None:
        """Let a call go on only to learn how late its answer is.

        The answer itself is too old: its caller goes by the time of the next call.
        """
        if len(self._late_calls) >= _MOST_LATE_CALLS:
            task.cancel()
            return
        self._late_calls.add(task)
        task.add_done_callback(self._end_late)

    def _end_late(self, task: asyncio.Task[tuple[int, _Answer]]) -> None:
        self._late_calls.discard(task)
        if not task.cancelled():
            # Its failure has been told already.
            task.exception()

    def _age_s(self, begun_ms: float) -> float:
        return (self._clock.now_ms() - begun_ms) / 1000

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
