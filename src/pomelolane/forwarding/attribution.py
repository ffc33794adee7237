"""Tells which request an answer belongs to.

Endpoints name the request in their answers. A faulty one sends an answer a second time,
where the answer to the next request on the connection is due.
"""

from __future__ import annotations

from enum import StrEnum


class Attribution(StrEnum):
    """Which request an answer belongs to, according to its head."""

    OWN = "own"
    """The request that it came for."""
    FOREIGN = "foreign"
    """Another request."""
    UNNAMED = "unnamed"
    """The head names no request."""


def attribute(answered_id: str, request_id: str) -> Attribution:
    """Return which request an answer belongs to.

    Args:
        answered_id: Id of the request that the answer names, empty if it names none.
        request_id: Id of the request that it came for, empty if it has none.
    """
    if not answered_id:
        return Attribution.UNNAMED
    return Attribution.OWN if answered_id == request_id else Attribution.FOREIGN
