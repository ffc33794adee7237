"""A forwarding VM: cluster membership, scheduling, listeners and planned shutdown."""

from __future__ import annotations

import asyncio
import contextlib
import math
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from pomelolane import events
from pomelolane.clock import WallClock
from pomelolane.coordination import make_coordination
from pomelolane.coordination.timings import Timings
from pomelolane.endpoints import ConnectionPool
from pomelolane.forwarding import metrics
from pomelolane.forwarding.app import ExchangeApp, ProbeApp
from pomelolane.forwarding.budget import RetryAllowance, SharedRetryBudget
from pomelolane.forwarding.continuation import Continuation
from pomelolane.forwarding.departures import AnnouncedDepartures
from pomelolane.forwarding.estimate_keeper import EstimateKeeper
from pomelolane.forwarding.forwarder import Forwarder
from pomelolane.forwarding.intake import Intake
from pomelolane.forwarding.ledger import Ledger
from pomelolane.forwarding.looplag import EventLoopLag
from pomelolane.forwarding.notices import NoticeHandler
from pomelolane.forwarding.peer_relay import PeerRelay
from pomelolane.forwarding.peers import RelayPeers, relay_address
from pomelolane.forwarding.reach import EndpointReach
from pomelolane.forwarding.sender import Sender
from pomelolane.forwarding.tree import tree_from_configuration
from pomelolane.forwarding.usage_exchange import UsageExchange
from pomelolane.forwarding.usage_publisher import UsagePublisher
from pomelolane.http.connections import CallerBounds, CallerConnections
from pomelolane.http.listener import Listener
from pomelolane.http.sockets import listening_socket
from pomelolane.logs import log_event
from pomelolane.membership import is_store_reader, make_member
from pomelolane.membership.member import TICK_S
from pomelolane.quarantine import CrashNews, CrashWatch, Quarantine, RecordKeeper
from pomelolane.resumption import make_resumption
from pomelolane.rollouts import RolloutBounds, Rollouts

if TYPE_CHECKING:
    import socket
    from collections.abc import Callable, Sequence

    from pomelolane.forwarding.configuration import CurrentConfiguration
    from pomelolane.forwarding.endpoints import EndpointDirectory
    from pomelolane.forwarding.estimate_keeper import EstimateRecord
    from pomelolane.forwarding.ledger import UseRecord
    from pomelolane.membership import ClusterKeys
    from pomelolane.ports import Clock, VmList
    from pomelolane.ports.forwarding import Dialect
    from pomelolane.quarantine import CrashRecord
    from pomelolane.resumption import OriginStorage
    from pomelolane.rollouts import RolloutRecord

POLICY = "objective"
"""Name of the scheduling policy of forwarding VMs."""

HEAD_TIMEOUT_MS = 3_000
CONNECT_TIMEOUT_MS = 400
"""Data centres are about a millisecond apart; an endpoint that takes longer to accept a
connection is overloaded or gone."""

MAX_IDLE_MS = 4_000
"""Idle time after which a connection is not used again; endpoints close idle
connections after about 5 s or more."""

PEER_DEAD_AFTER_MS = 2_500
"""Time after which a VM that acknowledges nothing ends the relays to it; a VM that is
suspended still acknowledges."""

BALANCER_REMOVAL_MS = 2_500
"""The load balancer probes once a second and removes a VM after two failed probes."""

LEAVE_RESERVE_MS = 700
"""Part of the time allowed for a stop that is reserved for leaving the cluster."""

FINAL_SAVE_TIMEOUT_MS = 300
"""Longest time for saving the last usage records; the store answers in milliseconds."""

PROBE_BOUNDS = CallerBounds(max_connections=64, max_held_bytes=1024 * 1024)
"""Bounds on the load balancer's and the operators' connections to one listener."""

_METRICS_PERIOD_MS = 1_000.0

TIMINGS = Timings(
    reply_ms=150.0,
    waiting_sync_ms=300.0,
    fallback_ms=500.0,
    settle_ms=200.0,
    settle_lower_ms=100.0,
)
"""Shorter than the defaults: callers wait only tenths of a second, so a scheduler that
does not answer is replaced sooner."""


