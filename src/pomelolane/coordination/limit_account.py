"""Usage of organisations' limits in one service queue, on the queue's clock."""

from __future__ import annotations

from typing import TYPE_CHECKING

from pomelolane.scheduler.limits import UsageLimiter

if TYPE_CHECKING:
    from collections.abc import Iterable

    from pomelolane.ports import Clock, SchedulingCore
    from pomelolane.scheduler.rate_limiting import TokenUse


class LimitAccount:
    """Adds the current time to the calls on a queue's usage limiter.

    Args:
        limiter: Holds the limits and what has been admitted against them.
        clock: Clock of the service queue.
    """

    def __init__(self, limiter: UsageLimiter, clock: Clock) -> None:
        self._limiter = limiter
        self._clock = clock

    def assume_used(self, spare_part: float) -> None:
        """Assume that other schedulers have used up all limits.

        Args:
            spare_part: Part of the allowance beyond the limits that may still be used.
        """
        self._limiter.assume_used(spare_part, self._clock.now_ms())

    def uses(self) -> list[TokenUse]:
        """Return the usage admitted here that still counts."""
        return self._limiter.uses(self._clock.now_ms())

    def unrecorded_share(self) -> float:
        """Return the largest share of an allowance not written to the record yet."""
        return self._limiter.unrecorded_share()

    def mark_recorded(self) -> None:
        """Mark all usage until now as written to the record."""
        self._limiter.mark_recorded()

    def unreported_share(self) -> float:
        """Return the largest share of an allowance not sent to other schedulers yet."""
        return self._limiter.unreported_share()

    def take_unreported(self) -> list[TokenUse]:
        """Return the usage since the last call, which then counts as sent."""
        return self._limiter.take_unreported()

    def guess_part(self) -> float:
        """Return the part of the limits that is assumed, not known, to be used."""
        return self._limiter.guess_part(self._clock.now_ms())

    def guessed_organisations(self) -> list[str]:
        """Return the organisations whose limits are applied with assumed usage."""
        return self._limiter.guessed_organisations(self._clock.now_ms())

    def replace_reported(
        self, uses: Iterable[TokenUse], *, guess_part: float = 0.0
    ) -> None:
        """Add usage admitted by other schedulers.

        Args:
            uses: Usage that they have recorded and sent.
            guess_part: Part of the limits that the senders themselves only assume to
                be used.
        """
        self._limiter.replace_reported(
            uses, self._clock.now_ms(), guess_part=guess_part
        )

    def add_reported(
        self, source: tuple[str, str], uses: Iterable[TokenUse], *, adds: bool
    ) -> None:
        """Add usage that another scheduler has sent.

        Args:
            source: Service and incarnation of the VM that admitted it.
            uses: Usage admitted there.
            adds: Whether it adds to earlier usage of this source or replaces it.
        """
        self._limiter.add_reported(source, uses, self._clock.now_ms(), adds=adds)


def account_from_core(core: SchedulingCore, clock: Clock) -> LimitAccount:
    """Return a core's account, an empty one if the core shares no limits."""
    return LimitAccount(getattr(core, "limits", None) or UsageLimiter(), clock)
