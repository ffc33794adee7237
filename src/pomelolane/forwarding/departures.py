"""Marks endpoints as leaving that announced it in an answer.

The registry may list them as leaving only seconds later, or not at all while the store
is unreachable. A mark made by one VM holds for all; a new scheduler learns it from the
others' heartbeats.
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
        """Marks of leaving endpoint instances, shared by all VMs."""

        def mark_leaving(self, endpoint_id: str, source: str) -> None:
            """Mark an endpoint instance as leaving on all VMs."""

        def clear_leaving(self, endpoint_id: str) -> None:
            """Remove a mark made by this VM."""

        def on_leaving(self, callback: Callable[[str, str], None]) -> None:
            """Call the callback once for each mark, with its source."""


SOURCE = "answer"


class AnnouncedDepartures:
    """Takes endpoints out of use that announce that they are leaving.

    Args:
        directory: Known endpoints.
        marks: Marks shared with the other VMs.
    """

    def __init__(self, directory: EndpointDirectory, marks: LeavingMarks) -> None:
        self._directory = directory
        self._marks = marks
        self._announced: set[str] = set()
        marks.on_leaving(lambda instance_id, _: directory.mark_leaving(instance_id))
        directory.on_change(self._clear_ended)

    def announce(self, endpoint: Endpoint) -> None:
        """Mark an endpoint as leaving on this VM and all others."""
        instance_id = instance_id_of(endpoint)
        if self._directory.mark_leaving(instance_id):
            self._announced.add(instance_id)
            self._marks.mark_leaving(instance_id, SOURCE)

    def _clear_ended(self) -> None:
        """Remove this VM's marks of endpoint instances that are not listed any more."""
        if not self._announced:
            return
        listed = {instance_id_of(endpoint) for endpoint in self._directory.listed()}
        for instance_id in self._announced - listed:
            self._announced.discard(instance_id)
            self._marks.clear_leaving(instance_id)
