"""Makes the parts of one VM from its settings and ties them together.

Nothing here decides anything; it is the one place that knows every part.
"""

from __future__ import annotations

import asyncio
import time
from dataclasses import dataclass
from typing import TYPE_CHECKING

import pomelolane.defaults  # noqa: F401  (registers the built-in plug-ins)
from pomelolane import __version__
from pomelolane.adoption import TreeAdoption
from pomelolane.background import BackgroundTasks
from pomelolane.clock import MonotonicClock, WallClock
from pomelolane.coordination import make_coordination
from pomelolane.endpoints import ConnectionPool
from pomelolane.exceptions import PlatformError
from pomelolane.gateway import (
    Dispatcher,
    Gateway,
    GatewayLimits,
    HolderQueries,
    KeyedCalls,
    RetryBudget,
)
from pomelolane.gateway.admin import Admin, AdminHooks
from pomelolane.gateway.deferred import JobCalls
from pomelolane.gateway.jobwork import JobWork
from pomelolane.gateway.operations import Operations
from pomelolane.jobs import make_jobs
from pomelolane.membership import cluster_keys_from_settings, make_member
from pomelolane.platform import (
    ClaimSweeper,
    GroupCommitter,
    make_claims,
    platform_from_url,
)
from pomelolane.registry import ENDPOINT_ADAPTERS
from pomelolane.settings.distribution import make_distribution
from pomelolane.settings.store import SettingsStore
from pomelolane.settings.tree import branch_content_from_directory
from pomelolane.statusboard import build_report
from pomelolane.tree import CurrentTree

if TYPE_CHECKING:
    from collections.abc import Callable

    from blacksheep import Application

    from pomelolane.coordination import Coordination
    from pomelolane.jobs import Jobs
    from pomelolane.membership import Member
    from pomelolane.platform import Platform, TableClaims
    from pomelolane.settings.distribution import Distribution
    from pomelolane.settings.options import ServeOptions


IMPORT_RETRY_S = 1.0


@dataclass(frozen=True, slots=True)
class Parts:
    """Everything that one VM consists of."""

    options: ServeOptions
    incarnation: int
    version: str
    tree: CurrentTree
    platform: Platform
    store: SettingsStore
    member: Member
    distribution: Distribution
    background: BackgroundTasks
    coordination: Coordination
    dispatcher: Dispatcher
    claims: TableClaims
    keyed: KeyedCalls
    gateway: Gateway
    jobs: Jobs
    sweeper: ClaimSweeper

    def is_ready(self) -> bool:
        """Tell whether the balancer should send callers here."""
        return self.gateway.ready

    def mount(self, app: Application, stop_soon: Callable[[], None]) -> None:
        """Add all routes to the application."""
        self.gateway.mount(app)
        Operations(self.gateway, self.is_ready, lambda: build_report(self)).mount(app)
        hooks = AdminHooks(
            stop_soon=stop_soon,
            mark_leaving=lambda endpoint: self.member.mark_leaving(
                endpoint, "operator"
            ),
            offer=self.distribution.offer,
        )
        Admin(self.store, self.gateway, self.tree, hooks).mount(app)

    async def start_background(self) -> None:
        """Follow the settings and begin the work that needs no caller."""
        await self.distribution.start()
        if self.options.tree:
            self.background.start("import", self._import_first())
        self.background.start("jobs", self._run_jobs())
        self.background.start("claims", self.sweeper.run())

    async def _import_first(self) -> None:
        """Store the declarations given at the start where there are none yet."""
        contents = branch_content_from_directory(self.options.tree)
        while True:
            try:
                await self.store.import_first(contents)
            except PlatformError:
                await asyncio.sleep(IMPORT_RETRY_S)
            else:
                return

    async def _run_jobs(self) -> None:
        await self.distribution.wait_synced()
        self.jobs.runner.start()

    async def finish_background(self) -> None:
        """Finish what was accepted."""
        await self.jobs.runner.drain(self.options.drain_timeout_ms)
        await self.keyed.drain()

    async def stop_background(self) -> None:
        """Stop the rest."""
        await self.background.stop()
        await self.distribution.stop()


async def make_parts(options: ServeOptions) -> Parts:
    """Make the parts of one VM."""
    clock = MonotonicClock()
    incarnation = time.time_ns() // 1_000_000
    tree = CurrentTree()
    adoption = TreeAdoption(tree, options.address_map)
    platform = platform_from_url(options.platform, clock)
    member = make_member(
        options.vm_id,
        options.data_centre,
        incarnation,
        host=options.host,
        peer_port=options.peer_port,
        advertise=options.advertise,
        seeds=options.seeds,
        address_map=options.address_map,
        keys=cluster_keys_from_settings(
            options.private_key_hex, options.public_key_hex, options.cluster_keys
        ),
        vm_list=None if platform.is_embedded else platform.vm_list,
        is_endpoint=lambda listed_id: listed_id in tree.value.endpoints,
        clock=clock,
    )
    coordination = make_coordination(
        options.vm_id,
        options.data_centre,
        member.transport,
        member,
        clock,
        options.policy,
        incarnation=incarnation,
        on_endpoint_leaving=lambda endpoint: member.mark_leaving(endpoint, "engine"),
    )
    member.on_leaving(lambda endpoint, _: coordination.mark_leaving(endpoint))
    tree.on_change(coordination.configure)
    store = SettingsStore(platform.table)
    distribution = make_distribution(platform.table, store, member, clock)
    distribution.on_change(adoption.take_soon)
    pool = ConnectionPool()
    adapters = {kind: make(pool) for kind, make in ENDPOINT_ADAPTERS.items()}
    dispatcher = Dispatcher(
        tree, coordination.client, adapters, RetryBudget(), clock, options.data_centre
    )
    committer = GroupCommitter(platform.table, clock)
    claims = make_claims(
        platform.table, options.vm_id, incarnation, clock, committer=committer
    )
    holders = HolderQueries(options.vm_id, member.transport, member)
    keyed = KeyedCalls(
        claims, platform.objects, dispatcher, holders, tree, adapters, clock
    )
    work = JobWork(dispatcher, platform.objects, tree, adapters)
    jobs = make_jobs(
        platform.table,
        platform.objects,
        committer,
        claims,
        work,
        member,
        vm_id=options.vm_id,
        incarnation=incarnation,
        region=options.region,
        data_centre=options.data_centre,
        clock=clock,
    )
    limits = GatewayLimits(options.max_body_bytes, options.body_timeout_ms)
    return Parts(
        options=options,
        incarnation=incarnation,
        version=__version__,
        tree=tree,
        platform=platform,
        store=store,
        member=member,
        distribution=distribution,
        background=BackgroundTasks(),
        coordination=coordination,
        dispatcher=dispatcher,
        claims=claims,
        keyed=keyed,
        gateway=Gateway(tree, dispatcher, keyed, JobCalls(jobs.api), limits),
        jobs=jobs,
        sweeper=ClaimSweeper(platform.table, platform.objects, WallClock()),
    )
