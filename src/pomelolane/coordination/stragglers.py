"""Logs when the scheduler classifies an endpoint as straggling or recovered.

Scheduling cores do no I/O and log nothing, so their status is compared periodically.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from pomelolane.events import ENDPOINT_RECOVERED, ENDPOINT_STRAGGLING
from pomelolane.logs import log_event

if TYPE_CHECKING:
    from collections.abc import Iterable

    from pomelolane.coordination.service_queue import ServiceQueue
    from pomelolane.ports import Clock

PERIOD_MS = 500.0


class StragglerLogger:
    """Compares the endpoints' states between successive checks.

    Args:
        clock: Source of the current time.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._next_ms = 0.0
        self._straggling: set[str] = set()

    def check(self, service_queues: Iterable[ServiceQueue]) -> None:
        """Log changes since the last check, at most every ``PERIOD_MS``."""
        now_ms = self._clock.now_ms()
        if now_ms < self._next_ms:
            return
        self._next_ms = now_ms + PERIOD_MS
        for service_queue in service_queues:
            read = getattr(service_queue.core, "status", None)
            if callable(read):
                self._compare(read())

    def _compare(self, statuses: dict) -> None:
        for endpoint_id, status in statuses.items():
            was = endpoint_id in self._straggling
            if status.straggling and not was:
                self._straggling.add(endpoint_id)
                log_event(
                    ENDPOINT_STRAGGLING,
                    endpoint=endpoint_id,
                    slowdown=status.slowdown,
                )
            elif was and not status.straggling:
                self._straggling.discard(endpoint_id)
                log_event(
                    ENDPOINT_RECOVERED, endpoint=endpoint_id, slowdown=status.slowdown
                )
