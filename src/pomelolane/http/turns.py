"""Divides the event loop's time among connections with data that is not parsed yet."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING, Protocol

from uvicorn.protocols.http.flow_control import FlowControl

if TYPE_CHECKING:
    import asyncio

MAX_EVENTS_PER_TURN = 1000
"""Parser events after which other tasks of the event loop get their turn."""


class PendingConnection(Protocol):
    """A connection with data that is not parsed yet."""

    def parse_next(self) -> bool:
        """Parse the next piece; return whether more data is left."""


class ParserTurns:
    """Bounds the parser's work in one turn of the event loop, for all connections.

    Connections with data left take turns, a piece each: a body in very small chunks
    costs the parser many times the work of other bytes.
    """

    def __init__(self) -> None:
        self._pending: deque[PendingConnection] = deque()
        self._events_left = MAX_EVENTS_PER_TURN
        self._is_scheduled = False

    @property
    def has_capacity(self) -> bool:
        """Whether more may be parsed in this turn, and nobody waits for that."""
        return self._events_left > 0 and not self._pending

    def count(self, events: int, loop: asyncio.AbstractEventLoop) -> None:
        """Count the events of a piece that was parsed in this turn."""
        self._events_left -= events
        self._schedule(loop)

    def enqueue(
        self, connection: PendingConnection, loop: asyncio.AbstractEventLoop
    ) -> None:
        """Have a connection's data parsed in later turns."""
        self._pending.append(connection)
        self._schedule(loop)

    def _schedule(self, loop: asyncio.AbstractEventLoop) -> None:
        if not self._is_scheduled:
            self._is_scheduled = True
            loop.call_soon(self._begin_turn, loop)

    def _begin_turn(self, loop: asyncio.AbstractEventLoop) -> None:
        self._is_scheduled = False
        self._events_left = MAX_EVENTS_PER_TURN
        try:
            while self._pending and self._events_left > 0:
                connection = self._pending.popleft()
                if connection.parse_next():
                    self._pending.append(connection)
        finally:
            if self._pending:
                self._schedule(loop)


class HoldableFlow(FlowControl):
    """uvicorn's flow control, which also stops to read while data is not parsed yet."""

    def __init__(self, transport: asyncio.Transport) -> None:
        super().__init__(transport)
        self._is_held = False

    def hold(self) -> None:
        """Stop to read until `release`."""
        self._is_held = True
        self._transport.pause_reading()

    def release(self) -> None:
        """Read again, unless uvicorn has stopped it."""
        if self._is_held:
            self._is_held = False
            if not self.read_paused:
                self._transport.resume_reading()

    def resume_reading(self) -> None:
        """Read again, unless data is not parsed yet."""
        if self._is_held:
            self.read_paused = False
        else:
            super().resume_reading()
