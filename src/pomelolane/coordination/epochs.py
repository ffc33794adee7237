"""Numbers for a gateway's successive choices of scheduler.

An epoch holds the start of the gateway in its high bits, so that the choices
of a restarted gateway are newer than all of its former ones.
"""

from __future__ import annotations

PING = 0
"""In place of an epoch: only a sign of life is wanted."""

_COUNTER_BITS = 20
_START_MASK = (1 << 42) - 1


class Epochs:
    """Counts the choices of one start of a gateway.

    Args:
        incarnation: Number of this start of the VM.
    """

    def __init__(self, incarnation: int) -> None:
        self._last = (incarnation & _START_MASK) << _COUNTER_BITS

    def next(self) -> int:
        """Return a number above all earlier ones."""
        self._last += 1
        return self._last


def incarnation_part(epoch: int) -> int:
    """Return the part of an epoch that stands for the gateway's start."""
    return epoch >> _COUNTER_BITS