@dataclass(frozen=True, slots=True)
class NodeOptions:
    """Options of a forwarding VM.

    Attributes:
        vm_id: Id of the VM.
        data_centre: Data centre of the VM.
        ip: IP address of the VM.
        front: ``ip:port`` of the listener for callers.
        probe: ``ip:port`` of the listener for the load balancer and operators.
        peer_port: Port for connections from other VMs.
        grace_ms: Time allowed for a planned stop.
        retries: Retries allowed over all VMs.
        rollouts: Bounds on the requests sent to a version that is being rolled out.
        carries_per_s: Requests per second that the VM can schedule.
        caller_bounds: Bounds on the connections of callers and relaying VMs together.
    """

    vm_id: str
    data_centre: str
    ip: str
    front: str
    probe: str
    peer_port: int
    grace_ms: int
    retries: RetryAllowance
    rollouts: RolloutBounds
    carries_per_s: int = 0
    caller_bounds: CallerBounds = field(default_factory=CallerBounds)


class ForwardingNode:
    """A running forwarding VM.

    Args:
        options: Options of the VM.
        incarnation: Number of this start, higher than that of any earlier start.
        current: The configuration in force.
        directory: Known endpoints.
        dialect: Reads and writes the platform's headers.
        vm_list: Lists the other VMs.
        keys: Keys with which the VMs authenticate to each other.
        record: Storage of organisations' usage records.
        crash_record: Storage of reports of requests that crashed endpoints.
        rollout_record: Storage of the states of roll-outs.
        estimate_record: Storage of schedulers' estimates of endpoints.
        origin_storage: Storage of where open streams began.
        clock: Source of the current time.

    Attributes:
        caller_connections: Open connections of callers and relaying VMs.
    """

    def __init__(
        self,
        options: NodeOptions,
        incarnation: int,
        current: CurrentConfiguration,
        directory: EndpointDirectory,
        dialect: Dialect,
        vm_list: VmList,
        keys: ClusterKeys,
        record: UseRecord,
        crash_record: CrashRecord,
        rollout_record: RolloutRecord,
        estimate_record: EstimateRecord,
        origin_storage: OriginStorage,
        clock: Clock,
    ) -> None:
        self._options = options
        self.caller_connections = CallerConnections(options.caller_bounds, clock)
        self._current = current
        self._directory = directory
        self._clock = clock
        self._pool = ConnectionPool(
            connect_timeout_ms=CONNECT_TIMEOUT_MS, max_idle_ms=MAX_IDLE_MS
        )
        self._peer_pool = ConnectionPool(
            connect_timeout_ms=CONNECT_TIMEOUT_MS,
            max_idle_ms=MAX_IDLE_MS,
            dead_after_ms=PEER_DEAD_AFTER_MS,
        )
        self.member = make_member(
            options.vm_id,
            options.data_centre,
            incarnation,
            host=options.ip,
            peer_port=options.peer_port,
            vm_list=vm_list,
            keys=keys,
            carries_per_s=options.carries_per_s,
            clock=clock,
        )
        self.coordination = make_coordination(
            options.vm_id,
            options.data_centre,
            self.member.transport,
            self.member,
            clock,
            POLICY,
            timings=TIMINGS,
            incarnation=incarnation,
            polls_engines=False,
            known_vms=self.member.known_vms,
        )
        usage_exchange = UsageExchange(
            options.vm_id, incarnation, self.member, self.member.transport, clock
        )
        self.ledger = Ledger(self.coordination, record, usage_exchange)
        self.usage_publisher = UsagePublisher(
            options.vm_id, self.coordination, usage_exchange
        )
        # After the ledger, which sets the role's callbacks that the keeper extends.
        self.estimate_keeper = EstimateKeeper(
            options.vm_id,
            self.coordination,
            estimate_record,
            self.member.transport,
            clock,
        )
        self.reach = EndpointReach(directory, self._pool, clock, options.data_centre)
        self.quarantine = Quarantine(clock)
        self._crashes = CrashWatch(
            self.quarantine,
            self._pool,
            directory,
            clock,
            WallClock(),
            self.reach.check,
        )
        self._crash_news = CrashNews(
            options.vm_id, self.member, self.member.transport, self.quarantine
        )
        self.crash_record = RecordKeeper(
            crash_record,
            self.quarantine,
            lambda: is_store_reader(
                options.vm_id, options.data_centre, self.member.view()
            ),
            self._crash_news.pass_on,
        )
        self.rollouts = Rollouts(
            options.rollouts,
            rollout_record,
            self.coordination,
            lambda: directory.all,
        )
        self.rollouts.on_change = self._configure
        self._lag = EventLoopLag(TICK_S * 1000, clock)
        self._intake = Intake(dialect, clock, current, self._lag)
        sender = Sender(self._pool, self._peer_pool, dialect)
        resumption = make_resumption(
            options.vm_id,
            directory,
            self.member,
            self.member.transport,
            origin_storage,
            clock,
        )
        self.origin_keeper = resumption.keeper
        continuation = Continuation(resumption, directory, clock)
        relay_peers = RelayPeers(
            options.vm_id, options.data_centre, self.member.view, clock
        )
        self.forwarder = Forwarder(
            self._intake,
            self.coordination.client,
            sender,
            directory,
            NoticeHandler(
                directory,
                AnnouncedDepartures(directory, self.member),
                self.coordination.client,
            ),
            self._make_budget,
            self.quarantine,
            self._crashes,
            clock,
            options.data_centre,
            self.reach,
            PeerRelay(self.reach, relay_peers, sender, clock, continuation),
            continuation,
        )
        self.member.on_tick(self.forwarder.timeouts.look)
        self.member.on_tick(self.reach.tick)
        self.member.on_tick(self._publish_metrics)
        self._published_ms = -math.inf
        self._has_joined_scheduling = False
        self._is_started = False
        self._handover_task: asyncio.Task[None] | None = None
        current.on_change(self._intake.use_configuration)
        current.on_change(lambda _: self._configure())
        directory.on_change(self._configure)
        directory.on_change(self._crashes.endpoints_changed)

    @property
    def is_ready(self) -> bool:
        """Whether callers should be sent here."""
        serves = self._is_started and self._intake.is_ready
        return serves and not self.forwarder.draining

    async def start(self) -> None:
        """Connect to the other VMs."""
        await self.member.start()
        await self.coordination.start()

    def join_scheduling(self) -> None:
        """Take part in scheduling, after this VM has found the other VMs.

        A VM that sees no others takes all scheduler roles. If the VMs of a starting
        fleet all did so, each of them would admit requests up to the whole limits.
        """
        self._has_joined_scheduling = True
        self._configure()

    def accept_callers(self) -> None:
        """Accept callers' requests, and announce that this VM is ready."""
        self._is_started = True
        self._intake.open()
        self.member.set_ready()
        log_event(
            events.VM_READY,
            vm=self._options.vm_id,
            branches=f"routes={self._current.version}",
        )

    def report(self) -> object:
        """Return the status report for operators."""
        return {
            "vm": self._options.vm_id,
            "data_centre": self._options.data_centre,
            "ready": self.is_ready,
            "configuration_version": self._current.version,
            "configuration_age_ms": self._current.age_ms,
            "configuration_confirmed_age_ms": self._current.confirmation.age_ms,
            "event_loop_lag_ms": self._lag.largest_ms,
            "endpoints": self._directory.all,
            "endpoints_age_ms": self._directory.age_ms,
            "open_requests": len(self.forwarder.open_calls),
            "peers": sorted(self.member.view().peers),
            "scheduling": self.coordination.status(),
            "rollouts": self.rollouts.figures(),
        }

    async def drain(self) -> None:
        """Hand over the scheduler roles, and wait until no more callers are sent here.

        Requests that arrive meanwhile are served, and their connections are closed
        after the answer.
        """
        self.forwarder.draining = True
        self.member.set_draining()
        log_event(
            events.VM_DRAINING,
            vm=self._options.vm_id,
            open_requests=len(self.forwarder.open_calls),
        )
        self._handover_task = asyncio.create_task(self._hand_over())
        await asyncio.sleep(BALANCER_REMOVAL_MS / 1000)

    async def _hand_over(self) -> None:
        """Save the usage records for the next schedulers, and give up the roles.

        Saving has a timeout, so that a store that does not answer cannot use up the
        time allowed for the stop.
        """
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(FINAL_SAVE_TIMEOUT_MS / 1000):
                await self.ledger.save()
        await self.coordination.handover()

    async def finish(self, listeners: Sequence[Listener]) -> None:
        """Finish the accepted requests within the time allowed."""
        remaining_ms = self._options.grace_ms - BALANCER_REMOVAL_MS - LEAVE_RESERVE_MS
        self.forwarder.set_stop_time(self._clock.now_ms() + remaining_ms)
        try:
            async with asyncio.timeout(remaining_ms / 1000):
                await self.forwarder.finish()
                for listener in listeners:
                    await listener.stop()
        except TimeoutError:
            log_event(
                events.TASK_FAILED,
                task="drain",
                error=f"{len(self.forwarder.open_calls)} requests are still open",
            )

    async def stop(self) -> None:
        """Leave the cluster and close all connections."""
        if self._handover_task is not None:
            self._handover_task.cancel()
        await self.coordination.stop()
        await self.member.stop()
        self._pool.close()
        self._peer_pool.close()
        log_event(events.VM_STOPPED, vm=self._options.vm_id)

    def _configure(self) -> None:
        configuration = self._current.value
        if configuration is None or not self._has_joined_scheduling:
            return
        usable = self.rollouts.mark_blocked(self._directory.all)
        tree = tree_from_configuration(configuration, usable)
        self.coordination.configure(tree)

    def _publish_metrics(self) -> None:
        self._lag.record()
        now_ms = self._clock.now_ms()
        if now_ms - self._published_ms < _METRICS_PERIOD_MS:
            return
        self._published_ms = now_ms
        current = self._current
        metrics.set_configuration(
            current.version, current.age_ms, current.confirmation.age_ms
        )
        metrics.set_loop_lag(self._lag.largest_ms)

    def _make_budget(self) -> SharedRetryBudget:
        return SharedRetryBudget(
            self._options.retries,
            lambda: len(self.member.view().peers),
            self._clock,
        )


