"""Limits of teams and organisations on requests, tokens and concurrency.

Rates are refused at once with the time at which they allow more; concurrency
only holds a request back until another one ends.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from pomelolane.outcomes import Outcome, Reason, Refusal
from pomelolane.scheduler.rate_limiting import SlidingWindow, TokenBucket, TokenUse

if TYPE_CHECKING:
    from collections.abc import Iterable

    from pomelolane.messages import Handle
    from pomelolane.model import Limits, Tree

_MIN_RETRY_MS = 10


class _Account:
    """One team's or organisation's use of its limits."""

    __slots__ = ("limits", "requests", "running", "share", "tokens", "window")

    def __init__(self, limits: Limits, share: float) -> None:
        self.running = 0
        self.window: SlidingWindow | None = None
        self.configure(limits, share)

    def configure(self, limits: Limits, share: float) -> None:
        self.limits = limits
        self.share = share
        if limits.window_ms > 0:
            self._configure_window(limits, share)
            self.requests = self.tokens = None
            return
        self.requests = _bucket(limits.requests_per_s * share)
        self.tokens = _bucket(limits.tokens_per_s * share, limits.burst_tokens * share)

    def _configure_window(self, limits: Limits, share: float) -> None:
        bound = limits.tokens_per_s * limits.window_ms / 1000 + limits.burst_tokens
        spare = limits.window_spare * share
        if limits.tokens_per_s <= 0:
            self.window = None
        elif self.window is None:
            self.window = SlidingWindow(bound * share, limits.window_ms, spare)
        else:
            self.window.configure(bound * share, spare)

    def is_full(self) -> bool:
        limit = self.limits.concurrency
        return 0 < limit <= self.running


class UsageLimiter:
    """All accounts that a service's scheduler enforces."""

    def __init__(self) -> None:
        self._teams: dict[str, _Account] = {}
        self._organisations: dict[str, _Account] = {}
        self._accounts_by_tenant: dict[tuple[str, str], tuple[_Account, ...]] = {}
        self._share = 1.0
        self._raised_ms: float | None = None

    def _longest_window_ms(self) -> int:
        accounts = self._organisations.values()
        return max((account.limits.window_ms for account in accounts), default=0)

    def set_share(self, share: float, now_ms: float) -> None:
        """Enforce a share of every rate, as one scheduler of several.

        A larger share waits for as long as uses count: what others let pass
        until now is not known here.
        """
        if share <= self._share:
            self._raised_ms = None
        elif self._raised_ms is None:
            self._raised_ms = now_ms
        if share == self._share:
            return
        if (
            self._raised_ms is not None
            and now_ms - self._raised_ms < self._longest_window_ms()
        ):
            return
        self._raised_ms = None
        self._share = share
        for account in (*self._teams.values(), *self._organisations.values()):
            if account.share != share:
                account.configure(account.limits, share)

    def assume_used(self, spare_part: float, now_ms: float) -> None:
        """Count windows as used by earlier schedulers, but for a part of the spare."""
        for account in (*self._teams.values(), *self._organisations.values()):
            if account.window is not None:
                account.window.assume_used(spare_part, now_ms)

    def uses(self, now_ms: float) -> list[TokenUse]:
        """Return what this scheduler let pass in the spans that still count."""
        found = []
        for name, account in self._organisations.items():
            if account.window is not None:
                found.extend(account.window.uses(name, now_ms))
        return found

    def unrecorded_share(self) -> float:
        """Return the largest part of an allowance that is not on record yet."""
        shares = (window.unrecorded_share() for window in self._windows())
        return max(shares, default=0.0)

    def mark_recorded(self) -> None:
        """Take note that all that has passed until now is on record."""
        for window in self._windows():
            window.mark_recorded()

    def unreported_share(self) -> float:
        """Return the largest part of an allowance that is news to other schedulers."""
        shares = (abs(window.unreported_share()) for window in self._windows())
        return max(shares, default=0.0)

    def take_unreported(self) -> list[TokenUse]:
        """Return what passed since the last news; it counts as told then."""
        news = []
        for name, account in self._organisations.items():
            if account.window is None:
                continue
            tokens, bound = account.window.take_unreported()
            if tokens:
                news.append(TokenUse(name, 0, tokens, bound=bound))
        return news

    def add_reported(
        self,
        source: tuple[str, str],
        uses: Iterable[TokenUse],
        now_ms: float,
        *,
        adds: bool,
    ) -> None:
        """Count what another scheduler tells that it let pass.

        An organisation has its limit once, over all schedulers and services.

        Args:
            source: Whose account it is.
            uses: What passed there.
            now_ms: The time.
            adds: Whether it comes on top of what was told before, or replaces it.
        """
        if not adds:
            for window in self._windows():
                window.drop_reported(source)
        for use in uses:
            self._add_reported(use, source, now_ms)

    def _add_reported(
        self, use: TokenUse, source: tuple[str, str], now_ms: float
    ) -> None:
        account = self._organisations.get(use.organisation)
        if account is not None and account.window is not None:
            at_ms = now_ms - use.age_ms
            account.window.add_reported(use.tokens, at_ms, use.bound, source)

    def _windows(self) -> list[SlidingWindow]:
        accounts = self._organisations.values()
        return [one.window for one in accounts if one.window is not None]

    def guess_part(self, now_ms: float) -> float:
        """Return the largest part of a limit that is counted as used by a guess."""
        tracked = (window.guess_part(now_ms) for window in self._windows())
        return max(tracked, default=0.0)

    def guessed_organisations(self, now_ms: float) -> list[str]:
        """Return the organisations whose limits are judged by a guess."""
        return [
            name
            for name, account in self._organisations.items()
            if account.window is not None and account.window.guess_part(now_ms) > 0
        ]

    def replace_reported(
        self, uses: Iterable[TokenUse], now_ms: float, *, guess_part: float = 0.0
    ) -> None:
        """Count what other schedulers let pass.

        Args:
            uses: What they have recorded and told.
            now_ms: The time.
            guess_part: Part of limits that those who told it count by a guess.
        """
        for window in self._windows():
            window.clear_reported(guess_part)
        for use in uses:
            self._add_reported(use, use.source, now_ms)

    def configure(self, tree: Tree) -> None:
        """Adopt a tree's limits; unchanged accounts keep their levels."""
        self._accounts_by_tenant.clear()
        for name, team in tree.teams.items():
            _configure_account(self._teams, name, team.limits, self._share)
        for name, organisation in tree.organisations.items():
            _configure_account(
                self._organisations, name, organisation.limits, self._share
            )

    def admit(self, handle: Handle, tokens: int, now_ms: float) -> Refusal | None:
        """Charge a request's rates, or say when they allow it.

        A request that is tried again pays nothing, and rates that an earlier scheduler
        charged are not charged again. A span holds here what waited under another
        scheduler, which counts only what it lets pass itself; that is refused only
        where too much is known to have passed.
        """
        if handle.attempt > 0:
            return None
        accounts = self._accounts(handle)
        judge = _refuse_readmitted if handle.admitted else _refuse_over_limit
        for account in accounts:
            refusal = judge(account, tokens, now_ms)
            if refusal is not None:
                return refusal
        for account in accounts:
            if account.window is not None:
                account.window.take(tokens, now_ms)
            if not handle.admitted:
                _charge_rates(account, 1.0, tokens)
        return None

    def record_grant(
        self, handle: Handle, tokens: int, taken_ms: float, now_ms: float
    ) -> None:
        """Count a request that gets a slot from now on.

        It runs now; counted from its arrival, those that wait together in a burst
        run in a later span than they are counted in. A repeat of what has run counts
        with the first send.

        Args:
            handle: The request.
            tokens: What it was charged.
            taken_ms: When it was charged.
            now_ms: The time.
        """
        if handle.attempt > 0:
            return
        for account in self._accounts(handle):
            if account.window is not None:
                account.window.record_passed(tokens, taken_ms, now_ms)

    def correct(self, handle: Handle, tokens: int) -> None:
        """Charge tokens beyond the expected ones, or give some back."""
        for account in self._accounts(handle):
            if account.tokens is not None:
                account.tokens.take(tokens)

    def give_back(self, handle: Handle, tokens: int, taken_ms: float = 0.0) -> None:
        """Undo the charge of a request that was not run.

        An earlier attempt that may have run was never taken from this book for this
        handle, and rates that an earlier scheduler charged were not either.

        Args:
            handle: The request.
            tokens: What it was charged.
            taken_ms: When it was charged.
        """
        if handle.attempt > 0:
            return
        for account in self._accounts(handle):
            if account.window is not None:
                account.window.give_back(tokens, taken_ms)
            if not handle.admitted:
                _charge_rates(account, -1.0, -tokens)

    def is_at_concurrency_limit(self, handle: Handle) -> bool:
        """Tell whether one of the request's concurrency limits is reached."""
        accounts = self._accounts(handle)
        return bool(accounts) and any(account.is_full() for account in accounts)

    def record_start(self, handle: Handle) -> None:
        """Count a running request."""
        for account in self._accounts(handle):
            account.running += 1

    def record_end(self, handle: Handle) -> None:
        """Uncount a running request."""
        for account in self._accounts(handle):
            account.running = max(0, account.running - 1)

    def _accounts(self, handle: Handle) -> tuple[_Account, ...]:
        key = (handle.organisation, handle.team)
        accounts = self._accounts_by_tenant.get(key)
        if accounts is None:
            found = (self._organisations.get(key[0]), self._teams.get(key[1]))
            accounts = tuple(account for account in found if account is not None)
            self._accounts_by_tenant[key] = accounts
        return accounts


