"""Canary analysis: compares answers of a new version with those of the old one.

A sequential test (CUSUM of log likelihood ratios, Page 1954) runs for each symptom, for
all routes together and for each route. It decides after about ten bad answers, also if
a version turns bad late. An alarm counts only if the old version did better in the same
period and if more than a single endpoint is affected.
"""

from __future__ import annotations

import math
from bisect import insort
from collections import Counter, defaultdict, deque
from dataclasses import dataclass, field
from enum import Enum
from statistics import fmean, median, pvariance
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

ALARM_THRESHOLD = 12.0
"""Cumulative log likelihood ratio that raises an alarm."""

MIN_BAD_SHARE_INCREASE = 0.15
"""Share of otherwise good answers that a bad version turns bad, under the alternative
hypothesis of the test."""

MAX_CHANCE_PROBABILITY = 1e-5
"""Probability above which an alarm counts as chance: that of as many bad answers from a
version as good as the old one. It is low as alarms select periods with many bad
answers."""

MIN_SHARE_STANDARD_ERRORS = 3.0
"""Standard errors by which the new endpoints' share of bad answers must exceed that of
the old endpoints."""

SLOW_FACTOR = 2.5
"""Multiple of the old version's 90th percentile above which an answer is slow."""

UNEVEN_FACTOR = 3.0
"""Multiple of an endpoint's own 25th percentile above which its answer is uneven."""

MIN_LOG_SLOWDOWN = 0.7
"""Difference of the mean logarithms of endpoints' times above which the new version is
slower as a whole: twice as slow."""

MIN_SLOWDOWN_STANDARD_ERRORS = 3.5
"""Standard errors that this difference must exceed as well."""

MIN_OLD_ANSWERS = 50
"""Answers of the old version needed before the new one is judged."""

BAD_ENDPOINT_SHARE = 0.15
"""Share of bad answers above which an old endpoint counts as faulty by itself."""

MAX_OUTLIERS_PROBABILITY = 0.01
"""Probability below which as many faulty endpoints are not chance: the version is
rejected."""

_MIN_ENDPOINTS = 3
_ENOUGH_ENDPOINTS = 6
_MIN_ANSWERS = 5
_WARM_UP_ANSWERS = 2
"""First answers of an endpoint, not judged by speed because it may still be cold."""

_MIN_VARIANCE = 0.04
_PRIOR_ANSWERS = 10.0
_MAX_ANSWERS_KEPT = 4_000
_MAX_SAMPLES_KEPT = 200


class Symptom(Enum):
    """A way in which an answer can be bad."""

    FAILED = "failed"
    SLOW = "slow"
    UNEVEN = "uneven"


@dataclass(frozen=True, slots=True)
class VersionAnswer:
    """One answer of an endpoint, or a request that ended without an answer.

    Attributes:
        endpoint_id: The endpoint.
        work: Name of the route.
        is_new: Whether the endpoint runs the new version.
        has_failed: Whether the request failed.
        slowness: Time to first byte divided by that predicted at speed 1. For an answer
            that never began, the time until the request ended is used. Negative if
            unknown.
        has_begun: Whether the answer began.
    """

    endpoint_id: str
    work: str
    is_new: bool
    has_failed: bool
    slowness: float = -1.0
    has_begun: bool = True


@dataclass(slots=True)
class _Counts:
    answers: int = 0
    bad: int = 0

    def share(self, prior: float) -> float:
        return (self.bad + _PRIOR_ANSWERS * prior) / (self.answers + _PRIOR_ANSWERS)


@dataclass(slots=True)
class _LikelihoodSum:
    value: float = 0.0
    started_ms: float = 0.0


@dataclass(slots=True)
class _SlownessSamples:
    """The last slowness samples of a route or endpoint, by age and sorted by size."""

    recent: deque[float] = field(
        default_factory=lambda: deque(maxlen=_MAX_SAMPLES_KEPT)
    )
    by_size: list[float] = field(default_factory=list)

    def add(self, slowness: float) -> None:
        if len(self.recent) == _MAX_SAMPLES_KEPT:
            self.by_size.remove(self.recent[0])
        self.recent.append(slowness)
        insort(self.by_size, slowness)

    def quantile(self, fraction: float) -> float:
        return self.by_size[int(fraction * (len(self.by_size) - 1))]


