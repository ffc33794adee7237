"""All reports of endpoints that crashed under requests; pure, time is passed in.

Reports and clears are only ever added, so that VMs which have heard the same, in any
order and any number of times, hold the same.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from pomelolane.quarantine.judgement import (
    CRASHES_TO_QUARANTINE,
    CRASHES_TO_SUSPECT,
    Judgement,
    judge,
)
from pomelolane.quarantine.starts import UnstatedStarts

if TYPE_CHECKING:
    from collections.abc import Collection

    from pomelolane.quarantine.subjects import Subjects

RETENTION_MS = 3_600_000.0
"""How long a report counts. A caller's jobs repeat for minutes; a request that crashes
endpoints once an hour does little harm, and an engine that was mended is found out."""

MOST_REPORTS = 20_000
"""Reports kept, about 4 MB; a thousand endpoints that crash at one moment make nine
thousand, besides those on parts of prompts. The oldest make way."""


@dataclass(frozen=True, slots=True)
class CrashReport:
    """One endpoint has crashed while one request may have run there.

    Attributes:
        fingerprint: What the request asks for, or a part of its prompt.
        endpoint_start: Names this start of the endpoint.
        endpoint_id: The endpoint if it does not state its start, else empty. Reports
            of the previous version lack it.
    """

    fingerprint: str
    endpoint_start: str
    endpoint_id: str = field(default="", compare=False)


class CrashBook:
    """Reports by request, and what is made of them."""

    def __init__(self) -> None:
        self._crashes: dict[str, dict[str, float]] = {}
        self._at_ms: dict[CrashReport, float] = {}
        self._cleared: dict[CrashReport, float] = {}
        self._cleared_starts: dict[str, set[str]] = {}
        self._starts = UnstatedStarts()
        self._judgement = Judgement()

    def __len__(self) -> int:
        return len(self._at_ms)

    @property
    def quarantined(self) -> frozenset[str]:
        """Fingerprints to keep from endpoints, as of the last review."""
        return self._judgement.quarantined

    def holds(self, subjects: Subjects) -> bool:
        """Tell whether a request is to be refused, as of the last review."""
        return self._judgement.holds(subjects)

    def add(self, report: CrashReport, at_ms: float) -> bool:
        """Take a report; False where it was known or the request is cleared."""
        self._starts.note(report.endpoint_start, report.endpoint_id, at_ms)
        if report in self._at_ms or report in self._cleared:
            return False
        self._at_ms[report] = at_ms
        self._crashes.setdefault(report.fingerprint, {})[report.endpoint_start] = at_ms
        while len(self._at_ms) > MOST_REPORTS:
            self._drop(next(iter(self._at_ms)))
        return True

    def clear(self, report: CrashReport, at_ms: float) -> bool:
        """Count a report no more, also if it comes later; False where that is known."""
        if report in self._cleared:
            return False
        self._cleared[report] = at_ms
        starts = self._cleared_starts.setdefault(report.fingerprint, set())
        starts.add(report.endpoint_start)
        while len(self._cleared) > MOST_REPORTS:
            self._forget_clear(next(iter(self._cleared)))
        self._drop(report)
        return True

    def reports_on(self, fingerprint: str) -> tuple[CrashReport, ...]:
        """Return the reports on one request."""
        starts = self._crashes.get(fingerprint, ())
        return tuple(CrashReport(fingerprint, start) for start in starts)

    def crashes(self, fingerprint: str) -> int:
        """Return how many endpoints crashed under a request, whoever is to blame."""
        return len(self._counting(fingerprint))

    def unstated_start(self, endpoint_id: str, wall_ms: float, at_ms: float) -> str:
        """Return the name of the start of an endpoint that crashes now.

        Args:
            endpoint_id: An endpoint that does not state its start.
            wall_ms: Time of day.
            at_ms: The same moment on the clock of the reports.
        """
        return self._starts.name(endpoint_id, wall_ms, at_ms)

    def is_cleared(self, report: CrashReport) -> bool:
        """Tell whether a report's start is cleared under this or another name."""
        start = self._starts.same(report.endpoint_start)
        return start in self._cleared_for(report.fingerprint)

    def at_ms(self, report: CrashReport) -> float | None:
        """Return when a report that counts was made, None for others."""
        return self._at_ms.get(report)

    def is_suspect(self, fingerprint: str) -> bool:
        """Tell whether several crashes under a request are not explained by others."""
        starts = self._crashes.get(fingerprint)
        if starts is None or len(starts) < CRASHES_TO_SUSPECT:
            return False
        counting = self._counting(fingerprint)
        return len(counting - self._judgement.explained) >= CRASHES_TO_SUSPECT

    def is_open_question(self, fingerprint: str) -> bool:
        """Tell whether the next review may put a request on the quarantined ones."""
        if fingerprint in self._judgement.quarantined:
            return False
        counting = self._counting(fingerprint)
        return len(counting - self._judgement.explained) >= CRASHES_TO_QUARANTINE

    def review(self, now_ms: float) -> Collection[str]:
        """Judge by all reports that are young enough; return the newly quarantined."""
        self._expire(now_ms)
        before = self._judgement.quarantined
        self._judgement = judge(
            {
                fingerprint: self._counting(fingerprint)
                for fingerprint, starts in self._crashes.items()
                if len(starts) >= CRASHES_TO_QUARANTINE
            }
        )
        return self._judgement.quarantined - before

    def _counting(self, fingerprint: str) -> set[str]:
        """Return the starts that crashed under a request and are not cleared."""
        same = self._starts.same
        found = {same(name) for name in self._crashes.get(fingerprint, ())}
        return found - self._cleared_for(fingerprint)

    def _cleared_for(self, fingerprint: str) -> set[str]:
        same = self._starts.same
        return {same(name) for name in self._cleared_starts.get(fingerprint, ())}

    def _expire(self, now_ms: float) -> None:
        oldest_ms = now_ms - RETENTION_MS
        self._starts.expire(oldest_ms)
        for report, at_ms in list(self._at_ms.items()):
            if at_ms < oldest_ms:
                self._drop(report)
        for report, at_ms in list(self._cleared.items()):
            if at_ms < oldest_ms:
                self._forget_clear(report)

    def _forget_clear(self, report: CrashReport) -> None:
        del self._cleared[report]
        starts = self._cleared_starts[report.fingerprint]
        starts.discard(report.endpoint_start)
        if not starts:
            del self._cleared_starts[report.fingerprint]

    def _drop(self, report: CrashReport) -> None:
        if self._at_ms.pop(report, None) is None:
            return
        starts = self._crashes[report.fingerprint]
        del starts[report.endpoint_start]
        if not starts:
            del self._crashes[report.fingerprint]
