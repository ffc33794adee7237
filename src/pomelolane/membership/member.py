"""One VM's membership: live VMs, delegates and leaving endpoints.

The member maintains the view, which holds the VMs that it considers alive. Heartbeats,
digests and leaving marks are handled by the other modules of this package.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from pomelolane.clock import MonotonicClock
from pomelolane.events import TASK_FAILED, VM_WOKE
from pomelolane.logs import log_event
from pomelolane.membership.contacts import Contacts
from pomelolane.membership.context import MemberContext, OwnState
from pomelolane.membership.delegate import DigestExchange, choose_delegates
from pomelolane.membership.digests import DIGEST_TIMEOUT_MS
from pomelolane.membership.heartbeat import HEARTBEAT_INTERVAL_MS, HeartbeatTable
from pomelolane.membership.leaving_broadcast import LeavingBroadcast
from pomelolane.membership.leaving_marks import LeavingMarks
from pomelolane.membership.list_reader import ListReader
from pomelolane.membership.local_heartbeats import LocalHeartbeats
from pomelolane.membership.pause import BACKLOG_MS, PauseDetector
from pomelolane.membership.transport import make_transport
from pomelolane.membership.view import ViewPublisher, peer_from_heartbeat

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping, Sequence

    from pomelolane.addresses import Seed
    from pomelolane.membership.keys import ClusterKeys
    from pomelolane.membership.transport import ZmqTransport
    from pomelolane.messages import Digest, Heartbeat, Message
    from pomelolane.ports import Clock, View, VmList

TICK_S = 0.1
HEARTBEAT_ALIGN_MS = 100.0
"""How early a heartbeat may be sent to coincide with that of another VM.

