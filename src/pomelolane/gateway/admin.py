"""The operators' routes that change something: settings, drain, leaving.

The decisions are in ``pomelolane.settings``; this mounts them over HTTP.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

import msgspec
from blacksheep import Application, Content, Request, Response

from pomelolane import events
from pomelolane.exceptions import BadRequestError
from pomelolane.gateway.app import answer_with_problems
from pomelolane.http.exchange import SCOPE_KEY, Exchange
from pomelolane.http.responses import json_response
from pomelolane.logs import log_event
from pomelolane.outcomes import Reason
from pomelolane.settings.admin import (
    AdminRequest,
    AdminResponse,
    answer_branch,
    answer_history,
    answer_index,
    answer_put,
)
from pomelolane.settings.schema import PLATFORM_BRANCH
from pomelolane.settings.wire import BranchBody

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from pomelolane.gateway.app import Gateway
    from pomelolane.settings.store import SettingsStore
    from pomelolane.tree import CurrentTree

    Handler = Callable[[SettingsStore, AdminRequest], Awaitable[AdminResponse]]

MAX_BRANCH_BYTES = 2 * 1024 * 1024
BODY_TIMEOUT_MS = 10_000


@dataclass(frozen=True, slots=True)
class AdminHooks:
    """What the routes set in motion.

    Attributes:
        stop_soon: Begins the planned stop of this VM.
        mark_leaving: Takes the id of an endpoint that leaves.
        offer: Takes branch, version and content of an accepted change.
    """

    stop_soon: Callable[[], None]
    mark_leaving: Callable[[str], None]
    offer: Callable[[str, int, bytes], None]


class Admin:
    """Mounts the operators' routes.

    Args:
        store: The settings tree in the platform's table.
        gateway: Holds the keys in force.
        tree: The settings tree in force.
        hooks: What accepted calls set in motion.
    """

    def __init__(
        self,
        store: SettingsStore,
        gateway: Gateway,
        tree: CurrentTree,
        hooks: AdminHooks,
    ) -> None:
        self._store = store
        self._gateway = gateway
        self._tree = tree
        self._hooks = hooks

    def mount(self, app: Application) -> None:
        """Add the routes to an application."""
        add = app.router.add
        branch = "/admin/settings/{branch}"
        add("GET", "/admin/settings", self._settings_route(answer_index))
        add("GET", branch, self._settings_route(answer_branch))
        add("GET", f"{branch}/history", self._settings_route(answer_history))
        add("PUT", branch, self._settings_route(self._put))
        add("POST", "/admin/drain", self._route(self._drain))
        add("POST", "/admin/endpoints/{id}/leaving", self._route(self._leaving))

    async def _put(self, store: SettingsStore, request: AdminRequest) -> AdminResponse:
        response = await answer_put(store, request)
        if response.status == 200:
            accepted = _branch_body(response.body)
            content = bytes(accepted.content)
            self._hooks.offer(accepted.branch, accepted.version, content)
        return response

    async def _drain(self, exchange: Exchange, request: Request) -> Response:
        del request
        self._require_team(exchange, PLATFORM_BRANCH)
        self._hooks.stop_soon()
        return json_response(202, {"draining": True})

    async def _leaving(self, exchange: Exchange, request: Request) -> Response:
        endpoint_id = (request.route_values or {}).get("id", "")
        endpoint = self._tree.value.endpoints.get(endpoint_id)
        if endpoint is None:
            raise BadRequestError(404, Reason.NOT_FOUND, "there is no such endpoint")
        owner = self._tree.value.services[endpoint.service].team
        self._require_team(exchange, owner, PLATFORM_BRANCH)
        log_event(events.ENDPOINT_LEAVING, endpoint=endpoint_id, source="operator")
        self._hooks.mark_leaving(endpoint_id)
        return json_response(202, {"leaving": endpoint_id})

    def _require_team(self, exchange: Exchange, *teams: str) -> None:
        team = self._gateway.keys.operator(exchange.header(b"authorization"))
        if team.name not in teams:
            raise BadRequestError(
                403, Reason.FORBIDDEN, f"the key is team {team.name}'s"
            )

    def _settings_route(
        self, handler: Handler
    ) -> Callable[[Request], Awaitable[Response]]:
        async def call(exchange: Exchange, request: Request) -> Response:
            branch = (request.route_values or {}).get("branch", "")
            answer = await handler(self._store, await _admin_request(exchange, branch))
            headers = [(n.encode(), v.encode()) for n, v in answer.headers]
            content = Content(answer.content_type.encode(), answer.body)
            return Response(answer.status, headers, content)

        return self._route(call)

    def _route(
        self, handler: Callable[[Exchange, Request], Awaitable[Response]]
    ) -> Callable[[Request], Awaitable[Response]]:
        async def handle(request: Request) -> Response:
            async def call(exchange: Exchange) -> Response:
                return await handler(exchange, request)

            return await answer_with_problems(request.scope[SCOPE_KEY], call)

        return handle


async def _admin_request(exchange: Exchange, branch: str) -> AdminRequest:
    body = b""
    if exchange.method == "PUT":
        body = await exchange.read_body(MAX_BRANCH_BYTES, BODY_TIMEOUT_MS)
    return AdminRequest(
        authorization=exchange.header(b"authorization").decode("latin-1"),
        branch=branch,
        if_match=exchange.header(b"if-match").decode("latin-1"),
        note=exchange.header(b"x-note").decode("latin-1"),
        body=body,
    )


def _branch_body(body: bytes) -> BranchBody:
    return msgspec.json.decode(body, type=BranchBody)
