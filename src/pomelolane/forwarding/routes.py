"""Finds a request's route, and the service it goes to."""

from __future__ import annotations

from typing import TYPE_CHECKING

import xxhash

if TYPE_CHECKING:
    from collections.abc import Iterable

    from pomelolane.forwarding.configuration import Route

_HASH_RANGE = float(1 << 64)


class RouteTable:
    """Routes by host; among a host's routes the longest prefix counts.

    Args:
        routes: All routes.
    """

    def __init__(self, routes: Iterable[Route]) -> None:
        self._by_host: dict[str, dict[str, Route]] = {}
        for route in routes:
            self._by_host.setdefault(route.host, {})[route.prefix] = route

    def find(self, host: str, path: str) -> Route | None:
        """Return the route of a host and path, None where there is none."""
        by_prefix = self._by_host.get(_bare_host(host))
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
    """Draw a service by weight; the same request id draws the same one."""
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


def _bare_host(host: str) -> str:
    name, _, port = host.rpartition(":")
    return (name if name and port.isdigit() else host).lower()
