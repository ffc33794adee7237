"""Schedulers' news of organisations' use, so that a limit holds over all of them.

Each service has a scheduler of its own. What passes under one counts for the others as
soon as they hear of it, and the next one in line knows it when this one is killed.
News add up, and now and then all is told anew, which makes up for news that were lost.
What a gateway lets pass alone is told like that too.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from pomelolane.coordination import Coordination, Desk
    from pomelolane.forwarding.told import ToldUses
    from pomelolane.scheduler.rate_limiting import TokenUse

_ALONE = "/alone"
"""Added to the name of the account of a gateway that hears no scheduler."""

TICK_S = 0.1
"""Shortest time between two words."""

WHOLE_TICKS = 20
"""Ticks after which all that passed is told anew."""

UNTOLD_SHARE = 0.05
"""Part of what is allowed beside a limit that may be unknown to other schedulers for
more than a tick."""


class UseNews:
    """Tells the schedulers of other services and successors what passes here.

    Args:
        vm_id: This VM.
        coordination: This VM's part in scheduling.
        told: Way to the others.
    """

    def __init__(self, vm_id: str, coordination: Coordination, told: ToldUses) -> None:
        self._vm_id = vm_id
        self._coordination = coordination
        self._told = told
        self._listeners: dict[str, dict[str, int]] = {}
        told.on_news = self._heard

    async def run(self) -> None:
        """Tell until cancelled."""
        ticks = 0
        while True:
            await asyncio.sleep(TICK_S)
            ticks += 1
            self.tell(whole=ticks % WHOLE_TICKS == 0)

    def tell(self, *, whole: bool) -> None:
        """Tell what is new of each service that this VM schedules.

        Args:
            whole: Tell all that passed, where anything did since it was told last.
        """
        desks = self._coordination.role.desks()
        for service in self._listeners.keys() - desks.keys():
            del self._listeners[service]
        if self._told.take_has_read():
            # Those who take the role next may not be able to read what was read here.
            self._listeners.clear()
        self._tell_private(whole=whole)
        for service, desk in list(desks.items()):
            listeners = self._listeners_of(service)
            newcomers = self._newcomers(service, listeners)
            if newcomers:
                self._told.pass_on(newcomers)
            if not listeners:
                continue
            account = desk.account
            part = account.guess_part()
            if whole or newcomers:
                account.take_news()
                self._tell(service, listeners, account.uses(), guess_part=part)
            elif account.untold_share() >= UNTOLD_SHARE:
                news = account.take_news()
                self._tell(service, listeners, news, adds=True, guess_part=part)

    def _newcomers(self, service: str, listeners: frozenset[str]) -> set[str]:
        """Return the listeners that have heard nothing yet, or in an earlier start."""
        before = self._listeners.get(service, {})
        starts = {vm: self._coordination.incarnation_of(vm) for vm in listeners}
        self._listeners[service] = starts
        return {vm for vm, start in starts.items() if before.get(vm) != start}

    def _tell_private(self, *, whole: bool) -> None:
        """Tell the schedulers what the gateway let pass while it heard none."""
        accounts = self._coordination.private_accounts()
        if not accounts:
            return
        listeners = frozenset(self._coordination.schedulers().values())
        for service, account in accounts.items():
            if whole or account.untold_share():
                account.take_news()
                self._tell(service, listeners, account.uses())

    def _listeners_of(self, service: str) -> frozenset[str]:
        """Return the VMs that schedule other services, or this one after this VM.

        Those next in line hear everything while this one lives: the record lacks what
        passed last when a scheduler is killed, and where a data centre is cut off its
        gateways follow a scheduler of their own.
        """
        schedulers = self._coordination.schedulers()
        listeners = {vm for name, vm in schedulers.items() if name != service}
        if schedulers.get(service, self._vm_id) != self._vm_id:
            listeners.add(schedulers[service])
        # Whoever takes one role of this VM has to know what passed for its others, too.
        for name, vm in schedulers.items():
            if vm == self._vm_id:
                listeners |= self._coordination.heirs(name) - {self._vm_id}
        return frozenset(listeners - {""})

    def _tell(
        self,
        service: str,
        listeners: frozenset[str],
        uses: list[TokenUse],
        *,
        adds: bool = False,
        guess_part: float | None = None,
    ) -> None:
        """Tell what passed, also that nothing did: silence would say nothing.

        Args:
            service: What it passed for.
            listeners: Whom.
            uses: What passed.
            adds: Whether it comes on top of what was told before, or replaces it.
            guess_part: Part of limits that the scheduler counts by a guess; None for
                what the gateway let pass alone.
        """
        _, account = self._told.own_source(service)
        if guess_part is None:
            account += _ALONE
        if self._vm_id in listeners:
            self._heard((service, account), uses, adds)
        self._told.tell(
            listeners, service, uses, adds=adds, account=account, guess_part=guess_part
        )

    def _heard(self, source: tuple[str, str], uses: list[TokenUse], adds: bool) -> None:
        for desk in self._desks_beside(source):
            desk.account.hear(source, uses, adds=adds)

    def _desks_beside(self, source: tuple[str, str]) -> list[Desk]:
        """Return the own desks but the one whose account it is."""
        desks = self._coordination.role.desks()
        return [
            desk
            for service, desk in desks.items()
            if self._told.own_source(service) != source
        ]
