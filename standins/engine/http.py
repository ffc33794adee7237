"""The engine's own interface: answers, streams, load, cache events, orders, KV.

A frozen engine takes connections and answers nothing until it goes on.
"""

from __future__ import annotations

import contextlib
import uuid
from typing import TYPE_CHECKING

import msgspec
from aiohttp import web

from standins.engine.core import ContextLengthError, EngineDeadError, now_ms
from standins.engine.orders import LOADING_KINDS, Order
from standins.engine.requests import ChatRequest
from standins.engine.streams import StreamEnd
from standins.serving import (
    drop_connection,
    error_response,
    json_response,
    make_app,
    read_json,
)

if TYPE_CHECKING:
    import asyncio

    from standins.engine.core import Engine
    from standins.engine.streams import Stream
    from standins.engine.weights import WeightLoader
    from standins.serving import Handler


class BlocksBody(msgspec.Struct):
    """KV blocks that one engine hands to another."""

    blocks: tuple[int, ...]


class ConnectionSink:
    """Writes events to a connection as HTTP chunks, without waiting.

    A task woken for each token of each stream would cost more than the write.
    """

    def __init__(self, transport: asyncio.Transport) -> None:
        self._transport = transport

    def write(self, data: bytes) -> None:
        """Send bytes as one chunk, unless the reader is gone."""
        if data and not self._transport.is_closing():
            self._transport.write(b"%x\r\n%b\r\n" % (len(data), data))


class EngineHttp:
    """Handlers of the engine's interface."""

    def __init__(self, engine: Engine, loader: WeightLoader) -> None:
        self._engine = engine
        self._loader = loader

    def make_app(self) -> web.Application:
        """Make the application that serves callers."""
        return make_app(
            {
                "POST /v1/chat/completions": self._complete,
                "GET /v1/streams/{id}": self._resume,
                "POST /v1/streams/{id}/cancel": self._cancel,
                "GET /load": self._load,
                "GET /cache/events": self._cache_events,
                "POST /orders": self._order,
                "GET /orders/state": self._order_state,
                "POST /v1/kv/export": self._export,
                "POST /v1/kv/import": self._import,
            },
            middlewares=[self._pass_faults],
        )

    @web.middleware
    async def _pass_faults(
        self, request: web.Request, handler: Handler
    ) -> web.StreamResponse:
        await self._engine.until_thawed()
        if self._engine.faults.dead:
            return drop_connection(request)
        return await handler(request)

    # --- answers ----------------------------------------------------------

    async def _complete(self, request: web.Request) -> web.StreamResponse:
        chat: ChatRequest = await read_json(request, ChatRequest)
        await self._engine.until_thawed()
        if self._engine.faults.refuse:
            self._engine.refuse()
            return error_response(503, "overloaded", "the engine takes no requests")
        if not self._serves(chat.model):
            return error_response(404, "model_not_found", "the model is not loaded")
        try:
            stream = self._engine.submit(chat, *_request_ids(request))
        except ContextLengthError:
            return error_response(400, "context_length_exceeded", "prompt too long")
        except EngineDeadError:
            return drop_connection(request)
        if chat.stream:
            return await _answer_events(request, stream, 0)
        return await _answer_whole(stream)

    async def _resume(self, request: web.Request) -> web.StreamResponse:
        stream = self._find(request)
        from_chunk = _number(request, "from")
        return await _answer_events(request, stream, from_chunk)

    async def _cancel(self, request: web.Request) -> web.Response:
        stream = self._find(request)
        self._engine.cancel(stream)
        return json_response({"state": stream.end, "generated": stream.chunks})

    def _serves(self, model: str) -> bool:
        orders = self._engine.orders
        if self._engine.options.checks_model:
            return orders.serves(model)
        return bool(orders.state.models)

    def _find(self, request: web.Request) -> Stream:
        stream = self._engine.find_stream(request.match_info["id"])
        if stream is None:
            raise web.HTTPNotFound(text="no such stream")
        return stream

    # --- reports ----------------------------------------------------------

    async def _load(self, request: web.Request) -> web.Response:
        del request
        engine = self._engine
        load = engine.load.read(now_ms())
        return json_response(
            {
                "running": load.running,
                "waiting": load.waiting,
                "kv_used_tokens": load.kv_used_tokens,
                "age_ms": engine.load.lag_ms,
                "models": engine.orders.state.models,
                "state": "leaving" if engine.faults.leaving else "ready",
                "role": engine.orders.state.role,
                "generation": engine.options.generation,
                "endpoint_id": engine.options.endpoint_id,
            }
        )

    async def _cache_events(self, request: web.Request) -> web.Response:
        after = _number(request, "after")
        return json_response(self._engine.events.read(after, now_ms()))

    # --- orders and KV blocks ---------------------------------------------

    async def _order(self, request: web.Request) -> web.Response:
        order: Order = await read_json(request, Order)
        await self._engine.until_thawed()
        book = self._engine.orders
        if not book.take(order):
            return json_response({"fencing": book.state.fencing}, status=409)
        if order.kind in LOADING_KINDS:
            self._loader.load(order, book)
        return json_response({"state": book.state})

    async def _order_state(self, request: web.Request) -> web.Response:
        del request
        return json_response(self._engine.orders.state)

    async def _export(self, request: web.Request) -> web.Response:
        body: BlocksBody = await read_json(request, BlocksBody)
        hits = self._engine.cache.hit_blocks(body.blocks)
        return json_response(BlocksBody(body.blocks[:hits]))

    async def _import(self, request: web.Request) -> web.Response:
        body: BlocksBody = await read_json(request, BlocksBody)
        return json_response({"imported": self._engine.import_blocks(body.blocks)})


