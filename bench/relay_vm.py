"""The least VM that relays: blacksheep on uvicorn, one endpoint, no scheduler.

Its modes are the steps by which the relay was made cheap.
"""

from __future__ import annotations

import argparse
import gc
from typing import TYPE_CHECKING, Any

import aiohttp
import blacksheep
import uvicorn
from blacksheep.client import ClientSession

from pomelolane.endpoints import RelayHttpProtocol, make_engine_adapter, relay
from pomelolane.model import Endpoint
from pomelolane.ports import UpstreamRequest

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable

    from pomelolane.endpoints import AnswerStream

_PATH = "/v1/chat/completions"
_GC_THRESHOLDS = (10_000, 50, 100)
_SEND_KEY = "bench.send"
_EVENTS = b"text/event-stream"


class _Vm:
    """Handlers of all modes for one endpoint."""

    def __init__(self, address: str) -> None:
        self._url = f"http://{address}{_PATH}"
        self._endpoint = Endpoint("engine-1", "bench", "dc", address)
        self._adapter = make_engine_adapter()
        self._numbers = 0

    async def _dispatch(self, request: blacksheep.Request) -> AnswerStream:
        self._numbers += 1
        body = await request.read()
        sent = UpstreamRequest(
            f"r{self._numbers}",
            "",
            "POST",
            _PATH,
            ((b"content-type", b"application/json"),),
            body,
        )
        return await self._adapter.dispatch(self._endpoint, sent)

    async def blacksheep_client(
        self, request: blacksheep.Request
    ) -> blacksheep.Response:
        """Blacksheep's client and its streamed content."""
        body = await request.read()
        session = self._session(ClientSession)
        content = blacksheep.Content(b"application/json", body)
        answer = await session.post(self._url, content)
        return _streamed(answer.stream())

    async def aiohttp_client(self, request: blacksheep.Request) -> blacksheep.Response:
        """The client of aiohttp and blacksheep's streamed content."""
        body = await request.read()
        session = self._session(_unbounded_session)
        answer = await session.post(self._url, data=body)
        return _streamed(answer.content.iter_any())

    async def streamed(self, request: blacksheep.Request) -> blacksheep.Response:
        """The adapter and blacksheep's streamed content."""
        stream = await self._dispatch(request)
        return _streamed(stream.chunks())

    async def relayed(self, request: blacksheep.Request) -> blacksheep.Response:
        """The adapter and the relay."""
        stream = await self._dispatch(request)
        send = request.scope.pop(_SEND_KEY)
        await relay(stream, send)
        return blacksheep.Response(200)

    def _session(self, make: Callable[[], Any]) -> Any:
        if not hasattr(self, "_kept_session"):
            self._kept_session = make()
        return self._kept_session


def _unbounded_session() -> aiohttp.ClientSession:
    return aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0))


def _streamed(chunks: AsyncIterator[bytes]) -> blacksheep.Response:
    async def pass_on() -> AsyncIterator[bytes]:
        async for data in chunks:
            yield data

    content = blacksheep.StreamedContent(_EVENTS, pass_on)
    return blacksheep.Response(200, content=content)


MODES = ("blacksheep_client", "aiohttp_client", "streamed", "thin", "fast")


def _with_raw_send(app: blacksheep.Application) -> Any:
    """Let handlers take the server's ``send`` and answer by it."""

    async def serve(scope: Any, receive: Any, send: Any) -> None:
        if scope["type"] != "http":
            await app(scope, receive, send)
            return
        scope[_SEND_KEY] = send

        async def send_unless_taken(message: Any) -> None:
            if _SEND_KEY in scope:
                await send(message)

        await app(scope, receive, send_unless_taken)

    return serve


def _make_app(address: str, mode: str) -> Any:
    vm = _Vm(address)
    app = blacksheep.Application()
    handler = vm.relayed if mode in ("thin", "fast") else getattr(vm, mode)

    async def handle(request: blacksheep.Request) -> blacksheep.Response:
        return await handler(request)

    app.router.add_post(_PATH, handle)
    return _with_raw_send(app)


def main() -> None:
    """Serve until ended."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--endpoint", required=True)
    parser.add_argument("--mode", choices=MODES, default="fast")
    options = parser.parse_args()
    config = uvicorn.Config(
        _make_app(options.endpoint, options.mode),
        host="127.0.0.1",
        port=options.port,
        loop="uvloop",
        http=RelayHttpProtocol if options.mode == "fast" else "httptools",
        log_level="warning",
        access_log=False,
    )
    # As the product does, so that the collector's pauses do not blur figures.
    gc.set_threshold(*_GC_THRESHOLDS)
    gc.freeze()
    uvicorn.Server(config).run()


if __name__ == "__main__":
    main()
