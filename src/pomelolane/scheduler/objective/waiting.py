"""The requests that wait at one core, in the order in which they may be granted."""

from __future__ import annotations

import heapq
from dataclasses import dataclass, field
from itertools import count
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator

    from pomelolane.messages import Handle
    from pomelolane.scheduler.objective.options import ObjectiveOptions

Key = tuple[int, float]
"""Rank, then the time at which the first answer byte is due."""


@dataclass(slots=True, eq=False)
class Waiting:
    """A request that waits; ``late`` once its objective is out of reach."""

    handle: Handle
    submitted_ms: float
    deadline_ms: float
    objective_at_ms: float
    late: bool = False
    queued: bool = True
    key: Key = field(init=False)

    def __post_init__(self) -> None:
        """Fix the key, which never changes."""
        self.key = (self.handle.tier_rank, self.objective_at_ms)

    def given_up_at(self, options: ObjectiveOptions) -> float:
        """Return until when it waits, at most a part of its caller's patience."""
        late_ms = self.deadline_ms - self.objective_at_ms
        given_up_ms = self.objective_at_ms + options.late_share * late_ms
        if self.handle.patience_ms:
            patience_ms = options.patience_share * self.handle.patience_ms
            given_up_ms = min(given_up_ms, self.submitted_ms + patience_ms)
        return given_up_ms

    def leaves_in_ms(self, now_ms: float) -> float:
        """Return how long until its caller leaves if no answer has begun."""
        if not self.handle.patience_ms:
            return self.deadline_ms - now_ms
        return self.submitted_ms + self.handle.patience_ms - now_ms


def waiting_from_handle(handle: Handle, now_ms: float) -> Waiting:
    """Return a request that begins to wait now."""
    deadline_ms = now_ms + handle.budget_ms
    return Waiting(handle, now_ms, deadline_ms, deadline_ms - handle.late_window_ms)


class WaitingLine:
    """One heap of waiting requests; what has left it is skipped when it comes up."""

    def __init__(self, late: bool) -> None:
        self._late = late
        self._heap: list[tuple[Key, int, Waiting]] = []
        self._sequence = count()

    def push(self, waiting: Waiting) -> None:
        """Add a request."""
        heapq.heappush(self._heap, (waiting.key, next(self._sequence), waiting))

    def pop(self) -> Waiting | None:
        """Take out the request that comes first, None where none waits."""
        while self._heap:
            waiting = heapq.heappop(self._heap)[2]
            if self._holds(waiting):
                return waiting
        return None

    def has_any(self) -> bool:
        """Tell whether a request waits here."""
        while self._heap and not self._holds(self._heap[0][2]):
            heapq.heappop(self._heap)
        return bool(self._heap)

    def _holds(self, waiting: Waiting) -> bool:
        return waiting.queued and waiting.late is self._late


class WaitingRequests:
    """All requests that wait at a core: those that can be on time, and late ones."""

    def __init__(self) -> None:
        self._by_id: dict[str, Waiting] = {}
        self.on_time = WaitingLine(late=False)
        self.late = WaitingLine(late=True)

    def __contains__(self, request_id: str) -> bool:
        return request_id in self._by_id

    def __len__(self) -> int:
        return len(self._by_id)

    def __iter__(self) -> Iterator[Waiting]:
        return iter(list(self._by_id.values()))

    def add(self, waiting: Waiting) -> None:
        """Let a request wait."""
        self._by_id[waiting.handle.request_id] = waiting
        self.on_time.push(waiting)

    def remove(self, request_id: str) -> Waiting | None:
        """Let a request wait no longer; None where it does not wait."""
        waiting = self._by_id.pop(request_id, None)
        if waiting is not None:
            waiting.queued = False
        return waiting

    def make_late(self, waiting: Waiting) -> None:
        """Move a request behind those that can still be on time."""
        waiting.late = True
        self.late.push(waiting)

    def in_order(self) -> list[Waiting]:
        """Return what can still be on time, in the order of grants."""
        on_time = [one for one in self._by_id.values() if not one.late]
        on_time.sort(key=_key_of)
        return on_time


def _key_of(waiting: Waiting) -> Key:
    return waiting.key
