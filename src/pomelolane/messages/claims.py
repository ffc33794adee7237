"""Messages about claims of requests that may run only once.

VMs ask the holder of a claim what became of it, and gather writes for one commit.
"""

from __future__ import annotations

import msgspec

from pomelolane.messages.base import Message


class KeyQuery(Message, frozen=True):
    """Ask the holder of a claim what became of the request."""

    query_id: str
    key: str


class KeyAnswer(Message, frozen=True):
    """The holder's answer.

    Attributes:
        query_id: Copied from the query.
        known: Whether this incarnation holds the key.
        dispatched: Whether a byte may have gone to an endpoint.
        endpoint_id: Where it runs or ran, empty if nowhere.
        stream_id: The engine's stream, empty if none.
        finished: Whether it has ended.
        outcome: Empty on success, else an :class:`Outcome` value.
    """

    query_id: str
    known: bool
    dispatched: bool = False
    endpoint_id: str = ""
    stream_id: str = ""
    finished: bool = False
    outcome: str = ""


class RelayedWrite(msgspec.Struct, frozen=True, array_like=True):
    """One conditional write on its way to the VM that commits it.

    Attributes:
        key: Row key.
        value: New value.
        if_version: Version the row must have, 0 for absent, None for any.
    """

    key: str
    value: bytes
    if_version: int | None


class RelayedResult(msgspec.Struct, frozen=True, array_like=True):
    """What became of a relayed write.

    Attributes:
        applied: Whether its condition held.
        version: The row's version afterwards.
        unavailable: Whether it was certainly not applied.
        unknown: Whether the reply to its commit was lost.
    """

    applied: bool = False
    version: int = 0
    unavailable: bool = False
    unknown: bool = False


class ClaimBatch(Message, frozen=True):
    """A VM to the one that gathers writes of its data centre: commit these.

    Attributes:
        batch_id: The sender's number for the batch.
        lazy: Whether they may wait for company.
        writes: The writes, each on its own condition.
    """

    batch_id: int
    lazy: bool
    writes: tuple[RelayedWrite, ...]


class ClaimResults(Message, frozen=True):
    """The answer to a batch, in the order of its writes."""

    batch_id: int
    results: tuple[RelayedResult, ...]


__all__ = [
    "ClaimBatch",
    "ClaimResults",
    "KeyAnswer",
    "KeyQuery",
    "RelayedResult",
    "RelayedWrite",
]
