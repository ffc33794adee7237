"""The callers' HTTP interface: routes, and the way of a call through them.

Every answer that is not an endpoint's own is a problem-details document.
"""

from __future__ import annotations

import asyncio
import uuid
from dataclasses import dataclass
from typing import TYPE_CHECKING

from blacksheep import Application, Request, Response

from pomelolane import events
from pomelolane.exceptions import BadRequestError
from pomelolane.gateway import metrics
from pomelolane.gateway.answers import answer_from_object
from pomelolane.gateway.ending import Delivered
from pomelolane.gateway.identity import KeyRing
from pomelolane.gateway.intake import call_from_chat, call_from_plain
from pomelolane.gateway.sinks import CallerSink, JoiningSink
from pomelolane.http.exchange import SCOPE_KEY, Exchange
from pomelolane.http.problem import (
    encode_problem,
    problem_from_refusal,
    refusal_from_bad_request,
)
from pomelolane.http.responses import function_from_method, problem_response
from pomelolane.logs import log_event
from pomelolane.outcomes import Outcome, Reason, Refusal

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from pomelolane.gateway.deferred import JobCalls
    from pomelolane.gateway.dispatch import Dispatcher
    from pomelolane.gateway.ending import AnswerSink
    from pomelolane.gateway.intake import Call
    from pomelolane.gateway.keyed import KeyedCalls
    from pomelolane.model import Organisation, Tree
    from pomelolane.tree import CurrentTree

    Handler = Callable[[Exchange], Awaitable[Response | None]]

CALLER_GONE_STATUS = 499
ALL_METHODS = ("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS")


@dataclass(frozen=True, slots=True)
class GatewayLimits:
    """Bounds on what a caller may send.

    Attributes:
        max_body_bytes: Largest body.
        body_timeout_ms: Longest time for a body to come whole.
    """

    max_body_bytes: int
    body_timeout_ms: int


