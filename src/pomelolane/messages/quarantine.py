"""Message by which VMs tell each other of endpoints that crashed under requests."""

from __future__ import annotations

import msgspec

from pomelolane.messages.base import Message


class ReportedCrash(msgspec.Struct, frozen=True, array_like=True):
    """One endpoint has crashed while one request may have run there.

    Attributes:
        fingerprint: What the request asks for.
        endpoint_start: Names the endpoint's start.
        age_ms: How long ago it was found out.
    """

    fingerprint: str
    endpoint_start: str
    age_ms: int = 0


class CrashesReported(Message, frozen=True):
    """What a VM has found out on crashes of endpoints.

    Attributes:
        reports: Ends.
        cleared: Reports that count no more: the request was answered elsewhere.
    """

    reports: tuple[ReportedCrash, ...] = ()
    cleared: tuple[ReportedCrash, ...] = ()


__all__ = ["CrashesReported", "ReportedCrash"]
