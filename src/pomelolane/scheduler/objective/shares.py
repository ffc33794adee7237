"""Fair shares of slot time for the organisations of one tier rank.

Decides without I/O which requests are within their organisation's share of the slots
and which are beyond it. Ranks remain strict; see docs/design/shares.md.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Protocol

from pomelolane.scheduler.objective.waiting import Precedence, RecentIds

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping, Sequence

    from pomelolane.messages import Handle
    from pomelolane.scheduler.objective.waiting import WaitingRequest

DIVISION_PERIOD_MS = 50.0
"""Shortest time between two divisions: the tick period."""

_DEMAND_TIME_CONSTANT_MS = 1000.0
_BUCKET_MS = 1000.0
"""Time at its share that an organisation may use at once."""

_BEYOND_BUCKET_MS = 100.0
"""The same for an organisation that asks for more than its share. Its demand of the
last second has used up a larger bucket. With 1000 ms, a spike of one organisation fills
the queue of all requests within their shares for two seconds."""

_DIVIDED_PART = 0.8
"""Part of a rank's slots that is divided. Requests within their shares would otherwise
arrive as fast as they are served, and their queue would not drain. Beside a flood of
answers of up to 1.4 s, .93 of the others' requests were served with 0.9 (mean of seeds
1 to 5), .98 with 0.8. The rest goes to requests beyond the share, in due order."""

_MIN_RANK_PART = 0.02
"""Least part of the slots that a rank's division assumes, as for predicted waits. With
nothing to divide, all organisations of a rank would be beyond their share alike."""

_NEGLIGIBLE_DEMAND_MS = 1.0
_MIN_WEIGHT = 1e-3
_COUNTED_RETENTION_MS = 5 * _DEMAND_TIME_CONSTANT_MS
"""After this time, less than a hundredth of a request is left in the demand."""

_MIN_NOTICE_INTERVAL_MS = 1000.0
_MAX_NAMED = 16
"""Organisations named in a notice, as the length of log values is bounded."""


@dataclass(frozen=True, slots=True)
class OrganisationShare:
    """An organisation in a contended rank, for operators.

    Attributes:
        organisation: Its name.
        demand_slots: Slots that its recent requests would occupy on average.
        share_slots: Slots that it gets if it asks for them.
        is_beyond: Whether it asks for more than its share.
    """

    organisation: str
    demand_slots: float
    share_slots: float
    is_beyond: bool


@dataclass(frozen=True, slots=True)
class RankShares:
    """A contended rank, for operators.

    Attributes:
        tier_rank: The rank.
        organisations: Its organisations, by name.
    """

    tier_rank: int
    organisations: tuple[OrganisationShare, ...]


@dataclass(frozen=True, slots=True)
class ContentionChange:
    """A change of the contended ranks, to be logged.

    Attributes:
        contended: Ranks that are contended now.
        ended: Ranks that ceased to be since the last change.
        beyond: Organisations beyond their share, as ``rank:name``, at most 16.
    """

    contended: tuple[int, ...]
    ended: tuple[int, ...]
    beyond: tuple[str, ...]


class FairShares(Protocol):
    """Classifies the requests of one service by their organisations' shares."""

    def configure(self, weights: Mapping[str, float]) -> None:
        """Set the organisations' weights; others have 1."""

    def is_due(self, now_ms: float) -> bool:
        """Return whether the last division is old enough for another one."""

    def divide(self, slots: int, now_ms: float) -> frozenset[int]:
        """Divide the slots; return the ranks that became or ceased to be contended."""

    def classify(self, waiting: WaitingRequest, now_ms: float) -> Precedence:
        """Count an arriving request and return its precedence."""

    def reclassify(self, waiting: WaitingRequest) -> Precedence:
        """Return the new precedence of a waiting request of a changed rank."""

    def count_running(self, handle: Handle, slot_ms: float, now_ms: float) -> None:
        """Count a request that runs already, with its remaining slot time."""

    def give_back(self, waiting: WaitingRequest) -> None:
        """Return the slot time of a request that is refused or withdrawn."""

    def withdraw(self, request_id: str, now_ms: float) -> None:
        """Remember a withdrawn request, which counts once if it is submitted again."""

    def status(self) -> tuple[RankShares, ...]:
        """Return the contended ranks, for operators."""

    def take_change(self, now_ms: float) -> ContentionChange | None:
        """Return a change to log, at most one in a second."""


def make_fair_shares() -> FairShares:
    """Create the shares of one service."""
    return _MaxMinShares()


