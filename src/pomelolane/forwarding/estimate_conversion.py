"""Converts estimates of endpoints to and from the form that is sent and stored."""

from __future__ import annotations

from pomelolane.messages import SharedEstimate
from pomelolane.scheduler.objective.estimates import (
    MAX_COUNT,
    EndpointEstimate,
)


def shared_from_estimate(estimate: EndpointEstimate) -> SharedEstimate:
    """Return a usable estimate in the form that is sent and stored."""
    return SharedEstimate(
        estimate.endpoint_id,
        estimate.born_ms,
        estimate.version,
        round(1000 * estimate.slowdown),
        round(1000 * estimate.event_interval_ms),
        round(1000 * estimate.failure_ratio),
        estimate.samples,
        round(estimate.age_ms),
        round(100 * estimate.event_tokens),
    )


def estimate_from_shared(shared: SharedEstimate) -> EndpointEstimate | None:
    """Return the estimate that was sent or stored, None if a figure is impossible."""
    figures = (
        shared.born_ms,
        shared.slowdown_thousandths,
        shared.event_interval_us,
        shared.failure_thousandths,
        shared.samples,
        shared.age_ms,
        shared.event_tokens_hundredths,
    )
    if not all(0 <= one <= MAX_COUNT for one in figures):
        return None
    return EndpointEstimate(
        shared.endpoint_id,
        shared.born_ms,
        shared.version,
        shared.slowdown_thousandths / 1000,
        shared.event_interval_us / 1000,
        shared.failure_thousandths / 1000,
        shared.samples,
        shared.age_ms,
        shared.event_tokens_hundredths / 100,
    )
