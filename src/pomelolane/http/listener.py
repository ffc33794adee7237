"""The HTTP server under the gateway: uvicorn inside a loop that somebody else owns."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

import uvicorn

from pomelolane.http.connections import CallerConnections
from pomelolane.http.protocol import make_protocol

if TYPE_CHECKING:
    import socket
    from collections.abc import Callable

KEEP_ALIVE_S = 75
BACKLOG = 2048


class Listener:
    """Runs the HTTP server inside a loop that somebody else owns.

    Args:
        app: The ASGI application.
        header_timeout_ms: Longest time for a request's head.
        registry: Connections that share their bounds with this listener's; one of its
            own if none is given.
    """

    def __init__(
        self,
        app: Callable[..., Any],
        header_timeout_ms: int,
        registry: CallerConnections | None = None,
    ) -> None:
        config = uvicorn.Config(
            app,
            http=make_protocol(header_timeout_ms, registry or CallerConnections()),
            ws="none",
            lifespan="off",
            access_log=False,
            log_config=None,
            log_level="critical",
            proxy_headers=False,
            server_header=False,
            date_header=False,
            timeout_keep_alive=KEEP_ALIVE_S,
            backlog=BACKLOG,
        )
        self._server = uvicorn.Server(config)
        self._task: asyncio.Task[None] | None = None

    async def start(self, sock: socket.socket) -> None:
        """Begin to take connections on a bound socket."""
        self._server.config.load()
        self._server.lifespan = self._server.config.lifespan_class(self._server.config)
        await self._server.startup([sock])
        self._task = asyncio.create_task(self._server.main_loop())

    async def stop(self) -> None:
        """Close the listener, let open requests end, then close the rest."""
        self._server.should_exit = True
        if self._task is not None:
            await self._task
        await self._server.shutdown()
