"""Publishes the usage admitted on this VM to the schedulers of other services.

Each service has its own scheduler, but an organisation's limit holds over all services.
The reports let every scheduler count the usage of the others, and let a successor know
the usage when this scheduler is killed. Most reports are increments; a periodic full
report makes up for lost messages. What a gateway admits without a scheduler is reported
in the same way.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from pomelolane.coordination import Coordination, ServiceQueue
    from pomelolane.forwarding.usage_exchange import UsageExchange
    from pomelolane.scheduler.rate_limiting import TokenUse

_PRIVATE_ACCOUNT_SUFFIX = "/alone"
"""Suffix of the account for what a gateway admits while it reaches no scheduler."""

TICK_S = 0.1
"""Interval between reports."""

FULL_REPORT_TICKS = 20
"""Ticks between full reports."""

MAX_UNREPORTED_SHARE = 0.05
"""Part of a limit's permitted overshoot that may go unreported for more than a tick."""


class UsagePublisher:
    """Reports usage to the schedulers of other services and to successors.

    Args:
        vm_id: Id of this VM.
        coordination: Scheduler roles of this VM and its view of the others.
        usage_exchange: Sends and receives usage reports.
    """

    def __init__(
        self, vm_id: str, coordination: Coordination, usage_exchange: UsageExchange
    ) -> None:
        self._vm_id = vm_id
        self._coordination = coordination
        self._usage_exchange = usage_exchange
        self._receiver_incarnations: dict[str, dict[str, int]] = {}
        usage_exchange.on_usage = self._apply_usage

    async def run(self) -> None:
        """Publish until cancelled."""
        ticks = 0
        while True:
            await asyncio.sleep(TICK_S)
            ticks += 1
            self.publish(full=ticks % FULL_REPORT_TICKS == 0)

    def publish(self, *, full: bool) -> None:
        """Publish the usage of each service that this VM schedules.

        Args:
            full: Send all usage instead of increments.
        """
        service_queues = self._coordination.role.service_queues()
        for service in self._receiver_incarnations.keys() - service_queues.keys():
            del self._receiver_incarnations[service]
        if self._usage_exchange.consume_record_read():
            # Successors may be unable to read the record that was read here, so
            # everything known is relayed to them again.
            self._receiver_incarnations.clear()
        self._publish_private(full=full)
        for service, service_queue in list(service_queues.items()):
            receivers = self._receivers_of(service)
            new_receivers = self._new_receivers(service, receivers)
            if new_receivers:
                self._usage_exchange.relay_known_usage(new_receivers)
            if not receivers:
                continue
            account = service_queue.account
            part = account.guess_part()
            if full or new_receivers:
                account.take_unreported()
                self._send(service, receivers, account.uses(), guess_part=part)
            elif account.unreported_share() >= MAX_UNREPORTED_SHARE:
                increments = account.take_unreported()
                self._send(service, receivers, increments, adds=True, guess_part=part)

    def _new_receivers(self, service: str, receivers: frozenset[str]) -> set[str]:
        """Return the receivers that are new or restarted since the last call."""
        previous = self._receiver_incarnations.get(service, {})
        incarnations = {vm: self._coordination.incarnation_of(vm) for vm in receivers}
        self._receiver_incarnations[service] = incarnations
        return {
            vm
            for vm, incarnation in incarnations.items()
            if previous.get(vm) != incarnation
        }

    def _publish_private(self, *, full: bool) -> None:
        """Publish what this VM's gateway admitted while it reached no scheduler."""
        accounts = self._coordination.local_accounts()
        if not accounts:
            return
        receivers = frozenset(self._coordination.schedulers().values())
        for service, account in accounts.items():
            if full or account.unreported_share():
                account.take_unreported()
                self._send(service, receivers, account.uses())

    def _receivers_of(self, service: str) -> frozenset[str]:
        """Return the VMs that schedule other services or may take over a role here.

        Successors get all reports in advance: when a scheduler is killed, the record
        lacks its latest usage, and the gateways of a data centre that is cut off follow
        a scheduler of their own.
        """
        schedulers = self._coordination.schedulers()
        receivers = {vm for name, vm in schedulers.items() if name != service}
        if schedulers.get(service, self._vm_id) != self._vm_id:
            receivers.add(schedulers[service])
        # A successor in one role must also know the usage of this VM's other roles.
        for name, vm in schedulers.items():
            if vm == self._vm_id:
                receivers |= self._coordination.standbys(name) - {self._vm_id}
        return frozenset(receivers - {""})

    def _send(
        self,
        service: str,
        receivers: frozenset[str],
        uses: list[TokenUse],
        *,
        adds: bool = False,
        guess_part: float | None = None,
    ) -> None:
        """Send a report, even an empty one: no report would leave the usage unknown.

        Args:
            service: Service that the usage belongs to.
            receivers: VMs to send to.
            uses: The usage.
            adds: Whether it adds to the earlier reports, or replaces them.
            guess_part: Share of each limit that the scheduler assumes to be used up,
                because it could not read the record; None for what the gateway admitted
                without a scheduler.
        """
        _, account = self._usage_exchange.own_source(service)
        if guess_part is None:
            account += _PRIVATE_ACCOUNT_SUFFIX
        if self._vm_id in receivers:
            self._apply_usage((service, account), uses, adds)
        self._usage_exchange.send_usage(
            receivers, service, uses, adds=adds, account=account, guess_part=guess_part
        )

    def _apply_usage(
        self, source: tuple[str, str], uses: list[TokenUse], adds: bool
    ) -> None:
        """Count reported usage in the other scheduler roles of this VM."""
        for service_queue in self._service_queues_except(source):
            service_queue.account.add_reported(source, uses, adds=adds)

    def _service_queues_except(self, source: tuple[str, str]) -> list[ServiceQueue]:
        """Return the service queues scheduled here, except that of `source`."""
        service_queues = self._coordination.role.service_queues()
        return [
            service_queue
            for service, service_queue in service_queues.items()
            if self._usage_exchange.own_source(service) != source
        ]
