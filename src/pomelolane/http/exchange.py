"""One HTTP exchange with a caller, over ASGI.

Blacksheep routes the request; the body is read and a streamed answer is sent
through this class, so that limits hold and bytes pass without copies.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct
from typing import TYPE_CHECKING, Any

from pomelolane.exceptions import BadRequestError
from pomelolane.outcomes import Reason

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable
    from typing import TypeAlias

    AsgiMessage: TypeAlias = dict[str, Any]
    AsgiSend: TypeAlias = Callable[[AsgiMessage], Awaitable[None]]
    AsgiReceive: TypeAlias = Callable[[], Awaitable[AsgiMessage]]

SCOPE_KEY = "pomelolane.exchange"
_CLOSE = (b"connection", b"close")
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)
_FLUSH_ON_CLOSE = struct.pack("ii", 0, 0)


class Exchange:
    """A caller's request and the way its answer goes back.

    Attributes:
        method: HTTP method.
        path: Raw path.
        query: Raw query string.
        headers: All headers, names in lower case.
        extra_headers: Headers that are added to the answer.
        body_read: Whether the whole request body has been read.
        gone: Whether the caller left before the answer ended.
    """

    def __init__(
        self, scope: dict[str, Any], receive: AsgiReceive, send: AsgiSend
    ) -> None:
        self.method: str = scope["method"]
        self.path: bytes = scope["raw_path"]
        self.query: bytes = scope["query_string"]
        self.headers: list[tuple[bytes, bytes]] = scope["headers"]
        self.extra_headers: list[tuple[bytes, bytes]] = []
        self._takes_chunks = scope.get("http_version") != "1.0"
        self.gone = False
        self._answered = False
        self._completed = False
        self._ends_by_close = False
        # uvicorn's own record of the answer, which also knows of bytes that
        # the relay wrote beside this class; absent under other servers.
        self._cycle = getattr(send, "__self__", None)
        self._receive = receive
        self._send = send
        self.body_read = False
        self._watcher: asyncio.Task[None] | None = None

    @property
    def answered(self) -> bool:
        """Whether an answer has been begun here."""
        return self._answered or getattr(self._cycle, "response_started", False)

    @property
    def completed(self) -> bool:
        """Whether the last byte of the answer was handed over."""
        return self._completed or getattr(self._cycle, "response_complete", False)

    @property
    def raw_send(self) -> AsgiSend:
        """The server's own ``send``, for the relay's direct way."""
        return self._send

    def header(self, name: bytes) -> bytes:
        """Return the first value of a header, empty where it is absent."""
        for known, value in self.headers:
            if known == name:
                return value
        return b""

    async def read_body(self, max_bytes: int, timeout_ms: int) -> bytes:
        """Read the whole body.

        Raises:
            BadRequestError: 413 over ``max_bytes``, 408 where it does not come
                whole in time, 400 where the caller leaves half-way.
        """
        declared = self.header(b"content-length")
        if declared.isdigit() and int(declared) > max_bytes:
            raise _too_large(max_bytes)
        try:
            async with asyncio.timeout(timeout_ms / 1000):
                return await self._read_chunks(max_bytes)
        except TimeoutError:
            raise BadRequestError(
                408, Reason.BODY_TIMEOUT, f"the body took over {timeout_ms} ms"
            ) from None

    async def _read_chunks(self, max_bytes: int) -> bytes:
        # One buffer: a list of many small parts takes several times their size.
        body = bytearray()
        while True:
            message = await self._receive()
            if message["type"] == "http.disconnect":
                raise BadRequestError(400, Reason.CALLER_GONE, "the body is cut off")
            chunk = message.get("body", b"")
            if len(body) + len(chunk) > max_bytes:
                raise _too_large(max_bytes)
            if not message.get("more_body", False):
                self.body_read = True
                return bytes(body + chunk) if body else chunk
            body += chunk

    async def skip_body(self, max_bytes: int, timeout_ms: int) -> None:
        """Read what is left of a body that is refused, within bounds.

        A connection that is closed with unread bytes is reset, and the caller
        may never see the answer.
        """
        if self.body_read or self.method in ("GET", "HEAD"):
            return
        size = 0
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout_ms / 1000):
                while size <= max_bytes:
                    message = await self._receive()
                    size += len(message.get("body", b""))
                    if not message.get("more_body", False):
                        return

    def watch_disconnect(self, on_gone: Callable[[], object]) -> None:
        """Call ``on_gone()`` once if the caller goes before the answer ends."""
        self._watcher = asyncio.create_task(self._watch(on_gone))

    async def _watch(self, on_gone: Callable[[], object]) -> None:
        while True:
            message = await self._receive()
            if message["type"] == "http.disconnect":
                break
        if self.completed:
            return
        self.gone = True
        on_gone()

    def unwatch(self) -> None:
        """Stop watching for the caller's leave."""
        if self._watcher is not None:
            self._watcher.cancel()
            self._watcher = None

    async def send_head(
        self,
        status: int,
        headers: list[tuple[bytes, bytes]],
        *,
        ends_by_close: bool = False,
    ) -> None:
        """Send the head of an answer whose body follows in pieces.

        Args:
            status: HTTP status.
            headers: All headers.
            ends_by_close: Whether only the close of the connection tells where the body
                ends. So it is in any case for HTTP/1.0 callers, who know no chunks.
        """
        has_length = any(name == b"content-length" for name, _ in headers)
        if ends_by_close or not (has_length or self._takes_chunks):
            headers = headers if _CLOSE in headers else [*headers, _CLOSE]
            self._end_by_close()
        await self.send(
            {"type": "http.response.start", "status": status, "headers": headers}
        )

    def _end_by_close(self) -> None:
        """Let the close of the connection tell where the answer ends."""
        if self._cycle is None:
            return
        self._ends_by_close = True
        # uvicorn then adds no framing of its own.
        self._cycle.chunked_encoding = False
        # An answer that is cut off must not look complete, even if this process dies.
        self._set_linger(_RESET_ON_CLOSE)

    def _set_linger(self, linger: bytes) -> None:
        sock = self._cycle.transport.get_extra_info("socket")
        with contextlib.suppress(OSError):
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)

    async def send(self, message: AsgiMessage) -> None:
        """Send an ASGI message of an answer given here."""
        self._answered = True
        if message["type"] == "http.response.start" and self.extra_headers:
            headers = [*message["headers"], *self.extra_headers]
            message = {**message, "headers": headers}
        if message["type"] == "http.response.body":
            is_last = not message.get("more_body", False)
            self._completed = self._completed or is_last
            if self._ends_by_close:
                self._cycle.expected_content_length = len(message.get("body", b""))
                if is_last:
                    self._set_linger(_FLUSH_ON_CLOSE)
        await self._send(message)

    def abort(self) -> None:
        """Leave a begun answer open, so that the server cuts the connection."""
        self._answered = True

    async def respond(
        self, status: int, headers: list[tuple[bytes, bytes]], body: bytes
    ) -> None:
        """Send a whole answer."""
        length = (b"content-length", str(len(body)).encode())
        all_headers = [*headers, length]
        if not self.body_read and self.method not in ("GET", "HEAD", "DELETE"):
            all_headers.append(_CLOSE)
        await self.send(
            {"type": "http.response.start", "status": status, "headers": all_headers}
        )
        await self.send({"type": "http.response.body", "body": body})


class ExchangeMiddleware:
    """ASGI wrapper that lets handlers answer through their exchange.

    Args:
        app: The blacksheep application.
    """

    def __init__(self, app: Callable[..., Awaitable[None]]) -> None:
        self._app = app

    async def __call__(
        self, scope: dict[str, Any], receive: AsgiReceive, send: AsgiSend
    ) -> None:
        """Serve one ASGI call."""
        if scope["type"] != "http":
            await self._app(scope, receive, send)
            return
        exchange = Exchange(scope, receive, send)
        scope[SCOPE_KEY] = exchange

        passes = False

        async def send_unless_answered(message: AsgiMessage) -> None:
            nonlocal passes
            if message["type"] == "http.response.start":
                passes = not exchange.answered
            if passes:
                await send(message)

        try:
            await self._app(scope, receive, send_unless_answered)
        finally:
            exchange.unwatch()


def _too_large(max_bytes: int) -> BadRequestError:
    return BadRequestError(
        413, Reason.BODY_TOO_LARGE, f"at most {max_bytes} bytes of body are taken"
    )
