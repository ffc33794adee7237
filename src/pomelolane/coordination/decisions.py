"""Logs each grant and refusal of a scheduler, with the values that led to it."""

from __future__ import annotations

from typing import TYPE_CHECKING

from pomelolane.events import PLACED, REFUSED, SHARES_CONTENDED
from pomelolane.logs import log_event

if TYPE_CHECKING:
    from pomelolane.coordination.request_table import Entry
    from pomelolane.outcomes import Refusal
    from pomelolane.ports import Grant, SchedulingCore
    from pomelolane.scheduler import Placement


def log_grant(entry: Entry, grant: Grant, core: SchedulingCore, now_ms: float) -> None:
    """Log a grant, with its predicted times if the core provides them."""
    placement = _placement_of(core, grant.request_id)
    first_token_ms = grant.expected_ttft_ms
    log_event(
        PLACED,
        request=grant.request_id,
        service=entry.handle.service,
        endpoint=grant.endpoint_id,
        tier=entry.handle.tier_rank,
        waited_ms=now_ms - entry.arrived_ms,
        queue_ms=placement.ahead_ms if placement else "",
        prefill_ms=first_token_ms - placement.ahead_ms if placement else "",
        cached_tokens=placement.cached_tokens if placement else "",
        score=first_token_ms,
        reserved=grant.reserved,
    )


def log_refusal(entry: Entry, refusal: Refusal, queued: int) -> None:
    """Log a refusal."""
    log_event(
        REFUSED,
        request=entry.request_id,
        service=entry.handle.service,
        tier=entry.handle.tier_rank,
        reason=refusal.reason,
        queued=queued,
        retry_after_ms=refusal.retry_after_ms,
        reserved_ms=refusal.reserved_ms,
        beyond_share=refusal.beyond_share,
    )


def log_contention(service: str, core: SchedulingCore, now_ms: float) -> None:
    """Log a change of the contended ranks, if the core divides slots and has one."""
    take_change = getattr(core, "take_contention_change", None)
    change = take_change(now_ms) if take_change is not None else None
    if change is not None:
        log_event(
            SHARES_CONTENDED,
            service=service,
            contended=",".join(map(str, change.contended)),
            ended=",".join(map(str, change.ended)),
            beyond=",".join(change.beyond),
        )


def _placement_of(core: SchedulingCore, request_id: str) -> Placement | None:
    """Return the predicted placement of a grant, if the core provides it."""
    read = getattr(core, "placement_of", None)
    return read(request_id) if read is not None else None
