"""What the pacer of one organisation knows of its demand."""

from __future__ import annotations

import heapq
import math
from itertools import chain
from math import inf

_PROMISE_GRACE_MS = 500.0
"""How long after its retry time the tokens of a refused caller still count: messages,
clocks and the caller's own connection take that long."""

_LEVEL_PERIOD_MS = 5_000.0
"""Period of which the highest levels count, and those of the period before."""

_OVER_LIMIT_MS = 1_000.0
"""How long after a refusal an organisation counts as over its limit."""

_ALLOWED_MS = 2_000.0
"""Time of the rate by which demand may exceed rate and burst. With 1 s, chance peaks of
an organisation that asks .9 of its rate count as over the limit; with 3 s, large
requests at four times the limit were served .76 as often as small ones in one of eight
trials."""

_MOST_EXCESS_MS = 200.0
"""Time in which the rate makes up for the largest excess that is remembered. Otherwise
one large request makes an organisation count as over its limit for long."""

_PASS_RATE_MS = 1_000.0
"""Time constant of the rates at which tokens pass."""

_MIN_PASS_RATE_MS = 200.0
"""Shortest period that a rate covers after the first pass; over less, a single request
would give a very high rate."""


class Promises:
    """Tokens promised to refused callers at their retry times."""

    def __init__(self) -> None:
        self._heap: list[tuple[float, int]] = []
        self._sum = 0

    def total(self, now_ms: float) -> int:
        """Return the tokens that are promised now."""
        while self._heap and self._heap[0][0] <= now_ms:
            self._sum -= heapq.heappop(self._heap)[1]
        return self._sum

    def add(self, tokens: int, retry_at_ms: float) -> None:
        """Promise tokens to a caller that may return at a time."""
        heapq.heappush(self._heap, (retry_at_ms + _PROMISE_GRACE_MS, tokens))
        self._sum += tokens


class PassRates:
    """Tokens per millisecond that pass, by rank, as decaying averages."""

    def __init__(self) -> None:
        self._sums: dict[int, tuple[float, float, float]] = {}

    def add(self, rank: int, tokens: float, now_ms: float) -> None:
        """Count tokens that pass."""
        total, weight_ms, at_ms = self._sums.get(rank, (0.0, 0.0, now_ms))
        decay = math.exp((at_ms - now_ms) / _PASS_RATE_MS)
        weight_ms = weight_ms * decay + _PASS_RATE_MS * (1.0 - decay)
        self._sums[rank] = total * decay + tokens, weight_ms, now_ms

    def more_urgent(self, rank: int, now_ms: float) -> float:
        """Return the rate of all ranks that are more urgent."""
        rate = 0.0
        for one, (total, weight_ms, at_ms) in self._sums.items():
            if one < rank:
                decay = math.exp((at_ms - now_ms) / _PASS_RATE_MS)
                weight_ms = weight_ms * decay + _PASS_RATE_MS * (1.0 - decay)
                rate += total * decay / max(weight_ms, _MIN_PASS_RATE_MS)
        return rate


class KeptLevels:
    """The highest level with which a recent request could wait, by rank.

    Small requests find tokens more often than large ones. While an organisation is over
    its limit, requests leave the tokens that large requests of their rank or of more
    urgent ranks need on arrival to have their turn in time.

    An organisation is over its limit if a request was refused recently and its whole
    demand, refused requests included, exceeds rate and burst by more than the rate of
    ``_ALLOWED_MS``.
    """

    def __init__(self) -> None:
        self._excess_tokens = -inf
        self._counted_ms = 0.0
        self._current: dict[int, float] = {}
        self._previous: dict[int, float] = {}
        self._until_ms = -inf
        self._over_until_ms = -inf

    def count_demand(
        self, tokens: int, tokens_per_ms: float, burst_tokens: float, now_ms: float
    ) -> None:
        """Count the tokens of an arriving request."""
        refilled = self._excess_tokens - (now_ms - self._counted_ms) * tokens_per_ms
        least = -burst_tokens - _ALLOWED_MS * tokens_per_ms
        excess = max(refilled, least) + tokens
        self._excess_tokens = min(excess, _MOST_EXCESS_MS * tokens_per_ms)
        self._counted_ms = now_ms

    def add(self, rank: int, level: float, now_ms: float) -> None:
        """Record the level with which an arriving request could wait."""
        if now_ms >= self._until_ms:
            is_recent = now_ms < self._until_ms + _LEVEL_PERIOD_MS
            self._previous = self._current if is_recent else {}
            self._current = {}
            self._until_ms = now_ms + _LEVEL_PERIOD_MS
        self._current[rank] = max(level, self._current.get(rank, -inf))

    def record_refusal(self, now_ms: float) -> None:
        """Record a request that is refused, whatever level is kept for others."""
        self._over_until_ms = now_ms + _OVER_LIMIT_MS

    def is_over_limit(self, now_ms: float) -> bool:
        """Return whether demand exceeds the limit and requests were refused."""
        return self._excess_tokens > 0 and now_ms < self._over_until_ms

    def highest(self, below_rank: int, now_ms: float) -> float:
        """Return the highest level of the ranks below one, while over the limit."""
        if not self.is_over_limit(now_ms):
            return -inf
        levels = chain(self._current.items(), self._previous.items())
        return max((level for one, level in levels if one < below_rank), default=-inf)
