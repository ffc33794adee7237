"""Retry budget of a service, divided between the VMs that are alive.

Each VM may spend a part of what its own requests earn and an equal share of the slack,
so that all VMs together stay within the whole budget in any window. A VM that starts
has one retry to spend.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from pomelolane.ports import Clock

_EARNED_SHARE = 0.7
"""Part of the allowed ratio that is used; the rest covers uneven load over windows."""

_SLACK_SHARE = 0.45
"""Part of the slack that is the capacity of the bucket, and that is added per window.
A window allows twice this part at most, which must stay below the whole slack."""

_INITIAL_RETRIES = 1.0


@dataclass(frozen=True, slots=True)
class RetryAllowance:
    """Retries that all VMs together may send in any window.

    Attributes:
        ratio: Retries per request.
        slack: Retries allowed in addition, per window.
        window_ms: Length of a window.
    """

    ratio: float
    slack: float
    window_ms: float


class SharedRetryBudget:
    """Token bucket of the retries of one service on one VM.

    Args:
        allowance: Retries allowed over all VMs.
        vm_count: Returns the number of VMs that share the allowance.
        clock: Source of the current time.
    """

    def __init__(
        self, allowance: RetryAllowance, vm_count: Callable[[], int], clock: Clock
    ) -> None:
        self._ratio = allowance.ratio * _EARNED_SHARE
        self._slack = allowance.slack * _SLACK_SHARE
        self._window_ms = allowance.window_ms
        self._vm_count = vm_count
        self._clock = clock
        self._balance = _INITIAL_RETRIES
        self._refilled_ms = clock.now_ms()

    @property
    def balance(self) -> float:
        """Number of retries that may be sent now."""
        self._refill(0.0)
        return self._balance

    def earn(self) -> None:
        """Add what a request's first send earns."""
        self._refill(self._ratio)

    def spend(self) -> bool:
        """Take one retry from the budget; return False if it is used up."""
        self._refill(0.0)
        if self._balance < 1.0:
            return False
        self._balance -= 1.0
        return True

    def _refill(self, earned: float) -> None:
        now_ms = self._clock.now_ms()
        share = self._slack / max(1, self._vm_count())
        refilled = share * (now_ms - self._refilled_ms) / self._window_ms
        self._refilled_ms = now_ms
        capacity = max(_INITIAL_RETRIES, share)
        self._balance = min(capacity, self._balance + earned + refilled)
