"""All reports of endpoints that ended under requests; pure, time is passed in.

Reports and pardons are only ever added, so that VMs which have heard the same, in any
order and any number of times, hold the same.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from pomelolane.quarantine.judgement import (
    ENDS_TO_BLAME,
    ENDS_TO_SUSPECT,
    Judgement,
    judge,
)

if TYPE_CHECKING:
    from collections.abc import Collection

RETENTION_MS = 3_600_000.0
"""How long a report counts. A caller's jobs repeat for minutes; a request that ends
endpoints once an hour does little harm, and an engine that was mended is found out."""

MOST_REPORTS = 20_000
"""Reports kept, about 4 MB; a thousand endpoints that end at one moment make nine
thousand. The oldest make way."""


@dataclass(frozen=True, slots=True)
class EndReport:
    """One endpoint has ended while one request may have run there.

    Attributes:
        fingerprint: What the request asks for.
        endpoint_start: Names this start of the endpoint.
    """

    fingerprint: str
    endpoint_start: str


class EndBook:
    """Reports by request, and what is made of them."""

    def __init__(self) -> None:
        self._ends: dict[str, dict[str, float]] = {}
        self._at_ms: dict[EndReport, float] = {}
        self._pardoned: dict[EndReport, float] = {}
        self._judgement = Judgement()

    def __len__(self) -> int:
        return len(self._at_ms)

    @property
    def blamed(self) -> frozenset[str]:
        """Fingerprints to keep from endpoints, as of the last review."""
        return self._judgement.blamed

    def add(self, report: EndReport, at_ms: float) -> bool:
        """Take a report; False where it was known or the request is pardoned."""
        if report in self._at_ms or report in self._pardoned:
            return False
        self._at_ms[report] = at_ms
        self._ends.setdefault(report.fingerprint, {})[report.endpoint_start] = at_ms
        while len(self._at_ms) > MOST_REPORTS:
            self._drop(next(iter(self._at_ms)))
        return True

    def pardon(self, report: EndReport, at_ms: float) -> bool:
        """Count a report no more, also if it comes later; False where that is known."""
        if report in self._pardoned:
            return False
        self._pardoned[report] = at_ms
        while len(self._pardoned) > MOST_REPORTS:
            del self._pardoned[next(iter(self._pardoned))]
        self._drop(report)
        return True

    def reports_on(self, fingerprint: str) -> tuple[EndReport, ...]:
        """Return the reports on one request."""
        starts = self._ends.get(fingerprint, ())
        return tuple(EndReport(fingerprint, start) for start in starts)

    def ends(self, fingerprint: str) -> int:
        """Return how many endpoints ended under a request, whoever is to blame."""
        return len(self._ends.get(fingerprint, ()))

    def at_ms(self, report: EndReport) -> float | None:
        """Return when a report that counts was made, None for others."""
        return self._at_ms.get(report)

    def is_suspect(self, fingerprint: str) -> bool:
        """Tell whether several ends under a request are not explained by others."""
        starts = self._ends.get(fingerprint)
        if starts is None or len(starts) < ENDS_TO_SUSPECT:
            return False
        return len(starts.keys() - self._judgement.explained) >= ENDS_TO_SUSPECT

    def is_open_question(self, fingerprint: str) -> bool:
        """Tell whether the next review may put a request on the blamed ones."""
        if fingerprint in self._judgement.blamed:
            return False
        starts = self._ends.get(fingerprint, {}).keys()
        return len(starts - self._judgement.explained) >= ENDS_TO_BLAME

    def review(self, now_ms: float) -> Collection[str]:
        """Judge by all reports that are young enough; return the newly blamed."""
        self._expire(now_ms)
        before = self._judgement.blamed
        self._judgement = judge(self._ends)
        return self._judgement.blamed - before

    def _expire(self, now_ms: float) -> None:
        oldest_ms = now_ms - RETENTION_MS
        for report, at_ms in list(self._at_ms.items()):
            if at_ms < oldest_ms:
                self._drop(report)
        for report, at_ms in list(self._pardoned.items()):
            if at_ms < oldest_ms:
                del self._pardoned[report]

    def _drop(self, report: EndReport) -> None:
        if self._at_ms.pop(report, None) is None:
            return
        starts = self._ends[report.fingerprint]
        del starts[report.endpoint_start]
        if not starts:
            del self._ends[report.fingerprint]
