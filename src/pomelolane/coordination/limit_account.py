"""What a desk counts of organisations' limits, as of the desk's own clock."""

from __future__ import annotations

from typing import TYPE_CHECKING

from pomelolane.scheduler.limits import UsageLimiter

if TYPE_CHECKING:
    from collections.abc import Iterable

    from pomelolane.ports import Clock, SchedulingCore
    from pomelolane.scheduler.rate_limiting import TokenUse


class LimitAccount:
    """The account of one desk.

    Args:
        book: What was let pass, and the limits.
        clock: The desk's time.
    """

    def __init__(self, book: UsageLimiter, clock: Clock) -> None:
        self._book = book
        self._clock = clock

    def assume_used(self, spare_part: float) -> None:
        """Guess that other schedulers let pass all that limits allow.

        Args:
            spare_part: Part of what is allowed beside limits that may pass still.
        """
        self._book.assume_used(spare_part, self._clock.now_ms())

    def uses(self) -> list[TokenUse]:
        """Return what passed here and still counts."""
        return self._book.uses(self._clock.now_ms())

    def unrecorded_share(self) -> float:
        """Return the largest part of an allowance that is not on record yet."""
        return self._book.unrecorded_share()

    def mark_recorded(self) -> None:
        """Take note that the uses until now are on record."""
        self._book.mark_recorded()

    def untold_share(self) -> float:
        """Return the largest part of an allowance that is news to other schedulers."""
        return self._book.unreported_share()

    def take_news(self) -> list[TokenUse]:
        """Return what passed since the last news; it counts as told then."""
        return self._book.take_unreported()

    def guess_part(self) -> float:
        """Return the part of limits that is counted as used by a guess."""
        return self._book.guess_part(self._clock.now_ms())

    def guessed(self) -> list[str]:
        """Return the organisations whose limits are judged by a guess."""
        return self._book.guessed_organisations(self._clock.now_ms())

    def take_uses(self, uses: Iterable[TokenUse], *, guess_part: float = 0.0) -> None:
        """Count what others let pass.

        Args:
            uses: What they have recorded and told.
            guess_part: Part of limits that those who told it count by a guess.
        """
        self._book.replace_reported(uses, self._clock.now_ms(), guess_part=guess_part)

    def hear(
        self, source: tuple[str, str], uses: Iterable[TokenUse], *, adds: bool
    ) -> None:
        """Count what another scheduler tells that it let pass.

        Args:
            source: Whose account it is: the service and the start of a VM.
            uses: What passed there.
            adds: Whether it comes on top of what was told before, or replaces it.
        """
        self._book.add_reported(source, uses, self._clock.now_ms(), adds=adds)


def account_from_core(core: SchedulingCore, clock: Clock) -> LimitAccount:
    """Return a core's account, an empty one where it shares no limits."""
    return LimitAccount(getattr(core, "limits", None) or UsageLimiter(), clock)
