"""Estimates of endpoints that outlive the scheduler that learnt them: no I/O.

A scheduler exports what it has learnt of its endpoints, and a new scheduler of the
service adopts it. An estimate belongs to one start of an endpoint and loses weight with
the age of its newest sample.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

from pomelolane.scheduler.objective.options import ObjectiveOptions

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from pomelolane.model import Endpoint
    from pomelolane.scheduler.objective.worker import Worker

HALF_LIFE_MS = 30_000.0
"""Age at which half of an estimate's distance to the starting value is left."""

MAX_AGE_MS = 5 * HALF_LIFE_MS
"""Age at which an estimate is dropped: 1/32 of its distance is left, which changes the
predicted time of an endpoint that is five times slower by an eighth."""

MIN_CHANGE = 0.1
"""Change of an estimate above which it is recorded again: relative for times, absolute
for the failure ratio."""

STARTING_SLOWDOWN = 1.0

MAX_FACTOR = 12.0
"""Largest factor between an event interval or event tokens and the starting value.
Figures beyond it are wrong, and would make all endpoints seem too slow or too fast."""

MAX_RECEIVED = 4096
"""Most received estimates that are kept for a service, several times the endpoints of
the largest one: a bound on memory if a sender names endpoints that don't exist."""

MIN_NEWER_MS = 100.0
"""Time by which a received sample must be later than the one known here. Ages do not
include the time on the way, so an estimate that was sent here and back seems newer."""

MAX_COUNT = 2**53
"""Largest whole number in an estimate: floats represent all up to it."""

StartKey = tuple[str, int, str]
"""Identity of one start of an endpoint."""

_DEFAULT_OPTIONS = ObjectiveOptions()


def start_key(start: EndpointEstimate | Endpoint) -> StartKey:
    """Return the identity of the start that is declared or estimated.

    For endpoints that do not state their start, the id is the identity as long as the
    version of their software is the same.
    """
    return start.endpoint_id, start.born_ms, "" if start.born_ms else start.version


def starting_interval_ms(options: ObjectiveOptions) -> float:
    """Return the time between two answer events that is assumed at first."""
    return options.tokens_per_event * options.token_ms


def limited(value: float, starting: float) -> float:
    """Return a learnt value within ``MAX_FACTOR`` of its starting value."""
    return min(starting * MAX_FACTOR, max(starting / MAX_FACTOR, value))


@dataclass(frozen=True, slots=True)
class EndpointEstimate:
    """What a scheduler has learnt of one start of an endpoint.

    Attributes:
        endpoint_id: The endpoint.
        born_ms: When its process started, 0 if it does not state it.
        version: Version of its software.
        slowdown: Response time as a factor on that at speed 1.
        event_interval_ms: Time between two answer events, 0 if unknown.
        failure_ratio: Share of failed answers.
        samples: Number of measured times to first byte that it is based on.
        age_ms: Time since the newest of them.
        event_tokens: Tokens per answer event that belong to ``event_interval_ms``, 0
            if unknown. Without them the interval would be applied to events of another
            size, and the predicted duration of an answer would be wrong by the ratio.
    """

    endpoint_id: str
    born_ms: int
    version: str
    slowdown: float
    event_interval_ms: float
    failure_ratio: float
    samples: int
    age_ms: float
    event_tokens: float = 0.0

    @property
    def weight(self) -> float:
        """Part of the distance to the starting values that is left at its age."""
        return 0.5 ** (max(0.0, self.age_ms) / HALF_LIFE_MS)

    @property
    def is_usable(self) -> bool:
        """Whether it is recent enough and its figures are possible."""
        figures = (self.slowdown, self.event_interval_ms, self.event_tokens)
        return (
            self.samples > 0
            and self.age_ms < MAX_AGE_MS
            and 0 <= self.born_ms <= MAX_COUNT
            and self.slowdown > 0
            and all(math.isfinite(one) and one >= 0 for one in figures)
            and 0 <= self.failure_ratio <= 1
        )

    def older_by(self, elapsed_ms: float) -> EndpointEstimate:
        """Return the same estimate at a later time."""
        return replace(self, age_ms=self.age_ms + elapsed_ms)

    def aged(self, value: float, starting: float) -> float:
        """Return a value of the estimate moved to its starting value by its age."""
        return starting + self.weight * (value - starting)


@dataclass(frozen=True, slots=True)
class _Received:
    estimate: EndpointEstimate
    sampled_ms: float
    source: str


