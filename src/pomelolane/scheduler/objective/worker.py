"""State of one endpoint in the objective policy: load, learnt speed and health."""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from pomelolane.model import ServiceKind
from pomelolane.scheduler.objective.estimates import (
    STARTING_SLOWDOWN,
    EndpointEstimate,
    limited,
    starting_interval_ms,
)
from pomelolane.scheduler.objective.flight import Flight

if TYPE_CHECKING:
    from pomelolane.messages import Handle
    from pomelolane.model import Endpoint
    from pomelolane.scheduler.objective.lengths import EventSize, PredictionError
    from pomelolane.scheduler.objective.options import ObjectiveOptions
    from pomelolane.scheduler.objective.rate import EndpointRateLimit

_MAX_SLOWDOWN = 12.0
_MIN_SLOWDOWN = 0.2
_STRAGGLING_SLOWDOWN = 3.0
_MAX_CONCURRENT_PROBES = 1
_SILENT_REQUESTS_TO_SUSPEND = 2
_EVENT_INTERVAL_SMOOTHING = 0.1
_MAX_RECENT_PROMPTS = 64
"""Recently read prompts kept: more than an engine reads in an allowed pause."""

_UNLIMITED_TOKENS = float("inf")
_INELIGIBLE_MS = float("inf")

_MIN_REMAINING_SHARE = 0.3
"""Lower bound on the share of the expected length that is assumed to remain, also for
answers that are already longer than expected."""


@dataclass(slots=True)
class WorkerFigures:
    """Statistics of one endpoint, for operators.

    Attributes:
        running: Number of granted requests that have not finished.
        slowdown: Learnt response time as a multiple of that at speed 1.
        fail_share: Learnt share of failed answers.
        straggling: Whether it is much slower than speed 1.
        suspended: Whether it gets no requests at present.
        limit_per_s: Announced limit in requests per second, 0 for no limit.
    """

    running: int
    slowdown: float
    fail_share: float
    straggling: bool
    suspended: bool
    limit_per_s: float


@dataclass(frozen=True, slots=True)
class LatencyModel:
    """Linear model of how long one endpoint takes for a request.

    Attributes:
        base_ttft_ms: Time to first byte without the time to read the prompt.
        ms_per_prompt_token: Time per prompt token.
        ms_per_answer_token: Time per answer token.
        slots: Number of requests that it serves at a time.
    """

    base_ttft_ms: float
    ms_per_prompt_token: float
    ms_per_answer_token: float
    slots: int = 1