VMs that send heartbeats together wake each other up twice a second instead of at
every single heartbeat.
"""

CLEAN_UP_INTERVAL_MS = 10_000.0
STOP_FLUSH_S = 0.05


class Member:
    """The :class:`~pomelolane.ports.Membership` of a running VM.

    Args:
        context: State and components shared within the package.
        advertise: ``ip:port`` announced to other VMs, empty for the one listened on.
        vm_list: The platform's list of VMs, None where there is none.
        is_endpoint: Returns whether a listed id is that of an endpoint.
    """

    def __init__(
        self,
        context: MemberContext,
        advertise: str,
        vm_list: VmList | None,
        is_endpoint: Callable[[str], bool],
    ) -> None:
        self._context = context
        self._advertise = advertise
        self._exchange = DigestExchange(
            context, self._schedule_refresh, self._handle_digest
        )
        self._heartbeats = LocalHeartbeats(
            context,
            self._exchange.remote_hashes,
            self._handle_new_vm,
            self._handle_heartbeat,
        )
        self._leaving_broadcast = LeavingBroadcast(context, self._exchange)
        self._view_publisher = ViewPublisher(
            peer_from_heartbeat(self._heartbeats.own_heartbeat())
        )
        self._list_reader = vm_list and ListReader(
            vm_list,
            context,
            self._exchange,
            self._leaving_broadcast,
            is_endpoint,
            self._contact_listed,
        )
        self._on_versions: list[Callable[[str, Mapping[str, int]], None]] = []
        self._on_pause: list[Callable[[float], None]] = []
        self._on_tick: list[Callable[[], None]] = []
        self._tasks: list[asyncio.Task] = []
        self._refresh_scheduled = False
        self._next_heartbeat_ms = 0.0
        self._next_clean_up_ms = 0.0

    # --- live VMs -----------------------------------------------------------

    @property
    def transport(self) -> ZmqTransport:
        """Transport for messages to other VMs."""
        return self._context.transport

    @property
    def vm_id(self) -> str:
        """Id of this VM."""
        return self._context.vm_id

    @property
    def data_centre(self) -> str:
        """Data centre of this VM."""
        return self._context.data_centre

    @property
    def incarnation(self) -> int:
        """Number of this start of the VM, higher after each restart."""
        return self._context.incarnation

    @property
    def is_delegate(self) -> bool:
        """Whether this VM is a delegate of its data centre."""
        return self._exchange.is_delegate

    @property
    def is_stale(self) -> bool:
        """Whether the view is from before a pause of this process."""
        return self._context.pause.resumed_ms is not None

    def view(self) -> View:
        """Return the current view."""
        return self._view_publisher.view

    def on_change(self, callback: Callable[[View], None]) -> None:
        """Register a callback for changes of the view."""
        self._view_publisher.on_change(callback)

    def on_pause(self, callback: Callable[[float], None]) -> None:
        """Call ``callback(paused_ms)`` after a pause of this process."""
        self._on_pause.append(callback)

    def on_tick(self, callback: Callable[[], None]) -> None:
        """Register a callback for each tick, every :data:`TICK_S`."""
        self._on_tick.append(callback)

    def known_vms(self) -> int:
        """Return the number of known VMs, this one and silent ones included."""
        return len(self._context.contacts) + 1

    def local_peers(self) -> tuple[str, ...]:
        """Return the other live VMs of this data centre."""
        return tuple(each.vm_id for each in self._context.table.heartbeats())

    def remote_delegates(self) -> tuple[str, ...]:
        """Return the known delegates of the other data centres."""
        return tuple(self._exchange.remote_delegates())

    # --- messages -----------------------------------------------------------

    def send(self, vm_id: str, message: Message) -> bool:
        """Send a message through the transport."""
        return self.transport.send(vm_id, message)

    def subscribe(
        self, kind: type[Message], handler: Callable[[str, Message], None]
    ) -> None:
        """Register a handler for one class of messages."""
        self.transport.subscribe(kind, handler)

    # --- own state ----------------------------------------------------------

    def set_ready(self, ready: bool = True) -> None:
        """Announce whether this VM accepts callers' requests."""
        self._context.state.ready = ready
        self._schedule_refresh()

    def set_draining(self) -> None:
        """Announce that this VM is draining."""
        self._context.state.draining = True
        self._schedule_refresh()

    def set_versions(self, versions: Mapping[str, int]) -> None:
        """Announce the settings versions in force on this VM."""
        self._context.state.versions = dict(sorted(versions.items()))
        self._schedule_refresh()

    def on_versions(self, callback: Callable[[str, Mapping[str, int]], None]) -> None:
        """Call ``callback(vm_id, versions)`` for versions that others announce."""
        self._on_versions.append(callback)

    # --- leaving endpoints --------------------------------------------------

    def mark_leaving(self, endpoint_id: str, source: str) -> None:
        """Mark an endpoint as leaving and broadcast the mark at once."""
        self._leaving_broadcast.mark(endpoint_id, source)
        self._schedule_refresh()

    def clear_leaving(self, endpoint_id: str) -> None:
        """Remove a mark that this VM made."""
        self._context.marks.clear_own(endpoint_id)
        self._schedule_refresh()

    def leaving_endpoints(self) -> frozenset[str]:
        """Return the endpoints that any VM marks as leaving."""
        return self._context.marks.known

    def on_leaving(self, callback: Callable[[str, str], None]) -> None:
        """Call ``callback(endpoint_id, source)`` once for each new mark."""
        self._leaving_broadcast.on_leaving(callback)

    def on_returned(self, callback: Callable[[str], None]) -> None:
        """Call ``callback(endpoint_id)`` when no VM marks it any more."""
        self._leaving_broadcast.on_returned(callback)

    # --- lifecycle ----------------------------------------------------------

    async def start(self) -> None:
        """Start listening and sending heartbeats."""
        context = self._context
        await context.transport.start()
        context.state.address = self._advertise or context.transport.address
        context.pause.record_tick(context.clock.now_ms())
        self._refresh({})
        self._start_task(self._run())
        if self._list_reader is not None:
            self._start_task(self._list_reader.run())

    async def stop(self) -> None:
        """Announce the stop to the other VMs and close the connections."""
        context = self._context
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        context.state.draining = True
        context.state.stopped = True
        self._heartbeats.announce()
        self._exchange.publish()
        await asyncio.sleep(STOP_FLUSH_S)
        await context.transport.stop()

    def tick(self) -> None:
        """Run the due periodic work; called every :data:`TICK_S`."""
        context = self._context
        now_ms = context.clock.now_ms()
        for callback in self._on_tick:
            callback()
        self._check_pause(now_ms)
        context.pause.record_tick(now_ms)
        self._view_publisher.flush_log(now_ms)
        silent_ms = context.table.expire(now_ms)
        changed = self._exchange.expire(now_ms) or self._recover(now_ms)
        changed = changed or context.marks.has_overdue(now_ms)
        heartbeat_is_due = now_ms >= self._next_heartbeat_ms
        if silent_ms or changed or heartbeat_is_due:
            self._refresh(silent_ms)
        if heartbeat_is_due:
            self._send_heartbeats(now_ms)
        if now_ms >= self._next_clean_up_ms:
            self._clean_up(now_ms)

    def _start_task(self, coroutine: object) -> None:
        self._tasks.append(asyncio.get_running_loop().create_task(coroutine))

    async def _run(self) -> None:
        while True:
            try:
                self.tick()
            except Exception as error:
                log_event(TASK_FAILED, task="member", error=repr(error))
            await asyncio.sleep(TICK_S)

    def _send_heartbeats(self, now_ms: float) -> None:
        self._next_heartbeat_ms = now_ms + HEARTBEAT_INTERVAL_MS
        self._heartbeats.send_heartbeats(now_ms)
        if not self.is_stale:
            self._exchange.send_digests(now_ms)

    def _contact_listed(self) -> None:
        """Contact newly listed VMs now instead of at the next heartbeat."""
        self._send_heartbeats(self._context.clock.now_ms())

    def _clean_up(self, now_ms: float) -> None:
        self._next_clean_up_ms = now_ms + CLEAN_UP_INTERVAL_MS
        for vm_id in self._context.contacts.expire(now_ms):
            self.transport.disconnect(vm_id)
        self.transport.forget_silent()

    # --- changes ------------------------------------------------------------

    def _schedule_refresh(self) -> None:
        if self._refresh_scheduled or not self._tasks:
            return
        self._refresh_scheduled = True
        asyncio.get_running_loop().call_soon(self._run_scheduled_refresh)

    def _run_scheduled_refresh(self) -> None:
        self._refresh_scheduled = False
        self._refresh({})

    def _refresh(self, silent_ms: Mapping[str, float]) -> None:
        context = self._context
        now_ms = context.clock.now_ms()
        own = self._heartbeats.own_heartbeat()
        draining = {each.vm_id: each.draining for each in context.table.heartbeats()}
        draining[context.vm_id] = own.draining
        delegates = choose_delegates(context.data_centre, draining)
        self._exchange.set_role(context.vm_id in delegates, now_ms)
        self._leaving_broadcast.refresh()
        if self.is_stale:
            return
        peers = self._exchange.remote_peers()
        for heartbeat in context.table.heartbeats():
            peers[heartbeat.vm_id] = peer_from_heartbeat(heartbeat)
        peers[context.vm_id] = peer_from_heartbeat(own)
        self._view_publisher.replace(peers, silent_ms, now_ms)
        self._heartbeats.announce()
        self._exchange.publish()

    def _check_pause(self, now_ms: float) -> None:
        context = self._context
        pause_ms = context.pause.pause_ms(now_ms)
        if not pause_ms:
            return
        context.pause.begin_recovery(now_ms)
        context.table.restart_timeouts(now_ms)
        self._exchange.restart_timeouts(now_ms)
        log_event(VM_WOKE, paused_ms=pause_ms)
        self._heartbeats.announce(always=True)
        for callback in self._on_pause:
            callback(pause_ms)

    def _recover(self, now_ms: float) -> bool:
        """End the recovery after a pause; return whether it ends now."""
        resumed_ms = self._context.pause.resumed_ms
        if resumed_ms is None:
            return False
        backlog_ms = resumed_ms + BACKLOG_MS
        heard_all = self._context.table.all_heard_after(
            backlog_ms
        ) and self._exchange.all_heard_after(backlog_ms)
        if not heard_all and now_ms - resumed_ms <= DIGEST_TIMEOUT_MS:
            return False
        self._context.pause.end_recovery()
        return True

    # --- received messages --------------------------------------------------

    def _handle_new_vm(self, vm_id: str) -> None:
        # The digest gives a new VM the addresses of the others in its data centre.
        self._heartbeats.send_full(vm_id)
        self.transport.send(vm_id, self._exchange.own_digest(reply=True))

    def _handle_heartbeat(self, heartbeat: Heartbeat, is_full: bool) -> None:
        self._check_pause(self._context.clock.now_ms())
        self._exchange.record_remote_hashes(heartbeat)
        if is_full:
            self._notify_versions(heartbeat.vm_id, heartbeat.versions)
            self._schedule_refresh()
        elif (
            self._context.clock.now_ms() >= self._next_heartbeat_ms - HEARTBEAT_ALIGN_MS
        ):
            self._send_heartbeats(self._context.clock.now_ms())

    def _handle_digest(self, sender: str, digest: Digest) -> None:
        self._check_pause(self._context.clock.now_ms())
        self._notify_versions(sender, digest.versions)

    def _notify_versions(self, vm_id: str, versions: Mapping[str, int]) -> None:
        for callback in self._on_versions:
            callback(vm_id, versions)


