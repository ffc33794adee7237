"""Chooses the VMs that keep the record of a stream.

VMs that see the same others agree on the choice without messages. The first two stand
in different data centres, where there are several.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from pomelolane.membership import weight

if TYPE_CHECKING:
    from collections.abc import Iterable

    from pomelolane.ports import Peer


def choose_holders(key: int, peers: Iterable[Peer], count: int) -> list[Peer]:
    """Return up to ``count`` VMs for a stream, the most suitable first.

    Args:
        key: Key of the stream.
        peers: VMs to choose from.
        count: Number of VMs.
    """
    name = str(key)
    ranked = sorted(peers, key=lambda one: weight(name, one.vm_id), reverse=True)
    for position, peer in enumerate(ranked):
        if peer.data_centre != ranked[0].data_centre:
            ranked.insert(1, ranked.pop(position))
            break
    return ranked[:count]
