"""Health check of an endpoint: healthy, straggling or down.

It uses token rates, overdue first tokens and refused calls. Load reports are not
used, because they describe the past.
"""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING

from pomelolane.outcomes import Outcome
from pomelolane.scheduler.estimate import DecayingRate

if TYPE_CHECKING:
    from pomelolane.messages import StreamEvent
    from pomelolane.scheduler.endpoint_state import EndpointState, RunningRequest

_STRAGGLING_SLOWDOWN = 3.0
_RECOVERED_SLOWDOWN = 1.8
_RECENT_HALF_LIFE_MS = 300.0
_BASELINE_HALF_LIFE_MS = 60_000.0
_STRAGGLING_BASELINE_WEIGHT = 0.1
_MIN_BASELINE_TOKENS = 48
_MIN_RECOVERY_TOKENS = 4
_MIN_SILENCE_MS = 1_000.0
_SILENCE_TOKEN_GAPS = 6.0
_OVERDUE_FACTOR = 3.0
_MIN_PROBE_BACKOFF_MS = 500.0
_MAX_PROBE_BACKOFF_MS = 5_000.0
_MIN_DOWN_BACKOFF_MS = 200.0
_MAX_DOWN_BACKOFF_MS = 5_000.0
_FAILURE_OUTCOMES = (Outcome.FAILED, Outcome.UNKNOWN)


class HealthState(Enum):
    """Health state of an endpoint, which decides what it may be granted."""

    HEALTHY = "healthy"
    STRAGGLING = "straggling"
    DOWN = "down"


