"""Pacing of organisations' limits: token buckets and the queues that wait for them.

A request that finds too few tokens waits for a short time in its organisation's queue,
ordered by rank and due time. Requests that cannot have their turn in time are refused
with the time of their turn. No I/O; time is passed in.
"""

from __future__ import annotations

from bisect import bisect_left, insort
from dataclasses import dataclass
from enum import Enum
from itertools import count
from math import inf
from typing import TYPE_CHECKING, Any, NamedTuple, Protocol

from pomelolane.outcomes import Outcome, Reason, Refusal
from pomelolane.scheduler.paced_demand import KeptLevels, PassRates, Promises
from pomelolane.scheduler.replayed_bucket import ReplayedBucket

if TYPE_CHECKING:
    from collections.abc import Callable, Collection

    from pomelolane.messages import Handle
    from pomelolane.model import Limits
    from pomelolane.scheduler.rate_limiting import TokenUse

_MIN_RETRY_MS = 10

_CALLER_WAIT_SHARE = 1 / 3
"""Part of its time left that a caller waits for its retry time.

Tokens are promised only to callers that can return; otherwise the promises of a long
overload add up without bound.
"""


class Pace(Enum):
    """What an arriving request does, unless it is refused.

    Attributes:
        PASSES: It goes on; it finds enough tokens, or it is not paced.
        WAITS: It waits in its organisation's queue.
    """

    PASSES = "passes"
    WAITS = "waits"


@dataclass(frozen=True, slots=True)
class PacedRequest:
    """A request that arrives at the pacer.

    Attributes:
        handle: The request.
        due_ms: When the first byte of its answer is due.
        latest_ms: When it is refused if its turn has not come.
        longest_wait_ms: Longest wait, from when it was received; 0 if it may not wait.
        item: What the caller wants back when the turn comes.
    """

    handle: Handle
    due_ms: float
    latest_ms: float
    longest_wait_ms: float
    item: Any = None

    @property
    def tokens(self) -> int:
        """Tokens that are charged."""
        return self.handle.charge_tokens

    def left_ms(self, now_ms: float) -> float:
        """Return how long it may still wait."""
        return max(0.0, self.latest_ms - now_ms) if self.longest_wait_ms > 0 else 0.0


@dataclass(frozen=True, slots=True)
class PacedLimit:
    """Status of one organisation's pacing, for operators.

    Attributes:
        organisation: Name of the organisation.
        level_tokens: Tokens in the bucket; negative after a large request.
        tokens_per_s: Rate of the limit.
        burst_tokens: Capacity of the bucket.
        waiting: Number of requests that wait for the rate.
        waiting_tokens: Sum of their tokens.
    """

    organisation: str
    level_tokens: float
    tokens_per_s: float
    burst_tokens: float
    waiting: int
    waiting_tokens: int


class LimitPacer(Protocol):
    """Paces the requests of all organisations that have a rate, burst and window."""

    def configure(
        self, organisation: str, limits: Limits, share: float, now_ms: float
    ) -> None:
        """Apply a limit, of which a share may be used; its level keeps its part."""

    def is_paced(self, organisation: str) -> bool:
        """Return whether an organisation's requests are paced."""

    def offer(
        self, request: PacedRequest, window_wait_ms: float, now_ms: float
    ) -> Pace | Refusal:
        """Decide on an arriving request; one that waits is queued here.

        Args:
            request: The request.
            window_wait_ms: How long until the sliding window has room for it.
            now_ms: Current time.
        """

    def next_released(
        self, has_room: Callable[[Handle], bool], now_ms: float
    ) -> PacedRequest | None:
        """Remove and return a request whose turn has come, None if there is none.

        Args:
            has_room: Returns whether the sliding window has room for a request.
            now_ms: Current time.
        """

    def expire(self, now_ms: float) -> list[tuple[PacedRequest, Refusal]]:
        """Remove and return the requests whose time to wait has ended."""

    def remove(self, request_id: str) -> PacedRequest | None:
        """Remove and return a waiting request, None if it does not wait here."""

    def __contains__(self, request_id: str) -> bool:
        """Return whether a request waits here."""

    def record_pass(self, handle: Handle, now_ms: float) -> None:
        """Deduct the tokens of a request that passes."""

    def refund(self, handle: Handle) -> None:
        """Return the tokens of a request that was not run."""

    def add_reported(
        self, use: TokenUse, source: tuple[str, str], at_ms: float
    ) -> None:
        """Deduct tokens used at another scheduler according to their age."""

    def drop_reported(self, source: tuple[str, str] | None, now_ms: float) -> None:
        """Remove the recent uses of a source, of all sources without one."""

    def status(
        self, now_ms: float, beside_waiting: Collection[str] | None = None
    ) -> tuple[PacedLimit, ...]:
        """Return the status of paced organisations.

        Args:
            now_ms: Current time.
            beside_waiting: Organisations to include beside those whose requests wait;
                None for all.
        """


