"""The gateway's own desks, for when no scheduler can be heard.

Such a desk grants a fixed share of each endpoint's slots, so that VMs which
cannot see each other's grants together still keep near the endpoints' size.
"""

from __future__ import annotations

import math
from dataclasses import replace
from typing import TYPE_CHECKING

from pomelolane.coordination.account import Account
from pomelolane.coordination.desks import Desks
from pomelolane.messages import Unfollow
from pomelolane.model import Tree

_SPARE_PART = 0.25
"""Part of what is allowed beside a limit that all gateways which go alone let pass
together in the first span: the scheduler that they followed may have let pass all that
the limit allows, and the next one lets pass a part of its own before it has read the
record."""

if TYPE_CHECKING:
    from collections.abc import Callable

    from pomelolane.coordination.desk import Desk
    from pomelolane.coordination.options import Timings
    from pomelolane.messages import Message
    from pomelolane.ports import Clock, SchedulingCore
    from pomelolane.scheduler.limits import UsageLimiter


class LocalDesks:
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
        dealt_to: Callable[[], tuple[str, ...]],
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
        self._desks = Desks(
            self._core_of,
            self._send,
            clock,
            patient,
            lambda followers: self._share,
            rate_share,
            lambda followers: dealt_to(),
        )

    def configure(self, tree: Tree, share: float) -> None:
        """Adopt a tree, cut down to what may be granted, and the own share."""
        self._tree = tree
        self._share = share
        self._desks.configure(tree)

    def mark_leaving(self, endpoint_id: str) -> None:
        """Grant nothing more to an endpoint."""
        self._desks.mark_leaving(endpoint_id)

    def mark_returned(self, endpoint_id: str) -> None:
        """Take back a mark."""
        self._desks.mark_returned(endpoint_id)

    def tick(self) -> None:
        """Drive the desks."""
        self._desks.tick()

    def desks(self) -> dict[str, Desk]:
        """Return the desks by service."""
        return self._desks.by_service()

    def accounts(self) -> dict[str, Account]:
        """Return what was let pass here, by service, also in earlier turns."""
        return {name: Account(book, self._clock) for name, book in self._books.items()}

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
            self._desks.close(service)
        elif service:
            self._open(service).receive(self._vm_id, message)
        else:
            for desk in self._desks.all():
                desk.receive(self._vm_id, message)
        return True

    def _open(self, service: str) -> Desk:
        desk = self._desks.get(service)
        if desk is None:
            desk = self._desks.open(service, self._tree)
            desk.account.assume_used(_SPARE_PART)
        return desk

    def _send(self, gateway: str, message: Message) -> None:
        del gateway
        self._reply(message)
