"""The endpoints of one service, their availability and their speeds.

Endpoints that can take a grant are kept sorted by their predicted time for a
typical request, so that a placement examines only a few of them.
"""

from __future__ import annotations

import heapq
import math
from bisect import bisect_left, insort
from dataclasses import dataclass, replace
from itertools import count, islice
from typing import TYPE_CHECKING

from pomelolane.model import ServiceKind
from pomelolane.scheduler.endpoint_state import EndpointState, make_endpoint_state
from pomelolane.scheduler.health import EndpointHealth, HealthState

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

    from pomelolane.model import Endpoint
    from pomelolane.scheduler.options import CoreOptions
    from pomelolane.scheduler.waiting import Backlog

_TYPICAL_PREFILL_TOKENS = 512
_TYPICAL_DECODE_TOKENS = 64
_SUMMARY_AGE_MS = 200.0


@dataclass(slots=True, eq=False)
class Worker:
    """One endpoint with its load, speed and health.

    Attributes:
        endpoint_state: Load and speed estimates.
        health: Health state.
        open_key: Sort key among endpoints that can take a grant, or None.
    """

    endpoint_state: EndpointState
    health: EndpointHealth
    open_key: tuple[float, str] | None = None

    @property
    def endpoint_id(self) -> str:
        """Id of the endpoint."""
        return self.endpoint_state.endpoint.endpoint_id

    @property
    def declared_leaving(self) -> bool:
        """Whether the settings declare the endpoint as leaving."""
        return self.endpoint_state.endpoint.leaving


