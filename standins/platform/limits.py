"""Rate limits of the platform's services.

A token bucket that allows a second's worth at once; time is passed in.
"""

from __future__ import annotations

MS_PER_S = 1000.0


class RateLimit:
    """Allows so many units a second, and a second's worth in a burst."""

    def __init__(self, per_s: float, now_ms: float) -> None:
        self._per_s = per_s
        self._level = per_s
        self._filled_at_ms = now_ms

    def wait_ms(self, now_ms: float, units: float = 1.0) -> float:
        """Take units if there are enough.

        A demand larger than the bucket is let through from a full one, and
        the debt is paid before the next.

        Returns:
            0 where taken, else how long until they can be had.
        """
        elapsed_ms = now_ms - self._filled_at_ms
        self._filled_at_ms = now_ms
        refilled = self._level + elapsed_ms * self._per_s / MS_PER_S
        self._level = min(self._per_s, refilled)
        needed = min(units, self._per_s)
        if self._level >= needed:
            self._level -= units
            return 0.0
        return (needed - self._level) * MS_PER_S / self._per_s


__all__ = ["RateLimit"]
