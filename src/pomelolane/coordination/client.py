"""The scheduler client, through which a gateway acquires slots.

A grant is used at most once, whatever schedulers send: only the ticket of a pending
``acquire`` call accepts it, and all other grants are returned.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import msgspec

from pomelolane.coordination.backoffs import EndpointBackoffs
from pomelolane.coordination.epochs import PING
from pomelolane.coordination.link import Link
from pomelolane.coordination.tickets import Ticket
from pomelolane.messages import (
    Granted,
    Message,
    NotScheduler,
    Refused,
    SubmitAck,
    Sync,
    SyncAck,
    Withdraw,
)
from pomelolane.outcomes import Outcome, Reason, Refusal
from pomelolane.ports import Grant

if TYPE_CHECKING:
    from pomelolane.coordination.tickets import LinkContext
    from pomelolane.messages import Handle, StreamEvent
    from pomelolane.model import Tree

_PAUSE_MS = 1000.0
_GRANT_DISTRUST_MS = 1000.0
"""Longer than two heartbeats, which deliver leaving marks missed in a pause."""

CLIENT_MESSAGES = (SubmitAck, SyncAck, NotScheduler, Granted, Refused)
"""Kinds of messages that a gateway handles from schedulers."""


class GatewayClient:
    """Acquires slots from whichever VM schedules a service.

    Args:
        context: Dependencies that all links of the gateway share.
    """

    def __init__(self, context: LinkContext) -> None:
        self._context = context
        self._links: dict[str, Link] = {}
        self._tickets: dict[str, Ticket] = {}
        self._leaving: set[str] = set()
        self._backoffs = EndpointBackoffs(context.clock)
        self._endpoint_starts_ms: dict[str, int] = {}
        self._retry_after_ms: dict[str, int] = {}
        self._last_ping_ms = context.clock.now_ms()
        self._last_run_ms = self._last_ping_ms
        self._distrust_until_ms = self._last_ping_ms
        self._distrusted_requests: set[str] = set()
        context.chooser.on_change(self._rechoose)

    # --- scheduler client port --------------------------------------------

    async def acquire(self, handle: Handle) -> Grant | Refusal:
        """Wait for a grant or a final refusal.

        Cancelling the call withdraws the request.
        """
        link = self._links.get(handle.service)
        if link is None:
            return _not_run(Reason.NOT_READY, 1000, "the service is not configured")
        if handle.request_id in self._tickets:
            return _not_run(Reason.CLAIM_HELD, 0, "the request id is in use")
        ticket = self._open(self._backoffs.exclude_from(handle))
        link.add(ticket)
        try:
            return await ticket.answer
        except asyncio.CancelledError:
            self._abandon(ticket)
            raise

    def release(self, grant: Grant) -> None:
        """Give back a grant that is not used, which frees its slot."""
        ticket = self._tickets.get(grant.request_id)
        if ticket is not None:
            self._abandon(ticket)

    def observe(self, event: StreamEvent) -> None:
        """Report progress of a dispatched request; a final event frees its slot."""
        ticket = self._tickets.get(event.request_id)
        if ticket is None or not ticket.endpoint_id:
            return
        if event.finished:
            del self._tickets[event.request_id]
        self._links[ticket.handle.service].observe(ticket, event)

    def back_off(self, service: str, endpoint_id: str, rest_ms: float) -> None:
        """Use no grant for an endpoint for a time, as it asked this VM to wait."""
        self._backoffs.start(service, endpoint_id, rest_ms)

    # --- called by Coordination -------------------------------------------

    def configure(self, tree: Tree) -> None:
        """Follow a scheduler for each service of the tree."""
        for service in tree.services:
            if service not in self._links:
                self._links[service] = Link(service, self._context)
                self._links[service].start()
        for service in [name for name in self._links if name not in tree.services]:
            self._close(service)
        self._leaving &= set(tree.endpoints)
        self._clear_restarted_endpoints(tree)

    def _clear_restarted_endpoints(self, tree: Tree) -> None:
        """Drop limits and back-offs of endpoints that have restarted."""
        starts = {name: one.born_ms for name, one in tree.endpoints.items()}
        restarted = [
            name
            for name, born_ms in starts.items()
            if self._endpoint_starts_ms.get(name, born_ms) != born_ms
        ]
        self._endpoint_starts_ms = starts
        for link in self._links.values():
            link.limits.remove(restarted)
        self._backoffs.remove(restarted)

    def mark_leaving(self, endpoint_id: str) -> None:
        """Use no further grant for an endpoint."""
        self._leaving.add(endpoint_id)

    def mark_returned(self, endpoint_id: str) -> None:
        """Use grants for an endpoint again."""
        self._leaving.discard(endpoint_id)

    def tick(self) -> None:
        """Refuse requests past their deadline and check for silent schedulers."""
        now_ms = self._context.clock.now_ms()
        self._detect_pause(now_ms)
        if now_ms >= self._distrust_until_ms:
            self._resubmit_distrusted()
        self._ping_suspects(now_ms)
        for link in list(self._links.values()):
            late = [t for t in link.waiting.values() if t.deadline_ms <= now_ms]
            for ticket in late:
                self._expire(link, ticket)
            link.tick()

    def probe(self, service: str) -> None:
        """Sync at once with the scheduler of a service to see if it is reachable."""
        link = self._links.get(service)
        if link is not None and not link.is_local:
            link.sync()

    @property
    def is_waiting(self) -> bool:
        """Whether any request waits for a slot or any link uses its local queue."""
        return any(link.waiting or link.is_local for link in self._links.values())

    def links(self) -> dict[str, Link]:
        """Return the links by service."""
        return self._links

    # --- messages ---------------------------------------------------------

    def receive(self, sender: str, message: Message) -> None:
        """Handle a message from a scheduler."""
        self._detect_pause(self._context.clock.now_ms())
        self._context.chooser.note_alive(sender)
        match message:
            case Granted():
                self._handle_granted(sender, message)
            case Refused():
                self._handle_refused(sender, message)
            case SubmitAck():
                self._handle_submit_ack(sender, message)
            case SyncAck():
                self._handle_sync_ack(sender, message)
            case NotScheduler():
                self._handle_not_scheduler(sender, message)

    def _handle_submit_ack(self, sender: str, message: SubmitAck) -> None:
        for link in self._links.values():
            if link.is_current(sender, message.epoch):
                link.note_reply()
                link.note_admitted(message.request_ids)

    def _handle_sync_ack(self, sender: str, message: SyncAck) -> None:
        link = self._links.get(message.service)
        if link is None or link.accept_probe_reply(sender, message.epoch):
            return
        if link.is_current(sender, message.epoch):
            link.note_reply()
            link.note_sync_reply(message.missing, message.held)

    def _handle_not_scheduler(self, sender: str, message: NotScheduler) -> None:
        link = self._links.get(message.service)
        if link is None or not link.is_current(sender, message.epoch):
            return
        link.note_not_scheduler()
        chooser = self._context.chooser
        if message.scheduler:
            chooser.take_hint(message.service, message.scheduler)
        else:
            for_ms = self._context.timings.suspect_ms
            chooser.exclude(message.service, sender, for_ms)

    def _handle_granted(self, sender: str, message: Granted) -> None:
        ticket = self._tickets.get(message.request_id)
        link = self._links.get(ticket.handle.service) if ticket else None
        if link is None or not link.is_current(sender, message.epoch):
            self._give_back(sender, message)
            return
        link.note_reply()
        if ticket.endpoint_id:
            self._handle_repeated_grant(link, ticket, message)
        elif self._context.clock.now_ms() < self._distrust_until_ms:
            self._give_back(sender, message)
            self._distrusted_requests.add(ticket.request_id)
        elif self._is_ruled_out(ticket, message.endpoint_id):
            self._give_back(sender, message)
            self._resubmit_excluding(link, ticket, message.endpoint_id)
        else:
            link.grant(ticket, message.endpoint_id)
            grant = Grant(
                ticket.request_id, message.endpoint_id, message.expected_ttft_ms
            )
            _resolve(ticket, grant)

    def _handle_repeated_grant(
        self, link: Link, ticket: Ticket, message: Granted
    ) -> None:
        # A duplicate of the grant is harmless. If it names another endpoint, the
        # scheduler has to be told where the request runs.
        if message.endpoint_id != ticket.endpoint_id:
            link.note_sync_reply((ticket.request_id,), held=1)

    def _detect_pause(self, now_ms: float) -> None:
        """Distrust all grants for a while after a pause of this process.

        They may predate a leaving mark that still waits in a socket, or come from the
        scheduler on this VM, which has not received the mark yet.
        """
        if now_ms - self._last_run_ms > _PAUSE_MS:
            self._distrust_until_ms = now_ms + _GRANT_DISTRUST_MS
        self._last_run_ms = now_ms

    def _resubmit_distrusted(self) -> None:
        """Submit again the requests whose grants were returned after a pause."""
        for request_id in self._distrusted_requests:
            ticket = self._tickets.get(request_id)
            link = self._links.get(ticket.handle.service) if ticket else None
            if link is not None and request_id in link.waiting:
                link.submit_again(ticket)
        self._distrusted_requests.clear()

    def _is_ruled_out(self, ticket: Ticket, endpoint_id: str) -> bool:
        if endpoint_id in self._leaving or self._backoffs.is_backing_off(endpoint_id):
            return True
        return endpoint_id in ticket.handle.excluded

    def _resubmit_excluding(self, link: Link, ticket: Ticket, endpoint_id: str) -> None:
        excluded = {*ticket.handle.excluded, endpoint_id}
        ticket.handle = msgspec.structs.replace(
            ticket.handle, excluded=tuple(sorted(excluded))
        )
        link.submit_again(ticket)

    def _give_back(self, sender: str, message: Granted) -> None:
        """Return an unused grant so that the scheduler frees its slot."""
        withdraw = Withdraw(message.epoch, (message.request_id,))
        service = ""
        ticket = self._tickets.get(message.request_id)
        if ticket is not None:
            service = ticket.handle.service
        self._context.send(sender, service, withdraw)

    def _handle_refused(self, sender: str, message: Refused) -> None:
        ticket = self._tickets.get(message.request_id)
        link = self._links.get(ticket.handle.service) if ticket else None
        if link is None or not link.is_current(sender, message.epoch):
            return
        link.note_reply()
        if ticket.endpoint_id:
            return
        if not message.reserved_ms:
            # A reserved time belongs to one caller; others would return with it.
            self._retry_after_ms[link.service] = message.retry_after_ms
        link.drop(ticket)
        link.reservations.record(ticket.handle, message, self._context.clock.now_ms())
        refusal = _not_run(message.reason, message.retry_after_ms, "")
        self._finish(ticket, refusal)

    # --- tickets ----------------------------------------------------------

    def _open(self, handle: Handle) -> Ticket:
        now_ms = self._context.clock.now_ms()
        answer = asyncio.get_running_loop().create_future()
        ticket = Ticket(handle, now_ms + handle.budget_ms, answer)
        self._tickets[handle.request_id] = ticket
        return ticket

    def _abandon(self, ticket: Ticket) -> None:
        """Withdraw a request whose caller is gone, whether granted or not."""
        if self._tickets.get(ticket.request_id) is not ticket:
            return
        del self._tickets[ticket.request_id]
        link = self._links.get(ticket.handle.service)
        if link is not None:
            link.withdraw(ticket)

    def _expire(self, link: Link, ticket: Ticket) -> None:
        link.withdraw(ticket)
        retry_after_ms = self._retry_after_ms.get(
            link.service, self._context.timings.default_retry_after_ms
        )
        refusal = _not_run(
            Reason.DEADLINE_PASSED, retry_after_ms, "no slot before the deadline"
        )
        self._finish(ticket, refusal)

    def _finish(self, ticket: Ticket, refusal: Refusal) -> None:
        self._tickets.pop(ticket.request_id, None)
        _resolve(ticket, refusal)

    def _close(self, service: str) -> None:
        link = self._links.pop(service)
        # What the request asked for may be served by another service now.
        retry_after_ms = self._context.timings.default_retry_after_ms
        refusal = _not_run(Reason.NOT_READY, retry_after_ms, "the service was removed")
        for ticket in list(link.waiting.values()):
            self._finish(ticket, refusal)
        for ticket in list(link.running.values()):
            self._tickets.pop(ticket.request_id, None)
        link.unfollow()

    def _ping_suspects(self, now_ms: float) -> None:
        if now_ms - self._last_ping_ms < self._context.timings.running_sync_ms:
            return
        self._last_ping_ms = now_ms
        for vm_id in self._context.chooser.suspects():
            self._context.send(vm_id, "", Sync(PING, ""))

    def _rechoose(self) -> None:
        for link in list(self._links.values()):
            link.rechoose()


def _resolve(ticket: Ticket, result: Grant | Refusal) -> None:
    if not ticket.answer.done():
        ticket.answer.set_result(result)


def _not_run(reason: Reason, retry_after_ms: int, detail: str) -> Refusal:
    return Refusal(Outcome.NOT_RUN, reason, retry_after_ms, detail)