@dataclass(slots=True)
class Worker:
    """Tracks one endpoint and predicts its response times.

    Attributes:
        endpoint: Its declaration.
        kind: Kind of the service.
        options: The policy's constants.
        event_size: Estimate of the tokens per answer event, shared by all endpoints.
        prediction_error: Estimate of the error of predicted times to first byte, shared
            by all endpoints.
        leaving: Whether it gets no new requests.
        rate: Rate limit that it announced, None for no limit.
        last_unlimited_grant_ms: Grant time of the newest request whose answer announced
            no limit.
        flights: Requests in flight by id.
        slowdown: Learnt response time as a multiple of that at speed 1.
        fail_share: Learnt share of failed answers.
        suspended_until_ms: Time before which it gets no requests.
        probing: Whether it gets only one request at a time until one succeeds.
        failures: Number of consecutive failures.
        event_interval_ms: Learnt time between two answer events, 0 if unknown.
        last_activity_ms: When it last sent anything.
        recent_prompts: Recently read prompts, as read time and number of tokens.
        recent_prompt_tokens: Sum of the tokens in ``recent_prompts``.
        pending_prompt_tokens: Prompt tokens of requests without a first answer byte.
        reserved_kv_tokens: KV cache tokens for prompts and expected answers in flight.
        max_prompt_tokens: Longest prompt that would not stall the running streams, as
            of the last :meth:`update_max_prompt`.
        samples: Number of measured times to first byte that the learnt speed is based
            on, adopted ones included.
        sampled_ms: Time of the newest of them.
        estimate_source: Where its estimate was adopted from, empty if it was not.
    """

    endpoint: Endpoint
    kind: ServiceKind
    options: ObjectiveOptions
    event_size: EventSize
    prediction_error: PredictionError
    leaving: bool = False
    rate: EndpointRateLimit | None = None
    last_unlimited_grant_ms: float = -math.inf
    flights: dict[str, Flight] = field(default_factory=dict)
    slowdown: float = STARTING_SLOWDOWN
    fail_share: float = 0.0
    suspended_until_ms: float = 0.0
    probing: bool = False
    failures: int = 0
    event_interval_ms: float = 0.0
    last_activity_ms: float = 0.0
    recent_prompts: deque[tuple[float, int]] = field(
        default_factory=lambda: deque(maxlen=_MAX_RECENT_PROMPTS)
    )
    recent_prompt_tokens: int = 0
    pending_prompt_tokens: int = 0
    reserved_kv_tokens: int = 0
    max_prompt_tokens: float = _UNLIMITED_TOKENS
    samples: int = 0
    sampled_ms: float = -math.inf
    estimate_source: str = ""
    # Cached result of _compute_min_gap_ms; None if it must be computed again.
    _min_gap_ms: int | None = 0

    def is_available(self, now_ms: float) -> bool:
        """Return whether it may get a request now, if it has a free slot."""
        return not self.leaving and self.is_available_for_trial(now_ms)

    def is_available_for_trial(self, now_ms: float) -> bool:
        """Return whether it may get a request of a version trial, with a free slot.

        Endpoints on trial are marked as leaving to keep other requests away.
        """
        if now_ms < self.suspended_until_ms or not self.is_within_rate(now_ms):
            return False
        return not self.probing or len(self.flights) < _MAX_CONCURRENT_PROBES

    def is_closed_to(self, handle: Handle) -> bool:
        """Return whether it is leaving and does not take the request either way."""
        takes_it = self.endpoint.takes_resumed and handle.version is not None
        return self.leaving and not takes_it

    def is_within_rate(self, now_ms: float) -> bool:
        """Return whether its announced rate limit allows a request now."""
        return self.rate is None or self.rate.wait_ms(now_ms) <= 0

    def is_suspended_or_probing(self, now_ms: float) -> bool:
        """Return whether it is suspended, or probed after a suspension."""
        return self.probing or now_ms < self.suspended_until_ms

    def usable_slots(self, share: float) -> int:
        """Return a share of the number of slots, rounded down but at least 1."""
        return max(1, int(self.endpoint.slots * share))

    def idle_ttft_ms(self, handle: Handle) -> float:
        """Return the predicted time to first byte with no prompts ahead."""
        return self._reference_ttft_ms(handle, 0) * self.slowdown

    def reference_ttft_ms(self, handle: Handle) -> float:
        """Return the predicted time to first byte at speed 1."""
        return self._reference_ttft_ms(handle, self.pending_prompt_tokens)

    def _reference_ttft_ms(self, handle: Handle, ahead: int) -> float:
        options = self.options
        if self.kind is ServiceKind.PLAIN:
            return options.plain_ms
        prompt_ms = (ahead + handle.prefill_tokens) / options.prefill_per_ms
        return options.first_token_ms + prompt_ms

    def _recent_tokens_since(self, since_ms: float) -> int:
        """Return how many prompt tokens were read since a time."""
        while self.recent_prompts and self.recent_prompts[0][0] < since_ms:
            self.recent_prompt_tokens -= self.recent_prompts.popleft()[1]
        return self.recent_prompt_tokens

    def predict_ttft_ms(self, handle: Handle) -> float:
        """Return the predicted time to first byte at the learnt speed."""
        return self.reference_ttft_ms(handle) * self.slowdown

    def score_ms(self, handle: Handle, left_ms: float) -> float:
        """Return the placement score of a request here; the lowest score wins.

        The score is the predicted time to first byte, with penalties for failed
        answers and for another data centre than the caller's.

        Args:
            handle: The request.
            left_ms: How long its answer may take.

        Returns:
            Infinity if the request must not go here: its prompt would stall the running
            streams, it does not fit into the KV cache, or it would take too long.
        """
        prompt = handle.prefill_tokens
        if prompt > self.max_prompt_tokens:
            return _INELIGIBLE_MS
        limit = self.endpoint.kv_tokens
        if 0 < limit < self.reserved_kv_tokens + prompt + handle.decode_tokens:
            return _INELIGIBLE_MS
        ttft_ms = self.predict_ttft_ms(handle)
        if ttft_ms + self._answer_ms(handle) > left_ms:
            return _INELIGIBLE_MS
        options = self.options
        score_ms = ttft_ms * (1.0 + options.fail_weight * self.fail_share)
        if handle.data_centre != self.endpoint.data_centre:
            score_ms += options.far_ms
        return score_ms

    def duration_ms(self, handle: Handle) -> float:
        """Return how long a request is expected to hold its slot."""
        return self.predict_ttft_ms(handle) + self._answer_ms(handle)

    def remaining_ms(self, flight: Flight, now_ms: float) -> float:
        """Return how much longer a request in flight is expected to hold its slot."""
        if not flight.started:
            until_first_ms = flight.granted_ms + flight.expected_ttft_ms - now_ms
            return max(1.0, until_first_ms) + self._answer_ms(flight.handle)
        expected = self._expected_events(flight.handle)
        left = max(_MIN_REMAINING_SHARE * expected, expected - flight.events)
        return max(1.0, left * self._expected_event_interval_ms())

    def learn_event_interval(
        self, flight: Flight, events: int, elapsed_ms: float
    ) -> None:
        """Update the learnt time between answer events."""
        flight.events += events
        sample_ms = elapsed_ms / events
        if not self.event_interval_ms:
            self.event_interval_ms = sample_ms
        self.event_interval_ms += _EVENT_INTERVAL_SMOOTHING * (
            sample_ms - self.event_interval_ms
        )

    def _answer_ms(self, handle: Handle) -> float:
        return self._expected_events(handle) * self._expected_event_interval_ms()

    def _expected_events(self, handle: Handle) -> float:
        if self.kind is ServiceKind.PLAIN:
            return 0.0
        return handle.decode_tokens / self.event_size.tokens

    def _expected_event_interval_ms(self) -> float:
        options = self.options
        initial_ms = self.event_size.tokens * options.token_ms * self.slowdown
        return self.event_interval_ms or initial_ms

    def latency_model(self) -> LatencyModel:
        """Return the latency model for requests granted now."""
        options = self.options
        slots = max(1, self.endpoint.slots)
        if self.kind is ServiceKind.PLAIN:
            return LatencyModel(options.plain_ms * self.slowdown, 0.0, 0.0, slots)
        ms_per_prompt_token = self.slowdown / options.prefill_per_ms
        ttft_ms = options.first_token_ms * self.slowdown
        ttft_ms += self.pending_prompt_tokens * ms_per_prompt_token
        ms_per_answer_token = (
            self._expected_event_interval_ms() / self.event_size.tokens
        )
        return LatencyModel(ttft_ms, ms_per_prompt_token, ms_per_answer_token, slots)

    def update_max_prompt(self, now_ms: float) -> None:
        """Update the longest prompt that does not stall the running streams.

        Between two events of a stream, the engine makes one step per token and reads
        one prompt chunk in each step. The chunks belong to the new prompt, to pending
        prompts and to those read within the allowed pause.
        """
        gap_ms = self._compute_min_gap_ms()
        if not gap_ms:
            self.max_prompt_tokens = _UNLIMITED_TOKENS
            return
        options = self.options
        steps = options.tokens_per_event
        pause_ms = options.gap_share * gap_ms / self.slowdown
        readable = (pause_ms - steps * options.token_ms) * options.prefill_per_ms
        if readable >= steps * options.prefill_chunk_tokens:
            self.max_prompt_tokens = _UNLIMITED_TOKENS
            return
        recent = self._recent_tokens_since(now_ms - gap_ms)
        self.max_prompt_tokens = max(
            0.0, readable - self.pending_prompt_tokens - recent
        )

    def _compute_min_gap_ms(self) -> int:
        """Return the shortest pause that running streams allow, 0 for no limit."""
        if self._min_gap_ms is None:
            gaps = [f.handle.gap_ms for f in self.flights.values() if f.handle.gap_ms]
            self._min_gap_ms = min(gaps, default=0)
        return self._min_gap_ms

    def begin(self, handle: Handle, now_ms: float) -> Flight:
        """Register a granted request."""
        flight = Flight(
            handle,
            now_ms,
            self.reference_ttft_ms(handle),
            self.predict_ttft_ms(handle),
        )
        self.flights[handle.request_id] = flight
        self.pending_prompt_tokens += handle.prefill_tokens
        self.reserved_kv_tokens += _kv_tokens(handle)
        self._min_gap_ms = None
        return flight

    def end(self, request_id: str) -> Flight | None:
        """Remove and return a request in flight, None if it does not run here."""
        flight = self.flights.pop(request_id, None)
        if flight is None:
            return None
        if not flight.started:
            self.pending_prompt_tokens -= flight.handle.prefill_tokens
        self.reserved_kv_tokens -= _kv_tokens(flight.handle)
        self._min_gap_ms = None
        return flight

    def mark_started(self, flight: Flight) -> None:
        """Record that a request's prompt has been read."""
        if not flight.started:
            flight.started = True
            self.pending_prompt_tokens -= flight.handle.prefill_tokens

    def learn_ttft(self, flight: Flight, ttft_ms: float, now_ms: float) -> None:
        """Update the learnt speed from a measured time to first byte."""
        self.mark_started(flight)
        flight.ttft_ms = ttft_ms
        if len(self.recent_prompts) == _MAX_RECENT_PROMPTS:
            self.recent_prompt_tokens -= self.recent_prompts.popleft()[1]
        self.recent_prompts.append((now_ms, flight.handle.prefill_tokens))
        self.recent_prompt_tokens += flight.handle.prefill_tokens
        ratio = min(
            _MAX_SLOWDOWN, max(_MIN_SLOWDOWN, ttft_ms / flight.reference_ttft_ms)
        )
        self.samples += 1
        self.sampled_ms = now_ms
        step = self.options.speed_step
        self.prediction_error.learn(ttft_ms, flight.expected_ttft_ms)
        self.slowdown += step * (ratio - self.slowdown)

    def estimate(self, now_ms: float) -> EndpointEstimate:
        """Return what has been learnt, for the service's next scheduler.

        Receivers drop estimates beyond the limits, so its figures are limited here.
        """
        interval_ms = self.event_interval_ms
        return EndpointEstimate(
            self.endpoint.endpoint_id,
            self.endpoint.born_ms,
            self.endpoint.version,
            self.slowdown,
            interval_ms and limited(interval_ms, starting_interval_ms(self.options)),
            self.fail_share,
            self.samples,
            max(0.0, now_ms - self.sampled_ms),
            limited(self.event_size.tokens, self.options.tokens_per_event),
        )

    def adopt_estimate(
        self, estimate: EndpointEstimate, sampled_ms: float, source: str
    ) -> None:
        """Replace the learnt values by an estimate of another scheduler.

        Consecutive failures and suspensions stay as this scheduler has seen them.
        """
        slowdown = estimate.aged(estimate.slowdown, STARTING_SLOWDOWN)
        self.slowdown = min(_MAX_SLOWDOWN, max(_MIN_SLOWDOWN, slowdown))
        self.fail_share = estimate.aged(estimate.failure_ratio, 0.0)
        if estimate.event_interval_ms:
            starting_ms = starting_interval_ms(self.options)
            interval_ms = estimate.aged(estimate.event_interval_ms, starting_ms)
            self.event_interval_ms = limited(interval_ms, starting_ms)
        self.samples = estimate.samples
        self.sampled_ms = sampled_ms
        self.estimate_source = source

    def reset_estimate(self) -> None:
        """Return the learnt values to the starting values, as for another start."""
        self.slowdown = STARTING_SLOWDOWN
        self.fail_share = 0.0
        self.event_interval_ms = 0.0
        self.samples = 0
        self.sampled_ms = -math.inf
        self.estimate_source = ""

    def record_success(self) -> None:
        """Record a successful answer; end any suspension and probing."""
        self.failures = 0
        self.probing = False
        self.suspended_until_ms = 0.0
        self.fail_share *= 1.0 - self.options.fail_step

    def record_failure(self, now_ms: float) -> None:
        """Record a failed answer; suspend the endpoint after two in a row."""
        step = self.options.fail_step
        self.fail_share += step * (1.0 - self.fail_share)
        self.failures += 1
        if self.failures >= 2:
            self.suspend(now_ms)

    def record_refusal(self, now_ms: float) -> None:
        """Suspend it briefly: it is down, or other schedulers use its slots."""
        self.failures += 1
        pause_ms = self.options.refused_pause_ms * 2 ** min(self.failures - 1, 5)
        self.suspended_until_ms = max(self.suspended_until_ms, now_ms + pause_ms)

    def suspend(self, now_ms: float) -> None:
        """Grant nothing for a time that grows with failures, then one probe request."""
        options = self.options
        pause_ms = options.suspend_ms * 2 ** max(0, self.failures - 2)
        until_ms = now_ms + min(options.suspend_limit_ms, pause_ms)
        self.suspended_until_ms = max(self.suspended_until_ms, until_ms)
        self.probing = True

    def record_activity(self, now_ms: float) -> None:
        """Record that the endpoint has sent something."""
        self.last_activity_ms = now_ms

    def suspend_if_silent(self, now_ms: float) -> bool:
        """Suspend the endpoint if several requests get no answer; True if it did.

        A single silent request may just take long, but of several at once some would
        have begun to answer.
        """
        if now_ms < self.suspended_until_ms:
            return False
        silent = sum(1 for f in self.flights.values() if self._is_silent(f, now_ms))
        if silent < _SILENT_REQUESTS_TO_SUSPEND:
            return False
        self.record_activity(now_ms)
        self.failures = max(2, self.failures + 1)
        self.suspend(now_ms)
        return True

    def _is_silent(self, flight: Flight, now_ms: float) -> bool:
        since_ms = max(flight.granted_ms, self.last_activity_ms)
        limit_ms = self.options.suspect_ms + 3 * flight.expected_ttft_ms
        return not flight.started and now_ms - since_ms > limit_ms

    def figures(self, now_ms: float) -> WorkerFigures:
        """Return the statistics for operators."""
        return WorkerFigures(
            len(self.flights),
            self.slowdown,
            self.fail_share,
            self.slowdown > _STRAGGLING_SLOWDOWN,
            now_ms < self.suspended_until_ms,
            0.0 if self.rate is None else self.rate.per_s,
        )


def _kv_tokens(handle: Handle) -> int:
    return handle.prefill_tokens + handle.decode_tokens
