"""Sends schedulers' estimates of endpoints to successors, and records them.

A new scheduler adopts what its predecessor sent to this VM. Without a recent copy it
also reads the record, and uses its starting values until the record has been read.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol

from pomelolane import events
from pomelolane.exceptions import PlatformError
from pomelolane.forwarding.estimate_messages import (
    estimate_from_shared,
    shared_from_estimate,
)
from pomelolane.logs import log_event
from pomelolane.messages import EstimatesShared
from pomelolane.scheduler.objective.estimates import MAX_AGE_MS, is_record_due

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from pomelolane.coordination import Coordination
    from pomelolane.ports import Clock, Transport
    from pomelolane.scheduler.objective.estimates import EndpointEstimate

SHARE_PERIOD_S = 5.0
"""Interval between messages to the VMs that may take over."""

RECENT_MS = 10_000.0
"""Age up to which a copy makes reading the record unnecessary: two messages."""

RECORD_PERIOD_MS = 10_000.0
"""Shortest time between two writes for a service, as store calls are paid for."""

LOAD_DELAY_S = 0.02
"""Delay between taking a role and reading the record: roles taken while the view
changes several times in a row are given up again at once."""

STORE = "store"
"""Source of estimates that were read from the record."""


class EstimateRecord(Protocol):
    """Storage of the estimates of each service."""

    async def save(self, service: str, estimates: Sequence[EndpointEstimate]) -> None:
        """Replace the estimates of a service.

        Raises:
            PlatformError: They may not have been replaced.
        """

    async def load(self, service: str) -> Sequence[EndpointEstimate]:
        """Return the estimates of a service with present ages.

        Raises:
            PlatformError: They cannot be read.
        """


@dataclass(frozen=True, slots=True)
class _Copy:
    at_ms: float
    estimates: tuple[EndpointEstimate, ...]

    def at(self, now_ms: float) -> tuple[EndpointEstimate, ...]:
        """Return the estimates with present ages."""
        elapsed_ms = now_ms - self.at_ms
        return tuple(one.older_by(elapsed_ms) for one in self.estimates)


class EstimateKeeper:
    """Shares, records and adopts the estimates of the services scheduled here.

    Construct it after the ledger: both are called when a role is taken or given up.

    Args:
        vm_id: This VM.
        coordination: Scheduler roles of this VM and its view of the others.
        record: Storage of the estimates.
        transport: Sends messages to other VMs.
        clock: Source of the current time.
        load_delay_s: Delay between taking a role and reading the record.
    """

    def __init__(
        self,
        vm_id: str,
        coordination: Coordination,
        record: EstimateRecord,
        transport: Transport,
        clock: Clock,
        load_delay_s: float = LOAD_DELAY_S,
    ) -> None:
        self._vm_id = vm_id
        self._coordination = coordination
        self._record = record
        self._transport = transport
        self._clock = clock
        self._load_delay_s = load_delay_s
        self._copies: dict[tuple[str, str], _Copy] = {}
        self._recorded: dict[str, _Copy] = {}
        self._next_write_ms: dict[str, float] = {}
        self._loads: dict[str, asyncio.Task[None]] = {}
        role = coordination.role
        role.on_taken = _in_turn(role.on_taken, self._on_role_taken)
        role.on_left = _in_turn(role.on_left, self._on_role_left)
        transport.subscribe(EstimatesShared, self._on_shared)

    async def run(self) -> None:
        """Share and record until cancelled."""
        while True:
            await asyncio.sleep(SHARE_PERIOD_S)
            self.share()
            await self.save()

    def share(self) -> None:
        """Send the estimates of each service scheduled here to possible successors."""
        self._drop_expired()
        for service in self._services():
            self._send(service, self._coordination.standbys(service))

    async def save(self) -> None:
        """Record the estimates that have changed; give up when the store is away."""
        for service in self._services():
            now_ms = self._clock.now_ms()
            if now_ms < self._next_write_ms.get(service, 0.0):
                continue
            estimates = self._estimates(service)
            recorded = self._recorded.get(service, _Copy(now_ms, ()))
            before = {one.endpoint_id: one for one in recorded.estimates}
            if not is_record_due(estimates, before, now_ms - recorded.at_ms):
                continue
            self._next_write_ms[service] = now_ms + RECORD_PERIOD_MS
            try:
                await self._record.save(service, estimates)
            except PlatformError as error:
                self._log_failure(service, "write", error)
                return
            self._recorded[service] = _Copy(now_ms, estimates)

    def _services(self) -> list[str]:
        role = self._coordination.role
        return [name for name in role.service_queues() if role.service_queue(name)]

    def _estimates(self, service: str) -> tuple[EndpointEstimate, ...]:
        """Return the estimates of a service, none if its core keeps none."""
        service_queue = self._coordination.role.service_queues().get(service)
        export = getattr(getattr(service_queue, "core", None), "estimates", None)
        return export(self._clock.now_ms()) if callable(export) else ()

    def _send(self, service: str, receivers: frozenset[str]) -> None:
        estimates = self._estimates(service)
        if not estimates:
            return
        shared = tuple(shared_from_estimate(one) for one in estimates)
        for vm_id in receivers - {self._vm_id, ""}:
            self._transport.send(vm_id, EstimatesShared(service, shared))

    # --- roles ----------------------------------------------------------------

    def _on_role_taken(self, service: str) -> None:
        """Adopt what was sent here; read the record if that is not recent."""
        now_ms = self._clock.now_ms()
        # The scheduler before may have written just now.
        self._next_write_ms[service] = now_ms + RECORD_PERIOD_MS
        self._recorded.pop(service, None)
        self._drop_expired()
        for (name, sender), copy in list(self._copies.items()):
            if name == service:
                self._adopt(service, copy.at(now_ms), sender)
        if self._has_recent(service) or service in self._loads:
            return
        task = asyncio.get_running_loop().create_task(self._load(service))
        self._loads[service] = task
        task.add_done_callback(lambda _: self._loads.pop(service, None))

    def _on_role_left(self, service: str) -> None:
        """Send the estimates to the scheduler that follows and its successors.

        They are sent in the next turn of the event loop: a VM of an earlier version
        rejects a whole frame with an unknown message, and this turn's frame has the
        final report of usage.
        """
        receivers = self._coordination.standbys(service) | {
            self._coordination.schedulers().get(service, "")
        }
        loop = asyncio.get_running_loop()
        loop.call_soon(self._send, service, frozenset(receivers))

    async def _load(self, service: str) -> None:
        await asyncio.sleep(self._load_delay_s)
        role = self._coordination.role
        if role.service_queue(service) is None or self._has_recent(service):
            return
        try:
            estimates = tuple(await self._record.load(service))
        except PlatformError as error:
            self._log_failure(service, "read", error)
            return
        self._recorded.setdefault(service, _Copy(self._clock.now_ms(), estimates))
        self._adopt(service, estimates, STORE)

    # --- copies ---------------------------------------------------------------

    def _on_shared(self, sender: str, message: EstimatesShared) -> None:
        estimates = tuple(estimate_from_shared(one) for one in message.estimates)
        copy = _Copy(self._clock.now_ms(), estimates)
        self._copies[message.service, sender] = copy
        self._adopt(message.service, estimates, sender)

    def _adopt(
        self, service: str, estimates: Sequence[EndpointEstimate], source: str
    ) -> None:
        """Let the core adopt estimates, if the service is scheduled here."""
        service_queue = self._coordination.role.service_queue(service)
        adopt = getattr(getattr(service_queue, "core", None), "adopt_estimates", None)
        if not callable(adopt):
            return
        number = adopt(estimates, self._clock.now_ms(), source)
        if number:
            log_event(
                events.ESTIMATES_ADOPTED, service=service, number=number, source=source
            )

    def _has_recent(self, service: str) -> bool:
        oldest_ms = self._clock.now_ms() - RECENT_MS
        return any(
            name == service and copy.at_ms > oldest_ms
            for (name, _), copy in self._copies.items()
        )

    def _drop_expired(self) -> None:
        oldest_ms = self._clock.now_ms() - MAX_AGE_MS
        for key, copy in list(self._copies.items()):
            if copy.at_ms < oldest_ms:
                del self._copies[key]

    def _log_failure(self, service: str, action: str, error: PlatformError) -> None:
        log_event(
            events.ESTIMATE_RECORD_FAILED, service=service, action=action, error=error
        )


def _in_turn(
    first: Callable[[str], None], second: Callable[[str], None]
) -> Callable[[str], None]:
    """Return a callback that calls both."""

    def call(service: str) -> None:
        first(service)
        second(service)

    return call
