"""Reservations of slot time for refused callers that return at their retry time.

A refused request is recognised by the fingerprint of its content when its caller
returns. This module decides without I/O; time is passed in.
"""

from __future__ import annotations

import heapq
import math
from dataclasses import replace
from itertools import count
from typing import TYPE_CHECKING, Protocol

from pomelolane.scheduler.objective.reserved_slots import (
    LATE_TOLERANCE_MS,
    Reservation,
    ReservationFigures,
    RetryOffer,
    SlotSupply,
    supply_from_workers,
)
from pomelolane.scheduler.objective.slot_calendar import (
    BIN_MS,
    HORIZON_MS,
    CalendarEntry,
    SlotCalendar,
)
from pomelolane.scheduler.objective.waiting import Precedence

if TYPE_CHECKING:
    from collections.abc import Iterable

    from pomelolane.scheduler.objective.options import ObjectiveOptions
    from pomelolane.scheduler.objective.waiting import WaitingRequest
    from pomelolane.scheduler.objective.worker import Worker

_PATIENCE_PARTS = 3.0
_PATIENCE_MARGIN_MS = 100.0
"""Callers wait for a third of the time that they have left; the margin is for the
messages until they learn their retry time."""

MAX_RESERVATIONS = 4_096
"""Reservations of one service: 5 s of 800 refusals per second."""

_MAX_RECORDS = 2 * MAX_RESERVATIONS
"""Reservations including those used or cancelled that have not expired."""


class RetryReservations(Protocol):
    """Reservations of one service.

    Attributes:
        figures: Counts for operators; ``held`` is updated by :meth:`expire`.
    """

    figures: ReservationFigures

    def claim(
        self, waiting: WaitingRequest, now_ms: float, *, is_resubmitted: bool
    ) -> None:
        """Give an arriving request the precedence of its reservation, if it has one.

        Args:
            waiting: The request.
            now_ms: Current time.
            is_resubmitted: Whether it has waited here or at another scheduler before,
                so that its caller does not return.
        """

    def offer(
        self,
        waiting: WaitingRequest,
        earliest_in_ms: float,
        slot_ms: float,
        slots: float,
        now_ms: float,
    ) -> RetryOffer:
        """Return the retry time of a request that is refused, reserved if possible.

        Args:
            waiting: The request.
            earliest_in_ms: Time before which no capacity is free.
            slot_ms: How long it is expected to hold a slot.
            slots: Number of slots that more urgent ranks leave.
            now_ms: Current time.
        """

    def predict_ms(
        self, rank: int, earliest_in_ms: float, slots: float, now_ms: float
    ) -> int:
        """Return the retry time of a request for which nothing can be reserved.

        Args:
            rank: Its rank.
            earliest_in_ms: Time before which no capacity is free.
            slots: Number of slots that more urgent ranks leave.
            now_ms: Current time.
        """

    def cancel_early(self, waiting: WaitingRequest) -> None:
        """Cancel the reservation of a granted request that had returned too early."""

    def adopt(self, reservation: Reservation, slots: int, now_ms: float) -> None:
        """Add a reservation that a former scheduler made."""

    def delayed_ms(
        self, rank: int, wait_ms: float, slots: float, now_ms: float
    ) -> float:
        """Return a predicted wait, extended by what is reserved meanwhile."""

    def update(self, workers: Iterable[Worker], share: float, now_ms: float) -> None:
        """Drop expired reservations, and those that no longer fit the slots."""

    def account_for_pause(self, paused_ms: float, now_ms: float) -> None:
        """Make all retry times earlier by a pause in which the clock stood still."""


