"""The rate of requests that an endpoint in need has asked for."""

from __future__ import annotations

import math

_BURST_S = 0.25
"""Part of the rate that may come at once: an endpoint in need bears an even flow."""

_LEAST_PER_S = 0.2
"""A request now and then finds out whether a limit of less still stands."""


class NamedRate:
    """Spaces the requests to one endpoint.

    It begins empty: what others have granted until now is not known here.

    Args:
        per_s: Requests a second that the endpoint takes.
        now_ms: The time.

    Attributes:
        per_s: The same, and never so low that the endpoint gets none.
        named_ms: When an answer last named it.
    """

    __slots__ = ("_at_ms", "_level", "named_ms", "per_s")

    def __init__(self, per_s: float, now_ms: float) -> None:
        self._level = 0.0
        self._at_ms = now_ms
        self.per_s = _LEAST_PER_S
        self.name(per_s, now_ms)

    def name(self, per_s: float, now_ms: float) -> None:
        """Adopt the rate that an answer names now."""
        self._fill(now_ms)
        self.per_s = max(_LEAST_PER_S, per_s)
        self.named_ms = now_ms
        self._level = min(self._level, self._capacity())

    def wait_ms(self, now_ms: float) -> float:
        """Return how long until a request may go, 0 for now."""
        self._fill(now_ms)
        return max(0.0, 1.0 - self._level) / self.per_s * 1000.0

    def take(self, now_ms: float) -> None:
        """Count a request that goes now."""
        self._fill(now_ms)
        self._level -= 1.0

    def _capacity(self) -> float:
        return max(1.0, self.per_s * _BURST_S)

    def _fill(self, now_ms: float) -> None:
        earned = (now_ms - self._at_ms) / 1000.0 * self.per_s
        self._level = min(self._capacity(), self._level + earned)
        self._at_ms = now_ms


def rate_answered(
    rate: NamedRate | None, limit_per_s: float, asked_ms: float, now_ms: float
) -> NamedRate | None:
    """Return the rate that stands after an answer.

    Args:
        rate: The one that stood before, None for none.
        limit_per_s: What the answer names, infinite where it names no limit.
        asked_ms: When its request was granted. An answer without a limit to one from
            before the last that named it may be the older of the two.
        now_ms: The time.
    """
    if math.isinf(limit_per_s):
        is_older = rate is not None and asked_ms <= rate.named_ms
        return rate if is_older else None
    if rate is None:
        return NamedRate(limit_per_s, now_ms)
    rate.name(limit_per_s, now_ms)
    return rate


def rate_told(
    rate: NamedRate | None, limit_per_s: float, heard_ms: float, now_ms: float
) -> NamedRate:
    """Return the rate that stands after a gateway's word of an earlier answer.

    Args:
        rate: The one that stood before, None for none.
        limit_per_s: What the answer named.
        heard_ms: When the gateway heard it.
        now_ms: The time.
    """
    if rate is None:
        rate = NamedRate(limit_per_s, now_ms)
    elif heard_ms > rate.named_ms:
        rate.name(limit_per_s, now_ms)
    else:
        return rate
    rate.named_ms = heard_ms
    return rate
