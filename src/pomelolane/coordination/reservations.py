"""Reservations of the refusals that this gateway has relayed to callers."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING
from weakref import WeakKeyDictionary

import msgspec

from pomelolane.events import RESERVATIONS_LAPSED
from pomelolane.logs import log_event
from pomelolane.messages import HeldReservation
from pomelolane.scheduler.objective.reserved_slots import LATE_TOLERANCE_MS

if TYPE_CHECKING:
    from collections.abc import Iterable

    from pomelolane.coordination.service_queue import ServiceQueue
    from pomelolane.messages import Handle, Refused
    from pomelolane.ports import Clock, SchedulingCore

MAX_HELD = 512
"""Reservations that a gateway keeps for one service: a message of up to 14 KB."""

_MAX_RETRY_MS = 5_000
"""Longest retry time of a reservation, as schedulers reserve no further ahead."""

_LOG_PERIOD_MS = 1_000.0


class RelayedReservations:
    """Reservations of one service to send to the next scheduler.

    Of a request's content only the fingerprint is kept.
    """

    def __init__(self) -> None:
        self._held: list[tuple[float, HeldReservation]] = []

    def record(self, handle: Handle, refusal: Refused, now_ms: float) -> None:
        """Keep the reservation of a refusal, if it has one."""
        if (
            not refusal.reserved_ms
            or not handle.fingerprint
            or refusal.retry_after_ms > _MAX_RETRY_MS
        ):
            return
        self._remove_expired(now_ms)
        if refusal.reservation_id and any(
            (one.fingerprint, one.tier_rank, one.reservation_id)
            == (handle.fingerprint, handle.tier_rank, refusal.reservation_id)
            for _, one in self._held
        ):
            return
        if len(self._held) < MAX_HELD:
            due_ms = now_ms + refusal.retry_after_ms
            reservation = HeldReservation(
                handle.fingerprint,
                handle.tier_rank,
                0,
                refusal.reserved_ms,
                refusal.reservation_id,
            )
            self._held.append((due_ms, reservation))

    def current(self, now_ms: float) -> tuple[HeldReservation, ...]:
        """Return the reservations that have not expired."""
        self._remove_expired(now_ms)
        return tuple(
            msgspec.structs.replace(one, due_in_ms=round(due_ms - now_ms))
            for due_ms, one in self._held
        )

    def _remove_expired(self, now_ms: float) -> None:
        self._held = [one for one in self._held if now_ms - one[0] <= LATE_TOLERANCE_MS]


class LapseLogger:
    """Logs how many reservations schedulers on this VM have withdrawn for lost slots.

    Scheduling cores do no I/O and log nothing, so their counts are compared
    periodically.

    Args:
        clock: Source of the current time.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._next_ms = 0.0
        self._lapsed: WeakKeyDictionary[SchedulingCore, int] = WeakKeyDictionary()

    def check(self, service_queues: Iterable[ServiceQueue]) -> None:
        """Log each service's number since the last check, at most once in 1 s."""
        now_ms = self._clock.now_ms()
        if now_ms < self._next_ms:
            return
        self._next_ms = now_ms + _LOG_PERIOD_MS
        counts: Counter[str] = Counter()
        for service_queue in service_queues:
            figures = service_queue.reservation_figures()
            if figures is not None:
                core = service_queue.core
                counts[service_queue.service] += figures.lapsed - self._lapsed.get(
                    core, 0
                )
                self._lapsed[core] = figures.lapsed
        for service, count in counts.items():
            if count > 0:
                log_event(RESERVATIONS_LAPSED, service=service, count=count)