class ReceivedEstimates:
    """Received estimates of one service's endpoints.

    They are kept for endpoints that are declared later, and passed on unchanged, with
    their age, as long as this scheduler has no newer samples.

    Args:
        options: Tuning constants of the policy.
    """

    def __init__(self, options: ObjectiveOptions) -> None:
        self._options = options
        self._received: dict[StartKey, _Received] = {}

    def receive(
        self, estimates: Iterable[EndpointEstimate], source: str, now_ms: float
    ) -> set[StartKey]:
        """Keep estimates that are newer than those kept; return their starts.

        Args:
            estimates: Estimates of another scheduler.
            source: Where they come from.
            now_ms: Current time.
        """
        self._drop_expired(now_ms)
        newer = set()
        for estimate in estimates:
            if not estimate.is_usable or not self._is_plausible(estimate):
                continue
            sampled_ms = now_ms - max(0.0, estimate.age_ms)
            key = start_key(estimate)
            kept = self._received.get(key)
            if kept is None or _is_newer(sampled_ms, kept.sampled_ms):
                self._received[key] = _Received(estimate, sampled_ms, source)
                newer.add(key)
        self._drop_excess()
        return newer

    def retain(self, worker: Worker, now_ms: float) -> None:
        """Keep what was learnt here, in case the registry has lost it briefly."""
        key = start_key(worker.endpoint)
        if _has_newest(worker, self._received.get(key)):
            self._received[key] = _Received(
                worker.estimate(now_ms), worker.sampled_ms, worker.estimate_source
            )
            self._drop_excess()

    def apply(self, worker: Worker, now_ms: float) -> EndpointEstimate | None:
        """Let an endpoint adopt its estimate, unless its own samples are as new.

        Returns:
            The adopted estimate, None if there is none to adopt.
        """
        received = self._received.get(start_key(worker.endpoint))
        if received is None or not _is_newer(received.sampled_ms, worker.sampled_ms):
            return None
        estimate = _at(received, now_ms)
        if not estimate.is_usable:
            return None
        worker.adopt_estimate(estimate, received.sampled_ms, received.source)
        return estimate

    def export(
        self, workers: Iterable[Worker], now_ms: float
    ) -> tuple[EndpointEstimate, ...]:
        """Return this scheduler's estimates and the received ones that are newer.

        Received estimates of another start of a declared endpoint are not passed on.
        """
        self._drop_expired(now_ms)
        declared = {worker.endpoint.endpoint_id: worker for worker in workers}
        exported = {
            key: _at(received, now_ms)
            for key, received in self._received.items()
            if key[0] not in declared or key == start_key(declared[key[0]].endpoint)
        }
        for worker in declared.values():
            key = start_key(worker.endpoint)
            if _has_newest(worker, self._received.get(key)):
                exported[key] = worker.estimate(now_ms)
        return tuple(one for one in exported.values() if one.is_usable)

    def _is_plausible(self, estimate: EndpointEstimate) -> bool:
        options = self._options
        pairs = (
            (estimate.event_interval_ms, starting_interval_ms(options)),
            (estimate.event_tokens, options.tokens_per_event),
        )
        # 1% for the rounding of messages.
        return all(
            not value or abs(limited(value, starting) - value) <= 0.01 * value
            for value, starting in pairs
        )

    def _drop_expired(self, now_ms: float) -> None:
        for key, received in list(self._received.items()):
            if now_ms - received.sampled_ms >= MAX_AGE_MS:
                del self._received[key]

    def _drop_excess(self) -> None:
        if len(self._received) > MAX_RECEIVED:
            by_age = sorted(self._received.items(), key=lambda one: -one[1].sampled_ms)
            self._received = dict(by_age[:MAX_RECEIVED])


def is_record_due(
    current: Iterable[EndpointEstimate],
    recorded: Mapping[StartKey, EndpointEstimate],
    elapsed_ms: float,
    options: ObjectiveOptions = _DEFAULT_OPTIONS,
) -> bool:
    """Return whether estimates have to be recorded again.

    An estimate that keeps its value is recorded again when the recorded samples are one
    half-life older, if a reader of the record would adopt a value that differs too
    much: otherwise the record of a fleet with constant speeds would expire.

    Args:
        current: Present estimates.
        recorded: Estimates as they were recorded, by start.
        elapsed_ms: Time since they were recorded.
        options: Tuning constants of the policy.
    """
    for estimate in current:
        before = recorded.get(start_key(estimate))
        if before is None or _differ(_figures(estimate), _figures(before)):
            return True
        read = before.older_by(elapsed_ms)
        is_old = read.age_ms - estimate.age_ms >= HALF_LIFE_MS
        if is_old and _differ(
            _aged_figures(estimate, options), _aged_figures(read, options)
        ):
            return True
    return False


_Figures = tuple[float, float, float, float]


def _figures(estimate: EndpointEstimate) -> _Figures:
    """Return the failure ratio, then the figures that are compared relatively."""
    return (
        estimate.failure_ratio,
        estimate.slowdown,
        estimate.event_interval_ms,
        estimate.event_tokens,
    )


def _aged_figures(estimate: EndpointEstimate, options: ObjectiveOptions) -> _Figures:
    """Return the figures that a new scheduler would adopt; unknown ones remain 0."""
    starting = (
        0.0,
        STARTING_SLOWDOWN,
        starting_interval_ms(options),
        options.tokens_per_event,
    )
    pairs = zip(_figures(estimate), starting, strict=True)
    return tuple(value and estimate.aged(value, first) for value, first in pairs)


def _differ(one: _Figures, other: _Figures) -> bool:
    failures, *figures = zip(one, other, strict=True)
    return abs(failures[0] - failures[1]) > MIN_CHANGE or any(
        abs(now - before) > MIN_CHANGE * before for now, before in figures
    )


def _is_newer(sampled_ms: float, than_ms: float) -> bool:
    return sampled_ms - than_ms > MIN_NEWER_MS


def _has_newest(worker: Worker, received: _Received | None) -> bool:
    """Return whether an endpoint has samples that the received estimate lacks.

    An adopted estimate is passed on as it was received: the endpoint's values have
    already moved to the starting values by its age.
    """
    if not worker.samples or received is None:
        return worker.samples > 0
    is_adopted = received.sampled_ms == worker.sampled_ms
    return not is_adopted and not _is_newer(received.sampled_ms, worker.sampled_ms)


def _at(received: _Received, now_ms: float) -> EndpointEstimate:
    return replace(received.estimate, age_ms=now_ms - received.sampled_ms)
