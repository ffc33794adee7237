"""The VMs of other data centres, kept while those who speak for them change.

A delegate that is new to its role knows few VMs of its data centre, and what it says
replaces what others said before. Only who has listed a VM can say that it is gone.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING

from pomelolane.membership.digests import DIGEST_TIMEOUT_MS

if TYPE_CHECKING:
    from collections.abc import Collection, Mapping

    from pomelolane.ports import Peer


@dataclass(frozen=True, slots=True)
class _Known:
    peer: Peer
    listed_ms: float


class RemoteMembers:
    """Remembers who was listed lately; pure, time is passed in."""

    def __init__(self) -> None:
        self._known: dict[str, _Known] = {}
        self._overdue_after_ms = math.inf

    def has_overdue(self, now_ms: float) -> bool:
        """Tell whether :meth:`update` would drop a VM that nobody lists."""
        return now_ms > self._overdue_after_ms

    def update(
        self,
        listed: Mapping[str, Peer],
        listed_ms: Mapping[str, float],
        data_centres: Collection[str],
        gone: Collection[str],
        now_ms: float,
    ) -> dict[str, Peer]:
        """Return the VMs that are listed now, and those that were lately.

        Without the latter, VMs that start together would take live ones for lost, and
        the roles of schedulers would move with each view.

        Args:
            listed: The VMs that somebody lists now.
            listed_ms: When a source that lists it was last heard, for each of them
                and for those that were listed lately.
            data_centres: Those of which anybody speaks still.
            gone: VMs that somebody has listed before and lists no more.
            now_ms: The time.
        """
        for vm_id in gone:
            self._known.pop(vm_id, None)
        for vm_id, peer in listed.items():
            self._known[vm_id] = _Known(peer, listed_ms.get(vm_id, now_ms))
        self._overdue_after_ms = math.inf
        for vm_id in self._known.keys() - listed.keys():
            known = self._known[vm_id]
            until_ms = listed_ms.get(vm_id, known.listed_ms) + DIGEST_TIMEOUT_MS
            if now_ms > until_ms or known.peer.data_centre not in data_centres:
                del self._known[vm_id]
            else:
                self._overdue_after_ms = min(self._overdue_after_ms, until_ms)
        return {vm_id: known.peer for vm_id, known in self._known.items()}
