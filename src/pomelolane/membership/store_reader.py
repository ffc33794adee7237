"""Chooses the VM that reads the store on behalf of its data centre."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from pomelolane.ports import View


def is_store_reader(vm_id: str, data_centre: str, view: View) -> bool:
    """Return whether a VM is the one that reads the store for its data centre.

    It is no single point of failure: a VM that receives nothing from it for a
    while reads the store itself.
    """
    peers = [one for one in view.peers.values() if one.data_centre == data_centre]
    staying = [peer for peer in peers if not peer.draining]
    # While no VM is ready yet, such as when all start together, any may be chosen.
    candidates = [peer for peer in staying if peer.ready] or staying
    return vm_id == min((one.vm_id for one in candidates), default=vm_id)
