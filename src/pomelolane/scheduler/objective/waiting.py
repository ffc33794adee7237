"""Queues of the requests that wait for a slot at one scheduling core."""

from __future__ import annotations

import heapq
from dataclasses import dataclass, field
from enum import IntEnum
from itertools import count
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator

    from pomelolane.messages import Handle
    from pomelolane.scheduler.objective.options import ObjectiveOptions
    from pomelolane.scheduler.objective.reserved_slots import Reservation

QueueKey = tuple[int, int, float]
"""Sort key: tier rank, precedence within it, then the time at which the first answer
byte is due."""


class Precedence(IntEnum):
    """Order of requests within one tier rank.

    Attributes:
        RESERVED: Its caller returns at the time for which a slot is reserved.
        WITHIN_SHARE: Its organisation asks for no more than its share of the slots.
        BEYOND_SHARE: Its organisation asks for more than its share.
    """

    RESERVED = 0
    WITHIN_SHARE = 1
    BEYOND_SHARE = 2


@dataclass(slots=True, eq=False)
class WaitingRequest:
    """A request that waits for a slot.

    Attributes:
        handle: The request.
        submitted_ms: When it was submitted.
        arrived_ms: When it reached this scheduler, which may have held it back.
        charged_ms: When it was charged to its organisation's limit.
        deadline_ms: Time by which the answer must have ended.
        objective_at_ms: Time at which the first answer byte is due.
        late: Whether its objective is out of reach.
        queued: Whether it still waits.
        precedence: Its order within the tier rank.
        is_resubmitted: Whether this scheduler or an earlier one had it before.
        used: Reservation that it uses.
        awaited: Reservation for which it arrived too early.
        is_repeat: Whether another early arrival was given that reservation.
        slot_ms: How long it is expected to hold a slot, estimated on arrival.
        deducted_ms: Slot time deducted from its organisation's share.
        share_slots: Its organisation's share of a contended rank, 0 without contention.
        entry: Number of its current queue entry; earlier entries are skipped.
        key: Its position in the queue.
    """

    handle: Handle
    submitted_ms: float
    deadline_ms: float
    objective_at_ms: float
    late: bool = False
    queued: bool = True
    precedence: Precedence = Precedence.WITHIN_SHARE
    is_resubmitted: bool = False
    used: Reservation | None = None
    awaited: Reservation | None = None
    is_repeat: bool = False
    slot_ms: float = 0.0
    deducted_ms: float = 0.0
    share_slots: float = 0.0
    entry: int = -1
    charged_ms: float = field(init=False)
    arrived_ms: float = field(init=False)
    key: QueueKey = field(init=False)

    def __post_init__(self) -> None:
        """Set the times of charge and arrival and the key from the other fields."""
        self.charged_ms = self.arrived_ms = self.submitted_ms
        self.set_precedence(self.precedence)

    def set_precedence(self, precedence: Precedence) -> None:
        """Set the precedence and the key; the request is not moved in its queue."""
        self.precedence = precedence
        due_ms = self.objective_at_ms
        if precedence is Precedence.RESERVED and self.used is not None:
            due_ms = self.used.due_ms
        self.key = (self.handle.tier_rank, precedence, due_ms)

    def give_up_at_ms(self, options: ObjectiveOptions) -> float:
        """Return the time at which it is refused if no slot has become free."""
        late_ms = self.deadline_ms - self.objective_at_ms
        given_up_ms = self.objective_at_ms + options.late_share * late_ms
        if self.handle.patience_ms:
            patience_ms = options.patience_share * self.handle.patience_ms
            given_up_ms = min(given_up_ms, self.submitted_ms + patience_ms)
        return given_up_ms

    def caller_leaves_in_ms(self, now_ms: float) -> float:
        """Return how long until its caller disconnects if no answer has begun."""
        if not self.handle.patience_ms:
            return self.deadline_ms - now_ms
        return self.submitted_ms + self.handle.patience_ms - now_ms


def waiting_from_handle(handle: Handle, now_ms: float) -> WaitingRequest:
    """Create the queue entry of a request that arrives now."""
    deadline_ms = now_ms + handle.budget_ms
    return WaitingRequest(
        handle, now_ms, deadline_ms, deadline_ms - handle.late_window_ms
    )


