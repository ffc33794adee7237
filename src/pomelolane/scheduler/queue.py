"""Queue of one service's waiting requests.

Tiers have strict priority. Inside a tier, start-time fair queueing shares tokens
by weight, first between teams and then between the organisations of a team. The
requests of one organisation are ordered by deadline.
"""

from __future__ import annotations

import heapq
from collections import OrderedDict
from dataclasses import dataclass, field
from itertools import count
from typing import TYPE_CHECKING

from pomelolane.scheduler.waiting import Backlog, WaitingRequest

if TYPE_CHECKING:
    from collections.abc import Generator, Iterator

    from pomelolane.messages import Handle

_MAX_TRIES_PER_ORGANISATION = 2
_SMALLEST_WEIGHT = 1e-3


@dataclass(slots=True, eq=False)
class _Share:
    """Virtual time of a team or an organisation in weighted fair queueing.

    Attributes:
        weight: Its weight among its siblings.
        virtual_time: Tokens charged so far, divided by the weight.
        min_virtual_time: Lower bound for children that become active.
        correction: Tokens to add to the next charge.
        in_heap: Whether the parent's heap holds it.
    """

    weight: float = 1.0
    virtual_time: float = 0.0
    min_virtual_time: float = 0.0
    correction: float = 0.0
    in_heap: bool = False

    def charge(self, tokens: float) -> None:
        self.virtual_time += max(0.0, tokens + self.correction) / self.weight
        self.correction = min(0.0, tokens + self.correction)


@dataclass(slots=True, eq=False)
class _Organisation(_Share):
    """Waiting requests of one organisation in one tier."""

    team: _Team = None  # type: ignore[assignment]
    by_deadline: list[tuple[float, int, WaitingRequest]] = field(default_factory=list)
    by_arrival: OrderedDict[str, WaitingRequest] = field(default_factory=OrderedDict)
    name: str = ""
    prefill_tokens: int = 0
    decode_tokens: int = 0
    latest_deadline_ms: float = 0.0

    def head(self) -> WaitingRequest | None:
        """Return the request with the nearest deadline."""
        heap = self.by_deadline
        while heap and not _is_current_entry(heap[0]):
            heapq.heappop(heap)
        return heap[0][2] if heap else None


@dataclass(slots=True, eq=False)
class _Team(_Share):
    """Organisations of one team in one tier, ordered by virtual time."""

    organisations: dict[str, _Organisation] = field(default_factory=dict)
    heap: list[tuple[float, int, _Organisation]] = field(default_factory=list)


@dataclass(slots=True, eq=False)
class _Tier:
    """Teams of one tier, ordered by virtual time, and sums of its waiting work."""

    min_virtual_time: float = 0.0
    teams: dict[str, _Team] = field(default_factory=dict)
    heap: list[tuple[float, int, _Team]] = field(default_factory=list)
    by_arrival: OrderedDict[str, WaitingRequest] = field(default_factory=OrderedDict)
    prefill_tokens: int = 0
    decode_tokens: int = 0
    deferred: int = 0


