"""Limits of teams and organisations on requests, tokens and concurrency.

Rates are refused at once with the time at which they allow more; concurrency
only holds a request back until another one ends.
"""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

from pomelolane.outcomes import Outcome, Reason, Refusal

if TYPE_CHECKING:
    from pomelolane.messages import Handle
    from pomelolane.model import Limits, Tree

_BURST_MS = 1_000.0
_MIN_RETRY_MS = 10
_ASSUMED_SHARE = 0.7
"""Part of a new window that counts as used: what two schedulers in turn may let
pass together is then within a third of the bound."""

_ASSUMED_PIECES = 16


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


class SlidingWindow:
    """Bounds what any span of one length may hold.

    A new window does not know what an earlier scheduler let pass. It counts a
    part of the bound as used, spread evenly over the past, so that two
    schedulers in turn stay near the bound together.

    Args:
        bound: Most that a span may hold.
        window_ms: Length of the span.
    """

    __slots__ = ("_bound", "_passed", "_promised", "_used", "_window_ms")

    def __init__(self, bound: float, window_ms: float) -> None:
        self._bound = bound
        self._window_ms = window_ms
        self._passed: deque[tuple[float, float]] = deque()
        self._promised: deque[tuple[float, float]] = deque()
        self._used = 0.0

    @property
    def bound(self) -> float:
        """Most that a span may hold."""
        return self._bound

    def assume_used(self, now_ms: float) -> None:
        """Count a part of the bound as used before now."""
        amount = _ASSUMED_SHARE * self._bound / _ASSUMED_PIECES
        for piece in range(_ASSUMED_PIECES, 0, -1):
            at_ms = now_ms - self._window_ms * (piece - 0.5) / _ASSUMED_PIECES
            self._passed.append((at_ms, amount))
            self._used += amount

    def adopt(self, bound: float) -> None:
        """Go on under another bound.

        What has passed under a larger one counts as the same part of the lower
        one: else a lowered limit would refuse everything for a whole span.
        """
        if 0 < bound < self._bound:
            part = bound / self._bound
            self._passed = deque((at, amount * part) for at, amount in self._passed)
            self._used *= part
        self._bound = bound

    def wait_ms(self, amount: float, now_ms: float) -> float:
        """Return how long until an amount may pass, 0 for now.

        Those who are told to come back get room one after the other.
        """
        self._forget(now_ms)
        over = self._used + min(amount, self._bound) - self._bound
        if over <= 0:
            return 0.0
        while self._promised and self._promised[0][0] <= now_ms:
            self._promised.popleft()
        over += sum(promised for _, promised in self._promised)
        wait_ms = self._window_ms
        for at_ms, passed in self._passed:
            over -= passed
            if over <= 0:
                wait_ms = max(1.0, at_ms + self._window_ms - now_ms)
                break
        self._promised.append((now_ms + wait_ms, amount))
        return wait_ms

    def take(self, amount: float, now_ms: float) -> None:
        """Let an amount pass; a negative one gives back."""
        self._passed.append((now_ms, amount))
        self._used += amount

    def _forget(self, now_ms: float) -> None:
        oldest_ms = now_ms - self._window_ms
        while self._passed and self._passed[0][0] <= oldest_ms:
            self._used -= self._passed.popleft()[1]


class _Account:
    """One team's or organisation's use of its limits."""

    __slots__ = ("limits", "requests", "running", "share", "tokens", "window")

    def __init__(self, limits: Limits, share: float) -> None:
        self.running = 0
        self.window: SlidingWindow | None = None
        self.adopt(limits, share)

    def adopt(self, limits: Limits, share: float) -> None:
        self.limits = limits
        self.share = share
        if limits.window_ms > 0:
            self._adopt_window(limits, share)
            self.requests = self.tokens = None
            return
        self.requests = _bucket(limits.requests_per_s * share)
        self.tokens = _bucket(limits.tokens_per_s * share, limits.burst_tokens * share)

    def _adopt_window(self, limits: Limits, share: float) -> None:
        bound = limits.tokens_per_s * limits.window_ms / 1000 + limits.burst_tokens
        if limits.tokens_per_s <= 0:
            self.window = None
        elif self.window is None:
            self.window = SlidingWindow(bound * share, limits.window_ms)
        else:
            self.window.adopt(bound * share)

    def full(self) -> bool:
        limit = self.limits.concurrency
        return 0 < limit <= self.running


