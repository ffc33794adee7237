"""Waiting between attempts: exponential, bounded and jittered.

Jitter keeps the VMs from returning to a recovered platform all at once.
"""

from __future__ import annotations

import asyncio
import random
from dataclasses import dataclass

DEFAULT_FIRST_MS = 20.0
DEFAULT_MOST_MS = 2000.0

_GROWTH = 2.0


@dataclass(slots=True)
class Backoff:
    """Successive waits of one retried operation.

    Attributes:
        next_ms: Upper bound of the next wait.
        most_ms: Upper bound of any wait.
    """

    next_ms: float = DEFAULT_FIRST_MS
    most_ms: float = DEFAULT_MOST_MS

    async def wait(self) -> None:
        """Sleep for the next wait and lengthen the one after it."""
        wait_ms = self.next_ms * random.uniform(0.5, 1.0)
        self.next_ms = min(self.next_ms * _GROWTH, self.most_ms)
        await asyncio.sleep(wait_ms / 1000.0)
