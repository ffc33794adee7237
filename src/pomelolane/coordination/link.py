"""A gateway's connection to the scheduler of one service.

The link registers all waiting and running requests with each new scheduler, so a
scheduler failure loses none. Only the gateway decides whether a grant is used.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from pomelolane.coordination.limits import EndpointLimits
from pomelolane.coordination.progress import ProgressBatch
from pomelolane.coordination.reservations import RelayedReservations
from pomelolane.coordination.timings import LOCAL
from pomelolane.events import LOCAL_FALLBACK, SCHEDULER_CHOSEN
from pomelolane.logs import log_event
from pomelolane.messages import (
    LimitsHeard,
    Message,
    Progress,
    ReservationsHeld,
    Submit,
    Sync,
    Unfollow,
    Withdraw,
)

if TYPE_CHECKING:
    from collections.abc import Sequence

    from pomelolane.coordination.tickets import LinkContext, Ticket
    from pomelolane.messages import StreamEvent

_HANDLES_PER_SUBMIT = 200
_MAX_SHORT_LIST = 32
_MIN_UNANSWERED_BEFORE_FALLBACK = 3


class Link:
    """Follows the scheduler of one service and reports the gateway's requests to it.

    Args:
        service: Name of the service.
        context: Dependencies that all links of the gateway share.

    Attributes:
        waiting: Requests without a slot, by id.
        running: Requests with a slot, by id.
        limits: Rate limits that the service's endpoints have announced.
        reservations: Reservations of the refusals that were relayed to callers.
        scheduler: VM that is followed, ``LOCAL`` for this VM's own queue.
        epoch: Number of the current choice of scheduler.
    """

    def __init__(self, service: str, context: LinkContext) -> None:
        self.service = service
        self.waiting: dict[str, Ticket] = {}
        self.running: dict[str, Ticket] = {}
        self.limits = EndpointLimits(service)
        self.reservations = RelayedReservations()
        self.scheduler = LOCAL
        self.epoch = context.epochs.next()
        self._context = context
        self._timings = context.timings
        self._unsent: dict[str, Ticket] = {}
        self._progress = ProgressBatch()
        self._flush_deferred = False
        self._awaiting_reply_since_ms: float | None = None
        self._reply_timeouts = 0
        self._silent_since_ms: float | None = None
        self._unanswered = 0
        self._last_sync_ms = context.clock.now_ms()
        self._last_progress_ms = self._last_sync_ms
        self._sync_count = 0
        self._confirmed_empty = True
        self._retry_at_ms: float | None = None
        self._probe_target = (LOCAL, 0)
        self._last_probe_ms = self._last_sync_ms
        self._is_started = False
        self._incarnation = 0

    # --- requests ---------------------------------------------------------

    def add(self, ticket: Ticket) -> None:
        """Register a new request with the scheduler."""
        self.waiting[ticket.request_id] = ticket
        self.submit_again(ticket)

    def submit_again(self, ticket: Ticket) -> None:
        """Queue a request for the next flush, which runs soon on the event loop."""
        self._unsent[ticket.request_id] = ticket
        self._defer_flush()

    def grant(self, ticket: Ticket, endpoint_id: str) -> None:
        """Move a request from waiting to running at an endpoint."""
        del self.waiting[ticket.request_id]
        self._unsent.pop(ticket.request_id, None)
        ticket.endpoint_id = endpoint_id
        self.running[ticket.request_id] = ticket

    def withdraw(self, ticket: Ticket) -> None:
        """Remove a request and free its queue place or slot at the scheduler."""
        self.drop(ticket)
        self.send(Withdraw(self.epoch, (ticket.request_id,)))

    def drop(self, ticket: Ticket) -> None:
        """Remove a request that the scheduler has removed already."""
        self.waiting.pop(ticket.request_id, None)
        self.running.pop(ticket.request_id, None)
        self._unsent.pop(ticket.request_id, None)
        self._confirmed_empty = False

    def observe(self, ticket: Ticket, event: StreamEvent) -> None:
        """Queue a progress event; events that free a slot are sent at once."""
        ticket.update_progress(event)
        if event.limit_per_s is not None:
            now_ms = self._context.clock.now_ms()
            self.limits.record(event.endpoint_id, event.limit_per_s, now_ms)
        self._progress.add(event)
        if event.finished:
            self.drop(ticket)
        if event.finished or event.ttft_ms >= 0:
            # A finished prefill makes room for the next prompt, like a free slot.
            self._defer_flush()

    # --- sending ----------------------------------------------------------

    def send(self, message: Message) -> bool:
        """Send a message to the current scheduler; return whether it was sent."""
        return bool(self._context.send(self.scheduler, self.service, message))

    def flush(self) -> None:
        """Send pending progress, then pending requests.

        Progress goes first because it frees slots.
        """
        self._flush_deferred = False
        self._flush_progress()
        tickets = [t for t in self._unsent.values() if not t.endpoint_id]
        self._unsent.clear()
        if tickets:
            self._submit(tickets, ())

    def _defer_flush(self) -> None:
        if not self._flush_deferred:
            self._flush_deferred = True
            self._context.defer(self.flush)

    def _flush_progress(self) -> None:
        if not self._progress:
            return
        self._last_progress_ms = self._context.clock.now_ms()
        events = self._progress.take()
        if not self.send(Progress(self.epoch, events)):
            for event in events:
                self._progress.add(event)

    def _submit(self, waiting: Sequence[Ticket], running: Sequence[Ticket]) -> None:
        now_ms = self._context.clock.now_ms()
        # Running requests first: a scheduler must count them before it grants.
        for start in range(0, len(running), _HANDLES_PER_SUBMIT):
            chunk = running[start : start + _HANDLES_PER_SUBMIT]
            registered = tuple(ticket.running_at(now_ms) for ticket in chunk)
            self._send_expecting_reply(Submit(self.epoch, (), registered))
        for start in range(0, len(waiting), _HANDLES_PER_SUBMIT):
            chunk = waiting[start : start + _HANDLES_PER_SUBMIT]
            handles = tuple(ticket.handle_at(now_ms) for ticket in chunk)
            self._send_expecting_reply(Submit(self.epoch, handles))

    def sync(self) -> None:
        """Send the ids of the held requests; the reply lists those the scheduler lacks.

        Short lists are always sent in full, long ones only in every
        ``Timings.full_sync_every``-th sync.
        """
        is_short = len(self.waiting) + len(self.running) <= _MAX_SHORT_LIST
        is_whole = is_short or self._sync_count % self._timings.full_sync_every == 0
        if self._sync_count == 0:
            # A VM that got them before it took the role has ignored them.
            self._send_limits()
            self._send_reservations()
        waiting = tuple(self.waiting) if is_whole else ()
        running = tuple(self.running) if is_whole else ()
        self._sync_count += 1
        self._last_sync_ms = self._context.clock.now_ms()
        self._send_expecting_reply(
            Sync(self.epoch, self.service, is_whole, waiting, running)
        )

    def _send_expecting_reply(self, message: Message) -> None:
        now_ms = self._context.clock.now_ms()
        if self._awaiting_reply_since_ms is None:
            self._awaiting_reply_since_ms = now_ms
        if self._silent_since_ms is None:
            self._silent_since_ms = now_ms
        self._unanswered += 1
        self.send(message)

    # --- choice of scheduler ----------------------------------------------

    def is_current(self, sender: str, epoch: int) -> bool:
        """Return whether a message comes from the current scheduler and epoch."""
        return sender == self.scheduler and epoch == self.epoch

    def note_reply(self) -> None:
        """Record that the scheduler has replied, and reset the silence timers."""
        self._reset_reply_timer()
        self._silent_since_ms = None
        self._unanswered = 0

    def _reset_reply_timer(self) -> None:
        self._awaiting_reply_since_ms = None
        self._reply_timeouts = 0
        self._retry_at_ms = None

    def note_admitted(self, request_ids: Sequence[str]) -> None:
        """Mark requests that a scheduler has counted against limits."""
        for request_id in request_ids:
            ticket = self.waiting.get(request_id)
            if ticket is not None:
                ticket.admitted = True

    def note_sync_reply(self, missing: Sequence[str], held: int) -> None:
        """Submit again the requests that the scheduler does not know.

        Args:
            missing: Ids from the sync that the scheduler lacks.
            held: Number of this gateway's requests that the scheduler holds.
        """
        waiting = [self.waiting[name] for name in missing if name in self.waiting]
        running = [self.running[name] for name in missing if name in self.running]
        if waiting or running:
            self._submit(waiting, running)
            self._sync_count = 0
        elif held == 0 and not self.waiting and not self.running:
            self._confirmed_empty = True

    def note_not_scheduler(self) -> None:
        """Schedule a retry: the VM replied that it is not the scheduler."""
        self._sync_count = 0
        self._reset_reply_timer()
        self._retry_at_ms = self._context.clock.now_ms() + self._timings.retry_ms

    @property
    def is_local(self) -> bool:
        """Whether the gateway uses its own queue and share of slots."""
        return self.scheduler == LOCAL

    def rechoose(self) -> None:
        """Follow the scheduler that the chooser returns now."""
        if self._context.always_local:
            return
        chosen = self._context.chooser.scheduler(self.service)
        if self.is_local and self._is_started:
            self._probe(chosen)
        elif chosen != self.scheduler or self._has_restarted(chosen):
            self._follow(chosen, self._context.epochs.next())

    def _has_restarted(self, scheduler: str) -> bool:
        now = self._context.chooser.incarnation_of(scheduler)
        return now not in (0, self._incarnation)

    def start(self) -> None:
        """Follow the first scheduler."""
        if not self._is_started:
            self.rechoose()
            self._is_started = True

    def accept_probe_reply(self, sender: str, epoch: int) -> bool:
        """Follow a scheduler that has answered a probe sent during local fallback.

        Returns:
            Whether the reply answered the current probe.
        """
        if not self.is_local or (sender, epoch) != self._probe_target:
            return False
        self._follow(sender, epoch)
        return True

    def unfollow(self) -> None:
        """Tell the scheduler that this gateway no longer follows it."""
        self.send(Unfollow(self.epoch, self.service))

    def _follow(self, scheduler: str, epoch: int) -> None:
        self.unfollow()
        self.scheduler = scheduler
        self.epoch = epoch
        self._incarnation = self._context.chooser.incarnation_of(scheduler)
        log_event(
            SCHEDULER_CHOSEN,
            service=self.service,
            scheduler=scheduler or "local",
            view=self._context.chooser.view().number,
            epoch=epoch,
        )
        self._probe_target = (LOCAL, 0)
        self._reset_reply_timer()
        self._sync_count = 0
        self._confirmed_empty = False
        self._unsent.clear()
        self._send_limits()
        self._send_reservations()
        self._submit(list(self.waiting.values()), list(self.running.values()))
        self._flush_progress()
        self.sync()

    def _send_limits(self) -> None:
        limits = self.limits.current(self._context.clock.now_ms())
        if limits:
            self.send(LimitsHeard(self.epoch, self.service, limits))

    def _send_reservations(self) -> None:
        held = self.reservations.current(self._context.clock.now_ms())
        if held:
            self.send(ReservationsHeld(self.epoch, self.service, held))

    def _fall_back(self) -> None:
        log_event(
            LOCAL_FALLBACK, service=self.service, share=f"{self._context.share():.3f}"
        )
        self._silent_since_ms = None
        self._follow(LOCAL, self._context.epochs.next())
        self._probe(self._context.chooser.scheduler(self.service))

    def _probe(self, chosen: str) -> None:
        """Send an empty sync to find out whether a scheduler is reachable."""
        if self._probe_target[0] != chosen:
            self._probe_target = (chosen, self._context.epochs.next())
        self._last_probe_ms = self._context.clock.now_ms()
        probe = Sync(self._probe_target[1], self.service, whole=False)
        self._context.send(chosen, self.service, probe)

    # --- time -------------------------------------------------------------

    def tick(self) -> None:
        """Send due progress, syncs and probes, and check for a silent scheduler."""
        now_ms = self._context.clock.now_ms()
        if now_ms - self._last_progress_ms >= self._timings.progress_ms:
            self._flush_progress()
        if self._context.always_local:
            return
        if self.is_local:
            if now_ms - self._last_probe_ms >= self._timings.reply_ms:
                self._probe(self._context.chooser.scheduler(self.service))
            return
        self._check_scheduler(now_ms)

    def _check_scheduler(self, now_ms: float) -> None:
        if self._is_silent_too_long(now_ms):
            self._fall_back()
        elif self._is_reply_late(now_ms):
            self._retry(now_ms)
        elif self._retry_at_ms is not None and now_ms >= self._retry_at_ms:
            self._retry_at_ms = None
            self.sync()
        elif self._is_sync_due(now_ms):
            self.sync()

    def _is_silent_too_long(self, now_ms: float) -> bool:
        since_ms = self._silent_since_ms
        if since_ms is None or not self.waiting:
            return False
        # After a pause of this VM the elapsed time says nothing about the scheduler,
        # so several messages must be unanswered too.
        if self._unanswered < _MIN_UNANSWERED_BEFORE_FALLBACK:
            return False
        return now_ms - since_ms >= self._tolerated_silence_ms(
            self._timings.fallback_ms
        )

    def _tolerated_silence_ms(self, silence_ms: float) -> float:
        """Return a silence in ms, extended if the scheduler caused false alarms."""
        factor = self._context.chooser.silence_factor(self.scheduler)
        most_ms = max(silence_ms, self._timings.max_silence_ms)
        return min(silence_ms * factor, most_ms)

    def _is_reply_late(self, now_ms: float) -> bool:
        asked_ms = self._awaiting_reply_since_ms
        return asked_ms is not None and now_ms - asked_ms >= self._timings.reply_ms

    def _is_sync_due(self, now_ms: float) -> bool:
        since_ms = now_ms - self._last_sync_ms
        if self.waiting:
            return since_ms >= self._timings.waiting_sync_ms
        if self.running or not self._confirmed_empty:
            return since_ms >= self._timings.running_sync_ms
        return False

    def _retry(self, now_ms: float) -> None:
        self._reply_timeouts += 1
        self._awaiting_reply_since_ms = now_ms
        self._sync_count = 0
        timings = self._timings
        silence_ms = self._tolerated_silence_ms(
            timings.reply_ms * timings.reply_attempts
        )
        if self._reply_timeouts * timings.reply_ms >= silence_ms:
            silent = self.scheduler
            self._reply_timeouts = 0
            self._context.chooser.suspect(silent, self._timings.suspect_ms)
            if self.scheduler != silent:
                return
        self.sync()
