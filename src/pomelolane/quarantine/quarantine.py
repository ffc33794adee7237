"""One VM's knowledge of what crashes endpoints, and who wants to hear of it.

Reports come from this VM's own requests, from other VMs and from the record; all
count alike. Nothing here sends: what is new is handed to those who share it.
"""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING

from pomelolane import events
from pomelolane.logs import log_event
from pomelolane.quarantine.book import CrashBook, CrashReport
from pomelolane.quarantine.subjects import TrustedParts

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Sequence

    from pomelolane.ports import Clock
    from pomelolane.quarantine.subjects import Subjects

    OnNews = Callable[["Sequence[CrashReport]", "Sequence[CrashReport]"], None]

QUIET_MS = 60.0
"""Time without another report after which all are judged: the other VMs' reports on
the same crash come some 5 ms later, and tell who was beside the guilty request. The
request itself waits for the judgement before it is sent again."""

LONGEST_REVIEW_MS = 250.0
"""Time after which all are judged although reports come: endpoints go on ending."""

MOST_TELL_MS = 40.0
"""Longest time before a VM tells that a reported part is sound. Each VM draws its own
and keeps silent if another one was first, since many may have seen answers on it."""

REFUSED_BEFORE_PROBE = 200
"""Requests that a part holds back at one VM before one is let through: a sound part
that many requests share is cleared soon, and few requests hold a guilty one."""

PROBE_BACKOFF = 5
"""Factor by which that number grows with each probe."""


