"""Sends schedulers' estimates of endpoints to successors, and records them.

A new scheduler adopts what its predecessor sent to this VM. Without a recent copy of
half of the endpoints it also reads the record, and uses its starting values until the
record has been read.
"""

from __future__ import annotations

import asyncio
from contextlib import contextmanager
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any, Protocol

from pomelolane import events
from pomelolane.exceptions import PlatformError
from pomelolane.forwarding.estimate_conversion import (
    estimate_from_shared,
    shared_from_estimate,
)
from pomelolane.logs import log_event
from pomelolane.messages import EstimatesShared
from pomelolane.scheduler.objective.estimates import (
    MAX_AGE_MS,
    MAX_RECEIVED,
    is_record_due,
    start_key,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator, Sequence

    from pomelolane.coordination import Coordination
    from pomelolane.ports import Clock, Transport
    from pomelolane.scheduler.objective.estimates import EndpointEstimate, StartKey

SHARE_PERIOD_MS = 5_000.0
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
class _TimedEstimates:
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
        self._copies: dict[tuple[str, str], _TimedEstimates] = {}
        self._recorded: dict[str, _TimedEstimates] = {}
        self._next_write_ms: dict[str, float] = {}
        self._loads: dict[str, asyncio.Task[None]] = {}
        # When the role was taken, for services whose record has yet to be read.
        self._unread_since_ms: dict[str, float] = {}
        role = coordination.role
        role.on_taken = _call_both(role.on_taken, self._on_role_taken)
        role.on_left = _call_both(role.on_left, self._on_role_left)
        transport.subscribe(EstimatesShared, self._on_shared)

    async def run(self) -> None:
        """Share and record until cancelled."""
        while True:
            await asyncio.sleep(SHARE_PERIOD_MS / 1000)
            await self.tick()

    async def tick(self) -> None:
        """Share and record the estimates of each service scheduled here."""
        self._drop_expired()
        services = self._services()
        for service in services:
            with _log_exceptions():
                self.share(service)
                self.retry_read(service)
        for service in services:
            with _log_exceptions():
                if not await self.save(service):
                    return

    def share(self, service: str) -> None:
        """Send the estimates of a service to possible successors."""
        self._log_adopted(service)
        self._send(service, self._coordination.standbys(service))

    def retry_read(self, service: str) -> None:
        """Read the record again if that has failed, until it must have expired."""
        since_ms = self._unread_since_ms.get(service)
        if since_ms is None:
            return
        if self._clock.now_ms() - since_ms >= MAX_AGE_MS:
            del self._unread_since_ms[service]
        else:
            self._start_load(service)

    async def save(self, service: str) -> bool:
        """Record the estimates of a service if they have changed.

        Nothing is written before the record has been read: it may have estimates that
        are not known here.

        Returns:
            False if the store is away.
        """
        now_ms = self._clock.now_ms()
        is_early = now_ms < self._next_write_ms.get(service, 0.0)
        if is_early or service in self._unread_since_ms:
            return True
        estimates = self._estimates(service)
        recorded = self._recorded.get(service, _TimedEstimates(now_ms, ()))
        before = {start_key(one): one for one in recorded.estimates}
        if not is_record_due(estimates, before, now_ms - recorded.at_ms):
            return True
        self._next_write_ms[service] = now_ms + RECORD_PERIOD_MS
        try:
            await self._record.save(service, estimates)
        except PlatformError as error:
            self._log_failure(service, "write", error)
            return False
        self._recorded[service] = _TimedEstimates(now_ms, estimates)
        return True

    def _services(self) -> list[str]:
        role = self._coordination.role
        return [name for name in role.service_queues() if role.service_queue(name)]

    def _estimates(self, service: str) -> tuple[EndpointEstimate, ...]:
        """Return the estimates of a service, none if its core keeps none."""
        export = self._core_method(service, "estimates")
        return export(self._clock.now_ms()) if export else ()

    def _core_method(self, service: str, name: str) -> Callable[..., Any] | None:
        """Return a method of a service's core, None if it has none or no role."""
        service_queue = self._coordination.role.service_queues().get(service)
        method = getattr(getattr(service_queue, "core", None), name, None)
        return method if callable(method) else None

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
        for sender, estimates in self._newest(service).items():
            self._adopt(service, estimates, sender)
        self._unread_since_ms.pop(service, None)
        if not self._has_recent(service):
            self._unread_since_ms[service] = now_ms
            self._start_load(service)

    def _on_role_left(self, service: str) -> None:
        """Send the estimates to the scheduler that follows and its successors."""
        self._unread_since_ms.pop(service, None)
        receivers = self._coordination.standbys(service) | {
            self._coordination.schedulers().get(service, "")
        }
        self._send(service, frozenset(receivers))

    def _start_load(self, service: str) -> None:
        if service not in self._loads:
            task = asyncio.get_running_loop().create_task(self._load(service))
            self._loads[service] = task
            task.add_done_callback(lambda _: self._loads.pop(service, None))

    async def _load(self, service: str) -> None:
        await asyncio.sleep(self._load_delay_s)
        role = self._coordination.role
        if role.service_queue(service) is None or self._has_recent(service):
            self._unread_since_ms.pop(service, None)
            return
        try:
            estimates = tuple(await self._record.load(service))
        except PlatformError as error:
            self._log_failure(service, "read", error)
            return
        self._unread_since_ms.pop(service, None)
        now_ms = self._clock.now_ms()
        self._recorded.setdefault(service, _TimedEstimates(now_ms, estimates))
        self._adopt(service, estimates, STORE)

    # --- copies ---------------------------------------------------------------

    def _on_shared(self, sender: str, message: EstimatesShared) -> None:
        if message.service not in self._coordination.schedulers():
            return  # The settings tree does not have this service.
        converted = map(estimate_from_shared, message.estimates[:MAX_RECEIVED])
        estimates = tuple(one for one in converted if one is not None)
        copy = _TimedEstimates(self._clock.now_ms(), estimates)
        self._copies[message.service, sender] = copy
        self._adopt(message.service, estimates, sender)

    def _adopt(
        self, service: str, estimates: Sequence[EndpointEstimate], source: str
    ) -> None:
        """Let the core adopt estimates, if the service is scheduled here."""
        if self._coordination.role.service_queue(service) is None:
            return
        adopt = self._core_method(service, "adopt_estimates")
        if adopt:
            adopt(estimates, self._clock.now_ms(), source)
            self._log_adopted(service)

    def _log_adopted(self, service: str) -> None:
        """Log adoptions, also those of endpoints that were declared since the last."""
        take = self._core_method(service, "take_new_adoptions")
        for source, number in (take() if take else {}).items():
            log_event(
                events.ESTIMATES_ADOPTED, service=service, number=number, source=source
            )

    def _newest(self, service: str) -> dict[str, list[EndpointEstimate]]:
        """Return the newest estimate of each start, by sender, the newest first."""
        now_ms = self._clock.now_ms()
        found = [
            (one, sender)
            for (name, sender), copy in self._copies.items()
            if name == service
            for one in copy.at(now_ms)
        ]
        seen: set[StartKey] = set()
        by_sender: dict[str, list[EndpointEstimate]] = {}
        for estimate, sender in sorted(found, key=lambda pair: pair[0].age_ms):
            if start_key(estimate) not in seen:
                seen.add(start_key(estimate))
                by_sender.setdefault(sender, []).append(estimate)
        return by_sender

    def _has_recent(self, service: str) -> bool:
        """Return whether a recent copy has half of the service's endpoints."""
        status = self._core_method(service, "status")
        least = len(status()) / 2 if status else 0
        oldest_ms = self._clock.now_ms() - RECENT_MS
        return any(
            name == service and copy.at_ms > oldest_ms and len(copy.estimates) >= least
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


@contextmanager
def _log_exceptions() -> Iterator[None]:
    """Log exceptions, so that one service does not keep the others from sharing."""
    try:
        yield
    except Exception as error:
        log_event(events.TASK_FAILED, task="estimates", error=repr(error))


def _call_both(
    first: Callable[[str], None], second: Callable[[str], None]
) -> Callable[[str], None]:
    """Return a callback that calls both."""

    def call(service: str) -> None:
        first(service)
        second(service)

    return call