class _Waiting(NamedTuple):
    """A queue entry; the sequence number orders equal ones by arrival."""

    rank: int
    due_ms: float
    sequence: int
    request: PacedRequest


class _PacedOrganisation:
    """Bucket and queue of one organisation."""

    def __init__(self) -> None:
        self.bucket = ReplayedBucket()
        self.queue: list[_Waiting] = []
        self.queued_tokens = 0
        self.applied: tuple[Limits, float] | None = None
        self._promises = Promises()
        self._kept_levels = KeptLevels()
        self._pass_rates = PassRates()

    def has_plenty(self, tokens: int, now_ms: float) -> bool:
        """Return whether a request passes without regard to others, the usual case."""
        if self.queue or self._kept_levels.is_over_limit(now_ms):
            return False
        return self.bucket.level(now_ms) >= min(tokens, self.bucket.burst_tokens)

    def offer(
        self, waiting: _Waiting, window_wait_ms: float, now_ms: float
    ) -> Pace | Refusal:
        request = waiting.request
        spare = self.bucket.level(now_ms)
        ahead = bisect_left(self.queue, waiting) if self.queue else 0
        if ahead:
            spare -= self._tokens_ahead(ahead)
        to_pass = self._level_to_pass(request)
        left_ms = request.left_ms(now_ms)
        room = left_ms * self._rate_for(waiting.rank, now_ms)
        kept = self._kept(waiting.rank, request, now_ms)
        more_urgent = max(0.0, self._kept_levels.highest(waiting.rank, now_ms))
        after_urgent = min(request.tokens + more_urgent, self.bucket.burst_tokens)
        target = max(after_urgent, kept)
        if not ahead and spare >= target and window_wait_ms <= 0:
            return Pace.PASSES
        may_wait = left_ms > 0 and window_wait_ms <= left_ms
        if may_wait and spare >= max(kept, after_urgent - room):
            self._enqueue(waiting)
            return Pace.WAITS
        most_room = left_ms * self.bucket.tokens_per_ms
        if request.longest_wait_ms > 0 and spare < to_pass - most_room:
            self._kept_levels.record_refusal(now_ms)
        return self._refusal(request, target - spare, now_ms, window_wait_ms)

    def count_demand(self, tokens: int, now_ms: float) -> None:
        bucket = self.bucket
        self._kept_levels.count_demand(
            tokens, bucket.tokens_per_ms, bucket.burst_tokens, now_ms
        )

    def _kept(self, rank: int, request: PacedRequest, now_ms: float) -> float:
        """Return the level that a request leaves to larger or more urgent ones."""
        longest_ms = request.longest_wait_ms
        if longest_ms <= 0:
            return -inf
        to_pass = self._level_to_pass(request)
        # One that can hardly wait would make others leave the whole burst.
        if longest_ms * self.bucket.tokens_per_ms >= to_pass:
            # As for one that has just been received: what is submitted again has less
            # time left, and would make others leave more.
            level = to_pass - longest_ms * self._rate_for(rank, now_ms)
            self._kept_levels.add(rank, level, now_ms)
        return self._kept_levels.highest(rank + 1, now_ms)

    def _enqueue(self, waiting: _Waiting) -> None:
        insort(self.queue, waiting)
        self.queued_tokens += waiting.request.tokens

    def remove(self, waiting: _Waiting) -> None:
        """Remove a queue entry."""
        del self.queue[bisect_left(self.queue, waiting)]
        self.queued_tokens -= waiting.request.tokens

    def _tokens_ahead(self, ahead: int) -> int:
        """Return the tokens of the first entries; walks the shorter part."""
        if 2 * ahead <= len(self.queue):
            return sum(one.request.tokens for one in self.queue[:ahead])
        return self.queued_tokens - sum(
            one.request.tokens for one in self.queue[ahead:]
        )

    def _refusal(
        self,
        request: PacedRequest,
        missing: float,
        now_ms: float,
        window_wait_ms: float = 0.0,
    ) -> Refusal:
        """Refuse a request with the time at which the rate admits it.

        No tokens are promised for that time if the window admits the request later.
        """
        missing = max(0.0, missing) + self._promises.total(now_ms)
        retry_ms = max(_MIN_RETRY_MS, int(missing / self.bucket.tokens_per_ms) + 1)
        longest_ms = request.handle.budget_ms * _CALLER_WAIT_SHARE
        if window_wait_ms <= retry_ms <= longest_ms:
            self._promises.add(request.tokens, now_ms + retry_ms)
        return Refusal(Outcome.NOT_RUN, Reason.TOKEN_LIMIT, retry_ms)

    def _level_to_pass(self, request: PacedRequest) -> float:
        """Return the level at which a request passes if none goes before it."""
        return min(request.tokens, self.bucket.burst_tokens)

    def _rate_for(self, rank: int, now_ms: float) -> float:
        """Return the rate that more urgent ranks leave."""
        if not self._kept_levels.is_over_limit(now_ms):
            return self.bucket.tokens_per_ms
        more_urgent = self._pass_rates.more_urgent(rank, now_ms)
        return max(0.0, self.bucket.tokens_per_ms - more_urgent)

    def record_pass(self, handle: Handle, now_ms: float) -> None:
        self.bucket.record_pass(handle.request_id, handle.charge_tokens, now_ms)
        self._pass_rates.add(handle.tier_rank, handle.charge_tokens, now_ms)

    def next_released(self, now_ms: float) -> PacedRequest | None:
        """Return the first request if its turn came before its time ended.

        Requests whose time ended before are passed over; they expire.
        """
        for one in self.queue:
            request = one.request
            level = self.bucket.level(min(now_ms, request.latest_ms))
            if level >= self._level_to_pass(request):
                return request
            if now_ms <= request.latest_ms:
                break
        return None

    def expire(self, now_ms: float) -> list[tuple[PacedRequest, Refusal]]:
        expired = []
        remaining: list[_Waiting] = []
        ahead = 0
        level = self.bucket.level(now_ms)
        for one in self.queue:
            request = one.request
            if now_ms < request.latest_ms:
                remaining.append(one)
                ahead += request.tokens
                continue
            missing = ahead + self._level_to_pass(request) - level
            expired.append((request, self._refusal(request, missing, now_ms)))
        self.queue = remaining
        self.queued_tokens = ahead
        return expired

    def status(self, name: str, now_ms: float) -> PacedLimit:
        bucket = self.bucket
        return PacedLimit(
            organisation=name,
            level_tokens=round(bucket.level(now_ms), 1),
            tokens_per_s=bucket.tokens_per_ms * 1000.0,
            burst_tokens=bucket.burst_tokens,
            waiting=len(self.queue),
            waiting_tokens=self.queued_tokens,
        )


