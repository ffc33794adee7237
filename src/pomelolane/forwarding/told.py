"""What schedulers tell each other of organisations' use when a role moves.

The record in the store lacks what passed under a scheduler that was cut off from it;
that scheduler knows it, and tells it to all it can reach.
"""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from pomelolane.messages import ToldUse, UsesTold
from pomelolane.scheduler.spans import Use

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from pomelolane.ports import Clock, Membership, Transport

OLDEST_MS = 20_000.0
"""Age from which on a use counts in no span; the spans are a few seconds."""


class ToldUses:
    """Tells and hears uses.

    Args:
        vm_id: This VM.
        membership: Who is alive.
        transport: Way to the others.
        clock: Time.

    Attributes:
        on_news: Called with a service of which another VM has told.
    """

    def __init__(
        self, vm_id: str, membership: Membership, transport: Transport, clock: Clock
    ) -> None:
        self._vm_id = vm_id
        self._membership = membership
        self._transport = transport
        self._clock = clock
        self._heard: dict[tuple[str, str], tuple[float, tuple[Use, ...]]] = {}
        self.on_news: Callable[[str], None] = _ignore
        transport.subscribe(UsesTold, self._take)

    def tell(self, service: str, uses: Sequence[Use]) -> None:
        """Tell all others what passed here."""
        told = tuple(
            ToldUse(use.organisation, use.age_ms, use.tokens, use.bound) for use in uses
        )
        message = UsesTold(service, told)
        for vm_id in self._membership.view().peers:
            if vm_id != self._vm_id:
                self._transport.send(vm_id, message)

    def merge(self, service: str, recorded: Sequence[Use]) -> list[Use]:
        """Return recorded uses, those of VMs that have told replaced by their word."""
        now_ms = self._clock.now_ms()
        merged = list(recorded)
        for (name, sender), (at_ms, uses) in list(self._heard.items()):
            since_ms = int(now_ms - at_ms)
            if since_ms > OLDEST_MS:
                del self._heard[name, sender]
            elif name == service:
                merged = [use for use in merged if use.scheduler != sender]
                merged += [replace(use, age_ms=use.age_ms + since_ms) for use in uses]
        return [use for use in merged if use.age_ms < OLDEST_MS]

    def _take(self, sender: str, message: UsesTold) -> None:
        uses = tuple(
            Use(told.organisation, told.age_ms, told.tokens, sender, told.bound)
            for told in message.uses
        )
        self._heard[message.service, sender] = (self._clock.now_ms(), uses)
        self.on_news(message.service)


def _ignore(service: str) -> None:
    """Stand in until somebody wants to know."""
