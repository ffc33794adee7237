"""Exchanges organisations' usage between schedulers over the cluster transport.

The usage record in the store lacks what a scheduler admitted while it was cut off from
the store, so schedulers also send their usage directly to each other. Schedulers of
different services do so all the time, because an organisation's limit holds over all
services together.
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

USE_MAX_AGE_MS = 20_000.0
"""Age at which a use is dropped; limits are counted over spans of a few seconds."""

REPORT_MAX_AGE_MS = 4_000.0
"""Age up to which a scheduler's report replaces a record that cannot be read: each
scheduler reports all of its usage every two seconds, and a silent one is soon
replaced."""


class UsageExchange:
    """Sends this VM's usage to other VMs and keeps what they sent.

    Usage is kept by source, which is a service and the account of the scheduler that
    admitted it. Each use is kept with the time at which it was received.

    Args:
        vm_id: Id of this VM.
        incarnation: Incarnation number of this VM.
        membership: Provides the VMs that are alive.
        transport: Sends messages to other VMs.
        clock: Source of the current time.

    Attributes:
        on_role_released: Called with the service when another VM gives up its
            scheduler role.
        on_usage: Called with each direct report: its source, its uses, and whether
            they add to the earlier reports of that source or replace them.
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
        self._usage_by_source: dict[tuple[str, str], list[tuple[float, TokenUse]]] = {}
        self._guess_reports: dict[str, tuple[float, float]] = {}
        self._has_read_record = False
        self.on_role_released: Callable[[str], None] = _ignore_release
        self.on_usage: Callable[[tuple[str, str], list[TokenUse], bool], None] = (
            _ignore_usage
        )
        transport.subscribe(UsesTold, self._on_usage_told)

    def own_source(self, service: str) -> tuple[str, str]:
        """Return the source key (service, account) of this VM's usage."""
        return service, account_name(self._vm_id, self._incarnation)

    def send_final_usage(
        self,
        service: str,
        uses: Sequence[TokenUse],
        *,
        next_vms: Iterable[str],
        guess_part: float,
    ) -> None:
        """Send the final usage to all VMs when this VM gives up a scheduler role.

        The VMs that may take over the role also get the usage of all other sources
        known here. The remaining VMs do not get it. If there are other sources, the
        report to them is marked as incomplete by a `guess_part` of 1.

        Args:
            service: Service of the role.
            uses: Usage admitted by this scheduler.
            next_vms: VMs that may take over the role.
            guess_part: Share of each limit that this scheduler assumes to be used up,
                because it could not read the record.
        """
        next_vms = set(next_vms)
        self._drop_expired(self._clock.now_ms())
        knows_other_sources = any(
            source != self.own_source(service) for source in self._usage_by_source
        )
        self.relay_known_usage(next_vms)
        others = self._membership.view().peers.keys() - next_vms
        for vm_ids, part in (
            (next_vms, guess_part),
            (others, 1.0 if knows_other_sources else guess_part),
        ):
            _, account = self.own_source(service)
            message = UsesTold(
                service,
                _encode_uses(uses),
                account=account,
                leaves=True,
                guess_part=part,
            )
            self._send_message(vm_ids, message)

    def send_usage(
        self,
        vm_ids: Iterable[str],
        service: str,
        uses: Sequence[TokenUse],
        *,
        adds: bool = False,
        account: str = "",
        guess_part: float | None = None,
    ) -> None:
        """Send usage admitted on this VM to other VMs.

        Args:
            vm_ids: Receivers; this VM is skipped.
            service: Service that the usage belongs to.
            uses: The usage.
            adds: Whether it adds to the earlier reports, or replaces them.
            account: Account of the usage, by default that of this incarnation.
            guess_part: Share of each limit that the scheduler assumes to be used up,
                because it could not read the record; None for a gateway without a
                scheduler.
        """
        account = account or account_name(self._vm_id, self._incarnation)
        message = UsesTold(
            service, _encode_uses(uses), adds, account, guess_part=guess_part
        )
        self._send_message(vm_ids, message)

    def relay_known_usage(self, vm_ids: Iterable[str]) -> None:
        """Send the usage received from other VMs, which may be gone by now."""
        receivers = tuple(vm_ids)
        now_ms = self._clock.now_ms()
        for (service, account), timed_uses in self._usage_by_source.items():
            uses = _with_current_age(timed_uses, now_ms)
            message = UsesTold(
                service, _encode_uses(uses), account=account, is_passed_on=True
            )
            self._send_message(receivers, message)

    def _send_message(self, vm_ids: Iterable[str], message: UsesTold) -> None:
        for vm_id in vm_ids:
            if vm_id != self._vm_id:
                self._transport.send(vm_id, message)

    def _store_relayed(
        self,
        source: tuple[str, str],
        timed_uses: list[tuple[float, TokenUse]],
        now_ms: float,
    ) -> None:
        """Keep usage of a third VM for the roles that this VM takes later.

        The current roles ignore it: they have read the record, which may be newer.
        """
        _, account = source
        own = account_name(self._vm_id, self._incarnation)
        if account == own or account.startswith(f"{own}/"):
            return
        known_age_ms = _min_age_ms(
            _with_current_age(self._usage_by_source.get(source, ()), now_ms)
        )
        if _min_age_ms(_with_current_age(timed_uses, now_ms)) < known_age_ms:
            self._usage_by_source[source] = timed_uses

    def guess_part(self, service: str) -> float:
        """Return the share of each limit that the last scheduler assumed to be used up.

        Other usage is known from its reports. Returns 1 without a recent report.
        """
        reported_ms, part = self._guess_reports.get(service, (-inf, 1.0))
        return part if self._clock.now_ms() - reported_ms < REPORT_MAX_AGE_MS else 1.0

    def cache_recorded(self, recorded: Sequence[TokenUse]) -> None:
        """Keep recorded usage, to relay it to schedulers that cannot read the store."""
        now_ms = self._clock.now_ms()
        uses_by_source: dict[tuple[str, str], list[tuple[float, TokenUse]]] = {}
        for use in recorded:
            uses_by_source.setdefault(use.source, []).append((now_ms, use))
        for source, uses in uses_by_source.items():
            self._store_relayed(source, uses, now_ms)
        self._has_read_record = True

    def consume_record_read(self) -> bool:
        """Return whether a record was read since the last call."""
        has_read, self._has_read_record = self._has_read_record, False
        return has_read

    def merge(self, recorded: Sequence[TokenUse]) -> list[TokenUse]:
        """Merge recorded usage with reports; the newer one of each source counts."""
        now_ms = self._clock.now_ms()
        self._drop_expired(now_ms)
        uses_by_source: dict[tuple[str, str], list[TokenUse]] = {}
        for use in recorded:
            uses_by_source.setdefault(use.source, []).append(use)
        for source, timed_uses in self._usage_by_source.items():
            reported = _with_current_age(timed_uses, now_ms)
            if _min_age_ms(reported) <= _min_age_ms(uses_by_source.get(source, ())):
                uses_by_source[source] = reported
        uses = chain.from_iterable(uses_by_source.values())
        return [use for use in uses if use.age_ms < USE_MAX_AGE_MS]

    def _drop_expired(self, now_ms: float) -> None:
        for source, timed_uses in list(self._usage_by_source.items()):
            timed_uses[:] = [
                one for one in timed_uses if now_ms - one[0] < USE_MAX_AGE_MS
            ]
            if not timed_uses:
                del self._usage_by_source[source]

    def _on_usage_told(self, sender: str, message: UsesTold) -> None:
        now_ms = self._clock.now_ms()
        scheduler = message.account or sender
        source = message.service, scheduler
        uses = [
            TokenUse(
                reported.organisation,
                reported.age_ms,
                reported.tokens,
                scheduler,
                reported.bound,
                message.service,
            )
            for reported in message.uses
        ]
        timed_uses = [(now_ms, use) for use in uses]
        if message.is_passed_on:
            self._store_relayed(source, timed_uses, now_ms)
            return
        if message.guess_part is not None:
            self._guess_reports[message.service] = (now_ms, message.guess_part)
        if not message.adds:
            self._drop_expired(now_ms)
            self._usage_by_source[source] = []
        self._usage_by_source.setdefault(source, []).extend(timed_uses)
        self.on_usage(source, uses, message.adds)
        if message.leaves:
            self.on_role_released(message.service)


def account_name(vm_id: str, incarnation: int) -> str:
    """Return the usage account name of one incarnation of a VM.

    Each incarnation has its own account, because the usage of an earlier one still
    counts.
    """
    return f"{vm_id}/{incarnation}"


def _encode_uses(uses: Iterable[TokenUse]) -> tuple[ToldUse, ...]:
    return tuple(
        ToldUse(use.organisation, use.age_ms, use.tokens, use.bound) for use in uses
    )


def _with_current_age(
    timed_uses: Iterable[tuple[float, TokenUse]], now_ms: float
) -> list[TokenUse]:
    return [
        replace(use, age_ms=use.age_ms + int(now_ms - at_ms))
        for at_ms, use in timed_uses
    ]


def _min_age_ms(uses: Iterable[TokenUse]) -> float:
    return min((use.age_ms for use in uses), default=inf)


def _ignore_release(service: str) -> None:
    """Serve as the default `on_role_released` callback."""


def _ignore_usage(source: tuple[str, str], uses: list[TokenUse], adds: bool) -> None:
    """Serve as the default `on_usage` callback."""