def make_member(
    vm_id: str,
    data_centre: str,
    incarnation: int,
    *,
    host: str = "127.0.0.1",
    peer_port: int = 0,
    advertise: str = "",
    seeds: Sequence[Seed] = (),
    address_map: Mapping[str, str] | None = None,
    keys: ClusterKeys | None = None,
    vm_list: VmList | None = None,
    is_endpoint: Callable[[str], bool] = lambda listed_id: False,
    carries_per_s: int = 0,
    clock: Clock | None = None,
) -> Member:
    """Build the member of one VM and its transport.

    Args:
        vm_id: Id of this VM.
        data_centre: Data centre of this VM.
        incarnation: Number of this start, higher than any earlier one, such as the
            wall clock in milliseconds at the start.
        host: Address to listen on for other VMs.
        peer_port: Port to listen on for other VMs, 0 for any free one.
        advertise: ``ip:port`` announced to other VMs, empty for the one listened on.
        seeds: VMs given in the settings.
        address_map: Addresses by VM id, which override all others.
        keys: CURVE keys, None for unencrypted messages over loopback.
        vm_list: The platform's list of VMs, None where there is none.
        is_endpoint: Returns whether a listed id is that of an endpoint.
        carries_per_s: Requests per second that this VM can schedule, 0 if unknown.
        clock: Time source.
    """
    used_clock = clock or MonotonicClock()
    transport = make_transport(
        vm_id,
        incarnation,
        host=host,
        port=peer_port,
        seeds=seeds,
        address_map=address_map,
        keys=keys,
        clock=used_clock,
    )
    context = MemberContext(
        vm_id=vm_id,
        incarnation=incarnation,
        data_centre=data_centre,
        state=OwnState(carries_per_s=carries_per_s),
        transport=transport,
        contacts=Contacts(vm_id, seeds, transport.addresses),
        table=HeartbeatTable(),
        marks=LeavingMarks(),
        pause=PauseDetector(used_clock.now_ms()),
        clock=used_clock,
    )
    return Member(context, advertise, vm_list, is_endpoint)
