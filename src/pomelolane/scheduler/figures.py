"""Speed and health of endpoints, as shown to operators.

The figures are computed on request from the core's state.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING

from pomelolane.scheduler.health import HealthState

if TYPE_CHECKING:
    from pomelolane.scheduler.fleet import Worker

_MS_PER_S = 1000.0


@dataclass(frozen=True, slots=True)
class EndpointFigures:
    """Speed and health of one endpoint.

    Attributes:
        prefill_tokens_per_s: Observed prefill speed, 0 for plain services.
        decode_tokens_per_s: Observed decode speed of one stream; for plain
            services, requests per second of one slot.
        straggling: Whether it is too slow and receives probes only.
        slowdown: Ratio of usual to recent speed at the last check.
    """

    prefill_tokens_per_s: float
    decode_tokens_per_s: float
    straggling: bool
    slowdown: float


def figures_of_worker(worker: Worker) -> EndpointFigures:
    """Return the figures of one endpoint."""
    prefill = worker.endpoint_state.prefill_per_ms * _MS_PER_S
    slowdown = worker.health.slowdown
    return EndpointFigures(
        prefill_tokens_per_s=prefill if math.isfinite(prefill) else 0.0,
        decode_tokens_per_s=worker.endpoint_state.decode_per_ms * _MS_PER_S,
        straggling=worker.health.state is HealthState.STRAGGLING,
        slowdown=slowdown if math.isfinite(slowdown) else 0.0,
    )
