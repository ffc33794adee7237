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
from pomelolane.scheduler.rate_limiting import TokenUse

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Sequence

    from pomelolane.ports import Clock, Membership, Transport

OLDEST_MS = 20_000.0
"""Age from which on a use counts in no span; the spans are a few seconds."""

WORD_COUNTS_MS = 4_000.0
"""Age up to which a scheduler's word stands for a record that cannot be read: it tells
all that it let pass every two seconds, and one that falls silent is replaced soon."""


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
        self._heard: dict[tuple[str, str], list[tuple[float, TokenUse]]] = {}
        self._words: dict[str, tuple[float, float]] = {}
        self._has_read = False
        self.on_left: Callable[[str], None] = _ignore
        self.on_news: Callable[[tuple[str, str], list[TokenUse], bool], None] = (
            _ignore_news
        )
        transport.subscribe(UsesTold, self._take)

    def own_source(self, service: str) -> tuple[str, str]:
        """Return whose account this VM's is."""
        return service, start_name(self._vm_id, self._incarnation)

    def tell_all(
        self,
        service: str,
        uses: Sequence[TokenUse],
        *,
        next_vms: Iterable[str],
        guess_part: float,
    ) -> None:
        """Tell all others what passed here, as this VM leaves the role.

        Those that take the role next are also told what others let pass before: only
        with that is the word of this VM all that there is to know.

        Args:
            service: What it passed for.
            uses: What passed.
            next_vms: Those that may take the role now.
            guess_part: Part of limits that it counted by a guess.
        """
        next_vms = set(next_vms)
        self._forget(self._clock.now_ms())
        knows_more = any(source != self.own_source(service) for source in self._heard)
        self.pass_on(next_vms)
        others = self._membership.view().peers.keys() - next_vms
        for vm_ids, part in (
            (next_vms, guess_part),
            (others, 1.0 if knows_more else guess_part),
        ):
            _, account = self.own_source(service)
            message = UsesTold(
                service, _told(uses), account=account, leaves=True, guess_part=part
            )
            self._send(vm_ids, message)

    def tell(
        self,
        vm_ids: Iterable[str],
        service: str,
        uses: Sequence[TokenUse],
        *,
        adds: bool = False,
        account: str = "",
        guess_part: float | None = None,
    ) -> None:
        """Tell some VMs what passed here.

        Args:
            vm_ids: Whom; this VM is passed over.
            service: What it passed for.
            uses: What passed.
            adds: Whether it comes on top of what was told before, or replaces it.
            account: Whose account it is, by default that of this start.
            guess_part: Part of limits that a scheduler counts by a guess; None for a
                gateway that is alone.
        """
        account = account or start_name(self._vm_id, self._incarnation)
        message = UsesTold(service, _told(uses), adds, account, guess_part=guess_part)
        self._send(vm_ids, message)

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
        self,
        source: tuple[str, str],
        heard: list[tuple[float, TokenUse]],
        now_ms: float,
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

    def guess_part(self, service: str) -> float:
        """Return the part of limits that the scheduler until now counted by a guess.

        All else it has told; 1 where none has told anything lately.
        """
        told_ms, part = self._words.get(service, (-inf, 1.0))
        return part if self._clock.now_ms() - told_ms < WORD_COUNTS_MS else 1.0

    def keep_read(self, recorded: Sequence[TokenUse]) -> None:
        """Keep what was read from the record, for schedulers that cannot read it."""
        now_ms = self._clock.now_ms()
        accounts: dict[tuple[str, str], list[tuple[float, TokenUse]]] = {}
        for use in recorded:
            accounts.setdefault(use.source, []).append((now_ms, use))
        for source, uses in accounts.items():
            self._take_passed_on(source, uses, now_ms)
        self._has_read = True

    def take_has_read(self) -> bool:
        """Tell whether a record was read since the last call."""
        has_read, self._has_read = self._has_read, False
        return has_read

    def merge(self, recorded: Sequence[TokenUse]) -> list[TokenUse]:
        """Return recorded uses, accounts replaced by their word where it is younger."""
        now_ms = self._clock.now_ms()
        self._forget(now_ms)
        accounts: dict[tuple[str, str], list[TokenUse]] = {}
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
            TokenUse(
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
        if message.guess_part is not None:
            self._words[message.service] = (now_ms, message.guess_part)
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


def _told(uses: Iterable[TokenUse]) -> tuple[ToldUse, ...]:
    return tuple(
        ToldUse(use.organisation, use.age_ms, use.tokens, use.bound) for use in uses
    )


def _aged(heard: Iterable[tuple[float, TokenUse]], now_ms: float) -> list[TokenUse]:
    return [
        replace(use, age_ms=use.age_ms + int(now_ms - at_ms)) for at_ms, use in heard
    ]


def _youngest_ms(uses: Iterable[TokenUse]) -> float:
    return min((use.age_ms for use in uses), default=inf)


def _ignore(service: str) -> None:
    """Stand in until somebody wants to know."""


def _ignore_news(source: tuple[str, str], uses: list[TokenUse], adds: bool) -> None:
    """Stand in until somebody wants to know."""
