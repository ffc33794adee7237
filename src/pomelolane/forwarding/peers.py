"""Chooses the VMs that serve requests of a VM which is cut off from all endpoints."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable, Collection

    from pomelolane.ports import Clock, Peer, View

UNABLE_MS = 1_000.0
"""How long a VM is passed over that could not be reached or is cut off itself."""

RELAY_PORT_OFFSET = 1
"""A VM listens for relayed requests on the port after the one for messages."""


def relay_address(address: str) -> str:
    """Return where a VM listens for relayed requests.

    Args:
        address: ``ip:port`` at which it gets messages.
    """
    host, _, port = address.rpartition(":")
    return f"{host}:{int(port) + RELAY_PORT_OFFSET}"


class RelayPeers:
    """Chooses VMs to which requests are relayed.

    Args:
        vm_id: Id of this VM.
        data_centre: Data centre of this VM, whose VMs are preferred.
        view: Returns the VMs that are alive.
        clock: Source of the current time.
    """

    def __init__(
        self, vm_id: str, data_centre: str, view: Callable[[], View], clock: Clock
    ) -> None:
        self._vm_id = vm_id
        self._data_centre = data_centre
        self._view = view
        self._clock = clock
        self._unable_until_ms: dict[str, float] = {}

    def choose(self, tried: Collection[str]) -> Peer | None:
        """Return a VM that is expected to serve requests, None if there is none.

        Args:
            tried: VMs that the request must not be relayed to again.
        """
        peers = [
            peer
            for peer in self._view().peers.values()
            if peer.vm_id not in tried and self._is_able(peer)
        ]
        near = [peer for peer in peers if peer.data_centre == self._data_centre]
        return random.choice(near or peers) if peers else None

    def mark_unable(self, vm_id: str) -> None:
        """Pass over a VM for a while."""
        self._unable_until_ms[vm_id] = self._clock.now_ms() + UNABLE_MS

    def _is_able(self, peer: Peer) -> bool:
        if peer.vm_id == self._vm_id or peer.draining or not peer.ready:
            return False
        return self._clock.now_ms() >= self._unable_until_ms.get(peer.vm_id, 0.0)
