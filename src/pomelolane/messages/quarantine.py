"""Message by which VMs tell each other of endpoints that ended under requests."""

from __future__ import annotations

import msgspec

from pomelolane.messages.base import Message


class ReportedEnd(msgspec.Struct, frozen=True, array_like=True):
    """One endpoint has ended while one request may have run there.

    Attributes:
        fingerprint: What the request asks for.
        endpoint_start: Names the endpoint's start.
        age_ms: How long ago it was found out.
    """

    fingerprint: str
    endpoint_start: str
    age_ms: int = 0


class EndsReported(Message, frozen=True):
    """What a VM has found out on ends of endpoints.

    Attributes:
        reports: Ends.
        pardoned: Reports that count no more: the request was answered elsewhere.
    """

    reports: tuple[ReportedEnd, ...] = ()
    pardoned: tuple[ReportedEnd, ...] = ()


__all__ = ["EndsReported", "ReportedEnd"]
