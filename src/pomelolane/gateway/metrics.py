"""The gateway's metrics, by aioprometheus.

Counters and histograms are touched once a request, never once a token.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from aioprometheus import Counter, Gauge, Histogram

from pomelolane.gateway.ending import Delivered

if TYPE_CHECKING:
    from pomelolane.gateway.intake import Call
    from pomelolane.outcomes import Refusal

_TTFT_BUCKETS_S = (0.01, 0.025, 0.05, 0.1, 0.25, 0.53, 1.0, 2.5, 5.0, 10.0, 30.0)

_REQUESTS = Counter(
    "pomelolane_requests_total", "Ended requests by service, work and outcome."
)
_TTFT = Histogram(
    "pomelolane_ttft_seconds",
    "Time from dispatch to the first byte of the answer.",
    buckets=_TTFT_BUCKETS_S,
)
_OPEN = Gauge("pomelolane_open_requests", "Requests accepted and not yet ended.")
_COMPLETED = "completed"


def count_ending(call: Call, result: Delivered | Refusal) -> None:
    """Count the end of a request."""
    delivered = isinstance(result, Delivered)
    labels = {
        "service": call.service.name,
        "work": call.work.name,
        "outcome": _COMPLETED if delivered else result.outcome.value,
        "reason": "" if delivered else result.reason.value,
    }
    _REQUESTS.inc(labels)
    if delivered and result.ttft_ms >= 0:
        _TTFT.observe({"service": call.service.name}, result.ttft_ms / 1000)


def set_open_requests(count: int) -> None:
    """Publish the number of open requests."""
    _OPEN.set({}, count)
