"""Limits of teams and organisations on requests, tokens and concurrency.

Rates are refused at once with the time at which they allow more; concurrency
only holds a request back until another one ends.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from pomelolane.outcomes import Outcome, Reason, Refusal

if TYPE_CHECKING:
    from pomelolane.messages import Handle
    from pomelolane.model import Limits, Tree

_BURST_MS = 1_000.0
_MIN_RETRY_MS = 10


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


class _Account:
    """One team's or organisation's use of its limits."""

    __slots__ = ("limits", "requests", "running", "share", "tokens")

    def __init__(self, limits: Limits, share: float) -> None:
        self.running = 0
        self.adopt(limits, share)

    def adopt(self, limits: Limits, share: float) -> None:
        self.limits = limits
        self.share = share
        self.requests = _bucket(limits.requests_per_s * share)
        self.tokens = _bucket(limits.tokens_per_s * share, limits.burst_tokens * share)

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
        return None

    def correct(self, handle: Handle, tokens: int) -> None:
        """Charge tokens beyond the expected ones, or give some back."""
        for account in self._accounts(handle):
            if account.tokens is not None:
                account.tokens.take(tokens)

    def give_back(self, handle: Handle, tokens: int) -> None:
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
