"""Whether the platform answers, as this VM's own calls see it.

Each change is logged once, so that an outage is two lines and not thousands.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from pomelolane.events import PLATFORM_DOWN, PLATFORM_UP
from pomelolane.logs import log_event

if TYPE_CHECKING:
    from pomelolane.ports import Clock


class PlatformHealth:
    """Tracks up and down from the results of calls.

    Args:
        clock: Measures how long an outage lasts.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._down_since_ms: float | None = None

    @property
    def is_up(self) -> bool:
        """Whether the last call was answered; true before the first."""
        return self._down_since_ms is None

    @property
    def down_ms(self) -> float:
        """How long the platform has been down, 0 while it is up."""
        if self._down_since_ms is None:
            return 0.0
        return self._clock.now_ms() - self._down_since_ms

    def note_answer(self) -> None:
        """Record that the platform answered."""
        if self._down_since_ms is None:
            return
        log_event(PLATFORM_UP, down_ms=self.down_ms)
        self._down_since_ms = None

    def note_failure(self, error: Exception) -> None:
        """Record that a call got no answer or a refusal to serve."""
        if self._down_since_ms is not None:
            return
        self._down_since_ms = self._clock.now_ms()
        log_event(PLATFORM_DOWN, error=f"{type(error).__name__}: {error}")
