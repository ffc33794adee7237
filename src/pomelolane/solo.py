"""A VM by itself: messages loop back and the view holds nobody else.

Stands in until the member is wired in.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from pomelolane.ports import Peer, View

if TYPE_CHECKING:
    from collections.abc import Callable

    from pomelolane.messages import Message


class Solo:
    """Transport and membership of a VM without others."""

    def __init__(self, peer: Peer) -> None:
        self._view = View(1, {peer.vm_id: peer})
        self._vm_id = peer.vm_id
        self._handlers: dict[type, list[Callable[[str, Message], None]]] = {}

    async def start(self) -> None:
        """Do nothing."""

    async def stop(self) -> None:
        """Do nothing."""

    def set_ready(self) -> None:
        """Do nothing."""

    def set_draining(self) -> None:
        """Do nothing."""

    def view(self) -> View:
        """Return the view of one."""
        return self._view

    def on_change(self, callback: Callable[[View], None]) -> None:
        """Forget the callback: the view never changes."""

    def subscribe(
        self, kind: type[Message], handler: Callable[[str, Message], None]
    ) -> None:
        """Call the handler for messages of a kind."""
        self._handlers.setdefault(kind, []).append(handler)

    def send(self, vm_id: str, message: Message) -> bool:
        """Loop a message back."""
        if vm_id != self._vm_id:
            return False
        for handler in self._handlers.get(type(message), ()):
            asyncio.get_running_loop().call_soon(handler, vm_id, message)
        return True


def make_solo(vm_id: str, data_centre: str, incarnation: int) -> Solo:
    """Return the transport and membership of a VM by itself."""
    return Solo(Peer(vm_id, incarnation, data_centre, ""))
