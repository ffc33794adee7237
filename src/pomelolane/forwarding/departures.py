"""Endpoints that have said in an answer that they leave.

The registry may say so seconds later, or not at all while the store is away. One VM's
word is enough for all: a new scheduler, too, learns it from the others' heartbeats.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from pomelolane.forwarding.endpoints import name_of_start

if TYPE_CHECKING:
    from collections.abc import Callable
    from typing import Protocol

    from pomelolane.forwarding.endpoints import EndpointDirectory
    from pomelolane.model import Endpoint

    class Marks(Protocol):
        """Marks of what leaves, shared by all VMs."""

        def mark_leaving(self, endpoint_id: str, source: str) -> None:
            """Mark for all VMs."""

        def clear_leaving(self, endpoint_id: str) -> None:
            """Take back a mark made here."""

        def on_leaving(self, callback: Callable[[str, str], None]) -> None:
            """Call back once for each mark."""


SOURCE = "answer"


class SaidDepartures:
    """Takes endpoints out of use that leave by their own word.

    Args:
        directory: Endpoints as known here.
        marks: Tells the other VMs, and is told by them.
    """

    def __init__(self, directory: EndpointDirectory, marks: Marks) -> None:
        self._directory = directory
        self._marks = marks
        self._told: set[str] = set()
        marks.on_leaving(lambda start, _: directory.mark_leaving(start))
        directory.on_change(self._take_back)

    def hear(self, endpoint: Endpoint) -> None:
        """Take an endpoint's word that it leaves."""
        start = name_of_start(endpoint)
        if self._directory.mark_leaving(start):
            self._told.add(start)
            self._marks.mark_leaving(start, SOURCE)

    def _take_back(self) -> None:
        """End the marks of starts that are no more."""
        if not self._told:
            return
        listed = {name_of_start(one) for one in self._directory.listed()}
        for start in self._told - listed:
            self._told.discard(start)
            self._marks.clear_leaving(start)
