"""Waits until a starting VM has met the others, before it takes callers.

Alone in its own view it would schedule every service, past requests of higher
tiers that wait at the scheduler it has not heard of yet.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from pomelolane.ports import Membership, View

LONGEST_MS = 1500.0
"""How long to wait for somebody: as long as a silent VM counts as alive."""

QUIET_MS = 300.0
"""The view must stand still for so long once it holds somebody else."""

_STEP_MS = 20.0


async def meet_others(
    membership: Membership,
    quiet_for_ms: float = QUIET_MS,
    longest_ms: float = LONGEST_MS,
) -> None:
    """Return when the view has settled, or holds nobody else for long.

    Args:
        membership: The view.
        quiet_for_ms: How long it must stand still.
        longest_ms: How long to wait at most.
    """
    waited_ms = quiet_ms = 0.0
    met = _starts(membership.view())
    while waited_ms < longest_ms:
        await asyncio.sleep(_STEP_MS / 1000)
        waited_ms += _STEP_MS
        quiet_ms += _STEP_MS
        now = _starts(membership.view())
        if now != met:
            met = now
            quiet_ms = 0.0
        if len(met) > 1 and quiet_ms >= quiet_for_ms:
            return


def _starts(view: View) -> dict[str, int]:
    """Return who is there; that others get ready is no reason to wait on."""
    return {vm_id: peer.incarnation for vm_id, peer in view.peers.items()}
