"""The retry budget: how many repeated attempts this gateway may make.

It grows with the requests that succeed at first, so that a mass failure of
endpoints cannot turn into a storm of retries.
"""

from __future__ import annotations

DEFAULT_RATIO = 0.1
DEFAULT_RESERVE = 10.0


class RetryBudget:
    """A token bucket filled by first attempts.

    Args:
        ratio: Retries allowed for each first attempt.
        reserve: Retries allowed at the start, and the most ever saved up.
    """

    def __init__(
        self, ratio: float = DEFAULT_RATIO, reserve: float = DEFAULT_RESERVE
    ) -> None:
        self._ratio = ratio
        self._reserve = reserve
        self._balance = reserve

    def earn(self) -> None:
        """Count one first attempt."""
        self._balance = min(self._reserve, self._balance + self._ratio)

    def spend(self) -> bool:
        """Take one retry; False where the budget is used up."""
        if self._balance < 1.0:
            return False
        self._balance -= 1.0
        return True
