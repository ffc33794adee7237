"""Bytes on their way from one end of a link's connection to the other.

Held bytes keep their order, and a delay holds bytes back without slowing the
stream down; where nothing holds them they are handed on at once.
"""

from __future__ import annotations

import asyncio
from collections import deque
from enum import Enum
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from collections.abc import Callable

MS_PER_S = 1000.0
TIMER_TOLERANCE_S = 0.0006
HELD_BYTES_LIMIT = 4 * 1024 * 1024


class Ending(Enum):
    """How a sender stopped sending."""

    CLOSED = "closed"
    RESET = "reset"


class LinkFaults(Protocol):
    """What a direction has to know of its link."""

    delay_ms: float

    def moves(self) -> bool:
        """Tell whether bytes move at all."""

    def swallows(self, *, replies: bool) -> bool:
        """Tell whether bytes of a direction are thrown away."""


class Direction:
    """Holds what one end sent until it may go to the other.

    Attributes:
        source: The sender's connection.
        sink: The receiver's connection, None before it is there.
        closed: Whether the sender's end has been handed on.
    """

    def __init__(
        self, faults: LinkFaults, *, replies: bool, on_end: Callable[[Ending], None]
    ) -> None:
        self.source: asyncio.Transport | None = None
        self.sink: asyncio.Transport | None = None
        self.closed = False
        self._faults = faults
        self._replies = replies
        self._on_end = on_end
        self._clock = asyncio.get_running_loop().time
        self._held: deque[tuple[float, bytes | Ending]] = deque()
        self._held_bytes = 0
        self._sink_full = False
        self._timer: asyncio.TimerHandle | None = None

    def take(self, item: bytes | Ending) -> None:
        """Take in what the sender sent, and hand it on when it may go."""
        delay_ms = self._faults.delay_ms
        if not self._held and not delay_ms and self._may_move():
            self._hand_on(item)
            return
        self._held.append((self._clock() + delay_ms / MS_PER_S, item))
        self._held_bytes += _size(item)
        self._steer_source()
        if self._timer is None:
            self.flush()

    def flush(self) -> None:
        """Hand on all whose time has come."""
        self._cancel_timer()
        while self._held and self._may_move():
            due, item = self._held[0]
            wait_s = due - self._clock()
            if wait_s > TIMER_TOLERANCE_S:
                loop = asyncio.get_running_loop()
                self._timer = loop.call_later(wait_s, self.flush)
                break
            self._held.popleft()
            self._held_bytes -= _size(item)
            self._hand_on(item)
        self._steer_source()

    def fill_sink(self, full: bool) -> None:
        """Note whether the receiver takes no more for now."""
        self._sink_full = full
        self._steer_source()

    def close(self) -> None:
        """Drop what is held."""
        self._cancel_timer()
        self._held.clear()

    def _cancel_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _may_move(self) -> bool:
        return self.sink is not None and self._faults.moves()

    def _hand_on(self, item: bytes | Ending) -> None:
        if isinstance(item, Ending):
            self.closed = True
            self._on_end(item)
        elif not self._faults.swallows(replies=self._replies) and self.sink:
            self.sink.write(item)

    def _steer_source(self) -> None:
        """Read from the sender only while there is room for its bytes."""
        if self.source is None or self.source.is_closing():
            return
        if self._sink_full or self._held_bytes > HELD_BYTES_LIMIT:
            self.source.pause_reading()
        elif not self.source.is_reading():
            self.source.resume_reading()


def _size(item: bytes | Ending) -> int:
    return 0 if isinstance(item, Ending) else len(item)


__all__ = ["Direction", "Ending", "LinkFaults"]
