"""Batches a gateway's stream events for the scheduler.

Events of one request are merged, so that the batch size depends on the number of
running requests, not on their tokens.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from pomelolane.messages import StreamEvent


class ProgressBatch:
    """Events of one service that have not been sent yet."""

    def __init__(self) -> None:
        self._events: dict[str, StreamEvent] = {}

    def __len__(self) -> int:
        return len(self._events)

    def add(self, event: StreamEvent) -> None:
        """Add an event, merged with the pending one of the same request."""
        earlier = self._events.get(event.request_id)
        merged = event if earlier is None else _merge(earlier, event)
        self._events[event.request_id] = merged

    def take(self) -> tuple[StreamEvent, ...]:
        """Return and clear all events, in order of their first arrival."""
        events = tuple(self._events.values())
        self._events.clear()
        return events


def _merge(earlier: StreamEvent, later: StreamEvent) -> StreamEvent:
    return msgspec.structs.replace(
        later,
        ttft_ms=max(earlier.ttft_ms, later.ttft_ms),
        tokens=earlier.tokens + later.tokens,
        elapsed_ms=earlier.elapsed_ms + later.elapsed_ms,
        finished=earlier.finished or later.finished,
        refused=earlier.refused or later.refused,
        cached_tokens=max(earlier.cached_tokens, later.cached_tokens),
        limit_per_s=earlier.limit_per_s
        if later.limit_per_s is None
        else later.limit_per_s,
    )
