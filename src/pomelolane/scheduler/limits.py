"""Limits of teams and organisations on requests, tokens and concurrency.

A request over a rate limit is refused at once with a retry time. A request over a
concurrency limit waits until another one ends.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from pomelolane.outcomes import Outcome, Reason, Refusal
from pomelolane.scheduler.pacing import Pace
from pomelolane.scheduler.rate_limiting import SlidingWindow, TokenBucket, TokenUse

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable

    from pomelolane.messages import Handle
    from pomelolane.model import Limits, Tree
    from pomelolane.scheduler.pacing import LimitPacer, PacedLimit, PacedRequest

_MIN_RETRY_MS = 10


class _Account:
    """The limits of one team or organisation and its current usage."""

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

    def is_at_concurrency_limit(self) -> bool:
        limit = self.limits.concurrency
        return 0 < limit <= self.running


class UsageLimiter:
    """Enforces the limits of all teams and organisations for one service.

    Args:
        pacer: Paces organisations' limits, None for no pacing.
    """

    def __init__(self, pacer: LimitPacer | None = None) -> None:
        self._pacer = pacer
        self._teams: dict[str, _Account] = {}
        self._organisations: dict[str, _Account] = {}
        self._accounts_by_tenant: dict[tuple[str, str], tuple[_Account, ...]] = {}
        self._share = 1.0
        self._share_raised_ms: float | None = None

    def _longest_window_ms(self) -> int:
        accounts = self._organisations.values()
        return max((account.limits.window_ms for account in accounts), default=0)

    def set_share(self, share: float, now_ms: float) -> None:
        """Enforce only a share of every rate, as one of several schedulers.

        A larger share takes effect only after the longest window has passed,
        because the usage that others granted until now is unknown here.
        """
        if share <= self._share:
            self._share_raised_ms = None
        elif self._share_raised_ms is None:
            self._share_raised_ms = now_ms
        if share == self._share:
            return
        if (
            self._share_raised_ms is not None
            and now_ms - self._share_raised_ms < self._longest_window_ms()
        ):
            return
        self._share_raised_ms = None
        self._share = share
        for account in (*self._teams.values(), *self._organisations.values()):
            if account.share != share:
                account.configure(account.limits, share)
        self._configure_pacer(now_ms)

    def assume_used(self, spare_part: float, now_ms: float) -> None:
        """Assume that earlier schedulers used all windows.

        Args:
            spare_part: Part of the tolerance that stays usable.
            now_ms: Current time.
        """
        for account in (*self._teams.values(), *self._organisations.values()):
            if account.window is not None:
                account.window.assume_used(spare_part, now_ms)

    def uses(self, now_ms: float) -> list[TokenUse]:
        """Return the usage that this scheduler granted in the current windows."""
        found = []
        for name, account in self._organisations.items():
            if account.window is not None:
                found.extend(account.window.uses(name, now_ms))
        return found

    def unrecorded_share(self) -> float:
        """Return the largest share of a tolerance that is used and not yet saved."""
        shares = (window.unrecorded_share() for window in self._windows())
        return max(shares, default=0.0)

    def mark_recorded(self) -> None:
        """Mark all usage until now as saved."""
        for window in self._windows():
            window.mark_recorded()

    def unreported_share(self) -> float:
        """Return the largest share of a tolerance not yet reported to others."""
        shares = (abs(window.unreported_share()) for window in self._windows())
        return max(shares, default=0.0)

    def take_unreported(self) -> list[TokenUse]:
        """Return the usage since the last report and mark it as reported."""
        unreported = []
        for name, account in self._organisations.items():
            if account.window is None:
                continue
            tokens, bound = account.window.take_unreported()
            if tokens:
                unreported.append(TokenUse(name, 0, tokens, bound=bound))
        return unreported

    def add_reported(
        self,
        source: tuple[str, str],
        uses: Iterable[TokenUse],
        now_ms: float,
        *,
        adds: bool,
    ) -> None:
        """Count usage that another scheduler reports.

        An organisation's limit applies to all schedulers and services together.

        Args:
            source: Service and scheduler that granted the usage.
            uses: The reported usage.
            now_ms: Current time.
            adds: Whether it is added to earlier reports of the source or replaces
                them.
        """
        if not adds:
            for window in self._windows():
                window.drop_reported(source)
            if self._pacer is not None:
                self._pacer.drop_reported(source, now_ms)
        for use in uses:
            self._add_reported(use, source, now_ms)

    def _add_reported(
        self, use: TokenUse, source: tuple[str, str], now_ms: float
    ) -> None:
        account = self._organisations.get(use.organisation)
        if account is not None and account.window is not None:
            at_ms = now_ms - use.age_ms
            account.window.add_reported(use.tokens, at_ms, use.bound, source)
            if self._pacer is not None:
                self._pacer.add_reported(use, source, at_ms)

    def _windows(self) -> list[SlidingWindow]:
        accounts = self._organisations.values()
        return [account.window for account in accounts if account.window is not None]

    def guess_part(self, now_ms: float) -> float:
        """Return the largest part of a limit that is only assumed to be used."""
        parts = (window.guess_part(now_ms) for window in self._windows())
        return max(parts, default=0.0)

    def guessed_organisations(self, now_ms: float) -> list[str]:
        """Return the organisations for which usage is partly assumed."""
        return [
            name
            for name, account in self._organisations.items()
            if account.window is not None and account.window.guess_part(now_ms) > 0
        ]

    def replace_reported(
        self, uses: Iterable[TokenUse], now_ms: float, *, guess_part: float = 0.0
    ) -> None:
        """Replace all usage of other schedulers by what they saved and reported.

        Args:
            uses: The saved and reported usage.
            now_ms: Current time.
            guess_part: Part of limits that the reporting schedulers only assume to
                be used.
        """
        for window in self._windows():
            window.clear_reported(guess_part)
        if self._pacer is not None:
            self._pacer.drop_reported(None, now_ms)
        for use in uses:
            self._add_reported(use, use.source, now_ms)

    def configure(self, tree: Tree, now_ms: float) -> None:
        """Apply the limits of a settings tree; unchanged ones keep their usage."""
        self._accounts_by_tenant.clear()
        for name, team in tree.teams.items():
            _configure_account(self._teams, name, team.limits, self._share)
        for name, organisation in tree.organisations.items():
            _configure_account(
                self._organisations, name, organisation.limits, self._share
            )
        self._configure_pacer(now_ms)

    def _configure_pacer(self, now_ms: float) -> None:
        if self._pacer is None:
            return
        for name, account in self._organisations.items():
            self._pacer.configure(name, account.limits, account.share, now_ms)

    def pace(self, request: PacedRequest, now_ms: float) -> Pace | Refusal:
        """Decide whether a request waits for its organisation's rate.

        A request that passes is admitted next, which charges it. Retries and requests
        admitted by an earlier scheduler pass.
        """
        handle = request.handle
        if self._pacer is None or handle.attempt > 0 or handle.admitted:
            return Pace.PASSES
        if not self._pacer.is_paced(handle.organisation):
            return Pace.PASSES
        window = self._organisations[handle.organisation].window
        team = self._teams.get(handle.team)
        if team is not None:
            refusal = _refuse_over_limit(team, request.tokens, now_ms)
            if refusal is not None:
                return refusal
        window_wait_ms = window.room_in_ms(request.tokens, now_ms)
        result = self._pacer.offer(request, window_wait_ms, now_ms)
        if isinstance(result, Refusal):
            return self._later_refusal(request, result, now_ms)
        return result

    def is_pacing(self, request_id: str) -> bool:
        """Return whether a request waits for its organisation's rate."""
        return self._pacer is not None and request_id in self._pacer

    def next_released(self, now_ms: float) -> PacedRequest | None:
        """Remove and return a request whose turn has come, to be admitted next."""
        if self._pacer is None:
            return None

        def has_room(handle: Handle) -> bool:
            window = self._organisations[handle.organisation].window
            return window.room_in_ms(handle.charge_tokens, now_ms) <= 0

        return self._pacer.next_released(has_room, now_ms)

    def expire_paced(self, now_ms: float) -> list[tuple[PacedRequest, Refusal]]:
        """Remove and return the requests that have waited too long for their rate.

        If the window lets them pass later than the rate, they are refused by it.
        """
        expired = [] if self._pacer is None else self._pacer.expire(now_ms)
        return [
            (request, self._later_refusal(request, refusal, now_ms))
            for request, refusal in expired
        ]

    def _later_refusal(
        self, request: PacedRequest, refusal: Refusal, now_ms: float
    ) -> Refusal:
        window = self._organisations[request.handle.organisation].window
        # Reserves no room in the window unless its refusal is returned.
        if window.room_in_ms(request.tokens, now_ms) <= refusal.retry_after_ms:
            return refusal
        by_window = _window_refusal(window, request.tokens, now_ms)
        return refusal if by_window is None else by_window

    def remove_paced(self, request_id: str) -> bool:
        """Remove a request that waits for its rate; return whether it did."""
        return self._pacer is not None and self._pacer.remove(request_id) is not None

    def paced(
        self, now_ms: float, beside_waiting: Collection[str] | None = None
    ) -> tuple[PacedLimit, ...]:
        """Return the status of paced organisations; see ``LimitPacer.status``."""
        return () if self._pacer is None else self._pacer.status(now_ms, beside_waiting)

    def admit(self, handle: Handle, tokens: int, now_ms: float) -> Refusal | None:
        """Charge a request to its limits, or refuse it with a retry time.

        A retried request is not charged. Rates that an earlier scheduler charged are
        not charged again. A sliding window does charge a request that waited under
        another scheduler, since that one counts only what it granted itself; such a
        request is refused only where known usage is too high.
        """
        if handle.attempt > 0:
            return None
        accounts = self._accounts(handle)
        check = _refuse_readmitted if handle.admitted else _refuse_over_limit
        for account in accounts:
            refusal = check(account, tokens, now_ms)
            if refusal is not None:
                return refusal
        for account in accounts:
            if account.window is not None:
                account.window.take(tokens, now_ms)
            if not handle.admitted:
                _charge_rates(account, 1.0, tokens)
        if self._pacer is not None:
            self._pacer.record_pass(handle, now_ms)
        return None

    def record_grant(
        self, handle: Handle, tokens: int, taken_ms: float, now_ms: float
    ) -> None:
        """Move a request's charge to the time of its grant.

        If requests were counted at arrival, a burst that waits together would run in
        a later window than the one it is counted in. A retry is counted with the
        first attempt.

        Args:
            handle: The request.
            tokens: Tokens charged on arrival.
            taken_ms: Time of the charge.
            now_ms: Time of the grant.
        """
        if handle.attempt > 0:
            return
        for account in self._accounts(handle):
            if account.window is not None:
                account.window.record_passed(tokens, taken_ms, now_ms)

    def correct(self, handle: Handle, tokens: int) -> None:
        """Charge tokens beyond the expected ones; negative tokens refund."""
        for account in self._accounts(handle):
            if account.tokens is not None:
                account.tokens.take(tokens)

    def give_back(self, handle: Handle, tokens: int, taken_ms: float = 0.0) -> None:
        """Refund the charge of a request that was not run.

        Nothing is refunded for a retry, and no rates for a request that an earlier
        scheduler admitted: they were not charged here.

        Args:
            handle: The request.
            tokens: Tokens charged on arrival.
            taken_ms: Time of the charge.
        """
        if handle.attempt > 0:
            return
        for account in self._accounts(handle):
            if account.window is not None:
                account.window.give_back(tokens, taken_ms)
            if not handle.admitted:
                _charge_rates(account, -1.0, -tokens)
        if self._pacer is not None:
            self._pacer.refund(handle)

    def is_at_concurrency_limit(self, handle: Handle) -> bool:
        """Return whether one of the request's concurrency limits is reached."""
        accounts = self._accounts(handle)
        return bool(accounts) and any(
            account.is_at_concurrency_limit() for account in accounts
        )

    def record_start(self, handle: Handle) -> None:
        """Count a running request."""
        for account in self._accounts(handle):
            account.running += 1

    def record_end(self, handle: Handle) -> None:
        """Remove a running request from the count."""
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
    """Charge an account's rates; negative amounts refund."""
    if account.requests is not None:
        account.requests.take(requests)
    if account.tokens is not None:
        account.tokens.take(tokens)


def _refuse_readmitted(account: _Account, tokens: int, now_ms: float) -> Refusal | None:
    """Refuse a request admitted elsewhere only if known usage is too high."""
    if account.window is None or not account.window.is_over_tolerance(tokens, now_ms):
        return None
    return _window_refusal(account.window, tokens, now_ms)


def _window_refusal(
    window: SlidingWindow, tokens: int, now_ms: float
) -> Refusal | None:
    """Refuse tokens over the limit; `LIMIT_GUESSED` if only assumed usage fills it."""
    wait_ms = window.wait_ms(tokens, now_ms)
    if wait_ms <= 0:
        return None
    is_full = window.is_full_without_assumed(tokens, now_ms)
    reason = Reason.TOKEN_LIMIT if is_full else Reason.LIMIT_GUESSED
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
