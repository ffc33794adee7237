"""Baseline placement policies for comparison with the default one.

Two of them queue nothing and leave queueing to the engines; the other two are
the default core with most of its rules disabled.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from pomelolane.outcomes import Outcome, Reason, Refusal
from pomelolane.ports import Decision, Grant
from pomelolane.registry import PLACEMENT_POLICIES, register
from pomelolane.scheduler.core import PomelolaneCore
from pomelolane.scheduler.options import CoreOptions

if TYPE_CHECKING:
    from collections.abc import Sequence

    from pomelolane.messages import Handle, RunningHandle, StreamEvent
    from pomelolane.model import Tree
    from pomelolane.ports import CacheEvent, LoadReport, SchedulingCore

_RETRY_AFTER_MS = 1_000
_GATEWAY_COUNT = 9

SINGLE_QUEUE_OPTIONS = CoreOptions(
    fair_shares=False,
    reserve=False,
    affinity=False,
    stragglers=False,
    predict_wait=False,
    wait_for_prefix=False,
    prefix_weight=0.0,
    bound_prefill=False,
    sure_first=False,
    chance_factor=1.1,
)
GATEWAY_QUEUES_OPTIONS = CoreOptions(
    fair_shares=False,
    reserve=False,
    affinity=False,
    stragglers=False,
    predict_wait=False,
    wait_for_prefix=False,
    prefix_weight=0.0,
    bound_prefill=False,
    sure_first=False,
    chance_factor=1.1,
    default_slot_share=1.0 / _GATEWAY_COUNT,
)


class RoundRobinCore:
    """Grants at once, round robin over the endpoints; the engines queue.

    Args:
        service_name: Service whose requests it schedules.
    """

    def __init__(self, service_name: str) -> None:
        self._service = service_name
        self._endpoints: list[str] = []
        self._leaving: set[str] = set()
        self._granted: set[str] = set()
        self._next_index = 0

    def configure(self, tree: Tree, now_ms: float) -> Sequence[Decision]:
        """Adopt a settings tree."""
        del now_ms
        own = [e for e in tree.endpoints.values() if e.service == self._service]
        self._endpoints = [e.endpoint_id for e in own if not e.leaving]
        return []

    def submit(self, handle: Handle, now_ms: float) -> Sequence[Decision]:
        """Grant at once, or refuse if no endpoint is available."""
        del now_ms
        if handle.request_id in self._granted:
            return []
        ready = [e for e in self._endpoints if e not in self._leaving]
        ready = [e for e in ready if e not in handle.excluded] or ready
        if not ready:
            refusal = Refusal(Outcome.NOT_RUN, Reason.NO_ENDPOINT, _RETRY_AFTER_MS)
            return [Decision(handle.request_id, refusal)]
        self._granted.add(handle.request_id)
        endpoint_id = self._choose(ready)
        return [Decision(handle.request_id, Grant(handle.request_id, endpoint_id, 0.0))]

    def register_running(self, running: RunningHandle, now_ms: float) -> None:
        """Record the request id only."""
        del now_ms
        self._granted.add(running.handle.request_id)

    def withdraw(self, request_id: str, now_ms: float) -> Sequence[Decision]:
        """Remove a request id."""
        del now_ms
        self._granted.discard(request_id)
        return []

    def observe(self, event: StreamEvent, now_ms: float) -> Sequence[Decision]:
        """Remove the id of a finished request."""
        del now_ms
        if event.finished:
            self._granted.discard(event.request_id)
        return []

    def report_load(self, report: LoadReport, now_ms: float) -> Sequence[Decision]:
        """Ignore the report."""
        del report, now_ms
        return []

    def report_cache(self, event: CacheEvent, now_ms: float) -> None:
        """Ignore the event."""

    def mark_leaving(self, endpoint_id: str, now_ms: float) -> Sequence[Decision]:
        """Stop granting requests to an endpoint."""
        del now_ms
        self._leaving.add(endpoint_id)
        return []

    def mark_returned(self, endpoint_id: str, now_ms: float) -> Sequence[Decision]:
        """Undo `mark_leaving`."""
        del now_ms
        self._leaving.discard(endpoint_id)
        return []

    def limit_slots(self, share: float, now_ms: float) -> Sequence[Decision]:
        """Ignore the limit: slots are not counted."""
        del share, now_ms
        return []

    def tick(self, now_ms: float) -> Sequence[Decision]:
        """Do nothing."""
        del now_ms
        return []

    def _choose(self, ready: list[str]) -> str:
        self._next_index += 1
        return ready[self._next_index % len(ready)]


class LeastReportedCore(RoundRobinCore):
    """Grants at once, to the endpoint that reported the least load."""

    def __init__(self, service_name: str) -> None:
        super().__init__(service_name)
        self._slots: dict[str, int] = {}
        self._load: dict[str, int] = {}

    def configure(self, tree: Tree, now_ms: float) -> Sequence[Decision]:
        """Adopt a settings tree."""
        self._slots = {e.endpoint_id: e.slots for e in tree.endpoints.values()}
        return super().configure(tree, now_ms)

    def report_load(self, report: LoadReport, now_ms: float) -> Sequence[Decision]:
        """Record the reported load without correcting it for its age."""
        del now_ms
        self._load[report.endpoint_id] = report.running + report.waiting
        return []

    def _choose(self, ready: list[str]) -> str:
        self._next_index += 1
        start = self._next_index % len(ready)
        return min(ready[start:] + ready[:start], key=self._relative_load)

    def _relative_load(self, endpoint_id: str) -> float:
        return self._load.get(endpoint_id, 0) / max(1, self._slots[endpoint_id])


@register(PLACEMENT_POLICIES, "round_robin")
def make_round_robin(service_name: str) -> SchedulingCore:
    """Create a round robin core."""
    return RoundRobinCore(service_name)


@register(PLACEMENT_POLICIES, "least_reported")
def make_least_reported(service_name: str) -> SchedulingCore:
    """Create a core that chooses by load reports."""
    return LeastReportedCore(service_name)


@register(PLACEMENT_POLICIES, "gateway_queues")
def make_gateway_queues(service_name: str) -> SchedulingCore:
    """Create a core that uses one gateway's fixed share of the slots."""
    return PomelolaneCore(service_name, GATEWAY_QUEUES_OPTIONS)


@register(PLACEMENT_POLICIES, "single_queue")
def make_single_queue(service_name: str) -> SchedulingCore:
    """Create a core with one queue by tier and deadline and no other rule."""
    return PomelolaneCore(service_name, SINGLE_QUEUE_OPTIONS)
