"""Estimators for speeds, answer lengths and arrival rates.

Old observations decay, so that an endpoint's behaviour a minute ago has little
weight. Before the first observation, declared values are used.
"""

from __future__ import annotations

import math
from bisect import bisect_left, bisect_right, insort
from collections import deque
from dataclasses import dataclass

_LN_2 = 0.6931471805599453
_MAX_RATIO = 4.0
# Declared lengths are typical ones; some answers are far longer.
_PRIOR_RATIOS = (1.0, 1.0, 2.0)
# Of a short, a typical and a long answer.
_QUANTILES = (0.1, 0.6, 0.98)
_MAX_ANSWERS = 128
_MIN_ANSWERS = 64
_CUT_LENGTH_FACTOR = 1.25
_START_BUDGET_SHARE = 0.8


class DecayingRate:
    """Exponentially decaying estimate of a rate, with a prior.

    Args:
        prior_per_ms: Rate assumed before the first observation.
        prior_ms: Weight of the prior, as observed time.
        half_life_ms: Observed time after which a sample's weight has halved.
    """

    __slots__ = ("_amount", "_half_life_ms", "_ms")

    def __init__(
        self, prior_per_ms: float, prior_ms: float, half_life_ms: float
    ) -> None:
        self._amount = prior_per_ms * prior_ms
        self._ms = prior_ms
        self._half_life_ms = half_life_ms

    def add(self, amount: float, elapsed_ms: float) -> None:
        """Add an observation."""
        if elapsed_ms <= 0:
            return
        keep = 0.5 ** (elapsed_ms / self._half_life_ms)
        self._amount = self._amount * keep + amount
        self._ms = self._ms * keep + elapsed_ms

    @property
    def per_ms(self) -> float:
        """Return the current estimate."""
        return self._amount / self._ms if self._ms else 0.0


@dataclass(frozen=True, slots=True)
class ExpectedLength:
    """Quantiles of the expected answer length.

    Attributes:
        short_tokens: Few answers are shorter.
        typical_tokens: About as many answers are longer as are shorter.
        long_tokens: Few answers are longer.
    """

    short_tokens: int
    typical_tokens: int
    long_tokens: int


class _LengthRatios:
    """Ratios of actual to expected length of the latest answers of one kind.

    The full length of a cut answer is unknown. It is estimated as the mean of the
    answers that were longer; otherwise a scheduler that cuts all long answers
    would learn that there are none.
    """

    __slots__ = (
        "_latest",
        "_quantile_indices",
        "_size",
        "_sorted",
        "has_enough_answers",
        "long",
        "short",
        "typical",
    )

    def __init__(self) -> None:
        self._latest = deque(_PRIOR_RATIOS)
        self._sorted = list(_PRIOR_RATIOS)
        self._size = 0
        self._quantile_indices: tuple[int, ...] = ()
        self.has_enough_answers = False
        self._summarise()

    def add(self, ratio: float, *, cut: bool) -> None:
        """Add the ratio of a complete or cut answer."""
        ratio = min(_MAX_RATIO, ratio)
        if cut:
            ratio = self._estimate_full_ratio(ratio)
        self._latest.append(ratio)
        insort(self._sorted, ratio)
        if len(self._latest) > _MAX_ANSWERS:
            oldest = self._latest.popleft()
            del self._sorted[bisect_left(self._sorted, oldest)]
        self._summarise()

    def _summarise(self) -> None:
        size = len(self._sorted)
        if size != self._size:
            self._size = size
            self._quantile_indices = tuple(
                math.ceil(each * size) - 1 for each in _QUANTILES
            )
            self.has_enough_answers = size >= _MIN_ANSWERS
        short, typical, long = self._quantile_indices
        self.short = self._sorted[short]
        self.typical = self._sorted[typical]
        self.long = self._sorted[long]

    def _estimate_full_ratio(self, ratio: float) -> float:
        """Estimate the ratio that a cut answer would have had when complete."""
        longer = self._sorted[bisect_right(self._sorted, ratio) :]
        if not longer:
            return min(_MAX_RATIO, _CUT_LENGTH_FACTOR * ratio)
        return sum(longer) / len(longer)


_PRIOR_LENGTHS = _LengthRatios()


class AnswerLengths:
    """Learns the answer lengths of one service by work and organisation.

    An organisation with few answers so far uses the lengths of all organisations.

    Args:
        enabled: Whether to learn; otherwise the declared length is returned.
    """

    def __init__(self, *, enabled: bool = True) -> None:
        self._enabled = enabled
        self._ratios: dict[tuple[str, str], _LengthRatios] = {}
        self._ratios_by_work: dict[str, _LengthRatios] = {}

    def expect(
        self, work: str, organisation: str, expected_tokens: int
    ) -> ExpectedLength:
        """Return the expected length of an answer."""
        if not self._enabled:
            return ExpectedLength(expected_tokens, expected_tokens, expected_tokens)
        ratios = self._ratios.get((work, organisation), _PRIOR_LENGTHS)
        if not ratios.has_enough_answers:
            ratios = self._ratios_by_work.get(work, _PRIOR_LENGTHS)
        typical = max(1, round(expected_tokens * ratios.typical))
        long = max(typical, round(expected_tokens * ratios.long))
        short = min(typical, max(1, round(expected_tokens * ratios.short)))
        return ExpectedLength(short, typical, long)

    def learn(
        self,
        work: str,
        organisation: str,
        expected_tokens: int,
        tokens: int,
        *,
        cut: bool = False,
    ) -> None:
        """Learn from an answer; of a cut one, `tokens` is the received part."""
        if expected_tokens <= 0 or tokens <= 0:
            return
        ratio = tokens / expected_tokens
        ratios = self._ratios.get((work, organisation))
        if ratios is None:
            ratios = self._ratios[work, organisation] = _LengthRatios()
        if not ratios.has_enough_answers:
            self._ratios_by_work.setdefault(work, _LengthRatios()).add(ratio, cut=cut)
        ratios.add(ratio, cut=cut)


def needed_ms(typical_ms: float, long_ms: float, budget_ms: float) -> float:
    """Return the time before its deadline by which a request should start.

    That is the time of a long answer. Where a long answer takes more than 80% of the
    budget, it is 80% of the budget, but at least the time of a typical answer.
    """
    return min(long_ms, max(typical_ms, _START_BUDGET_SHARE * budget_ms))


class DecayingCount:
    """Exponentially decaying count, for arrival rates.

    Args:
        half_life_ms: Time after which an arrival's weight has halved.
    """

    __slots__ = ("_at_ms", "_half_life_ms", "_value")

    def __init__(self, half_life_ms: float) -> None:
        self._half_life_ms = half_life_ms
        self._value = 0.0
        self._at_ms = 0.0

    def add(self, amount: float, now_ms: float) -> None:
        """Add an amount at the current time."""
        self._value = self.read(now_ms) + amount
        self._at_ms = now_ms

    def read(self, now_ms: float) -> float:
        """Return the decayed count."""
        age_ms = now_ms - self._at_ms
        return self._value * 0.5 ** (age_ms / self._half_life_ms)

    def rate_per_ms(self, now_ms: float) -> float:
        """Return the rate at which the count would stay constant."""
        return self.read(now_ms) * _LN_2 / self._half_life_ms
