"""The metadata store: rows by table, part and key, one counter of versions.

Trouble is set from outside: a mode of refusal, an age of the history, answers
that are lost after the deed.
"""

from __future__ import annotations

import asyncio
import base64
import json
import time
import weakref
from collections import Counter
from dataclasses import dataclass
from enum import StrEnum
from typing import TYPE_CHECKING, Any

from aiohttp import web

from standins.serving import drop_connection, json_response

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

LONGEST_WAIT_S = 30.0
OPERATORS_TABLES = ("op", "servers")

_SENDING_STEP_S = 0.05


class Trouble(StrEnum):
    """What is wrong with the store."""

    NONE = "none"
    BUSY = "busy"
    SILENT = "silent"
    RESET = "reset"
    LOST = "lost"
    """Writes are done, and their answers are lost."""


@dataclass(slots=True)
class _Row:
    value: str
    version: int
    deleted: bool = False


@dataclass(frozen=True, slots=True)
class StoreCopy:
    """What the store held at a moment."""

    rows: dict[tuple[str, str, str], _Row]
    version: int


class MetadataStore:
    """The store's state and its HTTP calls.

    Attributes:
        trouble: What is wrong at present.
        oldest: Version from which on the history is known.
        calls: Calls by path.
        era: Number of its numbering of versions, in all answers.
        late_s: How long each answer is on its way.
        bytes_per_s: Rate at which it sends its answers, 0 for any.
        refuses_each: Which reads of a table it refuses: 2 for each second one, 0 for
            none.
        on_page: Called once after a page that others follow, None for nothing.
    """

    def __init__(self) -> None:
        self.trouble = Trouble.NONE
        self.oldest = 0
        self.era = 1
        self.late_s = 0.0
        self.bytes_per_s = 0
        self._connections: weakref.WeakSet[asyncio.BaseTransport] = weakref.WeakSet()
        self._silent: weakref.WeakSet[asyncio.BaseTransport] = weakref.WeakSet()
        self.refuses_each = 0
        self._reads: Counter[str] = Counter()
        self.on_page: Callable[[], object] | None = None
        self.calls: Counter[str] = Counter()
        self._rows: dict[tuple[str, str, str], _Row] = {}
        self._version = 0
        self._changed = asyncio.Event()
        self._runner: web.AppRunner | None = None
        self._addresses_by_port: dict[int, Mapping[str, str]] = {}

    async def start(self, host: str = "127.0.0.1", port: int = 0) -> str:
        """Listen and return ``ip:port``."""
        app = web.Application(middlewares=[self._troubled])
        app.router.add_post("/rows-tx", self._transact)
        app.router.add_get("/rows-get", self._get)
        app.router.add_get("/rows-feed", self._feed)
        self._runner = web.AppRunner(app, shutdown_timeout=0.1)
        await self._runner.setup()
        site = web.TCPSite(self._runner, host, port)
        await site.start()
        return f"{host}:{self._runner.addresses[0][1]}"

    async def start_view(self, addresses: Mapping[str, str]) -> str:
        """Listen once more, for a VM that reaches endpoints by other addresses.

        Args:
            addresses: Its address of each endpoint, by the endpoint's own one.

        Returns:
            ``ip:port`` of the store for this VM.
        """
        known = len(self._runner.addresses)
        await web.TCPSite(self._runner, "127.0.0.1", 0).start()
        host, port = self._runner.addresses[known][:2]
        self._addresses_by_port[port] = addresses
        return f"{host}:{port}"

    async def aclose(self) -> None:
        """Stop to listen."""
        if self._runner is not None:
            await self._runner.cleanup()

    def put(self, table: str, key: str, value: bytes) -> int:
        """Write a row as the operator or an endpoint does; return its version."""
        self._version += 1
        encoded = base64.b64encode(value).decode()
        self._rows[table, "", key] = _Row(encoded, self._version)
        self._tell()
        return self._version

    def put_as_it_is(self, table: str, key: str, value: Any) -> None:
        """Write a row whose value need not be text that encodes bytes."""
        self._version += 1
        self._rows[table, "", key] = _Row(value, self._version)
        self._tell()

    def delete(self, table: str, key: str) -> None:
        """Delete a row."""
        self._version += 1
        self._rows[table, "", key] = _Row("", self._version, deleted=True)
        self._tell()

    def value(self, table: str, key: str) -> bytes:
        """Return a row's value, empty where there is none."""
        row = self._rows.get((table, "", key))
        return b"" if row is None else base64.b64decode(row.value)

    def forget_history(self) -> None:
        """Know no change before now."""
        self.oldest = self._version

    def silence_connections(self) -> None:
        """Answer nothing more on the connections that are open now."""
        self._silent.update(self._connections)

    def copy(self) -> StoreCopy:
        """Return what it holds now."""
        return StoreCopy(dict(self._rows), self._version)

    def come_back_from(self, copy: StoreCopy) -> None:
        """Hold what a copy holds; versions after it are given out again."""
        self._rows = dict(copy.rows)
        self._version = copy.version
        self.era += 1
        self._tell()

    def _tell(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    @web.middleware
    async def _troubled(self, request: web.Request, handler: Any) -> web.StreamResponse:
        self.calls[request.path] += 1
        if request.transport is not None:
            self._connections.add(request.transport)
            if request.transport in self._silent:
                await asyncio.sleep(LONGEST_WAIT_S)
        match self.trouble:
            case Trouble.BUSY:
                return json_response({}, status=503)
            case Trouble.SILENT:
                await asyncio.sleep(LONGEST_WAIT_S)
            case Trouble.RESET:
                return drop_connection(request)
        if self._refuses(request):
            return json_response({}, status=503)
        answer = await handler(request)
        await asyncio.sleep(self.late_s)
        answer.headers["Store-Era"] = str(self.era)
        if self.trouble is Trouble.LOST and request.method == "POST":
            return drop_connection(request)
        return await self._sent_slowly(request, answer) if self.bytes_per_s else answer

    async def _sent_slowly(
        self, request: web.Request, answer: web.Response
    ) -> web.StreamResponse:
        body = answer.body
        slow = web.StreamResponse(status=answer.status, headers=answer.headers)
        slow.content_length = len(body)
        await slow.prepare(request)
        step = max(1, int(self.bytes_per_s * _SENDING_STEP_S))
        for start in range(0, len(body), step):
            await slow.write(body[start : start + step])
            await asyncio.sleep(_SENDING_STEP_S)
        return slow

    def _refuses(self, request: web.Request) -> bool:
        table = request.query.get("table", "")
        self._reads[table] += 1
        each = self.refuses_each
        return bool(each and table) and self._reads[table] % each == 0

    async def _transact(self, request: web.Request) -> web.Response:
        body = await request.json()
        for expected in body["expected"]:
            row = self._rows.get(_key(expected))
            current = 0 if row is None or row.deleted else row.version
            if current != expected["ver"]:
                return json_response({"rows": []} | self._moment(), status=412)
        entries = [*body["writes"], *body["deletes"]]
        if any(entry["table"] in OPERATORS_TABLES for entry in entries):
            return json_response({}, status=403)
        self._version += 1
        for entry in body["writes"]:
            self._rows[_key(entry)] = _Row(entry["value"], self._version)
        for entry in body["deletes"]:
            self._rows[_key(entry)] = _Row("", self._version, deleted=True)
        self._tell()
        return json_response(self._moment())

    async def _get(self, request: web.Request) -> web.Response:
        query = request.query
        limit = int(query.get("limit", 500))
        found = [
            self._told(key, row, request)
            for key, row in sorted(self._rows.items())
            if key[:2] == (query["table"], query["part"])
            and key[2] >= query.get("from", "")
            and not row.deleted
        ]
        more = {"hasMore": len(found) > limit}
        answer = json_response({"rows": found[:limit]} | more | self._moment())
        if more["hasMore"] and self.on_page is not None:
            on_page, self.on_page = self.on_page, None
            on_page()
        return answer

    async def _feed(self, request: web.Request) -> web.Response:
        query = request.query
        after = int(query["after"])
        until_s = time.monotonic() + int(query.get("waitMs", 0)) / 1000
        while True:
            if not self.oldest <= after <= self._version:
                return json_response({}, status=410)
            rows = self._rows.items()
            changed = [
                (row.version, self._told(key, row, request))
                for key, row in rows
                if key[0] == query["table"] and row.version > after
            ]
            left_s = until_s - time.monotonic()
            if changed or left_s <= 0:
                told = [row for _, row in sorted(changed, key=lambda one: one[0])]
                return json_response({"rows": told} | self._moment())
            try:
                await asyncio.wait_for(self._changed.wait(), left_s)
            except TimeoutError:
                continue

    def _moment(self) -> dict[str, int]:
        return {"ver": self._version, "nowMs": int(time.monotonic() * 1000)}

    def _told(
        self, key: tuple[str, str, str], row: _Row, request: web.Request
    ) -> dict[str, object]:
        table, part, name = key
        told: dict[str, object] = {"table": table, "part": part, "key": name}
        told["ver"] = row.version
        if row.deleted:
            told["tombstone"] = True
        else:
            told["value"] = row.value
        if request.transport is None:
            # The caller is gone, and reads no answer.
            return told
        port = request.transport.get_extra_info("sockname")[1]
        if table == "servers" and port in self._addresses_by_port:
            told |= _translated(told, self._addresses_by_port[port])
        return told


def _translated(
    told: dict[str, object], addresses: Mapping[str, str]
) -> dict[str, object]:
    if "value" not in told:
        return {}
    entry = json.loads(base64.b64decode(told["value"]))
    entry["address"] = addresses.get(entry["address"], entry["address"])
    return {"value": base64.b64encode(json.dumps(entry).encode()).decode()}


def _key(entry: dict[str, Any]) -> tuple[str, str, str]:
    return entry["table"], entry["part"], entry["key"]
