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
        charged_ms: When it was charged to its organisation's limit.
        deadline_ms: Time by which the answer must have ended.
        objective_at_ms: Time at which the first answer byte is due.
        late: Whether its objective is out of reach.
        queued: Whether it still waits.
        precedence: Its order within the tier rank.
        is_resubmitted: Whether this scheduler or an earlier one had it before.
        reservation: Reservation that it uses, or for which it arrived too early.
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
    reservation: Reservation | None = None
    charged_ms: float = field(init=False)
    key: QueueKey = field(init=False)

    def __post_init__(self) -> None:
        """Set the time of the charge and the key from the other fields."""
        self.charged_ms = self.submitted_ms
        self.key = (self.handle.tier_rank, self.precedence, self.objective_at_ms)

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


class RequestQueue:
    """Priority queue of waiting requests; removed entries are skipped on access.

    Args:
        late: Whether it holds the late requests, instead of those on time.
    """

    def __init__(self, late: bool) -> None:
        self._late = late
        self._heap: list[tuple[QueueKey, int, WaitingRequest]] = []
        self._sequence = count()

    def push(self, waiting: WaitingRequest) -> None:
        """Add a request."""
        heapq.heappush(self._heap, (waiting.key, next(self._sequence), waiting))

    def pop(self) -> WaitingRequest | None:
        """Remove and return the first request, None if the queue is empty."""
        while self._heap:
            waiting = heapq.heappop(self._heap)[2]
            if self._is_current(waiting):
                return waiting
        return None

    def has_any(self) -> bool:
        """Return whether any request is in the queue."""
        while self._heap and not self._is_current(self._heap[0][2]):
            heapq.heappop(self._heap)
        return bool(self._heap)

    def _is_current(self, waiting: WaitingRequest) -> bool:
        return waiting.queued and waiting.late is self._late


class WaitingRequests:
    """All waiting requests of a core, the on-time and the late ones in two queues."""

    def __init__(self) -> None:
        self._by_id: dict[str, WaitingRequest] = {}
        self.on_time = RequestQueue(late=False)
        self.late = RequestQueue(late=True)

    def __contains__(self, request_id: str) -> bool:
        return request_id in self._by_id

    def __len__(self) -> int:
        return len(self._by_id)

    def __iter__(self) -> Iterator[WaitingRequest]:
        return iter(list(self._by_id.values()))

    def add(self, waiting: WaitingRequest) -> None:
        """Add a request to the queue of those that can be on time."""
        self._by_id[waiting.handle.request_id] = waiting
        self.on_time.push(waiting)

    def remove(self, request_id: str) -> WaitingRequest | None:
        """Remove and return a request, None if it does not wait."""
        waiting = self._by_id.pop(request_id, None)
        if waiting is not None:
            waiting.queued = False
        return waiting

    def move_to_late(self, waiting: WaitingRequest) -> None:
        """Move a request to the queue of late requests."""
        waiting.late = True
        self.late.push(waiting)

    def on_time_in_order(self) -> list[WaitingRequest]:
        """Return the requests that can still be on time, in queue order."""
        on_time = [one for one in self._by_id.values() if not one.late]
        on_time.sort(key=_queue_key)
        return on_time


def _queue_key(waiting: WaitingRequest) -> QueueKey:
    return waiting.key