class Quarantine:
    """Says which requests no endpoint may get.

    Args:
        clock: Time.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._book = CrashBook()
        self._trusted = TrustedParts()
        self._untold: dict[CrashReport, None] = {}
        self._refused: dict[str, tuple[int, int]] = {}
        self._reviewing: asyncio.Task[None] | None = None
        self._reported_ms = 0.0
        self._on_news: list[OnNews] = []
        self._on_quarantined: list[Callable[[], None]] = []

    def __len__(self) -> int:
        """Return the number of reports that count."""
        return len(self._book)

    # --- what requests ask ------------------------------------------------

    def holds(self, subjects: Subjects) -> bool:
        """Tell whether a request is to be refused."""
        return self._book.holds(subjects)

    async def settled(self, subjects: Subjects) -> bool:
        """Return :meth:`holds`, but not while a judgement on it is pending."""
        reviewing = self._reviewing
        if reviewing is not None and any(map(self._book.is_open_question, subjects)):
            await asyncio.wait({reviewing})
        return self.holds(subjects)

    def is_suspect(self, subjects: Subjects) -> bool:
        """Tell whether a request is to be kept apart from others of its kind."""
        if not self._book:
            return False
        now_ms = self._clock.now_ms()
        return any(
            self._book.is_suspect(name) and not self._trusted.has(name, now_ms)
            for name in subjects
        )

    def may_probe(self, subjects: Subjects) -> bool:
        """Count a request that is held; tell whether it goes to find out the truth.

        Nothing else clears a sound part that all requests hold.
        """
        quarantined = self._book.quarantined
        if subjects.request in quarantined:
            return False
        is_probe = False
        for part in quarantined.intersection(subjects.parts):
            refused, probe_at = self._refused.get(part, (0, REFUSED_BEFORE_PROBE))
            refused += 1
            if refused >= probe_at:
                is_probe = True
                probe_at *= PROBE_BACKOFF
            self._refused[part] = refused, probe_at
        return is_probe

    def is_serious(self, fingerprint: str) -> bool:
        """Tell whether reports on a request or a part may have it refused."""
        is_quarantined = fingerprint in self._book.quarantined
        return is_quarantined or self._book.is_suspect(fingerprint)

    # --- what requests tell -----------------------------------------------

    def crashed(
        self, subjects: Subjects, endpoint_start: str, endpoint_id: str
    ) -> None:
        """Take note that an endpoint has crashed while a request may have run there."""
        for name in self._blamed(subjects):
            self._crashed(CrashReport(name, endpoint_start), endpoint_id)

    def crashed_unstated(
        self, subjects: Subjects, endpoint_id: str, wall_ms: float
    ) -> None:
        """Take note of a crash of an endpoint that does not state its start.

        Args:
            subjects: What may be to blame.
            endpoint_id: The endpoint.
            wall_ms: Time of day.
        """
        now_ms = self._clock.now_ms()
        start = self._book.unstated_start(endpoint_id, wall_ms, now_ms)
        for name in self._blamed(subjects):
            self._crashed(CrashReport(name, start, endpoint_id), endpoint_id)

    def answered(self, subjects: Subjects) -> None:
        """Take note of a whole answer, which clears the request and its parts.

        One that crashes endpoints never gets one.
        """
        now_ms = self._clock.now_ms()
        for part in subjects.parts:
            self._trusted.note(part, now_ms)
        if not self._book:
            return
        cleared = [one for name in subjects for one in self._book.reports_on(name)]
        if not cleared:
            return
        for report in cleared:
            self._book.clear(report, now_ms)
        self._review_soon()
        self._tell([], cleared)

    # --- sharing ----------------------------------------------------------

    def on_news(self, share: OnNews) -> None:
        """Call ``share(reports, cleared)`` with what this VM has found out."""
        self._on_news.append(share)

    def on_quarantined(self, callback: Callable[[], None]) -> None:
        """Call back when other requests than before may be refused from now on."""
        self._on_quarantined.append(callback)

    def take(
        self,
        reports: Iterable[tuple[CrashReport, float]],
        cleared: Iterable[CrashReport] = (),
    ) -> list[CrashReport]:
        """Take what others have found out; return the reports that were new.

        Args:
            reports: With the age of each in milliseconds.
            cleared: Reports that count no more.
        """
        now_ms = self._clock.now_ms()
        for report in cleared:
            self._untold.pop(report, None)
            if self._book.clear(report, now_ms):
                self._review_soon()
        found = [one for one, age_ms in reports if self._add(one, now_ms - age_ms)]
        sound = [one for one in found if self._trusted.has(one.fingerprint, now_ms)]
        for report in sound:
            self._book.clear(report, now_ms)
        self._tell_soon(sound)
        known = [one for one in found if self._book.is_cleared(one)]
        known = [one for one in known if one not in self._untold]
        if known:
            # Others may not know that its start was cleared under another name.
            for report in known:
                self._book.clear(report, now_ms)
            self._tell([], known)
        return found

    def age_ms(self, report: CrashReport) -> float | None:
        """Return the age of a report, None where it does not count any more."""
        at_ms = self._book.at_ms(report)
        return None if at_ms is None else self._clock.now_ms() - at_ms

    def review(self) -> None:
        """Judge now by what is known."""
        for fingerprint in self._book.review(self._clock.now_ms()):
            log_event(
                events.REQUEST_QUARANTINED,
                fingerprint=fingerprint,
                crashes=self._book.crashes(fingerprint),
            )
        quarantined = self._book.quarantined
        self._refused = {
            part: known for part, known in self._refused.items() if part in quarantined
        }
        if quarantined:
            for callback in self._on_quarantined:
                callback()

    # --- inside -----------------------------------------------------------

    def _blamed(self, subjects: Subjects) -> list[str]:
        """Return what is not known to be sound."""
        now_ms = self._clock.now_ms()
        return [name for name in subjects if not self._trusted.has(name, now_ms)]

    def _crashed(self, report: CrashReport, endpoint_id: str) -> None:
        if not self._add(report, self._clock.now_ms()):
            return
        log_event(
            events.ENDPOINT_CRASHED,
            endpoint=endpoint_id,
            fingerprint=report.fingerprint,
            crashes=self._book.crashes(report.fingerprint),
        )
        self._tell([report], [])

    def _add(self, report: CrashReport, at_ms: float) -> bool:
        is_new = self._book.add(report, at_ms)
        if is_new:
            self._review_soon()
        return is_new

    def _tell(
        self, reports: Sequence[CrashReport], cleared: Sequence[CrashReport]
    ) -> None:
        for share in self._on_news:
            share(reports, cleared)

    def _tell_soon(self, sound: Sequence[CrashReport]) -> None:
        if not sound:
            return
        self._untold.update(dict.fromkeys(sound))
        delay_s = random.uniform(0.0, MOST_TELL_MS) / 1000
        asyncio.get_running_loop().call_later(delay_s, self._tell_sound, sound)

    def _tell_sound(self, sound: Sequence[CrashReport]) -> None:
        """Tell which reports are on sound parts, but for those that others told."""
        untold = [one for one in sound if one in self._untold]
        for report in untold:
            del self._untold[report]
        if untold:
            self._tell([], untold)

    def _review_soon(self) -> None:
        self._reported_ms = self._clock.now_ms()
        if self._reviewing is None:
            self._reviewing = asyncio.get_running_loop().create_task(self._review())

    async def _review(self) -> None:
        begun_ms = self._clock.now_ms()
        quiet_ms = 0.0
        while quiet_ms < QUIET_MS:
            await asyncio.sleep((QUIET_MS - quiet_ms) / 1000)
            now_ms = self._clock.now_ms()
            if now_ms - begun_ms >= LONGEST_REVIEW_MS:
                break
            quiet_ms = now_ms - self._reported_ms
        self._reviewing = None
        self.review()
