"""A bound on log lines that others can cause."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from pomelolane.ports import Clock


class LogAllowance:
    """A token bucket of log lines that counts what it keeps back.

    Args:
        lines_per_s: Bound, and the burst that is allowed.
        clock: Source of the current time.

    Attributes:
        unlogged: Lines kept back since the last one that was allowed.
    """

    def __init__(self, lines_per_s: float, clock: Clock) -> None:
        self._lines_per_s = lines_per_s
        self._clock = clock
        self._room = max(1.0, lines_per_s)
        self._at_ms = clock.now_ms()
        self.unlogged = 0

    def take(self) -> int | None:
        """Return how many lines were kept back before this one, None to keep it."""
        now_ms = self._clock.now_ms()
        gained = (now_ms - self._at_ms) / 1000 * self._lines_per_s
        self._at_ms = now_ms
        self._room = min(max(1.0, self._lines_per_s), self._room + gained)
        if self._room < 1.0:
            self.unlogged += 1
            return None
        self._room -= 1.0
        unlogged, self.unlogged = self.unlogged, 0
        return unlogged