class FairQueue:
    """Orders by tier, team, organisation and deadline, at O(log n) per operation.

    Args:
        fair_shares: Whether teams and organisations share by weight; otherwise
            all requests of a tier are ordered by deadline.
    """

    def __init__(self, *, fair_shares: bool = True) -> None:
        self._fair_shares = fair_shares
        self._tiers: dict[int, _Tier] = {}
        self._ranks: list[int] = []
        self._sequence = count()
        self._team_weights: dict[str, float] = {}
        self._organisation_weights: dict[str, float] = {}
        self._parked: set[str] = set()
        self._length = 0

    def __len__(self) -> int:
        return self._length

    def set_weights(
        self, teams: dict[str, float], organisations: dict[str, float]
    ) -> None:
        """Apply the weights of a settings tree."""
        self._team_weights = teams
        self._organisation_weights = organisations
        for tier in self._tiers.values():
            for name, team in tier.teams.items():
                team.weight = _positive(teams.get(name, 1.0))
                for key, organisation in team.organisations.items():
                    organisation.weight = _positive(organisations.get(key, 1.0))

    def push(self, waiting: WaitingRequest) -> None:
        """Add a request."""
        handle = waiting.handle
        tier = self._tier(handle.tier_rank)
        organisation = self._organisation(tier, handle)
        entry = (waiting.order_ms, next(self._sequence), waiting)
        heapq.heappush(organisation.by_deadline, entry)
        organisation.by_arrival[handle.request_id] = waiting
        tier.by_arrival[handle.request_id] = waiting
        for counts in (tier, organisation):
            counts.prefill_tokens += handle.prefill_tokens
            counts.decode_tokens += waiting.decode_tokens
        organisation.latest_deadline_ms = max(
            organisation.latest_deadline_ms, waiting.deadline_ms
        )
        self._length += 1
        self._activate(tier, organisation)

    def remove(self, waiting: WaitingRequest) -> None:
        """Remove a request without charging its organisation."""
        if not waiting.queued:
            return
        waiting.queued = False
        handle = waiting.handle
        tier = self._tiers[handle.tier_rank]
        organisation = self._organisation(tier, handle)
        del organisation.by_arrival[handle.request_id]
        del tier.by_arrival[handle.request_id]
        self._length -= 1
        if waiting.deferred:
            tier.deferred -= 1
        else:
            _subtract_tokens(waiting, tier, organisation)

    def take(self, waiting: WaitingRequest) -> None:
        """Remove a granted request and charge its team and organisation."""
        self.remove(waiting)
        if not self._fair_shares:
            return
        tier = self._tiers[waiting.handle.tier_rank]
        organisation = self._organisation(tier, waiting.handle)
        team = organisation.team
        tier.min_virtual_time = max(tier.min_virtual_time, team.virtual_time)
        team.min_virtual_time = max(team.min_virtual_time, organisation.virtual_time)
        organisation.charge(waiting.cost_tokens)
        team.charge(waiting.cost_tokens)

    def defer(self, waiting: WaitingRequest) -> None:
        """Order a request after all others of its organisation."""
        if waiting.deferred or not waiting.queued:
            return
        tier = self._tiers[waiting.handle.tier_rank]
        organisation = self._organisation(tier, waiting.handle)
        _subtract_tokens(waiting, tier, organisation)
        waiting.deferred = True
        tier.deferred += 1
        entry = (waiting.order_ms, next(self._sequence), waiting)
        heapq.heappush(organisation.by_deadline, entry)

    def all_deferred(self, rank: int) -> bool:
        """Return whether every waiting request of a tier is deferred."""
        return self._tiers[rank].deferred == len(self._tiers[rank].by_arrival)

    def has_deferred(self, rank: int) -> bool:
        """Return whether any waiting request of a tier is deferred."""
        return self._tiers[rank].deferred > 0

    def correct(self, handle: Handle, tokens: float) -> None:
        """Adjust the charge of an organisation and its team; negative tokens refund."""
        tier = self._tier(handle.tier_rank)
        organisation = self._organisation(tier, handle)
        organisation.correction += tokens
        organisation.team.correction += tokens

    def park(self, organisation: str) -> None:
        """Skip an organisation until `unpark` is called."""
        self._parked.add(organisation)

    def unpark(self, organisation: str) -> None:
        """Stop skipping an organisation."""
        if organisation not in self._parked:
            return
        self._parked.discard(organisation)
        for tier in self._tiers.values():
            for team in tier.teams.values():
                found = team.organisations.get(organisation)
                if found is not None and found.by_arrival:
                    self._activate(tier, found)

    def ranks(self) -> list[int]:
        """Return the ranks of tiers with waiting requests, highest tier first."""
        return [rank for rank in self._ranks if self._tiers[rank].by_arrival]

    def scan(self, rank: int) -> Generator[WaitingRequest, None, None]:
        """Yield candidates of a tier in the order in which they should be granted.

        The caller may take or remove the request just yielded. Requests that it
        skips keep their position.
        """
        tier = self._tiers[rank]
        skipped: list[_Organisation] = []
        try:
            while (organisation := self._pop_first(tier)) is not None:
                skipped.append(organisation)
                yield from _candidates(organisation)
        finally:
            for organisation in skipped:
                self._push_active(tier, organisation)

    def newest(self, rank: int) -> WaitingRequest | None:
        """Return the request of a tier that arrived last."""
        tier = self._tiers.get(rank)
        if tier is None or not tier.by_arrival:
            return None
        return tier.by_arrival[next(reversed(tier.by_arrival))]

    def newest_over_share(self, handle: Handle) -> WaitingRequest | None:
        """Return the newest request of the organisation furthest over its share.

        Only organisations count that have more waiting requests per weight than
        the requesting one would have with one more.
        """
        tier = self._tier(handle.tier_rank)
        requester = self._organisation(tier, handle)
        most = (len(requester.by_arrival) + 1) / requester.weight
        found = None
        for team in tier.teams.values():
            for organisation in team.organisations.values():
                load = len(organisation.by_arrival) / organisation.weight
                if load > most:
                    most, found = load, organisation
        if found is None:
            return None
        return found.by_arrival[next(reversed(found.by_arrival))]

    def backlog(self, rank: int) -> Backlog:
        """Return the work that waits in a tier and the tiers above it."""
        tiers = [self._tiers[other] for other in self._ranks if other <= rank]
        return Backlog(
            sum(len(tier.by_arrival) for tier in tiers),
            sum(tier.prefill_tokens for tier in tiers),
            sum(tier.decode_tokens for tier in tiers),
        )

    def backlog_ahead(self, handle: Handle, deadline_ms: float) -> Backlog:
        """Estimate the work that would be granted before a new request.

        That is all work of higher tiers, the requests of its own organisation
        with an earlier deadline, and what other organisations of its tier are
        granted meanwhile by their shares.
        """
        tier = self._tier(handle.tier_rank)
        organisation = self._organisation(tier, handle)
        above = self.backlog(handle.tier_rank - 1)
        part = _part_due_earlier(organisation, deadline_ms) / _share_of_tier(
            tier, organisation
        )
        return Backlog(
            above.requests
            + min(len(tier.by_arrival), part * len(organisation.by_arrival)),
            above.prefill_tokens
            + min(tier.prefill_tokens, part * organisation.prefill_tokens),
            above.decode_tokens
            + min(tier.decode_tokens, part * organisation.decode_tokens),
        )

    def lowest_rank(self) -> int:
        """Return the rank of the lowest tier with waiting requests, or -1."""
        return max(self.ranks(), default=-1)

    def _pop_first(self, tier: _Tier) -> _Organisation | None:
        while tier.heap:
            virtual_time, sequence, team = tier.heap[0]
            if virtual_time != team.virtual_time:
                heapq.heapreplace(tier.heap, (team.virtual_time, sequence, team))
                continue
            organisation = self._pop_first_of_team(team)
            if organisation is not None:
                return organisation
            heapq.heappop(tier.heap)
            team.in_heap = False
        return None

    def _pop_first_of_team(self, team: _Team) -> _Organisation | None:
        while team.heap:
            _, _, organisation = heapq.heappop(team.heap)
            organisation.in_heap = False
            if organisation.by_arrival and organisation.name not in self._parked:
                return organisation
        return None

    def _activate(self, tier: _Tier, organisation: _Organisation) -> None:
        """Put an organisation that had nothing waiting into the heaps."""
        if organisation.in_heap or organisation.name in self._parked:
            return
        team = organisation.team
        if not team.in_heap:
            team.virtual_time = max(team.virtual_time, tier.min_virtual_time)
        organisation.virtual_time = max(
            organisation.virtual_time, team.min_virtual_time
        )
        self._push_active(tier, organisation)

    def _push_active(self, tier: _Tier, organisation: _Organisation) -> None:
        if organisation.in_heap or not organisation.by_arrival:
            return
        if organisation.name in self._parked:
            return
        team = organisation.team
        organisation.in_heap = True
        entry = (organisation.virtual_time, next(self._sequence), organisation)
        heapq.heappush(team.heap, entry)
        if not team.in_heap:
            team.in_heap = True
            heapq.heappush(tier.heap, (team.virtual_time, next(self._sequence), team))

    def _tier(self, rank: int) -> _Tier:
        tier = self._tiers.get(rank)
        if tier is None:
            tier = self._tiers[rank] = _Tier()
            self._ranks = sorted(self._tiers)
        return tier

    def _organisation(self, tier: _Tier, handle: Handle) -> _Organisation:
        team_name = handle.team if self._fair_shares else ""
        name = handle.organisation if self._fair_shares else ""
        team = tier.teams.get(team_name)
        if team is None:
            weight = _positive(self._team_weights.get(team_name, 1.0))
            team = tier.teams[team_name] = _Team(weight=weight)
        organisation = team.organisations.get(name)
        if organisation is None:
            weight = _positive(self._organisation_weights.get(name, 1.0))
            organisation = _Organisation(weight=weight, team=team, name=name)
            team.organisations[name] = organisation
        return organisation


