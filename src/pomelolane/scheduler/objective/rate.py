"""Rate limits that endpoints announce in their answers."""

from __future__ import annotations

import math

_BURST_S = 0.25
"""Capacity of the token bucket, in seconds at the announced rate. It is small because a
strained endpoint needs an even flow of requests."""

_MIN_PER_S = 0.2
"""Lowest rate that is applied, so that an occasional request finds out whether a lower
limit still holds."""


class EndpointRateLimit:
    """Token bucket that limits the requests to one endpoint.

    The bucket starts empty, as requests granted by other schedulers are not known here.

    Args:
        per_s: Requests per second that the endpoint accepts.
        now_ms: Current time.

    Attributes:
        per_s: Requests per second, raised to a minimum above 0.
        last_set_ms: When an answer last announced the limit.
    """

    __slots__ = ("_at_ms", "_available", "last_set_ms", "per_s")

    def __init__(self, per_s: float, now_ms: float) -> None:
        self._available = 0.0
        self._at_ms = now_ms
        self.per_s = _MIN_PER_S
        self.update(per_s, now_ms)

    def update(self, per_s: float, now_ms: float) -> None:
        """Set the rate announced by an answer that arrives now."""
        self._refill(now_ms)
        self.per_s = max(_MIN_PER_S, per_s)
        self.last_set_ms = now_ms
        self._available = min(self._available, self._capacity())

    def wait_ms(self, now_ms: float) -> float:
        """Return the time until a request may be sent, 0 for now."""
        self._refill(now_ms)
        return max(0.0, 1.0 - self._available) / self.per_s * 1000.0

    def take(self, now_ms: float) -> None:
        """Take one request out of the bucket."""
        self._refill(now_ms)
        self._available -= 1.0

    def _capacity(self) -> float:
        return max(1.0, self.per_s * _BURST_S)

    def _refill(self, now_ms: float) -> None:
        earned = (now_ms - self._at_ms) / 1000.0 * self.per_s
        self._available = min(self._capacity(), self._available + earned)
        self._at_ms = now_ms


def rate_after_answer(
    rate: EndpointRateLimit | None, limit_per_s: float, granted_ms: float, now_ms: float
) -> EndpointRateLimit | None:
    """Return the rate limit that applies after an answer, None for no limit.

    Args:
        rate: Limit that applied before, None for no limit.
        limit_per_s: Limit announced by the answer, infinite for no limit.
        granted_ms: When the request was granted. If that was before the limit was last
            set, an answer without a limit may be the older of the two and is ignored.
        now_ms: Current time.
    """
    if math.isinf(limit_per_s):
        is_older = rate is not None and granted_ms <= rate.last_set_ms
        return rate if is_older else None
    if rate is None:
        return EndpointRateLimit(limit_per_s, now_ms)
    rate.update(limit_per_s, now_ms)
    return rate


def rate_after_report(
    rate: EndpointRateLimit | None, limit_per_s: float, heard_ms: float, now_ms: float
) -> EndpointRateLimit:
    """Return the rate limit that applies after a gateway reports an earlier answer.

    Args:
        rate: Limit that applied before, None for no limit.
        limit_per_s: Limit announced by the answer.
        heard_ms: When the gateway received the answer.
        now_ms: Current time.
    """
    if rate is None:
        rate = EndpointRateLimit(limit_per_s, now_ms)
    elif heard_ms > rate.last_set_ms:
        rate.update(limit_per_s, now_ms)
    else:
        return rate
    rate.last_set_ms = heard_ms
    return rate
