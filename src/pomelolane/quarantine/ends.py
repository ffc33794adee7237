"""Finds out whether an endpoint has ended under a request, or only lost a connection.

A reset, a cut link or a lost answer is no sign of an end; that nothing listens at the
address any more is one, and so is another start of the endpoint in the registry.
"""

from __future__ import annotations

import asyncio
import hashlib
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from collections.abc import Iterable

    from pomelolane.endpoints import ConnectionPool
    from pomelolane.model import Endpoint
    from pomelolane.ports import Clock
    from pomelolane.quarantine.quarantine import Quarantine

LOOK_MS = 50.0
"""How long a request that broke waits to learn whether its endpoint has ended: being
refused takes one round trip, and a harmless request goes on elsewhere soon."""

DOUBT_MS = 10_000.0
"""How long another start in the registry still tells of the end: endpoints are back
after some seconds."""

UNTOLD_START_MS = 10_000.0
"""Spell in which the ends of an endpoint that does not tell when it started count as
one: all requests of one end are found out within a second, and a start takes some."""

_START_DIGEST_BYTES = 8


class Endpoints(Protocol):
    """The endpoints as this VM knows them."""

    def usable(self, endpoint_id: str) -> Endpoint | None:
        """Return an endpoint that may get new work, else None."""

    def listed(self) -> Iterable[Endpoint]:
        """Return all endpoints."""


def endpoint_start(endpoint: Endpoint, wall_ms: float) -> str:
    """Return a short name of this start of an endpoint.

    Args:
        endpoint: The endpoint.
        wall_ms: Time of day, for those that do not tell when they started.
    """
    start = endpoint.born_ms or f"about {int(wall_ms // UNTOLD_START_MS)}"
    text = f"{endpoint.endpoint_id}@{start}".encode()
    return hashlib.blake2b(text, digest_size=_START_DIGEST_BYTES).hexdigest()


class EndWatch:
    """Looks after endpoints whose connections broke under requests.

    Args:
        quarantine: Is told of ends.
        pool: Connects to endpoints.
        endpoints: Known endpoints.
        clock: Time.
        wall: Time of day.
    """

    def __init__(
        self,
        quarantine: Quarantine,
        pool: ConnectionPool,
        endpoints: Endpoints,
        clock: Clock,
        wall: Clock,
    ) -> None:
        self._quarantine = quarantine
        self._pool = pool
        self._endpoints = endpoints
        self._clock = clock
        self._wall = wall
        self._doubts: dict[tuple[str, Endpoint], float] = {}
        self._looking: set[asyncio.Task[None]] = set()

    async def look(self, fingerprint: str, endpoint: Endpoint, address: str) -> None:
        """Return when it is known whether an endpoint has ended, or soon.

        Args:
            fingerprint: Of the request whose answer broke off.
            endpoint: Where it was sent.
            address: ``ip:port`` by which it was reached.
        """
        task = asyncio.create_task(self._look(fingerprint, endpoint, address))
        self._looking.add(task)
        task.add_done_callback(self._looking.discard)
        await asyncio.wait({task}, timeout=LOOK_MS / 1000)

    def endpoints_changed(self) -> None:
        """Compare the endpoints in doubt with the list."""
        oldest_ms = self._clock.now_ms() - DOUBT_MS
        for (fingerprint, endpoint), at_ms in list(self._doubts.items()):
            if at_ms < oldest_ms:
                del self._doubts[fingerprint, endpoint]
            elif self._has_successor(endpoint):
                del self._doubts[fingerprint, endpoint]
                self._report(fingerprint, endpoint)

    async def _look(self, fingerprint: str, endpoint: Endpoint, address: str) -> None:
        if self._endpoints.usable(endpoint.endpoint_id) is None:
            # It was to end: what was still running there has nothing to do with it.
            return
        if await self._pool.is_down(address):
            self._report(fingerprint, endpoint)
            return
        self._doubts[fingerprint, endpoint] = self._clock.now_ms()

    def _has_successor(self, endpoint: Endpoint) -> bool:
        """Tell whether another start stands where an endpoint stood."""
        return any(
            other.address == endpoint.address
            and (other.endpoint_id, other.born_ms)
            != (endpoint.endpoint_id, endpoint.born_ms)
            for other in self._endpoints.listed()
        )

    def _report(self, fingerprint: str, endpoint: Endpoint) -> None:
        start = endpoint_start(endpoint, self._wall.now_ms())
        self._quarantine.ended(fingerprint, start, endpoint.endpoint_id)
