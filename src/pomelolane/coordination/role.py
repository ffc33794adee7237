"""The scheduler role of a VM: a desk for each service that it is chosen for.

The role is taken and left by the view alone; no vote is held, and two holders
at one time cost crowding and never a second run.
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

ROLE_MESSAGES = (Submit, Sync, Progress, Withdraw, Unfollow, LimitsHeard)
"""Kinds of messages that a scheduler takes from gateways."""

_SPARE_PART = 0.5
"""Part of what is allowed beside a limit that new schedulers of all services together
let pass before they have read the record of those before them, a few hundredths of a
second; a quarter is for what those let pass unrecorded, another for gateways that go
alone."""


class SchedulerRole:
    """Schedules the services for which this VM is chosen.

    Args:
        vm_id: This VM.
        data_centre: Where it stands.
        chooser: Says which services are this VM's.
        transport: Way to the gateways.
        clock: Time.
        make_core: Makes the core of a service.
        timings: Bounds.
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

    # --- the facade -------------------------------------------------------

    def configure(self, tree: Tree) -> None:
        """Adopt a settings tree."""
        self._tree = tree
        self._service_queues.keep_marks_of(tree.endpoints)
        for service in [
            name for name in self.service_queues() if name not in tree.services
        ]:
            self._close(service)
        self._data_centres = frozenset()
        self.refresh()

    def mark_leaving(self, endpoint_id: str) -> None:
        """Grant nothing more to an endpoint."""
        self._service_queues.mark_leaving(endpoint_id)

    def mark_returned(self, endpoint_id: str) -> None:
        """Take back a mark."""
        self._service_queues.mark_returned(endpoint_id)

    def tick(self) -> None:
        """Drive the desks, and end those that nobody follows any more."""
        self._service_queues.tick()
        for service in list(self._lingering_since_ms):
            if not self._is_followed(service):
                self._close(service)

    def _slot_owners_for(self, followers: frozenset[str]) -> tuple[str, ...]:
        """Return the VMs among which a desk's slots are dealt, this one first.

        A VM that sees others of which none follows it may be the one that is
        cut off, while they follow a scheduler of their own.
        """
        if followers <= {self._vm_id}:
            return self._chooser.gateways_own_first()
        return (self._vm_id,)

    def service_queue(self, service: str) -> ServiceQueue | None:
        """Return the desk of a service that this VM is chosen for."""
        if service in self._lingering_since_ms:
            return None
        return self._service_queues.get(service)

    def service_queues(self) -> dict[str, ServiceQueue]:
        """Return all desks by service, those about to end included."""
        return self._service_queues.by_service()

    def is_followed_by_others(self) -> bool:
        """Tell whether any other VM still follows this one."""
        own = frozenset({self._vm_id})
        return any(
            service_queue.followers() - own
            for service_queue in self._service_queues.all()
        )

    def refresh(self) -> None:
        """Compare the roles with the view."""
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
        """Take a message of a gateway."""
        self._chooser.note_alive(gateway)
        match message:
            case Sync(epoch=epochs.PING):
                self._transport.send(gateway, SyncAck(epochs.PING, message.service))
            case Submit():
                self._handle_submit(gateway, message)
            case Sync() | Unfollow() | LimitsHeard():
                self._dispatch(gateway, message, message.service)
            case Progress() | Withdraw():
                for service_queue in self._service_queues.all():
                    service_queue.receive(gateway, message)

    def _handle_submit(self, gateway: str, message: Submit) -> None:
        """Give each service of a submit to its desk; as a rule it is one."""
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
        elif not isinstance(message, Unfollow | LimitsHeard):
            self._decline(gateway, message.epoch, service)

    def _decline(self, gateway: str, epoch: int, service: str) -> None:
        known = service in self._tree.services
        chosen = self._chooser.scheduler(service) if known else ""
        self._transport.send(gateway, NotScheduler(epoch, service, chosen))
        if known:
            self.on_misdirected(service)

    # --- taking and leaving -----------------------------------------------

    def _acquire_role(self, service: str) -> None:
        log_event(SCHEDULER_ROLE, service=service, held=True)
        self._lingering_since_ms.pop(service, None)
        service_queue = self._service_queues.open(service, self._scoped_tree())
        service_queue.account.assume_used(_SPARE_PART / len(self._tree.services))
        service_queue.settle(self._chooser.gateways())
        self.on_taken(service)

    def _settle_for_joined(self) -> None:
        """Settle again where those that join may hold what nobody has told.

        A VM that has just started takes the role before it sees the others;
        what its own gateway holds must not go past what waits with theirs.
        """
        gateways = self._chooser.gateways()
        joined = gateways - self._known_gateways
        self._known_gateways = gateways
        for service in self._tree.services if joined else ():
            service_queue = self.service_queue(service)
            if service_queue is not None and service_queue.followers() <= {self._vm_id}:
                service_queue.settle(gateways)

    def _core_of(self, service: str) -> SchedulingCore:
        """Return a service's core, the same one each time the role is taken."""
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

    # --- the view ---------------------------------------------------------

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
    """Stand in until the gateway's side is there to be asked."""