@dataclass(frozen=True, slots=True)
class Summary:
    """Total capacity of the serving endpoints, up to 200 ms old.

    Attributes:
        slots: Total number of slots.
        prefill_per_ms: Total prefill speed, tokens per ms.
        decode_per_ms: Total decode speed of all slots, tokens per ms.
        fastest: Endpoints that are the fastest for some request.
        by_speed: Serving endpoints, fastest for a typical request first.
    """

    slots: int
    prefill_per_ms: float
    decode_per_ms: float
    fastest: tuple[EndpointState, ...]
    by_speed: tuple[Worker, ...]

    def median_service_ms(self, prefill_tokens: int, decode_tokens: int) -> float:
        """Return the predicted service time on the endpoint of median speed."""
        if not self.by_speed:
            return 0.0
        state = self.by_speed[len(self.by_speed) // 2].endpoint_state
        return state.service_ms(prefill_tokens, decode_tokens)

    def drain_ms(self, backlog: Backlog) -> float:
        """Return the predicted time to serve all waiting work."""
        if not self.by_speed or backlog.requests <= 0:
            return 0.0
        mean_ms = self.median_service_ms(
            int(backlog.prefill_tokens / backlog.requests),
            int(backlog.decode_tokens / backlog.requests),
        )
        slots_ms = backlog.requests * mean_ms / max(1, self.slots)
        return max(slots_ms, backlog.prefill_tokens / self.prefill_per_ms)


class Fleet:
    """All endpoints of one service.

    Args:
        options: Options of the core.
    """

    def __init__(self, options: CoreOptions) -> None:
        self.workers: dict[str, Worker] = {}
        self._options = options
        self._slot_share = options.default_slot_share
        self._open: list[tuple[float, str]] = []
        self._prefill_waits: list[tuple[float, int, Worker]] = []
        self._sequence = count()
        self._unhealthy: dict[str, Worker] = {}
        self._ready = 0
        self._largest_kv_tokens = math.inf
        self._summary: Summary | None = None
        self._summary_ms = 0.0

    def configure(
        self, endpoints: Iterable[Endpoint], kind: ServiceKind, now_ms: float
    ) -> None:
        """Apply the declared endpoints; keep the running requests of known ones."""
        declared = {endpoint.endpoint_id: endpoint for endpoint in endpoints}
        for endpoint_id in [i for i in self.workers if i not in declared]:
            worker = self.workers[endpoint_id]
            state = worker.endpoint_state
            state.leaving = True
            # Marks the declaration as leaving, so that a new declaration reopens it.
            state.update_declaration(replace(state.endpoint, leaving=True))
            if not worker.endpoint_state.running_requests:
                self._close(worker)
                del self.workers[endpoint_id]
                self._unhealthy.pop(endpoint_id, None)
        for endpoint in declared.values():
            self._configure_endpoint(endpoint, kind)
        sizes = [endpoint.kv_tokens or math.inf for endpoint in declared.values()]
        self._largest_kv_tokens = max(sizes, default=math.inf)
        self.refresh_all(now_ms)

    def limit_slots(self, share: float, now_ms: float) -> None:
        """Use only a share of each endpoint's slots."""
        self._slot_share = share
        for worker in self.workers.values():
            worker.endpoint_state.set_slot_share(share)
        self.refresh_all(now_ms)

    def refresh_all(self, now_ms: float) -> None:
        """Recompute which endpoints can take a grant."""
        self._summary = None
        self._ready = sum(1 for worker in self.workers.values() if _is_ready(worker))
        for worker in self.workers.values():
            self.refresh(worker, now_ms)

    def health_changed(self, worker: Worker, now_ms: float) -> None:
        """Update the fleet after a change of an endpoint's health state."""
        if worker.health.state is HealthState.HEALTHY:
            self._unhealthy.pop(worker.endpoint_id, None)
        else:
            self._unhealthy[worker.endpoint_id] = worker
        ready_before = self._ready
        self._ready = sum(1 for other in self.workers.values() if _is_ready(other))
        self._summary = None
        if 0 in (ready_before, self._ready):
            self.refresh_all(now_ms)
        else:
            self.refresh(worker, now_ms)

    def refresh(self, worker: Worker, now_ms: float) -> None:
        """Recompute whether an endpoint can take a grant."""
        self._close(worker)
        state = worker.endpoint_state
        if not self.may_serve(worker) or state.free_slots(now_ms) <= 0:
            return
        ahead_ms = state.prefill_ahead_ms(now_ms)
        lookahead_ms = self._options.prefill_lookahead_ms
        if self._options.bound_prefill and ahead_ms > lookahead_ms:
            wake_ms = state.prefill_free_ms - lookahead_ms
            heapq.heappush(self._prefill_waits, (wake_ms, next(self._sequence), worker))
            return
        typical_ms = state.service_ms(_TYPICAL_PREFILL_TOKENS, _TYPICAL_DECODE_TOKENS)
        worker.open_key = (ahead_ms + typical_ms, worker.endpoint_id)
        insort(self._open, worker.open_key)

    def reopen_ready(self, now_ms: float) -> None:
        """Reopen endpoints whose prompts ahead are nearly processed."""
        while self._prefill_waits and self._prefill_waits[0][0] <= now_ms:
            worker = heapq.heappop(self._prefill_waits)[2]
            if worker.open_key is None:
                self.refresh(worker, now_ms)

    def has_open(self) -> bool:
        """Return whether any endpoint can take a grant."""
        return bool(self._open)

    def open_workers(self, most: int) -> Iterator[Worker]:
        """Yield the fastest endpoints that can take a grant."""
        for _, endpoint_id in islice(self._open, most):
            yield self.workers[endpoint_id]

    def probes_due(self, now_ms: float) -> list[Worker]:
        """Return unhealthy endpoints that are due a probe request."""
        return [
            worker
            for worker in self._unhealthy.values()
            if worker.health.probe_due(worker.endpoint_state, now_ms)
            and not worker.endpoint_state.leaving
            and worker.endpoint_state.free_slots(now_ms) > 0
        ]

    def may_serve(self, worker: Worker) -> bool:
        """Return whether an endpoint may serve; stragglers if no other is ready."""
        if worker.endpoint_state.leaving:
            return False
        if worker.health.state is HealthState.HEALTHY:
            return True
        return self._ready == 0 and worker.health.state is HealthState.STRAGGLING

    def ready_count(self) -> int:
        """Return how many endpoints are healthy and not leaving."""
        return self._ready

    def has_eligible(self, excluded: tuple[str, ...]) -> bool:
        """Return whether any endpoint is neither leaving nor excluded."""
        return any(
            not worker.endpoint_state.leaving and endpoint_id not in excluded
            for endpoint_id, worker in self.workers.items()
        )

    @property
    def prefill_per_ms(self) -> float:
        """Mean prefill speed of an endpoint at the last summary, tokens per ms."""
        if self._summary is None or not self._summary.by_speed:
            return 0.0
        return self._summary.prefill_per_ms / len(self._summary.by_speed)

    def has_kv_capacity(self, tokens: int) -> bool:
        """Return whether any endpoint's whole KV cache could hold these tokens."""
        return tokens <= self._largest_kv_tokens

    def retry_ms(self, now_ms: float) -> float:
        """Return the time until an unhealthy endpoint is probed next."""
        times = (w.health.retry_ms(now_ms) for w in self._unhealthy.values())
        return min(times, default=0.0)

    def summary(self, now_ms: float) -> Summary:
        """Return the total capacity of the serving endpoints."""
        if self._summary is None or now_ms - self._summary_ms > _SUMMARY_AGE_MS:
            self._summary = self._summarise()
            self._summary_ms = now_ms
        return self._summary

    def _summarise(self) -> Summary:
        ready = [w for w in self.workers.values() if self.may_serve(w)]
        ready.sort(key=_typical_ms)
        states = [worker.endpoint_state for worker in ready]
        return Summary(
            slots=sum(state.slots for state in states),
            prefill_per_ms=sum(state.prefill_per_ms for state in states),
            decode_per_ms=sum(state.decode_per_ms * state.slots for state in states),
            fastest=_fastest(states),
            by_speed=tuple(ready),
        )

    def _configure_endpoint(self, endpoint: Endpoint, kind: ServiceKind) -> None:
        worker = self.workers.get(endpoint.endpoint_id)
        if worker is None:
            state = make_endpoint_state(
                endpoint, kind, learn_speeds=self._options.learn_speeds
            )
            state.set_slot_share(self._slot_share)
            health = EndpointHealth(uses_token_rate=kind is ServiceKind.ENGINE)
            self.workers[endpoint.endpoint_id] = Worker(state, health)
            return
        declared_again = worker.endpoint_state.endpoint.leaving and not endpoint.leaving
        worker.endpoint_state.update_declaration(endpoint)
        if endpoint.leaving:
            worker.endpoint_state.leaving = True
        elif declared_again:
            worker.endpoint_state.leaving = False

    def _close(self, worker: Worker) -> None:
        if worker.open_key is not None:
            del self._open[bisect_left(self._open, worker.open_key)]
            worker.open_key = None


def _is_ready(worker: Worker) -> bool:
    return (
        worker.health.state is HealthState.HEALTHY and not worker.endpoint_state.leaving
    )


def _typical_ms(worker: Worker) -> float:
    state = worker.endpoint_state
    return state.service_ms(_TYPICAL_PREFILL_TOKENS, _TYPICAL_DECODE_TOKENS)


def _fastest(states: list[EndpointState]) -> tuple[EndpointState, ...]:
    """Return the endpoints that no other beats at both prefill and decoding."""
    by_prefill = sorted(
        states,
        key=lambda state: (state.prefill_per_ms, state.decode_per_ms),
        reverse=True,
    )
    fastest: list[EndpointState] = []
    best_decode = 0.0
    for state in by_prefill:
        if state.decode_per_ms > best_decode:
            best_decode = state.decode_per_ms
            fastest.append(state)
    return tuple(fastest)
