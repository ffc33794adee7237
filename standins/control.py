"""The control port that stand-ins of endpoints have in common.

It stays open when the endpoint dies, so that its runs can still be counted.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Protocol

from standins.serving import json_response, make_app

if TYPE_CHECKING:
    from collections.abc import Sequence

    from aiohttp import web

    from standins.serving import Server


class Endpoint(Protocol):
    """What experiments do with the stand-in of any endpoint."""

    faults: Any

    def runs(self) -> Sequence[object]:
        """Return everything received whole, oldest first."""
        ...

    def counters(self) -> object:
        """Return the work done since the last reset."""
        ...

    def reset(self) -> None:
        """Forget what ran; faults are over."""
        ...

    def die(self) -> None:
        """Lose everything; the owner closes the connections."""
        ...

    def revive(self) -> None:
        """Start again; faults are over."""
        ...


class EndpointControl:
    """Handlers of a control port; what faults there are is the subclass's.

    Args:
        endpoint: What is controlled.
        server: The endpoint's own interface.
    """

    def __init__(self, endpoint: Endpoint, server: Server) -> None:
        self._endpoint = endpoint
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
        raise NotImplementedError

    async def _runs(self, request: web.Request) -> web.Response:
        del request
        return json_response(self._endpoint.runs())

    async def _counters(self, request: web.Request) -> web.Response:
        del request
        return json_response(self._endpoint.counters())

    async def _reset(self, request: web.Request) -> web.Response:
        del request
        self._endpoint.reset()
        return json_response(self._endpoint.counters())

    async def _set_dead(self, dead: bool | None) -> None:
        """Let the endpoint die or live again; ``None`` leaves it as it is."""
        if dead is True:
            self._endpoint.die()
            await self._server.until_closed()
        elif dead is False and self._endpoint.faults.dead:
            self._endpoint.revive()
            await self._server.start()


__all__ = ["Endpoint", "EndpointControl"]
