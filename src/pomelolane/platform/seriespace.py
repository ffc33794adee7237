"""Pace of versions that change in series, so that they leave room on a VM's link."""

from __future__ import annotations

import math
from dataclasses import dataclass

_LINK_SHARE = 0.5
"""Part of the link that versions in series may take; requests need the rest."""

_TRANSFER_SHARE = 0.1
"""Part of the time to apply in which what is sent to others must have left."""

_LEAST_PAUSE_SHARE = 0.05
"""Part of the time to apply between two versions; each one costs time to decode."""

_LONGEST_PAUSE_SHARE = 0.25

_BYTES_PER_S_OF_MBPS = 125_000


@dataclass(frozen=True, slots=True)
class SeriesPace:
    """How fast a VM takes and passes on versions that come in series.

    Attributes:
        apply_ms: Time in which a change must be in force.
        link_mbps: Rate of the VM's network link.
    """

    apply_ms: int
    link_mbps: float = math.inf

    def may_send(self, size_bytes: int) -> bool:
        """Return whether so much may be sent at once, to all receivers together."""
        return self._transfer_s(size_bytes) <= self._seconds(_TRANSFER_SHARE)

    def pause_s(self, read_bytes: int, sent_bytes: int) -> float:
        """Return the pause after a version; later ones are then read as one.

        Args:
            read_bytes: Bytes of the rows that were read, which have been received.
            sent_bytes: Bytes sent to others, which have yet to leave.
        """
        read_s = self._transfer_s(read_bytes) * (1 / _LINK_SHARE - 1)
        sent_s = self._transfer_s(sent_bytes) / _LINK_SHARE
        pause_s = max(read_s, sent_s, self._seconds(_LEAST_PAUSE_SHARE))
        return min(pause_s, self._seconds(_LONGEST_PAUSE_SHARE))

    def _transfer_s(self, size_bytes: int) -> float:
        return size_bytes / (self.link_mbps * _BYTES_PER_S_OF_MBPS)

    def _seconds(self, share: float) -> float:
        return share * self.apply_ms / 1000
