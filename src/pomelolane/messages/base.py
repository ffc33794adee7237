"""Base class of the messages between VMs.

Each class is identified on the wire by its name as the tag.
"""

from __future__ import annotations

import msgspec


class Message(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Base class of all messages that one VM sends to another."""


__all__ = [
    "Message",
]
