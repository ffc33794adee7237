"""Time, as every part sees it.

Parts take a clock and never read the time themselves.
"""

from __future__ import annotations

from typing import Protocol


class Clock(Protocol):
    """Monotonic time of one process."""

    def now_ms(self) -> float:
        """Return milliseconds from an arbitrary, fixed origin."""
