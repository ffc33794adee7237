"""The gateway's own desks, for when no scheduler can be heard.

Such a desk grants a fixed share of each endpoint's slots, so that VMs which
cannot see each other's grants together still keep near the endpoints' size.
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
"""Part of what is allowed beside a limit that all gateways which go alone let pass
together in the first span: the scheduler that they followed may have let pass all that
the limit allows, and the next one lets pass a part of its own before it has read the
record."""

if TYPE_CHECKING:
    from collections.abc import Callable

    from pomelolane.coordination.service_queue import ServiceQueue
    from pomelolane.coordination.timings import Timings
    from pomelolane.messages import Message
    from pomelolane.ports import Clock, SchedulingCore
    from pomelolane.scheduler.limits import UsageLimiter


class LocalQueues:
    """Private desks of one gateway, made when first needed.

    Args:
        vm_id: This VM.
        reply: Takes the desks' answers.
        clock: Time.
        make_core: Makes the core of a service.
        timings: Bounds.
        rate_share: Returns this VM's share of organisations' rates.
        dealt_to: Returns the VMs among which slots are dealt, this one first.
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
        self._books: dict[str, UsageLimiter] = {}
        self._clock = clock
        # The own gateway needs no sign of life.
        patient = replace(timings, follower_silence_ms=math.inf)
        self._service_queues = ServiceQueues(
            self._core_of,
            self._send,
            clock,
            patient,
            lambda followers: self._share,
            rate_share,
            lambda followers: slot_owners_for(),
        )

    def configure(self, tree: Tree, share: float) -> None:
        """Adopt a tree, cut down to what may be granted, and the own share."""
        self._tree = tree
        self._share = share
        self._service_queues.configure(tree)

    def mark_leaving(self, endpoint_id: str) -> None:
        """Grant nothing more to an endpoint."""
        self._service_queues.mark_leaving(endpoint_id)

    def mark_returned(self, endpoint_id: str) -> None:
        """Take back a mark."""
        self._service_queues.mark_returned(endpoint_id)

    def tick(self) -> None:
        """Drive the desks."""
        self._service_queues.tick()

    def service_queues(self) -> dict[str, ServiceQueue]:
        """Return the desks by service."""
        return self._service_queues.by_service()

    def accounts(self) -> dict[str, LimitAccount]:
        """Return what was let pass here, by service, also in earlier turns."""
        return {
            name: LimitAccount(book, self._clock) for name, book in self._books.items()
        }

    def _core_of(self, service: str) -> SchedulingCore:
        """Return a new core that goes on with what earlier ones let pass.

        All else that those knew may be out of date.
        """
        core = self._make_core(service)
        if hasattr(core, "limits"):
            core.limits = self._books.setdefault(service, core.limits)
        return core

    def receive(self, service: str, message: Message) -> bool:
        """Take a message of the gateway; without a service it is for all."""
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
