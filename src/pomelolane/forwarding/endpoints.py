"""The endpoints of forwarded services, as this VM knows them now."""

from __future__ import annotations

import asyncio
from dataclasses import replace
from typing import TYPE_CHECKING

from pomelolane import events
from pomelolane.logs import log_event

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Mapping

    from pomelolane.model import Endpoint
    from pomelolane.ports import Clock

MARK_KEPT_MS = 600_000.0
"""How long the mark of an endpoint is kept that the registry lists no more: it may only
have lapsed there."""


def name_of_start(endpoint: Endpoint) -> str:
    """Return a name that an endpoint has until it starts anew."""
    return f"{endpoint.endpoint_id}@{endpoint.born_ms}"


class EndpointDirectory:
    """Endpoints by id, with the time at which the list was last confirmed.

    Args:
        clock: Time.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._endpoints: dict[str, Endpoint] = {}
        self._confirmed_ms = clock.now_ms()
        self._marked_ms: dict[str, float] = {}
        self._version = 0
        self._followers: list[Callable[[], None]] = []
        self._known = asyncio.Event()

    async def known(self) -> None:
        """Return as soon as a list was adopted."""
        await self._known.wait()

    @property
    def all(self) -> Mapping[str, Endpoint]:
        """All endpoints by id, leaving ones included."""
        return self._endpoints

    def listed(self) -> Iterable[Endpoint]:
        """Return all endpoints, leaving ones included."""
        return self._endpoints.values()

    @property
    def age_ms(self) -> float:
        """Time since the source last confirmed the list."""
        return self._clock.now_ms() - self._confirmed_ms

    def usable(self, endpoint_id: str) -> Endpoint | None:
        """Return an endpoint that may get new work, else None."""
        endpoint = self._endpoints.get(endpoint_id)
        return None if endpoint is None or endpoint.leaving else endpoint

    def on_change(self, follower: Callable[[], None]) -> None:
        """Call back after each change of the list."""
        self._followers.append(follower)

    def confirm(self) -> None:
        """Note that the source still says the same."""
        self._confirmed_ms = self._clock.now_ms()

    def mark_leaving(self, start: str) -> bool:
        """Count a start of an endpoint as leaving, whatever the source says.

        Args:
            start: Its :func:`name_of_start`.

        Returns:
            Whether that is news.
        """
        if start in self._marked_ms:
            return False
        self._marked_ms[start] = self._clock.now_ms()
        self._adopt(self._endpoints)
        return True

    def _with_marks(self, endpoints: dict[str, Endpoint]) -> dict[str, Endpoint]:
        now_ms = self._clock.now_ms()
        marked = {
            name: replace(one, leaving=True)
            for name, one in endpoints.items()
            if name_of_start(one) in self._marked_ms
        }
        self._marked_ms.update((name_of_start(one), now_ms) for one in marked.values())
        self._marked_ms = {
            start: at_ms
            for start, at_ms in self._marked_ms.items()
            if now_ms - at_ms < MARK_KEPT_MS
        }
        return endpoints | marked

    def replace(
        self, endpoints: dict[str, Endpoint], version: int, *, confirms: bool = True
    ) -> None:
        """Adopt a list; followers hear of it only if it differs.

        Args:
            endpoints: The list.
            version: Its version, for the log.
            confirms: Whether the source has just said so.
        """
        if confirms:
            self.confirm()
        self._known.set()
        self._version = version
        self._adopt(endpoints)

    def _adopt(self, endpoints: dict[str, Endpoint]) -> None:
        if self._marked_ms:
            endpoints = self._with_marks(endpoints)
        version = self._version
        before = self._endpoints
        if endpoints == before:
            return
        self._endpoints = endpoints
        for endpoint_id in before.keys() - endpoints.keys():
            log_event(events.ENDPOINT_GONE, endpoint=endpoint_id, version=version)
        for endpoint_id, endpoint in endpoints.items():
            if before.get(endpoint_id) != endpoint:
                log_event(
                    events.ENDPOINT_KNOWN,
                    endpoint=endpoint_id,
                    service=endpoint.service,
                    data_centre=endpoint.data_centre,
                    leaving=endpoint.leaving,
                    version=version,
                )
        for follower in self._followers:
            follower()
