"""Waits until a starting VM has met the others, before it takes callers.

Alone in its own view it would schedule every service, past requests of higher
tiers that wait at the scheduler it has not heard of yet.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable, Collection

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
    listed: Callable[[], Collection[str]] = tuple,
) -> None:
    """Return when the view has settled, or holds nobody else for long.

    A view that holds everybody who is known of has nothing to wait for: after a loss
    of power everywhere that is a tenth of a second and more while callers wait.

    Args:
        membership: The view.
        quiet_for_ms: How long it must stand still.
        longest_ms: How long to wait at most.
        listed: Returns the VMs that are known of, none where that is not known.
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
        if len(met) == 1:
            continue
        if quiet_ms >= quiet_for_ms or _holds_all(met, listed()):
            return


def _holds_all(met: Collection[str], listed: Collection[str]) -> bool:
    return len(listed) > 1 and set(listed) <= set(met)


def _starts(view: View) -> dict[str, int]:
    """Return who is there; that others get ready is no reason to wait on."""
    return {vm_id: peer.incarnation for vm_id, peer in view.peers.items()}
