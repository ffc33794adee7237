"""The rates that endpoints have asked for in their answers, as one gateway heard."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from pomelolane.events import ENDPOINT_LIMIT
from pomelolane.logs import log_event

if TYPE_CHECKING:
    from collections.abc import Collection


class HeardLimits:
    """Limits of one service's endpoints, the newest of each.

    Args:
        service: Name of the service.
    """

    def __init__(self, service: str) -> None:
        self._service = service
        self._limits: dict[str, float] = {}

    def hear(self, endpoint_id: str, limit_per_s: float) -> None:
        """Keep what an answer says.

        Args:
            endpoint_id: The endpoint.
            limit_per_s: Requests a second, infinite where it names no limit.
        """
        if limit_per_s == self._limits.get(endpoint_id, math.inf):
            return
        if math.isinf(limit_per_s):
            del self._limits[endpoint_id]
        else:
            self._limits[endpoint_id] = limit_per_s
        log_event(
            ENDPOINT_LIMIT,
            endpoint=endpoint_id,
            service=self._service,
            limit_per_s="" if math.isinf(limit_per_s) else limit_per_s,
        )

    def forget(self, endpoint_ids: Collection[str]) -> None:
        """Drop what was heard of endpoints that have ended or begun anew."""
        for endpoint_id in endpoint_ids:
            self._limits.pop(endpoint_id, None)

    def known(self) -> dict[str, float]:
        """Return the limits that stand, by endpoint."""
        return dict(self._limits)
