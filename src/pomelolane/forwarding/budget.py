"""The budget of repeated sends, shared out between the VMs that are alive.

Each VM may spend a part of what its own requests earn and an equal share of
the slack, so that all of them together stay within the whole budget in any
window. A VM that starts anew has one repeat to spend at first.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from pomelolane.ports import Clock

_EARNED_PART = 0.7
"""Part of the allowed ratio that is used; the rest covers uneven windows."""

_SLACK_PART = 0.45
"""Part of the slack that may be saved up, and that comes anew in a window: both
together stay below the whole."""

_FIRST_REPEATS = 1.0


@dataclass(frozen=True, slots=True)
class RetryAllowance:
    """What is allowed over all VMs in any window.

    Attributes:
        ratio: Repeats for each request.
        slack: Repeats beside.
        window_ms: Length of a window.
    """

    ratio: float
    slack: float
    window_ms: float


class SharedRetryBudget:
    """A token bucket for one service on one VM.

    Args:
        allowance: What all VMs may do together.
        vm_count: Returns how many VMs share it.
        clock: Time.
    """

    def __init__(
        self, allowance: RetryAllowance, vm_count: Callable[[], int], clock: Clock
    ) -> None:
        self._ratio = allowance.ratio * _EARNED_PART
        self._slack = allowance.slack * _SLACK_PART
        self._window_ms = allowance.window_ms
        self._vm_count = vm_count
        self._clock = clock
        self._balance = _FIRST_REPEATS
        self._at_ms = clock.now_ms()

    @property
    def balance(self) -> float:
        """Repeats that may be sent now."""
        self._fill(0.0)
        return self._balance

    def earn(self) -> None:
        """Count a request's first send."""
        self._fill(self._ratio)

    def spend(self) -> bool:
        """Take one repeat; False where the budget is used up."""
        self._fill(0.0)
        if self._balance < 1.0:
            return False
        self._balance -= 1.0
        return True

    def _fill(self, earned: float) -> None:
        now_ms = self._clock.now_ms()
        share = self._slack / max(1, self._vm_count())
        gained = share * (now_ms - self._at_ms) / self._window_ms
        self._at_ms = now_ms
        most = max(_FIRST_REPEATS, share)
        self._balance = min(most, self._balance + earned + gained)
