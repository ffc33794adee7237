"""VMs of other data centres, retained while their delegates change.

A new delegate knows few VMs of its data centre, and its digest replaces earlier ones.
Therefore a VM counts as gone at once if a source that listed it stops doing so, but
not because a new source omits it.
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
    """VMs listed recently in digests; the caller passes in the time."""

    def __init__(self) -> None:
        self._known: dict[str, _Known] = {}
        self._overdue_after_ms = math.inf

    def has_overdue(self, now_ms: float) -> bool:
        """Return whether :meth:`update` would drop a VM that no digest lists."""
        return now_ms > self._overdue_after_ms

    def update(
        self,
        listed: Mapping[str, Peer],
        listed_ms: Mapping[str, float],
        data_centres: Collection[str],
        gone: Collection[str],
        now_ms: float,
    ) -> dict[str, Peer]:
        """Return the VMs that are listed now or were listed recently.

        Without the latter, VMs that start together would consider live ones lost, and
        scheduler roles would move at each change of the view.

        Args:
            listed: VMs in current digests.
            listed_ms: For each VM listed now or recently, when a source that lists it
                was last heard.
            data_centres: Data centres of which there is a digest.
            gone: VMs that a source has stopped listing.
            now_ms: Current time.
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