async def listen_for_callers(
    node: ForwardingNode, address: str, sock: socket.socket | None = None
) -> Listener:
    """Start the listener for callers.

    Args:
        node: VM that serves the callers.
        address: Address to listen on, as ``ip:port``.
        sock: Socket that already listens on it, None to open one.
    """
    app = ExchangeApp(node.forwarder.serve)
    return await _listen(app, address, node.caller_connections, sock)


async def listen_for_peers(node: ForwardingNode, ip: str, peer_port: int) -> Listener:
    """Start the listener for requests that other VMs relay.

    Args:
        node: VM that serves them.
        ip: IP address of the VM.
        peer_port: Port for messages of other VMs.
    """
    app = ExchangeApp(node.forwarder.serve_relayed)
    address = relay_address(f"{ip}:{peer_port}")
    return await _listen(app, address, node.caller_connections)


async def listen_for_probes(
    is_ready: Callable[[], bool], report: Callable[[], object], address: str
) -> Listener:
    """Start the listener for the load balancer and operators."""
    connections = CallerConnections(PROBE_BOUNDS)
    return await _listen(ProbeApp(is_ready, report), address, connections)


async def _listen(
    app: object,
    address: str,
    connections: CallerConnections,
    sock: socket.socket | None = None,
) -> Listener:
    host, _, port = address.rpartition(":")
    listener = Listener(app, HEAD_TIMEOUT_MS, connections)
    await listener.start(sock or listening_socket(host, int(port)))
    return listener
