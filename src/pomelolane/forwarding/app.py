"""The HTTP applications of a forwarding VM: callers', and the balancer's."""

from __future__ import annotations

from typing import TYPE_CHECKING

from blacksheep import Application, Request, Response, Router

from pomelolane.http.exchange import SCOPE_KEY
from pomelolane.http.responses import (
    function_from_method,
    json_response,
    make_asgi,
    metrics_response,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from pomelolane.forwarding.forwarder import Forwarder
    from pomelolane.http.exchange import ExchangeMiddleware


class CallerApp:
    """Takes every path and hands it to the forwarder.

    Args:
        forwarder: Serves the exchanges.
    """

    def __init__(self, forwarder: Forwarder) -> None:
        self._forwarder = forwarder
        self._app = Application(router=Router())
        self._app.router.fallback = function_from_method(self._forward)

    async def start(self) -> ExchangeMiddleware:
        """Return the ASGI application, ready to be served."""
        await self._app.start()
        return make_asgi(self._app)

    async def _forward(self, request: Request) -> Response:
        await self._forwarder.serve(request.scope[SCOPE_KEY])
        # The exchange has its answer; this one is dropped.
        return Response(200)


class ProbeApp:
    """Answers the balancer's and the operators' questions.

    Args:
        is_ready: Whether callers should be sent here.
        report: Returns the status report, JSON-encodable.
    """

    def __init__(
        self, is_ready: Callable[[], bool], report: Callable[[], object]
    ) -> None:
        self._is_ready = is_ready
        self._report = report
        self._app = Application(router=Router())
        add = self._app.router.add
        add("GET", "/readyz", function_from_method(self._readiness))
        add("GET", "/metrics", function_from_method(self._metrics))
        add("GET", "/status", function_from_method(self._status))

    async def start(self) -> ExchangeMiddleware:
        """Return the ASGI application, ready to be served."""
        await self._app.start()
        return make_asgi(self._app)

    async def _readiness(self, request: Request) -> Response:
        del request
        ready = self._is_ready()
        return json_response(200 if ready else 503, {"ready": ready})

    async def _metrics(self, request: Request) -> Response:
        return metrics_response(request)

    async def _status(self, request: Request) -> Response:
        del request
        return json_response(200, self._report())
