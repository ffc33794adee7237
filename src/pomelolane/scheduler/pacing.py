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
from pomelolane.scheduler.paced_demand import NeededLevels, PassRates, Promises
from pomelolane.scheduler.replayed_bucket import ReplayedBucket

if TYPE_CHECKING:
    from collections.abc import Callable

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
        wait_ms: Longest wait, from when it was received; 0 if it may not wait.
        item: What the caller wants back when the turn comes.
    """

    handle: Handle
    due_ms: float
    latest_ms: float
    wait_ms: float
    item: Any = None

    @property
    def tokens(self) -> int:
        """Tokens that are charged."""
        return self.handle.charge_tokens

    def left_ms(self, now_ms: float) -> float:
        """Return how long it may still wait."""
        return max(0.0, self.latest_ms - now_ms) if self.wait_ms > 0 else 0.0


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
        """Decide on an arriving request; one that waits is kept here.

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

    def status(self, now_ms: float) -> tuple[PacedLimit, ...]:
        """Return the status of each paced organisation."""


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
        self.applied: tuple[Limits, float] | None = None
        self._promises = Promises()
        self._needs = NeededLevels()
        self._pass_rates = PassRates()

    def has_plenty(self, tokens: int, now_ms: float) -> bool:
        """Return whether a request passes without regard to others, the usual case."""
        if self.queue or self._needs.is_over_limit(now_ms):
            return False
        return self.bucket.level(now_ms) >= min(tokens, self.bucket.burst_tokens)

    def offer(
        self, waiting: _Waiting, window_wait_ms: float, now_ms: float
    ) -> Pace | Refusal:
        request = waiting.request
        level = spare = self.bucket.level(now_ms)
        ahead = bisect_left(self.queue, waiting) if self.queue else 0
        if ahead:
            spare -= sum(one.request.tokens for one in self.queue[:ahead])
        needed = self._needed(request, now_ms)
        rate = self._rate_for(waiting.rank, now_ms)
        room = request.left_ms(now_ms) * rate
        kept = -inf
        if request.wait_ms > 0:
            # As for one that has just been received: what is submitted again has less
            # time left, and would make others leave more.
            self._needs.add(waiting.rank, needed - request.wait_ms * rate, now_ms)
            kept = self._needs.highest(waiting.rank + 1, now_ms)
        if spare >= kept:
            if not ahead and level >= needed and window_wait_ms <= 0:
                return Pace.PASSES
            if request.left_ms(now_ms) > 0 and spare >= needed - room:
                insort(self.queue, waiting)
                return Pace.WAITS
        if request.wait_ms > 0:
            self._needs.record_refusal(now_ms)
        return self._refusal(request, max(needed, kept) - spare, now_ms)

    def _refusal(self, request: PacedRequest, missing: float, now_ms: float) -> Refusal:
        """Refuse a request with the time at which the rate admits it."""
        missing = max(0.0, missing) + self._promises.total(now_ms)
        retry_ms = max(_MIN_RETRY_MS, int(missing / self.bucket.tokens_per_ms) + 1)
        if retry_ms <= request.handle.budget_ms * _CALLER_WAIT_SHARE:
            self._promises.add(request.tokens, now_ms + retry_ms)
        return Refusal(Outcome.NOT_RUN, Reason.TOKEN_LIMIT, retry_ms)

    def _needed(self, request: PacedRequest, now_ms: float) -> float:
        """Return the level at which a request passes."""
        kept = self._needs.highest(request.handle.tier_rank, now_ms)
        return min(request.tokens + max(0.0, kept), self.bucket.burst_tokens)

    def _rate_for(self, rank: int, now_ms: float) -> float:
        """Return the rate that more urgent ranks leave."""
        if not self._needs.is_over_limit(now_ms):
            return self.bucket.tokens_per_ms
        more_urgent = self._pass_rates.more_urgent(rank, now_ms)
        return max(0.0, self.bucket.tokens_per_ms - more_urgent)

    def record_pass(self, handle: Handle, now_ms: float) -> None:
        self.bucket.record_pass(handle.request_id, handle.charge_tokens, now_ms)
        self._pass_rates.add(handle.tier_rank, handle.charge_tokens, now_ms)

    def next_released(self, now_ms: float) -> PacedRequest | None:
        """Return the head of the queue if there are enough tokens for it."""
        if not self.queue:
            return None
        request = self.queue[0].request
        has_tokens = self.bucket.level(now_ms) >= self._needed(request, now_ms)
        return request if has_tokens else None

    def expire(self, now_ms: float) -> list[tuple[PacedRequest, Refusal]]:
        expired = []
        kept: list[_Waiting] = []
        ahead = 0
        for one in self.queue:
            request = one.request
            if now_ms < request.latest_ms:
                kept.append(one)
                ahead += request.tokens
                continue
            missing = ahead + self._needed(request, now_ms) - self.bucket.level(now_ms)
            expired.append((request, self._refusal(request, missing, now_ms)))
        self.queue = kept
        return expired

    def status(self, name: str, now_ms: float) -> PacedLimit:
        bucket = self.bucket
        return PacedLimit(
            organisation=name,
            level_tokens=round(bucket.level(now_ms), 1),
            tokens_per_s=bucket.tokens_per_ms * 1000.0,
            burst_tokens=bucket.burst_tokens,
            waiting=len(self.queue),
            waiting_tokens=sum(one.request.tokens for one in self.queue),
        )


