"""The plain service's interface: it runs every call and records it.

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
    make_app,
)

if TYPE_CHECKING:
    from standins.service.worker import Worker

MS_PER_S = 1000.0


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


__all__ = ["ServiceHttp"]
