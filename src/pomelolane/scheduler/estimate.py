"""Speeds of endpoints and lengths of answers, learnt from the streams.

Estimates decay, so that what an endpoint did a minute ago weighs little; until
something was observed, declarations stand in.
"""

from __future__ import annotations

from dataclasses import dataclass

_LN_2 = 0.6931471805599453


class DecayingRate:
    """Amount per millisecond over a decaying past, with a prior.

    Args:
        prior_per_ms: Rate to assume before anything was observed.
        prior_ms: Weight of that assumption, as observed time.
        half_life_ms: Observed time after which a sample counts half.
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


class QuantileRatio:
    """A quantile of actual over expected, tracked one sample at a time.

    Args:
        quantile: Which one, 0..1.
        step: Relative size of a correction.
    """

    __slots__ = ("_quantile", "_step", "samples", "value")

    def __init__(self, quantile: float, step: float) -> None:
        self.value = 1.0
        self.samples = 0
        self._quantile = quantile
        self._step = step

    def add(self, ratio: float) -> None:
        """Move the estimate towards a new sample."""
        self.samples += 1
        step = max(self._step, 0.5 / self.samples)
        if ratio > self.value:
            self.value *= 1.0 + step * self._quantile
        else:
            self.value *= 1.0 - step * (1.0 - self._quantile)
        self.value = min(_MAX_RATIO, max(_MIN_RATIO, self.value))


_MAX_RATIO = 4.0
_MIN_RATIO = 0.02
_SHORT_QUANTILE = 0.1
_MIDDLE_QUANTILE = 0.6
_LONG_QUANTILE = 0.95
_LENGTH_STEP = 0.05
_CHANCE_SHARE = 0.8


@dataclass(frozen=True, slots=True)
class _LengthKey:
    work: str
    organisation: str


@dataclass(frozen=True, slots=True)
class ExpectedLength:
    """Answer length to plan with.

    Attributes:
        short_tokens: Few answers are shorter.
        middle_tokens: About as many answers are longer as are shorter.
        long_tokens: Few answers are longer.
    """

    short_tokens: int
    middle_tokens: int
    long_tokens: int


class _Ratios:
    """Actual over expected length of one kind of answer."""

    __slots__ = ("long", "middle", "short")

    def __init__(self) -> None:
        self.short = QuantileRatio(_SHORT_QUANTILE, _LENGTH_STEP)
        self.middle = QuantileRatio(_MIDDLE_QUANTILE, _LENGTH_STEP)
        self.long = QuantileRatio(_LONG_QUANTILE, _LENGTH_STEP)


class AnswerLengths:
    """Answer lengths of one service, by work and organisation.

    Args:
        enabled: Whether to learn; otherwise the expected length stands.
    """

    def __init__(self, *, enabled: bool = True) -> None:
        self._enabled = enabled
        self._ratios: dict[_LengthKey, _Ratios] = {}

    def expect(
        self, work: str, organisation: str, expected_tokens: int
    ) -> ExpectedLength:
        """Return the answer length to plan with."""
        ratios = self._ratios.get(_LengthKey(work, organisation))
        if ratios is None or not self._enabled:
            return ExpectedLength(expected_tokens, expected_tokens, expected_tokens)
        middle = max(1, round(expected_tokens * ratios.middle.value))
        long = max(middle, round(expected_tokens * ratios.long.value))
        short = min(middle, max(1, round(expected_tokens * ratios.short.value)))
        return ExpectedLength(short, middle, long)

    def learn(
        self, work: str, organisation: str, expected_tokens: int, tokens: int
    ) -> None:
        """Take in the length of a whole answer."""
        if expected_tokens <= 0 or tokens <= 0:
            return
        key = _LengthKey(work, organisation)
        ratios = self._ratios.get(key)
        if ratios is None:
            ratios = self._ratios[key] = _Ratios()
        ratios.short.add(tokens / expected_tokens)
        ratios.middle.add(tokens / expected_tokens)
        ratios.long.add(tokens / expected_tokens)


def needed_ms(middle_ms: float, long_ms: float, budget_ms: float) -> float:
    """Return the time that a request should still have when it begins.

    That is enough for a long answer; but where a long answer would need most of
    the whole budget, a request that begins early enough gets its chance.
    """
    return min(long_ms, max(middle_ms, _CHANCE_SHARE * budget_ms))


class DecayingCount:
    """A count whose older part fades with time, for arrival rates.

    Args:
        half_life_ms: Time after which an arrival counts half.
    """

    __slots__ = ("_at_ms", "_half_life_ms", "_value")

    def __init__(self, half_life_ms: float) -> None:
        self._half_life_ms = half_life_ms
        self._value = 0.0
        self._at_ms = 0.0

    def add(self, amount: float, now_ms: float) -> None:
        """Count something now."""
        self._value = self.read(now_ms) + amount
        self._at_ms = now_ms

    def read(self, now_ms: float) -> float:
        """Return the faded count."""
        age_ms = now_ms - self._at_ms
        return self._value * 0.5 ** (age_ms / self._half_life_ms)

    def rate_per_ms(self, now_ms: float) -> float:
        """Return the rate that would keep the count where it is."""
        return self.read(now_ms) * _LN_2 / self._half_life_ms
