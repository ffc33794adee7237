"""What all messages between VMs have in common.

The tag, which is the class's name, tells them apart on the wire.
"""

from __future__ import annotations

import msgspec


class Message(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Base of everything that one VM sends to another."""


__all__ = [
    "Message",
]
