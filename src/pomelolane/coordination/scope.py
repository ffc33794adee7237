"""Which endpoints a scheduler grants.

An endpoint belongs to the scheduler that the VMs of its own data centre
follow, so a scheduler leaves out the data centres missing from its view.
"""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

if TYPE_CHECKING:
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
