"""Keeps the record of organisations' use where the next scheduler finds it."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Protocol

from pomelolane import events
from pomelolane.exceptions import PlatformError
from pomelolane.logs import log_event

if TYPE_CHECKING:
    from collections.abc import Sequence

    from pomelolane.coordination import Coordination
    from pomelolane.scheduler.limits import Use

TICK_S = 0.25
"""Pace of the record where a limit is half used: what passes meanwhile is
unknown to the next scheduler."""

CALM_TICKS = 12
"""Ticks between two records where no limit is half used."""

_BUSY_SHARE = 0.5


class UseRecord(Protocol):
    """Where the record is kept."""

    async def save(self, service: str, uses: Sequence[Use]) -> None:
        """Replace this VM's record of a service.

        Raises:
            PlatformError: It may not have been replaced.
        """

    async def load(self, service: str) -> Sequence[Use]:
        """Return what all others recorded of a service, with present ages.

        Raises:
            PlatformError: It cannot be read.
        """


class Ledger:
    """Saves and loads the records of the services that this VM schedules.

    Args:
        coordination: This VM's part in scheduling.
        record: Where records are kept.
    """

    def __init__(self, coordination: Coordination, record: UseRecord) -> None:
        self._coordination = coordination
        self._record = record
        self._saved: dict[str, bool] = {}
        self._loading: set[asyncio.Task[None]] = set()
        coordination.role.on_taken = self._taken

    async def run(self) -> None:
        """Save until cancelled."""
        ticks = 0
        while True:
            await asyncio.sleep(TICK_S)
            ticks += 1
            await self.save(only_busy=ticks % CALM_TICKS != 0)

    async def save(self, *, only_busy: bool = False) -> None:
        """Save the records of the services that this VM schedules.

        Args:
            only_busy: Leave out services with no limit that is half used.
        """
        role = self._coordination.role
        for service in list(role.desks()):
            desk = role.desk(service)
            if desk is None:
                continue
            if only_busy and desk.used_share() < _BUSY_SHARE:
                continue
            uses = desk.uses()
            # An empty record says nothing new after another empty one.
            if not uses and not self._saved.get(service, False):
                continue
            self._saved[service] = bool(uses)
            try:
                await self._record.save(service, uses)
            except PlatformError as error:
                log_event(events.LEDGER_FAILED, service=service, error=error)

    def _taken(self, service: str) -> None:
        task = asyncio.get_running_loop().create_task(self._load(service))
        self._loading.add(task)
        task.add_done_callback(self._loading.discard)

    async def _load(self, service: str) -> None:
        try:
            uses = await self._record.load(service)
        except PlatformError as error:
            log_event(events.LEDGER_FAILED, service=service, error=error)
            return
        desk = self._coordination.role.desk(service)
        if desk is None:
            return
        desk.take_uses(uses)
        tokens = sum(use.tokens for use in uses)
        log_event(events.LEDGER_LOADED, service=service, tokens=tokens)
