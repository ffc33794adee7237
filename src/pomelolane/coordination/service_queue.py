"""The scheduler's queue of one service: request table, core and messages.

A queue serves all gateways if its VM holds the scheduler role. A gateway that reaches
no scheduler uses a local queue of its own.
"""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from pomelolane.coordination.decisions import log_contention, log_grant, log_refusal
from pomelolane.coordination.epochs import incarnation_part
from pomelolane.coordination.limit_account import account_from_core
from pomelolane.coordination.request_table import Entry, Follower, RequestTable
from pomelolane.coordination.reservations import MAX_HELD
from pomelolane.coordination.scope import partitioned_tree
from pomelolane.coordination.suspects import exclude_suspect_endpoints
from pomelolane.messages import (
    Granted,
    Handle,
    LimitsHeard,
    Message,
    Progress,
    Refused,
    ReservationsHeld,
    RunningHandle,
    Submit,
    SubmitAck,
    Sync,
    SyncAck,
    Unfollow,
    Withdraw,
)
from pomelolane.ports import Grant

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Sequence

    from pomelolane.coordination.timings import Timings
    from pomelolane.model import Endpoint, ServiceKind, Tree
    from pomelolane.ports import Clock, Decision, SchedulingCore
    from pomelolane.scheduler.objective.reserved_slots import ReservationFigures

TOP_RANK = 0
_MAX_MISSED_SYNCS = 2


