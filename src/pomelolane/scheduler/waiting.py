"""A waiting request, and sums of waiting work.

They are shared by the queue, admission and placement.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from pomelolane.messages import Handle

_DEFERRED_MS = 1e12


@dataclass(slots=True, eq=False)
class WaitingRequest:
    """One waiting request.

    Attributes:
        handle: As the gateway sent it.
        submitted_ms: When it came.
        deadline_ms: When its last byte is due, on the core's clock.
        short_decode_tokens: Answer length that few answers stay below.
        decode_tokens: Expected answer length as learnt.
        long_decode_tokens: Answer length that few answers exceed.
        queued: Whether it still waits.
        last_start_ms: When it must begin to be in time with a short answer.
        middle_start_ms: The same with a middling answer.
        safe_start_ms: The same with a long answer.
        deferred: Whether it goes after all others because a long answer would
            be late.
        predicted_wait_ms: Plain prediction of its wait when it came.
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
        """Its place inside its organisation."""
        return self.deadline_ms + (_DEFERRED_MS if self.deferred else 0.0)

    @property
    def cost_tokens(self) -> int:
        """Tokens charged against the organisation's share."""
        return self.handle.prefill_tokens + self.decode_tokens


@dataclass(frozen=True, slots=True)
class Backlog:
    """Work that waits.

    Attributes:
        requests: How many.
        prefill_tokens: Their prompt tokens.
        decode_tokens: Their expected answer tokens.
    """

    requests: float
    prefill_tokens: float
    decode_tokens: float