class _BucketPacer:
    """The pacer, with one bucket and one queue for each organisation."""

    def __init__(self) -> None:
        self._organisations: dict[str, _PacedOrganisation] = {}
        self._waiting: dict[str, PacedRequest] = {}
        self._unlimited: list[PacedRequest] = []
        self._sequence = count()

    def configure(
        self, organisation: str, limits: Limits, share: float, now_ms: float
    ) -> None:
        if min(limits.tokens_per_s, limits.burst_tokens, limits.window_ms) <= 0:
            paced = self._organisations.pop(organisation, None)
            if paced is not None:
                self._unlimited.extend(one.request for one in paced.queue)
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
        if window_wait_ms <= 0 and paced.has_plenty(request.tokens, now_ms):
            return Pace.PASSES
        sequence = next(self._sequence)
        waiting = _Waiting(handle.tier_rank, request.due_ms, sequence, request)
        result = paced.offer(waiting, window_wait_ms, now_ms)
        if result is Pace.WAITS:
            self._waiting[handle.request_id] = request
        return result

    def next_released(
        self, has_room: Callable[[Handle], bool], now_ms: float
    ) -> PacedRequest | None:
        if not self._waiting:
            return None
        if self._unlimited:
            return self.remove(self._unlimited[0].handle.request_id)
        for paced in self._organisations.values():
            request = paced.next_released(now_ms)
            if request is not None and has_room(request.handle):
                return self.remove(request.handle.request_id)
        return None

    def expire(self, now_ms: float) -> list[tuple[PacedRequest, Refusal]]:
        if not self._waiting:
            return []
        expired = []
        for paced in self._organisations.values():
            if paced.queue:
                expired.extend(paced.expire(now_ms))
        for request, _ in expired:
            del self._waiting[request.handle.request_id]
        return expired

    def remove(self, request_id: str) -> PacedRequest | None:
        request = self._waiting.pop(request_id, None)
        if request is None:
            return None
        paced = self._organisations.get(request.handle.organisation)
        if paced is not None:
            paced.queue = [one for one in paced.queue if one.request is not request]
        self._unlimited = [one for one in self._unlimited if one is not request]
        return request

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

    def status(self, now_ms: float) -> tuple[PacedLimit, ...]:
        return tuple(
            paced.status(name, now_ms) for name, paced in self._organisations.items()
        )


def make_limit_pacer() -> LimitPacer:
    """Create a pacer without limits."""
    return _BucketPacer()
