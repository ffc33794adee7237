"""The platform's documents, decoded once into the project's types."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from ipaddress import IPv4Address
from typing import TYPE_CHECKING, Annotated

import msgspec

from pomelolane.forwarding.configuration import (
    CallerLimits,
    Configuration,
    Route,
    RouteKind,
    RouteTarget,
)
from pomelolane.model import (
    Endpoint,
    Limits,
    Organisation,
    Service,
    ServiceKind,
    Work,
)
from pomelolane.platform.errors import DocumentError

if TYPE_CHECKING:
    from collections.abc import Mapping

TEAM = ""
"""The platform has no teams; every organisation is in the unnamed one."""

_TOKENS = "token_count"
_LAST_PORT = 65_535
_LARGEST_NUMBER = 2**63 - 1


_SPARE_SHARE = 0.8
"""Part of the allowed overshoot that is used when schedulers change; the rest is
for what schedulers of several services let pass before they hear of each other."""


@dataclass(frozen=True, slots=True)
class LimitWindow:
    """How organisations' use is counted.

    Attributes:
        length_ms: Span in which it is counted.
        overshoot: Part of a limit that several VMs may exceed it by.
        slack: Tokens that they may exceed it by beside.
    """

    length_ms: int = 8_000
    overshoot: float = 0.0
    slack: float = 0.0


_PATIENCE_MS = 2_000
"""Silence that callers of streams bear in any case, as the protocol says; or four
objectives or eight allowed pauses, whichever is longest."""


_Count = Annotated[int, msgspec.Meta(ge=0, le=_LARGEST_NUMBER)]
_Amount = Annotated[float, msgspec.Meta(ge=0)]


class _Split(msgspec.Struct):
    service: str
    weight: _Amount = 1.0


class _Route(msgspec.Struct, rename="camel"):
    name: str
    host: str
    prefix: str
    kind: str = "idempotent"
    timeout_ms: _Count = 0
    # Time to the first event on streams, to the whole answer elsewhere.
    target_latency_ms: _Count = 0
    priority: _Count = 0
    service: str = ""
    split: tuple[_Split, ...] = ()
    attempts: _Count = 1
    public: bool = False
    resumable: bool = False
    target_gap_ms: _Count = 0


class _Engine(msgspec.Struct, rename="camel"):
    slots: _Count = 1
    kv_capacity_tokens: _Count = 0


class _Service(msgspec.Struct, rename="camel"):
    name: str
    # Only model engines have this part.
    engine: _Engine | None = None


class _Limits(msgspec.Struct, rename="camel"):
    max_header_bytes: _Count = 16 * 1024
    max_body_bytes: _Count = 4 * 1024 * 1024
    header_timeout_ms: _Count = 3_000
    idle_timeout_ms: _Count = 15_000


class _Tenant(msgspec.Struct, rename="camel"):
    """What the project calls an organisation."""

    name: str
    api_keys: tuple[str, ...] = ()
    # Goes before the routes' priorities.
    priority: _Count = 0
    # What the rate below counts: requests, or tokens.
    unit: str = ""
    plain_tokens: _Count = 0
    # In tokens where the unit says so, in spite of its plain name.
    rate_per_s: _Amount = 0.0
    burst: _Amount = 0.0


class _Configuration(msgspec.Struct):
    version: Annotated[int, msgspec.Meta(ge=1, le=_LARGEST_NUMBER)]
    routes: tuple[_Route, ...] = ()
    services: tuple[_Service, ...] = ()
    limits: _Limits = msgspec.field(default_factory=_Limits)
    tenants: tuple[_Tenant, ...] = ()


class _State(StrEnum):
    READY = "ready"
    DRAINING = "draining"


_Name = Annotated[str, msgspec.Meta(min_length=1)]
_Whole = Annotated[int, msgspec.Meta(ge=0)]
_LARGEST = 2**63 - 1
"""Messages between VMs hold no larger number."""


class _Server(msgspec.Struct, rename="camel"):
    """What the project calls an endpoint; other writers' entries lack fields."""

    service: _Name
    address: str
    zone: _Name
    version: str
    slots: Annotated[int, msgspec.Meta(ge=1, le=_LARGEST)]
    state: _State
    cold_remaining_ms: float
    sequence: _Whole
    # Older endpoints do not tell it.
    born: Annotated[int, msgspec.Meta(ge=0, le=_LARGEST)] = 0


_configurations = msgspec.json.Decoder(_Configuration)
_servers = msgspec.json.Decoder(_Server)


