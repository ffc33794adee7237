"""The queue of events that moves a laboratory's clock."""

from __future__ import annotations

import heapq
from itertools import count
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable


class EventQueue:
    """Calls functions at their times, in the order in which they were entered.

    Attributes:
        now_ms: Time of the event that is being played.
    """

    def __init__(self) -> None:
        self.now_ms = 0.0
        self._events: list[tuple[float, int, Callable[..., None], tuple]] = []
        self._sequence = count()

    def at(self, at_ms: float, function: Callable[..., None], *arguments) -> None:
        """Call a function at a time."""
        entry = (at_ms, next(self._sequence), function, arguments)
        heapq.heappush(self._events, entry)

    def after(self, for_ms: float, function: Callable[..., None], *arguments) -> None:
        """Call a function after a while."""
        self.at(self.now_ms + for_ms, function, *arguments)

    def run_until(self, end_ms: float) -> None:
        """Play all events before a time."""
        while self._events and self._events[0][0] < end_ms:
            self.now_ms, _, function, arguments = heapq.heappop(self._events)
            function(*arguments)
