"""Who is alive, and messages to them.

Implementations are in ``pomelolane.membership``.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from pomelolane.messages import Message


@dataclass(frozen=True, slots=True)
class Peer:
    """A VM that is alive in this VM's own view.

    Attributes:
        vm_id: The VM.
        incarnation: Number of its current start.
        data_centre: Where it stands.
        address: ``ip:port`` of its inter-VM interface.
        draining: Whether it is stopping; it takes no new role.
        ready: Whether it has its settings and takes callers.
        carries_per_s: Requests a second that it can schedule, 0 for unknown.
    """

    vm_id: str
    incarnation: int
    data_centre: str
    address: str
    draining: bool = False
    ready: bool = True
    carries_per_s: int = 0


@dataclass(frozen=True, slots=True)
class View:
    """The VMs that this VM can reach, itself included.

    Attributes:
        number: Grows by one with each change.
        peers: By VM id.
    """

    number: int
    peers: Mapping[str, Peer]


class Transport(Protocol):
    """Authenticated messages to other VMs; unordered loss is possible."""

    def send(self, vm_id: str, message: Message) -> bool:
        """Queue a message without blocking; a message to oneself loops back.

        Returns:
            False where the VM has no known address or its queue is full.
        """

    def subscribe(
        self, kind: type[Message], handler: Callable[[str, Message], None]
    ) -> None:
        """Call ``handler(sender_vm_id, message)`` for each message of a kind."""


class Membership(Protocol):
    """Who is alive, as far as this VM can tell."""

    def view(self) -> View:
        """Return the current view."""

    def on_change(self, callback: Callable[[View], None]) -> None:
        """Call back after each change of the view."""