@dataclass(frozen=True, slots=True)
class _RecordedAnswer:
    at_ms: float
    answer: VersionAnswer
    symptoms: frozenset[Symptom]


class VersionJudge:
    """Decides from the answers of both versions whether the new one is bad.

    Attributes:
        is_bad: Whether the new version has been found bad.
        reason: Human-readable reason for the verdict.
        new_answers: Number of answers of the new version.
        bad_answers: Number of those with a symptom.
        old_answers: Number of answers of the old version.
        outliers: Endpoints of the new version whose bad answers are attributed to the
            endpoint, not to the version.
        new_endpoints: Number of endpoints of the new version.
    """

    def __init__(self) -> None:
        self.is_bad = False
        self.reason = ""
        self.new_answers = 0
        self.bad_answers = 0
        self.old_answers = 0
        self.outliers: set[str] = set()
        self.new_endpoints = 0
        self._outliers_by_symptom: dict[Symptom, set[str]] = defaultdict(set)
        self._counts: dict[tuple[Symptom, str], _Counts] = defaultdict(_Counts)
        self._sums: dict[tuple[Symptom, str], _LikelihoodSum] = defaultdict(
            _LikelihoodSum
        )
        self._route_samples: dict[str, _SlownessSamples] = defaultdict(_SlownessSamples)
        self._new_samples: dict[str, _SlownessSamples] = defaultdict(_SlownessSamples)
        self._old_samples: dict[str, _SlownessSamples] = defaultdict(_SlownessSamples)
        self._recorded: deque[_RecordedAnswer] = deque(maxlen=_MAX_ANSWERS_KEPT)

    def add(self, answer: VersionAnswer, now_ms: float) -> None:
        """Record an answer and update the verdict.

        Args:
            answer: The answer.
            now_ms: When it ended.
        """
        recorded = _RecordedAnswer(now_ms, answer, frozenset(self._symptoms(answer)))
        self._recorded.append(recorded)
        self._record_slowness(answer)
        if not answer.is_new:
            self.old_answers += 1
            self._count_old(recorded)
            return
        self.new_answers += 1
        self.bad_answers += bool(recorded.symptoms)
        if answer.endpoint_id in self.outliers or not self.is_ready:
            return
        for symptom in Symptom:
            # The empty route stands for all routes together.
            for route in ("", answer.work):
                self._update_sum(symptom, route, recorded)
        if self.new_answers % _MIN_ANSWERS == 0:
            self._compare_endpoints()

    @property
    def is_ready(self) -> bool:
        """Whether there are enough answers of the old version to compare with."""
        return self.old_answers >= MIN_OLD_ANSWERS

    # --- one answer ---------------------------------------------------------

    def _symptoms(self, answer: VersionAnswer) -> list[Symptom]:
        symptoms = [Symptom.FAILED] if answer.has_failed else []
        if answer.slowness < 0 or answer.has_failed:
            return symptoms
        own = self._samples_of(answer)
        if len(own.recent) < _WARM_UP_ANSWERS:
            return symptoms
        if self._is_slow(answer):
            symptoms.append(Symptom.SLOW)
        is_known = len(own.recent) >= _MIN_ANSWERS
        if is_known and answer.slowness > UNEVEN_FACTOR * own.quantile(0.25):
            symptoms.append(Symptom.UNEVEN)
        return symptoms

    def _is_slow(self, answer: VersionAnswer) -> bool:
        route = self._route_samples[answer.work]
        if len(route.recent) < _PRIOR_ANSWERS:
            return False
        return answer.slowness > SLOW_FACTOR * route.quantile(0.9)

    def _samples_of(self, answer: VersionAnswer) -> _SlownessSamples:
        samples = self._new_samples if answer.is_new else self._old_samples
        return samples[answer.endpoint_id]

    def _record_slowness(self, answer: VersionAnswer) -> None:
        if answer.slowness < 0 or answer.has_failed or not answer.has_begun:
            return
        self._samples_of(answer).add(answer.slowness)
        if not answer.is_new:
            self._route_samples[answer.work].add(answer.slowness)

    def _count_old(self, recorded: _RecordedAnswer) -> None:
        for symptom in Symptom:
            for route in ("", recorded.answer.work):
                counts = self._counts[symptom, route]
                counts.answers += 1
                counts.bad += symptom in recorded.symptoms

    # --- the sequential test ------------------------------------------------

    def _update_sum(
        self, symptom: Symptom, route: str, recorded: _RecordedAnswer
    ) -> None:
        baseline = self._baseline_share(symptom, recorded.answer.work)
        alternative = baseline + MIN_BAD_SHARE_INCREASE * (1.0 - baseline)
        if symptom in recorded.symptoms:
            step = math.log(alternative / baseline)
        else:
            step = math.log((1.0 - alternative) / (1.0 - baseline))
        total = self._sums[symptom, route]
        if total.value <= 0.0:
            total.started_ms = recorded.at_ms
        total.value = max(0.0, total.value + step)
        if total.value >= ALARM_THRESHOLD:
            self._check_alarm(symptom, route, total)

    def _baseline_share(self, symptom: Symptom, work: str) -> float:
        whole = self._counts[symptom, ""]
        prior = (whole.bad + 0.5) / (whole.answers + 2 * _PRIOR_ANSWERS)
        return min(0.9, self._counts[symptom, work].share(prior))

    def _check_alarm(self, symptom: Symptom, route: str, total: _LikelihoodSum) -> None:
        """Reject the version on an alarm unless chance or one endpoint explains it."""
        recorded = [one for one in self._recorded if route in ("", one.answer.work)]
        span = [one for one in recorded if one.at_ms >= total.started_ms]
        new = [one for one in span if self._counts_for_version(one.answer)]
        old = [one for one in span if not one.answer.is_new]
        bad = [one for one in new if symptom in one.symptoms]
        old_bad = sum(1 for one in old if symptom in one.symptoms)
        expected = fmean(self._baseline_share(symptom, one.answer.work) for one in new)
        baseline = max(expected, (old_bad + 0.5) / (len(old) + 1.0))
        if binomial_tail(len(new), len(bad), baseline) > MAX_CHANCE_PROBABILITY:
            total.value = ALARM_THRESHOLD / 2
        elif self._affects_whole_version(symptom, recorded):
            detail = f"{len(bad)} of {len(new)} answers, {route or 'all routes'}"
            self._reject(f"{symptom.value}: {detail}")
        else:
            total.value = ALARM_THRESHOLD / 2
            self._exclude_worst(symptom, bad)
            if self._has_too_many_outliers(symptom, recorded):
                self._reject(f"{symptom.value}: {len(self.outliers)} endpoints")

    def _counts_for_version(self, answer: VersionAnswer) -> bool:
        return answer.is_new and answer.endpoint_id not in self.outliers

    def _affects_whole_version(
        self, symptom: Symptom, recorded: Sequence[_RecordedAnswer]
    ) -> bool:
        """Return whether the new version's endpoints in general are worse."""
        if self.new_endpoints < 2:
            return True
        new = _counts_by_endpoint(
            symptom, (one for one in recorded if one.answer.is_new)
        )
        old = _counts_by_endpoint(
            symptom, (one for one in recorded if not one.answer.is_new)
        )
        return (
            len(new) >= 2
            and _excess_in_standard_errors(new, old) > MIN_SHARE_STANDARD_ERRORS
        )

    def _exclude_worst(self, symptom: Symptom, bad: Sequence[_RecordedAnswer]) -> None:
        """Mark an endpoint that gave most of the bad answers as an outlier."""
        counts = Counter(one.answer.endpoint_id for one in bad)
        endpoint_id, count = counts.most_common(1)[0]
        if 2 * count <= len(bad):
            return
        self.outliers.add(endpoint_id)
        self._outliers_by_symptom[symptom].add(endpoint_id)
        for total in self._sums.values():
            total.value = 0.0

    def _has_too_many_outliers(
        self, symptom: Symptom, recorded: Sequence[_RecordedAnswer]
    ) -> bool:
        """Return whether there are too many outliers to blame single endpoints.

        Slowness does not count, as endpoints of one version differ in speed.
        """
        outliers = self._outliers_by_symptom[symptom]
        if symptom is Symptom.SLOW or len(outliers) < 2:
            return False
        new = _counts_by_endpoint(
            symptom, (one for one in recorded if one.answer.is_new)
        )
        old = _counts_by_endpoint(
            symptom, (one for one in recorded if not one.answer.is_new)
        )
        bad = [
            one
            for one in old
            if one.bad > 1 and one.bad > BAD_ENDPOINT_SHARE * one.answers
        ]
        baseline = (len(bad) + 0.5) / (len(old) + 1.0)
        return (
            binomial_tail(len(new), len(outliers), baseline) < MAX_OUTLIERS_PROBABILITY
        )

    # --- comparison of whole versions -----------------------------------------------

    def _compare_endpoints(self) -> None:
        """Reject a version whose answers are all slower by a similar factor."""
        new = _log_medians(self._new_samples)
        old = _log_medians(self._old_samples)
        if len(new) < min(_ENOUGH_ENDPOINTS, max(_MIN_ENDPOINTS, self.new_endpoints)):
            return
        if len(old) < _MIN_ENDPOINTS:
            return
        log_slowdown = fmean(new) - fmean(old)
        variance = max(_MIN_VARIANCE, pvariance(old), pvariance(new))
        error = math.sqrt(variance * (1.0 / len(new) + 1.0 / len(old)))
        if (
            log_slowdown > MIN_LOG_SLOWDOWN
            and log_slowdown > MIN_SLOWDOWN_STANDARD_ERRORS * error
        ):
            factor = math.exp(log_slowdown)
            self._reject(f"slower by {factor:.1f} on {len(new)} endpoints")

    def _reject(self, reason: str) -> None:
        if not self.is_bad:
            self.is_bad = True
            self.reason = reason


