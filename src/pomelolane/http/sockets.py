"""Sockets of callers' connections."""

from __future__ import annotations

import contextlib
import socket
import struct

UNREAD_TIMEOUT_MS = 20_000
"""Time after which the kernel ends a connection whose caller takes no more bytes."""

RECEIVE_BUFFER_BYTES = 64 * 1024
"""Bytes of a connection that the kernel keeps until they are read, and so what comes
from one connection before the others get their turn."""

_RESET_ON_CLOSE = struct.pack("ii", 1, 0)


def listening_socket(host: str, port: int) -> socket.socket:
    """Return a socket bound to an address, not yet listening."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind((host, port))
    sock.setblocking(False)
    return sock


def bound_socket(sock: socket.socket) -> None:
    """Bound what the kernel keeps, and for how long a caller may read nothing."""
    user_timeout = getattr(socket, "TCP_USER_TIMEOUT", None)
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        if user_timeout is not None:
            sock.setsockopt(socket.IPPROTO_TCP, user_timeout, UNREAD_TIMEOUT_MS)


def reset_on_close(sock: socket.socket) -> None:
    """Have the close of a socket drop all that its peer has not read."""
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
