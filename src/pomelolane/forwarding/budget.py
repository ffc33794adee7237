"""The budget of repeated sends, shared out between the VMs that are alive.

Each VM may spend a part of what its own requests earn and an equal share of
the slack, so that all of them together stay within the whole budget. Nothing
is saved over a restart: a VM that starts anew has one repeat to spend at first.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

_EARNED_PART = 0.7
"""Part of the allowed ratio that is used; the rest covers uneven windows."""

_SLACK_PART = 0.5
"""Part of the slack that is shared out; the rest covers wrong VM counts."""


class SharedRetryBudget:
    """A token bucket for one service on one VM.

    Args:
        ratio: Repeats allowed for each request.
        slack: Repeats allowed beside, over all VMs.
        vm_count: Returns how many VMs share it.
    """

    def __init__(self, ratio: float, slack: float, vm_count: Callable[[], int]) -> None:
        self._ratio = ratio * _EARNED_PART
        self._slack = slack * _SLACK_PART
        self._vm_count = vm_count
        self._balance = 1.0

    @property
    def balance(self) -> float:
        """Repeats that may be sent now."""
        return self._balance

    def earn(self) -> None:
        """Count a request's first send."""
        most = max(2.0, self._slack / max(1, self._vm_count()))
        self._balance = min(most, self._balance + self._ratio)

    def spend(self) -> bool:
        """Take one repeat; False where the budget is used up."""
        if self._balance < 1.0:
            return False
        self._balance -= 1.0
        return True
