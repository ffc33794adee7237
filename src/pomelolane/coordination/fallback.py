"""The gateway's own desks, for when no scheduler can be heard.

Such a desk grants a fixed share of each endpoint's slots, so that VMs which
cannot see each other's grants together still keep near the endpoints' size.
"""

from __future__ import annotations

import math
from dataclasses import replace
from typing import TYPE_CHECKING

from pomelolane.coordination.desk import Desk
from pomelolane.messages import Unfollow
from pomelolane.model import Tree

if TYPE_CHECKING:
    from collections.abc import Callable

    from pomelolane.coordination.options import Timings
    from pomelolane.messages import Message
    from pomelolane.ports import Clock, SchedulingCore


class LocalDesks:
    """Private desks of one gateway, made when first needed.

    Args:
        vm_id: This VM.
        reply: Takes the desks' answers.
        clock: Time.
        make_core: Makes the core of a service.
        timings: Bounds.
    """

    def __init__(
        self,
        vm_id: str,
        reply: Callable[[Message], None],
        clock: Clock,
        make_core: Callable[[str], SchedulingCore],
        timings: Timings,
    ) -> None:
        self._vm_id = vm_id
        self._reply = reply
        self._clock = clock
        self._make_core = make_core
        # The own gateway needs no sign of life.
        self._timings = replace(timings, follower_silence_ms=math.inf)
        self._tree = Tree()
        self._share = 1.0
        self._leaving: set[str] = set()
        self._desks: dict[str, Desk] = {}

    def configure(self, tree: Tree, share: float) -> None:
        """Adopt a tree, cut down to what may be granted, and the own share."""
        self._tree = tree
        self._share = share
        for desk in list(self._desks.values()):
            desk.configure(self._tree)

    def mark_leaving(self, endpoint_id: str) -> None:
        """Grant nothing more to an endpoint."""
        self._leaving.add(endpoint_id)
        for desk in list(self._desks.values()):
            desk.mark_leaving(endpoint_id)

    def mark_returned(self, endpoint_id: str) -> None:
        """Take back a mark."""
        self._leaving.discard(endpoint_id)
        for desk in list(self._desks.values()):
            desk.mark_returned(endpoint_id)

    def tick(self) -> None:
        """Drive the desks."""
        for desk in list(self._desks.values()):
            desk.tick()

    def desks(self) -> dict[str, Desk]:
        """Return the desks by service."""
        return self._desks

    def receive(self, service: str, message: Message) -> bool:
        """Take a message of the gateway; without a service it is for all."""
        if isinstance(message, Unfollow):
            self._close(service)
        elif service:
            self._desk(service).receive(self._vm_id, message)
        else:
            for desk in list(self._desks.values()):
                desk.receive(self._vm_id, message)
        return True

    def _desk(self, service: str) -> Desk:
        desk = self._desks.get(service)
        if desk is None:
            desk = Desk(
                service,
                self._make_core(service),
                self._send,
                self._clock,
                self._timings,
                lambda followers: self._share,
            )
            self._desks[service] = desk
            for endpoint_id in self._leaving:
                desk.mark_leaving(endpoint_id)
            desk.configure(self._tree)
        return desk

    def _close(self, service: str) -> None:
        desk = self._desks.pop(service, None)
        if desk is not None:
            desk.close()

    def _send(self, gateway: str, message: Message) -> None:
        del gateway
        self._reply(message)
