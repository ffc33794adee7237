"""Load and speed estimates of each endpoint, from the scheduler's own grants.

No load report is needed: every grant and stream event of this scheduler is known
here. Load reports only add the load that other schedulers may have caused.
"""

from __future__ import annotations

import math
from bisect import bisect_left, bisect_right
from dataclasses import dataclass
from typing import TYPE_CHECKING

from pomelolane.model import ServiceKind
from pomelolane.scheduler.estimate import DecayingRate

if TYPE_CHECKING:
    from pomelolane.messages import Handle, StreamEvent
    from pomelolane.model import Endpoint
    from pomelolane.ports import LoadReport

_SPEED_HALF_LIFE_MS = 5_000.0
_SPEED_PRIOR_MS = 1_000.0
_FOREIGN_HALF_LIFE_MS = 2_000.0
_REPORT_TIME_ERROR_MS = 250.0
_HISTORY_LENGTH = 512
_MIN_SPEED_PER_MS = 1e-6
_PLAIN_SERVICE_PRIOR_MS = 50.0


@dataclass(slots=True, eq=False)
class RunningRequest:
    """A granted request that has not ended.

    Attributes:
        handle: The request as submitted by the gateway.
        granted_ms: Time of the grant.
        deadline_ms: Time by which the last byte is due.
        prefill_tokens: Prompt tokens not expected in the endpoint's cache.
        decode_tokens: Expected answer length.
        expected_first_ms: Predicted time of the first token.
        expected_end_ms: Predicted time of the last token.
        cached_tokens: Prompt tokens expected in the endpoint's cache.
        decoded_tokens: Answer tokens received so far.
        started: Whether the first token was received.
        prefill_ms: Measured prefill time in ms, or -1 if there is none to learn
            from.
        probe: Whether it probes an endpoint that is not healthy.
    """

    handle: Handle
    granted_ms: float
    deadline_ms: float
    prefill_tokens: int
    decode_tokens: int
    expected_first_ms: float
    expected_end_ms: float
    cached_tokens: int = 0
    decoded_tokens: int = 0
    started: bool = False
    prefill_ms: float = -1.0
    probe: bool = False

    @property
    def kv_tokens(self) -> int:
        """KV cache tokens that the request needs at its end."""
        answer = max(self.decode_tokens, self.decoded_tokens)
        return self.handle.prefill_tokens + answer


