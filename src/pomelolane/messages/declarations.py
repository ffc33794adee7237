"""Messages that distribute settings, leaving endpoints and changes of tables.

A VM that lacks a version of a settings branch requests the branch's committed content
from a peer.
"""

from __future__ import annotations

import msgspec

from pomelolane.messages.base import Message


class BranchWanted(Message, frozen=True):
    """Request a settings branch from a peer that has a higher version."""

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
    """Announce a leaving endpoint; receivers stop granting it requests.

    Attributes:
        endpoint_id: The endpoint.
        source: Origin of the announcement, such as an operator or the platform.
    """

    endpoint_id: str
    source: str


__all__ = [
    "BranchContent",
    "BranchWanted",
    "ChangesWanted",
    "EndpointLeaving",
    "RecordChange",
    "WatchedChanges",
]


class RecordChange(msgspec.Struct, frozen=True, array_like=True):
    """A changed record of a watched table.

    Attributes:
        key: Key of the record.
        value: Bytes of the record in the table, empty if deleted.
        deleted: Whether it was deleted.
        version: Version of the table at the change, 0 if unknown.
    """

    key: str
    value: bytes
    deleted: bool = False
    version: int = 0


class WatchedChanges(Message, frozen=True):
    """Changes of a watched table, read by one VM for its data centre.

    Attributes:
        source: Name of the table.
        after: Version after which the changes begin.
        version: Last version that the changes cover.
        changes: Records whose content has changed.
        state_hash: Hash of the table's records as known to the sender at ``version``;
            a receiver that computes another hash has missed a change.
        as_of_ms: The store's steady clock when the table was at ``version``, 0 if
            unknown.
        compressed: More records whose content has changed, with values compressed by
            zlib.
    """

    source: str
    after: int
    version: int
    changes: tuple[RecordChange, ...] = ()
    state_hash: int = 0
    as_of_ms: float = 0.0
    compressed: tuple[RecordChange, ...] = ()


class ChangesWanted(Message, frozen=True):
    """Asks another VM for what it knows of a watched table.

    Answered by :class:`WatchedChanges` if the receiver knows something later.

    Attributes:
        source: Name of the table.
        after: Version up to which the sender knows the table, -1 if it needs all of it.
        as_of_ms: The store's steady clock when the sender's knowledge was the newest,
            0 if unknown.
    """

    source: str
    after: int
    as_of_ms: float = 0.0
