"""Endpoints that want nothing from this VM for a while.

Other VMs are not bound: a scheduler grants such an endpoint to them.
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
    """Times until which endpoints rest.

    Args:
        clock: Time.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._until_ms: dict[str, tuple[str, float]] = {}

    def start(self, service: str, endpoint_id: str, rest_ms: float) -> None:
        """Send an endpoint nothing for a time; a rest that ends later stands."""
        until_ms = self._clock.now_ms() + rest_ms
        _, before_ms = self._until_ms.get(endpoint_id, ("", 0.0))
        if until_ms <= before_ms:
            return
        self._until_ms[endpoint_id] = service, until_ms
        log_event(
            ENDPOINT_RESTS, endpoint=endpoint_id, service=service, rest_ms=rest_ms
        )

    def is_backing_off(self, endpoint_id: str) -> bool:
        """Tell whether an endpoint rests now."""
        _, until_ms = self._until_ms.get(endpoint_id, ("", 0.0))
        return self._clock.now_ms() < until_ms

    def remove(self, endpoint_ids: Iterable[str]) -> None:
        """End the rests of endpoints that have begun anew."""
        for endpoint_id in endpoint_ids:
            self._until_ms.pop(endpoint_id, None)

    def excluded_from(self, handle: Handle) -> Handle:
        """Return a handle that asks for none of the endpoints that rest."""
        if not self._until_ms:
            return handle
        now_ms = self._clock.now_ms()
        self._until_ms = {
            endpoint_id: rest
            for endpoint_id, rest in self._until_ms.items()
            if now_ms < rest[1]
        }
        resting = {
            endpoint_id
            for endpoint_id, (service, _) in self._until_ms.items()
            if service == handle.service
        }
        if not resting:
            return handle
        excluded = tuple(sorted(resting.union(handle.excluded)))
        return msgspec.structs.replace(handle, excluded=excluded)
