"""One link: a listening port whose bytes go to a target, with faults.

A cut link keeps its port, so that it can come back on it.
"""

from __future__ import annotations

import asyncio
from enum import StrEnum
from typing import TYPE_CHECKING

from standins.proxy.pairs import End, Pair

if TYPE_CHECKING:
    from standins.listening import ReservedPort


class LinkMode(StrEnum):
    """What a link does with connections and bytes."""

    PASS = "pass"
    CUT = "cut"
    FREEZE = "freeze"
    DROP_REPLIES = "drop_replies"


class Link:
    """Carries connections from its port to its target.

    Attributes:
        name: Its name.
        port: Where it listens.
        target: Where its bytes go.
        mode: Fault in force.
        delay_ms: How long bytes are held back, each way.
    """

    def __init__(
        self, name: str, reserved: ReservedPort, target: tuple[str, int]
    ) -> None:
        self.name = name
        self.port = reserved.port
        self.target = target
        self.mode = LinkMode.PASS
        self.delay_ms = 0.0
        self._reserved = reserved
        self._server: asyncio.Server | None = None
        self._pairs: set[Pair] = set()

    @property
    def connections(self) -> int:
        """Count the connections that it carries."""
        return len(self._pairs)

    def moves(self) -> bool:
        """Tell whether bytes move at all."""
        return self.mode is not LinkMode.FREEZE

    def swallows(self, *, replies: bool) -> bool:
        """Tell whether bytes of a direction are thrown away."""
        return replies and self.mode is LinkMode.DROP_REPLIES

    async def start(self) -> None:
        """Listen, unless it does already."""
        if self._server is None:
            loop = asyncio.get_running_loop()
            self._server = await loop.create_server(
                self._accept, sock=self._reserved.listen()
            )

    async def set_mode(self, mode: LinkMode) -> None:
        """Put a fault in force, or end it."""
        self.mode = mode
        if mode is LinkMode.CUT:
            self.cut()
            return
        await self.start()
        if self.moves():
            for pair in list(self._pairs):
                pair.connect()
                pair.flush()

    def cut(self) -> None:
        """Refuse connections and break off those that are there."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for pair in list(self._pairs):
            pair.abort()

    def close(self) -> None:
        """Cut the link for good."""
        self.cut()
        self._reserved.close()

    def _accept(self) -> End:
        pair = Pair(self, self.target, self._pairs.discard)
        self._pairs.add(pair)
        if self.moves():
            pair.connect()
        return pair.client


__all__ = ["Link", "LinkMode"]
