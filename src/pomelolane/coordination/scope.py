"""Restricts a settings tree to the endpoints and slots that a scheduler may grant.

An endpoint belongs to the scheduler that the VMs of its data centre follow, so a
scheduler excludes the data centres that are missing from its view.
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
    """Return the data centres with a VM in the view, and this VM's own."""
    return frozenset(peer.data_centre for peer in view.peers.values()) | {own}


def scoped_tree(tree: Tree, data_centres: frozenset[str]) -> Tree:
    """Return the tree with endpoints in other data centres set to leaving.

    They are not removed, so that a core still knows their speeds and running requests
    once a network partition has ended.
    """
    endpoints = {
        endpoint_id: _scoped(endpoint, data_centres)
        for endpoint_id, endpoint in tree.endpoints.items()
    }
    return replace(tree, endpoints=endpoints)


def _scoped(endpoint: Endpoint, data_centres: frozenset[str]) -> Endpoint:
    if endpoint.data_centre in data_centres:
        return endpoint
    return replace(endpoint, leaving=True, takes_resumed=False)


def partitioned_tree(
    tree: Tree,
    vm_id: str,
    vm_ids: Collection[str],
    limited: Collection[str] = (),
) -> Tree:
    """Return the tree with only the slots that belong to one VM.

    Every slot is assigned to exactly one VM, so VMs with equal views that grant
    independently never grant a slot twice, however few slots each of them has.
    An endpoint without a slot for this VM is set to leaving. An endpoint with a rate
    limit belongs to a single VM, since a fraction of its rate could be too low for
    even an occasional request.

    Args:
        tree: The settings tree.
        vm_id: This VM.
        vm_ids: All VMs that grant independently, this one included.
        limited: Endpoints that have announced a rate limit.
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
