"""A placement policy as a plug-in: the first endpoint with a free slot.

It registers itself on import as ``first_fit`` and shows the least that a
decision core does; it knows no tiers, shares, limits or deadlines.
"""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

from pomelolane.ports import Decision, Grant
from pomelolane.registry import PLACEMENT_POLICIES, register

if TYPE_CHECKING:
    from collections.abc import Sequence

    from pomelolane.messages import Handle, RunningHandle, StreamEvent
    from pomelolane.model import Tree
    from pomelolane.ports import CacheEvent, LoadReport


class FirstFitCore:
    """Grants in order of arrival to the first endpoint with room.

    Args:
        service_name: The service it decides for.
    """

    def __init__(self, service_name: str) -> None:
        self._service = service_name
        self._slots: dict[str, int] = {}
        self._running: dict[str, str] = {}
        self._waiting: deque[str] = deque()
        self._share = 1.0

    def configure(self, tree: Tree, now_ms: float) -> Sequence[Decision]:
        """Adopt a settings tree."""
        del now_ms
        self._slots = {
            endpoint.endpoint_id: endpoint.slots
            for endpoint in tree.endpoints.values()
            if endpoint.service == self._service and not endpoint.leaving
        }
        return self._grant_all()

    def submit(self, handle: Handle, now_ms: float) -> Sequence[Decision]:
        """Queue a request; a known one is ignored."""
        del now_ms
        request_id = handle.request_id
        if request_id not in self._waiting and request_id not in self._running:
            self._waiting.append(request_id)
        return self._grant_all()

    def register_running(self, running: RunningHandle, now_ms: float) -> None:
        """Account for a request dispatched under an earlier scheduler."""
        del now_ms
        self._running[running.handle.request_id] = running.endpoint_id

    def withdraw(self, request_id: str, now_ms: float) -> Sequence[Decision]:
        """Forget a request, whether it waits or runs."""
        del now_ms
        if request_id in self._waiting:
            self._waiting.remove(request_id)
        self._running.pop(request_id, None)
        return self._grant_all()

    def observe(self, event: StreamEvent, now_ms: float) -> Sequence[Decision]:
        """Free the slot of a finished request."""
        if not event.finished:
            return []
        return self.withdraw(event.request_id, now_ms)

    def report_load(self, report: LoadReport, now_ms: float) -> Sequence[Decision]:
        """Ignore load reports."""
        return []

    def report_cache(self, event: CacheEvent, now_ms: float) -> None:
        """Ignore cache events."""

    def mark_leaving(self, endpoint_id: str, now_ms: float) -> Sequence[Decision]:
        """Grant nothing more to an endpoint."""
        self._slots.pop(endpoint_id, None)
        return []

    def limit_slots(self, share: float, now_ms: float) -> Sequence[Decision]:
        """Use only a share of each endpoint's slots."""
        del now_ms
        self._share = share
        return self._grant_all()

    def tick(self, now_ms: float) -> Sequence[Decision]:
        """Do nothing: no decision of this core depends on time."""
        return []

    def _grant_all(self) -> list[Decision]:
        decisions: list[Decision] = []
        while self._waiting and (endpoint_id := self._first_with_room()):
            request_id = self._waiting.popleft()
            self._running[request_id] = endpoint_id
            grant = Grant(request_id, endpoint_id, expected_ttft_ms=0.0)
            decisions.append(Decision(request_id, grant))
        return decisions

    def _first_with_room(self) -> str:
        in_use = list(self._running.values())
        for endpoint_id, slots in self._slots.items():
            if in_use.count(endpoint_id) < max(1, int(slots * self._share)):
                return endpoint_id
        return ""


@register(PLACEMENT_POLICIES, "first_fit")
def make_first_fit(service_name: str) -> FirstFitCore:
    """Return a first-fit core for a service."""
    return FirstFitCore(service_name)
