"""What schedulers tell each other of organisations' use.

The record in the store lacks what passed under a scheduler that was cut off from it;
that scheduler knows it, and tells it to all it can reach. Schedulers of other services
are told all the time: an organisation has its limit once.
"""

from __future__ import annotations

from dataclasses import replace
from itertools import chain
from math import inf
from typing import TYPE_CHECKING

from pomelolane.messages import ToldUse, UsesTold
from pomelolane.scheduler.spans import Use

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Sequence

    from pomelolane.ports import Clock, Membership, Transport

OLDEST_MS = 20_000.0
"""Age from which on a use counts in no span; the spans are a few seconds."""

LEFT_LATELY_MS = 1_000.0
"""Time after a scheduler's last word in which its successor takes the role."""


class ToldUses:
    """Tells and hears uses.

    Args:
        vm_id: This VM.
        incarnation: Number of this start.
        membership: Who is alive.
        transport: Way to the others.
        clock: Time.

    Attributes:
        on_left: Called with a service of which another VM leaves the role.
        on_news: Called with each word: its source, its uses, and whether they add to
            what was told before.
    """

    def __init__(
        self,
        vm_id: str,
        incarnation: int,
        membership: Membership,
        transport: Transport,
        clock: Clock,
    ) -> None:
        self._vm_id = vm_id
        self._incarnation = incarnation
        self._membership = membership
        self._transport = transport
        self._clock = clock
        self._heard: dict[tuple[str, str], list[tuple[float, Use]]] = {}
        self._left_ms: dict[str, float] = {}
        self.on_left: Callable[[str], None] = _ignore
        self.on_news: Callable[[tuple[str, str], list[Use], bool], None] = _ignore_news
        transport.subscribe(UsesTold, self._take)

    def own_source(self, service: str) -> tuple[str, str]:
        """Return whose account this VM's is."""
        return service, start_name(self._vm_id, self._incarnation)

    def tell_all(self, service: str, uses: Sequence[Use], *, has_held: bool) -> None:
        """Tell all others what passed here, as this VM leaves the role.

        Args:
            service: What it passed for.
            uses: What passed.
            has_held: Whether this VM had the role for a whole span.
        """
        account = start_name(self._vm_id, self._incarnation)
        message = UsesTold(
            service, _told(uses), account=account, leaves=True, has_held=has_held
        )
        self._send(self._membership.view().peers, message)

    def tell(
        self,
        vm_ids: Iterable[str],
        service: str,
        uses: Sequence[Use],
        *,
        adds: bool = False,
        account: str = "",
    ) -> None:
        """Tell some VMs what passed here.

        Args:
            vm_ids: Whom; this VM is passed over.
            service: What it passed for.
            uses: What passed.
            adds: Whether it comes on top of what was told before, or replaces it.
            account: Whose account it is, by default that of this start.
        """
        account = account or start_name(self._vm_id, self._incarnation)
        self._send(vm_ids, UsesTold(service, _told(uses), adds, account))

    def pass_on(self, vm_ids: Iterable[str]) -> None:
        """Tell some VMs what this one has heard.

        Those whose accounts these are may be gone: nobody else tells it.
        """
        listeners = tuple(vm_ids)
        now_ms = self._clock.now_ms()
        for (service, account), heard in self._heard.items():
            uses = _aged(heard, now_ms)
            message = UsesTold(service, _told(uses), account=account, is_passed_on=True)
            self._send(listeners, message)

    def _send(self, vm_ids: Iterable[str], message: UsesTold) -> None:
        for vm_id in vm_ids:
            if vm_id != self._vm_id:
                self._transport.send(vm_id, message)

    def _take_passed_on(
        self, source: tuple[str, str], heard: list[tuple[float, Use]], now_ms: float
    ) -> None:
        """Keep what another VM has heard, for when this one takes a role.

        It is no news for the roles that this VM has: they have read the record, which
        may be younger.
        """
        _, account = source
        own = start_name(self._vm_id, self._incarnation)
        if account == own or account.startswith(f"{own}/"):
            return
        known_ms = _youngest_ms(_aged(self._heard.get(source, ()), now_ms))
        if _youngest_ms(_aged(heard, now_ms)) < known_ms:
            self._heard[source] = heard

    def knows_all(self, service: str) -> bool:
        """Tell whether one that had the role for a whole span has just told of it."""
        left_ms = self._left_ms.get(service)
        return left_ms is not None and self._clock.now_ms() - left_ms < LEFT_LATELY_MS

    def merge(self, recorded: Sequence[Use]) -> list[Use]:
        """Return recorded uses, accounts replaced by their word where it is younger."""
        now_ms = self._clock.now_ms()
        self._forget(now_ms)
        accounts: dict[tuple[str, str], list[Use]] = {}
        for use in recorded:
            accounts.setdefault(use.source, []).append(use)
        for source, heard in self._heard.items():
            told = _aged(heard, now_ms)
            if _youngest_ms(told) <= _youngest_ms(accounts.get(source, ())):
                accounts[source] = told
        uses = chain.from_iterable(accounts.values())
        return [use for use in uses if use.age_ms < OLDEST_MS]

    def _forget(self, now_ms: float) -> None:
        for source, heard in list(self._heard.items()):
            heard[:] = [one for one in heard if now_ms - one[0] < OLDEST_MS]
            if not heard:
                del self._heard[source]

    def _take(self, sender: str, message: UsesTold) -> None:
        now_ms = self._clock.now_ms()
        scheduler = message.account or sender
        source = message.service, scheduler
        uses = [
            Use(
                told.organisation,
                told.age_ms,
                told.tokens,
                scheduler,
                told.bound,
                message.service,
            )
            for told in message.uses
        ]
        heard = [(now_ms, use) for use in uses]
        if message.is_passed_on:
            self._take_passed_on(source, heard, now_ms)
            return
        if message.has_held:
            self._left_ms[message.service] = now_ms
        if not message.adds:
            self._forget(now_ms)
            self._heard[source] = []
        self._heard.setdefault(source, []).extend(heard)
        self.on_news(source, uses, message.adds)
        if message.leaves:
            self.on_left(message.service)


def start_name(vm_id: str, incarnation: int) -> str:
    """Return the name under which a start of a VM keeps its account.

    What an earlier start let pass counts beside what the present one does.
    """
    return f"{vm_id}/{incarnation}"


def _told(uses: Iterable[Use]) -> tuple[ToldUse, ...]:
    return tuple(
        ToldUse(use.organisation, use.age_ms, use.tokens, use.bound) for use in uses
    )


def _aged(heard: Iterable[tuple[float, Use]], now_ms: float) -> list[Use]:
    return [
        replace(use, age_ms=use.age_ms + int(now_ms - at_ms)) for at_ms, use in heard
    ]


def _youngest_ms(uses: Iterable[Use]) -> float:
    return min((use.age_ms for use in uses), default=inf)


def _ignore(service: str) -> None:
    """Stand in until somebody wants to know."""


def _ignore_news(source: tuple[str, str], uses: list[Use], adds: bool) -> None:
    """Stand in until somebody wants to know."""
