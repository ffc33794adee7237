"""State of a request in flight at an endpoint, kept by the scheduling core."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from pomelolane.messages import Handle


@dataclass(slots=True)
class Flight:
    """A granted request that has not finished.

    Attributes:
        handle: The request.
        granted_ms: When it was granted.
        reference_ttft_ms: Predicted time to first byte at speed 1.
        expected_ttft_ms: Predicted time to first byte at the endpoint's learnt speed.
        started: Whether the first answer byte has arrived.
        events: Number of answer events received.
        charged_ms: When it was charged to its organisation's limit.
        ttft_ms: Measured time to first byte, negative until it is known.
    """

    handle: Handle
    granted_ms: float
    reference_ttft_ms: float
    expected_ttft_ms: float
    started: bool = False
    events: int = 0
    charged_ms: float = 0.0
    ttft_ms: float = -1.0

    def slowness(self, now_ms: float) -> float:
        """Return the time to first byte divided by that predicted at speed 1.

        Returns -1 where the answer began under an earlier scheduler, so that its time
        to first byte is unknown. For an answer that never began, the time since the
        grant is a lower bound.
        """
        if self.ttft_ms < 0 and self.started:
            return -1.0
        ttft_ms = self.ttft_ms if self.ttft_ms >= 0 else now_ms - self.granted_ms
        return ttft_ms / self.reference_ttft_ms
