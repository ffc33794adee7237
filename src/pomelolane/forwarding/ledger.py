"""Keeps the record of organisations' use where the next scheduler finds it."""

from __future__ import annotations

import asyncio
from dataclasses import replace
from typing import TYPE_CHECKING, Protocol

from pomelolane import events
from pomelolane.exceptions import PlatformError
from pomelolane.logs import log_event

if TYPE_CHECKING:
    from collections.abc import Sequence

    from pomelolane.coordination import Coordination, ServiceQueue
    from pomelolane.forwarding.usage_exchange import UsageExchange
    from pomelolane.scheduler.rate_limiting import TokenUse

TICK_S = 0.25
"""Shortest time between two records."""

CALM_TICKS = 12
"""Ticks after which a service is recorded in any case."""

LOAD_DELAY_S = 0.02
"""Time from taking a role until the records are read: views that change several times
in a row, as when many VMs start, move roles that are left again at once. Until then the
scheduler lets pass what is allowed beside the limits."""

READ_AGAIN_TICKS = 2
"""Ticks between two tries to read the record while a guess stands in for it."""

LOADED_S = 0.25
"""How long a VM that starts waits for records at most; the store answers in a few
milliseconds, and callers wait."""

UNRECORDED_SHARE = 0.25
"""Part of what the settings allow beside a limit that may pass unrecorded, and so
unknown to the next scheduler; the rest is for what passes until a record is written,
and for gateways that go alone."""


class UseRecord(Protocol):
    """Where the record is kept."""

    async def save(self, service: str, uses: Sequence[TokenUse]) -> None:
        """Replace this VM's record of a service.

        Raises:
            PlatformError: It may not have been replaced.
        """

    async def load(self) -> Sequence[TokenUse]:
        """Return what all others recorded, of all services, with present ages.

        Raises:
            PlatformError: It cannot be read.
        """


