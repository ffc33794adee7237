"""Which VM of a data centre reads for the others."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from pomelolane.ports import View


def reads_for_others(vm_id: str, data_centre: str, view: View) -> bool:
    """Tell whether a VM is the one that reads the store for its data centre.

    Nobody depends on it alone: who hears nothing for a while reads itself.
    """
    peers = [one for one in view.peers.values() if one.data_centre == data_centre]
    staying = [peer for peer in peers if not peer.draining]
    # Where all have just started, one of them reads for those that start.
    able = [peer for peer in staying if peer.ready] or staying
    return vm_id == min((one.vm_id for one in able), default=vm_id)
