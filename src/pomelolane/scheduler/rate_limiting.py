"""Rate limiters: a token bucket and a sliding window."""

from __future__ import annotations

from bisect import bisect_left, bisect_right, insort
from collections import deque
from dataclasses import dataclass
from heapq import merge
from itertools import chain
from typing import NamedTuple

_BURST_MS = 1_000.0
_USE_STEP_MS = 250
"""Usage is summed up in age steps of this length before it is saved."""

_UNRECORDED_PART = 0.15
"""Fraction of the assumed usage that still counts after saved usage was read. Saved
usage is up to a second old, so the latest part of a window is missing from it."""


_MOVED_PART = 0.25
"""Fraction of the tolerance by which requests that moved here from another scheduler
while they waited may exceed the bound; that scheduler had room for them."""


class TokenBucket:
    """Token bucket whose level may become negative.

    An amount larger than the capacity passes when the bucket is full and leaves a
    negative level, so that the average rate holds for any amount.

    Args:
        per_s: Rate per second, more than 0.
        burst: Capacity; 0 for the amount of one second.
    """

    __slots__ = ("_at_ms", "_capacity", "_level", "_per_ms")

    def __init__(self, per_s: float, burst: float = 0.0) -> None:
        self._per_ms = per_s / 1000.0
        self._capacity = max(1.0, burst or self._per_ms * _BURST_MS)
        self._level = self._capacity
        self._at_ms = 0.0

    def wait_ms(self, amount: float, now_ms: float) -> float:
        """Return how long until an amount may pass, 0 for now."""
        self._fill(now_ms)
        missing = min(amount, self._capacity) - self._level
        return max(0.0, missing / self._per_ms)

    def take(self, amount: float) -> None:
        """Take an amount; a negative one refunds."""
        self._level = min(self._capacity, self._level - amount)

    def _fill(self, now_ms: float) -> None:
        elapsed_ms = now_ms - self._at_ms
        self._level = min(self._capacity, self._level + elapsed_ms * self._per_ms)
        self._at_ms = now_ms


@dataclass(frozen=True, slots=True)
class TokenUse:
    """Tokens that an organisation used of its limit.

    Attributes:
        organisation: Name of the organisation.
        age_ms: Time since they were granted.
        tokens: Number of tokens.
        scheduler: Scheduler that granted them, as VM id and start ("vm-1/1");
            empty for this one.
        bound: Bound of the window when they were granted, 0 if unknown.
        service: Service they were used for, where several are reported together.
    """

    organisation: str
    age_ms: int
    tokens: int
    scheduler: str = ""
    bound: int = 0
    service: str = ""

    @property
    def source(self) -> tuple[str, str]:
        """Where the usage was granted: the service and the scheduler."""
        return self.service, self.scheduler


class _Entry(NamedTuple):
    """Reserved or granted tokens, and the bound of the window at that time."""

    at_ms: float
    tokens: float
    bound: float

    def scaled_tokens(self, bound: float) -> float:
        """Return the tokens to count under a bound.

        Under a lower bound, they count in proportion to it; otherwise a lowered limit
        would refuse everything for a whole window. The stored amount stays, so that
        it counts in full when the limit is raised again.
        """
        if bound >= self.bound:
            return self.tokens
        return self.tokens * bound / self.bound