class RecentIds:
    """Request ids that are kept for a time.

    Args:
        retention_ms: How long they are kept.
    """

    def __init__(self, retention_ms: float) -> None:
        self._retention_ms = retention_ms
        self._added_ms: dict[str, float] = {}

    def add(self, request_id: str, now_ms: float) -> None:
        """Add an id and drop those that are too old."""
        self._added_ms.pop(request_id, None)
        self._added_ms[request_id] = now_ms
        while True:
            oldest, added_ms = next(iter(self._added_ms.items()))
            if now_ms - added_ms <= self._retention_ms:
                return
            del self._added_ms[oldest]

    def __contains__(self, request_id: str) -> bool:
        return request_id in self._added_ms

    def pop(self, request_id: str, default: float | None = None) -> float | None:
        """Remove an id and return when it was added, the default if it is unknown."""
        return self._added_ms.pop(request_id, default)


class RequestQueue:
    """Priority queue of waiting requests; removed entries are skipped on access.

    Args:
        entries: Numbers the entries of all queues of a core.
    """

    def __init__(self, entries: Iterator[int]) -> None:
        self._heap: list[tuple[QueueKey, int, WaitingRequest]] = []
        self._entries = entries

    def push(self, waiting: WaitingRequest) -> None:
        """Add a request; its earlier entry in any queue is skipped from now on."""
        waiting.entry = next(self._entries)
        heapq.heappush(self._heap, (waiting.key, waiting.entry, waiting))

    def pop(self) -> WaitingRequest | None:
        """Remove and return the first request, None if the queue is empty."""
        while self._heap:
            _, entry, waiting = heapq.heappop(self._heap)
            if waiting.queued and waiting.entry == entry:
                return waiting
        return None

    def has_any(self) -> bool:
        """Return whether any request is in the queue."""
        while self._heap:
            _, entry, waiting = self._heap[0]
            if waiting.queued and waiting.entry == entry:
                return True
            heapq.heappop(self._heap)
        return False


class WaitingRequests:
    """All waiting requests of a core, the on-time and the late ones in two queues."""

    def __init__(self) -> None:
        self._by_id: dict[str, WaitingRequest] = {}
        self._bound: dict[str, WaitingRequest] = {}
        entries = count()
        self.on_time = RequestQueue(entries)
        self.late = RequestQueue(entries)

    def __contains__(self, request_id: str) -> bool:
        return request_id in self._by_id

    def __len__(self) -> int:
        return len(self._by_id)

    def __iter__(self) -> Iterator[WaitingRequest]:
        return iter(list(self._by_id.values()))

    def add(self, waiting: WaitingRequest) -> None:
        """Add a request to the queue of those that can be on time."""
        self._by_id[waiting.handle.request_id] = waiting
        if waiting.handle.version is not None:
            self._bound[waiting.handle.request_id] = waiting
        self.on_time.push(waiting)

    def remove(self, request_id: str) -> WaitingRequest | None:
        """Remove and return a request, None if it does not wait."""
        waiting = self._by_id.pop(request_id, None)
        self._bound.pop(request_id, None)
        if waiting is not None:
            waiting.queued = False
        return waiting

    def move_to_late(self, waiting: WaitingRequest) -> None:
        """Move a request to the queue of late requests."""
        waiting.late = True
        self.late.push(waiting)

    def change_precedence(
        self, waiting: WaitingRequest, precedence: Precedence
    ) -> None:
        """Move a request within its queue."""
        if waiting.precedence is not precedence:
            waiting.set_precedence(precedence)
            (self.late if waiting.late else self.on_time).push(waiting)

    def bound_in_order(self) -> list[WaitingRequest]:
        """Return the requests that are bound to a version, in queue order."""
        return sorted(self._bound.values(), key=_queue_key)

    def on_time_in_order(self) -> list[WaitingRequest]:
        """Return the requests that can still be on time, in queue order."""
        on_time = [one for one in self._by_id.values() if not one.late]
        on_time.sort(key=_queue_key)
        return on_time


def _queue_key(waiting: WaitingRequest) -> QueueKey:
    return waiting.key
