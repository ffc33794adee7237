"""Waiting requests and sums of waiting work.

The queue, admission and placement share these types.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from pomelolane.messages import Handle

_DEFERRED_ORDER_OFFSET_MS = 1e12


@dataclass(slots=True, eq=False)
class WaitingRequest:
    """One waiting request.

    Attributes:
        handle: The request as submitted by the gateway.
        submitted_ms: Time of arrival.
        deadline_ms: Time by which the last byte is due, on the core's clock.
        short_decode_tokens: Answer length that few answers stay below.
        decode_tokens: Typical answer length, as learnt.
        long_decode_tokens: Answer length that few answers exceed.
        queued: Whether it still waits.
        last_start_ms: Latest start time for a short answer to be in time.
        typical_start_ms: The same for a typical answer.
        safe_start_ms: The same for a long answer.
        deferred: Whether it is ordered after the others of its organisation,
            because a long answer would be late.
        predicted_wait_ms: Wait predicted on arrival, uncorrected; 0 if not
            predicted.
    """

    handle: Handle
    submitted_ms: float
    deadline_ms: float
    short_decode_tokens: int
    decode_tokens: int
    long_decode_tokens: int
    queued: bool = True
    last_start_ms: float = 0.0
    typical_start_ms: float = 0.0
    safe_start_ms: float = 0.0
    deferred: bool = False
    predicted_wait_ms: float = 0.0

    @property
    def order_ms(self) -> float:
        """Sort key among the requests of its organisation."""
        return self.deadline_ms + (_DEFERRED_ORDER_OFFSET_MS if self.deferred else 0.0)

    @property
    def cost_tokens(self) -> int:
        """Tokens charged to the organisation's fair share."""
        return self.handle.prefill_tokens + self.decode_tokens


@dataclass(frozen=True, slots=True)
class Backlog:
    """Sum of waiting work.

    Attributes:
        requests: Number of requests.
        prefill_tokens: Total prompt tokens.
        decode_tokens: Total expected answer tokens.
    """

    requests: float
    prefill_tokens: float
    decode_tokens: float
