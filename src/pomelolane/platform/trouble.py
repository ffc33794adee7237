"""Tells an outage of the metadata store from a single call that failed."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

from pomelolane import events
from pomelolane.logs import log_event

if TYPE_CHECKING:
    from pomelolane.ports import Clock

_FIRST_PAUSE_S = 0.1
_LONGEST_PAUSE_S = 0.5
"""Of a VM that reads for others: they wait for its word after an outage."""

_LONGEST_PATIENT_PAUSE_S = 1.5
"""Of all others: news must be in force 3 s after an outage, and each call costs the
store. In an outage of 5 s a VM makes 14 calls with it for its two watches, not 24."""


class StoreTrouble:
    """Notes when the store is lost and regained, and how long to pause.

    Args:
        what: What is read, for the log.
        clock: Time.

    Attributes:
        failed_calls: How many calls in a row have failed.
    """

    def __init__(self, what: str, clock: Clock) -> None:
        self._what = what
        self._clock = clock
        self._good_ms = clock.now_ms()
        self._pause_s = 0.0
        self.failed_calls = 0

    @property
    def is_lost(self) -> bool:
        """Whether the last call failed."""
        return self._pause_s > 0

    def failed(self, error: Exception, *, is_reader: bool = True) -> float:
        """Return how long to pause before the next try.

        Args:
            error: What went wrong.
            is_reader: Whether other VMs wait for what this one reads.
        """
        if not self.is_lost:
            log_event(
                events.STORE_LOST,
                what=self._what,
                error=str(error),
                age_ms=self._clock.now_ms() - self._good_ms,
            )
        self.failed_calls += 1
        doubled = max(_FIRST_PAUSE_S, 2 * self._pause_s)
        longest_s = _LONGEST_PAUSE_S if is_reader else _LONGEST_PATIENT_PAUSE_S
        self._pause_s = min(longest_s, doubled)
        return self._pause_s * random.uniform(0.5, 1.0)

    def succeeded(self, version: int) -> bool:
        """Note a good answer; True where the store was lost before it."""
        now_ms = self._clock.now_ms()
        was_lost = self.is_lost
        if was_lost:
            log_event(
                events.STORE_REGAINED,
                what=self._what,
                down_ms=now_ms - self._good_ms,
                version=version,
            )
        self._good_ms = now_ms
        self._pause_s = 0.0
        self.failed_calls = 0
        return was_lost
