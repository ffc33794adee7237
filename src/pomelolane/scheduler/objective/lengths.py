"""How many events an answer has for each token that its caller expects."""

from __future__ import annotations

import math

_STEP = 0.04
"""Weight of one answer: the last twenty-five or so count, about a second of traffic."""

_FIRST_STEP = 0.5
_LARGEST_ERROR = math.log(8.0)
"""Most that one answer may be off: a hint can be wrong by any factor."""


class EventSize:
    """Learns the expected tokens of an answer for each event that came of them.

    Hints are right at the median only, so the logarithm of the ratio is averaged.

    Args:
        tokens: Expected before any answer was seen.
    """

    def __init__(self, tokens: float) -> None:
        self.tokens = tokens
        self._seen = 0

    def learn(self, expected_tokens: int, events: int) -> None:
        """Take in a whole answer.

        Args:
            expected_tokens: What its caller expected.
            events: How many events it had.
        """
        if expected_tokens <= 0 or events <= 0:
            return
        self._seen += 1
        step = max(_STEP, _FIRST_STEP / self._seen)
        error = math.log(expected_tokens / events / self.tokens)
        error = max(-_LARGEST_ERROR, min(_LARGEST_ERROR, error))
        self.tokens = max(1.0, self.tokens * math.exp(step * error))


class Spread:
    """Learns by how much first answer bytes miss their prediction, in the mean."""

    def __init__(self) -> None:
        self.mean_ms = 0.0
        self._seen = 0

    def learn(self, took_ms: float, expected_ms: float) -> None:
        """Take in how long a first answer byte took; it is off by the whole at most."""
        self._seen += 1
        step = max(_STEP, _FIRST_STEP / self._seen)
        error_ms = min(expected_ms, abs(took_ms - expected_ms))
        self.mean_ms += step * (error_ms - self.mean_ms)
