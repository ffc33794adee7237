"""What is in flight at each endpoint, from the scheduler's own grants.

It needs no load report: every grant and every stream event passes through
here, and reports only correct what other schedulers may have added.
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
    """One dispatched request.

    Attributes:
        handle: As the gateway sent it.
        granted_ms: When the grant was made.
        deadline_ms: When its last byte is due.
        prefill_tokens: Prompt tokens not expected in the endpoint's cache.
        decode_tokens: Expected answer length.
        expected_first_ms: When the first token was predicted.
        expected_end_ms: When the last token was predicted.
        cached_tokens: Prompt tokens expected in the cache.
        decoded_tokens: Answer tokens seen so far.
        started: Whether the first token was seen.
        prefill_ms: Time that its prompt took, or -1 while that is not to be
            learnt from.
        probe: Whether it tries out an endpoint that is under suspicion.
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
        """KV cache that it needs at its end."""
        answer = max(self.decode_tokens, self.decoded_tokens)
        return self.handle.prefill_tokens + answer


class EndpointState:
    """Own account of one engine.

    Args:
        endpoint: Its declaration, the prior of its speeds.
        learn_speeds: Whether observation moves the speeds.

    Attributes:
        slots: Slots that may be used here, at least one.
        prefill_per_ms: Observed prompt speed.
        decode_per_ms: Observed answer speed of one stream.
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
        self._foreign = 0.0
        self._foreign_at_ms = 0.0
        self._history_ms: list[float] = []
        self._history_count: list[int] = []
        self._prefill = _speed(endpoint.prefill_tokens_per_s)
        self._decode = _speed(endpoint.decode_tokens_per_s)
        self.prefill_per_ms = self._prefill.per_ms
        self.decode_per_ms = self._decode.per_ms

    @property
    def has_foreign_load(self) -> bool:
        """Whether reports speak of load that is not ours."""
        return self._foreign > 0

    def update_declaration(self, endpoint: Endpoint) -> None:
        """Adopt a new declaration."""
        self.endpoint = endpoint
        self.set_slot_share(self._slot_share)

    def set_slot_share(self, share: float) -> None:
        """Use a share of the slots, of one at least."""
        self._slot_share = share
        self.slots = max(1, int(self.endpoint.slots * share))

    def free_slots(self, now_ms: float) -> int:
        """Return slots neither used by own flights nor reported as used."""
        free = self.slots - len(self.running_requests)
        if not self._foreign:
            return free
        return free - round(self._foreign_load(now_ms))

    def kv_fits(self, tokens: int) -> bool:
        """Tell whether a request's KV cache fits beside what runs."""
        limit = self.endpoint.kv_tokens
        return limit <= 0 or self.kv_used_tokens + tokens <= limit

    def prefill_ahead_ms(self, now_ms: float) -> float:
        """Return how long the prompts ahead will take."""
        return max(0.0, self.prefill_free_ms - now_ms)

    def service_ms(self, prefill_tokens: int, decode_tokens: int) -> float:
        """Predict the time of a request that has nothing ahead of it."""
        return prefill_tokens / self.prefill_per_ms + decode_tokens / self.decode_per_ms

    def phases_ms(self, prefill_tokens: int) -> tuple[float, float]:
        """Predict the times of a prompt and of each token after it."""
        return prefill_tokens / self.prefill_per_ms, 1.0 / self.decode_per_ms

    def unqueued_first_token_ms(self, prefill_tokens: int) -> float:
        """Predict the time to the first token with nothing ahead."""
        return prefill_tokens / self.prefill_per_ms + 1.0 / self.decode_per_ms

    def slot_wait_ms(self, now_ms: float) -> float:
        """Predict when a slot is free and the prompts ahead are done."""
        wait_ms = self.prefill_ahead_ms(now_ms)
        if self.free_slots(now_ms) > 0 or not self.running_requests:
            return wait_ms
        first_end_ms = min(f.expected_end_ms for f in self.running_requests.values())
        return max(wait_ms, first_end_ms - now_ms)

    def add(self, request: RunningRequest, now_ms: float) -> None:
        """Account for a grant."""
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
        """Learn from a stream event of a flight."""
        if event.ttft_ms >= 0 and not request.started:
            self._record_first_token(request, event, now_ms)
        if event.tokens > 0:
            self._record_tokens(request, event)
        if request.prefill_ms > 0 and _is_prefill_known(request, event):
            self._learn_prefill(request, event)

    def remove(self, request: RunningRequest, now_ms: float) -> None:
        """Free what a flight held."""
        del self.running_requests[request.handle.request_id]
        self.kv_used_tokens -= request.kv_tokens
        self._record_count(now_ms)
        if not request.started:
            self._finish_prefill(request, now_ms)

    def correct(self, report: LoadReport, now_ms: float) -> None:
        """Take in a lagging report: only load beyond our own counts.

        The report is set against our own count of the time it speaks of, and
        the older it is, the less of the difference is believed.
        """
        taken_ms = now_ms - report.age_ms
        excess = max(0, report.running + report.waiting - self._count_at(taken_ms))
        self._foreign = excess * 0.5 ** (report.age_ms / _FOREIGN_HALF_LIFE_MS)
        self._foreign_at_ms = now_ms

    def _foreign_load(self, now_ms: float) -> float:
        if not self._foreign:
            return 0.0
        age_ms = now_ms - self._foreign_at_ms
        return self._foreign * 0.5 ** (age_ms / _FOREIGN_HALF_LIFE_MS)

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
        """Return the most flights that were counted around a time."""
        first = bisect_left(self._history_ms, time_ms - _REPORT_TIME_ERROR_MS)
        last = bisect_right(self._history_ms, time_ms + _REPORT_TIME_ERROR_MS)
        counts = self._history_count[max(0, first - 1) : last]
        return max(counts, default=0)


