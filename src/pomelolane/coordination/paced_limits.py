"""Logs when an organisation begins or ceases to wait for the rate of its limit.

Scheduling cores do no I/O and log nothing, so their status is compared periodically.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from pomelolane.events import LIMIT_PACED
from pomelolane.logs import log_event

if TYPE_CHECKING:
    from collections.abc import Iterable

    from pomelolane.coordination.service_queue import ServiceQueue
    from pomelolane.ports import Clock
    from pomelolane.scheduler.pacing import PacedLimit

_PERIOD_MS = 200.0
_MIN_GAP_MS = 1_000.0
"""Shortest time between two lines about one organisation of one service."""


class PacedLimitLogger:
    """Compares the waiting requests between successive checks.

    Args:
        clock: Source of the current time.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._next_ms = 0.0
        self._logged: dict[tuple[str, str], tuple[bool, float]] = {}

    def check(self, service_queues: Iterable[ServiceQueue]) -> None:
        """Log changes since the last check, at most every ``_PERIOD_MS``."""
        now_ms = self._clock.now_ms()
        if now_ms < self._next_ms:
            return
        self._next_ms = now_ms + _PERIOD_MS
        seen = set()
        for service_queue in service_queues:
            service = service_queue.service
            read = getattr(service_queue.core, "paced_limits", None)
            if read is None:
                continue
            logged = [
                organisation
                for (one, organisation), (waits, _) in self._logged.items()
                if waits and one == service
            ]
            for paced in read(logged):
                seen.add((service, paced.organisation))
                self._compare(service, paced, now_ms)
        self._logged = {
            key: (waits, logged_ms)
            for key, (waits, logged_ms) in self._logged.items()
            if key in seen or now_ms - logged_ms < _MIN_GAP_MS
        }

    def _compare(self, service: str, paced: PacedLimit, now_ms: float) -> None:
        key = service, paced.organisation
        waits = paced.waiting > 0
        logged_waits, logged_ms = self._logged.get(key, (False, -_MIN_GAP_MS))
        if waits == logged_waits or now_ms - logged_ms < _MIN_GAP_MS:
            return
        self._logged[key] = waits, now_ms
        log_event(
            LIMIT_PACED,
            service=service,
            organisation=paced.organisation,
            waits=waits,
            requests=paced.waiting,
            tokens=paced.waiting_tokens,
            level_tokens=paced.level_tokens,
            tokens_per_s=paced.tokens_per_s,
        )


def make_paced_limit_logger(clock: Clock) -> PacedLimitLogger:
    """Create a logger of the organisations that wait for their rate."""
    return PacedLimitLogger(clock)