def binomial_tail(trials: int, min_successes: int, probability: float) -> float:
    """Return the probability of at least so many successes in independent trials."""
    probability = min(1.0 - 1e-9, max(1e-9, probability))
    log_good, log_bad = math.log(1.0 - probability), math.log(probability)
    all_combinations = math.lgamma(trials + 1)
    below = 0.0
    for count in range(min(min_successes, trials + 1)):
        combinations = (
            all_combinations - math.lgamma(count + 1) - math.lgamma(trials - count + 1)
        )
        below += math.exp(combinations + count * log_bad + (trials - count) * log_good)
    return max(0.0, 1.0 - below)


def _counts_by_endpoint(
    symptom: Symptom, recorded: Iterable[_RecordedAnswer]
) -> list[_Counts]:
    """Return the counts of the endpoints that gave more than one answer."""
    counts: dict[str, _Counts] = defaultdict(_Counts)
    for one in recorded:
        own = counts[one.answer.endpoint_id]
        own.answers += 1
        own.bad += symptom in one.symptoms
    return [own for own in counts.values() if own.answers > 1]


def _excess_in_standard_errors(new: Sequence[_Counts], old: Sequence[_Counts]) -> float:
    """Return how many standard errors the new endpoints' bad share is higher.

    Answers of one endpoint are correlated, so the samples are endpoints, not answers.
    """
    shares = [one.bad / one.answers for one in new]
    baseline = [one.bad / one.answers for one in old] or [0.0]
    mean = fmean(shares)
    sampling_variance = mean * (1.0 - mean) / fmean(one.answers for one in new)
    endpoint_variance = max(
        pvariance(shares) * len(new) / (len(new) - 1), pvariance(baseline)
    )
    variance = max(endpoint_variance, sampling_variance, 1e-9)
    error = math.sqrt(variance * (1.0 / len(shares) + 1.0 / len(baseline)))
    return (mean - fmean(baseline)) / error


def _log_medians(samples: dict[str, _SlownessSamples]) -> list[float]:
    return [
        math.log(max(1e-6, median(one.by_size)))
        for one in samples.values()
        if len(one.by_size) >= _MIN_ANSWERS
    ]
