"""Logs changes of the view, batched into one line per data centre.

One line per VM on every VM would flood the logs when a fleet starts.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from pomelolane.events import DATA_CENTRE_LOST, PEERS_DOWN, PEERS_UP
from pomelolane.logs import log_event

if TYPE_CHECKING:
    from collections.abc import Mapping

    from pomelolane.ports import Peer, View

LOG_DELAY_MS = 500.0
"""How long changes are collected: one heartbeat interval, in which a starting VM
discovers most of the others."""


class ViewLog:
    """Collects changes until they are logged; the caller passes in the time."""

    def __init__(self) -> None:
        self._up: dict[str, Peer] = {}
        self._down: dict[str, tuple[str, float]] = {}
        self._since_ms: float | None = None

    def record(
        self, before: View, after: View, silent_ms: Mapping[str, float], now_ms: float
    ) -> None:
        """Record a change; one that is reverted before the flush is not logged."""
        for vm_id, peer in after.peers.items():
            known = before.peers.get(vm_id)
            if known is not None and known.incarnation == peer.incarnation:
                continue
            was_down = self._down.pop(vm_id, None) is not None
            if known is not None or not was_down:
                self._up[vm_id] = peer
        for vm_id in before.peers.keys() - after.peers.keys():
            if self._up.pop(vm_id, None) is None:
                data_centre = before.peers[vm_id].data_centre
                self._down[vm_id] = (data_centre, silent_ms.get(vm_id, 0.0))
        for data_centre in sorted(_data_centres(before) - _data_centres(after)):
            log_event(DATA_CENTRE_LOST, data_centre=data_centre)
        if self._since_ms is None and (self._up or self._down):
            self._since_ms = now_ms

    def flush(self, now_ms: float) -> None:
        """Log the changes once :data:`LOG_DELAY_MS` has passed since the first."""
        if self._since_ms is None or now_ms - self._since_ms < LOG_DELAY_MS:
            return
        self._log_up()
        self._log_down()
        self._since_ms = None

    def _log_up(self) -> None:
        for data_centre in sorted({peer.data_centre for peer in self._up.values()}):
            names = sorted(
                vm_id
                for vm_id, peer in self._up.items()
                if peer.data_centre == data_centre
            )
            peers = " ".join(names)
            log_event(PEERS_UP, data_centre=data_centre, count=len(names), peers=peers)
        self._up.clear()

    def _log_down(self) -> None:
        for data_centre in sorted({centre for centre, _ in self._down.values()}):
            silences_ms = {
                vm_id: silent_ms
                for vm_id, (centre, silent_ms) in sorted(self._down.items())
                if centre == data_centre
            }
            log_event(
                PEERS_DOWN,
                data_centre=data_centre,
                count=len(silences_ms),
                silent_ms=max(silences_ms.values()),
                peers=" ".join(silences_ms),
            )
        self._down.clear()


def _data_centres(view: View) -> set[str]:
    return {peer.data_centre for peer in view.peers.values()}
