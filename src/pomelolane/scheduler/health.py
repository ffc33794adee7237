"""Whether an endpoint keeps its pace, answers at all, or needs a probe.

Token gaps, overdue first tokens and refused calls tell; a load report is never
asked, because it describes the past.
"""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING

from pomelolane.outcomes import Outcome
from pomelolane.scheduler.estimate import DecayingRate

if TYPE_CHECKING:
    from pomelolane.messages import StreamEvent
    from pomelolane.scheduler.accounting import EndpointState, Flight

_SLOWDOWN_LOST = 3.0
_SLOWDOWN_WON = 1.8
_RECENT_HALF_LIFE_MS = 300.0
_USUAL_HALF_LIFE_MS = 60_000.0
_STRAGGLING_WEIGHT = 0.1
_MATURE_TOKENS = 48
_FRESH_TOKENS = 4
_SILENCE_MIN_MS = 1_000.0
_SILENCE_GAPS = 6.0
_OVERDUE_FACTOR = 3.0
_PROBE_FIRST_MS = 500.0
_PROBE_LAST_MS = 5_000.0
_DOWN_FIRST_MS = 200.0
_DOWN_LAST_MS = 5_000.0
_BROKEN = (Outcome.FAILED, Outcome.UNKNOWN)


class State(Enum):
    """What may be granted to an endpoint."""

    HEALTHY = "healthy"
    STRAGGLING = "straggling"
    DOWN = "down"


class EndpointHealth:
    """Judges one endpoint by its own streams.

    Args:
        judges_tokens: Whether token gaps mean anything, as with engines.
    """

    def __init__(self, *, judges_tokens: bool = True) -> None:
        self.state = State.HEALTHY
        self._judges_tokens = judges_tokens
        self.slowdown = 1.0
        self._recent = DecayingRate(0.0, 0.0, _RECENT_HALF_LIFE_MS)
        self._usual = DecayingRate(0.0, 0.0, _USUAL_HALF_LIFE_MS)
        self._usual_tokens = 0
        self._fresh_tokens = 0
        self._heard_ms = 0.0
        self._probe_ms = 0.0
        self._probe_backoff_ms = _PROBE_FIRST_MS
        self._failed_ms = -1.0
        self._down_backoff_ms = _DOWN_FIRST_MS

    def granted(self, state: EndpointState, now_ms: float) -> None:
        """Note a grant: silence counts from the first flight on."""
        if len(state.flights) <= 1:
            self._heard_ms = now_ms
        if self.state is not State.HEALTHY:
            self._probe_ms = now_ms + self._probe_backoff_ms
            self._probe_backoff_ms = min(_PROBE_LAST_MS, 2 * self._probe_backoff_ms)

    def observe(self, flight: Flight, event: StreamEvent, now_ms: float) -> None:
        """Learn from a stream event."""
        if event.refused or event.outcome in _BROKEN:
            self._fail(flight, now_ms)
            return
        self._heard_ms = now_ms
        if self.state is State.DOWN:
            self._recover()
        if event.tokens <= 0 or event.elapsed_ms <= 0 or not self._judges_tokens:
            self._settle_probe(flight, event, now_ms)
            return
        self._recent.add(event.tokens, event.elapsed_ms)
        self._fresh_tokens += event.tokens
        weight = 1.0 if self.state is State.HEALTHY else _STRAGGLING_WEIGHT
        self._usual.add(weight * event.tokens, weight * event.elapsed_ms)
        self._usual_tokens += event.tokens
        self._judge(now_ms)

    def check(self, state: EndpointState, now_ms: float) -> None:
        """Look for silence and overdue first tokens; call often."""
        if self.state is not State.HEALTHY or not state.flights:
            return
        if self._silent(state, now_ms) and self._overdue(state, now_ms):
            self._suspect(now_ms, float("inf"))

    def probe_due(self, state: EndpointState, now_ms: float) -> bool:
        """Tell whether an unhealthy endpoint should get one request."""
        if now_ms < self._probe_ms:
            return False
        return not any(flight.probe for flight in state.flights.values())

    def retry_ms(self, now_ms: float) -> float:
        """Return when the next probe may go out."""
        return max(0.0, self._probe_ms - now_ms)

    def _silent(self, state: EndpointState, now_ms: float) -> bool:
        gap_ms = _SILENCE_GAPS / state.decode_per_ms
        return now_ms - self._heard_ms > max(_SILENCE_MIN_MS, gap_ms)

    def _overdue(self, state: EndpointState, now_ms: float) -> bool:
        """Tell whether any flight should have been heard of by now."""
        for flight in state.flights.values():
            if flight.started:
                return True
            allowed_ms = _OVERDUE_FACTOR * (
                flight.expected_first_ms - flight.granted_ms
            )
            if now_ms - flight.granted_ms > max(_SILENCE_MIN_MS, allowed_ms):
                return True
        return False

    def _judge(self, now_ms: float) -> None:
        has_answered = self._fresh_tokens >= _FRESH_TOKENS
        if self._usual_tokens < _MATURE_TOKENS:
            # Without a usual pace, silence is all that it can be suspected of.
            if self.state is State.STRAGGLING and has_answered:
                self._recover()
            return
        self.slowdown = self._usual.per_ms / max(1e-9, self._recent.per_ms)
        if self.state is State.HEALTHY:
            if self.slowdown > _SLOWDOWN_LOST:
                self._suspect(now_ms, self.slowdown)
        elif has_answered and self.slowdown < _SLOWDOWN_WON:
            self._recover()

    def _settle_probe(self, flight: Flight, event: StreamEvent, now_ms: float) -> None:
        """Judge a probe that ends without tokens, as plain calls do."""
        if self.state is State.STRAGGLING and event.finished and _untold(flight):
            allowed_ms = flight.expected_first_ms - flight.granted_ms
            if now_ms - flight.granted_ms <= max(
                _SILENCE_MIN_MS, _SLOWDOWN_WON * allowed_ms
            ):
                self._recover()

    def _suspect(self, now_ms: float, slowdown: float) -> None:
        self.state = State.STRAGGLING
        self.slowdown = slowdown
        self._fresh_tokens = 0
        self._probe_backoff_ms = _PROBE_FIRST_MS
        self._probe_ms = now_ms + _PROBE_FIRST_MS

    def _fail(self, flight: Flight, now_ms: float) -> None:
        if flight.granted_ms < self._failed_ms:
            return
        self._failed_ms = now_ms
        self.state = State.DOWN
        self._probe_ms = now_ms + self._down_backoff_ms
        self._down_backoff_ms = min(_DOWN_LAST_MS, 2 * self._down_backoff_ms)

    def _recover(self) -> None:
        self.state = State.HEALTHY
        self.slowdown = 1.0
        self._probe_backoff_ms = _PROBE_FIRST_MS
        self._down_backoff_ms = _DOWN_FIRST_MS
        self._recent = DecayingRate(0.0, 0.0, _RECENT_HALF_LIFE_MS)


def _untold(flight: Flight) -> bool:
    """Tell whether a probe has ended without any token to judge it by."""
    return flight.probe and flight.decoded_tokens == 0