def configuration_from_json(data: bytes, window: LimitWindow) -> Configuration:
    """Decode the operator's configuration.

    Args:
        data: The document.
        window: How an organisation's use is counted.

    Raises:
        DocumentError: It cannot be read, or it contradicts itself.
    """
    try:
        document = _configurations.decode(data)
        routes = tuple(_route(route) for route in document.routes)
        _check(document, routes)
    except (msgspec.DecodeError, ValueError, RecursionError) as error:
        raise DocumentError(f"configuration: {error}") from error
    tenants = document.tenants
    limits = document.limits
    return Configuration(
        version=document.version,
        routes=routes,
        services={s.name: _service(s, routes) for s in document.services},
        organisations={
            tenant.name: _organisation(tenant, window) for tenant in tenants
        },
        organisation_by_key={key: t.name for t in tenants for key in t.api_keys},
        rank_by_organisation={t.name: t.priority for t in tenants},
        plain_tokens=max((tenant.plain_tokens for tenant in tenants), default=0),
        counted_by_request=frozenset(t.name for t in tenants if t.unit != _TOKENS),
        limits=CallerLimits(
            limits.max_header_bytes,
            limits.max_body_bytes,
            limits.header_timeout_ms,
            limits.idle_timeout_ms,
        ),
    )


def endpoint_from_row(
    endpoint_id: str, data: bytes, services: Mapping[str, Service]
) -> Endpoint:
    """Decode a registered endpoint.

    Args:
        endpoint_id: Its id.
        data: The entry.
        services: Those that are configured.

    Raises:
        DocumentError: It cannot be read, or it cannot be an endpoint's entry.
    """
    try:
        server = _servers.decode(data)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise DocumentError(f"endpoint {endpoint_id}: {error}") from error
    service = services.get(server.service)
    if service is None:
        raise DocumentError(f"endpoint {endpoint_id}: its service is not configured")
    if not _is_address(server.address):
        raise DocumentError(f"endpoint {endpoint_id}: its address is not ip:port")
    return Endpoint(
        endpoint_id=endpoint_id,
        service=server.service,
        data_centre=server.zone,
        address=server.address,
        slots=server.slots,
        kv_tokens=service.kv_tokens,
        leaving=server.state is not _State.READY,
        born_ms=server.born,
        version=server.version,
    )


def _is_address(text: str) -> bool:
    host, _, port = text.rpartition(":")
    try:
        IPv4Address(host)
        # So many digits cannot be converted that this may fail, too.
        return port.isascii() and port.isdecimal() and 0 < int(port) <= _LAST_PORT
    except ValueError:
        return False


def _check(document: _Configuration, routes: tuple[Route, ...]) -> None:
    """Check what the parts of a configuration say of each other.

    Raises:
        ValueError: They contradict each other.
    """
    services = {service.name for service in document.services}
    seen = set()
    for route in routes:
        if not (route.prefix.startswith("/") and route.prefix.endswith("/")):
            raise ValueError(f"route {route.name}: a prefix begins and ends with /")
        if (route.host, route.prefix) in seen:
            raise ValueError(f"route {route.name}: another one has its prefix")
        seen.add((route.host, route.prefix))
        for target in route.targets:
            if target.service not in services:
                raise ValueError(f"route {route.name}: no service {target.service!r}")
    owners: dict[str, str] = {}
    for tenant in document.tenants:
        for key in tenant.api_keys:
            if owners.setdefault(key, tenant.name) != tenant.name:
                # The key itself is a secret.
                raise ValueError(
                    f"{tenant.name} and {owners[key]} have a key in common"
                )


def _route(route: _Route) -> Route:
    targets = tuple(RouteTarget(one.service, one.weight) for one in route.split)
    if not targets:
        targets = (RouteTarget(route.service),)
    return Route(
        name=route.name,
        host=route.host.lower(),
        prefix=route.prefix,
        kind=RouteKind(route.kind),
        targets=targets,
        timeout_ms=route.timeout_ms,
        objective_ms=route.target_latency_ms,
        rank=route.priority,
        attempts=max(1, route.attempts),
        is_public=route.public,
        is_resumable=route.resumable,
        gap_ms=route.target_gap_ms,
        patience_ms=_patience_ms(route),
    )


def _patience_ms(route: _Route) -> int:
    """Return the silence after which callers leave a stream, begun or not."""
    if RouteKind(route.kind) is not RouteKind.STREAMING:
        return 0
    return max(_PATIENCE_MS, 4 * route.target_latency_ms, 8 * route.target_gap_ms)


def _service(service: _Service, routes: tuple[Route, ...]) -> Service:
    kind = ServiceKind.PLAIN if service.engine is None else ServiceKind.ENGINE
    works = {
        route.name: Work(route.name, str(route.rank), route.timeout_ms)
        for route in routes
        if any(target.service == service.name for target in route.targets)
    }
    kv_tokens = service.engine.kv_capacity_tokens if service.engine else 0
    return Service(service.name, TEAM, kind, works, kv_tokens=kv_tokens)


def _organisation(tenant: _Tenant, window: LimitWindow) -> Organisation:
    # Where the limit counts requests, each of them is charged as one token.
    bound = tenant.rate_per_s * window.length_ms / 1000 + tenant.burst
    limits = Limits(
        tokens_per_s=tenant.rate_per_s,
        burst_tokens=tenant.burst,
        window_ms=window.length_ms,
        window_spare=_SPARE_SHARE * (bound * window.overshoot + window.slack),
    )
    return Organisation(tenant.name, TEAM, "", limits=limits)
