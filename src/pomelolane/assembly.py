"""Makes the parts of one VM from its settings and ties them together.

It is the one place that knows every part; each function makes one group.
"""

from __future__ import annotations

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
from pomelolane.gateway import (
    Dispatcher,
    Gateway,
    GatewayLimits,
    HolderQueries,
    KeyedCalls,
    RetryBudget,
)
from pomelolane.gateway.deferred import JobCalls
from pomelolane.gateway.jobwork import JobWork
from pomelolane.jobs import make_jobs
from pomelolane.membership import (
    RecordedMarks,
    cluster_keys_from_settings,
    make_member,
)
from pomelolane.parts import Parts
from pomelolane.quarantine import CrashNews, CrashWatch, Quarantine, RecordKeeper
from pomelolane.registry import ENDPOINT_ADAPTERS
from pomelolane.settings.distribution import make_distribution
from pomelolane.settings.store import SettingsStore
from pomelolane.store import (
    ClaimSweeper,
    GroupCommitter,
    ModelKeeper,
    ModelOrders,
    PacedPulls,
    make_claims,
    make_gathering_committer,
    make_leases,
    platform_from_url,
)
from pomelolane.store.crashrecord import TableCrashRecord
from pomelolane.store.orders import HttpOrderSender
from pomelolane.tree import CurrentTree

if TYPE_CHECKING:
    from collections.abc import Mapping

    from pomelolane.coordination import Coordination
    from pomelolane.jobs import Jobs
    from pomelolane.membership import Member
    from pomelolane.ports import Clock, EndpointAdapter
    from pomelolane.settings.options import ServeOptions
    from pomelolane.store import Committer, Platform, TableClaims


@dataclass(frozen=True, slots=True)
class _Ground:
    """What every group of parts stands on."""

    options: ServeOptions
    incarnation: int
    clock: Clock
    tree: CurrentTree
    platform: Platform
    member: Member


def make_parts(options: ServeOptions) -> Parts:
    """Make the parts of one VM."""
    ground = _make_ground(options)
    coordination = _make_coordination(ground)
    store = SettingsStore(ground.platform.table)
    adoption = TreeAdoption(ground.tree, options.address_map)
    distribution = make_distribution(
        ground.platform.table, store, ground.member, ground.clock
    )
    distribution.on_change(adoption.take_soon)
    pool = ConnectionPool()
    adapters = {kind: make(pool) for kind, make in ENDPOINT_ADAPTERS.items()}
    quarantine = Quarantine(ground.clock)
    crashes = CrashWatch(quarantine, pool, ground.tree, ground.clock, WallClock())
    ground.tree.on_change(lambda _: crashes.endpoints_changed())
    dispatcher = _make_dispatcher(ground, coordination, adapters, quarantine, crashes)
    ground.member.on_tick(dispatcher.timeouts.look)
    committer = _make_committer(ground)
    claims = _make_claims(ground, committer)
    keyed = _make_keyed(ground, claims, dispatcher, adapters)
    jobs = _make_jobs(ground, committer, claims, dispatcher, adapters)
    limits = GatewayLimits(options.max_body_bytes, options.body_timeout_ms)
    sender = HttpOrderSender()
    return Parts(
        options=options,
        incarnation=ground.incarnation,
        version=__version__,
        tree=ground.tree,
        platform=ground.platform,
        store=store,
        member=ground.member,
        marks=_make_marks(ground),
        distribution=distribution,
        background=BackgroundTasks(),
        coordination=coordination,
        dispatcher=dispatcher,
        claims=claims,
        keyed=keyed,
        gateway=Gateway(ground.tree, dispatcher, keyed, JobCalls(jobs.api), limits),
        jobs=jobs,
        sweeper=ClaimSweeper(
            ground.platform.table, ground.platform.objects, WallClock()
        ),
        keeper=_make_keeper(ground, coordination, sender),
        crash_record=_make_crash_record(ground, quarantine),
        order_sender=sender,
    )


