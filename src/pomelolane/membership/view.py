"""Holds the current view and notifies callbacks of its changes.

A view holds the VMs that this VM considers alive. It is replaced as a whole and never
modified, so each one is consistent.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from pomelolane.events import TASK_FAILED
from pomelolane.logs import log_event
from pomelolane.membership.viewlog import ViewLog
from pomelolane.ports import Peer, View

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from pomelolane.messages import Heartbeat, MemberState


class ViewPublisher:
    """Holds the current view and calls back after each change.

    Args:
        own: This VM.
    """

    def __init__(self, own: Peer) -> None:
        self._view = View(1, {own.vm_id: own})
        self._log = ViewLog()
        self._callbacks: list[Callable[[View], None]] = []

    @property
    def view(self) -> View:
        """The current view."""
        return self._view

    def on_change(self, callback: Callable[[View], None]) -> None:
        """Register a callback for changes of the view."""
        self._callbacks.append(callback)

    def flush_log(self, now_ms: float) -> None:
        """Log collected changes that are due."""
        self._log.flush(now_ms)

    def replace(
        self, peers: Mapping[str, Peer], silent_ms: Mapping[str, float], now_ms: float
    ) -> bool:
        """Replace the view; return False if its VMs are unchanged.

        Args:
            peers: All VMs of the new view.
            silent_ms: For each VM dropped because of its silence, how long that was.
            now_ms: Current time.
        """
        before = self._view
        if peers == before.peers:
            return False
        self._view = View(before.number + 1, dict(peers))
        self._log.record(before, self._view, silent_ms, now_ms)
        for callback in self._callbacks:
            try:
                callback(self._view)
            except Exception as error:
                log_event(TASK_FAILED, task="view change", error=repr(error))
        return True


def peer_from_heartbeat(heartbeat: Heartbeat) -> Peer:
    """Build the view's entry for a heartbeat's sender."""
    return Peer(
        heartbeat.vm_id,
        heartbeat.incarnation,
        heartbeat.data_centre,
        heartbeat.address,
        heartbeat.draining,
        heartbeat.ready,
        heartbeat.carries_per_s,
    )


def peer_from_state(state: MemberState, data_centre: str) -> Peer:
    """Build the view's entry for a VM listed in a digest."""
    return Peer(
        state.vm_id,
        state.incarnation,
        data_centre,
        state.address,
        state.draining,
        state.ready,
        state.carries_per_s,
    )
