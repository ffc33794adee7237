"""The platform stand-in's services over HTTP.

Each call passes the faults in force and a rate limit before it is served.
"""

from __future__ import annotations

import asyncio
import base64
import time
from typing import TYPE_CHECKING, Any

import msgspec
from aiohttp import web

from standins.platform.listing import MachineList
from standins.platform.table import RowResult, RowWrite, StoredRow
from standins.serving import (
    drop_connection,
    error_response,
    json_response,
    make_app,
    read_json,
)

if TYPE_CHECKING:
    from standins.platform.limits import RateLimit
    from standins.platform.state import PlatformState
    from standins.serving import Handler

MS_PER_S = 1000.0
DEFAULT_SCAN_LIMIT = 1000


class WriteBody(msgspec.Struct):
    """One write of a commit as it comes over the wire."""

    key: str
    value: bytes | None = None
    if_version: int | None = None


class CommitBody(msgspec.Struct):
    """The body of a commit."""

    writes: list[WriteBody]
    atomic: bool = True


def now_ms() -> float:
    """Return the stand-in's time."""
    return time.monotonic() * MS_PER_S


def row_to_json(row: StoredRow) -> dict[str, Any]:
    """Give a row the form that it has on the wire."""
    value = base64.b64encode(row.value).decode()
    return {"key": row.key, "version": row.version, "value": value}


class PlatformHttp:
    """Handlers of the table, the objects, the weights and the list."""

    def __init__(self, state: PlatformState, weight_bytes: int) -> None:
        self._state = state
        self._weight_bytes = weight_bytes

    def make_app(self) -> web.Application:
        """Make the application that serves callers."""
        return make_app(
            {
                "GET /v1/table/row": self._read_row,
                "GET /v1/table/scan": self._scan,
                "POST /v1/table/commit": self._commit,
                "GET /v1/objects/{name:.+}": self._get_object,
                "PUT /v1/objects/{name:.+}": self._put_object,
                "DELETE /v1/objects/{name:.+}": self._delete_object,
                "GET /v1/vms": self._list_vms,
                "GET /v1/weights/{model:.+}": self._read_weights,
            },
            middlewares=[self._pass_faults],
        )

    @web.middleware
    async def _pass_faults(
        self, request: web.Request, handler: Handler
    ) -> web.StreamResponse:
        faults = self._state.faults
        if faults.delay_ms:
            await asyncio.sleep(faults.delay_ms / MS_PER_S)
        writes = request.method != "GET"
        if self._state.faults.outage or (writes and self._state.faults.refuse_writes):
            return error_response(503, "outage", "the platform is down")
        return await handler(request)

    async def _read_row(self, request: web.Request) -> web.Response:
        if limited := self._limit(self._state.read_limit):
            return limited
        self._state.counters.reads += 1
        row = self._state.table.read(_query(request, "key"))
        if row is None:
            return error_response(404, "not_found", "no such row")
        return json_response(row_to_json(row))

    async def _scan(self, request: web.Request) -> web.Response:
        if limited := self._limit(self._state.read_limit):
            return limited
        self._state.counters.reads += 1
        limit = int(request.query.get("limit", DEFAULT_SCAN_LIMIT))
        rows = self._state.table.scan(request.query.get("prefix", ""), limit)
        return json_response({"rows": [row_to_json(row) for row in rows]})

    async def _commit(self, request: web.Request) -> web.StreamResponse:
        body: CommitBody = await read_json(request, CommitBody)
        if limited := self._limit(self._state.write_limit):
            return limited
        writes = [RowWrite(w.key, w.value, w.if_version) for w in body.writes]
        results = self._state.table.commit(writes, atomic=body.atomic)
        self._state.counters.count_commit(writes)
        if self._state.faults.lose_replies > 0:
            self._state.faults.lose_replies -= 1
            return drop_connection(request)
        return _commit_response(results, atomic=body.atomic)

    async def _get_object(self, request: web.Request) -> web.Response:
        if limited := self._limit(self._state.read_limit):
            return limited
        self._state.counters.reads += 1
        data = self._state.objects.get(request.match_info["name"])
        if data is None:
            return error_response(404, "not_found", "no such object")
        return web.Response(body=data)

    async def _put_object(self, request: web.Request) -> web.Response:
        data = await request.read()
        if limited := self._limit(self._state.write_limit):
            return limited
        self._state.counters.writes += 1
        self._state.objects[request.match_info["name"]] = data
        return web.Response(status=204)

    async def _delete_object(self, request: web.Request) -> web.Response:
        if limited := self._limit(self._state.write_limit):
            return limited
        self._state.counters.writes += 1
        self._state.objects.pop(request.match_info["name"], None)
        return web.Response(status=204)

    async def _list_vms(self, request: web.Request) -> web.Response:
        del request
        if limited := self._limit(self._state.read_limit):
            return limited
        self._state.counters.reads += 1
        return json_response(MachineList(self._state.vms.read(now_ms())))

    async def _read_weights(self, request: web.Request) -> web.Response:
        del request
        if limited := self._limit(self._state.weight_limit, self._weight_bytes):
            return limited
        return web.Response(body=bytes(self._weight_bytes))

    def _limit(self, limit: RateLimit, units: float = 1.0) -> web.Response | None:
        wait_ms = limit.wait_ms(now_ms(), units)
        if not wait_ms:
            return None
        self._state.counters.limited += 1
        response = error_response(429, "rate_limited", "over the rate limit")
        response.headers["Retry-After-Ms"] = str(int(wait_ms) + 1)
        return response


def _query(request: web.Request, name: str) -> str:
    value = request.query.get(name)
    if value is None:
        raise web.HTTPBadRequest(text=f"missing {name}")
    return value


def _commit_response(results: list[RowResult], *, atomic: bool) -> web.Response:
    failed = atomic and not all(result.applied for result in results)
    return json_response({"results": results}, status=409 if failed else 200)


__all__ = ["PlatformHttp", "now_ms", "row_to_json"]
