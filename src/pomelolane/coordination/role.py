"""The scheduler role of a VM: a queue for each service that it is chosen for.

The membership view alone decides who holds the role; there is no vote. Two holders at
the same time can overload endpoints but never run a request twice.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from pomelolane.coordination import epochs
from pomelolane.coordination.scope import reachable_data_centres, scoped_tree
from pomelolane.coordination.service_queues import ServiceQueues
from pomelolane.events import SCHEDULER_ROLE
from pomelolane.logs import log_event
from pomelolane.messages import (
    LimitsHeard,
    Message,
    NotScheduler,
    Progress,
    ReservationsHeld,
    Submit,
    Sync,
    SyncAck,
    Unfollow,
    Withdraw,
)
from pomelolane.model import Tree

if TYPE_CHECKING:
    from collections.abc import Callable

    from pomelolane.coordination.chooser import Chooser
    from pomelolane.coordination.service_queue import ServiceQueue
    from pomelolane.coordination.timings import Timings
    from pomelolane.ports import Clock, Peer, SchedulingCore, Transport

ROLE_MESSAGES = (
    Submit,
    Sync,
    Progress,
    Withdraw,
    Unfollow,
    LimitsHeard,
    ReservationsHeld,
)
"""Kinds of messages that a scheduler handles from gateways."""

_SPARE_PART = 0.5
"""Part of the allowance beyond a limit that new schedulers may use, all together.