@dataclass(slots=True)
class _Account:
    """An organisation's demand and bucket within a rank.

    Attributes:
        demand_ms: Decaying sum of the requested slot time.
        share_slots: Its share, None before the first division of a contended rank.
        level_ms: Slot time in the bucket; may be negative.
    """

    demand_ms: float = 0.0
    share_slots: float | None = None
    level_ms: float = 0.0

    @property
    def demand_slots(self) -> float:
        """The demand as a mean number of slots."""
        return self.demand_ms / _DEMAND_TIME_CONSTANT_MS

    @property
    def is_beyond(self) -> bool:
        """Whether the demand exceeds the share."""
        share_slots = self.share_slots
        return (
            share_slots is not None
            and self.demand_ms > share_slots * _DEMAND_TIME_CONSTANT_MS
        )

    def refill(self, share_slots: float, elapsed_ms: float) -> None:
        """Refill the bucket at the share of the last division and set the new one.

        A new bucket is full, less what was deducted before its first division.
        """
        is_new = self.share_slots is None
        self.level_ms += (self.share_slots or 0.0) * elapsed_ms
        self.share_slots = share_slots
        if is_new:
            self.level_ms += self._capacity_ms()
        self._limit_level()

    def give_back(self, slot_ms: float) -> None:
        """Return deducted slot time."""
        self.level_ms += slot_ms
        self._limit_level()

    def fill(self) -> None:
        """Fill the bucket, as without contention."""
        self.share_slots = None
        self.level_ms = 0.0

    def _limit_level(self) -> None:
        if self.share_slots is not None:
            self.level_ms = min(self.level_ms, self._capacity_ms())

    def _capacity_ms(self) -> float:
        hold_ms = _BEYOND_BUCKET_MS if self.is_beyond else _BUCKET_MS
        return self.share_slots * hold_ms


@dataclass(slots=True)
class _Rank:
    """The organisations of one rank.

    Attributes:
        contended: Whether their demand exceeds what more urgent ranks leave.
        accounts: By organisation.
    """

    contended: bool = False
    accounts: dict[str, _Account] = field(default_factory=dict)

    def find(self, organisation: str) -> _Account:
        """Return an organisation's account, made if it is new."""
        account = self.accounts.get(organisation)
        if account is None:
            account = self.accounts[organisation] = _Account()
        return account

    def decay(self, factor: float) -> float:
        """Let the demand decay; return its sum in slots."""
        total_ms = 0.0
        idle = []
        for name, account in self.accounts.items():
            demand_ms = account.demand_ms = account.demand_ms * factor
            total_ms += demand_ms
            # A negative level is kept: it is what a large request still owes.
            if demand_ms < _NEGLIGIBLE_DEMAND_MS and (
                not self.contended or account.level_ms >= 0
            ):
                idle.append(name)
        for name in idle:
            del self.accounts[name]
        return total_ms / _DEMAND_TIME_CONSTANT_MS

    def refill(
        self, weights: Mapping[str, float], slots: float, elapsed_ms: float
    ) -> None:
        """Divide slots among the organisations and refill their buckets."""
        own = {name: weights.get(name, 1.0) for name in self.accounts}
        slots_per_weight = _water_level(
            [
                (account.demand_slots, own[name])
                for name, account in self.accounts.items()
            ],
            slots,
        )
        for name, account in self.accounts.items():
            account.refill(slots_per_weight * own[name], elapsed_ms)

    def fill(self) -> None:
        """Fill all buckets."""
        for account in self.accounts.values():
            account.fill()


