"""The trial of a new version at its service's scheduler; pure, time is passed in.

Until the verdict the new version gets a part of what it may get, on one endpoint after
the other: a version that fails under load shows it on an endpoint that is fully used.
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

TRIED_PART = 0.6
"""Part of the allowed share that is used in the trial; the rest is for the requests
that a version gets until it is known to have turned bad after all were moved to it."""

SLACK_PART = 0.4
"""Part of the allowance beside the share that is used, for the first answers."""

MOVE_BEFORE_MS = 4_000.0
"""Time before the order's end at which new requests go to the new version alone, so
that the old one's streams can end before it is stopped."""

MOVE_BEFORE_PART = 0.3
"""The same as a part of the order's time at most."""

COMPLETE_BEFORE_MS = 1_000.0
"""Time before the order's end from which on completion is recorded. Until then a
version that turns bad can still be rolled back."""

LEAST_ANSWERS = 20
"""Answers of the new version without which it is not taken for good."""


class Phase(Enum):
    """Where an order stands.

    Attributes:
        UNKNOWN: Somebody else decides, or what stands could not be read yet.
        TRYING: The new version gets a small share.
        MOVING: The new version gets everything.
        COMPLETED: It is recorded that the service has moved.
        ROLLED_BACK: The new version gets nothing any more.
    """

    UNKNOWN = "unknown"
    TRYING = "trying"
    MOVING = "moving"
    COMPLETED = "completed"
    ROLLED_BACK = "rolled_back"


class Trial:
    """One order under one scheduler.

    A scheduler that takes over begins a new account: what each lets pass is within the
    share of what it sees itself, so no account has to be handed on.

    Args:
        order: The order.
        bounds: What the new version may get.
        ends_ms: When the order's time is over.
        is_first: Whether no other scheduler has tried it before.

    Attributes:
        phase: Where it stands.
        judge: Counts the answers.
        arrived: Requests for the service.
        exposed: Those that the new version got.
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
        self._share = TRIED_PART * bounds.exposure_share
        self._slack = SLACK_PART * bounds.exposure_slack if is_first else 0.0
        before_ms = min(MOVE_BEFORE_MS, MOVE_BEFORE_PART * order.duration_ms)
        self._move_ms = ends_ms - before_ms
        self._complete_ms = ends_ms - min(COMPLETE_BEFORE_MS, before_ms / 2)
        self._new: dict[str, Endpoint] = {}
        self._focus: list[str] = []
        self._burst_left = 0
        self._arrived_by_work: dict[str, int] = defaultdict(int)
        self._exposed_by_work: dict[str, int] = defaultdict(int)

    def configure(self, endpoints: Mapping[str, Endpoint]) -> None:
        """Adopt the service's endpoints as they are listed now."""
        to_version = self._order.to_version
        self._new = {
            name: endpoint
            for name, endpoint in endpoints.items()
            if endpoint.version == to_version
        }
        staying = {name for name, one in self._new.items() if not one.leaving}
        kept = [name for name in self._focus if name in staying]
        self._focus = kept + sorted(staying - set(kept))
        self.judge.new_endpoints = len(staying)

    # --- requests -----------------------------------------------------------

    def count_arrival(self, handle: Handle) -> None:
        """Count a request, unless it has come before."""
        if handle.attempt == 0 and not handle.excluded and not handle.admitted:
            self.arrived += 1
            self._arrived_by_work[handle.work] += 1

    def should_get(self, handle: Handle) -> bool:
        """Tell whether a request should go to the new version.

        Repeats go where the version is proved. Each route gets its part: some versions
        fail on one of them only.
        """
        if self.phase is not Phase.TRYING or handle.attempt or handle.excluded:
            return False
        if handle.suspect or handle.admitted or not self.judge.is_ready:
            return False
        if not self._is_in_burst():
            return False
        arrived = self._arrived_by_work[handle.work]
        part = arrived / max(1, self.arrived)
        allowed = self._share * arrived + part * self._slack + self._slots_in_focus()
        return self._exposed_by_work[handle.work] + 1 <= allowed

    def _is_in_burst(self) -> bool:
        """Tell whether the allowance is being used, or saved up for a full endpoint.

        Requests that come one by one never fill an endpoint, and a version that fails
        under load would be found out only when it has got everything.
        """
        allowed = self._share * self.arrived + self._slack - self.exposed
        if allowed < 1:
            self._burst_left = 0
        elif self._burst_left == 0 and allowed >= self._slots_in_focus():
            self._burst_left = self._slots_in_focus()
        return self._burst_left > 0

    def _slots_in_focus(self) -> int:
        slots = [self._new[name].slots for name in self._focus[:1]]
        return min(slots, default=1)

    def endpoints_to_try(self) -> list[str]:
        """Return the endpoints to try, in this order."""
        doubted = self.judge.doubted
        return [name for name in self._focus if name not in doubted]

    def count_grant(self, endpoint_id: str, work: str) -> None:
        """Count a request that was given to an endpoint, of either version."""
        if endpoint_id not in self._new:
            return
        self.exposed += 1
        self._exposed_by_work[work] += 1
        if self.phase is Phase.TRYING and self._burst_left > 0:
            self._burst_left -= 1
            self._turn_focus()

    def _turn_focus(self) -> None:
        """Let the next burst go to the next endpoint."""
        if self._burst_left == 0 and self._focus:
            self._focus.append(self._focus.pop(0))

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
        """Judge an answer, or the end of a request that got none.

        Args:
            endpoint_id: Who gave it.
            work: Name of the route.
            now_ms: When it ended.
            has_failed: Whether it was a failure.
            slowness: Time to the first byte against an idle endpoint's, negative where
                that is not known.
            has_begun: Whether it began.
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
        """Go on to the next phase where it is time."""
        if self.phase not in (Phase.TRYING, Phase.MOVING):
            return
        if self.judge.is_bad:
            self.phase = Phase.ROLLED_BACK
        elif self.phase is Phase.TRYING and now_ms >= self._move_ms:
            self._move_or_give_up(now_ms)

    def _move_or_give_up(self, now_ms: float) -> None:
        if self.judge.new_answers >= LEAST_ANSWERS and self._focus:
            self.phase = Phase.MOVING
            # All of them are used now, and all that they answer counts.
            self.judge.doubted.clear()
        elif now_ms >= self._complete_ms:
            self.judge.reason = f"{self.judge.new_answers} answers are too few"
            self.phase = Phase.ROLLED_BACK

    def is_due(self, now_ms: float) -> bool:
        """Tell whether completion should be recorded now."""
        return self.phase is Phase.MOVING and now_ms >= self._complete_ms
