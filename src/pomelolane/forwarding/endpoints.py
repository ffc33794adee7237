"""The directory of endpoints of forwarded services."""

from __future__ import annotations

import asyncio
import math
from dataclasses import replace
from typing import TYPE_CHECKING

from pomelolane import events
from pomelolane.forwarding.confirmation import Confirmation
from pomelolane.logs import log_event

if TYPE_CHECKING:
    from collections.abc import Callable, Container, Iterable, Mapping

    from pomelolane.model import Endpoint
    from pomelolane.ports import Clock

LEAVING_MARK_TTL_MS = 600_000.0
"""How long a leaving state outlives the endpoint's registry entry, which may have
expired although the endpoint still runs."""

MAX_LIST_AGE_MS = 1_600.0
"""Age of the list from which on requests wait for a confirmation: an endpoint that
leaves must get nothing more within 2 s at the tightest."""


def instance_id_of(endpoint: Endpoint) -> str:
    """Return an id that identifies an endpoint until its next restart."""
    return f"{endpoint.endpoint_id}@{endpoint.born_ms}"


class EndpointDirectory:
    """Endpoints by id, with the time at which the list was last confirmed.

    Args:
        clock: Source of the current time.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._endpoints: dict[str, Endpoint] = {}
        self.confirmation = Confirmation(clock, MAX_LIST_AGE_MS)
        self._read_from_ms = -math.inf
        self._leaving_marked_ms: dict[str, float] = {}
        self._leaving_listed_ms: dict[str, float] = {}
        self._version = 0
        self._callbacks: list[Callable[[], None]] = []
        self._known = asyncio.Event()
        self._next_confirmation = asyncio.Event()

    async def wait_until_known(self) -> None:
        """Wait until the first list of endpoints was adopted."""
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
        return self.confirmation.age_ms

    @property
    def version(self) -> int:
        """Version of the list."""
        return self._version

    def usable(self, endpoint_id: str) -> Endpoint | None:
        """Return an endpoint that may get new work, else None."""
        endpoint = self._endpoints.get(endpoint_id)
        return None if endpoint is None or endpoint.leaving else endpoint

    def is_usable(self, endpoint: Endpoint) -> bool:
        """Return whether an endpoint that was looked up before may get new work."""
        found = self.usable(endpoint.endpoint_id)
        return found is not None and (
            found.born_ms,
            found.version,
            found.address,
        ) == (endpoint.born_ms, endpoint.version, endpoint.address)

    def on_change(self, callback: Callable[[], None]) -> None:
        """Call back after each change of the list."""
        self._callbacks.append(callback)

    def on_refresh(self, callback: Callable[[], None]) -> None:
        """Call back when the source is to be read at once."""
        self.confirmation.on_wanted(callback)

    async def refresh(self, timeout_ms: float) -> bool:
        """Have the source confirm the list, and return whether it did so in time."""
        asked_ms = self._clock.now_ms()
        self.confirmation.want()
        try:
            async with asyncio.timeout(timeout_ms / 1000):
                while self._read_from_ms < asked_ms:
                    await self._next_confirmation.wait()
        except TimeoutError:
            return False
        return True

    def confirm(
        self, read_from_ms: float | None = None, as_of_ms: float | None = None
    ) -> None:
        """Record that the source still reports the same list.

        Args:
            read_from_ms: When the read of the source began, None for now.
            as_of_ms: When the source held that list, None for now.
        """
        now_ms = self._clock.now_ms()
        shown_ms = now_ms if as_of_ms is None else min(as_of_ms, now_ms)
        self.confirmation.confirm(shown_ms)
        from_ms = now_ms if read_from_ms is None else read_from_ms
        self._read_from_ms = max(self._read_from_ms, from_ms)
        confirmation, self._next_confirmation = (
            self._next_confirmation,
            asyncio.Event(),
        )
        confirmation.set()

    def mark_leaving(self, instance_id: str) -> bool:
        """Mark an endpoint instance as leaving, whatever the source reports.

        Args:
            instance_id: Its id as returned by :func:`instance_id_of`.

        Returns:
            Whether it was not marked before.
        """
        if instance_id in self._leaving_marked_ms:
            return False
        self._leaving_marked_ms[instance_id] = self._clock.now_ms()
        self._adopt(self._endpoints)
        return True

    def _keep_leaving(self, endpoints: dict[str, Endpoint]) -> dict[str, Endpoint]:
        """Return the endpoints with those leaving that were marked or listed so before.

        The source may come to an earlier state again. A mark or listing is kept while
        the instance is listed, and for a while after that.
        """
        now_ms = self._clock.now_ms()
        for endpoint in endpoints.values():
            if endpoint.leaving:
                self._leaving_listed_ms[instance_id_of(endpoint)] = now_ms
        if not self._leaving_marked_ms and not self._leaving_listed_ms:
            return endpoints
        final = self._leaving_marked_ms.keys() | self._leaving_listed_ms.keys()
        leaving = {
            endpoint_id: replace(endpoint, leaving=True)
            for endpoint_id, endpoint in endpoints.items()
            if instance_id_of(endpoint) in final
        }
        renewed = {instance_id_of(endpoint) for endpoint in leaving.values()}
        self._leaving_marked_ms = _renewed(self._leaving_marked_ms, renewed, now_ms)
        self._leaving_listed_ms = _renewed(self._leaving_listed_ms, renewed, now_ms)
        return endpoints | leaving

    def replace(
        self,
        endpoints: dict[str, Endpoint],
        version: int,
        *,
        confirms: bool = True,
        read_from_ms: float | None = None,
        as_of_ms: float | None = None,
    ) -> None:
        """Adopt a list, and call the callbacks if it differs from the current one.

        Args:
            endpoints: Endpoints by id.
            version: Version of the list, for the log.
            confirms: Whether the source has just confirmed the list.
            read_from_ms: When the read of the source began, None for now.
            as_of_ms: When the source held that list, None for now.
        """
        self._known.set()
        self._version = version
        self._adopt(endpoints)
        if confirms:
            self.confirm(read_from_ms, as_of_ms)

    def _adopt(self, endpoints: dict[str, Endpoint]) -> None:
        endpoints = self._keep_leaving(endpoints)
        version = self._version
        previous = self._endpoints
        if endpoints == previous:
            return
        self._endpoints = endpoints
        for endpoint_id in previous.keys() - endpoints.keys():
            log_event(events.ENDPOINT_GONE, endpoint=endpoint_id, version=version)
        for endpoint_id, endpoint in endpoints.items():
            if previous.get(endpoint_id) != endpoint:
                log_event(
                    events.ENDPOINT_KNOWN,
                    endpoint=endpoint_id,
                    service=endpoint.service,
                    data_centre=endpoint.data_centre,
                    leaving=endpoint.leaving,
                    version=version,
                    software=endpoint.version,
                )
        for callback in self._callbacks:
            try:
                callback()
            except Exception as error:
                log_event(events.TASK_FAILED, task="endpoint list", error=repr(error))


def _renewed(
    times_ms: dict[str, float], listed: Container[str], now_ms: float
) -> dict[str, float]:
    """Return the times with those of listed instances renewed, without expired ones."""
    current = {
        instance_id: now_ms if instance_id in listed else at_ms
        for instance_id, at_ms in times_ms.items()
    }
    return {
        instance_id: at_ms
        for instance_id, at_ms in current.items()
        if now_ms - at_ms < LEAVING_MARK_TTL_MS
    }
