"""Estimates of endpoints that outlive the scheduler that learnt them: no I/O.

A scheduler exports what it has learnt of its endpoints, and a new scheduler of the
service adopts it. An estimate belongs to one start of an endpoint and loses weight with
the age of its newest sample.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Mapping

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
        samples: Number of answers that it is based on.
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
            and self.slowdown > 0
            and all(math.isfinite(one) and one >= 0 for one in figures)
            and 0 <= self.failure_ratio <= 1
        )

    def is_of(self, endpoint: Endpoint) -> bool:
        """Return whether it belongs to this start of an endpoint.

        For endpoints that do not state their start, the id is the identity as long as
        the version of their software is the same.
        """
        if self.endpoint_id != endpoint.endpoint_id:
            return False
        if self.born_ms != endpoint.born_ms:
            return False
        return self.born_ms != 0 or self.version == endpoint.version

    def older_by(self, elapsed_ms: float) -> EndpointEstimate:
        """Return the same estimate at a later time."""
        return replace(self, age_ms=self.age_ms + elapsed_ms)

    def toward(self, starting: float, value: float) -> float:
        """Return a value of the estimate moved to its starting value by its age."""
        return starting + self.weight * (value - starting)


@dataclass(frozen=True, slots=True)
class _Received:
    estimate: EndpointEstimate
    sampled_ms: float
    source: str


class EstimateBook:
    """Received estimates of one service's endpoints.

    They are kept for endpoints that are declared later, and passed on unchanged, with
    their age, as long as this scheduler has no newer samples.
    """

    def __init__(self) -> None:
        self._received: dict[str, _Received] = {}

    def receive(
        self, estimates: Iterable[EndpointEstimate], source: str, now_ms: float
    ) -> list[str]:
        """Keep estimates that are newer than those kept; return their endpoint ids.

        Args:
            estimates: Estimates of another scheduler.
            source: Where they come from.
            now_ms: Current time.
        """
        self._drop_expired(now_ms)
        newer = []
        for estimate in estimates:
            if not estimate.is_usable:
                continue
            sampled_ms = now_ms - max(0.0, estimate.age_ms)
            kept = self._received.get(estimate.endpoint_id)
            if kept is None or kept.sampled_ms < sampled_ms:
                received = _Received(estimate, sampled_ms, source)
                self._received[estimate.endpoint_id] = received
                newer.append(estimate.endpoint_id)
        return newer

    def apply(self, worker: Worker, now_ms: float) -> EndpointEstimate | None:
        """Let an endpoint adopt its estimate, unless its own samples are newer.

        Returns:
            The adopted estimate, None if there is none to adopt.
        """
        received = self._received.get(worker.endpoint.endpoint_id)
        if received is None or received.sampled_ms <= worker.sampled_ms:
            return None
        estimate = _at(received, now_ms)
        if not estimate.is_usable or not estimate.is_of(worker.endpoint):
            return None
        worker.adopt_estimate(estimate, received.sampled_ms, received.source)
        return estimate

    def export(
        self, workers: Iterable[Worker], now_ms: float
    ) -> tuple[EndpointEstimate, ...]:
        """Return this scheduler's estimates and the received ones that are newer."""
        self._drop_expired(now_ms)
        exported = {
            name: _at(received, now_ms) for name, received in self._received.items()
        }
        for worker in workers:
            name = worker.endpoint.endpoint_id
            received = self._received.get(name)
            is_own = received is None or received.sampled_ms < worker.sampled_ms
            if worker.samples and is_own:
                exported[name] = worker.estimate(now_ms)
            elif received is not None and not received.estimate.is_of(worker.endpoint):
                del exported[name]
        return tuple(one for one in exported.values() if one.age_ms < MAX_AGE_MS)

    def _drop_expired(self, now_ms: float) -> None:
        for name, received in list(self._received.items()):
            if now_ms - received.sampled_ms >= MAX_AGE_MS:
                del self._received[name]


def is_record_due(
    current: Iterable[EndpointEstimate],
    recorded: Mapping[str, EndpointEstimate],
    elapsed_ms: float,
) -> bool:
    """Return whether estimates have to be recorded again.

    An estimate that keeps its value is recorded again when the recorded samples are one
    half-life older, if a reader of the record would adopt a value that differs too
    much: otherwise the record of a fleet with constant speeds would expire.

    Args:
        current: Present estimates.
        recorded: Estimates as they were recorded, by endpoint id.
        elapsed_ms: Time since they were recorded.
    """
    for estimate in current:
        before = recorded.get(estimate.endpoint_id)
        if before is None or before.born_ms != estimate.born_ms:
            return True
        if _differ(estimate, before, _unchanged):
            return True
        read = before.older_by(elapsed_ms)
        is_old = read.age_ms - estimate.age_ms >= HALF_LIFE_MS
        if is_old and _differ(estimate, read, EndpointEstimate.toward):
            return True
    return False


def _differ(
    one: EndpointEstimate,
    other: EndpointEstimate,
    at_age: Callable[[EndpointEstimate, float, float], float],
) -> bool:
    slowdown = at_age(one, STARTING_SLOWDOWN, one.slowdown)
    other_slowdown = at_age(other, STARTING_SLOWDOWN, other.slowdown)
    failures = at_age(one, 0.0, one.failure_ratio)
    other_failures = at_age(other, 0.0, other.failure_ratio)
    return (
        abs(slowdown - other_slowdown) > MIN_CHANGE * other_slowdown
        or abs(failures - other_failures) > MIN_CHANGE
        or abs(one.event_interval_ms - other.event_interval_ms)
        > MIN_CHANGE * other.event_interval_ms
    )


def _unchanged(estimate: EndpointEstimate, starting: float, value: float) -> float:
    del estimate, starting
    return value


def _at(received: _Received, now_ms: float) -> EndpointEstimate:
    return replace(received.estimate, age_ms=now_ms - received.sampled_ms)
