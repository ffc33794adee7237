"""Listening sockets that can be closed and opened again on the same port.

A stand-in that "dies" or a link that is cut refuses connections at once, and
nobody else can take its port before it comes back.
"""

from __future__ import annotations

import socket

BACKLOG = 1024

_FIRST_LASTING_PORT = 10_000
_LASTING_PORTS = 10_000
"""Ports below those that the kernel hands out by itself."""


class ReservedPort:
    """A port that stays this process's own while nothing listens on it.

    Attributes:
        host: Address it is bound to.
        port: The port, also where any free one was asked for.
    """

    def __init__(self, host: str, port: int) -> None:
        self._holder = _bound_socket(host, port)
        self.host = host
        self.port: int = self._holder.getsockname()[1]

    def listen(self) -> socket.socket:
        """Return a new listening socket on the port."""
        listener = _bound_socket(self.host, self.port)
        listener.listen(BACKLOG)
        listener.setblocking(False)
        return listener

    def close(self) -> None:
        """Give the port back."""
        self._holder.close()


def reserve_port(host: str, port: int = 0) -> ReservedPort:
    """Reserve a port, 0 for any free one.

    Raises:
        OSError: The port is taken.
    """
    if port:
        _refuse_shared(host, port)
    return ReservedPort(host, port)


def reserve_lasting_port(host: str) -> ReservedPort:
    """Reserve a port that the kernel hands to nobody once it is given back.

    Raises:
        OSError: All such ports are taken.
    """
    for port in range(_FIRST_LASTING_PORT, _FIRST_LASTING_PORT + _LASTING_PORTS):
        try:
            _refuse_bound(host, port)
            return ReservedPort(host, port)
        except OSError:
            continue
    raise OSError(f"no lasting port is free on {host}")


def reserve_lasting_pair(host: str) -> tuple[ReservedPort, ReservedPort]:
    """Reserve two such ports, the second one next to the first.

    Raises:
        OSError: There are none.
    """
    refused = []
    try:
        while True:
            first = reserve_lasting_port(host)
            try:
                _refuse_bound(host, first.port + 1)
                return first, ReservedPort(host, first.port + 1)
            except OSError:
                refused.append(first)
    finally:
        for port in refused:
            port.close()


def _refuse_shared(host: str, port: int) -> None:
    """Fail where another process has the port, which SO_REUSEPORT would hide."""
    with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        probe.bind((host, port))


def _refuse_bound(host: str, port: int) -> None:
    """Fail where any socket is bound to the port, also one that does not listen."""
    with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as probe:
        probe.bind((host, port))


def _bound_socket(host: str, port: int) -> socket.socket:
    bound = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    bound.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    bound.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
    bound.bind((host, port))
    return bound


__all__ = ["ReservedPort", "reserve_lasting_port", "reserve_port"]
