"""One VM that forwards: listeners, member, scheduling, and its planned stop."""

from __future__ import annotations

import asyncio
import contextlib
from dataclasses import dataclass
from typing import TYPE_CHECKING

from pomelolane import events
from pomelolane.clock import WallClock
from pomelolane.coordination import make_coordination
from pomelolane.coordination.options import Timings
from pomelolane.endpoints import ConnectionPool
from pomelolane.forwarding.app import CallerApp, ProbeApp
from pomelolane.forwarding.budget import RetryAllowance, SharedRetryBudget
from pomelolane.forwarding.departures import SaidDepartures
from pomelolane.forwarding.forwarder import Forwarder
from pomelolane.forwarding.intake import Intake
from pomelolane.forwarding.ledger import Ledger
from pomelolane.forwarding.notices import Notices
from pomelolane.forwarding.sender import Sender
from pomelolane.forwarding.told import ToldUses
from pomelolane.forwarding.tree import tree_from_configuration
from pomelolane.forwarding.usenews import UseNews
from pomelolane.http.listener import Listener, listening_socket
from pomelolane.logs import log_event
from pomelolane.membership import make_member, reads_for_others
from pomelolane.quarantine import CrashNews, CrashWatch, Quarantine, RecordKeeper
from pomelolane.rollouts import RolloutBounds, Rollouts

if TYPE_CHECKING:
    import socket
    from collections.abc import Callable

    from pomelolane.forwarding.configuration import CurrentConfiguration
    from pomelolane.forwarding.endpoints import EndpointDirectory
    from pomelolane.forwarding.ledger import UseRecord
    from pomelolane.membership import ClusterKeys
    from pomelolane.ports import Clock, VmList
    from pomelolane.ports.forwarding import Dialect
    from pomelolane.quarantine import CrashRecord
    from pomelolane.rollouts import RolloutRecord

POLICY = "objective"
HEAD_TIMEOUT_MS = 3_000
CONNECT_TIMEOUT_MS = 400
"""Data centres are a millisecond apart; what takes longer is full or gone."""

MAX_IDLE_MS = 4_000
"""Idle connections are closed by endpoints after about 5 s and more."""

BALANCER_NOTICE_MS = 2_500
"""Two missed questions, one a second, take a VM out of the balancer."""

EXIT_RESERVE_MS = 700
"""Part of the time allowed for a stop that is kept to leave in order."""

LAST_RECORD_MS = 300
"""Longest time for the last record of use; the store answers in milliseconds."""

TIMINGS = Timings(
    reply_ms=150.0,
    waiting_sync_ms=300.0,
    fallback_ms=500.0,
    settle_ms=200.0,
    settle_lower_ms=100.0,
)
"""Callers wait for tenths of a second: a silent scheduler is left sooner."""


