"""Messages that spread settings and the leaving of endpoints.

A VM that lacks a version asks a peer for the branch's committed content.
"""

from __future__ import annotations

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
