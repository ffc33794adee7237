"""An ASGI application around another one, whose handlers may answer by relay.

A handler takes the caller's channel out of the scope; what the inner
application then sends as its response is swallowed.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, ClassVar

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, MutableMapping
    from typing import Any

    from pomelolane.endpoints.relay import Send

    Receive = Callable[[], Awaitable[dict[str, Any]]]
    Application = Callable[[MutableMapping[str, Any], Receive, Send], Awaitable[None]]

_DISCONNECT = "http.disconnect"


class CallerChannel:
    """One caller's answer, to be written by the application or by a relay.

    Attributes:
        gone: Set when the server has told of the caller's leaving.
    """

    SCOPE_KEY: ClassVar[str] = "pomelolane.caller"

    def __init__(self, receive: Receive, send: Send) -> None:
        self.gone = asyncio.Event()
        self._receive = receive
        self._send = send
        self._taken = False
        self._watch: asyncio.Task[None] | None = None

    def take(self) -> Send:
        """Return the raw ``send``; the application's own is cut off."""
        self._taken = True
        return self._send

    def watch(self) -> None:
        """Look out for the caller's leaving, once the body has been read."""
        if self._watch is None:
            self._watch = asyncio.create_task(self._until_gone())

    def release(self) -> None:
        """Look out no longer."""
        if self._watch is not None:
            self._watch.cancel()

    async def receive(self) -> dict[str, Any]:
        """Pass on a message from the server."""
        message = await self._receive()
        if message["type"] == _DISCONNECT:
            self.gone.set()
        return message

    async def send(self, message: dict[str, object]) -> None:
        """Pass on a message of the application unless the channel was taken."""
        if not self._taken:
            await self._send(message)

    async def _until_gone(self) -> None:
        while not self.gone.is_set():
            await self.receive()


class RelayingApp:
    """Gives each request of the inner application a channel in its scope."""

    def __init__(self, app: Application) -> None:
        self._app = app

    async def __call__(
        self, scope: MutableMapping[str, Any], receive: Receive, send: Send
    ) -> None:
        """Serve one ASGI scope."""
        if scope["type"] != "http":
            await self._app(scope, receive, send)
            return
        channel = CallerChannel(receive, send)
        scope[CallerChannel.SCOPE_KEY] = channel
        try:
            await self._app(scope, channel.receive, channel.send)
        finally:
            channel.release()
