"""What a decision core tells operators of the endpoints it places on.

The figures are read when asked for; the core keeps nothing for them.
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
    """An endpoint as its scheduler sees it.

    Attributes:
        prefill_tokens_per_s: Observed prompt speed, 0 for plain services.
        decode_tokens_per_s: Observed answer speed of one stream; requests a
            second of one slot for plain services.
        straggling: Whether it gets probes only.
        slowdown: How many times slower than usual it was at the last judgement.
    """

    prefill_tokens_per_s: float
    decode_tokens_per_s: float
    straggling: bool
    slowdown: float


def figures_of_worker(worker: Worker) -> EndpointFigures:
    """Return the figures of one endpoint."""
    prefill = worker.account.prefill_per_ms * _MS_PER_S
    slowdown = worker.health.slowdown
    return EndpointFigures(
        prefill_tokens_per_s=prefill if math.isfinite(prefill) else 0.0,
        decode_tokens_per_s=worker.account.decode_per_ms * _MS_PER_S,
        straggling=worker.health.state is HealthState.STRAGGLING,
        slowdown=slowdown if math.isfinite(slowdown) else 0.0,
    )