class LimitBook:
    """All accounts that a service's scheduler enforces."""

    def __init__(self) -> None:
        self._teams: dict[str, _Account] = {}
        self._organisations: dict[str, _Account] = {}
        self._found: dict[tuple[str, str], tuple[_Account, ...]] = {}
        self._share = 1.0

    def scale(self, share: float) -> None:
        """Enforce a share of every rate, as one scheduler of several."""
        self._share = share
        for account in (*self._teams.values(), *self._organisations.values()):
            if account.share != share:
                account.adopt(account.limits, share)

    def assume_used(self, now_ms: float) -> None:
        """Count a part of every window as used by an earlier scheduler."""
        for account in (*self._teams.values(), *self._organisations.values()):
            if account.window is not None:
                account.window.assume_used(now_ms)

    def configure(self, tree: Tree) -> None:
        """Adopt a tree's limits; unchanged accounts keep their levels."""
        self._found.clear()
        for name, team in tree.teams.items():
            _adopt(self._teams, name, team.limits, self._share)
        for name, organisation in tree.organisations.items():
            _adopt(self._organisations, name, organisation.limits, self._share)

    def admit(self, handle: Handle, tokens: int, now_ms: float) -> Refusal | None:
        """Charge a request's rates, or say when they allow it.

        A request that was admitted before pays nothing: one that is tried again,
        or one that an earlier scheduler has charged.
        """
        if handle.attempt > 0 or handle.admitted:
            return None
        accounts = self._accounts(handle)
        for account in accounts:
            refusal = _over(account, tokens, now_ms)
            if refusal is not None:
                return refusal
        for account in accounts:
            if account.requests is not None:
                account.requests.take(1.0)
            if account.tokens is not None:
                account.tokens.take(tokens)
            if account.window is not None:
                account.window.take(tokens, now_ms)
        return None

    def correct(self, handle: Handle, tokens: int) -> None:
        """Charge tokens beyond the expected ones, or give some back."""
        for account in self._accounts(handle):
            if account.tokens is not None:
                account.tokens.take(tokens)

    def give_back(self, handle: Handle, tokens: int, now_ms: float = 0.0) -> None:
        """Undo the charge of a request that was not run.

        What an earlier scheduler charged was never taken from this book.
        """
        if handle.admitted:
            return
        for account in self._accounts(handle):
            if account.requests is not None:
                account.requests.take(-1.0)
            if account.tokens is not None:
                account.tokens.take(-tokens)
            if account.window is not None:
                account.window.take(-tokens, now_ms)

    def at_concurrency(self, handle: Handle) -> bool:
        """Tell whether one of the request's concurrency limits is reached."""
        accounts = self._accounts(handle)
        return bool(accounts) and any(account.full() for account in accounts)

    def started(self, handle: Handle) -> None:
        """Count a running request."""
        for account in self._accounts(handle):
            account.running += 1

    def ended(self, handle: Handle) -> None:
        """Uncount a running request."""
        for account in self._accounts(handle):
            account.running = max(0, account.running - 1)

    def _accounts(self, handle: Handle) -> tuple[_Account, ...]:
        key = (handle.organisation, handle.team)
        accounts = self._found.get(key)
        if accounts is None:
            found = (self._organisations.get(key[0]), self._teams.get(key[1]))
            accounts = tuple(account for account in found if account is not None)
            self._found[key] = accounts
        return accounts


def _adopt(
    accounts: dict[str, _Account], name: str, limits: Limits, share: float
) -> None:
    account = accounts.get(name)
    if account is None:
        accounts[name] = _Account(limits, share)
    elif account.limits != limits:
        account.adopt(limits, share)


def _bucket(per_s: float, burst: float = 0.0) -> TokenBucket | None:
    return TokenBucket(per_s, burst) if per_s > 0 else None


def _over(account: _Account, tokens: int, now_ms: float) -> Refusal | None:
    if account.window is not None:
        wait_ms = account.window.wait_ms(tokens, now_ms)
        if wait_ms > 0:
            return Refusal(Outcome.NOT_RUN, Reason.TOKEN_LIMIT, int(wait_ms) + 1)
    checks = (
        (account.requests, 1.0, Reason.REQUEST_LIMIT),
        (account.tokens, tokens, Reason.TOKEN_LIMIT),
    )
    for bucket, amount, reason in checks:
        wait_ms = bucket.wait_ms(amount, now_ms) if bucket is not None else 0.0
        if wait_ms > 0:
            retry_ms = max(_MIN_RETRY_MS, int(wait_ms) + 1)
            return Refusal(Outcome.NOT_RUN, reason, retry_ms)
    return None