class SlidingWindow:
    """Limits the tokens in any time window of a fixed length.

    A new scheduler does not know the usage that earlier ones granted. Until it is
    reported, the window assumes enough usage that all schedulers together stay
    within the bound plus its tolerance.

    Args:
        bound: Maximum tokens in a window.
        window_ms: Length of the window.
        spare: Tolerance above the bound, for schedulers that count separately.
    """

    __slots__ = (
        "_assumed",
        "_assumed_part",
        "_assumed_until_ms",
        "_bound",
        "_granted",
        "_reported",
        "_retry_reservations",
        "_tolerance",
        "_unrecorded",
        "_unreported",
        "_used",
        "_waiting",
        "_window_ms",
    )

    def __init__(self, bound: float, window_ms: float, spare: float) -> None:
        self._bound = bound
        self._window_ms = window_ms
        self._tolerance = spare
        self._waiting: list[_Entry] = []
        self._granted: list[_Entry] = []
        self._reported: dict[tuple[str, str], list[_Entry]] = {}
        self._retry_reservations: deque[tuple[float, float]] = deque()
        self._assumed = 0.0
        self._assumed_part = 0.0
        self._assumed_until_ms = 0.0
        self._unrecorded = 0.0
        self._unreported = 0.0
        self._used = 0.0

    def assume_used(self, spare_part: float, now_ms: float) -> None:
        """Assume that the bound was just used by other schedulers.

        Args:
            spare_part: Part of the tolerance that stays usable.
            now_ms: Current time.
        """
        self._assumed = max(0.0, self._bound - spare_part * self._tolerance)
        self._assumed_part = 1.0
        self._assumed_until_ms = now_ms + self._window_ms

    def clear_reported(self, guess_part: float = 0.0) -> None:
        """Remove reported usage; reduce assumed usage to the part that may be unsaved.

        Args:
            guess_part: Part of the bound that the reporting schedulers only assume.
        """
        self._reported.clear()
        self._recount()
        part = max(_UNRECORDED_PART, guess_part)
        if part < self._assumed_part:
            self._assumed *= part / self._assumed_part
            self._assumed_part = part

    def guess_part(self, now_ms: float) -> float:
        """Return the part of the bound that is only assumed to be used."""
        self._drop_expired(now_ms)
        return self._assumed_part if self._assumed > 0 else 0.0

    def is_full_without_assumed(self, amount: float, now_ms: float) -> bool:
        """Return whether known usage alone leaves no room for an amount."""
        self._drop_expired(now_ms)
        return self._used + min(amount, self._bound) > self._bound

    def unrecorded_share(self) -> float:
        """Return the tokens not yet saved, as a share of the tolerance.

        Without a tolerance, it is their share of the bound.
        """
        return self._share_of(self._unrecorded)

    def unreported_share(self) -> float:
        """Return the tokens not yet reported, as a share of the tolerance or bound."""
        return self._share_of(self._unreported)

    def _share_of(self, tokens: float) -> float:
        allowed = self._tolerance or self._bound
        return tokens / allowed if allowed > 0 else 1.0

    def take_unreported(self) -> tuple[int, int]:
        """Return unreported tokens and the bound; mark the tokens as reported."""
        tokens = round(self._unreported)
        self._unreported = 0.0
        return tokens, round(self._bound)

    def mark_recorded(self) -> None:
        """Mark all usage until now as saved."""
        self._unrecorded = 0.0

    def uses(self, organisation: str, now_ms: float) -> list[TokenUse]:
        """Return the usage granted by this scheduler, summed up in age steps."""
        self._drop_expired(now_ms)
        sums: dict[tuple[int, int], float] = {}
        for at_ms, tokens, bound in self._granted:
            age_ms = int((now_ms - at_ms) // _USE_STEP_MS) * _USE_STEP_MS
            key = age_ms, round(bound)
            sums[key] = sums.get(key, 0.0) + tokens
        return [
            TokenUse(organisation, age_ms, round(total), bound=bound)
            for (age_ms, bound), total in sums.items()
        ]

    def add_reported(
        self,
        amount: float,
        at_ms: float,
        bound: float = 0.0,
        source: tuple[str, str] = ("", ""),
    ) -> None:
        """Count an amount that another scheduler granted.

        Args:
            amount: Number of tokens.
            at_ms: Time of the grant.
            bound: Bound of the window there, 0 for the bound here.
            source: Service and scheduler that granted it.
        """
        entry = _Entry(at_ms, amount, bound or self._bound)
        self._add_entry(self._reported.setdefault(source, []), entry)

    def drop_reported(self, source: tuple[str, str]) -> None:
        """Remove the usage of one source, before it is reported anew."""
        if self._reported.pop(source, None):
            self._recount()

    def configure(self, bound: float, spare: float) -> None:
        """Change the bound and the tolerance."""
        if 0 < bound < self._bound:
            self._assumed *= bound / self._bound
        self._bound = bound
        self._tolerance = spare
        self._recount()

    def wait_ms(self, amount: float, now_ms: float) -> float:
        """Return how long until an amount may pass, 0 for now.

        A wait reserves room at its end, so that callers are told different retry times.
        """
        self._drop_expired(now_ms)
        over = self._used + self._assumed + min(amount, self._bound) - self._bound
        if over <= 0:
            return 0.0
        while self._retry_reservations and self._retry_reservations[0][0] <= now_ms:
            self._retry_reservations.popleft()
        over += sum(reserved for _, reserved in self._retry_reservations)
        wait_ms = self._expires_in_ms(over, now_ms)
        self._retry_reservations.append((now_ms + wait_ms, amount))
        return wait_ms

    def room_in_ms(self, amount: float, now_ms: float) -> float:
        """Return how long until there is room for an amount, without reserving it."""
        if self._used + self._assumed + amount <= self._bound:
            return 0.0
        self._drop_expired(now_ms)
        over = self._used + self._assumed + min(amount, self._bound) - self._bound
        return self._expires_in_ms(over, now_ms) if over > 0 else 0.0

    def _expires_in_ms(self, amount: float, now_ms: float) -> float:
        """Return how long until usage of an amount has left the window."""
        for entry in merge(*self._reported.values(), self._granted, self._waiting):
            amount -= entry.scaled_tokens(self._bound)
            if amount <= 0:
                return max(1.0, entry.at_ms + self._window_ms - now_ms)
        return self._window_ms

    def is_over_tolerance(self, amount: float, now_ms: float) -> bool:
        """Return whether known usage plus an amount exceeds the bound by too much.

        Assumed usage does not count. Part of the tolerance is allowed, for requests
        that another scheduler had room for.
        """
        self._drop_expired(now_ms)
        most = self._bound + _MOVED_PART * self._tolerance
        return self._used + amount > most

    def take(self, amount: float, now_ms: float) -> None:
        """Reserve room for an amount that waits for a slot."""
        self._add_entry(self._waiting, _Entry(now_ms, amount, self._bound))

    def give_back(self, amount: float, taken_ms: float) -> None:
        """Refund an amount that was reserved or granted at a time."""
        if not self._remove_entry(
            self._waiting, amount, taken_ms
        ) and self._remove_entry(self._granted, amount, taken_ms):
            self._unreported -= amount

    def record_passed(self, amount: float, taken_ms: float, now_ms: float) -> None:
        """Move a reserved amount to the granted ones.

        It counts from now on, here and for schedulers that receive reports: the
        scheduler that grants a request counts it, even if another one admitted it.
        """
        self._remove_entry(self._waiting, amount, taken_ms)
        self._add_entry(self._granted, _Entry(now_ms, amount, self._bound))
        self._unrecorded += amount
        self._unreported += amount

    def _remove_entry(self, uses: list[_Entry], amount: float, taken_ms: float) -> bool:
        """Remove an amount, unless it has expired; return whether it was found."""
        first = bisect_left(uses, (taken_ms, amount))
        if first == len(uses) or uses[first][:2] != (taken_ms, amount):
            return False
        self._used -= uses.pop(first).scaled_tokens(self._bound)
        return True

    def _add_entry(self, uses: list[_Entry], entry: _Entry) -> None:
        insort(uses, entry)
        self._used += entry.scaled_tokens(self._bound)

    def _recount(self) -> None:
        """Recompute the sum of all usage under the current bound."""
        entries = chain(self._waiting, self._granted, *self._reported.values())
        self._used = sum(entry.scaled_tokens(self._bound) for entry in entries)

    def _drop_expired(self, now_ms: float) -> None:
        if now_ms >= self._assumed_until_ms:
            self._assumed = self._assumed_part = 0.0
        oldest_ms = now_ms - self._window_ms
        for uses in (self._waiting, self._granted, *self._reported.values()):
            old = bisect_right(uses, (oldest_ms, float("inf")))
            self._used -= sum(entry.scaled_tokens(self._bound) for entry in uses[:old])
            del uses[:old]
        for source in [name for name, uses in self._reported.items() if not uses]:
            del self._reported[source]
        if not self._waiting and not self._granted and not self._reported:
            # Prevents rounding errors from accumulating.
            self._used = 0.0
