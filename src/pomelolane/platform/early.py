"""Listens for callers before anything else is loaded.

Connections that come while a VM starts wait half a second instead of being
refused, which would cost their callers a try.
"""

from __future__ import annotations

import json
import os
import socket
from pathlib import Path

NODE_FILE_VARIABLE = "POMELOLANE_NODE_FILE"
"""Environment variable that holds the path of the settings file."""

_BACKLOG = 512
"""Connections that may wait: more than come to a VM in a second."""


def early_socket() -> socket.socket | None:
    """Return a listening socket, or None where the settings name no address.

    What is wrong with the settings file is told when it is read in full.
    """
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