class CalendarReservations:
    """Keeps reservations in a calendar of slot time.

    Args:
        share: Share of the slots that may be reserved.
        min_retry_ms: Shortest retry delay.

    Attributes:
        figures: Counts for operators.
    """

    def __init__(self, share: float, min_retry_ms: int) -> None:
        self._share = share
        self._min_retry_ms = min_retry_ms
        self.figures = ReservationFigures()
        self._calendar = SlotCalendar()
        self._numbers = count(1)
        # Also contains those used or cancelled, until they would expire: gateways may
        # send them again.
        self._by_fingerprint: dict[str, list[Reservation]] = {}
        self._by_due: list[tuple[float, int, Reservation]] = []
        self._held: dict[int, CalendarEntry] = {}
        self._claims: dict[str, Reservation] = {}
        self._slots: int | None = None

    def claim(
        self, waiting: WaitingRequest, now_ms: float, *, is_resubmitted: bool
    ) -> None:
        """See :meth:`RetryReservations.claim`."""
        handle = waiting.handle
        if not self._by_due or not handle.fingerprint or handle.attempt:
            return
        self._expire(now_ms)
        used = self._claims.get(handle.request_id)
        if used is None and not is_resubmitted:
            used = self._use(waiting, now_ms)
        if used is None:
            return
        waiting.reservation = used
        waiting.set_precedence(Precedence.RESERVED)

    def _use(self, waiting: WaitingRequest, now_ms: float) -> Reservation | None:
        """Use the reservation with the nearest retry time; note one that is not due."""
        handle = waiting.handle
        held = [
            one
            for one in self._by_fingerprint.get(handle.fingerprint, ())
            if one.number in self._held and one.tier_rank == handle.tier_rank
        ]
        if not held:
            return None
        usable = [one for one in held if one.is_usable(handle.tier_rank, now_ms)]
        nearest = min(usable or held, key=lambda one: abs(one.due_ms - now_ms))
        if usable:
            self._release(nearest)
            self._claims[handle.request_id] = nearest
            self.figures.used += 1
            return nearest
        waiting.reservation = nearest
        self.figures.early += 1
        return None

    def offer(
        self,
        waiting: WaitingRequest,
        earliest_in_ms: float,
        slot_ms: float,
        slots: float,
        now_ms: float,
    ) -> RetryOffer:
        """See :meth:`RetryReservations.offer`."""
        self._expire(now_ms)
        known = waiting.reservation
        if known is not None and known.number in self._held:
            if known.due_ms > now_ms:
                retry_ms = math.ceil(known.due_ms - now_ms)
                return RetryOffer(retry_ms, _told_ms(known))
            # Its time passed while the request waited.
            self._release(known)
        handle = waiting.handle
        retry_ms = self._free_in_ms(handle.tier_rank, earliest_in_ms, slots, now_ms)
        patience_ms = (waiting.deadline_ms - now_ms) / _PATIENCE_PARTS
        if (
            retry_ms > patience_ms - _PATIENCE_MARGIN_MS
            or not handle.fingerprint
            or handle.attempt
            or self._is_full()
        ):
            return RetryOffer(_unreserved_ms(retry_ms))
        reservation = Reservation(
            next(self._numbers),
            handle.fingerprint,
            handle.tier_rank,
            now_ms + retry_ms,
            slot_ms,
        )
        self._add(reservation, slots * self._share)
        self.figures.made += 1
        return RetryOffer(retry_ms, _told_ms(reservation))

    def predict_ms(
        self, rank: int, earliest_in_ms: float, slots: float, now_ms: float
    ) -> int:
        """See :meth:`RetryReservations.predict_ms`."""
        self._expire(now_ms)
        return _unreserved_ms(self._free_in_ms(rank, earliest_in_ms, slots, now_ms))

    def _free_in_ms(
        self, rank: int, earliest_in_ms: float, slots: float, now_ms: float
    ) -> int:
        """Return the time until a bin has free capacity, at most the horizon."""
        earliest_ms = now_ms + max(self._min_retry_ms, earliest_in_ms)
        at_ms = self._calendar.free_from(
            rank, earliest_ms, now_ms + HORIZON_MS, slots * self._share
        )
        return int(HORIZON_MS) if at_ms is None else math.ceil(at_ms - now_ms)

    def cancel_early(self, waiting: WaitingRequest) -> None:
        """See :meth:`RetryReservations.cancel_early`."""
        known = waiting.reservation
        if known is not None and waiting.precedence is not Precedence.RESERVED:
            self._release(known)

    def adopt(self, reservation: Reservation, slots: int, now_ms: float) -> None:
        """See :meth:`RetryReservations.adopt`."""
        self._expire(now_ms)
        due_in_ms = reservation.due_ms - now_ms
        if self._is_full() or not -LATE_TOLERANCE_MS <= due_in_ms <= HORIZON_MS:
            return
        known = self._by_fingerprint.get(reservation.fingerprint, ())
        if not any(one.is_same(reservation) for one in known):
            reservation = replace(reservation, number=next(self._numbers))
            self._add(reservation, slots * self._share)

    def delayed_ms(
        self, rank: int, wait_ms: float, slots: float, now_ms: float
    ) -> float:
        """See :meth:`RetryReservations.delayed_ms`."""
        if not self._held:
            return wait_ms
        return self._calendar.delayed_ms(rank, wait_ms, slots, now_ms)

    def update(self, workers: Iterable[Worker], share: float, now_ms: float) -> None:
        """See :meth:`RetryReservations.update`."""
        self._expire(now_ms)
        if not self._held:
            self._slots = None
            return
        supply = supply_from_workers(workers, share, now_ms)
        slots = supply.slots_at(now_ms)
        if self._slots is not None and slots < self._slots:
            self._withdraw_unfit(supply)
        self._slots = slots

    def account_for_pause(self, paused_ms: float, now_ms: float) -> None:
        """See :meth:`RetryReservations.account_for_pause`."""
        held = self._held_in_order()
        self._by_due = [
            (due_ms - paused_ms, number, replace(one, due_ms=due_ms - paused_ms))
            for due_ms, number, one in self._by_due
        ]
        heapq.heapify(self._by_due)
        self._by_fingerprint.clear()
        for _, _, one in self._by_due:
            self._by_fingerprint.setdefault(one.fingerprint, []).append(one)
        self._calendar.clear()
        slots = (self._slots or 0) * self._share
        for one in held:
            self._held[one.number] = self._calendar.add(
                one.tier_rank, one.due_ms - paused_ms, one.slot_ms, slots
            )
        self._expire(now_ms)

    def _is_full(self) -> bool:
        return len(self._held) >= MAX_RESERVATIONS or len(self._by_due) >= _MAX_RECORDS

    def _add(self, one: Reservation, slots: float) -> None:
        self._held[one.number] = self._calendar.add(
            one.tier_rank, one.due_ms, one.slot_ms, slots
        )
        self._by_fingerprint.setdefault(one.fingerprint, []).append(one)
        heapq.heappush(self._by_due, (one.due_ms, one.number, one))
        self.figures.held = len(self._held)

    def _release(self, one: Reservation) -> bool:
        """Remove a reservation from the calendar; return whether it was held."""
        entry = self._held.pop(one.number, None)
        if entry is None:
            return False
        self._calendar.remove(one.tier_rank, entry)
        self.figures.held = len(self._held)
        return True

    def _expire(self, now_ms: float) -> None:
        self._calendar.advance(now_ms)
        while self._by_due and self._by_due[0][0] < now_ms - LATE_TOLERANCE_MS:
            one = heapq.heappop(self._by_due)[2]
            self.figures.expired += self._release(one)
            others = [
                other
                for other in self._by_fingerprint.pop(one.fingerprint)
                if other.number != one.number
            ]
            if others:
                self._by_fingerprint[one.fingerprint] = others
        oldest = self._by_due[0][0] if self._by_due else math.inf
        while self._claims:
            request_id, used = next(iter(self._claims.items()))
            if used.due_ms >= oldest:
                break
            del self._claims[request_id]

    def _held_in_order(self) -> list[Reservation]:
        """Return the reservations, the most urgent and then the oldest first."""
        held = [one for _, number, one in self._by_due if number in self._held]
        return sorted(held, key=lambda one: (one.tier_rank, one.number))

    def _withdraw_unfit(self, supply: SlotSupply) -> None:
        """Withdraw what no longer fits, the most recently made of a rank first."""
        held = self._held_in_order()
        self._calendar.clear()
        for one in held:
            slots = supply.slots_at(one.due_ms) * self._share
            if self._has_room(one, slots):
                self._held[one.number] = self._calendar.add(
                    one.tier_rank, one.due_ms, one.slot_ms, slots
                )
            else:
                del self._held[one.number]
                self.figures.lapsed += 1
        self.figures.held = len(self._held)

    def _has_room(self, one: Reservation, slots: float) -> bool:
        bin_ms = one.due_ms // BIN_MS * BIN_MS
        end_ms = bin_ms + BIN_MS - 1.0
        return (
            self._calendar.free_from(one.tier_rank, bin_ms, end_ms, slots) is not None
        )


def _unreserved_ms(free_in_ms: int) -> int:
    """Return the retry time of a caller without a reservation.

    Callers with a little more time may still reserve the capacity that is free first.
    """
    return min(int(HORIZON_MS), free_in_ms + int(_PATIENCE_MARGIN_MS))


def _told_ms(one: Reservation) -> int:
    """Return the slot time as messages carry it: at least 1, as 0 stands for none."""
    return max(1, round(one.slot_ms))


def make_retry_reservations(options: ObjectiveOptions) -> RetryReservations:
    """Create the reservations of one service."""
    return CalendarReservations(options.reserved_share, options.min_retry_ms)