class ServiceQueue:
    """Schedules one service for the gateways that follow this VM.

    Args:
        service: Name of the service.
        core: Scheduling core that decides; owned by the queue.
        send: Sends a message to a gateway.
        clock: Source of the current time.
        timings: Timeouts and periods.
        slot_share_of: Returns the share of each endpoint's slots that may be granted
            to a set of followers.
        rate_share: Returns the share of organisations' rate limits that this queue
            may use.
        slot_owners_for: Returns the VMs that share each endpoint's slots for a set of
            followers, this VM first. With fewer than two VMs they are not divided.

    Attributes:
        account: Usage of organisations' limits counted by this queue.
        request_table: All requests and following gateways.
    """

    def __init__(
        self,
        service: str,
        core: SchedulingCore,
        send: Callable[[str, Message], object],
        clock: Clock,
        timings: Timings,
        slot_share_of: Callable[[frozenset[str]], float],
        rate_share: Callable[[], float] = lambda: 1.0,
        slot_owners_for: Callable[
            [frozenset[str]], tuple[str, ...]
        ] = lambda followers: (),
    ) -> None:
        self._slot_owners_for = slot_owners_for
        self._slot_owners: tuple[str, ...] = ()
        self._rate_share = rate_share
        self.service = service
        self.core = core
        self.account = account_from_core(core, clock)
        self.request_table = RequestTable()
        self._send = send
        self._clock = clock
        self._timings = timings
        self._slot_share_of = slot_share_of
        self._slot_share = 1.0
        self._leaving: set[str] = set()
        self._limited_ids: frozenset[str] = frozenset()
        self._tree: Tree | None = None
        self._settle_by_ms: float | None = None
        self._top_tier_only = False
        self._awaited_gateways: frozenset[str] = frozenset()

    # --- called by the role -----------------------------------------------

    def configure(self, tree: Tree) -> None:
        """Apply a settings tree, restricted already to what may be granted."""
        self._tree = tree
        self._slot_owners = self._slot_owners_for(self.followers())
        marked = self._with_leaving_marks(tree)
        if len(self._slot_owners) > 1:
            self._limited_ids = self._limited_endpoints()
            marked = partitioned_tree(
                marked, self._slot_owners[0], self._slot_owners, self._limited_ids
            )
        self._apply_decisions(self.core.configure(marked, self._clock.now_ms()))
        self._update_share()

    def _with_leaving_marks(self, tree: Tree) -> Tree:
        """Return the tree with the endpoints marked here set to leaving.

        If the core got the marks only after the tree, it would grant these endpoints
        in between whenever their data centre comes back.
        """
        endpoints = dict(tree.endpoints)
        for endpoint_id in self._leaving & endpoints.keys():
            endpoints[endpoint_id] = replace(endpoints[endpoint_id], leaving=True)
        return replace(tree, endpoints=endpoints)

    def mark_leaving(self, endpoint_id: str) -> None:
        """Stop granting an endpoint, whatever the settings tree declares."""
        self._leaving.add(endpoint_id)
        self._mark_leaving_in_core(endpoint_id)

    def mark_returned(self, endpoint_id: str) -> None:
        """Remove the leaving mark of an endpoint; the settings tree decides again."""
        self._leaving.discard(endpoint_id)
        now_ms = self._clock.now_ms()
        if self._tree is not None:
            self.configure(self._tree)
        self._apply_decisions(self.core.mark_returned(endpoint_id, now_ms))

    def settle(self, gateways: Iterable[str]) -> None:
        """Hold grants until these gateways have registered or a timeout passes.

        The highest tier waits ``Timings.settle_ms`` at most, the others longer: views
        differ for about a second after a VM has died, and a gateway that still follows
        the dead VM may hold waiting requests of higher tiers.
        """
        self._awaited_gateways = frozenset(gateways)
        self._top_tier_only = False
        self._settle_by_ms = self._clock.now_ms() + self._timings.settle_ms
        self._hold_reservations(is_held=True)
        for follower in self.request_table.followers.values():
            follower.registered = False

    def account_for_pause(self, paused_ms: float) -> None:
        """Make the deadlines of waiting requests earlier by a pause of this VM.

        The queue's clock stood still during the pause, so the deadlines seem further
        away than they are. Waiting requests are submitted to the core again.

        Args:
            paused_ms: How long the VM did not run.
        """
        waiting = self.request_table.waiting()
        shift_core = getattr(self.core, "account_for_pause", None)
        if shift_core is not None:
            shift_core(paused_ms, self._clock.now_ms())
        # Remove all first, so that no withdrawal causes a grant for another one.
        for entry in waiting:
            self.request_table.remove(entry)
        now_ms = self._clock.now_ms()
        for entry in waiting:
            if entry.in_core:
                self._apply_decisions(self.core.withdraw(entry.request_id, now_ms))
            entry.in_core = False
            entry.deadline_ms -= paused_ms
            entry.arrived_ms -= paused_ms
        for entry in waiting:
            self.request_table.add(entry)
        self._queue_known(waiting)

    @property
    def is_settling(self) -> bool:
        """Whether grants are held back."""
        return self._settle_by_ms is not None

    def tick(self) -> None:
        """Run the core and drop silent gateways and expired orphaned requests."""
        now_ms = self._clock.now_ms()
        self._drop_silent(now_ms)
        self._update_share()
        self._end_settling(now_ms)
        due = [e for e in self.request_table.orphans.values() if e.free_at_ms <= now_ms]
        for entry in due:
            self._remove(entry)
        self._apply_decisions(self.core.tick(now_ms))
        log_contention(self.service, self.core, now_ms)

    def drop_gateway(self, gateway: str) -> None:
        """Remove a gateway; slots of its running requests stay taken for a while."""
        follower = self.request_table.followers.pop(gateway, None)
        if follower is not None:
            self._abandon(follower)

    def followers(self) -> frozenset[str]:
        """Return the gateways that follow this queue."""
        return frozenset(self.request_table.followers)

    def reservation_figures(self) -> ReservationFigures | None:
        """Return the number of reservations, None if the core makes none."""
        return getattr(self.core, "reservation_figures", lambda: None)()

    def endpoints(self, kind: ServiceKind) -> list[Endpoint]:
        """Return the endpoints that may be granted, none if the kind differs."""
        tree = self._tree
        if tree is None or self.service not in tree.services:
            return []
        if tree.services[self.service].kind != kind:
            return []
        own = (e for e in tree.endpoints.values() if e.service == self.service)
        return [endpoint for endpoint in own if not endpoint.leaving]

    def close(self) -> None:
        """Drop all requests and followers; the core keeps its estimates."""
        self.request_table.followers.clear()
        self._remove_all(list(self.request_table.entries.values()))
        self._settle_by_ms = None
        self._hold_reservations(is_held=False)

    def apply(self, decisions: Sequence[Decision]) -> None:
        """Apply decisions that a call to the core has returned."""
        self._apply_decisions(decisions)

    # --- messages ---------------------------------------------------------

    def receive(self, gateway: str, message: Message) -> None:
        """Handle a message from a gateway; other kinds of messages are ignored."""
        match message:
            case Submit():
                self._handle_submit(gateway, message)
            case Sync():
                self._handle_sync(gateway, message)
            case Progress():
                self._handle_progress(gateway, message)
            case Withdraw():
                self._handle_withdraw(gateway, message)
            case Unfollow():
                self._handle_unfollow(gateway, message)
            case LimitsHeard():
                self._handle_limits(gateway, message)
            case ReservationsHeld():
                self._handle_reservations(gateway, message)

    def _handle_submit(self, gateway: str, message: Submit) -> None:
        if self._follower(gateway, message.epoch) is None:
            return
        for running in message.running:
            self._register_running(gateway, message.epoch, running)
        for handle in sorted(message.waiting, key=_urgency):
            self._register_waiting(gateway, message.epoch, handle)
        # Requests granted or refused at once need no further acknowledgement.
        queued = [h.request_id for h in message.waiting if self._is_waiting(h)]
        queued += [running.handle.request_id for running in message.running]
        if queued:
            self._send(gateway, SubmitAck(message.epoch, tuple(queued)))

    def _is_waiting(self, handle: Handle) -> bool:
        entry = self.request_table.get(handle.request_id)
        return entry is not None and not entry.endpoint_id

    def _handle_sync(self, gateway: str, message: Sync) -> None:
        follower = self._follower(gateway, message.epoch)
        if follower is None:
            return
        missing = [
            request_id
            for request_id in message.waiting
            if not self._confirm_waiting(gateway, message.epoch, request_id)
        ]
        missing += [name for name in message.running if name not in follower.entries]
        if message.whole:
            self._count_missed_syncs(follower, message)
        held = len(follower.entries)
        answer = SyncAck(message.epoch, self.service, tuple(missing), held)
        self._send(gateway, answer)
        if message.whole and not missing:
            follower.registered = True
        self._end_settling(self._clock.now_ms())

    def _confirm_waiting(self, gateway: str, epoch: int, request_id: str) -> bool:
        entry = self.request_table.get(request_id)
        if entry is None or entry.gateway != gateway:
            return False
        entry.epoch = epoch
        if entry.endpoint_id:
            self._send_granted(entry)
        return True

    def _count_missed_syncs(self, follower: Follower, message: Sync) -> None:
        listed = {*message.waiting, *message.running}
        for entry in list(follower.entries.values()):
            entry.missed_syncs = (
                0 if entry.request_id in listed else entry.missed_syncs + 1
            )
            if entry.missed_syncs >= _MAX_MISSED_SYNCS:
                self._remove(entry)

    def _handle_progress(self, gateway: str, message: Progress) -> None:
        now_ms = self._clock.now_ms()
        for event in message.events:
            entry = self.request_table.get(event.request_id)
            if entry is None or entry.gateway != gateway or not entry.in_core:
                continue
            if event.finished:
                self.request_table.remove(entry)
            self._apply_decisions(self.core.observe(event, now_ms))
            if event.limit_per_s is not None:
                self._reassign_limited()

    def _handle_withdraw(self, gateway: str, message: Withdraw) -> None:
        for request_id in message.request_ids:
            entry = self.request_table.get(request_id)
            known = entry is not None and entry.gateway == gateway
            if known and message.epoch >= entry.epoch:
                self._remove(entry)

    def _handle_limits(self, gateway: str, message: LimitsHeard) -> None:
        hear_limit = getattr(self.core, "hear_limit", None)
        if hear_limit is None or self._follower(gateway, message.epoch) is None:
            return
        now_ms = self._clock.now_ms()
        for one in message.limits:
            hear_limit(one.endpoint_id, one.limit_per_s, now_ms - one.age_ms, now_ms)
        self._reassign_limited()

    def _handle_reservations(self, gateway: str, message: ReservationsHeld) -> None:
        hear = getattr(self.core, "hear_reservations", None)
        if hear is None or self._follower(gateway, message.epoch) is None:
            return
        hear(message.reservations[:MAX_HELD], self._clock.now_ms())

    def _reassign_limited(self) -> None:
        """Assign slots again if the set of rate-limited endpoints has changed."""
        if (
            len(self._slot_owners) > 1
            and self._limited_endpoints() != self._limited_ids
        ):
            self.configure(self._tree)

    def _limited_endpoints(self) -> frozenset[str]:
        return getattr(self.core, "limited_endpoints", frozenset)()

    def _handle_unfollow(self, gateway: str, message: Unfollow) -> None:
        follower = self.request_table.followers.get(gateway)
        if follower is not None and message.epoch >= follower.epoch:
            self.drop_gateway(gateway)

    # --- request table ----------------------------------------------------

    def _follower(self, gateway: str, epoch: int) -> Follower | None:
        """Return the sender's record, added if new, or None for an outdated message."""
        now_ms = self._clock.now_ms()
        follower = self.request_table.followers.get(gateway)
        if follower is not None and incarnation_part(epoch) > incarnation_part(
            follower.epoch
        ):
            self.drop_gateway(gateway)
            follower = None
        if follower is None:
            follower = Follower(epoch, now_ms)
            self.request_table.followers[gateway] = follower
            self._update_share()
        if epoch < follower.epoch:
            return None
        follower.epoch = epoch
        follower.last_message_ms = now_ms
        return follower

    def _register_waiting(self, gateway: str, epoch: int, handle: Handle) -> None:
        entry = self.request_table.get(handle.request_id)
        if entry is not None and (
            not entry.is_same_attempt(gateway, handle) or entry.free_at_ms is not None
        ):
            self._remove(entry)
            entry = None
        if entry is None:
            entry = self._open(gateway, epoch, handle)
            if self._may_queue(entry):
                self._queue(entry)
            return
        entry.epoch = epoch
        if entry.endpoint_id:
            self._send_granted(entry)

    def _register_running(
        self, gateway: str, epoch: int, running: RunningHandle
    ) -> None:
        entry = self.request_table.get(running.handle.request_id)
        if entry is not None and entry.endpoint_id == running.endpoint_id:
            # Freeing the slot even for a moment would let another request take it.
            self.request_table.adopt(entry, gateway, epoch)
            return
        if entry is not None:
            self._remove(entry)
        now_ms = self._clock.now_ms()
        entry = self._open(gateway, epoch, running.handle)
        entry.endpoint_id = running.endpoint_id
        entry.granted_ms = now_ms
        entry.in_core = True
        self.core.register_running(running, now_ms)

    def _open(self, gateway: str, epoch: int, handle: Handle) -> Entry:
        now_ms = self._clock.now_ms()
        entry = Entry(handle, gateway, epoch, now_ms, now_ms + handle.budget_ms)
        self.request_table.add(entry)
        return entry

    def _queue(self, entry: Entry) -> None:
        now_ms = self._clock.now_ms()
        entry.in_core = True
        endpoints = self._tree.endpoints.values() if self._tree else ()
        own = (one for one in endpoints if one.service == self.service)
        handle = exclude_suspect_endpoints(
            entry.handle_at(now_ms), self.request_table.entries.values(), own
        )
        submit_held = getattr(self.core, "submit_held", None)
        if submit_held is not None and entry.arrived_ms < now_ms:
            self._apply_decisions(submit_held(handle, entry.arrived_ms, now_ms))
        else:
            self._apply_decisions(self.core.submit(handle, now_ms))

    def _remove(self, entry: Entry) -> None:
        self.request_table.remove(entry)
        if entry.in_core:
            now_ms = self._clock.now_ms()
            self._apply_decisions(self.core.withdraw(entry.request_id, now_ms))

    def _abandon(self, follower: Follower) -> None:
        """Drop waiting requests; keep slots taken that an engine may still use."""
        entries = list(follower.entries.values())
        for entry in entries:
            if entry.endpoint_id:
                self.request_table.orphan(entry, self._expected_end_ms(entry))
        self._remove_all([entry for entry in entries if not entry.endpoint_id])

    def _remove_all(self, entries: Sequence[Entry]) -> None:
        # Remove all first, so that no withdrawal causes a grant for another one.
        for entry in entries:
            self.request_table.remove(entry)
        for entry in entries:
            self._remove(entry)

    def _expected_end_ms(self, entry: Entry) -> float:
        now_ms = self._clock.now_ms()
        endpoint = self._tree.endpoints.get(entry.endpoint_id) if self._tree else None
        decode_ms = 0.0
        if endpoint is not None and endpoint.decode_tokens_per_s > 0:
            decode_ms = 1000 * entry.handle.decode_tokens / endpoint.decode_tokens_per_s
        end_ms = entry.granted_ms + entry.expected_ttft_ms + decode_ms
        earliest_ms = now_ms + self._timings.orphan_grace_ms
        latest_ms = now_ms + self._timings.orphan_limit_ms
        return min(max(end_ms, earliest_ms), latest_ms)

    def _mark_leaving_in_core(self, endpoint_id: str) -> None:
        self._apply_decisions(self.core.mark_leaving(endpoint_id, self._clock.now_ms()))

    def _update_share(self) -> None:
        share = self._slot_share_of(self.followers())
        if share != self._slot_share:
            self._slot_share = share
            self._apply_decisions(self.core.limit_slots(share, self._clock.now_ms()))
        if (
            self._tree is not None
            and self._slot_owners_for(self.followers()) != self._slot_owners
        ):
            self.configure(self._tree)
        limit_rates = getattr(self.core, "limit_rates", None)
        if limit_rates is not None:
            limit_rates(self._rate_share(), self._clock.now_ms())

    def _drop_silent(self, now_ms: float) -> None:
        oldest_ms = now_ms - self._timings.follower_silence_ms
        silent = [
            gateway
            for gateway, follower in self.request_table.followers.items()
            if follower.entries and follower.last_message_ms < oldest_ms
        ]
        for gateway in silent:
            self.drop_gateway(gateway)

    def _end_settling(self, now_ms: float) -> None:
        if self._settle_by_ms is None:
            return
        followers = self.request_table.followers
        registered = {name for name, one in followers.items() if one.registered}
        if self._awaited_gateways <= registered:
            self._settle_by_ms = None
        elif now_ms < self._settle_by_ms:
            return
        elif self._top_tier_only:
            self._settle_by_ms = None
        else:
            self._top_tier_only = True
            self._settle_by_ms = now_ms + self._timings.settle_lower_ms
        self._queue_known(self.request_table.waiting())
        if self._settle_by_ms is None:
            self._hold_reservations(is_held=False)

    def _hold_reservations(self, *, is_held: bool) -> None:
        """Let no reservation expire for which a request may have arrived in time."""
        hold = getattr(self.core, "hold_reservations", None)
        if hold is not None:
            hold(is_held=is_held)

    def _queue_known(self, entries: Sequence[Entry]) -> None:
        """Queue the entries that are still in the table, most urgent first."""
        for entry in sorted(entries, key=lambda one: one.urgency):
            known = entry.request_id in self.request_table.entries
            if known and not entry.in_core and self._may_queue(entry):
                self._queue(entry)

    def _may_queue(self, entry: Entry) -> bool:
        if self._settle_by_ms is None:
            return True
        return self._top_tier_only and entry.handle.tier_rank == TOP_RANK

    # --- decisions --------------------------------------------------------

    def _apply_decisions(self, decisions: Sequence[Decision]) -> None:
        for decision in decisions:
            entry = self.request_table.get(decision.request_id)
            if isinstance(decision.result, Grant):
                self._commit_grant(entry, decision.result)
            elif entry is not None:
                self.request_table.remove(entry)
                self._send_refusal(entry, decision)

    def _commit_grant(self, entry: Entry | None, grant: Grant) -> None:
        now_ms = self._clock.now_ms()
        if entry is None:
            self._apply_decisions(self.core.withdraw(grant.request_id, now_ms))
            return
        entry.endpoint_id = grant.endpoint_id
        entry.expected_ttft_ms = grant.expected_ttft_ms
        entry.granted_ms = now_ms
        self._send_granted(entry)
        log_grant(entry, grant, self.core, now_ms)

    def _send_granted(self, entry: Entry) -> None:
        message = Granted(
            entry.epoch, entry.request_id, entry.endpoint_id, entry.expected_ttft_ms
        )
        self._send(entry.gateway, message)

    def _send_refusal(self, entry: Entry, decision: Decision) -> None:
        refusal = decision.result
        message = Refused(
            entry.epoch,
            entry.request_id,
            refusal.reason,
            refusal.retry_after_ms,
            refusal.reserved_ms,
            refusal.reservation_id,
        )
        self._send(entry.gateway, message)
        log_refusal(entry, refusal, len(self.request_table.entries))


def _urgency(handle: Handle) -> tuple[int, int]:
    return handle.tier_rank, handle.budget_ms