It applies until they have read their predecessors' usage record, which takes a few
hundredths of a second. One quarter is left for usage that the predecessors did not
record, another for gateways that use local queues.
"""


class SchedulerRole:
    """Schedules the services for which this VM is chosen.

    Args:
        vm_id: This VM.
        data_centre: Data centre of this VM.
        chooser: Chooses the scheduler of each service.
        transport: Sends messages to gateways.
        clock: Source of the current time.
        make_core: Creates the core of a service.
        timings: Timeouts and periods.

    Attributes:
        on_misdirected: Called with a service when a gateway mistakes this VM for its
            scheduler.
        on_taken: Called with a service when the role is taken.
        on_left: Called with a service when the role is given up.
    """

    def __init__(
        self,
        vm_id: str,
        data_centre: str,
        chooser: Chooser,
        transport: Transport,
        clock: Clock,
        make_core: Callable[[str], SchedulingCore],
        timings: Timings,
    ) -> None:
        self._vm_id = vm_id
        self._data_centre = data_centre
        self._chooser = chooser
        self._transport = transport
        self._clock = clock
        self._make_core = make_core
        self._timings = timings
        self._tree = Tree()
        self._service_queues = ServiceQueues(
            self._core_of,
            transport.send,
            clock,
            timings,
            lambda followers: 1.0,
            chooser.visible_share,
            self._slot_owners_for,
        )
        self._lingering_since_ms: dict[str, float] = {}
        self._cores: dict[str, SchedulingCore] = {}
        self._gateways: dict[str, Peer] = {}
        self._known_gateways: frozenset[str] = frozenset()
        self._data_centres: frozenset[str] = frozenset()
        self.on_misdirected: Callable[[str], None] = _ignore
        self.on_taken: Callable[[str], None] = _ignore
        self.on_left: Callable[[str], None] = _ignore
        chooser.on_change(self.refresh)

    # --- called by Coordination -------------------------------------------

    def configure(self, tree: Tree) -> None:
        """Apply a settings tree."""
        self._tree = tree
        self._service_queues.keep_marks_of(tree.endpoints)
        for service in [
            name for name in self.service_queues() if name not in tree.services
        ]:
            self._close(service)
        self._data_centres = frozenset()
        self.refresh()

    def mark_leaving(self, endpoint_id: str) -> None:
        """Stop granting an endpoint."""
        self._service_queues.mark_leaving(endpoint_id)

    def mark_returned(self, endpoint_id: str) -> None:
        """Remove the leaving mark of an endpoint."""
        self._service_queues.mark_returned(endpoint_id)

    def tick(self) -> None:
        """Run the queues and close those that no gateway follows any more."""
        self._service_queues.tick()
        for service in list(self._lingering_since_ms):
            if not self._is_followed(service):
                self._close(service)

    def _slot_owners_for(self, followers: frozenset[str]) -> tuple[str, ...]:
        """Return the VMs that share a queue's slots, this one first.

        If no other VM follows this one, the others may be cut off from it and follow
        another scheduler, so all gateways in the view share the slots.
        """
        if followers <= {self._vm_id}:
            return self._chooser.gateways_own_first()
        return (self._vm_id,)

    def service_queue(self, service: str) -> ServiceQueue | None:
        """Return the queue of a service that this VM schedules, None otherwise."""
        if service in self._lingering_since_ms:
            return None
        return self._service_queues.get(service)

    def service_queues(self) -> dict[str, ServiceQueue]:
        """Return all queues by service, including those about to close."""
        return self._service_queues.by_service()

    def is_followed_by_others(self) -> bool:
        """Return whether any other VM still follows this one."""
        own = frozenset({self._vm_id})
        return any(
            service_queue.followers() - own
            for service_queue in self._service_queues.all()
        )

    def refresh(self) -> None:
        """Take and give up roles as the current view requires."""
        self._update_scope()
        self._drop_lost_gateways()
        self._settle_for_joined()
        for service in self._tree.services:
            is_chosen = self._chooser.scheduler(service) == self._vm_id
            if is_chosen and self.service_queue(service) is None:
                self._acquire_role(service)
            elif not is_chosen and self.service_queue(service) is not None:
                self._release_role(service)

    # --- messages ---------------------------------------------------------

    def receive(self, gateway: str, message: Message) -> None:
        """Handle a message from a gateway."""
        self._chooser.note_alive(gateway)
        match message:
            case Sync(epoch=epochs.PING):
                self._transport.send(gateway, SyncAck(epochs.PING, message.service))
            case Submit():
                self._handle_submit(gateway, message)
            case Sync() | Unfollow() | LimitsHeard() | ReservationsHeld():
                self._dispatch(gateway, message, message.service)
            case Progress() | Withdraw():
                for service_queue in self._service_queues.all():
                    service_queue.receive(gateway, message)

    def _handle_submit(self, gateway: str, message: Submit) -> None:
        """Split a submit by service; usually it contains just one."""
        handles = [*message.waiting, *(one.handle for one in message.running)]
        services = {handle.service for handle in handles}
        if len(services) == 1:
            self._dispatch(gateway, message, services.pop())
            return
        for service in services:
            waiting = tuple(h for h in message.waiting if h.service == service)
            running = tuple(r for r in message.running if r.handle.service == service)
            self._dispatch(gateway, Submit(message.epoch, waiting, running), service)

    def _dispatch(self, gateway: str, message: Message, service: str) -> None:
        service_queue = self._service_queues.get(service)
        if service_queue is not None:
            service_queue.receive(gateway, message)
        elif not isinstance(message, Unfollow | LimitsHeard | ReservationsHeld):
            self._decline(gateway, message.epoch, service)

    def _decline(self, gateway: str, epoch: int, service: str) -> None:
        known = service in self._tree.services
        chosen = self._chooser.scheduler(service) if known else ""
        self._transport.send(gateway, NotScheduler(epoch, service, chosen))
        if known:
            self.on_misdirected(service)

    # --- acquiring and releasing roles ------------------------------------

    def _acquire_role(self, service: str) -> None:
        log_event(SCHEDULER_ROLE, service=service, held=True)
        self._lingering_since_ms.pop(service, None)
        service_queue = self._service_queues.open(service, self._scoped_tree())
        service_queue.account.assume_used(_SPARE_PART / len(self._tree.services))
        service_queue.settle(self._chooser.gateways())
        self.on_taken(service)

    def _settle_for_joined(self) -> None:
        """Settle again if gateways that have joined may hold unknown requests.

        A VM that has just started takes roles before it sees the other VMs. Requests of
        its own gateway must not overtake those that wait at the others.
        """
        gateways = self._chooser.gateways()
        joined = gateways - self._known_gateways
        self._known_gateways = gateways
        for service in self._tree.services if joined else ():
            service_queue = self.service_queue(service)
            if service_queue is not None and service_queue.followers() <= {self._vm_id}:
                service_queue.settle(gateways)

    def _core_of(self, service: str) -> SchedulingCore:
        """Return a service's core, reused whenever the role is taken again."""
        core = self._cores.get(service)
        if core is None:
            core = self._make_core(service)
            self._cores[service] = core
        return core

    def _release_role(self, service: str) -> None:
        log_event(SCHEDULER_ROLE, service=service, held=False)
        self._lingering_since_ms[service] = self._clock.now_ms()
        self.on_left(service)

    def _is_followed(self, service: str) -> bool:
        if not self.service_queues()[service].followers():
            return False
        if self._chooser.is_stopping:
            return True
        since_ms = self._clock.now_ms() - self._lingering_since_ms[service]
        return since_ms < self._timings.linger_ms

    def _close(self, service: str) -> None:
        self._lingering_since_ms.pop(service, None)
        self._service_queues.close(service)

    # --- view changes -----------------------------------------------------

    def _scoped_tree(self) -> Tree:
        return scoped_tree(self._tree, self._data_centres)

    def _update_scope(self) -> None:
        view = self._chooser.view()
        data_centres = reachable_data_centres(view, self._data_centre)
        if data_centres == self._data_centres:
            return
        self._data_centres = data_centres
        self._service_queues.configure(self._scoped_tree())

    def _drop_lost_gateways(self) -> None:
        peers = dict(self._chooser.view().peers)
        for vm_id, before in self._gateways.items():
            now = peers.get(vm_id)
            if now is None or now.incarnation != before.incarnation:
                for service_queue in self._service_queues.all():
                    service_queue.drop_gateway(vm_id)
        self._gateways = peers


def _ignore(service: str) -> None:
    """Do nothing; the default callback."""
