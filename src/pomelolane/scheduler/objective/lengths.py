"""Running estimates of tokens per answer event and of prediction errors."""

from __future__ import annotations

import math

from pomelolane.scheduler.objective.estimates import limited

_SMOOTHING = 0.04
"""Weight of one sample: averages over the last 25 or so, about a second of traffic."""

_INITIAL_SMOOTHING = 0.5
_MAX_LOG_ERROR = math.log(8.0)
"""Clamp for one sample, as a length hint can be wrong by any factor."""


class EventSize:
    """Estimates how many hinted answer tokens correspond to one answer event.

    Hints are right only at the median, so the logarithm of the ratio is averaged.

    Args:
        tokens: Initial estimate of tokens per event.
    """

    def __init__(self, tokens: float) -> None:
        self.tokens = tokens
        self._initial_tokens = tokens
        self._seen = 0
        self._has_learnt = False
        self._adopted_sampled_ms = -math.inf

    def adopt(self, tokens: float, weight: float, sampled_ms: float) -> None:
        """Follow the newest estimate of other schedulers until answers are seen here.

        Args:
            tokens: The other scheduler's estimate.
            weight: Part of its distance to the initial estimate that is taken.
            sampled_ms: When its newest sample was taken.
        """
        if self._has_learnt or sampled_ms < self._adopted_sampled_ms:
            return
        initial = self._initial_tokens
        distance = max(1.0, limited(tokens, initial)) - initial
        self.tokens = initial + weight * distance
        self._seen = max(1, int(weight * _INITIAL_SMOOTHING / _SMOOTHING))
        self._adopted_sampled_ms = sampled_ms

    def learn(self, expected_tokens: int, events: int) -> None:
        """Update the estimate from a complete answer.

        Args:
            expected_tokens: Answer length that the caller hinted.
            events: Number of events in the answer.
        """
        if expected_tokens <= 0 or events <= 0:
            return
        self._has_learnt = True
        self._seen += 1
        step = max(_SMOOTHING, _INITIAL_SMOOTHING / self._seen)
        error = math.log(expected_tokens / events / self.tokens)
        error = max(-_MAX_LOG_ERROR, min(_MAX_LOG_ERROR, error))
        self.tokens = max(1.0, self.tokens * math.exp(step * error))


class PredictionError:
    """Estimates the mean absolute error of predicted times to first byte."""

    def __init__(self) -> None:
        self.mean_ms = 0.0
        self._seen = 0

    def learn(self, took_ms: float, expected_ms: float) -> None:
        """Update the estimate from a measured time to first byte.

        The error of one sample is clamped to the predicted time.
        """
        self._seen += 1
        step = max(_SMOOTHING, _INITIAL_SMOOTHING / self._seen)
        error_ms = min(expected_ms, abs(took_ms - expected_ms))
        self.mean_ms += step * (error_ms - self.mean_ms)
