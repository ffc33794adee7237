"""A set of service queues that are configured, marked and ticked together.

The scheduler role has one set for the services it schedules, the gateway another one
to use while no scheduler is reachable.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from pomelolane.coordination.service_queue import ServiceQueue

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from pomelolane.coordination.timings import Timings
    from pomelolane.messages import Message
    from pomelolane.model import Tree
    from pomelolane.ports import Clock, SchedulingCore


class ServiceQueues:
    """Service queues that share the leaving marks of endpoints.

    Args:
        make_core: Creates the core of a service.
        send: Sends a message to a gateway.
        clock: Source of the current time.
        timings: Timeouts and periods.
        slot_share_of: Returns the share of each endpoint's slots that may be granted
            to a set of followers.
        rate_share: Returns the share of organisations' rate limits that may be used.
        slot_owners_for: Returns the VMs that share the slots, for a set of followers.
    """

    def __init__(
        self,
        make_core: Callable[[str], SchedulingCore],
        send: Callable[[str, Message], None],
        clock: Clock,
        timings: Timings,
        slot_share_of: Callable[[frozenset[str]], float],
        rate_share: Callable[[], float],
        slot_owners_for: Callable[[frozenset[str]], tuple[str, ...]],
    ) -> None:
        self._slot_owners_for = slot_owners_for
        self._rate_share = rate_share
        self._make_core = make_core
        self._send = send
        self._clock = clock
        self._timings = timings
        self._slot_share_of = slot_share_of
        self._service_queues: dict[str, ServiceQueue] = {}
        self._leaving: set[str] = set()

    def by_service(self) -> dict[str, ServiceQueue]:
        """Return the queues by service."""
        return self._service_queues

    def all(self) -> list[ServiceQueue]:
        """Return a copy of the current queues, safe to iterate over."""
        return list(self._service_queues.values())

    def get(self, service: str) -> ServiceQueue | None:
        """Return the queue of a service, if there is one."""
        return self._service_queues.get(service)

    def open(self, service: str, tree: Tree) -> ServiceQueue:
        """Return the queue of a service, created with a tree if there is none."""
        service_queue = self._service_queues.get(service)
        if service_queue is None:
            service_queue = ServiceQueue(
                service,
                self._make_core(service),
                self._send,
                self._clock,
                self._timings,
                self._slot_share_of,
                self._rate_share,
                self._slot_owners_for,
            )
            self._service_queues[service] = service_queue
            for endpoint_id in self._leaving:
                service_queue.mark_leaving(endpoint_id)
            service_queue.configure(tree)
        return service_queue

    def close(self, service: str) -> None:
        """Close and remove the queue of a service, if there is one."""
        service_queue = self._service_queues.pop(service, None)
        if service_queue is not None:
            service_queue.close()

    def configure(self, tree: Tree) -> None:
        """Apply a settings tree to all queues."""
        for service_queue in self.all():
            service_queue.configure(tree)

    def mark_leaving(self, endpoint_id: str) -> None:
        """Stop granting an endpoint."""
        self._leaving.add(endpoint_id)
        for service_queue in self.all():
            service_queue.mark_leaving(endpoint_id)

    def mark_returned(self, endpoint_id: str) -> None:
        """Remove the leaving mark of an endpoint."""
        self._leaving.discard(endpoint_id)
        for service_queue in self.all():
            service_queue.mark_returned(endpoint_id)

    def keep_marks_of(self, endpoint_ids: Iterable[str]) -> None:
        """Keep only the leaving marks of these endpoints."""
        self._leaving &= set(endpoint_ids)

    def tick(self) -> None:
        """Run all queues."""
        for service_queue in self.all():
            service_queue.tick()


__all__ = ["ServiceQueues"]
