"""Checks callers' requests: route, key and body."""

from __future__ import annotations

import asyncio
import contextlib
import uuid
from dataclasses import dataclass
from typing import TYPE_CHECKING

from pomelolane.exceptions import BadRequestError
from pomelolane.forwarding import request_log
from pomelolane.forwarding.call import ForwardCall
from pomelolane.forwarding.routes import RouteTable, service_from_route
from pomelolane.logallowance import LogAllowance
from pomelolane.outcomes import Reason
from pomelolane.quarantine import fingerprint_from_request

if TYPE_CHECKING:
    from pomelolane.forwarding.configuration import (
        Configuration,
        CurrentConfiguration,
        Route,
        RouteTarget,
    )
    from pomelolane.forwarding.looplag import EventLoopLag
    from pomelolane.http.exchange import Exchange
    from pomelolane.ports import Clock
    from pomelolane.ports.forwarding import CallDescription, Dialect

    Targets = tuple[RouteTarget, ...]

DEFAULT_DEADLINE_MS = 30_000
"""Time limit of requests without a deadline header; a route may have a shorter one."""

START_TIMEOUT_MS = 800
"""Longest time that a request waits for a starting VM; callers disconnect from a VM
that has not read their request after a second."""

BODY_TIMEOUT_MS = 10_000
"""Longest time to read a body; callers on slow links send megabytes in less."""

_REJECTIONS_LOGGED_PER_S = 50


@dataclass(frozen=True, slots=True)
class _Rules:
    """A configuration as requests are checked by it.

    Attributes:
        configuration: The configuration.
        since_ms: Since when requests are checked by it.
        routes: Its routes.
        routed_since_ms: Targets of each route, and since when it has led to them, by
            host and prefix.
    """

    configuration: Configuration
    since_ms: float
    routes: RouteTable
    routed_since_ms: dict[tuple[str, str], tuple[Targets, float]]


def _make_rules(
    configuration: Configuration, before: _Rules | None, now_ms: float
) -> _Rules:
    """Return the rules of a configuration that comes into force after others."""
    known = {} if before is None else before.routed_since_ms
    routed_since_ms = {}
    for route in configuration.routes:
        key = route.host, route.prefix
        targets, since_ms = known.get(key, ((), 0.0))
        if targets != route.targets:
            since_ms = now_ms
        routed_since_ms[key] = route.targets, since_ms
    routes = RouteTable(configuration.routes)
    return _Rules(configuration, now_ms, routes, routed_since_ms)


class Intake:
    """Turns HTTP exchanges into checked calls.

    Args:
        dialect: Reads the callers' headers.
        clock: Source of the current time.
        current: The configuration in force.
        lag: Lag of the event loop.
    """

    def __init__(
        self,
        dialect: Dialect,
        clock: Clock,
        current: CurrentConfiguration,
        lag: EventLoopLag,
    ) -> None:
        self._dialect = dialect
        self._clock = clock
        self._current = current
        self._lag = lag
        self._rejections = LogAllowance(_REJECTIONS_LOGGED_PER_S, clock)
        self._rules: _Rules | None = None
        self._opened = asyncio.Event()

    def use_configuration(self, configuration: Configuration) -> None:
        """Use this configuration for the checks from now on."""
        self._rules = _make_rules(configuration, self._rules, self._clock.now_ms())

    def open(self) -> None:
        """Accept requests from now on: this VM knows its settings and the other VMs."""
        self._opened.set()

    @property
    def is_ready(self) -> bool:
        """Whether a configuration is known."""
        return self._rules is not None

    async def accept(self, exchange: Exchange) -> ForwardCall:
        """Check a request and read its body.

        Raises:
            BadRequestError: The request cannot be served; holds the HTTP status.
        """
        accepted_ms = self._clock.now_ms()
        if not self._opened.is_set():
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._opened.wait(), START_TIMEOUT_MS / 1000)
        await self._current.confirmation.ensure()
        # Another configuration may come into force while the body is read.
        rules = self._rules
        if rules is None or not self._opened.is_set():
            raise BadRequestError(503, Reason.NOT_READY, "the VM is starting")
        configuration = rules.configuration
        description = self._dialect.describe(exchange.headers)
        try:
            route = _find_route(rules.routes, exchange)
            organisation = _authenticate(configuration, route, description)
        except BadRequestError as error:
            if self._current.confirmation.has_expired:
                # The route or key may be in a configuration that this VM has missed.
                error = BadRequestError(
                    503,
                    Reason.CONFIGURATION_UNCONFIRMED,
                    f"{error.detail} in the configuration that this VM knows",
                )
            self._log_rejection(exchange, description, rules, error)
            raise error from None
        limits = configuration.limits
        body = await exchange.read_body(limits.max_body_bytes, BODY_TIMEOUT_MS)
        limit_ms = description.deadline_ms or DEFAULT_DEADLINE_MS
        if route.timeout_ms:
            limit_ms = min(limit_ms, route.timeout_ms)
        target = _target_from_exchange(exchange)
        tokens = description.prompt_tokens + description.answer_limit_tokens
        return ForwardCall(
            local_id=uuid.uuid4().hex,
            description=description,
            route=route,
            service=service_from_route(route, description.first_attempt),
            organisation=organisation,
            rank=configuration.rank(organisation, route),
            charge_tokens=configuration.charge(organisation, tokens),
            method=exchange.method,
            target=target,
            headers=tuple(exchange.headers),
            body=body,
            accepted_ms=accepted_ms,
            limit_ms=limit_ms,
            version=configuration.version,
            fingerprint=fingerprint_from_request(
                organisation, exchange.method, target, body
            ),
            routed_since_ms=rules.routed_since_ms[route.host, route.prefix][1],
        )

    def _log_rejection(
        self,
        exchange: Exchange,
        description: CallDescription,
        rules: _Rules,
        error: BadRequestError,
    ) -> None:
        unlogged = self._rejections.take()
        if unlogged is None:
            return
        request_log.rejected(
            exchange,
            description.request_id,
            error,
            version=rules.configuration.version,
            in_force_ms=self._clock.now_ms() - rules.since_ms,
            confirmed_ms=self._current.confirmation.age_ms,
            lag_ms=self._lag.largest_ms,
            unlogged=unlogged,
        )


def _find_route(routes: RouteTable, exchange: Exchange) -> Route:
    host = exchange.header(b"host").decode("latin-1")
    route = routes.find(host, exchange.path.decode("latin-1"))
    if route is None:
        raise BadRequestError(404, Reason.NOT_FOUND, "no route has this path")
    return route


def _authenticate(
    configuration: Configuration, route: Route, description: CallDescription
) -> str:
    organisation = configuration.organisation_by_key.get(description.key, "")
    needs_key = bool(configuration.organisations) and not route.is_public
    if needs_key and not organisation:
        raise BadRequestError(401, Reason.UNAUTHENTICATED, "the key is not known")
    return organisation


def _target_from_exchange(exchange: Exchange) -> bytes:
    if exchange.query:
        return exchange.path + b"?" + exchange.query
    return exchange.path
