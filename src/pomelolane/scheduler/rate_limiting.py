"""What may pass in a time: a bucket that fills at a rate, and a sliding span."""

from __future__ import annotations

from bisect import bisect_left, bisect_right, insort
from collections import deque
from dataclasses import dataclass
from heapq import merge
from itertools import chain
from typing import NamedTuple

_BURST_MS = 1_000.0
_USE_STEP_MS = 250
"""Uses are summed up by so much of their age for the record."""

_UNRECORDED_PART = 0.15
"""Part of a guess that is kept beside a record, which is up to a second old in a
span of several."""


_MOVED_PART = 0.25
"""Part of what is allowed beside a bound for what moves from scheduler to scheduler
while it waits; it had room where it came from."""


class TokenBucket:
    """A bucket that fills at a rate and may be overdrawn once.

    A single amount larger than the bucket passes when it is full and leaves a
    debt, so that the rate holds on average whatever the sizes are.

    Args:
        per_s: Rate, more than 0.
        burst: Capacity, 0 for what the rate brings in a second.
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
        """Let an amount pass; a negative one gives back."""
        self._level = min(self._capacity, self._level - amount)

    def _fill(self, now_ms: float) -> None:
        elapsed_ms = now_ms - self._at_ms
        self._level = min(self._capacity, self._level + elapsed_ms * self._per_ms)
        self._at_ms = now_ms


@dataclass(frozen=True, slots=True)
class TokenUse:
    """What an organisation used of its limit.

    Attributes:
        organisation: Who.
        age_ms: How long ago.
        tokens: How much.
        scheduler: Start of a VM that let it pass, empty for this one.
        bound: What a span could hold when it passed, 0 where that is not known.
        service: The service that it was for, where several are told of together.
    """

    organisation: str
    age_ms: int
    tokens: int
    scheduler: str = ""
    bound: int = 0
    service: str = ""

    @property
    def source(self) -> tuple[str, str]:
        """Whose account it is from: the service and the start of a VM."""
        return self.service, self.scheduler


class _Entry(NamedTuple):
    """An amount that has passed, and what a span could hold then."""

    at_ms: float
    tokens: float
    bound: float

    def scaled_tokens(self, bound: float) -> float:
        """Return what it counts for under a bound.

        Under a lower one it is the same part of it: else a lowered limit would refuse
        everything for a whole span. The amount itself stays, so that a limit which is
        raised again has not forgotten it.
        """
        if bound >= self.bound:
            return self.tokens
        return self.tokens * bound / self.bound


class SlidingWindow:
    """Bounds what any span of one length may hold.

    A new window does not know what earlier schedulers let pass. Until those who
    know have told, it counts so much as used that both together keep within
    the bound and what is allowed beside it.

    Args:
        bound: Most that a span may hold.
        window_ms: Length of the span.
        spare: What is allowed beside the bound, for counting apart.
    """

    __slots__ = (
        "_assumed",
        "_assumed_part",
        "_assumed_until_ms",
        "_bound",
        "_passed",
        "_reported",
        "_retry_reservations",
        "_spare",
        "_unrecorded",
        "_unreported",
        "_used",
        "_waiting",
        "_window_ms",
    )

    def __init__(self, bound: float, window_ms: float, spare: float) -> None:
        self._bound = bound
        self._window_ms = window_ms
        self._spare = spare
        self._waiting: list[_Entry] = []
        self._passed: list[_Entry] = []
        self._reported: dict[tuple[str, str], list[_Entry]] = {}
        self._retry_reservations: deque[tuple[float, float]] = deque()
        self._assumed = 0.0
        self._assumed_part = 0.0
        self._assumed_until_ms = 0.0
        self._unrecorded = 0.0
        self._unreported = 0.0
        self._used = 0.0

    def assume_used(self, spare_part: float, now_ms: float) -> None:
        """Count the bound as used elsewhere just now.

        Args:
            spare_part: Part of what is allowed beside the bound that may pass still.
            now_ms: The time.
        """
        self._assumed = max(0.0, self._bound - spare_part * self._spare)
        self._assumed_part = 1.0
        self._assumed_until_ms = now_ms + self._window_ms

    def clear_reported(self, guess_part: float = 0.0) -> None:
        """Forget what others let pass, but a part of the guess: some is unrecorded.

        Args:
            guess_part: Part of the bound that those who tell it anew count by a guess.
        """
        self._reported.clear()
        self._recount()
        part = max(_UNRECORDED_PART, guess_part)
        if part < self._assumed_part:
            self._assumed *= part / self._assumed_part
            self._assumed_part = part

    def guess_part(self, now_ms: float) -> float:
        """Return the part of the bound that is counted as used by a guess."""
        self._drop_expired(now_ms)
        return self._assumed_part if self._assumed > 0 else 0.0

    def is_full_without_guess(self, amount: float, now_ms: float) -> bool:
        """Tell whether an amount has no room by what is known to have passed."""
        self._drop_expired(now_ms)
        return self._used + min(amount, self._bound) > self._bound

    def unrecorded_share(self) -> float:
        """Return the tokens since the last record as a part of what is allowed beside.

        Where nothing is allowed beside the bound, they are a part of the bound.
        """
        return self._share_of(self._unrecorded)

    def unreported_share(self) -> float:
        """Return the same of the tokens since the last news."""
        return self._share_of(self._unreported)

    def _share_of(self, tokens: float) -> float:
        allowed = self._spare or self._bound
        return tokens / allowed if allowed > 0 else 1.0

    def take_unreported(self) -> tuple[int, int]:
        """Return the tokens since the last news, and the bound; they are told then."""
        tokens = round(self._unreported)
        self._unreported = 0.0
        return tokens, round(self._bound)

    def mark_recorded(self) -> None:
        """Take note that what has passed until now is on record."""
        self._unrecorded = 0.0

    def uses(self, organisation: str, now_ms: float) -> list[TokenUse]:
        """Return what this scheduler let pass, summed up by steps of its age."""
        self._drop_expired(now_ms)
        sums: dict[tuple[int, int], float] = {}
        for at_ms, tokens, bound in self._passed:
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
        """Count an amount that passed under another scheduler.

        Args:
            amount: How much.
            at_ms: When.
            bound: What a span could hold there, 0 for as much as here.
            source: Whose account it is from.
        """
        passed = _Entry(at_ms, amount, bound or self._bound)
        self._add_entry(self._reported.setdefault(source, []), passed)

    def drop_reported(self, source: tuple[str, str]) -> None:
        """Drop what one account held: all of it is told anew."""
        if self._reported.pop(source, None):
            self._recount()

    def configure(self, bound: float, spare: float) -> None:
        """Go on under another bound."""
        if 0 < bound < self._bound:
            self._assumed *= bound / self._bound
        self._bound = bound
        self._spare = spare
        self._recount()

    def wait_ms(self, amount: float, now_ms: float) -> float:
        """Return how long until an amount may pass, 0 for now.

        Those who are told to come back get room one after the other.
        """
        self._drop_expired(now_ms)
        over = self._used + self._assumed + min(amount, self._bound) - self._bound
        if over <= 0:
            return 0.0
        while self._retry_reservations and self._retry_reservations[0][0] <= now_ms:
            self._retry_reservations.popleft()
        over += sum(promised for _, promised in self._retry_reservations)
        wait_ms = self._window_ms
        for passed in merge(*self._reported.values(), self._passed, self._waiting):
            over -= passed.scaled_tokens(self._bound)
            if over <= 0:
                wait_ms = max(1.0, passed.at_ms + self._window_ms - now_ms)
                break
        self._retry_reservations.append((now_ms + wait_ms, amount))
        return wait_ms

    def is_over_tolerance(self, amount: float, now_ms: float) -> bool:
        """Tell whether an amount is too much by what is known to have passed.

        A guess does not count, and a part of what is allowed beside the bound is kept
        for amounts that had room under another scheduler.
        """
        self._drop_expired(now_ms)
        most = self._bound + _MOVED_PART * self._spare
        return self._used + amount > most

    def take(self, amount: float, now_ms: float) -> None:
        """Keep room for an amount that waits to pass."""
        self._add_entry(self._waiting, _Entry(now_ms, amount, self._bound))

    def give_back(self, amount: float, taken_ms: float) -> None:
        """Undo an amount that was taken, or has passed, at a time."""
        if not self._remove_entry(
            self._waiting, amount, taken_ms
        ) and self._remove_entry(self._passed, amount, taken_ms):
            self._unreported -= amount

    def record_passed(self, amount: float, taken_ms: float, now_ms: float) -> None:
        """Let an amount pass for which room was kept since a time.

        It counts from now on, here and for all who are told: whoever lets it pass
        counts it, whatever became of it before.
        """
        self._remove_entry(self._waiting, amount, taken_ms)
        self._add_entry(self._passed, _Entry(now_ms, amount, self._bound))
        self._unrecorded += amount
        self._unreported += amount

    def _remove_entry(self, uses: list[_Entry], amount: float, taken_ms: float) -> bool:
        """Remove an amount, unless it counts no more."""
        first = bisect_left(uses, (taken_ms, amount))
        if first == len(uses) or uses[first][:2] != (taken_ms, amount):
            return False
        self._used -= uses.pop(first).scaled_tokens(self._bound)
        return True

    def _add_entry(self, uses: list[_Entry], passed: _Entry) -> None:
        insort(uses, passed)
        self._used += passed.scaled_tokens(self._bound)

    def _recount(self) -> None:
        """Count anew all that has passed, under the present bound."""
        passed = chain(self._waiting, self._passed, *self._reported.values())
        self._used = sum(one.scaled_tokens(self._bound) for one in passed)

    def _drop_expired(self, now_ms: float) -> None:
        if now_ms >= self._assumed_until_ms:
            self._assumed = self._assumed_part = 0.0
        oldest_ms = now_ms - self._window_ms
        for uses in (self._waiting, self._passed, *self._reported.values()):
            old = bisect_right(uses, (oldest_ms, float("inf")))
            self._used -= sum(one.scaled_tokens(self._bound) for one in uses[:old])
            del uses[:old]
        for source in [name for name, uses in self._reported.items() if not uses]:
            del self._reported[source]
        if not self._waiting and not self._passed and not self._reported:
            # No rounding is carried on.
            self._used = 0.0
