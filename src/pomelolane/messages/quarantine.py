"""Message by which VMs report endpoint crashes to each other."""

from __future__ import annotations

import msgspec

from pomelolane.messages.base import Message


class ReportedCrash(msgspec.Struct, frozen=True, array_like=True):
    """A crash of an endpoint on which a given request may have been running.

    Attributes:
        fingerprint: Hash that identifies the request's content, or a part of its
            prompt.
        endpoint_start: Identifies the start of the endpoint that crashed.
        age_ms: Time since the crash was detected.
        endpoint_id: The endpoint if it does not state its start, else empty.
    """

    fingerprint: str
    endpoint_start: str
    age_ms: int = 0
    endpoint_id: str = ""


class CrashesReported(Message, frozen=True):
    """Crashes that a VM has detected, and reports that it withdraws.

    Attributes:
        reports: Detected crashes.
        cleared: Reports that no longer count: there was an answer elsewhere.
    """

    reports: tuple[ReportedCrash, ...] = ()
    cleared: tuple[ReportedCrash, ...] = ()


__all__ = ["CrashesReported", "ReportedCrash"]