@dataclass(frozen=True, slots=True)
class NodeOptions:
    """What a forwarding VM is told of itself.

    Attributes:
        vm_id: Its id.
        data_centre: Where it stands.
        ip: Its address.
        front: ``ip:port`` for callers.
        probe: ``ip:port`` for the balancer and operators.
        peer_port: Port for the other VMs.
        grace_ms: Time allowed for a planned stop.
        retries: Repeated sends allowed over all VMs.
        rollouts: What a version that is not proved may get.
        carries_per_s: Requests a second that it can schedule.
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


class ForwardingNode:
    """A running VM.

    Args:
        options: What it is told of itself.
        incarnation: Number of this start, higher than any before.
        current: The configuration in force.
        directory: The endpoints.
        dialect: Names of headers.
        vm_list: Where other VMs are found.
        keys: Keys that the VMs prove to each other.
        record: Where organisations' use is kept.
        crash_record: Where reports of endpoints that crashed under requests are kept.
        rollout_record: Where states of roll-outs are kept.
        clock: Time.
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
        clock: Clock,
    ) -> None:
        self._options = options
        self._current = current
        self._directory = directory
        self._clock = clock
        self._pool = ConnectionPool(
            connect_timeout_ms=CONNECT_TIMEOUT_MS, max_idle_ms=MAX_IDLE_MS
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
        told = ToldUses(
            options.vm_id, incarnation, self.member, self.member.transport, clock
        )
        self.ledger = Ledger(self.coordination, record, told)
        self.use_news = UseNews(options.vm_id, self.coordination, told)
        self.quarantine = Quarantine(clock)
        self._crashes = CrashWatch(
            self.quarantine, self._pool, directory, clock, WallClock()
        )
        self._crash_news = CrashNews(
            options.vm_id, self.member, self.member.transport, self.quarantine
        )
        self.crash_record = RecordKeeper(
            crash_record,
            self.quarantine,
            lambda: reads_for_others(
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
        self._intake = Intake(dialect, clock)
        self.forwarder = Forwarder(
            self._intake,
            self.coordination.client,
            Sender(self._pool, dialect),
            directory,
            Notices(
                directory,
                SaidDepartures(directory, self.member),
                self.coordination.client,
            ),
            self._make_budget,
            self.quarantine,
            self._crashes,
            clock,
            options.data_centre,
        )
        self.member.on_tick(self.forwarder.timeouts.look)
        self._takes_part = False
        self._is_started = False
        self._handover: asyncio.Task[None] | None = None
        current.on_change(self._intake.adopt)
        current.on_change(lambda _: self._configure())
        directory.on_change(self._configure)
        directory.on_change(self._crashes.endpoints_changed)

    @property
    def is_ready(self) -> bool:
        """Whether callers should be sent here."""
        serves = self._is_started and self._intake.is_ready
        return serves and not self.forwarder.draining

    async def start(self) -> None:
        """Begin to meet the others."""
        await self.member.start()
        await self.coordination.start()

    def take_part(self) -> None:
        """Take part in scheduling.

        Only after the others were met: a VM that is alone in its view takes all roles,
        and lets pass of limits what each of a fleet that starts together lets pass.
        """
        self._takes_part = True
        self._configure()

    def take_callers(self) -> None:
        """Say that callers may come."""
        self._is_started = True
        self._intake.open()
        self.member.set_ready()
        log_event(
            events.VM_READY,
            vm=self._options.vm_id,
            branches=f"routes={self._current.version}",
        )

    def report(self) -> object:
        """Return what operators may want to see."""
        return {
            "vm": self._options.vm_id,
            "data_centre": self._options.data_centre,
            "ready": self.is_ready,
            "configuration_version": self._current.version,
            "endpoints": self._directory.all,
            "endpoints_age_ms": self._directory.age_ms,
            "open_requests": len(self.forwarder.open_calls),
            "peers": sorted(self.member.view().peers),
            "scheduling": self.coordination.status(),
            "rollouts": self.rollouts.figures(),
        }

    async def drain(self) -> None:
        """Hand over the roles while the balancer takes notice.

        Requests that come meanwhile are served, since callers still trust this
        VM; each answer ends its connection.
        """
        self.forwarder.draining = True
        self.member.set_draining()
        log_event(
            events.VM_DRAINING,
            vm=self._options.vm_id,
            open_requests=len(self.forwarder.open_calls),
        )
        self._handover = asyncio.create_task(self._hand_over())
        await asyncio.sleep(BALANCER_NOTICE_MS / 1000)

    async def _hand_over(self) -> None:
        """Record the use of limits for the next schedulers, and give up the roles.

        A store that does not answer must not use up the time for the stop.
        """
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(LAST_RECORD_MS / 1000):
                await self.ledger.save()
        await self.coordination.handover()

    async def finish(self, listener: Listener) -> None:
        """Finish what was accepted, in the time allowed."""
        left_ms = self._options.grace_ms - BALANCER_NOTICE_MS - EXIT_RESERVE_MS
        self.forwarder.stop_by(self._clock.now_ms() + left_ms)
        try:
            async with asyncio.timeout(left_ms / 1000):
                await self.forwarder.finish()
                await listener.stop()
        except TimeoutError:
            log_event(
                events.TASK_FAILED,
                task="drain",
                error=f"{len(self.forwarder.open_calls)} requests are still open",
            )

    async def stop(self) -> None:
        """Leave the others and close all connections."""
        if self._handover is not None:
            self._handover.cancel()
        await self.coordination.stop()
        await self.member.stop()
        self._pool.close()
        log_event(events.VM_STOPPED, vm=self._options.vm_id)

    def _configure(self) -> None:
        configuration = self._current.value
        if configuration is None or not self._takes_part:
            return
        usable = self.rollouts.mark_blocked(self._directory.all)
        tree = tree_from_configuration(configuration, usable)
        self.coordination.configure(tree)

    def _make_budget(self) -> SharedRetryBudget:
        return SharedRetryBudget(
            self._options.retries,
            lambda: len(self.member.view().peers),
            self._clock,
        )


async def listen_for_callers(
    node: ForwardingNode, address: str, sock: socket.socket | None = None
) -> Listener:
    """Start the callers' listener.

    Args:
        node: Serves them.
        address: Where, as ``ip:port``.
        sock: A socket that listens there already, if there is one.
    """
    return await _listen(CallerApp(node.forwarder), address, sock)


async def listen_for_probes(
    is_ready: Callable[[], bool], report: Callable[[], object], address: str
) -> Listener:
    """Start the listener for the balancer and operators."""
    return await _listen(ProbeApp(is_ready, report), address)


async def _listen(
    app: object, address: str, sock: socket.socket | None = None
) -> Listener:
    host, _, port = address.rpartition(":")
    listener = Listener(app, HEAD_TIMEOUT_MS)
    await listener.start(sock or listening_socket(host, int(port)))
    return listener
