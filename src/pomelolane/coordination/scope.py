"""Which endpoints a scheduler grants.

An endpoint belongs to the scheduler that the VMs of its own data centre
follow, so a scheduler leaves out the data centres missing from its view.
"""

from __future__ import annotations

from dataclasses import replace
from itertools import cycle
from typing import TYPE_CHECKING

from pomelolane.membership import choose_several

if TYPE_CHECKING:
    from collections.abc import Collection

    from pomelolane.model import Endpoint, Tree
    from pomelolane.ports import View


def reachable_data_centres(view: View, own: str) -> frozenset[str]:
    """Return the data centres with a VM in the view, one's own included."""
    return frozenset(peer.data_centre for peer in view.peers.values()) | {own}


def scoped_tree(tree: Tree, data_centres: frozenset[str]) -> Tree:
    """Return the tree with all endpoints elsewhere as leaving.

    They are not dropped, so that a core still knows their speeds and what runs
    there when a cut has healed.
    """
    endpoints = {
        endpoint_id: _scoped(endpoint, data_centres)
        for endpoint_id, endpoint in tree.endpoints.items()
    }
    return replace(tree, endpoints=endpoints)


def _scoped(endpoint: Endpoint, data_centres: frozenset[str]) -> Endpoint:
    if endpoint.data_centre in data_centres:
        return endpoint
    return replace(endpoint, leaving=True)


def partitioned_tree(
    tree: Tree,
    vm_id: str,
    vm_ids: Collection[str],
    limited: Collection[str] = (),
) -> Tree:
    """Return the tree with those slots alone that are one VM's own.

    Every slot is dealt to one of the VMs, so that VMs with equal views which all
    grant by themselves grant no slot twice, however few slots there are for each.
    An endpoint without a slot for this VM counts as leaving. One that has named a rate
    belongs to one VM: a part of a rate is too little for a request now and then.

    Args:
        tree: The tree.
        vm_id: This VM.
        vm_ids: All that grant by themselves.
        limited: Endpoints that have named a rate.
    """
    endpoints = dict(tree.endpoints)
    for service in {one.service for one in endpoints.values()}:
        owners = cycle(choose_several(service, vm_ids, len(vm_ids)))
        open_ids = (
            endpoint_id
            for endpoint_id, endpoint in sorted(endpoints.items())
            if endpoint.service == service and not endpoint.leaving
        )
        for endpoint_id in list(open_ids):
            endpoint = endpoints[endpoint_id]
            own = sum(next(owners) == vm_id for _ in range(endpoint.slots))
            if endpoint_id in limited:
                owner = choose_several(endpoint_id, vm_ids, 1)[0]
                own = endpoint.slots if owner == vm_id else 0
            slots = own or endpoint.slots
            endpoints[endpoint_id] = replace(endpoint, slots=slots, leaving=not own)
    return replace(tree, endpoints=endpoints)
