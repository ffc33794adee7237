"""Messages that spread settings and the leaving of endpoints.

A VM that lacks a version asks a peer for the branch's committed content.
"""

from __future__ import annotations

import msgspec

from pomelolane.messages.base import Message


class BranchWanted(Message, frozen=True):
    """Ask a peer for a branch that it has in a higher version."""

    branch: str
    above_version: int


class BranchContent(Message, frozen=True):
    """One branch of the settings tree, as committed.

    Attributes:
        branch: Name of the branch.
        version: Its committed version.
        content: Canonical JSON of the branch.
    """

    branch: str
    version: int
    content: bytes


class EndpointLeaving(Message, frozen=True):
    """An endpoint is leaving; no grant from the moment this is known."""

    endpoint_id: str
    source: str


__all__ = [
    "BranchContent",
    "BranchWanted",
    "EndpointLeaving",
]


class RecordChange(msgspec.Struct, frozen=True, array_like=True):
    """A record of a watched source that has changed.

    Attributes:
        key: Its key.
        value: Its bytes as the source has them, empty where it was deleted.
        deleted: Whether it is no more.
        version: Version of the source at its change, 0 where that is not told.
    """

    key: str
    value: bytes
    deleted: bool = False
    version: int = 0


class WatchedChanges(Message, frozen=True):
    """What one VM read of a watched source, for the others of its data centre.

    Attributes:
        source: Name of the source.
        after: Version behind which the changes begin.
        version: Version up to which they reach.
        changes: Records that have changed in substance.
        state_hash: Hash of all that the sender knows of the source then; who comes to
            another one has missed something.
    """

    source: str
    after: int
    version: int
    changes: tuple[RecordChange, ...] = ()
    state_hash: int = 0
