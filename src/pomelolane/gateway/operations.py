"""What operators and the balancer ask a VM: health, readiness, figures, status.

None of it needs the platform, so it answers also when a VM is cut off.
"""

from __future__ import annotations

from importlib import resources
from typing import TYPE_CHECKING

from blacksheep import Application, Content, Request, Response

from pomelolane.http.responses import (
    function_from_method,
    json_response,
    metrics_response,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from pomelolane.gateway.app import Gateway

STATUS_PAGE = "status.html"


class Operations:
    """Serves the operators' read-only routes.

    Args:
        gateway: Whose readiness is told.
        is_ready: Whether the VM as a whole can serve.
        report: Returns the status report, JSON-encodable.
    """

    def __init__(
        self,
        gateway: Gateway,
        is_ready: Callable[[], bool],
        report: Callable[[], object],
    ) -> None:
        self._gateway = gateway
        self._is_ready = is_ready
        self._report = report

    def mount(self, app: Application) -> None:
        """Add the routes to an application."""
        add = app.router.add
        add("GET", "/healthz", function_from_method(self._health))
        add("GET", "/readyz", function_from_method(self._readiness))
        add("GET", "/metrics", function_from_method(self._metrics))
        add("GET", "/status", function_from_method(self._status))
        add("GET", "/status.html", function_from_method(self._status_page))

    async def _health(self, request: Request) -> Response:
        del request
        return json_response(200, {"alive": True})

    async def _readiness(self, request: Request) -> Response:
        del request
        ready = self._is_ready()
        draining = self._gateway.draining
        status = 200 if ready else 503
        return json_response(status, {"ready": ready, "draining": draining})

    async def _metrics(self, request: Request) -> Response:
        return metrics_response(request)

    async def _status(self, request: Request) -> Response:
        del request
        return json_response(200, self._report())

    async def _status_page(self, request: Request) -> Response:
        del request
        page = resources.files("pomelolane.gateway") / STATUS_PAGE
        content = Content(b"text/html; charset=utf-8", page.read_bytes())
        return Response(200, content=content)
