"""Reservations of slot time for refused callers that return at their retry time.

A refused request is recognised by the fingerprint of its content when its caller
returns. This module decides without I/O; time is passed in.
"""

from __future__ import annotations

import heapq
import math
from collections import Counter
from dataclasses import dataclass, replace
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

MAX_OF_ORGANISATION = MAX_RESERVATIONS // 4
"""Reservations of one organisation, so that one that floods leaves places to others."""

MAX_OF_FINGERPRINT = 16
"""Reservations of one fingerprint, all of which each adopted one is compared with."""

_LINK_RETENTION_MS = 15_000.0
"""How long a request is linked to its reservation: the longest time that callers wait.
Until then the request may be submitted again."""

_MAX_RECORDS = 2 * MAX_RESERVATIONS
"""Reservations including those used or cancelled that have not expired."""


class RetryReservations(Protocol):
    """Reservations of one service.

    Attributes:
        figures: Counts for operators; ``held`` is updated by all methods.
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
        slots_left: float,
        now_ms: float,
    ) -> RetryOffer:
        """Return the retry time of a request that is refused, reserved if possible.

        Args:
            waiting: The request.
            earliest_in_ms: Time before which no capacity is free.
            slot_ms: How long it is expected to hold a slot.
            slots_left: Number of slots that more urgent ranks leave.
            now_ms: Current time.
        """

    def predict(
        self,
        waiting: WaitingRequest,
        earliest_in_ms: float,
        slots_left: float,
        now_ms: float,
    ) -> RetryOffer:
        """Return the retry time of a request for which nothing new is reserved.

        Args:
            waiting: The request.
            earliest_in_ms: Time before which no capacity is free.
            slots_left: Number of slots that more urgent ranks leave.
            now_ms: Current time.
        """

    def cancel_early(self, waiting: WaitingRequest) -> None:
        """Cancel the reservation of a granted request that had returned too early."""

    def adopt(self, reservation: Reservation, all_slots: int, now_ms: float) -> None:
        """Add a reservation that a former scheduler made; others are ignored."""

    def hold(self, *, is_held: bool) -> None:
        """Let no reservation expire while requests that have arrived are held back."""

    def delayed_ms(
        self, rank: int, wait_ms: float, slots: float, now_ms: float
    ) -> float:
        """Return a predicted wait, extended by what is reserved meanwhile."""

    def update(self, workers: Iterable[Worker], share: float, now_ms: float) -> None:
        """Drop expired reservations, and those that no longer fit the slots."""

    def account_for_pause(self, paused_ms: float, now_ms: float) -> None:
        """Make all retry times earlier by a pause in which the clock stood still."""


@dataclass(slots=True)
class _Link:
    """The reservation of a request, kept in case it is submitted again.

    Attributes:
        reservation: The reservation.
        since_ms: When the request arrived.
        is_used: Whether the request uses it, rather than having arrived too early.
    """

    reservation: Reservation
    since_ms: float
    is_used: bool


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
        self._held_by_organisation: Counter[str] = Counter()
        self._slot_ms_by_organisation: Counter[str] = Counter()
        self._links: dict[str, _Link] = {}
        # Reservations whose retry time was given again to an early arrival.
        self._given_again: set[int] = set()
        self._slots: int | None = None
        self._is_held = False

    def claim(
        self, waiting: WaitingRequest, now_ms: float, *, is_resubmitted: bool
    ) -> None:
        """See :meth:`RetryReservations.claim`."""
        handle = waiting.handle
        if not handle.fingerprint or handle.objective_ms <= 0 or handle.attempt:
            return
        link = self._links.get(handle.request_id)
        if link is None and self._held and not is_resubmitted:
            self._expire(now_ms)
            link = self._link(waiting, now_ms)
        if link is None:
            return
        if link.is_used:
            waiting.used = link.reservation
            waiting.set_precedence(Precedence.RESERVED)
        else:
            waiting.awaited = link.reservation

    def _link(self, waiting: WaitingRequest, now_ms: float) -> _Link | None:
        """Use the reservation with the nearest retry time; note one that is not due."""
        handle = waiting.handle
        arrived_ms = waiting.arrived_ms
        held = [
            one
            for one in self._by_fingerprint.get(handle.fingerprint, ())
            if one.number in self._held and one.tier_rank == handle.tier_rank
        ]
        if not held:
            return None
        usable = [one for one in held if one.is_usable(handle.tier_rank, arrived_ms)]
        nearest = min(usable or held, key=lambda one: abs(one.due_ms - arrived_ms))
        if usable:
            self._release(nearest)
            self.figures.used += 1
        else:
            self.figures.early += 1
        link = _Link(nearest, now_ms, is_used=bool(usable))
        self._links[handle.request_id] = link
        return link

    def offer(
        self,
        waiting: WaitingRequest,
        earliest_in_ms: float,
        slot_ms: float,
        slots_left: float,
        now_ms: float,
    ) -> RetryOffer:
        """See :meth:`RetryReservations.offer`."""
        self._expire(now_ms)
        known = self._known_offer(waiting, now_ms)
        if known is not None:
            return known
        handle = waiting.handle
        retry_ms = self._free_in_ms(waiting, earliest_in_ms, slots_left, now_ms)
        of_fingerprint = self._by_fingerprint.get(handle.fingerprint, ())
        if (
            retry_ms > _patience_ms(waiting, now_ms)
            or not handle.fingerprint
            or handle.attempt
            or waiting.is_repeat
            or self._held_by_organisation[handle.organisation] >= MAX_OF_ORGANISATION
            or len(of_fingerprint) >= MAX_OF_FINGERPRINT
            or self._is_full()
        ):
            return RetryOffer(_unreserved_ms(retry_ms))
        due_ms = now_ms + retry_ms
        reservation = Reservation(
            next(self._numbers),
            handle.fingerprint,
            handle.tier_rank,
            due_ms,
            slot_ms,
            max(1, int(due_ms)),
            handle.organisation,
        )
        if self._slots is None:
            self._slots = math.ceil(slots_left)
        self._add(reservation, slots_left * self._share)
        self.figures.made += 1
        return RetryOffer(retry_ms, _sent_slot_ms(reservation), reservation.origin_id)

    def _known_offer(self, waiting: WaitingRequest, now_ms: float) -> RetryOffer | None:
        """Return the remaining time of the reservation that an early arrival has.

        One early arrival gets it. Copies of the request that all got the same time
        would return together.
        """
        known = waiting.awaited
        if known is None or known.number not in self._held:
            return None
        due_in_ms = known.due_ms - now_ms
        if due_in_ms <= 0:
            # Its time passed while the request waited.
            self._release(known)
            return None
        if due_in_ms > _patience_ms(waiting, now_ms):
            return None
        if known.number in self._given_again:
            waiting.is_repeat = True
            return None
        self._given_again.add(known.number)
        retry_ms = max(self._min_retry_ms, math.ceil(due_in_ms))
        return RetryOffer(retry_ms, _sent_slot_ms(known), known.origin_id)

    def predict(
        self,
        waiting: WaitingRequest,
        earliest_in_ms: float,
        slots_left: float,
        now_ms: float,
    ) -> RetryOffer:
        """See :meth:`RetryReservations.predict`."""
        self._expire(now_ms)
        known = self._known_offer(waiting, now_ms)
        if known is not None:
            return known
        free_in_ms = self._free_in_ms(waiting, earliest_in_ms, slots_left, now_ms)
        return RetryOffer(_unreserved_ms(free_in_ms))

    def _free_in_ms(
        self,
        waiting: WaitingRequest,
        earliest_in_ms: float,
        slots_left: float,
        now_ms: float,
    ) -> int:
        """Return the time until a bin has free capacity, at most the horizon.

        In a contended rank, no time is before that up to which the reservations of the
        request's organisation take up its share of the reserved slots.
        """
        handle = waiting.handle
        organisation_slots = waiting.share_slots * self._share
        if organisation_slots > 0:
            held_ms = self._slot_ms_by_organisation[handle.organisation]
            share_in_ms = (held_ms + waiting.slot_ms) / organisation_slots
            earliest_in_ms = max(earliest_in_ms, share_in_ms)
        earliest_ms = now_ms + max(self._min_retry_ms, earliest_in_ms)
        at_ms = self._calendar.free_from(
            handle.tier_rank,
            earliest_ms,
            now_ms + HORIZON_MS,
            slots_left * self._share,
        )
        return int(HORIZON_MS) if at_ms is None else math.ceil(at_ms - now_ms)

    def cancel_early(self, waiting: WaitingRequest) -> None:
        """See :meth:`RetryReservations.cancel_early`."""
        if waiting.awaited is not None:
            self._release(waiting.awaited)

    def hold(self, *, is_held: bool) -> None:
        """See :meth:`RetryReservations.hold`."""
        self._is_held = is_held

    def adopt(self, reservation: Reservation, all_slots: int, now_ms: float) -> None:
        """See :meth:`RetryReservations.adopt`."""
        self._expire(now_ms)
        due_in_ms = reservation.due_ms - now_ms
        if (
            self._is_full()
            or not reservation.is_valid
            or not -LATE_TOLERANCE_MS <= due_in_ms <= HORIZON_MS
        ):
            return
        known = self._by_fingerprint.get(reservation.fingerprint, ())
        if len(known) >= MAX_OF_FINGERPRINT or any(
            one.is_same(reservation) for one in known
        ):
            return
        if self._slots is None:
            self._slots = all_slots
        reservation = replace(reservation, number=next(self._numbers))
        self._add(reservation, all_slots * self._share)

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
        for link in self._links.values():
            one = link.reservation
            link.reservation = replace(one, due_ms=one.due_ms - paused_ms)
        slots = (self._slots or 0) * self._share
        for one in held:
            self._held[one.number] = self._calendar.add(
                one.tier_rank, one.due_ms - paused_ms, one.slot_ms, slots
            )
        self._expire(now_ms)

    def _is_full(self) -> bool:
        return len(self._held) >= MAX_RESERVATIONS or len(self._by_due) >= _MAX_RECORDS

    def _add(self, one: Reservation, reservable_slots: float) -> None:
        self._held[one.number] = self._calendar.add(
            one.tier_rank, one.due_ms, one.slot_ms, reservable_slots
        )
        if one.organisation:
            self._held_by_organisation[one.organisation] += 1
            self._slot_ms_by_organisation[one.organisation] += one.slot_ms
        self._by_fingerprint.setdefault(one.fingerprint, []).append(one)
        heapq.heappush(self._by_due, (one.due_ms, one.number, one))
        self.figures.held = len(self._held)

    def _release(self, one: Reservation) -> bool:
        """Remove a reservation from the calendar; return whether it was held."""
        entry = self._held.pop(one.number, None)
        if entry is None:
            return False
        self._calendar.remove(one.tier_rank, entry)
        self._count_released(one)
        self.figures.held = len(self._held)
        return True

    def _count_released(self, one: Reservation) -> None:
        self._given_again.discard(one.number)
        if one.organisation:
            self._held_by_organisation[one.organisation] -= 1
            self._slot_ms_by_organisation[one.organisation] -= one.slot_ms
            if not self._held_by_organisation[one.organisation]:
                del self._held_by_organisation[one.organisation]
                del self._slot_ms_by_organisation[one.organisation]

    def _expire(self, now_ms: float) -> None:
        self._calendar.advance(now_ms)
        while self._links:
            request_id, link = next(iter(self._links.items()))
            if now_ms - link.since_ms <= _LINK_RETENTION_MS:
                break
            del self._links[request_id]
        if self._is_held:
            return
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
                self._count_released(one)
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


def _patience_ms(waiting: WaitingRequest, now_ms: float) -> float:
    """Return the longest retry time for which the caller of a request waits."""
    return (waiting.deadline_ms - now_ms) / _PATIENCE_PARTS - _PATIENCE_MARGIN_MS


def _sent_slot_ms(one: Reservation) -> int:
    """Return the slot time as messages carry it: at least 1, as 0 stands for none."""
    return max(1, round(one.slot_ms))


def make_retry_reservations(options: ObjectiveOptions) -> RetryReservations:
    """Create the reservations of one service."""
    return CalendarReservations(options.reserved_share, options.min_retry_ms)