class _MaxMinShares:
    """Max-min fair shares by weight, with one token bucket for each organisation."""

    def __init__(self) -> None:
        self._weights: dict[str, float] = {}
        self._ranks: dict[int, _Rank] = {}
        self._counted = RecentIds(_COUNTED_RETENTION_MS)
        self._divided_ms = -math.inf
        self._noticed: frozenset[int] = frozenset()
        self._noticed_ms = -math.inf

    def configure(self, weights: Mapping[str, float]) -> None:
        self._weights = {
            name: max(_MIN_WEIGHT, weight) for name, weight in weights.items()
        }

    def is_due(self, now_ms: float) -> bool:
        return now_ms - self._divided_ms >= DIVISION_PERIOD_MS

    def divide(self, slots: int, now_ms: float) -> frozenset[int]:
        # Running requests are registered before the first division of a new core.
        is_first = math.isinf(self._divided_ms)
        elapsed_ms = 0.0 if is_first else now_ms - self._divided_ms
        self._divided_ms = now_ms
        factor = math.exp(-elapsed_ms / _DEMAND_TIME_CONSTANT_MS)
        left_slots = float(slots)
        changed = []
        for tier_rank, rank in sorted(self._ranks.items()):
            demand_slots = rank.decay(factor)
            usable_slots = max(left_slots, _MIN_RANK_PART * slots)
            left_slots = max(0.0, left_slots - demand_slots)
            contended = demand_slots > usable_slots > 0 and len(rank.accounts) > 1
            if contended:
                rank.refill(self._weights, _DIVIDED_PART * usable_slots, elapsed_ms)
            elif rank.contended:
                rank.fill()
            if contended is not rank.contended:
                rank.contended = contended
                changed.append(tier_rank)
        return frozenset(changed)

    def classify(self, waiting: WaitingRequest, now_ms: float) -> Precedence:
        handle = waiting.handle
        rank = self._find_rank(handle.tier_rank)
        account = rank.find(handle.organisation)
        self._count(account, handle.request_id, waiting.slot_ms)
        return _precedence(rank, account, waiting)

    def reclassify(self, waiting: WaitingRequest) -> Precedence:
        handle = waiting.handle
        rank = self._find_rank(handle.tier_rank)
        waiting.deducted_ms = 0.0
        return _precedence(rank, rank.find(handle.organisation), waiting)

    def count_running(self, handle: Handle, slot_ms: float, now_ms: float) -> None:
        account = self._find_rank(handle.tier_rank).find(handle.organisation)
        self._count(account, handle.request_id, slot_ms)

    def give_back(self, waiting: WaitingRequest) -> None:
        if waiting.deducted_ms:
            rank = self._find_rank(waiting.handle.tier_rank)
            rank.find(waiting.handle.organisation).give_back(waiting.deducted_ms)
            waiting.deducted_ms = 0.0

    def withdraw(self, request_id: str, now_ms: float) -> None:
        self._counted.add(request_id, now_ms)

    def status(self) -> tuple[RankShares, ...]:
        return tuple(
            RankShares(tier_rank, _organisation_shares(rank.accounts))
            for tier_rank, rank in sorted(self._ranks.items())
            if rank.contended
        )

    def take_change(self, now_ms: float) -> ContentionChange | None:
        contended = frozenset(n for n, rank in self._ranks.items() if rank.contended)
        if contended == self._noticed:
            return None
        if now_ms - self._noticed_ms < _MIN_NOTICE_INTERVAL_MS:
            return None
        ended = self._noticed - contended
        self._noticed, self._noticed_ms = contended, now_ms
        beyond = [
            f"{tier_rank}:{name}"
            for tier_rank in sorted(contended)
            for name, account in sorted(self._ranks[tier_rank].accounts.items())
            if account.is_beyond
        ]
        return ContentionChange(
            tuple(sorted(contended)), tuple(sorted(ended)), tuple(beyond[:_MAX_NAMED])
        )

    def _find_rank(self, tier_rank: int) -> _Rank:
        rank = self._ranks.get(tier_rank)
        if rank is None:
            rank = self._ranks[tier_rank] = _Rank()
        return rank

    def _count(self, account: _Account, request_id: str, slot_ms: float) -> None:
        """Add to the demand, unless the request was counted before a withdrawal."""
        if self._counted.pop(request_id) is None:
            account.demand_ms += slot_ms


def _precedence(rank: _Rank, account: _Account, waiting: WaitingRequest) -> Precedence:
    """Classify a request and deduct its slot time if it is within the share."""
    waiting.share_slots = (account.share_slots or 0.0) if rank.contended else 0.0
    precedence = min(waiting.precedence, Precedence.WITHIN_SHARE)
    if not rank.contended:
        return precedence
    is_reserved = precedence is Precedence.RESERVED
    is_within = account.share_slots is None or account.level_ms > 0
    if not is_within and not is_reserved and _may_be_beyond(waiting.handle):
        return Precedence.BEYOND_SHARE
    account.level_ms -= waiting.slot_ms
    waiting.deducted_ms = waiting.slot_ms
    return precedence


def _may_be_beyond(handle: Handle) -> bool:
    """Return whether a request may be delayed because of its organisation's share.

    Retries and answers that have begun (they have no objective) may not: their callers
    hold a part of an answer, or have been charged already.
    """
    return handle.attempt == 0 and handle.objective_ms > 0


def _water_level(demands: Sequence[tuple[float, float]], slots: float) -> float:
    """Return the slots per weight of a max-min fair division.

    It applies to all organisations. One that asks for less leaves the rest to others;
    if its demand were its share, random variations would take it beyond.

    Args:
        demands: Demand in slots and weight of each organisation.
        slots: Slots to divide.
    """
    left_weight = sum(weight for _, weight in demands)
    left_slots = slots
    level = 0.0
    for demand, weight in sorted(demands, key=_demand_per_weight):
        level = left_slots / left_weight
        if demand > level * weight:
            return level
        left_slots -= demand
        left_weight -= weight
    return level


def _demand_per_weight(demand: tuple[float, float]) -> float:
    return demand[0] / demand[1]


def _organisation_shares(
    accounts: Mapping[str, _Account],
) -> tuple[OrganisationShare, ...]:
    return tuple(
        OrganisationShare(
            name, account.demand_slots, account.share_slots or 0.0, account.is_beyond
        )
        for name, account in sorted(accounts.items())
    )


def in_due_order(requests: Iterable[WaitingRequest]) -> list[WaitingRequest]:
    """Return requests by the time at which they are due."""
    return sorted(requests, key=_due_ms)


def _due_ms(waiting: WaitingRequest) -> float:
    return waiting.objective_at_ms