class Gateway:
    """Serves callers.

    Args:
        tree: The settings tree in force.
        dispatcher: Serves calls without a key.
        keyed: Serves calls with an idempotency key.
        jobs: Takes calls that prefer an asynchronous answer.
        limits: Bounds on input.
    """

    def __init__(
        self,
        tree: CurrentTree,
        dispatcher: Dispatcher,
        keyed: KeyedCalls,
        jobs: JobCalls,
        limits: GatewayLimits,
    ) -> None:
        self._tree = tree
        self._dispatcher = dispatcher
        self._keyed = keyed
        self._jobs = jobs
        self._limits = limits
        self._keys = KeyRing(tree.value)
        tree.on_change(self._adopt)
        self.draining = False

    def _adopt(self, tree: Tree) -> None:
        self._keys = KeyRing(tree)

    @property
    def keys(self) -> KeyRing:
        """The keys of the tree in force."""
        return self._keys

    @property
    def ready(self) -> bool:
        """Whether the balancer should send callers here."""
        return self._tree.ready and not self.draining

    def mount(self, app: Application) -> None:
        """Add the callers' routes to an application."""
        add = app.router.add
        plain = function_from_method(self._plain_route)
        add("POST", "/v1/chat/completions", self._route(self.chat))
        for method in ALL_METHODS:
            add(method, "/services/{service}/{path:path}", plain)
            add(method, "/services/{service}", plain)
        app.router.fallback = function_from_method(self._fallback)
        add("GET", "/v1/jobs/{job_id}", self._job_route(self._jobs.state))
        add("GET", "/v1/jobs/{job_id}/answer", self._job_route(self._jobs.answer))
        add("DELETE", "/v1/jobs/{job_id}", self._job_route(self._jobs.cancel))

    async def chat(self, exchange: Exchange) -> Response | None:
        """Serve ``POST /v1/chat/completions``."""
        organisation = self._authenticate(exchange)
        body = await self._body(exchange)
        call = call_from_chat(_new_id(), self._tree.value, organisation, exchange, body)
        return await self.serve(call, exchange)

    async def plain(
        self, exchange: Exchange, service: str, path: str
    ) -> Response | None:
        """Serve ``/services/{service}/{path}``."""
        organisation = self._authenticate(exchange)
        body = await self._body(exchange)
        call = call_from_plain(
            _new_id(), self._tree.value, organisation, exchange, service, path, body
        )
        return await self.serve(call, exchange)

    async def serve(self, call: Call, exchange: Exchange) -> Response | None:
        """Serve a checked call; None where the answer went out already."""
        metrics.set_open_requests(len(self._dispatcher.open_requests) + 1)
        if call.respond_async:
            return await self._jobs.accept(call)
        request_id = (b"x-request-id", call.request_id.encode())
        sink: AnswerSink = CallerSink(exchange, (request_id,))
        if not call.streamed:
            sink = JoiningSink(exchange, (request_id,), call.service.name)
        task = asyncio.current_task()

        def on_gone() -> None:
            if not self._outlives_caller(call):
                task.cancel()

        exchange.watch_disconnect(on_gone)
        try:
            result = await self._run(call, exchange, sink)
        except asyncio.CancelledError:
            if not exchange.gone:
                raise
            task.uncancel()
            result = Refusal(Outcome.UNKNOWN, Reason.CALLER_GONE)
        metrics.count_ending(call, result)
        if isinstance(result, Delivered):
            return None
        return await self._end(call, exchange, sink, result)

    async def _run(
        self, call: Call, exchange: Exchange, sink: AnswerSink
    ) -> Delivered | Refusal:
        if not call.key:
            return await self._dispatcher.run(self._dispatcher.open(call), sink)

        async def replay(data: bytes) -> None:
            answer = answer_from_object(data)
            headers = [
                (b"content-type", answer.content_type),
                (b"x-request-id", call.request_id.encode()),
                (b"idempotent-replayed", b"true"),
            ]
            await exchange.respond(answer.status, headers, answer.body)

        return await self._keyed.serve(call, sink, replay)

    def _outlives_caller(self, call: Call) -> bool:
        """A dispatched call with a key goes on, so that a repeat finds its answer."""
        state = self._dispatcher.open_requests.get(call.request_id)
        return bool(call.key) and state is not None and state.dispatched

    async def _end(
        self,
        call: Call,
        exchange: Exchange,
        sink: AnswerSink,
        refusal: Refusal,
    ) -> Response | None:
        if refusal.reason is Reason.CALLER_GONE:
            return Response(CALLER_GONE_STATUS)
        problem = problem_from_refusal(refusal, call.request_id)
        if not exchange.answered:
            return problem_response(refusal, call.request_id)
        if sink.streams_events:
            event = b"event: error\ndata: " + encode_problem(problem) + b"\n\n"
            await exchange.send({"type": "http.response.body", "body": event})
        else:
            exchange.abort()
        return None

    def _authenticate(self, exchange: Exchange) -> Organisation:
        if not self._tree.ready:
            raise BadRequestError(503, Reason.NOT_READY, "no settings are in force yet")
        return self._keys.organisation(exchange.header(b"authorization"))

    async def _body(self, exchange: Exchange) -> bytes:
        limits = self._limits
        return await exchange.read_body(limits.max_body_bytes, limits.body_timeout_ms)

    def _route(self, handler: Handler) -> Callable[[Request], Awaitable[Response]]:
        async def handle(request: Request) -> Response:
            return await answer_with_problems(request.scope[SCOPE_KEY], handler)

        return handle

    async def _plain_route(self, request: Request) -> Response:
        values = request.route_values or {}
        service = values.get("service", "")
        exchange = request.scope[SCOPE_KEY]
        prefix = f"/services/{service}".encode()
        path = exchange.path[len(prefix) :].decode("latin-1") or "/"

        async def handle(exchange: Exchange) -> Response | None:
            return await self.plain(exchange, service, path)

        return await answer_with_problems(exchange, handle)

    def _job_route(
        self, handler: Callable[[Organisation, str], Awaitable[Response]]
    ) -> Callable[[Request], Awaitable[Response]]:
        async def handle(request: Request) -> Response:
            job_id = (request.route_values or {}).get("job_id", "")

            async def with_owner(exchange: Exchange) -> Response:
                return await handler(self._authenticate(exchange), job_id)

            return await answer_with_problems(request.scope[SCOPE_KEY], with_owner)

        return handle

    async def _fallback(self, request: Request) -> Response:
        del request
        return problem_response(
            Refusal(Outcome.NOT_RUN, Reason.NOT_FOUND, detail="there is no such path")
        )


async def answer_with_problems(exchange: Exchange, handler: Handler) -> Response:
    """Call a handler and turn typed errors into problem-details answers."""
    try:
        response = await handler(exchange)
    except BadRequestError as error:
        log_event(events.BAD_INPUT, reason=error.reason, status=error.status)
        response = problem_response(refusal_from_bad_request(error))
        if not exchange.body_read:
            response.add_header(b"connection", b"close")
    return response if response is not None else Response(200)


def _new_id() -> str:
    return uuid.uuid4().hex
