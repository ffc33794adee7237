"""Trial of a new version at the scheduler of its service: no I/O, time is passed in.

Until the verdict the new version gets a part of the allowed requests, in bursts that
fill one endpoint after the other: a version that fails under load does so only on an
endpoint whose slots are all in use.
"""

from __future__ import annotations

from collections import defaultdict
from enum import Enum
from typing import TYPE_CHECKING

from pomelolane.rollouts.judge import VersionAnswer, VersionJudge

if TYPE_CHECKING:
    from collections.abc import Mapping

    from pomelolane.messages import Handle
    from pomelolane.model import Endpoint
    from pomelolane.rollouts.order import RolloutBounds, RolloutOrder

TRIAL_SHARE_PART = 0.6
"""Part of the allowed share used in the trial. The rest is reserved for the requests
that a version gets if it turns bad after the move, until that is detected."""

TRIAL_SLACK_PART = 0.4
"""Part of the allowed slack used in the trial, for the first answers."""

MOVE_BEFORE_MS = 4_000.0
"""Time before the end of the order at which all new requests go to the new version, so
that streams of the old one can end before it is stopped."""

MOVE_BEFORE_MAX_PART = 0.3
"""Upper bound of that time, as a part of the order's duration."""

COMPLETE_BEFORE_MS = 1_000.0
"""Time before the end of the order at which completion is recorded. Until then a
version that turns bad can still be rolled back."""

MIN_NEW_ANSWERS = 20
"""Answers of the new version needed to accept it."""


class Phase(Enum):
    """Phase of an order on one VM.

    Attributes:
        UNKNOWN: Another VM decides, or the recorded state has not been read yet.
        TRYING: The new version gets a small share of the requests.
        MOVING: The new version gets all new requests.
        COMPLETED: The move to the new version is recorded as completed.
        ROLLED_BACK: The new version gets no more requests.
    """

    UNKNOWN = "unknown"
    TRYING = "trying"
    MOVING = "moving"
    COMPLETED = "completed"
    ROLLED_BACK = "rolled_back"


