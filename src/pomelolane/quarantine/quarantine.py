"""One VM's knowledge of requests that end endpoints, and who wants to hear of it.

Reports come from this VM's own requests, from other VMs and from the record; all
count alike. Nothing here sends: what is new is handed to those who share it.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from pomelolane import events
from pomelolane.logs import log_event
from pomelolane.quarantine.book import EndBook, EndReport

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Sequence

    from pomelolane.ports import Clock

    OnNews = Callable[["Sequence[EndReport]", "Sequence[EndReport]"], None]

QUIET_MS = 60.0
"""Time without another report after which all are judged: the other VMs' reports on
the same end come some 5 ms later, and tell who was beside the guilty request. The
request itself waits for the judgement before it is sent again."""

LONGEST_REVIEW_MS = 250.0
"""Time after which all are judged although reports come: endpoints go on ending."""


class Quarantine:
    """Says which requests no endpoint may get.

    Args:
        clock: Time.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._book = EndBook()
        self._reviewing: asyncio.Task[None] | None = None
        self._reported_ms = 0.0
        self._on_news: list[OnNews] = []
        self._on_blamed: list[Callable[[str], None]] = []

    def __len__(self) -> int:
        """Return the number of reports that count."""
        return len(self._book)

    # --- what requests ask ------------------------------------------------

    def blames(self, fingerprint: str) -> bool:
        """Tell whether a request is to be refused."""
        return fingerprint in self._book.blamed

    async def settled(self, fingerprint: str) -> bool:
        """Return :meth:`blames`, but not while a judgement on it is pending."""
        if self._reviewing is not None and self._book.is_open_question(fingerprint):
            await asyncio.wait({self._reviewing})
        return self.blames(fingerprint)

    def is_suspect(self, fingerprint: str) -> bool:
        """Tell whether a request is to be kept apart from others of its kind."""
        return self._book.is_suspect(fingerprint)

    # --- what requests tell -----------------------------------------------

    def ended(self, fingerprint: str, endpoint_start: str, endpoint_id: str) -> None:
        """Take note that an endpoint has ended while a request may have run there."""
        report = EndReport(fingerprint, endpoint_start)
        if not self._add(report, self._clock.now_ms()):
            return
        log_event(
            events.ENDPOINT_ENDED,
            endpoint=endpoint_id,
            fingerprint=fingerprint,
            ends=self._book.ends(fingerprint),
        )
        self._tell([report], [])

    def answered(self, fingerprint: str) -> None:
        """Take note of a whole answer: what ended under the request was not its doing.

        A request that ends endpoints never gets one.
        """
        pardoned = self._book.reports_on(fingerprint)
        if not pardoned:
            return
        now_ms = self._clock.now_ms()
        for report in pardoned:
            self._book.pardon(report, now_ms)
        self._review_soon()
        self._tell([], pardoned)

    # --- sharing ----------------------------------------------------------

    def on_news(self, share: OnNews) -> None:
        """Call ``share(reports, pardoned)`` with what this VM has found out."""
        self._on_news.append(share)

    def on_blamed(self, callback: Callable[[str], None]) -> None:
        """Call back once for each request that is refused from now on."""
        self._on_blamed.append(callback)

    def take(
        self,
        reports: Iterable[tuple[EndReport, float]],
        pardoned: Iterable[EndReport] = (),
    ) -> list[EndReport]:
        """Take what others have found out; return the reports that were new.

        Args:
            reports: With the age of each in milliseconds.
            pardoned: Reports that count no more.
        """
        now_ms = self._clock.now_ms()
        for report in pardoned:
            if self._book.pardon(report, now_ms):
                self._review_soon()
        return [one for one, age_ms in reports if self._add(one, now_ms - age_ms)]

    def age_ms(self, report: EndReport) -> float | None:
        """Return the age of a report, None where it does not count any more."""
        at_ms = self._book.at_ms(report)
        return None if at_ms is None else self._clock.now_ms() - at_ms

    def review(self) -> None:
        """Judge now by what is known."""
        for fingerprint in self._book.review(self._clock.now_ms()):
            ends = self._book.ends(fingerprint)
            log_event(events.REQUEST_BLAMED, fingerprint=fingerprint, ends=ends)
            for callback in self._on_blamed:
                callback(fingerprint)

    # --- inside -----------------------------------------------------------

    def _add(self, report: EndReport, at_ms: float) -> bool:
        is_new = self._book.add(report, at_ms)
        if is_new:
            self._review_soon()
        return is_new

    def _tell(
        self, reports: Sequence[EndReport], pardoned: Sequence[EndReport]
    ) -> None:
        for share in self._on_news:
            share(reports, pardoned)

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