def _is_current_entry(entry: tuple[float, int, WaitingRequest]) -> bool:
    """Return whether a heap entry is the current one of a queued request."""
    return entry[2].queued and entry[0] == entry[2].order_ms


def _candidates(organisation: _Organisation) -> Iterator[WaitingRequest]:
    """Yield the first requests by deadline, then the newest one.

    The newest usually has most time left, so it may fit an endpoint that is too
    slow for the others.
    """
    passed: list[tuple[float, int, WaitingRequest]] = []
    try:
        while len(passed) < _MAX_TRIES_PER_ORGANISATION:
            head = organisation.head()
            if head is None:
                return
            yield head
            if head.queued:
                passed.append(heapq.heappop(organisation.by_deadline))
        last = organisation.by_arrival[next(reversed(organisation.by_arrival))]
        if all(last is not entry[2] for entry in passed):
            yield last
    finally:
        for entry in passed:
            heapq.heappush(organisation.by_deadline, entry)


def _subtract_tokens(
    waiting: WaitingRequest, tier: _Tier, organisation: _Organisation
) -> None:
    """Subtract a request's tokens from the sums of waiting work."""
    for counts in (tier, organisation):
        counts.prefill_tokens -= waiting.handle.prefill_tokens
        counts.decode_tokens -= waiting.decode_tokens


def _positive(weight: float) -> float:
    return weight if weight > 0 else _SMALLEST_WEIGHT


def _share_of_tier(tier: _Tier, organisation: _Organisation) -> float:
    """Return an organisation's share of its tier among those with waiting requests."""
    team = organisation.team
    active = [o for o in team.organisations.values() if o.by_arrival]
    teams = [
        other
        for other in tier.teams.values()
        if other is team or any(o.by_arrival for o in other.organisations.values())
    ]
    own = organisation.weight / max(
        organisation.weight, sum(other.weight for other in active)
    )
    return own * team.weight / sum(other.weight for other in teams)


def _part_due_earlier(organisation: _Organisation, deadline_ms: float) -> float:
    """Estimate the fraction of an organisation's queue with an earlier deadline."""
    head = organisation.head()
    if head is None or deadline_ms <= head.deadline_ms:
        return 0.0
    spread_ms = organisation.latest_deadline_ms - head.deadline_ms
    if spread_ms <= 0:
        return 1.0
    return min(1.0, (deadline_ms - head.deadline_ms) / spread_ms)
