"""What the stand-ins' HTTP servers have in common.

Answers are JSON by msgspec; a server can be stopped abruptly and started again
on the same port.
"""

from __future__ import annotations

import asyncio
import signal
from typing import TYPE_CHECKING, Any, Protocol

import msgspec
import uvloop
from aiohttp import web

from standins.listening import ReservedPort, reserve_port

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Coroutine, Iterable, Mapping

    AppFactory = Callable[[], web.Application]
    Main = Callable[[asyncio.Event], Coroutine[Any, Any, None]]
    Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]

MAX_BODY_BYTES = 256 * 1024 * 1024


def json_response(
    value: Any, *, status: int = 200, headers: Mapping[str, str] | None = None
) -> web.Response:
    """Answer with a value as JSON."""
    return web.Response(
        body=msgspec.json.encode(value),
        status=status,
        headers=headers,
        content_type="application/json",
    )


def error_response(status: int, kind: str, message: str) -> web.Response:
    """Answer with an error in the form that model engines use."""
    return json_response({"error": {"type": kind, "message": message}}, status=status)


async def read_json(request: web.Request, kind: Any = dict) -> Any:
    """Read a request's body as JSON of a kind.

    Raises:
        HTTPBadRequest: The body is something else.
    """
    body = await request.read()
    try:
        return msgspec.json.decode(body, type=kind)
    except (msgspec.DecodeError, msgspec.ValidationError) as error:
        raise web.HTTPBadRequest(text=str(error)) from error


def drop_connection(request: web.Request) -> web.Response:
    """Break a request's connection off; the response goes nowhere."""
    if request.transport is not None:
        request.transport.abort()
    return web.Response()


class Server:
    """One HTTP application on one port.

    Attributes:
        port: Where it listens.
    """

    def __init__(self, reserved: ReservedPort, make_app: AppFactory):
        self._reserved = reserved
        self._make_app = make_app
        self._runner: web.AppRunner | None = None
        self._closing: asyncio.Task[None] | None = None
        self.port = reserved.port

    async def start(self) -> None:
        """Listen, unless it does already."""
        if self._runner is not None:
            return
        await self.until_closed()
        runner = web.AppRunner(
            self._make_app(),
            access_log=None,
            shutdown_timeout=0,
            handler_cancellation=False,
        )
        self._runner = runner
        await runner.setup()
        await web.SockSite(runner, self._reserved.listen(), backlog=1024).start()

    def abort(self) -> None:
        """Close the listening socket and every connection without a word."""
        runner, self._runner = self._runner, None
        if runner is None:
            return
        _abort_connections(runner)
        self._closing = asyncio.get_running_loop().create_task(runner.cleanup())

    async def until_closed(self) -> None:
        """Wait until an abort has closed the listening socket."""
        if self._closing is not None:
            await self._closing

    async def aclose(self) -> None:
        """Stop and give the port back."""
        self.abort()
        await self.until_closed()
        self._reserved.close()


class EndpointStandin(Protocol):
    """A running stand-in of an endpoint, with its two ports."""

    @property
    def server(self) -> Server:
        """Its interface."""
        ...

    @property
    def control(self) -> Server:
        """Its control port."""
        ...

    @property
    def endpoint_id(self) -> str:
        """The endpoint that it stands for."""
        ...

    async def aclose(self) -> None:
        """Stop everything and close both ports."""
        ...


def make_server(host: str, port: int, make_app: AppFactory) -> Server:
    """Make a server on a port, 0 for any free one; it does not listen yet."""
    return Server(reserve_port(host, port), make_app)


def make_app(routes: Mapping[str, Handler], **options: Any) -> web.Application:
    """Make an application of handlers by ``"METHOD /path"``."""
    app = web.Application(client_max_size=MAX_BODY_BYTES, **options)
    for route, handler in routes.items():
        method, path = route.split(" ", 1)
        app.router.add_route(method, path, handler)
    return app


def print_ready(port: int, control_port: int, endpoint_id: str = "") -> None:
    """Print the line that tells a launcher where the stand-in listens."""
    line = f"ready port={port} control_port={control_port}"
    if endpoint_id:
        line += f" endpoint_id={endpoint_id}"
    print(line, flush=True)


def run_endpoints(starts: Iterable[Coroutine[Any, Any, EndpointStandin]]) -> None:
    """Run stand-ins of endpoints until a signal; print a line for each."""

    async def main(stop: asyncio.Event) -> None:
        running = [await start for start in starts]
        for standin in running:
            print_ready(standin.server.port, standin.control.port, standin.endpoint_id)
        await stop.wait()
        for standin in running:
            await standin.aclose()

    run_until_stopped(main)


def run_until_stopped(
    main: Main,
) -> None:
    """Run a stand-in on uvloop until SIGTERM or SIGINT sets its event."""
    uvloop.run(_run_with_signals(main))


async def _run_with_signals(
    main: Main,
) -> None:
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    await main(stop)


def _abort_connections(runner: web.AppRunner) -> None:
    server = runner.server
    if server is None:
        return
    for protocol in list(server.connections):
        if protocol.transport is not None:
            protocol.transport.abort()


__all__ = [
    "EndpointStandin",
    "Server",
    "drop_connection",
    "error_response",
    "json_response",
    "make_app",
    "make_server",
    "print_ready",
    "read_json",
    "run_endpoints",
    "run_until_stopped",
]