class EndpointHealth:
    """Tracks the health of one endpoint from the streams of its requests.

    Args:
        uses_token_rate: Whether the token rate indicates health, as for engines.
    """

    def __init__(self, *, uses_token_rate: bool = True) -> None:
        self.state = HealthState.HEALTHY
        self._uses_token_rate = uses_token_rate
        self.slowdown = 1.0
        self._recent = DecayingRate(0.0, 0.0, _RECENT_HALF_LIFE_MS)
        self._baseline = DecayingRate(0.0, 0.0, _BASELINE_HALF_LIFE_MS)
        self._baseline_tokens = 0
        self._recovery_tokens = 0
        self._last_event_ms = 0.0
        self._probe_ms = 0.0
        self._probe_backoff_ms = _MIN_PROBE_BACKOFF_MS
        self._failed_ms = -1.0
        self._down_backoff_ms = _MIN_DOWN_BACKOFF_MS

    def record_grant(self, state: EndpointState, now_ms: float) -> None:
        """Record a grant; silence is measured from the first running request on."""
        if len(state.running_requests) <= 1:
            self._last_event_ms = now_ms
        if self.state is not HealthState.HEALTHY:
            self._probe_ms = now_ms + self._probe_backoff_ms
            self._probe_backoff_ms = min(
                _MAX_PROBE_BACKOFF_MS, 2 * self._probe_backoff_ms
            )

    def observe(
        self, request: RunningRequest, event: StreamEvent, now_ms: float
    ) -> None:
        """Update the state from a stream event."""
        if event.refused or event.outcome in _FAILURE_OUTCOMES:
            self._mark_down(request, now_ms)
            return
        self._last_event_ms = now_ms
        if self.state is HealthState.DOWN:
            self._mark_healthy()
        if event.tokens <= 0 or event.elapsed_ms <= 0 or not self._uses_token_rate:
            self._check_probe_without_tokens(request, event, now_ms)
            return
        self._recent.add(event.tokens, event.elapsed_ms)
        self._recovery_tokens += event.tokens
        weight = (
            1.0 if self.state is HealthState.HEALTHY else _STRAGGLING_BASELINE_WEIGHT
        )
        self._baseline.add(weight * event.tokens, weight * event.elapsed_ms)
        self._baseline_tokens += event.tokens
        self._update_state(now_ms)

    def check(self, state: EndpointState, now_ms: float) -> None:
        """Detect silence and overdue first tokens; call on each tick."""
        if self.state is not HealthState.HEALTHY or not state.running_requests:
            return
        if self._is_silent(state, now_ms) and self._is_overdue(state, now_ms):
            self._mark_straggling(now_ms, float("inf"))

    def probe_due(self, state: EndpointState, now_ms: float) -> bool:
        """Return whether an unhealthy endpoint should get a probe request."""
        if now_ms < self._probe_ms:
            return False
        return not any(request.probe for request in state.running_requests.values())

    def retry_ms(self, now_ms: float) -> float:
        """Return the time until the next probe may be sent."""
        return max(0.0, self._probe_ms - now_ms)

    def _is_silent(self, state: EndpointState, now_ms: float) -> bool:
        gap_ms = _SILENCE_TOKEN_GAPS / state.decode_per_ms
        return now_ms - self._last_event_ms > max(_MIN_SILENCE_MS, gap_ms)

    def _is_overdue(self, state: EndpointState, now_ms: float) -> bool:
        """Return whether any running request should have sent an event by now."""
        for request in state.running_requests.values():
            if request.started:
                return True
            allowed_ms = _OVERDUE_FACTOR * (
                request.expected_first_ms - request.granted_ms
            )
            if now_ms - request.granted_ms > max(_MIN_SILENCE_MS, allowed_ms):
                return True
        return False

    def _update_state(self, now_ms: float) -> None:
        has_answered = self._recovery_tokens >= _MIN_RECOVERY_TOKENS
        if self._baseline_tokens < _MIN_BASELINE_TOKENS:
            # Without a baseline speed, only silence can have marked it as straggling.
            if self.state is HealthState.STRAGGLING and has_answered:
                self._mark_healthy()
            return
        self.slowdown = self._baseline.per_ms / max(1e-9, self._recent.per_ms)
        if self.state is HealthState.HEALTHY:
            if self.slowdown > _STRAGGLING_SLOWDOWN:
                self._mark_straggling(now_ms, self.slowdown)
        elif has_answered and self.slowdown < _RECOVERED_SLOWDOWN:
            self._mark_healthy()

    def _check_probe_without_tokens(
        self, request: RunningRequest, event: StreamEvent, now_ms: float
    ) -> None:
        """Mark a straggler healthy after a fast probe that produced no tokens."""
        if (
            self.state is HealthState.STRAGGLING
            and event.finished
            and _is_probe_without_tokens(request)
        ):
            allowed_ms = request.expected_first_ms - request.granted_ms
            if now_ms - request.granted_ms <= max(
                _MIN_SILENCE_MS, _RECOVERED_SLOWDOWN * allowed_ms
            ):
                self._mark_healthy()

    def _mark_straggling(self, now_ms: float, slowdown: float) -> None:
        self.state = HealthState.STRAGGLING
        self.slowdown = slowdown
        self._recovery_tokens = 0
        self._probe_backoff_ms = _MIN_PROBE_BACKOFF_MS
        self._probe_ms = now_ms + _MIN_PROBE_BACKOFF_MS

    def _mark_down(self, request: RunningRequest, now_ms: float) -> None:
        if request.granted_ms < self._failed_ms:
            # Granted before the last failure, so it shows no new one.
            return
        self._failed_ms = now_ms
        self.state = HealthState.DOWN
        self._probe_ms = now_ms + self._down_backoff_ms
        self._down_backoff_ms = min(_MAX_DOWN_BACKOFF_MS, 2 * self._down_backoff_ms)

    def _mark_healthy(self) -> None:
        self.state = HealthState.HEALTHY
        self.slowdown = 1.0
        self._probe_backoff_ms = _MIN_PROBE_BACKOFF_MS
        self._down_backoff_ms = _MIN_DOWN_BACKOFF_MS
        self._recent = DecayingRate(0.0, 0.0, _RECENT_HALF_LIFE_MS)


def _is_probe_without_tokens(request: RunningRequest) -> bool:
    """Return whether the request is a probe that produced no tokens."""
    return request.probe and request.decoded_tokens == 0
