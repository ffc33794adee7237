"""ASGI applications of a forwarding VM: for callers and other VMs, and for probes.

They use no web framework, as they route at most three paths. Importing blacksheep took
0.07 s of the 0.35 s of processor time that a VM needs to start (-X importtime), and
callers wait for the start.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import msgspec

from pomelolane.http.exchange import Exchange
from pomelolane.http.metrics import get_metrics_page

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from pomelolane.http.exchange import AsgiReceive, AsgiSend

_JSON = b"application/json"


class ExchangeApp:
    """Serves every request as an exchange.

    Args:
        serve: Serves one exchange to its end.
    """

    def __init__(self, serve: Callable[[Exchange], Awaitable[None]]) -> None:
        self._serve = serve

    async def __call__(
        self, scope: dict[str, Any], receive: AsgiReceive, send: AsgiSend
    ) -> None:
        """Serve one ASGI call."""
        exchange = Exchange(scope, receive, send)
        try:
            await self._serve(exchange)
        finally:
            exchange.unwatch()


class ProbeApp:
    """Serves readiness, metrics and status to the load balancer and operators.

    Args:
        is_ready: Returns whether this VM accepts callers.
        report: Returns the status report, JSON-encodable.
    """

    def __init__(
        self, is_ready: Callable[[], bool], report: Callable[[], object]
    ) -> None:
        self._is_ready = is_ready
        self._report = report
        self._pages = {
            b"/readyz": self._readiness,
            b"/metrics": self._metrics,
            b"/status": self._status,
        }

    async def __call__(
        self, scope: dict[str, Any], receive: AsgiReceive, send: AsgiSend
    ) -> None:
        """Serve one ASGI call."""
        exchange = Exchange(scope, receive, send)
        page = self._pages.get(exchange.path) if exchange.method == "GET" else None
        status, media_type, body = page(exchange) if page else _not_found()
        await exchange.respond(status, [(b"content-type", media_type)], body)

    def _readiness(self, exchange: Exchange) -> tuple[int, bytes, bytes]:
        del exchange
        ready = self._is_ready()
        return 200 if ready else 503, _JSON, msgspec.json.encode({"ready": ready})

    def _metrics(self, exchange: Exchange) -> tuple[int, bytes, bytes]:
        return 200, *get_metrics_page(exchange.header(b"accept"))

    def _status(self, exchange: Exchange) -> tuple[int, bytes, bytes]:
        del exchange
        return 200, _JSON, msgspec.json.encode(self._report())


def _not_found() -> tuple[int, bytes, bytes]:
    return 404, _JSON, msgspec.json.encode({"error": "no page has this path"})