def _make_dispatcher(
    ground: _Ground,
    coordination: Coordination,
    adapters: dict[str, EndpointAdapter],
    quarantine: Quarantine,
    crashes: CrashWatch,
) -> Dispatcher:
    return Dispatcher(
        ground.tree,
        coordination.client,
        adapters,
        RetryBudget(),
        quarantine,
        crashes,
        ground.clock,
        ground.options.data_centre,
        on_leaving=lambda endpoint: ground.member.mark_leaving(endpoint, "answer"),
    )


def _make_ground(options: ServeOptions) -> _Ground:
    clock = MonotonicClock()
    # Each start of a VM has a higher number than the one before; milliseconds
    # of the wall clock are enough, since a start takes longer than one.
    incarnation = time.time_ns() // 1_000_000
    tree = CurrentTree()
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
    return _Ground(options, incarnation, clock, tree, platform, member)


def _make_coordination(ground: _Ground) -> Coordination:
    member = ground.member
    coordination = make_coordination(
        ground.options.vm_id,
        ground.options.data_centre,
        member.transport,
        member,
        ground.clock,
        ground.options.policy,
        incarnation=ground.incarnation,
        on_endpoint_leaving=lambda endpoint: member.mark_leaving(endpoint, "engine"),
    )
    member.on_leaving(lambda endpoint, _: coordination.mark_leaving(endpoint))
    ground.tree.on_change(coordination.configure)
    return coordination


def _make_committer(ground: _Ground) -> Committer:
    """Return a group commit that a data centre's VMs share."""
    core = GroupCommitter(ground.platform.table, ground.clock)
    if ground.platform.is_embedded:
        return core
    return make_gathering_committer(
        core,
        ground.member.transport,
        ground.member,
        ground.options.vm_id,
        ground.options.data_centre,
        ground.clock,
    )


def _make_claims(ground: _Ground, committer: Committer) -> TableClaims:
    return make_claims(
        ground.platform.table,
        ground.options.vm_id,
        ground.incarnation,
        ground.clock,
        committer=committer,
    )


def _make_keyed(
    ground: _Ground,
    claims: TableClaims,
    dispatcher: Dispatcher,
    adapters: Mapping[str, EndpointAdapter],
) -> KeyedCalls:
    member = ground.member
    return KeyedCalls(
        claims,
        ground.platform.objects,
        dispatcher,
        HolderQueries(ground.options.vm_id, member.transport, member),
        ground.tree,
        adapters,
        ground.clock,
    )


def _make_jobs(
    ground: _Ground,
    committer: Committer,
    claims: TableClaims,
    dispatcher: Dispatcher,
    adapters: Mapping[str, EndpointAdapter],
) -> Jobs:
    objects = ground.platform.objects
    return make_jobs(
        ground.platform.table,
        objects,
        committer,
        claims,
        JobWork(dispatcher, objects, ground.tree, adapters),
        ground.member,
        vm_id=ground.options.vm_id,
        incarnation=ground.incarnation,
        region=ground.options.region,
        data_centre=ground.options.data_centre,
        clock=ground.clock,
    )


def _make_keeper(
    ground: _Ground, coordination: Coordination, sender: HttpOrderSender
) -> ModelKeeper:
    platform = ground.platform
    leases = make_leases(platform.table, ground.options.vm_id, ground.clock)
    pulls = PacedPulls(platform.weights, ground.clock)
    return ModelKeeper(
        ModelOrders(leases, sender, pulls),
        sender,
        lambda: ground.tree.value,
        coordination.waiting,
        coordination.schedules,
    )


def _make_crash_record(ground: _Ground, quarantine: Quarantine) -> RecordKeeper:
    member = ground.member
    news = CrashNews(ground.options.vm_id, member, member.transport, quarantine)
    return RecordKeeper(
        TableCrashRecord(ground.platform.table, WallClock()),
        quarantine,
        lambda: member.is_delegate,
        news.pass_on,
    )


def _make_marks(ground: _Ground) -> RecordedMarks:
    tree = ground.tree

    def may_exist(endpoint_id: str) -> bool:
        return not tree.ready or endpoint_id in tree.value.endpoints

    return RecordedMarks(ground.platform.table, ground.member, may_exist, WallClock())
