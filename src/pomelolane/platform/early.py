"""Listens for callers before anything else is loaded.

Connections that come while a VM starts wait half a second instead of being
refused, which would cost their callers a try.
"""

from __future__ import annotations

import json
import os
import signal
import socket
from pathlib import Path

NODE_FILE_VARIABLE = "POMELOLANE_NODE_FILE"
"""Environment variable that holds the path of the settings file."""

_BACKLOG = 512
"""Connections that may wait: more than come to a VM in a second."""


_listening: list[socket.socket] = []


def ignore_reloads() -> None:
    """Ignore news of the settings file, by which a process ends that handles none.

    The file is read when everything is loaded.
    """
    signal.signal(signal.SIGHUP, signal.SIG_IGN)


def listen_early() -> None:
    """Listen for callers now; nothing where the settings name no address.

    What is wrong with the settings file is told when it is read in full.
    """
    sock = _socket_from_settings()
    if sock is not None:
        _listening.append(sock)


def early_socket() -> socket.socket | None:
    """Return the socket that listens already, made now if there is none."""
    if not _listening:
        listen_early()
    return _listening.pop() if _listening else None


def _socket_from_settings() -> socket.socket | None:
    path = os.environ.get(NODE_FILE_VARIABLE, "")
    try:
        address = json.loads(Path(path).read_bytes())["listen"]["front"]
        host, _, port = address.rpartition(":")
        number = int(port)
    except (OSError, ValueError, KeyError, TypeError):
        return None
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind((host, number))
    sock.listen(_BACKLOG)
    sock.setblocking(False)
    return sock
