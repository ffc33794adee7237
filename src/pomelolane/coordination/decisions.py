"""Log lines of a scheduler's decisions, with the figures that decided them.

Every grant and refusal leaves one line.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from pomelolane.events import PLACED, REFUSED
from pomelolane.logs import log_event

if TYPE_CHECKING:
    from pomelolane.coordination.book import Entry
    from pomelolane.outcomes import Refusal
    from pomelolane.ports import Grant


def log_grant(entry: Entry, grant: Grant, now_ms: float) -> None:
    """Write the line of a grant."""
    log_event(
        PLACED,
        request=grant.request_id,
        service=entry.handle.service,
        endpoint=grant.endpoint_id,
        tier=entry.handle.tier_rank,
        waited_ms=now_ms - entry.arrived_ms,
        score=grant.expected_ttft_ms,
    )


def log_refusal(entry: Entry, refusal: Refusal, queued: int) -> None:
    """Write the line of a refusal."""
    log_event(
        REFUSED,
        request=entry.request_id,
        service=entry.handle.service,
        tier=entry.handle.tier_rank,
        reason=refusal.reason,
        queued=queued,
        retry_after_ms=refusal.retry_after_ms,
    )
