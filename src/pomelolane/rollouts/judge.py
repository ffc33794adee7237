"""Judges a new version by its answers beside those of the old one.

A sequential test (a cumulative sum of log likelihood ratios, Page 1954) runs for each
sign of badness, over all routes and for each of them. It is sure after some ten bad
answers, also where a version turns bad late. An alarm holds only where the old version
did better in the same span, and where it is not one endpoint's alone.
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

ALARM = 12.0
"""Log likelihood ratio at which a sum raises an alarm."""

WORSE_BY = 0.15
"""Part of the good answers that a bad version turns bad at least, as tested."""

CONFIRMED_AT = 1e-5
"""Chance at most that a version like the old one gives so many bad answers in a span,
which was chosen for its many bad ones."""

SHARE_ERRORS = 3.0
"""Standard errors by which its endpoints must give more bad answers than old ones."""

SLOW_FACTOR = 2.5
"""Times the old version's slow answers from which on an answer is slow."""

UNEVEN_FACTOR = 3.0
"""Times an endpoint's own fast answers from which on one of it is uneven."""

SHIFT = 0.7
"""Mean difference of the logarithms of endpoints' times from which on the new version
is slower as a whole: twice as slow."""

SHIFT_ERRORS = 3.5
"""Standard errors by which it must stand out."""

OLD_ANSWERS = 50
"""Answers of the old version before which nothing is held against the new one."""

BAD_SHARE = 0.15
"""Part of bad answers from which on an old endpoint counts as bad by itself."""

DOUBTED_AT = 0.01
"""Chance at most that so many endpoints are bad by themselves."""

_FEW_ENDPOINTS = 3
_MANY_ENDPOINTS = 6
_FEW_ANSWERS = 5
_FIRST_ANSWERS = 2
"""Answers of an endpoint that say nothing of its speed: it may be cold."""

_LEAST_VARIANCE = 0.04
_PRIOR_ANSWERS = 10.0
_KEPT_ANSWERS = 4_000
_KEPT_TIMES = 200


class Sign(Enum):
    """What may be wrong with an answer."""

    FAILED = "failed"
    SLOW = "slow"
    UNEVEN = "uneven"


