"""One VM on the users' platform, from its settings file to its planned stop."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
from typing import TYPE_CHECKING

from pomelolane import __version__, events
from pomelolane.background import BackgroundTasks
from pomelolane.clock import MonotonicClock
from pomelolane.forwarding import CurrentConfiguration, EndpointDirectory
from pomelolane.forwarding.node import (
    ForwardingNode,
    NodeOptions,
    listen_for_callers,
    listen_for_peers,
    listen_for_probes,
)
from pomelolane.forwarding.scheduling_capacity import scheduling_capacity_per_s
from pomelolane.logs import log_event
from pomelolane.meeting import meet_others
from pomelolane.platform.configurationwatch import ConfigurationWatch
from pomelolane.platform.crashrecord import StoreCrashRecord
from pomelolane.platform.dialect import PlatformDialect
from pomelolane.platform.early import NODE_FILE_VARIABLE
from pomelolane.platform.endpointwatch import EndpointWatch
from pomelolane.platform.errors import DocumentError, StoreUnavailableError
from pomelolane.platform.estimaterecord import StoreEstimateRecord
from pomelolane.platform.nodefile import node_file_from_path
from pomelolane.platform.originrecord import StoreOriginRecord
from pomelolane.platform.rolloutrecord import StoreRolloutRecord
from pomelolane.platform.roster import VmRoster
from pomelolane.platform.seriespace import SeriesPace
from pomelolane.platform.storeclient import StoreClient
from pomelolane.platform.userecord import StoreUseRecord

if TYPE_CHECKING:
    import socket

    from pomelolane.http.listener import Listener
    from pomelolane.platform.nodefile import NodeFile
from pomelolane.platform.roster import FirstContact

METRICS_PORT = 9464
"""Port of the metrics address in deploy/system.toml."""

METRICS_PORT_VARIABLE = "POMELOLANE_METRICS_PORT"
"""Environment variable for another port of the metrics address, 0 for any."""

MEETING_QUIET_MS = 150.0
"""How long the view of a starting VM must stand still: VMs that start together
enter the roster within 0.1 s of each other, and callers wait."""

MEETING_MS = 600.0
"""How long it waits at most: callers leave a VM that has not read them after a
second, and 0.1 s goes by before."""

_CONFIRMED_SHARE = 0.8
"""Part of the time in which a configuration must be in force after which requests wait
until it is confirmed; VMs hear of it within half of that time."""

_FIRST_PAUSE_S = 0.1
_LONGEST_PAUSE_S = 1.0


class PlatformHost:
    """Runs a forwarding VM on the platform.

    Args:
        path: The settings file.
        sock: A socket that listens for callers already, if there is one.

    Raises:
        DocumentError: The settings file cannot be read.
    """

    def __init__(self, path: str, sock: socket.socket | None) -> None:
        self._path = path
        self._early = sock
        self._file = self._read_file()
        self._clock = MonotonicClock()
        self._store = StoreClient(self._file.store_address)
        self._current = CurrentConfiguration(
            self._clock,
            max_age_ms=_CONFIRMED_SHARE * self._file.apply_ms,
            expiry_ms=self._file.apply_ms,
        )
        self._directory = EndpointDirectory(self._clock)
        self._background = BackgroundTasks()
        self._stopping = asyncio.Event()
        self._node: ForwardingNode | None = None
        self._fronts: list[Listener] = []
        self._probes: list[Listener] = []

    def stop_soon(self) -> None:
        """Begin the planned stop; a second call changes nothing."""
        self._stopping.set()

    def reload(self) -> None:
        """Read the settings file again; what it says of a running VM stays."""
        try:
            self._read_file()
        except DocumentError as error:
            log_event(events.CONFIGURATION_REJECTED, error=error, version="file")

    async def run(self) -> None:
        """Serve until stopped."""
        file = self._file
        metrics_port = os.environ.get(METRICS_PORT_VARIABLE, str(METRICS_PORT))
        for address in (file.ready, f"{file.ip}:{metrics_port}"):
            self._probes.append(
                await listen_for_probes(self._is_ready, self._report, address)
            )
        starting = asyncio.create_task(self._start())
        stopping = asyncio.create_task(self._stopping.wait())
        await asyncio.wait({starting, stopping}, return_when=asyncio.FIRST_COMPLETED)
        if starting.done():
            starting.result()
            await stopping
        await self._stop(starting)

    async def _start(self) -> None:
        file = self._file
        peer_address = f"{file.ip}:{file.peer_port}"
        roster = VmRoster(
            self._store, self._clock, file.vm_id, file.data_centre, peer_address
        )
        watch = EndpointWatch(self._store, self._directory, self._current, self._clock)
        contact = await self._first_contact(roster)
        # By the store's steady clock: the time of day may jump between two starts.
        incarnation = contact.now_ms + 1
        self._node = node = ForwardingNode(
            _options(file),
            incarnation,
            self._current,
            self._directory,
            PlatformDialect(),
            roster,
            contact.keys,
            StoreUseRecord(self._store, file.vm_id, incarnation),
            StoreCrashRecord(self._store),
            StoreRolloutRecord(self._store),
            StoreEstimateRecord(self._store),
            StoreOriginRecord(self._store, file.vm_id),
            self._clock,
        )
        member = node.member
        watch.share(file.vm_id, file.data_centre, member, member.transport)
        self._background.keep_running("endpoints", watch.run)
        self._background.keep_running("list of VMs", roster.keep)
        configuration = ConfigurationWatch(
            self._store,
            self._current,
            self._clock,
            file.limit_window,
            SeriesPace(file.apply_ms, file.link_mbps),
        )
        configuration.share(file.vm_id, file.data_centre, member, member.transport)
        configuration.on_orders = node.rollouts.adopt
        watch.on_regained(configuration.refresh)
        watch.on_came_back(roster.store_came_back)
        self._current.confirmation.on_wanted(configuration.ask_now)
        self._background.keep_running("configuration", configuration.run)
        await node.start()
        self._background.keep_running("ask for configuration", configuration.ask_others)
        self._background.keep_running("ask for endpoints", watch.ask_others)
        self._background.keep_running("read crashes", node.crash_record.read)
        self._background.keep_running("write crashes", node.crash_record.write)
        self._background.keep_running("ledger", node.ledger.run)
        self._background.keep_running("use_news", node.usage_publisher.run)
        self._background.keep_running("estimates", node.estimate_keeper.run)
        self._background.keep_running("rollouts", node.rollouts.run)
        self._background.keep_running("origins", node.origin_keeper.run)
        sock, self._early = self._early, None
        self._background.keep_running("reach", node.reach.run)
        self._fronts.append(await listen_for_callers(node, file.front, sock))
        if file.has_relay_port:
            self._fronts.append(await listen_for_peers(node, file.ip, file.peer_port))
        log_event(
            events.VM_STARTED,
            vm=file.vm_id,
            data_centre=file.data_centre,
            incarnation=incarnation,
            address=file.front,
            version=__version__,
        )
        await meet_others(
            node.member, MEETING_QUIET_MS, MEETING_MS, listed=roster.vm_ids
        )
        await self._directory.wait_until_known()
        await self._current.wait_until_known()
        node.join_scheduling()
        await node.ledger.wait_until_loaded()
        await node.crash_record.loaded()
        await node.origin_keeper.wait_until_loaded()
        node.accept_callers()

    async def _first_contact(self, roster: VmRoster) -> FirstContact:
        pause_s = _FIRST_PAUSE_S
        while True:
            try:
                return await roster.first_contact()
            except StoreUnavailableError as error:
                log_event(events.STORE_LOST, what="start", error=error, age_ms=0)
            self._refuse_early()
            await asyncio.sleep(pause_s)
            pause_s = min(_LONGEST_PAUSE_S, 2 * pause_s)

    def _refuse_early(self) -> None:
        """Listen no more: the start takes longer than callers would wait."""
        if self._early is not None:
            self._early.close()
            self._early = None

    async def _stop(self, starting: asyncio.Task[None]) -> None:
        starting.cancel()
        if self._node is not None:
            await self._node.drain()
        if self._node is not None and self._fronts:
            await self._node.finish(self._fronts)
        for listener in self._probes:
            await listener.stop()
        await self._background.stop()
        if self._node is not None:
            await self._node.stop()
        self._store.close()

    def _is_ready(self) -> bool:
        return self._node is not None and self._node.is_ready

    def _report(self) -> object:
        report = {"store_calls": self._store.calls}
        return report if self._node is None else report | self._node.report()

    def _read_file(self) -> NodeFile:
        file = node_file_from_path(self._path)
        log_event(
            events.SETTINGS_FILE_READ,
            vm=file.vm_id,
            data_centre=file.data_centre,
            role=file.role,
            front=file.front,
            peers=file.peer_port,
        )
        return file


async def serve_on_platform(sock: socket.socket | None) -> None:
    """Run a VM by the settings file that the environment names.

    Args:
        sock: A socket that listens for callers already, if there is one.

    Raises:
        DocumentError: There is none, or it cannot be read.
    """
    path = os.environ.get(NODE_FILE_VARIABLE)
    if not path:
        raise DocumentError(f"{NODE_FILE_VARIABLE} is not set")
    host = PlatformHost(path, sock)
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, host.stop_soon)
    loop.add_signal_handler(signal.SIGHUP, host.reload)
    sys.stdout.flush()
    await host.run()


def _options(file: NodeFile) -> NodeOptions:
    return NodeOptions(
        vm_id=file.vm_id,
        data_centre=file.data_centre,
        ip=file.ip,
        front=file.front,
        probe=file.ready,
        peer_port=file.peer_port,
        grace_ms=file.grace_ms,
        retries=file.retries,
        rollouts=file.rollouts,
        carries_per_s=scheduling_capacity_per_s(file.core_share, file.link_mbps),
        caller_bounds=file.caller_bounds,
    )
