"""Puts the parts of one VM's job service together.

The parts share one store, one group commit and one set of claims.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from pomelolane.clock import MonotonicClock, WallClock
from pomelolane.jobs.api import JobApi
from pomelolane.jobs.liveness import HeartbeatWriter, RunnerWatch
from pomelolane.jobs.runner import JobRunner
from pomelolane.jobs.settings import JobSettings
from pomelolane.jobs.store import JobStore

if TYPE_CHECKING:
    from pomelolane.jobs.dispatcher import JobDispatcher
    from pomelolane.ports import Clock, Membership, ObjectStore, Table
    from pomelolane.store import Committer, TableClaims


@dataclass(frozen=True, slots=True)
class Jobs:
    """The job service of one VM.

    Attributes:
        api: Callers' operations.
        runner: Runs jobs; ``start`` and ``drain`` it with the process.
        store: Where jobs are.
    """

    api: JobApi
    runner: JobRunner
    store: JobStore


def make_jobs(
    table: Table,
    objects: ObjectStore,
    committer: Committer,
    claims: TableClaims,
    dispatcher: JobDispatcher,
    membership: Membership,
    *,
    vm_id: str,
    incarnation: int,
    region: str,
    data_centre: str,
    clock: Clock | None = None,
    wall: Clock | None = None,
    settings: JobSettings | None = None,
) -> Jobs:
    """Make the job service of one VM.

    Args:
        table: The platform's table.
        objects: The platform's object store.
        committer: Group commit, shared with the claims.
        claims: Guards idempotency keys, shared with direct calls.
        dispatcher: Runs requests on the gateway's path.
        membership: Who is alive.
        vm_id: This VM.
        incarnation: This start of it.
        region: Region of the jobs.
        data_centre: This VM's data centre.
        clock: Monotonic clock.
        wall: Time of day.
        settings: Times and bounds.
    """
    clock = clock or MonotonicClock()
    wall = wall or WallClock()
    settings = settings or JobSettings()
    store = JobStore(table, committer, objects, region)
    runner = JobRunner(
        store,
        dispatcher,
        membership,
        RunnerWatch(table, membership, clock, region, settings.lapse_ms),
        HeartbeatWriter(committer, region, vm_id, incarnation, wall),
        vm_id,
        incarnation,
        clock,
        wall,
        settings,
    )
    return Jobs(JobApi(store, claims, runner, data_centre, wall), runner, store)
