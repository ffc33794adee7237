"""Messages about claims on requests that must not run twice.

VMs query the state of a claimed request, and relay conditional writes to one VM that
commits them in batches.
"""

from __future__ import annotations

import msgspec

from pomelolane.messages.base import Message


class KeyQuery(Message, frozen=True):
    """Ask the holder of a claim for the state of the claimed request."""

    query_id: str
    key: str


class KeyAnswer(Message, frozen=True):
    """Reply of the claim's holder to a query.

    Attributes:
        query_id: Copied from the query.
        known: Whether the replying VM holds the claim in its current start.
        dispatched: Whether any byte may have been sent to an endpoint.
        endpoint_id: Endpoint on which it runs or ran, empty if none.
        stream_id: Id of the engine's stream, empty if none.
        finished: Whether the request has ended.
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
    """A conditional write relayed to the VM that commits it.

    Attributes:
        key: Row key.
        value: New value.
        if_version: Required version of the row, 0 for absent, None for any.
    """

    key: str
    value: bytes
    if_version: int | None


class RelayedResult(msgspec.Struct, frozen=True, array_like=True):
    """Result of a relayed write.

    Attributes:
        applied: Whether its condition held.
        version: The row's version after the commit.
        unavailable: Whether the commit failed and certainly did not apply it.
        unknown: Whether the reply to the commit was lost, so that it may be applied.
    """

    applied: bool = False
    version: int = 0
    unavailable: bool = False
    unknown: bool = False


class ClaimBatch(Message, frozen=True):
    """Ask the VM that batches a data centre's writes to commit some.

    Attributes:
        batch_id: The sender's number for the batch.
        lazy: Whether they may be delayed to be batched with others.
        writes: The writes, each with its own condition.
    """

    batch_id: int
    lazy: bool
    writes: tuple[RelayedWrite, ...]


class ClaimResults(Message, frozen=True):
    """Results of a batch, in the order of its writes."""

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
