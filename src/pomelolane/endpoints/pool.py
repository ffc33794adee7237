"""Keep-alive connections to endpoints.

An idle connection is reused only after a look at its socket, and never for
longer than peers usually keep theirs.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections import defaultdict
from typing import TYPE_CHECKING

from pomelolane.clock import MonotonicClock
from pomelolane.endpoints.connection import HttpConnection
from pomelolane.exceptions import EndpointRefusedError

if TYPE_CHECKING:
    from pomelolane.ports import Clock

CONNECT_TIMEOUT_MS = 2_000
"""Time to connect, after which the endpoint counts as refusing."""

MAX_IDLE_MS = 3_000
"""Age at which an idle connection is dropped; servers often close after 5 s."""

_KEEP_ALIVE_S = 1

MAX_IDLE_PER_ADDRESS = 64
"""Idle connections kept to one address."""


class ConnectionPool:
    """Connections by ``ip:port``, newest idle one first.

    Args:
        connect_timeout_ms: Bound on connecting.
        max_idle_ms: Bound on the age of an idle connection.
        dead_after_ms: Time after which a connection is closed whose peer acknowledges
            nothing, not even keep-alive probes; 0 for never.
        clock: Source of time.
    """

    def __init__(
        self,
        *,
        connect_timeout_ms: float = CONNECT_TIMEOUT_MS,
        max_idle_ms: float = MAX_IDLE_MS,
        dead_after_ms: float = 0.0,
        clock: Clock | None = None,
    ) -> None:
        self._connect_timeout_ms = connect_timeout_ms
        self._max_idle_ms = max_idle_ms
        self._dead_after_ms = dead_after_ms
        self._clock = clock or MonotonicClock()
        self._idle: defaultdict[str, list[HttpConnection]] = defaultdict(list)
        self._address_by_connection: dict[HttpConnection, str] = {}

    async def acquire(self, address: str) -> HttpConnection:
        """Return a connection that was alive a moment ago.

        The caller must write before it awaits anything else.

        Raises:
            EndpointRefusedError: No connection could be made.
        """
        idle = self._idle[address]
        while idle:
            connection = idle.pop()
            if self._is_fresh(connection):
                return connection
            connection.discard()
        return await self._connect(address)

    async def is_down(self, address: str) -> bool:
        """Tell whether nothing listens at an address; False where it cannot be told.

        A connection that is made is kept for the next request.
        """
        try:
            connection = await self._connect(address)
        except EndpointRefusedError as error:
            return isinstance(error.__cause__, ConnectionRefusedError)
        self._on_idle(connection)
        return False

    async def can_connect(self, address: str) -> bool:
        """Tell whether a connection can be made; it is kept for the next request."""
        try:
            connection = await self._connect(address)
        except EndpointRefusedError:
            return False
        self._on_idle(connection)
        return True

    def idle_count(self, address: str) -> int:
        """Return the number of idle connections to an address."""
        return len(self._idle[address])

    def discard_idle(self, address: str, before_ms: float) -> None:
        """Close the connections to an address that have been idle since before a time.

        For after a request that was not answered: they may be as dead as its own.
        """
        for connection in tuple(self._idle[address]):
            if connection.idle_since_ms < before_ms:
                self._idle[address].remove(connection)
                connection.discard()

    def close(self) -> None:
        """Close all connections, idle and busy ones."""
        for connection in tuple(self._address_by_connection):
            connection.close()
            connection.discard()

    def _is_fresh(self, connection: HttpConnection) -> bool:
        return self._is_young(connection) and not connection.is_stale()

    def _is_young(self, connection: HttpConnection) -> bool:
        idle_ms = self._clock.now_ms() - connection.idle_since_ms
        return idle_ms < self._max_idle_ms

    async def _connect(self, address: str) -> HttpConnection:
        loop = asyncio.get_running_loop()
        host, port = _split_address(address)
        family = socket.AF_INET6 if ":" in host else socket.AF_INET
        try:
            sock = socket.socket(family, socket.SOCK_STREAM)
        except OSError as error:
            # The process has no file descriptor left.
            raise EndpointRefusedError(f"{address}: {error!r}") from error
        sock.setblocking(False)
        if self._dead_after_ms:
            _close_if_dead(sock, self._dead_after_ms)
        try:
            async with asyncio.timeout(self._connect_timeout_ms / 1000.0):
                await loop.sock_connect(sock, (host, port))
                _, connection = await loop.create_connection(
                    lambda: HttpConnection(sock, self._on_idle, self._on_closed),
                    sock=sock,
                )
        except (OSError, ValueError) as error:
            sock.close()
            raise EndpointRefusedError(f"{address}: {error!r}") from error
        except asyncio.CancelledError:
            sock.close()
            raise
        self._address_by_connection[connection] = address
        return connection

    def _on_idle(self, connection: HttpConnection) -> None:
        idle = self._idle[self._address_by_connection[connection]]
        connection.idle_since_ms = self._clock.now_ms()
        idle.append(connection)
        while len(idle) > MAX_IDLE_PER_ADDRESS or not self._is_young(idle[0]):
            idle.pop(0).discard()

    def _on_closed(self, connection: HttpConnection) -> None:
        address = self._address_by_connection.pop(connection, "")
        idle = self._idle[address]
        if connection in idle:
            idle.remove(connection)


def _close_if_dead(sock: socket.socket, after_ms: float) -> None:
    """Have the kernel close a connection whose peer is silent (Linux)."""
    with contextlib.suppress(AttributeError, OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, _KEEP_ALIVE_S)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, _KEEP_ALIVE_S)
        # It also decides when keep-alive probes give up, whatever their count.
        timeout_ms = int(after_ms)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, timeout_ms)


def _split_address(address: str) -> tuple[str, int]:
    host, _, port = address.rpartition(":")
    try:
        return host.strip("[]"), int(port)
    except ValueError as error:
        raise EndpointRefusedError(f"{address!r} is not ip:port") from error
