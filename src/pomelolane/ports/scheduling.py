"""Grants, decisions and the pure core that makes them.

Cores are in ``pomelolane.scheduler``, clients in ``pomelolane.coordination``.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from collections.abc import Sequence

    from pomelolane.messages import Handle, RunningHandle, StreamEvent
    from pomelolane.model import Tree
    from pomelolane.outcomes import Refusal


LIMIT_KEPT_MS = 60_000.0
"""How long the rate that an endpoint has named is remembered where no answer repeats
it: one request in a few seconds goes at least, so that somebody hears a newer word."""


@dataclass(frozen=True, slots=True)
class Grant:
    """Permission to dispatch one request to one endpoint, once.

    Attributes:
        request_id: The request.
        endpoint_id: Where to send it.
        expected_ttft_ms: Predicted time until the first token.
        reserved: Whether the request used a reservation.
    """

    request_id: str
    endpoint_id: str
    expected_ttft_ms: float
    reserved: bool = False


@dataclass(frozen=True, slots=True)
class Decision:
    """What the scheduling core decided on one waiting handle.

    Attributes:
        request_id: The request.
        result: A grant, or the refusal with when to come back.
    """

    request_id: str
    result: Grant | Refusal


@dataclass(frozen=True, slots=True)
class LoadReport:
    """An endpoint's own, lagging report of its load.

    Attributes:
        endpoint_id: The endpoint.
        running: Requests in its batch.
        waiting: Requests in its own queue.
        kv_used_tokens: KV cache in use.
        age_ms: How old the figures are when they are handed over.
    """

    endpoint_id: str
    running: int
    waiting: int
    kv_used_tokens: int
    age_ms: float


@dataclass(frozen=True, slots=True)
class CacheEvent:
    """An engine's late and gappy word on its prefix cache.

    Attributes:
        endpoint_id: The engine.
        sequence: Its number; a jump means that events were lost.
        stored: True for stored, False for evicted.
        prefix_hash: Chained hash of the block.
    """

    endpoint_id: str
    sequence: int
    stored: bool
    prefix_hash: int


class VersionTrial(Protocol):
    """The trial of a new version of a service's endpoints, as its core sees it."""

    def count_arrival(self, handle: Handle) -> None:
        """Count a request for the service."""

    def should_get(self, handle: Handle) -> bool:
        """Tell whether a request should go to the new version."""

    def endpoints_to_try(self) -> Sequence[str]:
        """Return the endpoints of that version to try, in this order."""

    def count_grant(self, endpoint_id: str, work: str) -> None:
        """Count a request that was given to an endpoint, of either version."""

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
        """Judge an answer, or the end of a request that got none."""


class SchedulingCore(Protocol):
    """The pure decision core of one service: no I/O, time passed in.

    Each method returns the decisions that became possible by it; the caller
    carries them out. ``now_ms`` never decreases.
    """

    def configure(self, tree: Tree, now_ms: float) -> Sequence[Decision]:
        """Adopt a settings tree (endpoints, weights, limits)."""

    def submit(self, handle: Handle, now_ms: float) -> Sequence[Decision]:
        """Queue a request; a request id already known is ignored."""

    def register_running(self, running: RunningHandle, now_ms: float) -> None:
        """Account for a request dispatched under an earlier scheduler."""

    def withdraw(self, request_id: str, now_ms: float) -> Sequence[Decision]:
        """Forget a waiting request, or free a granted one's slot."""

    def observe(self, event: StreamEvent, now_ms: float) -> Sequence[Decision]:
        """Learn from a stream; frees the slot when finished."""

    def report_load(self, report: LoadReport, now_ms: float) -> Sequence[Decision]:
        """Correct own accounting by an engine's report."""

    def report_cache(self, event: CacheEvent, now_ms: float) -> None:
        """Correct the record of cached prefixes."""

    def mark_leaving(self, endpoint_id: str, now_ms: float) -> Sequence[Decision]:
        """Grant nothing more to an endpoint."""

    def mark_returned(self, endpoint_id: str, now_ms: float) -> Sequence[Decision]:
        """Take back a mark; an endpoint declared as leaving stays out."""

    def limit_slots(self, share: float, now_ms: float) -> Sequence[Decision]:
        """Use only a share (0..1] of each endpoint's slots (cut-off mode)."""

    def tick(self, now_ms: float) -> Sequence[Decision]:
        """Expire deadlines, probe stragglers; call every 50 ms or so."""


class SchedulerClient(Protocol):
    """How a gateway gets a slot, wherever the scheduler is."""

    async def acquire(self, handle: Handle) -> Grant | Refusal:
        """Wait for a grant or a final refusal.

        Cancelling the call withdraws the handle.
        """

    def release(self, grant: Grant) -> None:
        """Give back a grant that is not used."""

    def observe(self, event: StreamEvent) -> None:
        """Report on a dispatched request; the last event frees its slot."""