class EndpointState:
    """Load and speed estimates of one engine.

    Args:
        endpoint: Its declaration; declared speeds are the prior.
        learn_speeds: Whether observations update the speeds.

    Attributes:
        slots: Usable slots, at least one.
        kv_used_tokens: KV cache tokens that the running requests need at their end.
        prefill_tokens_ahead: Prompt tokens granted and not yet processed.
        prefill_free_ms: Predicted time at which these are processed.
        prefill_per_ms: Observed prefill speed, tokens per ms.
        decode_per_ms: Observed decode speed of one stream, tokens per ms.
    """

    def __init__(self, endpoint: Endpoint, *, learn_speeds: bool = True) -> None:
        self.endpoint = endpoint
        self.running_requests: dict[str, RunningRequest] = {}
        self.leaving = endpoint.leaving
        self.kv_used_tokens = 0
        self.prefill_tokens_ahead = 0
        self.prefill_free_ms = 0.0
        self._slot_share = 1.0
        self.slots = max(1, endpoint.slots)
        self.last_first_token_ms = 0.0
        self._learn_speeds = learn_speeds
        self._foreign_requests = 0.0
        self._foreign_at_ms = 0.0
        self._history_ms: list[float] = []
        self._history_count: list[int] = []
        self._prefill = _speed(endpoint.prefill_tokens_per_s)
        self._decode = _speed(endpoint.decode_tokens_per_s)
        self.prefill_per_ms = self._prefill.per_ms
        self.decode_per_ms = self._decode.per_ms

    @property
    def has_foreign_load(self) -> bool:
        """Whether load reports showed load from other schedulers."""
        return self._foreign_requests > 0

    def update_declaration(self, endpoint: Endpoint) -> None:
        """Apply a new declaration."""
        self.endpoint = endpoint
        self.set_slot_share(self._slot_share)

    def set_slot_share(self, share: float) -> None:
        """Use only a share of the slots, but at least one slot."""
        self._slot_share = share
        self.slots = max(1, int(self.endpoint.slots * share))

    def free_slots(self, now_ms: float) -> int:
        """Return slots used neither by own requests nor by reported foreign load."""
        free = self.slots - len(self.running_requests)
        if not self._foreign_requests:
            return free
        return free - round(self._foreign_load(now_ms))

    def kv_fits(self, tokens: int) -> bool:
        """Return whether a request's KV cache fits beside the running requests."""
        limit = self.endpoint.kv_tokens
        return limit <= 0 or self.kv_used_tokens + tokens <= limit

    def prefill_ahead_ms(self, now_ms: float) -> float:
        """Return the predicted time until the prompts ahead are processed."""
        return max(0.0, self.prefill_free_ms - now_ms)

    def service_ms(self, prefill_tokens: int, decode_tokens: int) -> float:
        """Predict the service time of a request with no prompts ahead."""
        return prefill_tokens / self.prefill_per_ms + decode_tokens / self.decode_per_ms

    def phases_ms(self, prefill_tokens: int) -> tuple[float, float]:
        """Predict the prefill time and the time per answer token."""
        return prefill_tokens / self.prefill_per_ms, 1.0 / self.decode_per_ms

    def unqueued_first_token_ms(self, prefill_tokens: int) -> float:
        """Predict the time to the first token with no prompts ahead."""
        return prefill_tokens / self.prefill_per_ms + 1.0 / self.decode_per_ms

    def slot_wait_ms(self, now_ms: float) -> float:
        """Predict the time until a slot is free and the prompts ahead are processed."""
        wait_ms = self.prefill_ahead_ms(now_ms)
        if self.free_slots(now_ms) > 0 or not self.running_requests:
            return wait_ms
        first_end_ms = min(
            request.expected_end_ms for request in self.running_requests.values()
        )
        return max(wait_ms, first_end_ms - now_ms)

    def add(self, request: RunningRequest, now_ms: float) -> None:
        """Add a granted request."""
        self.running_requests[request.handle.request_id] = request
        self.kv_used_tokens += request.kv_tokens
        self._record_count(now_ms)
        if request.started:
            return
        self.prefill_tokens_ahead += request.prefill_tokens
        work_ms = request.prefill_tokens / self.prefill_per_ms
        self.prefill_free_ms = max(now_ms, self.prefill_free_ms) + work_ms

    def observe(
        self, request: RunningRequest, event: StreamEvent, now_ms: float
    ) -> None:
        """Update the estimates from a stream event of a running request."""
        if event.ttft_ms >= 0 and not request.started:
            self._record_first_token(request, event, now_ms)
        if event.tokens > 0:
            self._record_tokens(request, event)
        if request.prefill_ms > 0 and _is_prefill_known(request, event):
            self._learn_prefill(request, event)

    def remove(self, request: RunningRequest, now_ms: float) -> None:
        """Remove an ended request and free its slot and KV cache."""
        del self.running_requests[request.handle.request_id]
        self.kv_used_tokens -= request.kv_tokens
        self._record_count(now_ms)
        if not request.started:
            self._finish_prefill(request, now_ms)

    def correct(self, report: LoadReport, now_ms: float) -> None:
        """Estimate the load of other schedulers from a delayed load report.

        The report is compared with the own count at the time it was taken; the
        excess is weighted less the older the report is.
        """
        taken_ms = now_ms - report.age_ms
        excess = max(0, report.running + report.waiting - self._count_at(taken_ms))
        self._foreign_requests = excess * 0.5 ** (report.age_ms / _FOREIGN_HALF_LIFE_MS)
        self._foreign_at_ms = now_ms

    def _foreign_load(self, now_ms: float) -> float:
        if not self._foreign_requests:
            return 0.0
        age_ms = now_ms - self._foreign_at_ms
        return self._foreign_requests * 0.5 ** (age_ms / _FOREIGN_HALF_LIFE_MS)

    def _record_first_token(
        self, request: RunningRequest, event: StreamEvent, now_ms: float
    ) -> None:
        request.started = True
        first_ms = request.granted_ms + event.ttft_ms
        begun_ms = max(request.granted_ms, self.last_first_token_ms)
        request.prefill_ms = first_ms - begun_ms - 1.0 / self.decode_per_ms
        self.last_first_token_ms = max(first_ms, self.last_first_token_ms)
        self._finish_prefill(request, now_ms)
        request.expected_end_ms = now_ms + request.decode_tokens / self.decode_per_ms

    def _learn_prefill(self, request: RunningRequest, event: StreamEvent) -> None:
        tokens = request.prefill_tokens
        if event.cached_tokens >= 0:
            tokens = request.handle.prefill_tokens - event.cached_tokens
        if self._learn_speeds and tokens > 0:
            self._prefill.add(tokens, request.prefill_ms)
            self.prefill_per_ms = max(_MIN_SPEED_PER_MS, self._prefill.per_ms)
        request.prefill_ms = -1.0

    def _record_tokens(self, request: RunningRequest, event: StreamEvent) -> None:
        seen_tokens = request.decoded_tokens + event.tokens
        if seen_tokens > request.decode_tokens:
            planned_tokens = max(request.decode_tokens, request.decoded_tokens)
            self.kv_used_tokens += seen_tokens - planned_tokens
        request.decoded_tokens = seen_tokens
        if self._learn_speeds and event.elapsed_ms > 0:
            self._decode.add(event.tokens, event.elapsed_ms)
            self.decode_per_ms = max(_MIN_SPEED_PER_MS, self._decode.per_ms)

    def _finish_prefill(self, request: RunningRequest, now_ms: float) -> None:
        self.prefill_tokens_ahead -= request.prefill_tokens
        work_ms = self.prefill_tokens_ahead / self.prefill_per_ms
        self.prefill_free_ms = now_ms + work_ms

    def _record_count(self, now_ms: float) -> None:
        self._history_ms.append(now_ms)
        self._history_count.append(len(self.running_requests))
        if len(self._history_ms) > 2 * _HISTORY_LENGTH:
            del self._history_ms[:_HISTORY_LENGTH]
            del self._history_count[:_HISTORY_LENGTH]

    def _count_at(self, time_ms: float) -> int:
        """Return the maximum number of running requests around a time."""
        first = bisect_left(self._history_ms, time_ms - _REPORT_TIME_ERROR_MS)
        last = bisect_right(self._history_ms, time_ms + _REPORT_TIME_ERROR_MS)
        counts = self._history_count[max(0, first - 1) : last]
        return max(counts, default=0)


