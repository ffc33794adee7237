"""The plain service's interface and its control port.

Any method on any path is a call; ``?chunks=N`` asks for the answer in N parts.
"""

from __future__ import annotations

import asyncio
import time
import uuid
from typing import TYPE_CHECKING

import msgspec
import xxhash
from aiohttp import web

from standins.service.worker import Call
from standins.serving import (
    drop_connection,
    error_response,
    json_response,
    make_app,
    read_json,
)

if TYPE_CHECKING:
    from standins.service.worker import Worker
    from standins.serving import Server

MS_PER_S = 1000.0


class FaultsBody(msgspec.Struct, forbid_unknown_fields=True):
    """Faults to change; what is left out stays."""

    frozen: bool | None = None
    slowdown: float | None = None
    refuse: bool | None = None
    die: bool | None = None
    leaving: bool | None = None


class ServiceHttp:
    """Handler of all calls."""

    def __init__(self, worker: Worker) -> None:
        self._worker = worker

    def make_app(self) -> web.Application:
        """Make the application that serves callers."""
        return make_app({"* /{path:.*}": self._call})

    async def _call(self, request: web.Request) -> web.StreamResponse:
        await self._worker.until_thawed()
        body = await request.read()
        await self._worker.until_thawed()
        if self._worker.faults.dead:
            return drop_connection(request)
        if self._worker.faults.refuse:
            self._worker.refuse()
            return error_response(503, "overloaded", "the service takes no calls")
        call = self._record(request, body)
        await self._worker.serve(call)
        answer = msgspec.json.encode(
            {"ran": call.ran, "echo_digest": call.body_digest, "path": call.path}
        )
        headers = self._headers(call)
        chunks = request.query.get("chunks", "")
        if chunks.isdecimal() and int(chunks) > 1:
            return await _answer_in_parts(request, answer, int(chunks), headers)
        return web.Response(body=answer, headers=headers)

    def _record(self, request: web.Request, body: bytes) -> Call:
        call = Call(
            request_id=request.headers.get("X-Request-Id") or uuid.uuid4().hex,
            key=request.headers.get("Idempotency-Key", ""),
            method=request.method,
            path=request.path_qs,
            body_digest=xxhash.xxh3_64_hexdigest(body),
            body_bytes=len(body),
            arrived_at_ms=time.time() * MS_PER_S,
        )
        self._worker.record(call)
        return call

    def _headers(self, call: Call) -> dict[str, str]:
        state = "leaving" if self._worker.faults.leaving else "ready"
        return {
            "Content-Type": "application/json",
            "X-Request-Id": call.request_id,
            "X-Endpoint-State": state,
        }


class ServiceControl:
    """Handlers of the control port."""

    def __init__(self, worker: Worker, server: Server) -> None:
        self._worker = worker
        self._server = server

    def make_app(self) -> web.Application:
        """Make the application of the control port."""
        return make_app(
            {
                "POST /control": self._control,
                "GET /runs": self._runs,
                "GET /counters": self._counters,
                "POST /reset": self._reset,
            }
        )

    async def _control(self, request: web.Request) -> web.Response:
        body: FaultsBody = await read_json(request, FaultsBody)
        worker = self._worker
        if body.frozen is not None:
            worker.freeze(body.frozen)
        for name in ("slowdown", "refuse", "leaving"):
            value = getattr(body, name)
            if value is not None:
                setattr(worker.faults, name, value)
        if body.die is True:
            worker.die()
            await self._server.until_closed()
        elif body.die is False and worker.faults.dead:
            worker.revive()
            await self._server.start()
        return json_response(worker.faults)

    async def _runs(self, request: web.Request) -> web.Response:
        del request
        return json_response(self._worker.calls())

    async def _counters(self, request: web.Request) -> web.Response:
        del request
        return json_response(self._worker.counters())

    async def _reset(self, request: web.Request) -> web.Response:
        del request
        self._worker.reset()
        return json_response(self._worker.counters())


async def _answer_in_parts(
    request: web.Request, answer: bytes, parts: int, headers: dict[str, str]
) -> web.StreamResponse:
    response = web.StreamResponse(headers=headers)
    await response.prepare(request)
    size = -(-len(answer) // parts)
    for start in range(0, len(answer), size):
        await response.write(answer[start : start + size])
        await asyncio.sleep(0)
    await response.write_eof()
    return response


__all__ = ["ServiceControl", "ServiceHttp"]
