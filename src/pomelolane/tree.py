"""The settings tree in force in this process.

Parts read it on each use and are told when another one takes its place.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from pomelolane.model import Tree

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from pomelolane.model import Endpoint


class CurrentTree:
    """Holds the compiled tree and tells its followers of changes."""

    def __init__(self) -> None:
        self._tree = Tree()
        self._followers: list[Callable[[Tree], None]] = []

    @property
    def value(self) -> Tree:
        """The tree in force; empty until the first one was adopted."""
        return self._tree

    def usable(self, endpoint_id: str) -> Endpoint | None:
        """Return an endpoint that may get new work, else None."""
        endpoint = self._tree.endpoints.get(endpoint_id)
        return None if endpoint is None or endpoint.leaving else endpoint

    def listed(self) -> Iterable[Endpoint]:
        """Return all endpoints, leaving ones included."""
        return self._tree.endpoints.values()

    @property
    def ready(self) -> bool:
        """Whether any branch has been adopted."""
        return bool(self._tree.versions)

    def on_change(self, follower: Callable[[Tree], None]) -> None:
        """Call ``follower(tree)`` after each change."""
        self._followers.append(follower)

    def adopt(self, tree: Tree) -> None:
        """Put a checked tree in force."""
        self._tree = tree
        for follower in self._followers:
            follower(tree)
