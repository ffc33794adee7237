"""The configuration of forwarded services, which comes as a whole by version."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from enum import StrEnum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from pomelolane.model import Organisation, Service


MAX_RANKS = 16
"""Ranks of routes that can be told apart within one rank of organisations."""


class RouteKind(StrEnum):
    """What may be repeated of a route's requests."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAMING = "streaming"


@dataclass(frozen=True, slots=True)
class RouteTarget:
    """One service of a route.

    Attributes:
        service: Its name.
        weight: Its part of the requests, against the others' weights.
    """

    service: str
    weight: float = 1.0


@dataclass(frozen=True, slots=True)
class Route:
    """Where requests of a host and path prefix go.

    Attributes:
        name: Unique name.
        host: Host without port, in lower case.
        prefix: Path prefix that begins and ends with a slash.
        kind: What may be repeated.
        targets: Services, one of which is drawn for each request.
        timeout_ms: Longest time until the final answer, 0 for none.
        objective_ms: Time within which an answer should begin, 0 for none.
        rank: 0 is the most urgent.
        attempts: Most endpoints that one request may be sent to.
        is_public: Whether no key is asked for.
        is_resumable: Whether a broken stream may go on at another endpoint.
        gap_ms: Longest pause between two events of an answer, 0 for any.
        patience_ms: Silence after which callers leave, 0 for not before their time
            is over.
    """

    name: str
    host: str
    prefix: str
    kind: RouteKind
    targets: tuple[RouteTarget, ...]
    timeout_ms: int = 0
    objective_ms: int = 0
    rank: int = 0
    attempts: int = 1
    is_public: bool = False
    is_resumable: bool = False
    gap_ms: int = 0
    patience_ms: int = 0

    @property
    def is_repeatable(self) -> bool:
        """Whether a request may run more than once."""
        if self.kind is RouteKind.IDEMPOTENT:
            return True
        return self.kind is RouteKind.STREAMING and self.is_resumable


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Bounds on what a caller may send and how long it may take.

    Attributes:
        max_head_bytes: Largest request line and headers.
        max_body_bytes: Largest body.
        head_timeout_ms: Longest time for a head.
        idle_timeout_ms: Longest time without a request on a connection.
    """

    max_head_bytes: int = 32 * 1024
    max_body_bytes: int = 8 * 1024 * 1024
    head_timeout_ms: int = 10_000
    idle_timeout_ms: int = 75_000


@dataclass(frozen=True, slots=True)
class Configuration:
    """Everything that operators declare for forwarded services.

    Attributes:
        version: Grows with each change.
        routes: All routes.
        services: By name.
        organisations: By name.
        organisation_by_key: Organisation names by caller's key.
        rank_by_organisation: Ranks that go before the routes'; among equal
            ones the route's rank decides.
        plain_tokens: Tokens that a request counts which does not say.
        counted_by_request: Organisations whose limits count requests, not tokens.
        limits: Bounds on callers.
    """

    version: int
    routes: tuple[Route, ...] = ()
    services: dict[str, Service] = field(default_factory=dict)
    organisations: dict[str, Organisation] = field(default_factory=dict)
    organisation_by_key: dict[str, str] = field(default_factory=dict)
    rank_by_organisation: dict[str, int] = field(default_factory=dict)
    plain_tokens: int = 0
    counted_by_request: frozenset[str] = frozenset()
    limits: CallerLimits = field(default_factory=CallerLimits)

    def charge(self, organisation: str, tokens: int) -> int:
        """Return what a request counts against its organisation's limit.

        Args:
            organisation: Who asks.
            tokens: What the request says that it takes, 0 if it does not.
        """
        if organisation in self.counted_by_request:
            return 1
        return tokens or self.plain_tokens

    def rank(self, organisation: str, route: Route) -> int:
        """Return one rank from an organisation's and its route's.

        A request without an organisation stands among the least urgent of them by its
        route's rank. Behind all of them it would be starved by any overload.
        """
        least = max(self.rank_by_organisation.values(), default=0)
        first = min(self.rank_by_organisation.get(organisation, least), MAX_RANKS - 1)
        return first * MAX_RANKS + min(route.rank, MAX_RANKS - 1)


class CurrentConfiguration:
    """Holds the configuration in force, whose version never decreases."""

    def __init__(self) -> None:
        self._value: Configuration | None = None
        self._known = asyncio.Event()
        self._callbacks: list[Callable[[Configuration], None]] = []

    @property
    def value(self) -> Configuration | None:
        """The configuration in force, None before the first."""
        return self._value

    @property
    def version(self) -> int:
        """Its version, 0 before the first."""
        return self._value.version if self._value is not None else 0

    async def wait_until_known(self) -> None:
        """Return as soon as a configuration is in force."""
        await self._known.wait()

    def on_change(self, callback: Callable[[Configuration], None]) -> None:
        """Call ``follower(configuration)`` after each change."""
        self._callbacks.append(callback)

    def adopt(self, configuration: Configuration) -> bool:
        """Put a newer configuration in force; False for one that is not newer."""
        if configuration.version <= self.version:
            return False
        self._value = configuration
        self._known.set()
        for callback in self._callbacks:
            callback(configuration)
        return True
