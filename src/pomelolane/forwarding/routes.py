"""Matches requests to routes, and draws one of a route's services."""

from __future__ import annotations

from typing import TYPE_CHECKING

import xxhash

if TYPE_CHECKING:
    from collections.abc import Iterable

    from pomelolane.forwarding.configuration import Route

_HASH_RANGE = float(1 << 64)


class RouteTable:
    """Finds routes by host and longest matching path prefix.

    Args:
        routes: All routes.
    """

    def __init__(self, routes: Iterable[Route]) -> None:
        self._by_host: dict[str, dict[str, Route]] = {}
        for route in routes:
            self._by_host.setdefault(route.host, {})[route.prefix] = route

    def find(self, host: str, path: str) -> Route | None:
        """Return the route for a host and path, or None."""
        by_prefix = self._by_host.get(_host_without_port(host))
        if by_prefix is None:
            return None
        end = path.rfind("/")
        while end >= 0:
            route = by_prefix.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        return None


def service_from_route(route: Route, request_id: str) -> str:
    """Draw a service by weight; the same request id always draws the same service."""
    targets = route.targets
    if len(targets) == 1:
        return targets[0].service
    total = sum(target.weight for target in targets)
    point = xxhash.xxh3_64_intdigest(request_id.encode()) / _HASH_RANGE * total
    for target in targets:
        point -= target.weight
        if point < 0:
            return target.service
    return targets[-1].service


def _host_without_port(host: str) -> str:
    name, _, port = host.rpartition(":")
    return (name if name and port.isdigit() else host).lower()
