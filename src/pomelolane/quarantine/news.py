"""Tells the other VMs what this one has found out on crashes of endpoints.

Each VM tells all others itself. What is lost on the way comes again a second later,
and a VM that comes into view hears all that still counts.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from pomelolane.messages import CrashesReported, ReportedCrash
from pomelolane.quarantine.book import CrashReport

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from pomelolane.ports import Membership, Transport, View
    from pomelolane.quarantine.quarantine import Quarantine

GATHER_S = 0.003
"""How long news is gathered into one message: all requests of an endpoint that crashes
break within a millisecond, and the judgement waits twenty times as long."""

REPEAT_S = 1.0
"""When news on suspects is told once more: a connection between VMs that has fallen
silent is replaced by then, and engines take about three seconds to come back."""

MOST_TOLD_ANEW = 500
"""Reports that a VM which comes into view is told at most, the newest ones; 35 KB."""


class CrashNews:
    """This VM's part in sharing reports.

    Args:
        vm_id: This VM.
        membership: Who is alive.
        transport: Way to the others.
        quarantine: What is known here.
    """

    def __init__(
        self,
        vm_id: str,
        membership: Membership,
        transport: Transport,
        quarantine: Quarantine,
    ) -> None:
        self._vm_id = vm_id
        self._membership = membership
        self._transport = transport
        self._quarantine = quarantine
        self._reports: list[CrashReport] = []
        self._cleared: list[CrashReport] = []
        self._found: dict[CrashReport, None] = {}
        self._known: set[tuple[str, int]] = set()
        self._gathering: asyncio.TimerHandle | None = None
        quarantine.on_news(self._gather)
        membership.on_change(self._greet)
        transport.subscribe(CrashesReported, self._take)

    def pass_on(self, reports: Sequence[CrashReport]) -> None:
        """Tell the others what was read from the record and was new here."""
        if reports:
            self._send(reports, ())

    def _gather(
        self, reports: Sequence[CrashReport], cleared: Sequence[CrashReport]
    ) -> None:
        self._reports += reports
        self._cleared += cleared
        self._found.update(dict.fromkeys(reports))
        while len(self._found) > MOST_TOLD_ANEW:
            del self._found[next(iter(self._found))]
        if self._gathering is None:
            loop = asyncio.get_running_loop()
            self._gathering = loop.call_later(GATHER_S, self._tell)

    def _tell(self) -> None:
        reports, self._reports = self._reports, []
        cleared, self._cleared = self._cleared, []
        self._gathering = None
        self._send(reports, cleared)
        asyncio.get_running_loop().call_later(REPEAT_S, self._repeat, reports, cleared)

    def _repeat(
        self, reports: Sequence[CrashReport], cleared: Sequence[CrashReport]
    ) -> None:
        is_serious = self._quarantine.is_serious
        serious = [one for one in reports if is_serious(one.fingerprint)]
        self._send(serious, cleared)

    def _send(
        self, reports: Iterable[CrashReport], cleared: Iterable[CrashReport]
    ) -> None:
        message = self._message(reports, cleared)
        if not message.reports and not message.cleared:
            return
        for vm_id in self._membership.view().peers:
            if vm_id != self._vm_id:
                self._transport.send(vm_id, message)

    def _greet(self, view: View) -> None:
        """Tell VMs that have come into view, or started again, what they missed."""
        present = {(peer.vm_id, peer.incarnation) for peer in view.peers.values()}
        joined = present - self._known
        self._known = present
        message = self._message(self._found, ())
        if not message.reports:
            return
        for vm_id, _ in joined:
            if vm_id != self._vm_id:
                self._transport.send(vm_id, message)

    def _message(
        self, reports: Iterable[CrashReport], cleared: Iterable[CrashReport]
    ) -> CrashesReported:
        told = []
        for report in reports:
            age_ms = self._quarantine.age_ms(report)
            if age_ms is not None:
                told.append(_told(report, int(age_ms)))
        return CrashesReported(tuple(told), tuple(_told(one) for one in cleared))

    def _take(self, sender: str, message: CrashesReported) -> None:
        del sender
        self._quarantine.take(
            [(_report(told), told.age_ms) for told in message.reports],
            [_report(told) for told in message.cleared],
        )


def _told(report: CrashReport, age_ms: int = 0) -> ReportedCrash:
    return ReportedCrash(
        report.fingerprint, report.endpoint_start, age_ms, report.endpoint_id
    )


def _report(told: ReportedCrash) -> CrashReport:
    return CrashReport(told.fingerprint, told.endpoint_start, told.endpoint_id)