async def _answer_whole(stream: Stream) -> web.Response:
    await stream.ended.wait()
    if stream.end is not StreamEnd.STOP:
        return error_response(409, "cancelled", "the stream was cancelled")
    message = {"role": "assistant", "content": stream.text()}
    body = {
        "id": stream.stream_id,
        "object": "chat.completion",
        "model": stream.model,
        "choices": [{"index": 0, "message": message, "finish_reason": "stop"}],
        "usage": stream.usage(),
    }
    return json_response(body, headers=_answer_headers(stream))


async def _answer_events(
    request: web.Request, stream: Stream, from_chunk: int
) -> web.StreamResponse:
    await stream.wait_for_chunk(from_chunk)
    response = web.StreamResponse(headers=_answer_headers(stream))
    response.content_type = "text/event-stream"
    with contextlib.suppress(ConnectionResetError):  # The reader may be gone.
        await _send_events(request, response, stream, from_chunk)
    return response


async def _send_events(
    request: web.Request,
    response: web.StreamResponse,
    stream: Stream,
    from_chunk: int,
) -> None:
    await response.prepare(request)
    transport = request.transport
    if transport is None or stream.end is StreamEnd.LOST:
        return
    # The headers leave with the first write; all later ones go past aiohttp.
    first = stream.events_from(from_chunk)
    reached = max(from_chunk, stream.chunks)
    ended = stream.end is not None
    await response.write(first)
    if not ended:
        stream.attach(ConnectionSink(transport), reached)
        await stream.ended.wait()
    await response.write_eof()


def _answer_headers(stream: Stream) -> dict[str, str]:
    return {
        "X-Stream-Id": stream.stream_id,
        "X-Cached-Tokens": str(stream.sequence.cached_tokens),
    }


def _request_ids(request: web.Request) -> tuple[str, str]:
    request_id = request.headers.get("X-Request-Id") or uuid.uuid4().hex
    return request_id, request.headers.get("Idempotency-Key", "")


def _number(request: web.Request, name: str) -> int:
    text = request.query.get(name, "0")
    if not text.isdecimal():
        raise web.HTTPBadRequest(text=f"{name} must be a number")
    return int(text)


__all__ = ["ConnectionSink", "EngineHttp"]
