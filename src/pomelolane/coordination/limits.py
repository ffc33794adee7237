"""Rate limits that endpoints announced in their answers to this gateway."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from pomelolane.events import ENDPOINT_LIMIT
from pomelolane.logs import log_event
from pomelolane.messages import NamedLimit
from pomelolane.ports import LIMIT_KEPT_MS

if TYPE_CHECKING:
    from collections.abc import Iterable


_NO_LIMIT = (math.inf, 0.0)


class EndpointLimits:
    """The latest rate limit of each endpoint of one service.

    Args:
        service: Name of the service.
    """

    def __init__(self, service: str) -> None:
        self._service = service
        self._limits: dict[str, tuple[float, float]] = {}

    def record(self, endpoint_id: str, limit_per_s: float, now_ms: float) -> None:
        """Store the limit that an answer contains.

        Args:
            endpoint_id: Endpoint that has answered.
            limit_per_s: Requests per second, infinite if there is no limit.
            now_ms: Current time.
        """
        before_per_s, _ = self._limits.get(endpoint_id, _NO_LIMIT)
        if math.isinf(limit_per_s):
            self._limits.pop(endpoint_id, None)
        else:
            self._limits[endpoint_id] = limit_per_s, now_ms
        if limit_per_s == before_per_s:
            return
        log_event(
            ENDPOINT_LIMIT,
            endpoint=endpoint_id,
            service=self._service,
            limit_per_s="" if math.isinf(limit_per_s) else limit_per_s,
        )

    def remove(self, endpoint_ids: Iterable[str]) -> None:
        """Remove the limits of endpoints that have restarted."""
        for endpoint_id in endpoint_ids:
            self._limits.pop(endpoint_id, None)

    def current(self, now_ms: float) -> tuple[NamedLimit, ...]:
        """Return the limits that have not expired."""
        self._limits = {
            endpoint_id: limit
            for endpoint_id, limit in self._limits.items()
            if now_ms - limit[1] < LIMIT_KEPT_MS
        }
        return tuple(
            NamedLimit(endpoint_id, limit_per_s, int(now_ms - received_ms))
            for endpoint_id, (limit_per_s, received_ms) in self._limits.items()
        )
