"""Broadcasts leaving endpoints at once to all live VMs.

Heartbeats and digests repeat each mark, so it arrives even if a message is lost.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from pomelolane.events import ENDPOINT_LEAVING, TASK_FAILED
from pomelolane.logs import log_event
from pomelolane.messages import EndpointLeaving

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from pomelolane.membership.context import MemberContext
    from pomelolane.membership.delegate import DigestExchange

MEMBERS_SOURCE = "members"
"""Source of marks learnt from heartbeats and digests, which do not carry it."""


class LeavingBroadcast:
    """Makes, forwards and expires marks of leaving endpoints.

    Args:
        context: State and components shared within the package.
        exchange: Provides the delegates and marks of other data centres.
    """

    def __init__(self, context: MemberContext, exchange: DigestExchange) -> None:
        self._context = context
        self._exchange = exchange
        self._on_leaving: list[Callable[[str, str], None]] = []
        self._on_returned: list[Callable[[str], None]] = []
        context.transport.subscribe(EndpointLeaving, self._handle_leaving)

    def on_leaving(self, callback: Callable[[str, str], None]) -> None:
        """Call ``callback(endpoint_id, source)`` once for each new mark."""
        self._on_leaving.append(callback)

    def on_returned(self, callback: Callable[[str], None]) -> None:
        """Call ``callback(endpoint_id)`` when no VM marks it any more."""
        self._on_returned.append(callback)

    def mark(self, endpoint_id: str, source: str) -> None:
        """Mark an endpoint as leaving and broadcast the mark if it is new."""
        now_ms = self._context.clock.now_ms()
        if not self._context.marks.mark_own(endpoint_id, source, now_ms):
            return
        message = EndpointLeaving(endpoint_id, source)
        self._send_to_local_peers(message)
        self._send_to_remote_delegates(message)
        self._notify((endpoint_id,), source)

    def refresh(self) -> None:
        """Apply the marks in heartbeats and digests, and drop expired ones."""
        context = self._context
        now_ms = context.clock.now_ms()
        repeated = self._exchange.leaving()
        repeated.update(
            *(heartbeat.leaving for heartbeat in context.table.heartbeats())
        )
        if repeated:
            self._notify(context.marks.refresh(repeated, now_ms), MEMBERS_SOURCE)
        for endpoint_id in context.marks.expire(now_ms):
            for callback in self._on_returned:
                callback(endpoint_id)

    def _handle_leaving(self, sender: str, message: EndpointLeaving) -> None:
        context = self._context
        new = context.marks.refresh((message.endpoint_id,), context.clock.now_ms())
        if not new:
            return
        if self._exchange.is_delegate:
            if sender in context.table:
                self._send_to_remote_delegates(message)
            else:
                self._send_to_local_peers(message)
        self._notify(new, message.source)

    def _send_to_local_peers(self, message: EndpointLeaving) -> None:
        for heartbeat in self._context.table.heartbeats():
            self._context.transport.send(heartbeat.vm_id, message)

    def _send_to_remote_delegates(self, message: EndpointLeaving) -> None:
        for vm_id in self._exchange.remote_delegates():
            self._context.transport.send(vm_id, message)

    def _notify(self, endpoint_ids: Iterable[str], source: str) -> None:
        for endpoint_id in endpoint_ids:
            log_event(ENDPOINT_LEAVING, endpoint=endpoint_id, source=source)
            for callback in self._on_leaving:
                try:
                    callback(endpoint_id, source)
                except Exception as error:
                    log_event(TASK_FAILED, task="leaving mark", error=repr(error))
