"""Several job runners over one table and one engine, all in one process."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field

from pomelolane.clock import ManualClock, MonotonicClock
from pomelolane.exceptions import EndpointRefusedError, StreamGoneError
from pomelolane.jobs import JobRequest, JobSettings, make_jobs
from pomelolane.jobs.record import decode_job
from pomelolane.outcomes import Outcome, Reason, Refusal
from pomelolane.ports import Peer, View
from pomelolane.store import (
    EmbeddedObjectStore,
    EmbeddedTable,
    GroupCommitter,
    make_claims,
)
from tests.faults import FaultyTable

SETTINGS = JobSettings(
    scan_interval_ms=5,
    stagger_ms=5,
    beat_ms=5,
    lapse_ms=60,
    placing_timeout_ms=500,
    refusal_pause_ms=(1, 5),
    resume_patience_ms=2_000,
    resume_pause_ms=5,
    gone_answers=3,
    avoid_ms=10,
)
DAY_MS = 24 * 3600 * 1000.0


class Membership:
    """A view that tests set."""

    def __init__(self) -> None:
        self.peers: dict[str, Peer] = {}

    def view(self):
        """Return the current view."""
        return View(1, dict(self.peers))

    def on_change(self, callback):
        """Ignore; runners poll the view."""


class Engine:
    """Counts what ran and keeps streams until it forgets them."""

    def __init__(self) -> None:
        self.runs: list[str] = []
        self.streams: dict[str, bytes] = {}
        self.used: set[str] = set()
        self.open = asyncio.Event()
        self.open.set()
        self.cut = 0
        self.is_reachable = True

    async def answer(self, stream_id: str) -> bytes | Refusal:
        """Deliver a stream whole, or cut it."""
        if not self.is_reachable:
            raise EndpointRefusedError("unreachable")
        if stream_id not in self.streams:
            raise StreamGoneError(stream_id)
        await self.open.wait()
        if self.cut or stream_id not in self.streams:
            self.cut = max(0, self.cut - 1)
            return Refusal(Outcome.CUT_SHORT, Reason.ENDPOINT_BROKEN)
        return self.streams[stream_id]


class Dispatcher:
    """The gateway's path as one VM has it."""

    def __init__(self, vm_id: str, engine: Engine) -> None:
        self.vm_id = vm_id
        self.engine = engine
        self.refusals = 0
        self.reason = Reason.QUEUE_FULL
        self.grants = asyncio.Event()
        self.grants.set()
        self.thaw = asyncio.Event()
        self.thaw.set()
        self.waiting = 0

    async def dispatch(self, job, body, on_placed):
        """Wait for a slot, place, run and answer."""
        self.waiting += 1
        try:
            await self.grants.wait()
        finally:
            self.waiting -= 1
        if self.refusals:
            self.refusals -= 1
            return Refusal(Outcome.NOT_RUN, self.reason, 1)
        stream_id = f"{job.job_id}-{job.attempt}"
        await self.thaw.wait()
        await on_placed("e1", stream_id)
        assert stream_id not in self.engine.used, stream_id
        self.engine.used.add(stream_id)
        self.engine.runs.append(job.job_id)
        self.engine.streams[stream_id] = answer_to(body)
        return await self.engine.answer(stream_id)

    async def resume(self, job):
        """Read the stream again."""
        await self.thaw.wait()
        return await self.engine.answer(job.stream_id)

    async def cancel(self, job):
        """Stop the stream."""
        self.engine.streams.pop(job.stream_id, None)
        self.engine.open.set()


def answer_to(body: bytes) -> bytes:
    """Return the answer that belongs to a body."""
    return b"answer to " + body


@dataclass
class JobVm:
    """One VM's job service with its view of the table."""

    vm_id: str
    table: FaultyTable
    dispatcher: Dispatcher
    claims: object
    jobs: object
    tasks: set = field(default_factory=set)

    def kill(self) -> None:
        """End all that the VM's runner does, at once."""
        runner = self.jobs.runner
        for task in [*runner._loops, *runner._tasks]:
            task.cancel()
        runner._draining = True


class World:
    """VMs, table, engine and time of one scenario."""

    def __init__(self, vm_ids: str = "ab", settings: JobSettings = SETTINGS) -> None:
        self.inner = EmbeddedTable()
        self.objects = EmbeddedObjectStore()
        self.membership = Membership()
        self.wall = ManualClock(1_000_000.0)
        self.engine = Engine()
        self.settings = settings
        self.vms = {vm_id: self._make(vm_id) for vm_id in vm_ids}

    def _make(self, vm_id: str) -> JobVm:
        clock = MonotonicClock()
        table = FaultyTable(self.inner)
        committer = GroupCommitter(table, clock, spacing_ms=1, lazy_ms=1, probe_ms=1)
        claims = make_claims(
            table, vm_id, 1, clock, committer=committer, wall=self.wall
        )
        dispatcher = Dispatcher(vm_id, self.engine)
        self.membership.peers[vm_id] = Peer(vm_id, 1, "dc", "")
        jobs = make_jobs(
            table,
            self.objects,
            committer,
            claims,
            dispatcher,
            self.membership,
            vm_id=vm_id,
            incarnation=1,
            region="r",
            data_centre="dc",
            clock=clock,
            wall=self.wall,
            settings=self.settings,
        )
        return JobVm(vm_id, table, dispatcher, claims, jobs)

    def start(self) -> None:
        """Start all runners."""
        for vm in self.vms.values():
            vm.jobs.runner.start()

    def stop(self) -> None:
        """End everything."""
        for vm in self.vms.values():
            vm.kill()

    def kill(self, vm_id: str) -> None:
        """Kill a VM and take it out of the view."""
        self.vms[vm_id].kill()
        self.membership.peers.pop(vm_id, None)

    async def record(self, job_id: str):
        """Read a job past all faults."""
        table = self.inner
        for prefix in ("jobs/open/r/", "jobs/kept/r/"):
            for row in await table.scan(prefix + job_id):
                return decode_job(row.value)
        return None


def request(body=b"body", *, key="", idempotent=False, deadline_ms=DAY_MS):
    """Make a job request of organisation ``org``."""
    return JobRequest(
        organisation="org",
        service="s",
        work="summary",
        tier="low",
        idempotent=idempotent,
        deadline_ms=deadline_ms,
        body=body,
        body_digest=body.hex(),
        key=key,
    )
