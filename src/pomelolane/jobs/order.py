"""The order in which VMs try for a job: rendezvous hashing over the view.

It only spreads the work; who runs a job is decided by compare-and-set.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from pomelolane.membership import weight

if TYPE_CHECKING:
    from pomelolane.ports import View


def rank_of_vm(view: View, vm_id: str, data_centre: str, job_id: str) -> int:
    """Return a VM's place in a job's order, 0 first.

    VMs of the data centre that accepted the job come before all others, and
    draining VMs after them.
    """

    def place(peer_id: str) -> tuple[bool, bool, int]:
        peer = view.peers[peer_id]
        elsewhere = peer.data_centre != data_centre
        return peer.draining, elsewhere, weight(job_id, peer_id)

    if vm_id not in view.peers:
        return len(view.peers)
    own = place(vm_id)
    return sum(place(peer_id) < own for peer_id in view.peers)
