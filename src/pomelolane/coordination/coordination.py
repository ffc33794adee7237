"""One VM's scheduler client, scheduler role and local queues.

Everything runs on the event loop that ``start`` is called on.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from pomelolane.clock import SteadyClock
from pomelolane.coordination.chooser import Chooser
from pomelolane.coordination.client import CLIENT_MESSAGES, GatewayClient
from pomelolane.coordination.epochs import Epochs
from pomelolane.coordination.local_queues import LocalQueues
from pomelolane.coordination.paced_limits import make_paced_limit_logger
from pomelolane.coordination.reservations import LapseLogger
from pomelolane.coordination.role import ROLE_MESSAGES, SchedulerRole
from pomelolane.coordination.scope import reachable_data_centres, scoped_tree
from pomelolane.coordination.status import (
    CoordinationStatus,
    link_status,
    service_queue_status,
)
from pomelolane.coordination.stragglers import StragglerLogger
from pomelolane.coordination.tickets import LinkContext
from pomelolane.coordination.timings import LOCAL, Timings
from pomelolane.events import ENDPOINT_LEAVING, TASK_FAILED
from pomelolane.logs import log_event
from pomelolane.model import Tree
from pomelolane.registry import PLACEMENT_POLICIES, lookup

if TYPE_CHECKING:
    from collections.abc import Callable

    from pomelolane.coordination.limit_account import LimitAccount
    from pomelolane.coordination.reports import ReportPoller
    from pomelolane.coordination.service_queue import ServiceQueue
    from pomelolane.messages import Message
    from pomelolane.model import Endpoint
    from pomelolane.ports import Clock, Membership, SchedulingCore, Transport

SHARED_POLICIES = frozenset({"pomelolane", "single_queue", "objective"})
"""Policies with one queue per service; the others decide at each gateway."""

_SPLIT_POLICIES = frozenset({"gateway_queues"})


class Coordination:
    """A VM's client, scheduler role and local queues, and the task that ticks them.

    Use :func:`make_coordination`.

    Attributes:
        client: The scheduler client of this VM's gateway.
        role: The scheduler role of this VM.
        poller: Polls the engines of the services that this VM schedules, if enabled.
    """

    def __init__(
        self,
        vm_id: str,
        data_centre: str,
        transport: Transport,
        membership: Membership,
        clock: Clock,
        policy: str,
        timings: Timings,
        incarnation: int,
        make_core: Callable[[str], SchedulingCore],
        address_of: Callable[[Endpoint], str],
        on_endpoint_leaving: Callable[[str], None],
        polls_engines: bool,
        known_vms: Callable[[], int],
    ) -> None:
        self._vm_id = vm_id
        self._data_centre = data_centre
        self._transport = transport
        self._policy = policy
        self._timings = timings
        self._clock = clock
        self._on_endpoint_leaving = on_endpoint_leaving
        self._tree = Tree()
        self._leaving: set[str] = set()
        self._reported_leaving: set[str] = set()
        self._tasks: list[asyncio.Task] = []
        self._handed_over = asyncio.Event()
        self._straggler_logger = StragglerLogger(clock)
        self._paced_limit_logger = make_paced_limit_logger(clock)
        self._lapse_logger = LapseLogger(clock)
        self._chooser = Chooser(vm_id, membership, clock)
        # Timeouts of other VMs must not expire while this process is paused.
        steady = self._steady = SteadyClock(clock, self._handle_resume)
        self._counted_pauses_ms = 0.0
        # The role is notified of changes first, so that a gateway which follows
        # its own VM finds the service queue there.
        self.role = SchedulerRole(
            vm_id, data_centre, self._chooser, transport, steady, make_core, timings
        )
        self._local = LocalQueues(
            vm_id,
            self._take_local_reply,
            steady,
            make_core,
            timings,
            lambda: 1.0 / max(self._chooser.max_visible(), known_vms()),
            self._slot_owners_for,
        )
        self._chooser.on_change(self._configure_local)
        self.client = GatewayClient(self._link_context(clock, incarnation))
        self.role.on_misdirected = self.client.probe
        self.poller = self._make_poller(clock, address_of) if polls_engines else None
        self._subscribe()

    def _handle_resume(self) -> None:
        """Hold grants and refusals after a pause until gateways have registered.

        Requests that arrived meanwhile may have been served elsewhere; they must not
        displace those that still wait here.
        """
        paused_ms = self._steady.paused_ms - self._counted_pauses_ms
        self._counted_pauses_ms = self._steady.paused_ms
        gateways = self._chooser.gateways()
        for service_queue in self.role.service_queues().values():
            service_queue.settle(gateways)
            service_queue.account_for_pause(paused_ms)
        for service_queue in self._local.service_queues().values():
            service_queue.account_for_pause(paused_ms)

    def _link_context(self, clock: Clock, incarnation: int) -> LinkContext:
        return LinkContext(
            vm_id=self._vm_id,
            chooser=self._chooser,
            epochs=Epochs(incarnation),
            clock=clock,
            timings=self._timings,
            send=self._send,
            defer=_defer,
            share=self._share,
            always_local=self._policy not in SHARED_POLICIES,
        )

    # --- settings ---------------------------------------------------------

    def configure(self, tree: Tree) -> None:
        """Apply a settings tree."""
        self._tree = tree
        self._leaving &= set(tree.endpoints)
        if self._is_shared:
            self.role.configure(tree)
        self._configure_local()
        self.client.configure(tree)

    def mark_leaving(self, endpoint_id: str) -> None:
        """Stop granting and using an endpoint; repeated calls are ignored."""
        if endpoint_id in self._leaving:
            return
        self._leaving.add(endpoint_id)
        self.client.mark_leaving(endpoint_id)
        self.role.mark_leaving(endpoint_id)
        self._local.mark_leaving(endpoint_id)

    def mark_returned(self, endpoint_id: str) -> None:
        """Remove a leaving mark: no VM reports the endpoint as leaving any more."""
        if endpoint_id not in self._leaving:
            return
        self._leaving.discard(endpoint_id)
        self.client.mark_returned(endpoint_id)
        self.role.mark_returned(endpoint_id)
        self._local.mark_returned(endpoint_id)

    def _make_poller(
        self, clock: Clock, address_of: Callable[[Endpoint], str]
    ) -> ReportPoller:
        # The import of its HTTP client is slow and not needed without polling.
        from pomelolane.coordination.reports import (
            PollerOptions,
            ReportPoller,
        )

        options = PollerOptions(address_of, self._engine_leaving)
        return ReportPoller(self._polled_service_queues, clock, options)

    # --- lifecycle --------------------------------------------------------

    async def start(self) -> None:
        """Start ticking and polling engines."""
        self._tasks = [asyncio.create_task(self._tick_forever())]
        if self.poller is not None:
            self._tasks.append(asyncio.create_task(self.poller.run()))

    async def stop(self) -> None:
        """Stop ticking and polling."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self._tasks = []

    async def handover(self) -> None:
        """Give up all roles; return when no other gateway follows this VM."""
        self._chooser.stop()
        self._handed_over.clear()
        self._check_handover()
        await self._handed_over.wait()

    def tick(self) -> None:
        """Tick the client and the role, as the task of ``start`` does."""
        self.tick_client()
        self.tick_role()

    def tick_client(self) -> None:
        """Check deadlines and whether the followed schedulers reply."""
        self._chooser.tick()
        self.client.tick()

    def tick_role(self) -> None:
        """Run all service queues of the role and the local ones."""
        self.role.tick()
        self._local.tick()
        self._check_handover()
        polled = self._polled_service_queues()
        self._straggler_logger.check(polled)
        self._paced_limit_logger.check(polled)
        self._lapse_logger.check(polled)

    def schedules(self, service: str) -> bool:
        """Return whether this VM is the scheduler of a service."""
        return self.role.service_queue(service) is not None

    def schedulers(self) -> dict[str, str]:
        """Return the VM that schedules each service, as this VM sees it."""
        return {name: self._chooser.scheduler(name) for name in self._tree.services}

    def successor(self, service: str) -> str:
        """Return the VM that takes over if a service's scheduler fails, or ''."""
        return self._chooser.successor(service)

    def standbys(self, service: str) -> frozenset[str]:
        """Return the VMs that take over if the scheduler or a data centre is lost."""
        return self._chooser.standbys(service)

    def incarnation_of(self, vm_id: str) -> int:
        """Return a VM's incarnation number, 0 while it is not in the view."""
        return self._chooser.incarnation_of(vm_id)

    def local_accounts(self) -> dict[str, LimitAccount]:
        """Return the limit usage of this VM's local queues, by service."""
        return self._local.accounts()

    def waiting(self, service: str) -> int:
        """Return how many requests wait in this VM's queue of a service."""
        service_queue = self.role.service_queue(service)
        return (
            sum(1 for _ in service_queue.request_table.waiting())
            if service_queue is not None
            else 0
        )

    def status(self) -> CoordinationStatus:
        """Return the state that operators can inspect."""
        links = self.client.links()
        now_ms = self._clock.now_ms()
        service_queues = [
            *self.role.service_queues().values(),
            *self._local.service_queues().values(),
        ]
        roles = [
            name for name in self.role.service_queues() if self.role.service_queue(name)
        ]
        return CoordinationStatus(
            links=tuple(link_status(links[name], now_ms) for name in sorted(links)),
            roles=tuple(sorted(roles)),
            service_queues=tuple(
                service_queue_status(service_queue) for service_queue in service_queues
            ),
            suspects=self._chooser.suspects(),
        )

    # --- internals --------------------------------------------------------

    @property
    def _is_shared(self) -> bool:
        return self._policy in SHARED_POLICIES

    def _subscribe(self) -> None:
        for kind in ROLE_MESSAGES:
            self._transport.subscribe(kind, self.role.receive)
        for kind in CLIENT_MESSAGES:
            self._transport.subscribe(kind, self.client.receive)

    def _send(self, scheduler: str, service: str, message: Message) -> bool:
        if scheduler == LOCAL:
            return self._local.receive(service, message)
        return self._transport.send(scheduler, message)

    def _take_local_reply(self, message: Message) -> None:
        self.client.receive(LOCAL, message)

    def _slot_owners_for(self) -> tuple[str, ...]:
        return self._chooser.gateways_own_first() if self._is_shared else ()

    def _share(self) -> float:
        if self._policy not in _SPLIT_POLICIES:
            return 1.0
        return 1.0 / len(self._chooser.gateways())

    def _configure_local(self) -> None:
        view = self._chooser.view()
        data_centres = reachable_data_centres(view, self._data_centre)
        self._local.configure(scoped_tree(self._tree, data_centres), self._share())

    def _polled_service_queues(self) -> list[ServiceQueue]:
        held = [self.role.service_queue(name) for name in self.role.service_queues()]
        return [*filter(None, held), *self._local.service_queues().values()]

    def _check_handover(self) -> None:
        if not self.role.is_followed_by_others():
            self._handed_over.set()

    def _engine_leaving(self, endpoint_id: str) -> None:
        """Mark an engine that reports itself as leaving, and publish it once.

        Only VMs that published a mark repeat it. The engine's current scheduler has to
        be one of them, or the mark would vanish with the VM that published it first.
        """
        if endpoint_id not in self._leaving:
            log_event(ENDPOINT_LEAVING, endpoint=endpoint_id, source="engine")
            self.mark_leaving(endpoint_id)
        if endpoint_id not in self._reported_leaving:
            self._reported_leaving.add(endpoint_id)
            self._on_endpoint_leaving(endpoint_id)

    @property
    def period_ms(self) -> float:
        """Time until the next tick in ms, longer while this VM is idle."""
        service_queues = self.role.service_queues() or self._local.service_queues()
        if service_queues or self.client.is_waiting:
            return self._timings.client_tick_ms
        return self._timings.idle_tick_ms

    async def _tick_forever(self) -> None:
        # Half a client tick of tolerance, as sleeps last a little too long.
        role_ms = self._timings.role_tick_ms - self._timings.client_tick_ms / 2
        role_ticked_ms = 0.0
        while True:
            await asyncio.sleep(self.period_ms / 1000)
            now_ms = self._clock.now_ms()
            try:
                self.tick_client()
                if now_ms - role_ticked_ms >= role_ms:
                    role_ticked_ms = now_ms
                    self.tick_role()
            except Exception as error:  # a failed tick must not stop later ones
                log_event(TASK_FAILED, task="coordination", error=repr(error))