class PlainEndpointState(EndpointState):
    """Load and speed estimates of one endpoint of a plain service.

    A call has a single phase whose time does not depend on tokens, and concurrent
    calls do not delay each other. A call counts as one token.
    """

    def __init__(self, endpoint: Endpoint, *, learn_speeds: bool = True) -> None:
        super().__init__(endpoint, learn_speeds=learn_speeds)
        self._calls = DecayingRate(
            1.0 / _PLAIN_SERVICE_PRIOR_MS, _SPEED_PRIOR_MS, _SPEED_HALF_LIFE_MS
        )
        self.prefill_per_ms = math.inf
        self.decode_per_ms = self._calls.per_ms

    def service_ms(self, prefill_tokens: int, decode_tokens: int) -> float:
        """Predict the time of a call, which does not depend on its size."""
        del prefill_tokens, decode_tokens
        return 1.0 / self.decode_per_ms

    def phases_ms(self, prefill_tokens: int) -> tuple[float, float]:
        """Predict the time of a call as prefill time, with no time per token."""
        return self.service_ms(prefill_tokens, 0), 0.0

    def unqueued_first_token_ms(self, prefill_tokens: int) -> float:
        """Predict the time to the answer."""
        return self.service_ms(prefill_tokens, 0)

    def prefill_ahead_ms(self, now_ms: float) -> float:
        """Return zero: concurrent calls do not delay each other."""
        del now_ms
        return 0.0

    def observe(
        self, request: RunningRequest, event: StreamEvent, now_ms: float
    ) -> None:
        """Learn a call's time from its first answer byte."""
        if event.ttft_ms >= 0 and not request.started:
            request.started = True
            self._finish_prefill(request, now_ms)
            self.last_first_token_ms = now_ms
            if self._learn_speeds:
                self._calls.add(1.0, max(0.1, event.ttft_ms))
                self.decode_per_ms = self._calls.per_ms


def make_endpoint_state(
    endpoint: Endpoint, kind: ServiceKind, *, learn_speeds: bool = True
) -> EndpointState:
    """Create the endpoint state for a kind of service."""
    if kind is ServiceKind.PLAIN:
        return PlainEndpointState(endpoint, learn_speeds=learn_speeds)
    return EndpointState(endpoint, learn_speeds=learn_speeds)


def _is_prefill_known(request: RunningRequest, event: StreamEvent) -> bool:
    """Return whether the number of processed prompt tokens is known.

    Engines report cached tokens with the first token or at the end. Until then, the
    prefill time of a prompt that may be cached says little about the speed.
    """
    if event.cached_tokens >= 0 or event.finished:
        return True
    return not request.handle.prefix_hashes


def _speed(tokens_per_s: float) -> DecayingRate:
    per_ms = max(_MIN_SPEED_PER_MS, tokens_per_s / 1000.0)
    return DecayingRate(per_ms, _SPEED_PRIOR_MS, _SPEED_HALF_LIFE_MS)
