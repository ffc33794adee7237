"""Endpoints that have said in an answer that they leave.

The registry may say so seconds later, or not at all while the store is away. One VM's
word is enough for all: a new scheduler, too, learns it from the others' heartbeats.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from pomelolane.forwarding.endpoints import instance_id_of

if TYPE_CHECKING:
    from collections.abc import Callable
    from typing import Protocol

    from pomelolane.forwarding.endpoints import EndpointDirectory
    from pomelolane.model import Endpoint

    class LeavingMarks(Protocol):
        """Marks of what leaves, shared by all VMs."""

        def mark_leaving(self, endpoint_id: str, source: str) -> None:
            """Mark for all VMs."""

        def clear_leaving(self, endpoint_id: str) -> None:
            """Take back a mark made here."""

        def on_leaving(self, callback: Callable[[str, str], None]) -> None:
            """Call back once for each mark."""


SOURCE = "answer"


class AnnouncedDepartures:
    """Takes endpoints out of use that leave by their own word.

    Args:
        directory: Endpoints as known here.
        marks: Tells the other VMs, and is told by them.
    """

    def __init__(self, directory: EndpointDirectory, marks: LeavingMarks) -> None:
        self._directory = directory
        self._marks = marks
        self._announced: set[str] = set()
        marks.on_leaving(lambda instance_id, _: directory.mark_leaving(instance_id))
        directory.on_change(self._clear_ended)

    def announce(self, endpoint: Endpoint) -> None:
        """Take an endpoint's word that it leaves."""
        instance_id = instance_id_of(endpoint)
        if self._directory.mark_leaving(instance_id):
            self._announced.add(instance_id)
            self._marks.mark_leaving(instance_id, SOURCE)

    def _clear_ended(self) -> None:
        """End the marks of starts that are no more."""
        if not self._announced:
            return
        listed = {instance_id_of(endpoint) for endpoint in self._directory.listed()}
        for instance_id in self._announced - listed:
            self._announced.discard(instance_id)
            self._marks.clear_leaving(instance_id)
