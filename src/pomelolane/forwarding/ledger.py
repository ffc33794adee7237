"""Saves and loads usage records, so that the next scheduler of a service has them."""

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
"""Interval between checks for usage to record."""

MAX_TICKS_BETWEEN_RECORDS = 12
"""Ticks after which a service is recorded regardless of its unrecorded usage."""

LOAD_DELAY_S = 0.02
"""Delay between taking a role and reading the records. When many VMs start, the view
changes several times in a row, and roles are given up again at once. Until the records
are read, the scheduler admits only the permitted overshoot of the limits."""

READ_RETRY_TICKS = 2
"""Ticks between attempts to read the record while the limits are guessed."""

LOAD_TIMEOUT_S = 0.25
"""Longest time that a starting VM waits for the records. The store answers in a few
milliseconds, and callers are waiting."""

MAX_UNRECORDED_SHARE = 0.25
"""Part of a limit's permitted overshoot that may stay unrecorded, and so unknown to the
next scheduler. The rest is for usage admitted until a record is written, and for
gateways without a scheduler."""


class UseRecord(Protocol):
    """Storage of usage records."""

    async def save(self, service: str, uses: Sequence[TokenUse]) -> None:
        """Replace this VM's record of a service.

        Raises:
            PlatformError: The record may not have been replaced.
        """

    async def load(self) -> Sequence[TokenUse]:
        """Return the recorded uses of all other schedulers and services.

        Their ages are as of now.

        Raises:
            PlatformError: The records cannot be read.
        """


class Ledger:
    """Saves and loads the records of the services that this VM schedules.

    Args:
        coordination: Scheduler roles of this VM and its view of the others.
        record: Storage of the records.
        usage_exchange: Sends and receives usage reports between VMs.
        load_delay_s: Delay between taking a role and reading the records.
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
        self._saved_nonempty: dict[str, bool] = {}
        self._unsaved: set[str] = set()
        self._scheduled_loads: set[str] = set()
        self._read_retry_ticks: dict[str, int] = {}
        self._loading: set[asyncio.Task[None]] = set()
        coordination.role.on_taken = self._on_role_taken
        coordination.role.on_left = self._on_role_left
        usage_exchange.on_role_released = self._on_peer_released

    async def run(self) -> None:
        """Save until cancelled."""
        ticks = 0
        while True:
            await asyncio.sleep(TICK_S)
            ticks += 1
            self.retry_reads()
            await self.save(only_due=ticks % MAX_TICKS_BETWEEN_RECORDS != 0)

    async def wait_until_loaded(self) -> None:
        """Wait until the records of the roles taken so far are read, or a timeout.

        Before that, a scheduler refuses more than the limits require.
        """
        if self._loading:
            await asyncio.wait(self._loading, timeout=LOAD_TIMEOUT_S)

    async def save(self, *, only_due: bool = False) -> None:
        """Save the records of the services that this VM schedules.

        Args:
            only_due: Skip services with little unrecorded usage.
        """
        role = self._coordination.role
        for service in list(role.service_queues()):
            service_queue = role.service_queue(service)
            if service_queue is None:
                continue
            if only_due and not self._is_due(service, service_queue):
                continue
            uses = service_queue.account.uses()
            # Skip an empty record that follows an empty one.
            if not uses and not self._saved_nonempty.get(service, False):
                continue
            self._saved_nonempty[service] = bool(uses)
            service_queue.account.mark_recorded()
            self._unsaved.add(service)
            try:
                await self._record.save(service, uses)
            except PlatformError as error:
                log_event(events.LEDGER_FAILED, service=service, error=error)
            else:
                self._unsaved.discard(service)

    def _is_due(self, service: str, service_queue: ServiceQueue) -> bool:
        if service in self._unsaved:
            return True
        return service_queue.account.unrecorded_share() >= MAX_UNRECORDED_SHARE

    def _on_role_taken(self, service: str) -> None:
        """Count reported usage, and load the records unless a load is scheduled."""
        self._count_reported(service)
        if service in self._scheduled_loads:
            return
        self._scheduled_loads.add(service)
        task = asyncio.get_running_loop().create_task(self._load(service))
        self._loading.add(task)
        task.add_done_callback(self._loading.discard)

    def _count_reported(self, service: str) -> None:
        """Count the previous scheduler's reports until the record is read."""
        service_queue = self._coordination.role.service_queue(service)
        guess_part = self._usage_exchange.guess_part(service)
        if service_queue is not None and guess_part < 1.0:
            service_queue.account.replace_reported(
                self._known_uses(service, ()), guess_part=guess_part
            )

    def _known_uses(self, service: str, recorded: Sequence[TokenUse]) -> list[TokenUse]:
        """Return the usage known from the record, from reports and on this VM."""
        return [
            *self._usage_exchange.merge(recorded),
            *self._uses_of_other_services(service),
        ]

    def _on_role_left(self, service: str) -> None:
        """Send the usage to the other VMs, as it may not be in the store."""
        account = self._coordination.role.service_queues()[service].account
        self._read_retry_ticks.pop(service, None)
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

    def retry_reads(self) -> None:
        """Retry reading the record for services whose limits are guessed without it."""
        for service, ticks in list(self._read_retry_ticks.items()):
            service_queue = self._coordination.role.service_queue(service)
            if service_queue is None or not service_queue.account.guess_part():
                del self._read_retry_ticks[service]
            elif ticks:
                self._read_retry_ticks[service] = ticks - 1
            else:
                self._on_role_taken(service)

    def _on_peer_released(self, service: str) -> None:
        if self._coordination.role.service_queue(service) is not None:
            self._on_role_taken(service)

    async def _load(self, service: str) -> None:
        if self._load_delay_s:
            await asyncio.sleep(self._load_delay_s)
        # A report received from here on may not be in the record that is read, so it
        # must trigger another load.
        self._scheduled_loads.discard(service)
        if self._coordination.role.service_queue(service) is None:
            return
        recorded: Sequence[TokenUse] = ()
        is_read = False
        try:
            recorded = await self._record.load()
            is_read = True
        except PlatformError as error:
            log_event(events.LEDGER_FAILED, service=service, error=error)
        uses = self._known_uses(service, recorded)
        if is_read:
            self._usage_exchange.cache_recorded(recorded)
            self._read_retry_ticks.pop(service, None)
        else:
            self._read_retry_ticks[service] = READ_RETRY_TICKS
        service_queue = self._coordination.role.service_queue(service)
        if service_queue is None:
            return
        # A report does not replace the record: other usage may not have been reported.
        guess_part = 0.0 if is_read else self._usage_exchange.guess_part(service)
        service_queue.account.replace_reported(uses, guess_part=guess_part)
        tokens = sum(use.tokens for use in uses)
        log_event(events.LEDGER_LOADED, service=service, tokens=tokens)
        if not is_read:
            self._log_guess(service, service_queue)

    def _log_guess(self, service: str, service_queue: ServiceQueue) -> None:
        guessed = service_queue.account.guessed_organisations()
        if guessed:
            log_event(
                events.LIMITS_GUESSED,
                service=service,
                part=service_queue.account.guess_part(),
                organisations=len(guessed),
            )

    def _uses_of_other_services(self, service: str) -> list[TokenUse]:
        """Return the usage admitted by this VM's schedulers of other services."""
        return [
            replace(
                use, service=other, scheduler=self._usage_exchange.own_source(other)[1]
            )
            for other, service_queue in self._coordination.role.service_queues().items()
            if other != service
            for use in service_queue.account.uses()
        ]
