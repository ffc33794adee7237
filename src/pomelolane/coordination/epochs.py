"""Epoch numbers of a gateway's successive choices of scheduler.

The high bits hold the gateway's incarnation, so that epochs of a restarted gateway
are higher than all of its earlier ones.
"""

from __future__ import annotations

PING = 0
"""Sent as the epoch of a sync that only checks whether a VM replies."""

_COUNTER_BITS = 20
_INCARNATION_MASK = (1 << 42) - 1


class Epochs:
    """Generates the epochs of one incarnation of a gateway.

    Args:
        incarnation: Incarnation number of this VM.
    """

    def __init__(self, incarnation: int) -> None:
        self._last = (incarnation & _INCARNATION_MASK) << _COUNTER_BITS

    def next(self) -> int:
        """Return an epoch higher than all earlier ones."""
        self._last += 1
        return self._last


def incarnation_part(epoch: int) -> int:
    """Return the part of an epoch that identifies the gateway's incarnation."""
    return epoch >> _COUNTER_BITS
