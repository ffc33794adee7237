"""The current view and who is told of its changes.

A view is replaced as a whole, so whoever holds one has a consistent picture.
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
    """Holds the view and calls back after each change of it.

    Args:
        own: This VM itself.
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
        """Call back after each change."""
        self._callbacks.append(callback)

    def flush_log(self, now_ms: float) -> None:
        """Tell operators of changes that have gathered."""
        self._log.flush(now_ms)

    def replace(
        self, peers: Mapping[str, Peer], silent_ms: Mapping[str, float], now_ms: float
    ) -> bool:
        """Make the given VMs the view; False where they are already.

        Args:
            peers: The VMs.
            silent_ms: How long those were silent that have left because of it.
            now_ms: The time.
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
    """Return the peer that a heartbeat speaks of."""
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
    """Return the peer that a line of a digest speaks of."""
    return Peer(
        state.vm_id,
        state.incarnation,
        data_centre,
        state.address,
        state.draining,
        state.ready,
        state.carries_per_s,
    )