def _configure_account(
    accounts: dict[str, _Account], name: str, limits: Limits, share: float
) -> None:
    account = accounts.get(name)
    if account is None:
        accounts[name] = _Account(limits, share)
    elif account.limits != limits:
        account.configure(limits, share)


def _bucket(per_s: float, burst: float = 0.0) -> TokenBucket | None:
    return TokenBucket(per_s, burst) if per_s > 0 else None


def _charge_rates(account: _Account, requests: float, tokens: float) -> None:
    """Charge an account's rates; negative amounts give back."""
    if account.requests is not None:
        account.requests.take(requests)
    if account.tokens is not None:
        account.tokens.take(tokens)


def _refuse_readmitted(account: _Account, tokens: int, now_ms: float) -> Refusal | None:
    """Refuse what had room elsewhere only where too much is known to have passed."""
    if account.window is None or not account.window.is_over_tolerance(tokens, now_ms):
        return None
    return _window_refusal(account.window, tokens, now_ms)


def _window_refusal(
    window: SlidingWindow, tokens: int, now_ms: float
) -> Refusal | None:
    """Refuse what a span has no room for, and say whether a guess is the reason."""
    wait_ms = window.wait_ms(tokens, now_ms)
    if wait_ms <= 0:
        return None
    is_known = window.is_full_without_guess(tokens, now_ms)
    reason = Reason.TOKEN_LIMIT if is_known else Reason.LIMIT_GUESSED
    return Refusal(Outcome.NOT_RUN, reason, int(wait_ms) + 1)


def _refuse_over_limit(account: _Account, tokens: int, now_ms: float) -> Refusal | None:
    if account.window is not None:
        refusal = _window_refusal(account.window, tokens, now_ms)
        if refusal is not None:
            return refusal
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