class Trial:
    """The trial of one order at one scheduler.

    A scheduler that takes over starts with new counters. Each one stays within the
    allowed share of the requests that it sees itself, so counters are not handed
    over.

    Args:
        order: The order.
        bounds: Limits on the requests for the new version.
        ends_ms: When the duration of the order is over.
        is_first: Whether no other scheduler has run a trial of the order before.

    Attributes:
        phase: Current phase.
        judge: Compares the answers of the two versions.
        arrived: Number of requests for the service.
        exposed: Number of requests sent to the new version.
    """

    def __init__(
        self,
        order: RolloutOrder,
        bounds: RolloutBounds,
        ends_ms: float,
        *,
        is_first: bool,
    ) -> None:
        self.phase = Phase.TRYING
        self.judge = VersionJudge()
        self.arrived = 0
        self.exposed = 0
        self._order = order
        self._share = TRIAL_SHARE_PART * bounds.exposure_share
        self._slack = TRIAL_SLACK_PART * bounds.exposure_slack if is_first else 0.0
        before_ms = min(MOVE_BEFORE_MS, MOVE_BEFORE_MAX_PART * order.duration_ms)
        self._move_ms = ends_ms - before_ms
        self._complete_ms = ends_ms - min(COMPLETE_BEFORE_MS, before_ms / 2)
        self._new: dict[str, Endpoint] = {}
        self._rotation: list[str] = []
        self._burst_left = 0
        self._arrived_by_work: dict[str, int] = defaultdict(int)
        self._exposed_by_work: dict[str, int] = defaultdict(int)

    def configure(self, endpoints: Mapping[str, Endpoint]) -> None:
        """Apply the currently listed endpoints of the service."""
        to_version = self._order.to_version
        self._new = {
            name: endpoint
            for name, endpoint in endpoints.items()
            if endpoint.version == to_version
        }
        staying = {name for name, one in self._new.items() if not one.leaving}
        kept = [name for name in self._rotation if name in staying]
        self._rotation = kept + sorted(staying - set(kept))
        self.judge.new_endpoints = len(staying)

    # --- requests -----------------------------------------------------------

    def count_arrival(self, handle: Handle) -> None:
        """Count a request, except for retries and those bound to a version."""
        if handle.version is not None:
            return
        if handle.attempt == 0 and not handle.excluded and not handle.admitted:
            self.arrived += 1
            self._arrived_by_work[handle.work] += 1

    def should_get(self, handle: Handle) -> bool:
        """Return whether a request should go to the new version.

        Retries go to the old version, and requests bound to a version to that one. Each
        route gets its own share, as some versions fail on a single route.
        """
        if self.phase is not Phase.TRYING or handle.attempt or handle.excluded:
            return False
        if handle.version is not None or handle.suspect:
            return False
        if handle.admitted or not self.judge.is_ready:
            return False
        if not self._is_in_burst():
            return False
        arrived = self._arrived_by_work[handle.work]
        part = arrived / max(1, self.arrived)
        allowed = self._share * arrived + part * self._slack + self._burst_size()
        return self._exposed_by_work[handle.work] + 1 <= allowed

    def _is_in_burst(self) -> bool:
        """Return whether a burst is in progress, starting one if enough is allowed.

        The allowance is saved up until it fills all slots of an endpoint. Single
        requests never do, and a version that fails under load would be detected only
        after the move.
        """
        allowed = self._share * self.arrived + self._slack - self.exposed
        if allowed < 1:
            self._burst_left = 0
        elif self._burst_left == 0 and allowed >= self._burst_size():
            self._burst_left = self._burst_size()
        return self._burst_left > 0

    def _burst_size(self) -> int:
        slots = [self._new[name].slots for name in self._rotation[:1]]
        return min(slots, default=1)

    def endpoints_to_try(self) -> list[str]:
        """Return the ids of the endpoints to try, in this order."""
        outliers = self.judge.outliers
        return [name for name in self._rotation if name not in outliers]

    def count_grant(self, endpoint_id: str, work: str) -> None:
        """Count a request granted to an endpoint of either version."""
        if endpoint_id not in self._new:
            return
        self.exposed += 1
        self._exposed_by_work[work] += 1
        if self.phase is Phase.TRYING and self._burst_left > 0:
            self._burst_left -= 1
            self._rotate()

    def _rotate(self) -> None:
        """Send the next burst to the next endpoint once a burst is over."""
        if self._burst_left == 0 and self._rotation:
            self._rotation.append(self._rotation.pop(0))

    def record_answer(
        self,
        endpoint_id: str,
        work: str,
        now_ms: float,
        *,
        has_failed: bool,
        slowness: float,
        has_begun: bool,
    ) -> None:
        """Record an answer, or the end of a request without one.

        Args:
            endpoint_id: The endpoint.
            work: Name of the route.
            now_ms: When it ended.
            has_failed: Whether the request failed.
            slowness: Time to first byte divided by that predicted at speed 1, negative
                if unknown.
            has_begun: Whether the answer began.
        """
        answer = VersionAnswer(
            endpoint_id,
            work,
            endpoint_id in self._new,
            has_failed,
            slowness,
            has_begun,
        )
        self.judge.add(answer, now_ms)

    # --- time -----------------------------------------------------------------

    def tick(self, now_ms: float) -> None:
        """Enter the next phase if it is due."""
        if self.phase not in (Phase.TRYING, Phase.MOVING):
            return
        if self.judge.is_bad:
            self.phase = Phase.ROLLED_BACK
        elif self.phase is Phase.TRYING and now_ms >= self._move_ms:
            self._move_or_roll_back(now_ms)

    def _move_or_roll_back(self, now_ms: float) -> None:
        if self.judge.new_answers >= MIN_NEW_ANSWERS and self._rotation:
            self.phase = Phase.MOVING
            # All endpoints are used from now on, and all their answers count.
            self.judge.outliers.clear()
        elif now_ms >= self._complete_ms:
            self.judge.reason = (
                f"{self.judge.new_answers} answers of the new version are too few"
            )
            self.phase = Phase.ROLLED_BACK

    def should_complete(self, now_ms: float) -> bool:
        """Return whether completion should be recorded now."""
        return self.phase is Phase.MOVING and now_ms >= self._complete_ms
