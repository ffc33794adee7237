"""The gateway's own service queues, used while no scheduler is reachable.

A local queue grants only a share of each endpoint's slots, so that VMs which cannot
see each other's grants together stay close to the endpoints' capacity.
"""

from __future__ import annotations

import math
from dataclasses import replace
from typing import TYPE_CHECKING

from pomelolane.coordination.limit_account import LimitAccount
from pomelolane.coordination.service_queues import ServiceQueues
from pomelolane.messages import Unfollow
from pomelolane.model import Tree

_SPARE_PART = 0.25
"""Part of the allowance beyond a limit for all gateways with local queues together.

It applies to the first limit window: their former scheduler may have used the whole
limit, and the next one uses a part of the allowance before it has read the record.
"""

if TYPE_CHECKING:
    from collections.abc import Callable

    from pomelolane.coordination.service_queue import ServiceQueue
    from pomelolane.coordination.timings import Timings
    from pomelolane.messages import Message
    from pomelolane.ports import Clock, SchedulingCore
    from pomelolane.scheduler.limits import UsageLimiter


class LocalQueues:
    """Local queues of one gateway, created when first needed.

    Args:
        vm_id: This VM.
        reply: Called with the queues' replies.
        clock: Source of the current time.
        make_core: Creates the core of a service.
        timings: Timeouts and periods.
        rate_share: Returns this VM's share of organisations' rate limits.
        slot_owners_for: Returns the VMs that share the slots, this one first.
    """

    def __init__(
        self,
        vm_id: str,
        reply: Callable[[Message], None],
        clock: Clock,
        make_core: Callable[[str], SchedulingCore],
        timings: Timings,
        rate_share: Callable[[], float],
        slot_owners_for: Callable[[], tuple[str, ...]],
    ) -> None:
        self._vm_id = vm_id
        self._reply = reply
        self._tree = Tree()
        self._share = 1.0
        self._make_core = make_core
        self._limit_books: dict[str, UsageLimiter] = {}
        self._clock = clock
        # The gateway on this VM cannot fail separately, so it has no timeout.
        local_timings = replace(timings, follower_silence_ms=math.inf)
        self._service_queues = ServiceQueues(
            self._core_of,
            self._send,
            clock,
            local_timings,
            lambda followers: self._share,
            rate_share,
            lambda followers: slot_owners_for(),
        )

    def configure(self, tree: Tree, share: float) -> None:
        """Apply a tree restricted to what may be granted, and this VM's slot share."""
        self._tree = tree
        self._share = share
        self._service_queues.configure(tree)

    def mark_leaving(self, endpoint_id: str) -> None:
        """Stop granting an endpoint."""
        self._service_queues.mark_leaving(endpoint_id)

    def mark_returned(self, endpoint_id: str) -> None:
        """Remove the leaving mark of an endpoint."""
        self._service_queues.mark_returned(endpoint_id)

    def tick(self) -> None:
        """Run all queues."""
        self._service_queues.tick()

    def service_queues(self) -> dict[str, ServiceQueue]:
        """Return the queues by service."""
        return self._service_queues.by_service()

    def accounts(self) -> dict[str, LimitAccount]:
        """Return the limit usage by service, including that of closed queues."""
        return {
            name: LimitAccount(book, self._clock)
            for name, book in self._limit_books.items()
        }

    def _core_of(self, service: str) -> SchedulingCore:
        """Return a new core that continues the limit usage of earlier ones.

        Everything else that those knew may be out of date.
        """
        core = self._make_core(service)
        if hasattr(core, "limits"):
            core.limits = self._limit_books.setdefault(service, core.limits)
        return core

    def receive(self, service: str, message: Message) -> bool:
        """Handle a message of the gateway; without a service all queues get it."""
        if isinstance(message, Unfollow):
            self._service_queues.close(service)
        elif service:
            self._open(service).receive(self._vm_id, message)
        else:
            for service_queue in self._service_queues.all():
                service_queue.receive(self._vm_id, message)
        return True

    def _open(self, service: str) -> ServiceQueue:
        service_queue = self._service_queues.get(service)
        if service_queue is None:
            service_queue = self._service_queues.open(service, self._tree)
            service_queue.account.assume_used(_SPARE_PART)
        return service_queue

    def _send(self, gateway: str, message: Message) -> None:
        del gateway
        self._reply(message)
