"""A client's connection and the one to the target that belongs to it.

Each end hands its bytes to a direction; closing and resets travel with them.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from standins.proxy.directions import Direction, Ending, LinkFaults

if TYPE_CHECKING:
    from collections.abc import Callable


class End(asyncio.Protocol):
    """One of the two connections."""

    def __init__(self, pair: Pair, outgoing: Direction, incoming: Direction) -> None:
        self._pair = pair
        self._outgoing = outgoing
        self._incoming = incoming
        self._said_end = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Connect both directions to the new connection."""
        self._outgoing.source = transport
        self._incoming.sink = transport
        self._pair.connected(self, transport)
        self._incoming.flush()

    def data_received(self, data: bytes) -> None:
        """Pass on what was sent."""
        self._outgoing.take(data)

    def eof_received(self) -> bool:
        """Pass on that nothing more is sent; the other way stays open."""
        self._say_end(Ending.CLOSED)
        return True

    def connection_lost(self, exc: Exception | None) -> None:
        """Pass on that the connection is gone."""
        self._say_end(Ending.CLOSED if exc is None else Ending.RESET)
        self._pair.lost()

    def pause_writing(self) -> None:
        """Take no more for now."""
        self._incoming.fill_sink(True)

    def resume_writing(self) -> None:
        """Take more again."""
        self._incoming.fill_sink(False)

    def _say_end(self, ending: Ending) -> None:
        if not self._said_end or ending is Ending.RESET:
            self._said_end = True
            self._outgoing.take(ending)


class Pair:
    """Both connections and both directions of one client."""

    def __init__(
        self,
        faults: LinkFaults,
        target: tuple[str, int],
        on_gone: Callable[[Pair], None],
    ) -> None:
        self._there = Direction(faults, replies=False, on_end=self._end_there)
        self._back = Direction(faults, replies=True, on_end=self._end_back)
        self._target = target
        self._on_gone = on_gone
        self._transports: list[asyncio.Transport] = []
        self._lost = 0
        self._connecting: asyncio.Task[None] | None = None
        self.client = End(self, self._there, self._back)

    def connect(self) -> None:
        """Connect to the target, unless that was begun."""
        if self._connecting is None:
            loop = asyncio.get_running_loop()
            self._connecting = loop.create_task(self._connect())

    def connected(self, end: End, transport: asyncio.Transport) -> None:
        """Note a connection that is there."""
        del end
        self._transports.append(transport)

    def lost(self) -> None:
        """Note that a connection is gone; without both the pair is, too."""
        self._lost += 1
        if self._lost == len(self._transports) and self._connecting_ended():
            self._on_gone(self)

    def flush(self) -> None:
        """Hand on what was held back."""
        self._there.flush()
        self._back.flush()

    def abort(self) -> None:
        """Break both connections off."""
        self._there.close()
        self._back.close()
        if self._connecting is not None:
            self._connecting.cancel()
        for transport in self._transports:
            transport.abort()
        self._on_gone(self)

    async def _connect(self) -> None:
        loop = asyncio.get_running_loop()
        try:
            await loop.create_connection(
                lambda: End(self, self._back, self._there), *self._target
            )
        except OSError:
            self.abort()

    def _connecting_ended(self) -> bool:
        return self._connecting is None or self._connecting.done()

    def _end_there(self, ending: Ending) -> None:
        self._end(self._there, ending)

    def _end_back(self, ending: Ending) -> None:
        self._end(self._back, ending)

    def _end(self, direction: Direction, ending: Ending) -> None:
        if ending is Ending.RESET:
            self.abort()
        elif self._there.closed and self._back.closed:
            for transport in self._transports:
                transport.close()
        elif direction.sink is not None and not direction.sink.is_closing():
            direction.sink.write_eof()


__all__ = ["End", "Pair"]