class Ledger:
    """Saves and loads the records of the services that this VM schedules.

    Args:
        coordination: This VM's part in scheduling.
        record: Where records are kept.
        told: What other VMs tell when they leave a role.
        load_delay_s: Time from taking a role until the records are read.
    """

    def __init__(
        self,
        coordination: Coordination,
        record: UseRecord,
        usage_exchange: UsageExchange,
        load_delay_s: float = LOAD_DELAY_S,
    ) -> None:
        self._load_delay_s = load_delay_s
        self._coordination = coordination
        self._record = record
        self._usage_exchange = usage_exchange
        self._saved: dict[str, bool] = {}
        self._overdue: set[str] = set()
        self._awaiting: set[str] = set()
        self._unread: dict[str, int] = {}
        self._loading: set[asyncio.Task[None]] = set()
        coordination.role.on_taken = self._taken
        coordination.role.on_left = self._left
        usage_exchange.on_role_released = self._heard

    async def run(self) -> None:
        """Save until cancelled."""
        ticks = 0
        while True:
            await asyncio.sleep(TICK_S)
            ticks += 1
            self.read_again()
            await self.save(only_due=ticks % CALM_TICKS != 0)

    async def wait_until_loaded(self) -> None:
        """Return when the records of the roles taken until now were read, or soon.

        A scheduler refuses more before that than limits demand.
        """
        if self._loading:
            await asyncio.wait(self._loading, timeout=LOADED_S)

    async def save(self, *, only_due: bool = False) -> None:
        """Save the records of the services that this VM schedules.

        Args:
            only_due: Leave out services of which little is unrecorded.
        """
        role = self._coordination.role
        for service in list(role.service_queues()):
            desk = role.service_queue(service)
            if desk is None:
                continue
            if only_due and not self._is_due(service, desk):
                continue
            uses = desk.account.uses()
            # An empty record says nothing new after another empty one.
            if not uses and not self._saved.get(service, False):
                continue
            self._saved[service] = bool(uses)
            desk.account.mark_recorded()
            self._overdue.add(service)
            try:
                await self._record.save(service, uses)
            except PlatformError as error:
                log_event(events.LEDGER_FAILED, service=service, error=error)
            else:
                self._overdue.discard(service)

    def _is_due(self, service: str, desk: ServiceQueue) -> bool:
        if service in self._overdue:
            return True
        return desk.account.unrecorded_share() >= UNRECORDED_SHARE

    def _taken(self, service: str) -> None:
        self._count_told(service)
        if service in self._awaiting:
            return
        self._awaiting.add(service)
        task = asyncio.get_running_loop().create_task(self._load(service))
        self._loading.add(task)
        task.add_done_callback(self._loading.discard)

    def _count_told(self, service: str) -> None:
        """Judge by the word of the scheduler before until the record is read."""
        desk = self._coordination.role.service_queue(service)
        guess_part = self._usage_exchange.guess_part(service)
        if desk is not None and guess_part < 1.0:
            desk.account.take_uses(self._known(service, ()), guess_part=guess_part)

    def _known(self, service: str, recorded: Sequence[TokenUse]) -> list[TokenUse]:
        """Return what others let pass, by the record, their word, and this VM."""
        return [
            *self._usage_exchange.merge(recorded),
            *self._passed_here_beside(service),
        ]

    def _left(self, service: str) -> None:
        """Tell the others what passed here: the store may not have heard of it."""
        account = self._coordination.role.service_queues()[service].account
        self._unread.pop(service, None)
        uses = account.uses()
        if uses:
            scheduler = self._coordination.schedulers().get(service, "")
            successor = self._coordination.successor(service)
            self._usage_exchange.send_final_usage(
                service,
                uses,
                next_vms={scheduler, successor} - {""},
                guess_part=account.guess_part(),
            )

    def read_again(self) -> None:
        """Read the record again for roles that are judged by a guess without it."""
        for service, ticks in list(self._unread.items()):
            desk = self._coordination.role.service_queue(service)
            if desk is None or not desk.account.guess_part():
                del self._unread[service]
            elif ticks:
                self._unread[service] = ticks - 1
            else:
                self._taken(service)

    def _heard(self, service: str) -> None:
        if self._coordination.role.service_queue(service) is not None:
            self._taken(service)

    async def _load(self, service: str) -> None:
        if self._load_delay_s:
            await asyncio.sleep(self._load_delay_s)
        # What is told from now on may be missing in what is read.
        self._awaiting.discard(service)
        if self._coordination.role.service_queue(service) is None:
            return
        recorded: Sequence[TokenUse] = ()
        is_read = False
        try:
            recorded = await self._record.load()
            is_read = True
        except PlatformError as error:
            log_event(events.LEDGER_FAILED, service=service, error=error)
        uses = self._known(service, recorded)
        if is_read:
            self._usage_exchange.cache_recorded(recorded)
            self._unread.pop(service, None)
        else:
            self._unread[service] = READ_AGAIN_TICKS
        desk = self._coordination.role.service_queue(service)
        if desk is None:
            return
        # One word is not the record: others may have let pass what nobody has told.
        guess_part = 0.0 if is_read else self._usage_exchange.guess_part(service)
        desk.account.take_uses(uses, guess_part=guess_part)
        tokens = sum(use.tokens for use in uses)
        log_event(events.LEDGER_LOADED, service=service, tokens=tokens)
        if not is_read:
            self._tell_guess(service, desk)

    def _tell_guess(self, service: str, desk: ServiceQueue) -> None:
        guessed = desk.account.guessed()
        if guessed:
            log_event(
                events.LIMITS_GUESSED,
                service=service,
                part=desk.account.guess_part(),
                organisations=len(guessed),
            )

    def _passed_here_beside(self, service: str) -> list[TokenUse]:
        """Return what passed under this VM for other services."""
        return [
            replace(
                use, service=name, scheduler=self._usage_exchange.own_source(name)[1]
            )
            for name, desk in self._coordination.role.service_queues().items()
            if name != service
            for use in desk.account.uses()
        ]
