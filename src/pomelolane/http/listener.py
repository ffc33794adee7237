"""The HTTP server under the gateway: uvicorn with guards on a request's head.

A head that is too long, too slow or malformed gets a problem-details answer,
and its connection is closed; other connections do not feel it.
"""

from __future__ import annotations

import asyncio
import socket
from typing import TYPE_CHECKING, Any

import uvicorn

from pomelolane.endpoints.caller_protocol import RelayHttpProtocol
from pomelolane.http.problem import (
    encode_problem,
    problem_from_refusal,
    problem_headers,
)
from pomelolane.outcomes import Outcome, Reason, Refusal

if TYPE_CHECKING:
    from collections.abc import Callable

MAX_HEAD_BYTES = 32 * 1024
KEEP_ALIVE_S = 75
_HEAD_END = b"\r\n\r\n"
BACKLOG = 2048
_STATUS_LINES = {
    400: b"HTTP/1.1 400 Bad Request\r\n",
    408: b"HTTP/1.1 408 Request Timeout\r\n",
    431: b"HTTP/1.1 431 Request Header Fields Too Large\r\n",
}


class GuardedProtocol(RelayHttpProtocol):
    """uvicorn's protocol with guards on the head of each request.

    Attributes:
        header_timeout_ms: Bound on a head's time; the server makes protocols
            itself, so the bound belongs to the class.
    """

    header_timeout_ms: int

    def __init__(self, *args: Any, **kwargs: Any) -> None:
        super().__init__(*args, **kwargs)
        self._head_bytes = 0
        self._head_tail = b""
        self._in_head = False
        self._is_refused = False
        self._head_timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Wait for the first head, for a bounded time."""
        super().connection_made(transport)
        self._arm()

    def connection_lost(self, exc: Exception | None) -> None:
        """Wait for no head any more."""
        self._disarm()
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        """Count the bytes of heads and refuse one that is too long."""
        if self.parser is None or self.transport.is_closing() or self._is_refused:
            return
        if not self._body_expected():
            if not self._in_head:
                self._begin_head()
            self._count_head(data)
            if self._head_bytes > MAX_HEAD_BYTES:
                self._refuse(431, f"the head is longer than {MAX_HEAD_BYTES} bytes")
                return
        super().data_received(data)

    def _begin_head(self) -> None:
        self._in_head = True
        self._head_bytes = 0
        self._head_tail = b""
        if self._head_timer is None:
            self._arm()

    def _count_head(self, data: bytes) -> None:
        """Count the bytes before the end of the head, which may lie in two pieces."""
        seen = self._head_tail + data
        end = seen.find(_HEAD_END)
        self._head_bytes += len(data) if end < 0 else end - len(self._head_tail)
        self._head_tail = seen[1 - len(_HEAD_END) :]

    def on_headers_complete(self) -> None:
        """Note that a head has come whole."""
        self._disarm()
        self._in_head = False
        super().on_headers_complete()

    def on_message_complete(self) -> None:
        """Note that the next bytes begin another head."""
        super().on_message_complete()
        self._in_head = False

    def send_400_response(self, msg: str) -> None:
        """Refuse what the parser cannot read, as problem details."""
        self._refuse(400, msg)

    def _body_expected(self) -> bool:
        return self.cycle is not None and self.cycle.more_body

    def _arm(self) -> None:
        delay_s = self.header_timeout_ms / 1000
        self._head_timer = self.loop.call_later(delay_s, self._head_is_late)

    def _disarm(self) -> None:
        if self._head_timer is not None:
            self._head_timer.cancel()
            self._head_timer = None

    def _head_is_late(self) -> None:
        self._head_timer = None
        if self._head_bytes == 0:
            self.transport.close()
            return
        self._refuse(408, f"the head took over {self.header_timeout_ms} ms")

    def _refuse(self, status: int, detail: str) -> None:
        self._disarm()
        if self.transport.is_closing():
            return
        is_answering = self.cycle is not None and not self.cycle.response_complete
        if is_answering and not self._body_expected():
            # The request before came whole, and still gets its answer.
            self._is_refused = True
            self.cycle.keep_alive = False
            return
        if not is_answering:
            self.transport.write(_raw_problem(status, detail))
        self.transport.close()


def make_protocol(header_timeout_ms: int) -> type[GuardedProtocol]:
    """Return a protocol class with the given bound on a head's time."""
    bound = {"header_timeout_ms": header_timeout_ms}
    return type("BoundProtocol", (GuardedProtocol,), bound)


def _raw_problem(status: int, detail: str) -> bytes:
    refusal = Refusal(Outcome.NOT_RUN, Reason.BAD_REQUEST, detail=detail)
    problem = problem_from_refusal(refusal)
    body = encode_problem(problem)
    head = [_STATUS_LINES[status]]
    head += [name + b": " + value + b"\r\n" for name, value in problem_headers(problem)]
    head.append(b"content-length: %d\r\nconnection: close\r\n\r\n" % len(body))
    return b"".join(head) + body


class Listener:
    """Runs the HTTP server inside a loop that somebody else owns.

    Args:
        app: The ASGI application.
        header_timeout_ms: Longest time for a request's head.
    """

    def __init__(self, app: Callable[..., Any], header_timeout_ms: int) -> None:
        config = uvicorn.Config(
            app,
            http=make_protocol(header_timeout_ms),
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


def listening_socket(host: str, port: int) -> socket.socket:
    """Return a socket bound to an address, not yet listening."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind((host, port))
    sock.setblocking(False)
    return sock
