"""Notices a stream that has fallen silent in the middle."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from pomelolane.ports import Clock

RECHECK_MS = 250.0
"""When to ask again whether a silent stream may be left; budgets fill in seconds."""


class StallWatch:
    """Watches the reads of one stream; costs nothing for each of them.

    Args:
        patience_ms: Silence after which the stream is to be left.
        leave: Leaves the stream; returns False where it has to be waited for.
        clock: Time.
    """

    def __init__(
        self, patience_ms: float, leave: Callable[[], bool], clock: Clock
    ) -> None:
        self._patience_ms = patience_ms
        self._leave = leave
        self._clock = clock
        self._reading_since_ms: float | None = None
        self.has_left = False
        self._timer = self._check_in(patience_ms)

    def begin_read(self) -> None:
        """Note that bytes are waited for from now on."""
        self._reading_since_ms = self._clock.now_ms()

    def end_read(self) -> None:
        """Note that bytes have come, or the end."""
        self._reading_since_ms = None

    def stop(self) -> None:
        """Watch no more."""
        self._timer.cancel()

    def _check_in(self, ms: float) -> asyncio.TimerHandle:
        return asyncio.get_running_loop().call_later(ms / 1000, self._check)

    def _check(self) -> None:
        since_ms = self._reading_since_ms
        silent_ms = 0.0 if since_ms is None else self._clock.now_ms() - since_ms
        if silent_ms < self._patience_ms:
            self._timer = self._check_in(self._patience_ms - silent_ms)
        elif self._leave():
            self.has_left = True
        else:
            self._timer = self._check_in(RECHECK_MS)
