"""The versioned configuration of forwarded services."""

from __future__ import annotations

import asyncio
import math
from dataclasses import dataclass, field
from enum import StrEnum
from typing import TYPE_CHECKING

from pomelolane import events
from pomelolane.clock import MonotonicClock
from pomelolane.forwarding.confirmation import Confirmation
from pomelolane.logs import log_event

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from pomelolane.model import Organisation, Service
    from pomelolane.ports import Clock


MAX_RANKS = 16
"""Number of distinct ranks of organisations, and of routes within each of those ranks.

Higher ranks count as the last one."""


class RouteKind(StrEnum):
    """Whether a route's requests may be retried, and whether answers are streamed."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAMING = "streaming"


@dataclass(frozen=True, slots=True)
class RouteTarget:
    """A service that a route sends requests to.

    Attributes:
        service: Name of the service.
        weight: Its share of the requests, relative to the route's other targets.
    """

    service: str
    weight: float = 1.0


@dataclass(frozen=True, slots=True)
class Route:
    """A rule that forwards requests with a given host and path prefix to services.

    Attributes:
        name: Unique name.
        host: Host without port, in lower case.
        prefix: Path prefix that begins and ends with a slash.
        kind: Whether requests may be retried, and whether answers are streamed.
        targets: Services, one of which is drawn by weight for each request.
        timeout_ms: Longest time until the end of the answer, 0 for no limit.
        objective_ms: Time within which an answer should begin, 0 for none.
        rank: 0 is the most urgent.
        attempts: Largest number of times that one request may be sent.
        is_public: Whether requests need no key.
        is_resumable: Whether a broken stream may be resumed at another endpoint.
        gap_ms: Longest pause between two events of an answer, 0 for no limit.
        patience_ms: Time without an answer after which callers disconnect, 0 if they
            wait until their deadline.
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
        """Whether a request that may have run may be sent again."""
        if self.kind is RouteKind.IDEMPOTENT:
            return True
        return self.kind is RouteKind.STREAMING and self.is_resumable


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Bounds on what a caller may send and how long it may take.

    Attributes:
        max_head_bytes: Largest size of the request line and headers.
        max_body_bytes: Largest size of a body.
        head_timeout_ms: Longest time to receive a head.
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
        version: Version number, which increases with each change.
        routes: All routes.
        services: Services by name.
        organisations: Organisations by name.
        organisation_by_key: Names of organisations by caller's key.
        rank_by_organisation: Ranks by name of organisation. They take precedence over
            the ranks of routes.
        plain_tokens: Tokens charged for a request that states no number.
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
        """Return the tokens that a request is charged to its organisation's limit.

        Args:
            organisation: The caller's organisation.
            tokens: Number of tokens that the request states, 0 if it states none.
        """
        if organisation in self.counted_by_request:
            return 1
        return tokens or self.plain_tokens

    def rank(self, organisation: str, route: Route) -> int:
        """Combine the ranks of an organisation and a route into one rank.

        A request without an organisation gets the rank of the least urgent one. With a
        rank behind all organisations, it would starve under any overload.
        """
        default_rank = max(self.rank_by_organisation.values(), default=0)
        organisation_rank = min(
            self.rank_by_organisation.get(organisation, default_rank), MAX_RANKS - 1
        )
        return organisation_rank * MAX_RANKS + min(route.rank, MAX_RANKS - 1)


class CurrentConfiguration:
    """Holds the configuration in force, whose version never decreases.

    Args:
        clock: Source of the current time.
        max_age_ms: Time since the last confirmation after which requests wait for one.
        expiry_ms: Time since the last confirmation after which a newer one may have to
            be in force.

    Attributes:
        confirmation: When it was last confirmed that there is none that is newer.
    """

    def __init__(
        self,
        clock: Clock | None = None,
        max_age_ms: float = math.inf,
        expiry_ms: float = math.inf,
    ) -> None:
        self._clock = clock or MonotonicClock()
        self.confirmation = Confirmation(self._clock, max_age_ms, expiry_ms)
        self._value: Configuration | None = None
        self._adopted_ms = self._clock.now_ms()
        self._known = asyncio.Event()
        self._callbacks: list[Callable[[Configuration], None]] = []
        self._failed: list[Callable[[Configuration], None]] = []

    @property
    def value(self) -> Configuration | None:
        """The configuration in force, None before the first."""
        return self._value

    @property
    def version(self) -> int:
        """Version of the configuration in force, 0 before the first one."""
        return self._value.version if self._value is not None else 0

    @property
    def age_ms(self) -> float:
        """Time that it has been in force, or since the start before the first one."""
        return self._clock.now_ms() - self._adopted_ms

    def confirm(self, at_ms: float) -> None:
        """Note that there was none at a time that is newer than what was adopted.

        Callbacks that raised at the last change are called again.
        """
        self.confirmation.confirm(at_ms)
        if self._failed and self._value is not None:
            self._failed = [one for one, _ in self._call(self._failed, self._value)]

    async def wait_until_known(self) -> None:
        """Wait until a configuration is in force."""
        await self._known.wait()

    def on_change(self, callback: Callable[[Configuration], None]) -> None:
        """Call ``callback(configuration)`` after each change.

        A callback that raises is called again at each confirmation until it succeeds.
        """
        self._callbacks.append(callback)

    def adopt(self, configuration: Configuration) -> bool:
        """Put a configuration in force; return False if it is not newer."""
        if configuration.version <= self.version:
            return False
        self._value = configuration
        self._adopted_ms = self._clock.now_ms()
        self._known.set()
        failures = self._call(self._callbacks, configuration)
        for _, error in failures:
            log_event(
                events.TASK_FAILED, task="configuration change", error=repr(error)
            )
        self._failed = [callback for callback, _ in failures]
        return True

    @staticmethod
    def _call(
        callbacks: Iterable[Callable[[Configuration], None]],
        configuration: Configuration,
    ) -> list[tuple[Callable[[Configuration], None], Exception]]:
        """Call all callbacks; return those that raised, with their errors."""
        failures = []
        for callback in callbacks:
            try:
                callback(configuration)
            except Exception as error:
                failures.append((callback, error))
        return failures
