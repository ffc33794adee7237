"""Reservations of refused callers, and the slots that they are made of."""

from __future__ import annotations

import re
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from pomelolane.scheduler.objective.worker import Worker

EARLY_TOLERANCE_MS = 100.0
"""How much sooner than its retry time a caller may return: clocks differ, and the slot
time is reserved in bins of this length."""

LATE_TOLERANCE_MS = 500.0
"""How much later than its retry time a caller may return: messages and the caller's own
connection take that long."""

MAX_SLOT_MS = 60_000
"""Longest slot time that is accepted from a gateway."""

_FINGERPRINT = re.compile(r"[0-9a-f]{16}")

_SAME_DUE_MS = 50.0
"""Difference up to which retry times of one fingerprint are the same reservation: two
gateways that keep it differ by the delays of their messages. It applies only to
reservations without an id."""


@dataclass(frozen=True, slots=True)
class Reservation:
    """Slot time reserved for a refused request.

    Attributes:
        number: Counts the reservations in the order in which they were made.
        fingerprint: Fingerprint of the request.
        tier_rank: Rank of the request.
        due_ms: Retry time that its caller was given.
        slot_ms: Slot time that is reserved.
        origin_id: Retry time on the clock of the scheduler that made it, by which
            gateways and other schedulers recognise it; 0 if unknown.
        organisation: Organisation of the request, empty if a gateway sent it.
    """

    number: int
    fingerprint: str
    tier_rank: int
    due_ms: float
    slot_ms: float
    origin_id: int = 0
    organisation: str = ""

    @property
    def is_valid(self) -> bool:
        """Whether a scheduler can have made it."""
        return (
            _FINGERPRINT.fullmatch(self.fingerprint) is not None
            and 1 <= self.slot_ms <= MAX_SLOT_MS
        )

    def is_usable(self, rank: int, now_ms: float) -> bool:
        """Return whether a request of a rank that arrives now may use it."""
        early_ms = self.due_ms - now_ms
        is_due = -LATE_TOLERANCE_MS <= early_ms <= EARLY_TOLERANCE_MS
        return is_due and rank == self.tier_rank

    def is_same(self, other: Reservation) -> bool:
        """Return whether another reservation was made for the same refusal."""
        if self.tier_rank != other.tier_rank:
            return False
        if self.origin_id and other.origin_id:
            return self.origin_id == other.origin_id
        return abs(self.due_ms - other.due_ms) <= _SAME_DUE_MS


@dataclass(frozen=True, slots=True)
class RetryOffer:
    """Retry time of a refused caller.

    Attributes:
        retry_ms: Time until it should return.
        reserved_ms: Slot time reserved for it, 0 for none.
        origin_id: Id of the reservation, 0 for none.
    """

    retry_ms: int
    reserved_ms: int = 0
    origin_id: int = 0


@dataclass(frozen=True, slots=True)
class SlotSupply:
    """Slots of the endpoints that are not leaving.

    Attributes:
        slots: Number of all their slots.
        suspended: End of the suspension and number of slots of suspended endpoints.
    """

    slots: int
    suspended: tuple[tuple[float, int], ...] = ()

    def slots_at(self, at_ms: float) -> int:
        """Return the number of slots that are not suspended at a time."""
        return self.slots - sum(n for until_ms, n in self.suspended if until_ms > at_ms)


@dataclass(slots=True)
class ReservationFigures:
    """Number of reservations, for operators.

    Attributes:
        held: Present reservations.
        made: Made with a refusal here.
        used: Used by callers that returned in time.
        early: Arrivals before the retry time of their reservation.
        lapsed: Withdrawn because slots were lost.
        expired: Not used in time.
    """

    held: int = 0
    made: int = 0
    used: int = 0
    early: int = 0
    lapsed: int = 0
    expired: int = 0


def supply_from_workers(
    workers: Iterable[Worker], share: float, now_ms: float
) -> SlotSupply:
    """Return the slots of the endpoints that are not leaving."""
    staying = [worker for worker in workers if not worker.leaving]
    return SlotSupply(
        sum(worker.usable_slots(share) for worker in staying),
        tuple(
            (worker.suspended_until_ms, worker.usable_slots(share))
            for worker in staying
            if worker.suspended_until_ms > now_ms
        ),
    )
