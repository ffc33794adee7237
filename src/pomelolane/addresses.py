"""Addresses of VMs: how they are written, and the VMs that are known from the start."""

from __future__ import annotations

import ipaddress
from dataclasses import dataclass

_MAX_PORT = 65535


@dataclass(frozen=True, slots=True)
class Seed:
    """A VM that is known from the start.

    Attributes:
        vm_id: The VM.
        data_centre: Where it stands.
        address: ``ip:port`` at which this VM reaches it.
    """

    vm_id: str
    data_centre: str
    address: str


def checked_address(text: str) -> str:
    """Return an ``ip:port`` text that is well formed.

    Raises:
        ValueError: It is not.
    """
    host, separator, port = text.rpartition(":")
    if not separator or not port.isdecimal() or not port.isascii():
        raise ValueError(text)
    if not 1 <= int(port) <= _MAX_PORT:
        raise ValueError(text)
    ipaddress.ip_address(host.removeprefix("[").removesuffix("]"))
    return text
