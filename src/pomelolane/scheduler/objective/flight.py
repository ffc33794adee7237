"""A request that runs at an endpoint, as its scheduler knows it."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from pomelolane.messages import Handle


@dataclass(slots=True)
class Flight:
    """A request that was granted an endpoint.

    Attributes:
        handle: The request.
        granted_ms: When.
        nominal_ms: Time to the first answer byte at speed 1.
        expected_ms: The same at the endpoint's learnt speed.
        started: Whether the first answer byte was seen.
        pieces: Pieces of the answer that were seen.
        charged_ms: When it was charged to its organisation's limit.
        first_ms: Time to the first answer byte, negative until it was seen.
    """

    handle: Handle
    granted_ms: float
    nominal_ms: float
    expected_ms: float
    started: bool = False
    pieces: int = 0
    charged_ms: float = 0.0
    first_ms: float = -1.0

    def slowness(self, now_ms: float) -> float:
        """Return the time to the first answer byte against one at speed 1.

        What was begun under an earlier scheduler says nothing; what never began took as
        long as it was waited for, at least.
        """
        if self.first_ms < 0 and self.started:
            return -1.0
        first_ms = self.first_ms if self.first_ms >= 0 else now_ms - self.granted_ms
        return first_ms / self.nominal_ms
