"""What an engine tells of itself: load with a lag, cache events late with gaps.

Time is passed in, so that both can be tested without waiting.
"""

from __future__ import annotations

import random
from collections import deque
from dataclasses import dataclass

import msgspec

EVENTS_KEPT = 100_000
EVENTS_PER_ANSWER = 5000


@dataclass(frozen=True, slots=True)
class LoadFigures:
    """The load at one time.

    Attributes:
        running: Requests in the batch.
        waiting: Requests in front of it.
        kv_used_tokens: Memory held by requests.
    """

    running: int
    waiting: int
    kv_used_tokens: int


class LaggedLoad:
    """Shows the load as it was a settable time ago."""

    def __init__(self, lag_ms: float) -> None:
        self.lag_ms = lag_ms
        self._shown = LoadFigures(0, 0, 0)
        self._later: deque[tuple[float, LoadFigures]] = deque()

    def record(self, figures: LoadFigures, now_ms: float) -> None:
        """Note the load, if it changed."""
        newest = self._later[-1][1] if self._later else self._shown
        if figures != newest:
            self._later.append((now_ms, figures))

    def read(self, now_ms: float) -> LoadFigures:
        """Return the load ``lag_ms`` ago."""
        while self._later and self._later[0][0] + self.lag_ms <= now_ms:
            self._shown = self._later.popleft()[1]
        return self._shown


class BlockEvent(msgspec.Struct, frozen=True):
    """A block was stored or evicted.

    Attributes:
        sequence: Its number; a jump shows that events were lost.
        stored: False for evicted.
        prefix_hash: The block.
    """

    sequence: int
    stored: bool
    prefix_hash: int


class BlockEvents(msgspec.Struct, frozen=True):
    """An answer with the events after a number."""

    events: list[BlockEvent]


class LateEvents:
    """Keeps cache events, shows them late and loses some."""

    def __init__(self, lag_ms: float, loss: float, seed: int) -> None:
        self.lag_ms = lag_ms
        self.loss = loss
        self._random = random.Random(seed)
        self._sequence = 0
        self._kept: deque[tuple[float, BlockEvent]] = deque(maxlen=EVENTS_KEPT)

    def record(self, stored: bool, block: int, now_ms: float) -> None:
        """Number an event and keep it, unless it is lost."""
        self._sequence += 1
        if self._random.random() >= self.loss:
            event = BlockEvent(self._sequence, stored, block)
            self._kept.append((now_ms, event))

    def read(self, after: int, now_ms: float) -> BlockEvents:
        """Return the events after a number that are old enough."""
        visible_until_ms = now_ms - self.lag_ms
        found: list[BlockEvent] = []
        for at_ms, event in self._kept:
            if at_ms > visible_until_ms or len(found) == EVENTS_PER_ANSWER:
                break
            if event.sequence > after:
                found.append(event)
        return BlockEvents(found)


__all__ = ["BlockEvent", "BlockEvents", "LaggedLoad", "LateEvents", "LoadFigures"]
