"""Bounds on what a VM holds for the connections of all its callers together."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol

from pomelolane import events
from pomelolane.clock import MonotonicClock
from pomelolane.http.turns import ParserTurns
from pomelolane.logallowance import LogAllowance
from pomelolane.logs import log_event

if TYPE_CHECKING:
    from pomelolane.ports import Clock

_EVICTIONS_LOGGED_PER_S = 5


@dataclass(frozen=True, slots=True)
class CallerBounds:
    """Bounds on the connections of all callers together.

    Attributes:
        max_connections: Most open connections.
        max_held_bytes: Most bytes of memory for requests that are being received or
            are not answered yet.
    """

    max_connections: int = 2048
    max_held_bytes: int = 64 * 1024 * 1024


class CallerConnection(Protocol):
    """A connection that can make room for others."""

    def evict(self) -> None:
        """End what waits for its caller: a request, an answer, or the connection."""


class CallerConnections:
    """The open connections of callers, and the memory that their requests take.

    At a bound, the connection that has made no progress for longest goes first. Only a
    connection that waits for its caller can go: its request is not complete, it has
    none, or its answer is not read. A complete request is answered.

    Args:
        bounds: The bounds.
        clock: Source of the current time.

    Attributes:
        held_bytes: Memory that the requests take.
        turns: The parser's turns.
    """

    def __init__(
        self, bounds: CallerBounds | None = None, clock: Clock | None = None
    ) -> None:
        self._bounds = bounds or CallerBounds()
        self._held_by_connection: dict[CallerConnection, int] = {}
        # Both in the order of their last progress.
        self._evictable: OrderedDict[CallerConnection, None] = OrderedDict()
        self._closable: OrderedDict[CallerConnection, None] = OrderedDict()
        self._log_allowance = LogAllowance(
            _EVICTIONS_LOGGED_PER_S, clock or MonotonicClock()
        )
        self.held_bytes = 0
        self.turns = ParserTurns()

    def add(self, connection: CallerConnection) -> bool:
        """Register a new connection; return whether there is room for it."""
        while len(self._held_by_connection) >= self._bounds.max_connections:
            if not self._closable:
                self._log_eviction("connections")
                return False
            oldest, _ = self._closable.popitem(last=False)
            self.remove(oldest)
            self._log_eviction("connections")
            oldest.evict()
        self._held_by_connection[connection] = 0
        self._closable[connection] = None
        return True

    def remove(self, connection: CallerConnection) -> None:
        """Forget a connection; nothing if it is not registered."""
        self.held_bytes -= self._held_by_connection.pop(connection, 0)
        self._evictable.pop(connection, None)
        self._closable.pop(connection, None)

    def update(
        self,
        connection: CallerConnection,
        held_bytes: int,
        *,
        is_evictable: bool,
        is_closable: bool,
    ) -> None:
        """Record a connection's progress, and keep to the bound on memory.

        Args:
            connection: The connection; it may have been evicted before.
            held_bytes: Memory that its requests take.
            is_evictable: Whether its memory can be released by ending what waits for
                its caller: a request that is not complete, an answer that is not read.
            is_closable: Whether the connection can be closed: it has no complete
                request that is not answered, or its caller reads no answer.
        """
        before_bytes = self._held_by_connection.get(connection)
        if before_bytes is None:
            return
        self._held_by_connection[connection] = held_bytes
        self.held_bytes += held_bytes - before_bytes
        _set_newest(self._evictable, connection, is_evictable)
        _set_newest(self._closable, connection, is_closable)
        self._make_room(0)

    def has_room(self, connection: CallerConnection, size: int) -> bool:
        """Return whether a connection may hold more, after others have made room."""
        was_evictable = connection in self._evictable
        self._evictable.pop(connection, None)
        self._make_room(size)
        if was_evictable:
            self._evictable[connection] = None
        return self.held_bytes + size <= self._bounds.max_held_bytes

    def _make_room(self, size: int) -> None:
        while self._evictable and (
            self.held_bytes + size > self._bounds.max_held_bytes
        ):
            oldest, _ = self._evictable.popitem(last=False)
            self._log_eviction("memory")
            oldest.evict()

    def _log_eviction(self, bound: str) -> None:
        unlogged = self._log_allowance.take()
        if unlogged is None:
            return
        log_event(
            events.CALLER_EVICTED,
            bound=bound,
            connections=len(self._held_by_connection),
            held_bytes=self.held_bytes,
            unlogged=unlogged,
        )


def _set_newest(
    connections: OrderedDict[CallerConnection, None],
    connection: CallerConnection,
    is_member: bool,
) -> None:
    connections.pop(connection, None)
    if is_member:
        connections[connection] = None
