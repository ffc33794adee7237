"""Endpoints that asked this VM to send no requests for a while.

Other VMs are not affected: the scheduler still grants them these endpoints.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from pomelolane.events import ENDPOINT_RESTS
from pomelolane.logs import log_event

if TYPE_CHECKING:
    from collections.abc import Iterable

    from pomelolane.messages import Handle
    from pomelolane.ports import Clock


class EndpointBackoffs:
    """Tracks until when this VM must not use an endpoint.

    Args:
        clock: Source of the current time.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._until_ms: dict[str, tuple[str, float]] = {}

    def start(self, service: str, endpoint_id: str, rest_ms: float) -> None:
        """Start a back-off, unless a current one of the endpoint ends later."""
        until_ms = self._clock.now_ms() + rest_ms
        _, before_ms = self._until_ms.get(endpoint_id, ("", 0.0))
        if until_ms <= before_ms:
            return
        self._until_ms[endpoint_id] = service, until_ms
        log_event(
            ENDPOINT_RESTS, endpoint=endpoint_id, service=service, rest_ms=rest_ms
        )

    def is_backing_off(self, endpoint_id: str) -> bool:
        """Return whether the back-off of an endpoint is still running."""
        _, until_ms = self._until_ms.get(endpoint_id, ("", 0.0))
        return self._clock.now_ms() < until_ms

    def remove(self, endpoint_ids: Iterable[str]) -> None:
        """Remove the back-offs of endpoints that have restarted."""
        for endpoint_id in endpoint_ids:
            self._until_ms.pop(endpoint_id, None)

    def exclude_from(self, handle: Handle) -> Handle:
        """Return the handle with its service's backing-off endpoints excluded."""
        if not self._until_ms:
            return handle
        now_ms = self._clock.now_ms()
        self._until_ms = {
            endpoint_id: backoff
            for endpoint_id, backoff in self._until_ms.items()
            if now_ms < backoff[1]
        }
        backing_off = {
            endpoint_id
            for endpoint_id, (service, _) in self._until_ms.items()
            if service == handle.service
        }
        if not backing_off:
            return handle
        excluded = tuple(sorted(backing_off.union(handle.excluded)))
        return msgspec.structs.replace(handle, excluded=excluded)