def make_coordination(
    vm_id: str,
    data_centre: str,
    transport: Transport,
    membership: Membership,
    clock: Clock,
    policy: str = "pomelolane",
    *,
    timings: Timings | None = None,
    incarnation: int | None = None,
    make_core: Callable[[str], SchedulingCore] | None = None,
    address_of: Callable[[Endpoint], str] | None = None,
    on_endpoint_leaving: Callable[[str], None] | None = None,
    polls_engines: bool = True,
    known_vms: Callable[[], int] | None = None,
) -> Coordination:
    """Return the coordination of one VM under a placement policy.

    Args:
        vm_id: This VM.
        data_centre: Data centre of this VM.
        transport: Sends messages to other VMs; those to this VM loop back.
        membership: Source of the view of live VMs.
        clock: Source of the current time.
        policy: Name in ``registry.PLACEMENT_POLICIES``.
        timings: Timeouts and periods, by default those of ``Timings``.
        incarnation: Incarnation number of this VM; by default the view's.
        make_core: Creates the core of a service; by default the registry's
            factory of the policy.
        address_of: Returns this VM's address of an endpoint; by default the declared
            one.
        on_endpoint_leaving: Called when an engine reports itself as leaving.
        polls_engines: Whether engines are polled for load and cache events.
        known_vms: Returns how many VMs may exist, alive or not. All of them may use
            local queues at the same time, even VMs that this one has never seen.
    """
    if incarnation is None:
        own = membership.view().peers.get(vm_id)
        incarnation = own.incarnation if own is not None else 0
    return Coordination(
        vm_id,
        data_centre,
        transport,
        membership,
        clock,
        policy,
        timings or Timings(),
        incarnation,
        make_core or lookup(PLACEMENT_POLICIES, policy),
        address_of or _declared_address,
        on_endpoint_leaving or _ignore,
        polls_engines,
        known_vms or _one_known_vm,
    )


def _one_known_vm() -> int:
    """Return the default count if VMs are known only from the view."""
    return 1


def _declared_address(endpoint: Endpoint) -> str:
    return endpoint.address


def _ignore(endpoint_id: str) -> None:
    """Do nothing; the default callback."""


def _defer(function: Callable[[], None]) -> None:
    asyncio.get_running_loop().call_soon(function)
