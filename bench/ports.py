"""Free TCP ports that no other cluster on the machine is given.

Ports lie below the range from which the kernel takes those of outgoing
connections, and a block of them is reserved by a file lock.
"""

from __future__ import annotations

import fcntl
import os
import random
import socket
import tempfile
from pathlib import Path

from bench.processes import BenchError

_FIRST_PORT = 10000
_BLOCK_PORTS = 100
_BLOCKS = 220


class PortBlock:
    """A reserved block of ports, held until it is closed.

    Args:
        host: Address on which the ports must be free.
    """

    def __init__(self, host: str = "127.0.0.1") -> None:
        self._host = host
        self._lock, block = _reserve_block()
        first = _FIRST_PORT + block * _BLOCK_PORTS
        self._candidates = iter(range(first, first + _BLOCK_PORTS))

    def take(self) -> int:
        """Return the block's next free port.

        Raises:
            BenchError: The block is used up.
        """
        for port in self._candidates:
            if _is_free(self._host, port):
                return port
        raise BenchError("the block of ports is used up")

    def close(self) -> None:
        """Give the block back."""
        if self._lock >= 0:
            os.close(self._lock)
            self._lock = -1


def _reserve_block() -> tuple[int, int]:
    blocks = list(range(_BLOCKS))
    random.shuffle(blocks)
    for block in blocks:
        path = Path(tempfile.gettempdir()) / f"pomelolane-ports-{block}.lock"
        descriptor = os.open(path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o666)
        try:
            fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            os.close(descriptor)
            continue
        return descriptor, block
    raise BenchError("all blocks of ports are reserved")


def _is_free(host: str, port: int) -> bool:
    with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind((host, port))
        except OSError:
            return False
        return True