class _BucketPacer:
    """The pacer, with one bucket and one queue for each organisation."""

    def __init__(self) -> None:
        self._organisations: dict[str, _PacedOrganisation] = {}
        self._waiting: dict[str, _Waiting] = {}
        # Waiting requests of organisations whose limit was removed.
        self._unlimited: list[_Waiting] = []
        # Organisations with a queue, in the order in which they began to wait.
        self._queued: dict[str, _PacedOrganisation] = {}
        self._sequence = count()

    def configure(
        self, organisation: str, limits: Limits, share: float, now_ms: float
    ) -> None:
        if min(limits.tokens_per_s, limits.burst_tokens, limits.window_ms) <= 0:
            paced = self._organisations.pop(organisation, None)
            if paced is not None:
                self._unlimited.extend(paced.queue)
                self._queued.pop(organisation, None)
            return
        paced = self._organisations.setdefault(organisation, _PacedOrganisation())
        if paced.applied != (limits, share):
            paced.applied = limits, share
            paced.bucket.configure(limits, share, now_ms)

    def is_paced(self, organisation: str) -> bool:
        return organisation in self._organisations

    def offer(
        self, request: PacedRequest, window_wait_ms: float, now_ms: float
    ) -> Pace | Refusal:
        handle = request.handle
        paced = self._organisations.get(handle.organisation)
        if paced is None or request.tokens <= 0:
            return Pace.PASSES
        paced.count_demand(request.tokens, now_ms)
        if window_wait_ms <= 0 and paced.has_plenty(request.tokens, now_ms):
            return Pace.PASSES
        sequence = next(self._sequence)
        waiting = _Waiting(handle.tier_rank, request.due_ms, sequence, request)
        result = paced.offer(waiting, window_wait_ms, now_ms)
        if result is Pace.WAITS:
            self._waiting[handle.request_id] = waiting
            self._queued[handle.organisation] = paced
        return result

    def next_released(
        self, has_room: Callable[[Handle], bool], now_ms: float
    ) -> PacedRequest | None:
        if not self._waiting:
            return None
        if self._unlimited:
            return self.remove(self._unlimited[0].request.handle.request_id)
        for paced in self._queued.values():
            request = paced.next_released(now_ms)
            if request is not None and has_room(request.handle):
                return self.remove(request.handle.request_id)
        return None

    def expire(self, now_ms: float) -> list[tuple[PacedRequest, Refusal]]:
        if not self._waiting:
            return []
        expired = []
        for paced in self._queued.values():
            expired.extend(paced.expire(now_ms))
        for request, _ in expired:
            del self._waiting[request.handle.request_id]
        self._queued = {name: one for name, one in self._queued.items() if one.queue}
        return expired

    def remove(self, request_id: str) -> PacedRequest | None:
        waiting = self._waiting.pop(request_id, None)
        if waiting is None:
            return None
        organisation = waiting.request.handle.organisation
        paced = self._queued.get(organisation)
        if waiting in self._unlimited:
            self._unlimited.remove(waiting)
        elif paced is not None:
            paced.remove(waiting)
            if not paced.queue:
                del self._queued[organisation]
        return waiting.request

    def __contains__(self, request_id: str) -> bool:
        return request_id in self._waiting

    def record_pass(self, handle: Handle, now_ms: float) -> None:
        paced = self._organisations.get(handle.organisation)
        if paced is not None:
            paced.record_pass(handle, now_ms)

    def refund(self, handle: Handle) -> None:
        paced = self._organisations.get(handle.organisation)
        if paced is not None:
            paced.bucket.refund(handle.request_id)

    def add_reported(
        self, use: TokenUse, source: tuple[str, str], at_ms: float
    ) -> None:
        paced = self._organisations.get(use.organisation)
        if paced is not None:
            paced.bucket.add_reported(use, source, at_ms)

    def drop_reported(self, source: tuple[str, str] | None, now_ms: float) -> None:
        for paced in self._organisations.values():
            paced.bucket.drop_reported(source, now_ms)

    def status(
        self, now_ms: float, beside_waiting: Collection[str] | None = None
    ) -> tuple[PacedLimit, ...]:
        chosen = self._organisations
        if beside_waiting is not None:
            names = [name for name in beside_waiting if name in chosen]
            chosen = self._queued | {name: chosen[name] for name in names}
        return tuple(paced.status(name, now_ms) for name, paced in chosen.items())


def make_limit_pacer() -> LimitPacer:
    """Create a pacer without limits."""
    return _BucketPacer()