@dataclass(frozen=True, slots=True)
class VersionAnswer:
    """One answer of an endpoint, or its end without one.

    Attributes:
        endpoint_id: Who gave it.
        work: Name of the route.
        is_new: Whether the endpoint has the new version.
        has_failed: Whether it was a failure.
        slowness: Time to its first byte against that of an idle endpoint at speed 1;
            for one that never began, the time until it was given up. Negative where
            that is not known.
        has_begun: Whether it began.
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
class _Sum:
    value: float = 0.0
    since_ms: float = 0.0


@dataclass(slots=True)
class _Times:
    """The last times of a route or endpoint, in order of age and of size."""

    recent: deque[float] = field(default_factory=lambda: deque(maxlen=_KEPT_TIMES))
    by_size: list[float] = field(default_factory=list)

    def add(self, time: float) -> None:
        if len(self.recent) == _KEPT_TIMES:
            self.by_size.remove(self.recent[0])
        self.recent.append(time)
        insort(self.by_size, time)

    def quantile(self, part: float) -> float:
        return self.by_size[int(part * (len(self.by_size) - 1))]


@dataclass(frozen=True, slots=True)
class _Noted:
    at_ms: float
    answer: VersionAnswer
    signs: frozenset[Sign]


class VersionJudge:
    """Counts answers of both versions.

    Attributes:
        is_bad: Whether the new version is known to be bad.
        reason: Why, for people.
        new_answers: Answers of the new version.
        bad_answers: Those of them with a sign of badness.
        old_answers: Answers of the old version.
        doubted: Endpoints of it that are bad by themselves, as far as is known.
        new_endpoints: How many endpoints it has.
    """

    def __init__(self) -> None:
        self.is_bad = False
        self.reason = ""
        self.new_answers = 0
        self.bad_answers = 0
        self.old_answers = 0
        self.doubted: set[str] = set()
        self.new_endpoints = 0
        self._doubted_for: dict[Sign, set[str]] = defaultdict(set)
        self._counts: dict[tuple[Sign, str], _Counts] = defaultdict(_Counts)
        self._sums: dict[tuple[Sign, str], _Sum] = defaultdict(_Sum)
        self._route_times: dict[str, _Times] = defaultdict(_Times)
        self._new_times: dict[str, _Times] = defaultdict(_Times)
        self._old_times: dict[str, _Times] = defaultdict(_Times)
        self._notes: deque[_Noted] = deque(maxlen=_KEPT_ANSWERS)

    def add(self, answer: VersionAnswer, now_ms: float) -> None:
        """Count an answer.

        Args:
            answer: The answer.
            now_ms: When it ended.
        """
        noted = _Noted(now_ms, answer, frozenset(self._signs(answer)))
        self._notes.append(noted)
        self._keep_time(answer)
        if not answer.is_new:
            self.old_answers += 1
            self._count_old(noted)
            return
        self.new_answers += 1
        self.bad_answers += bool(noted.signs)
        if answer.endpoint_id in self.doubted or not self.is_ready:
            return
        for sign in Sign:
            for route in ("", answer.work):
                self._weigh(sign, route, noted)
        if self.new_answers % _FEW_ANSWERS == 0:
            self._compare_endpoints()

    @property
    def is_ready(self) -> bool:
        """Whether enough is known of the old version to judge another one by."""
        return self.old_answers >= OLD_ANSWERS

    # --- one answer ---------------------------------------------------------

    def _signs(self, answer: VersionAnswer) -> list[Sign]:
        signs = [Sign.FAILED] if answer.has_failed else []
        if answer.slowness < 0 or answer.has_failed:
            return signs
        own = self._times_of(answer)
        if len(own.recent) < _FIRST_ANSWERS:
            return signs
        if self._is_slow(answer):
            signs.append(Sign.SLOW)
        is_known = len(own.recent) >= _FEW_ANSWERS
        if is_known and answer.slowness > UNEVEN_FACTOR * own.quantile(0.25):
            signs.append(Sign.UNEVEN)
        return signs

    def _is_slow(self, answer: VersionAnswer) -> bool:
        route = self._route_times[answer.work]
        if len(route.recent) < _PRIOR_ANSWERS:
            return False
        return answer.slowness > SLOW_FACTOR * route.quantile(0.9)

    def _times_of(self, answer: VersionAnswer) -> _Times:
        times = self._new_times if answer.is_new else self._old_times
        return times[answer.endpoint_id]

    def _keep_time(self, answer: VersionAnswer) -> None:
        if answer.slowness < 0 or answer.has_failed or not answer.has_begun:
            return
        self._times_of(answer).add(answer.slowness)
        if not answer.is_new:
            self._route_times[answer.work].add(answer.slowness)

    def _count_old(self, noted: _Noted) -> None:
        for sign in Sign:
            for route in ("", noted.answer.work):
                counts = self._counts[sign, route]
                counts.answers += 1
                counts.bad += sign in noted.signs

    # --- the sequential test ------------------------------------------------

    def _weigh(self, sign: Sign, route: str, noted: _Noted) -> None:
        usual = self._usual_share(sign, noted.answer.work)
        worse = usual + WORSE_BY * (1.0 - usual)
        if sign in noted.signs:
            step = math.log(worse / usual)
        else:
            step = math.log((1.0 - worse) / (1.0 - usual))
        total = self._sums[sign, route]
        if total.value <= 0.0:
            total.since_ms = noted.at_ms
        total.value = max(0.0, total.value + step)
        if total.value >= ALARM:
            self._check_alarm(sign, route, total)

    def _usual_share(self, sign: Sign, work: str) -> float:
        whole = self._counts[sign, ""]
        prior = (whole.bad + 0.5) / (whole.answers + 2 * _PRIOR_ANSWERS)
        return min(0.9, self._counts[sign, work].share(prior))

    def _check_alarm(self, sign: Sign, route: str, total: _Sum) -> None:
        """Take an alarm for true, or put it down to one endpoint or to the moment."""
        noted = [one for one in self._notes if route in ("", one.answer.work)]
        span = [one for one in noted if one.at_ms >= total.since_ms]
        new = [one for one in span if self._counts_for_version(one.answer)]
        old = [one for one in span if not one.answer.is_new]
        bad = [one for one in new if sign in one.signs]
        old_bad = sum(1 for one in old if sign in one.signs)
        expected = fmean(self._usual_share(sign, one.answer.work) for one in new)
        usual = max(expected, (old_bad + 0.5) / (len(old) + 1.0))
        if tail(len(new), len(bad), usual) > CONFIRMED_AT:
            total.value = ALARM / 2
        elif self._is_of_version(sign, noted):
            what = f"{len(bad)} of {len(new)} answers, {route or 'all routes'}"
            self._condemn(f"{sign.value}: {what}")
        else:
            total.value = ALARM / 2
            self._doubt_worst(sign, bad)
            if self._are_many_doubted(sign, noted):
                self._condemn(f"{sign.value}: {len(self.doubted)} endpoints")

    def _counts_for_version(self, answer: VersionAnswer) -> bool:
        return answer.is_new and answer.endpoint_id not in self.doubted

    def _is_of_version(self, sign: Sign, noted: Sequence[_Noted]) -> bool:
        """Tell whether endpoints of the new version are bad alike, and old ones not."""
        if self.new_endpoints < 2:
            return True
        new = _bad_shares(sign, (one for one in noted if one.answer.is_new))
        old = _bad_shares(sign, (one for one in noted if not one.answer.is_new))
        return len(new) >= 2 and _stands_out(new, old) > SHARE_ERRORS

    def _doubt_worst(self, sign: Sign, bad: Sequence[_Noted]) -> None:
        """Try other endpoints than one that gave most of the bad answers."""
        counts = Counter(one.answer.endpoint_id for one in bad)
        endpoint_id, count = counts.most_common(1)[0]
        if 2 * count <= len(bad):
            return
        self.doubted.add(endpoint_id)
        self._doubted_for[sign].add(endpoint_id)
        for total in self._sums.values():
            total.value = 0.0

    def _are_many_doubted(self, sign: Sign, noted: Sequence[_Noted]) -> bool:
        """Tell whether too many endpoints are set aside to be bad by themselves.

        Slow ones may be: endpoints of one version differ in speed.
        """
        doubted = self._doubted_for[sign]
        if sign is Sign.SLOW or len(doubted) < 2:
            return False
        new = _bad_shares(sign, (one for one in noted if one.answer.is_new))
        old = _bad_shares(sign, (one for one in noted if not one.answer.is_new))
        bad = [one for one in old if one.bad > 1 and one.bad > BAD_SHARE * one.answers]
        usual = (len(bad) + 0.5) / (len(old) + 1.0)
        return tail(len(new), len(doubted), usual) < DOUBTED_AT

    # --- the versions as wholes -----------------------------------------------

    def _compare_endpoints(self) -> None:
        """Condemn a version all of whose answers are slower by the same factor."""
        new = _logarithms(self._new_times)
        old = _logarithms(self._old_times)
        if len(new) < min(_MANY_ENDPOINTS, max(_FEW_ENDPOINTS, self.new_endpoints)):
            return
        if len(old) < _FEW_ENDPOINTS:
            return
        shift = fmean(new) - fmean(old)
        variance = max(_LEAST_VARIANCE, pvariance(old), pvariance(new))
        error = math.sqrt(variance * (1.0 / len(new) + 1.0 / len(old)))
        if shift > SHIFT and shift > SHIFT_ERRORS * error:
            factor = math.exp(shift)
            self._condemn(f"slower by {factor:.1f} on {len(new)} endpoints")

    def _condemn(self, reason: str) -> None:
        if not self.is_bad:
            self.is_bad = True
            self.reason = reason


def tail(trials: int, least: int, chance: float) -> float:
    """Return the chance of so many successes or more in independent trials."""
    chance = min(1.0 - 1e-9, max(1e-9, chance))
    log_good, log_bad = math.log(1.0 - chance), math.log(chance)
    all_ways = math.lgamma(trials + 1)
    below = 0.0
    for count in range(min(least, trials + 1)):
        ways = all_ways - math.lgamma(count + 1) - math.lgamma(trials - count + 1)
        below += math.exp(ways + count * log_bad + (trials - count) * log_good)
    return max(0.0, 1.0 - below)


def _bad_shares(sign: Sign, noted: Iterable[_Noted]) -> list[_Counts]:
    """Return the counts of the endpoints that gave more than one answer."""
    counts: dict[str, _Counts] = defaultdict(_Counts)
    for one in noted:
        own = counts[one.answer.endpoint_id]
        own.answers += 1
        own.bad += sign in one.signs
    return [own for own in counts.values() if own.answers > 1]


def _stands_out(new: Sequence[_Counts], old: Sequence[_Counts]) -> float:
    """Return by how many standard errors new endpoints give more bad answers.

    Answers of one endpoint are alike, so endpoints count, not answers.
    """
    shares = [one.bad / one.answers for one in new]
    usual = [one.bad / one.answers for one in old] or [0.0]
    mean = fmean(shares)
    by_chance = mean * (1.0 - mean) / fmean(one.answers for one in new)
    apart = max(pvariance(shares) * len(new) / (len(new) - 1), pvariance(usual))
    variance = max(apart, by_chance, 1e-9)
    error = math.sqrt(variance * (1.0 / len(shares) + 1.0 / len(usual)))
    return (mean - fmean(usual)) / error


def _logarithms(times: dict[str, _Times]) -> list[float]:
    return [
        math.log(max(1e-6, median(one.by_size)))
        for one in times.values()
        if len(one.by_size) >= _FEW_ANSWERS
    ]
