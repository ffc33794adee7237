"""From committed branches to the tree in force: compile, check, put in force.

A set of branches that does not pass the checks leaves the tree as it was.
"""

from __future__ import annotations

import asyncio
from dataclasses import replace
from typing import TYPE_CHECKING

from pomelolane import events
from pomelolane.exceptions import InvalidTreeError
from pomelolane.logs import log_event
from pomelolane.settings.tree import tree_from_branches

if TYPE_CHECKING:
    from collections.abc import Mapping

    from pomelolane.model import Tree
    from pomelolane.tree import CurrentTree


class TreeAdoption:
    """Keeps the newest branches and compiles them.

    Args:
        current: Where the tree in force is held.
        address_map: This VM's own routes to endpoints, by id.
    """

    def __init__(self, current: CurrentTree, address_map: Mapping[str, str]) -> None:
        self._current = current
        self._address_map = address_map
        self._pending: dict[str, tuple[int, bytes]] = {}
        self._contents: dict[str, bytes] = {}
        self._versions: dict[str, int] = {}

    def take_soon(self, branch: str, version: int, content: bytes) -> None:
        """Take a branch together with all others of this turn of the loop."""
        if not self._pending:
            asyncio.get_running_loop().call_soon(self._take_pending)
        self._pending[branch] = (version, content)

    def _take_pending(self) -> None:
        pending, self._pending = self._pending, {}
        self.take_all(pending)

    def take_all(self, branches: Mapping[str, tuple[int, bytes]]) -> bool:
        """Take the higher versions among branches, compiled once.

        Args:
            branches: Version and content by branch.

        Returns:
            Whether the tree in force holds all that was taken.
        """
        newer = {
            branch: each
            for branch, each in branches.items()
            if each[0] > self._versions.get(branch, 0)
        }
        if not newer:
            return False
        for branch, (version, content) in newer.items():
            self._versions[branch] = version
            self._contents[branch] = content
        try:
            tree = tree_from_branches(self._contents, self._versions)
        except InvalidTreeError as error:
            # Branches arrive one by one; the rest of a change that spans two
            # of them makes the tree whole again.
            self._log_rejected(newer, error)
            return False
        self._current.adopt(self._routed(tree))
        for branch, (version, _) in newer.items():
            log_event(events.SETTINGS_APPLIED, branch=branch, version=version)
        return True

    def _log_rejected(
        self, newer: Mapping[str, tuple[int, bytes]], error: InvalidTreeError
    ) -> None:
        for branch, (version, _) in newer.items():
            log_event(
                events.SETTINGS_REJECTED, branch=branch, version=version, error=error
            )

    def _routed(self, tree: Tree) -> Tree:
        for endpoint_id in self._address_map.keys() & tree.endpoints.keys():
            endpoint = tree.endpoints[endpoint_id]
            address = self._address_map[endpoint_id]
            tree.endpoints[endpoint_id] = replace(endpoint, address=address)
        return tree