class PlainEndpointState(EndpointState):
    """Own account of a plain service's worker.

    A call has one phase whose time does not depend on tokens; calls do not
    wait for each other. It has no prompt phase, and counts as one token.
    """

    def __init__(self, endpoint: Endpoint, *, learn_speeds: bool = True) -> None:
        super().__init__(endpoint, learn_speeds=learn_speeds)
        self._calls = DecayingRate(
            1.0 / _PLAIN_SERVICE_PRIOR_MS, _SPEED_PRIOR_MS, _SPEED_HALF_LIFE_MS
        )
        self.prefill_per_ms = math.inf
        self.decode_per_ms = self._calls.per_ms

    def service_ms(self, prefill_tokens: int, decode_tokens: int) -> float:
        """Predict the time of a call, whatever its size."""
        del prefill_tokens, decode_tokens
        return 1.0 / self.decode_per_ms

    def phases_ms(self, prefill_tokens: int) -> tuple[float, float]:
        """Predict the time of a call as that of a prompt without tokens."""
        return self.service_ms(prefill_tokens, 0), 0.0

    def unqueued_first_token_ms(self, prefill_tokens: int) -> float:
        """Predict the time to the answer."""
        return self.service_ms(prefill_tokens, 0)

    def prefill_ahead_ms(self, now_ms: float) -> float:
        """Return zero: calls run side by side."""
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
    """Make the account that fits a kind of service."""
    if kind is ServiceKind.PLAIN:
        return PlainEndpointState(endpoint, learn_speeds=learn_speeds)
    return EndpointState(endpoint, learn_speeds=learn_speeds)


def _is_prefill_known(request: RunningRequest, event: StreamEvent) -> bool:
    """Tell whether it is known how much of a prompt was processed.

    Engines tell how much was cached with the first token or at the end; until
    then a prompt with whole blocks says little about their speed.
    """
    if event.cached_tokens >= 0 or event.finished:
        return True
    return not request.handle.prefix_hashes


def _speed(tokens_per_s: float) -> DecayingRate:
    per_ms = max(_MIN_SPEED_PER_MS, tokens_per_s / 1000.0)
    return DecayingRate(per_ms, _SPEED_PRIOR_MS, _SPEED_HALF_LIFE_MS)
