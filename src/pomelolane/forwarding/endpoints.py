"""The endpoints of forwarded services, as this VM knows them now."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from pomelolane import events
from pomelolane.logs import log_event

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Mapping

    from pomelolane.model import Endpoint
    from pomelolane.ports import Clock


class EndpointDirectory:
    """Endpoints by id, with the time at which the list was last confirmed.

    Args:
        clock: Time.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._endpoints: dict[str, Endpoint] = {}
        self._confirmed_ms = clock.now_ms()
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
