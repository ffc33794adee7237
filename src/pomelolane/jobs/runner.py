"""The job runner of one VM: finds open jobs, claims them, carries them.

Any VM may run any job of the region. A job whose runner is gone is taken over
by compare-and-set; its engine's stream is resumed and never run again.
"""

from __future__ import annotations

import asyncio
import uuid
from dataclasses import replace
from typing import TYPE_CHECKING

from pomelolane.events import JOB_CLAIMED, JOB_TAKEN_OVER, TASK_FAILED
from pomelolane.exceptions import PlatformError
from pomelolane.jobs.execution import JobRun
from pomelolane.jobs.order import rank_of_vm
from pomelolane.jobs.record import JobRecord, JobState, StoredJob
from pomelolane.jobs.retention import JobKeeper
from pomelolane.logs import log_event

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Coroutine

    from pomelolane.jobs.changes import Change
    from pomelolane.jobs.dispatcher import JobDispatcher
    from pomelolane.jobs.liveness import HeartbeatWriter, RunnerWatch
    from pomelolane.jobs.settings import JobSettings
    from pomelolane.jobs.store import JobStore
    from pomelolane.ports import Clock, Membership

_HAND_OVER_MS = 2_000.0


class JobRunner:
    """Runs jobs on this VM.

    Args:
        store: Where jobs are.
        dispatcher: Runs requests.
        membership: Who is alive.
        watch: Judges other runners.
        heartbeat: Writes this runner's heartbeat.
        vm_id: This VM.
        incarnation: This start of it.
        clock: Monotonic clock.
        wall: Time of day, for deadlines and retention.
        settings: Times and bounds.
    """

    def __init__(
        self,
        store: JobStore,
        dispatcher: JobDispatcher,
        membership: Membership,
        watch: RunnerWatch,
        heartbeat: HeartbeatWriter,
        vm_id: str,
        incarnation: int,
        clock: Clock,
        wall: Clock,
        settings: JobSettings,
    ) -> None:
        self._store = store
        self._dispatcher = dispatcher
        self._membership = membership
        self._watch = watch
        self._heartbeat = heartbeat
        self._vm_id = vm_id
        self._incarnation = incarnation
        self._clock = clock
        self._wall = wall
        self._settings = settings
        self._keeper = JobKeeper(store, wall, settings)
        self._runs: dict[str, JobRun] = {}
        self._beginning: set[str] = set()
        self._seen_ms: dict[str, float] = {}
        self._avoid_until_ms: dict[str, float] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._loops: list[asyncio.Task[None]] = []
        self._draining = False

    @property
    def running(self) -> int:
        """Jobs that this VM carries."""
        return len(self._runs)

    # --- life

    def start(self) -> None:
        """Begin to scan, to beat and to tidy up, in the background."""
        self._loops = [
            asyncio.create_task(self._repeat(self.scan, self._scan_interval_ms)),
            asyncio.create_task(self._repeat(self.beat, self._beat_interval_ms)),
        ]

    async def drain(self, timeout_ms: float) -> None:
        """Stop before the process does: finish what runs, hand over the rest."""
        self._draining = True
        hand_over_ms = min(timeout_ms, _HAND_OVER_MS)
        waiting = [run for run in self._runs.values() if not run.record.is_placed]
        await _bounded(self._hand_over(waiting), hand_over_ms)
        if self._tasks:
            await asyncio.wait(set(self._tasks), timeout=timeout_ms / 1000.0)
        await _bounded(self._hand_over(list(self._runs.values())), hand_over_ms)
        for loop in self._loops:
            loop.cancel()

    async def _hand_over(self, runs: list[JobRun]) -> None:
        await asyncio.gather(*(run.hand_over() for run in runs))

    def nudge(self, stored: StoredJob) -> None:
        """Try for a job that was just accepted here."""
        if self._is_free() and stored.record.state is JobState.QUEUED:
            self._spawn(self._claim(stored))

    async def _repeat(
        self, step: Callable[[], Awaitable[None]], interval_ms: Callable[[], float]
    ) -> None:
        while True:
            try:
                await step()
            except PlatformError:
                self._watch.start_anew()
            except Exception as error:
                log_event(TASK_FAILED, task="jobs", error=repr(error))
            await asyncio.sleep(interval_ms() / 1000.0)

    def _scan_interval_ms(self) -> float:
        crowd = len(self._membership.view().peers) / self._settings.scan_vms
        return self._settings.scan_interval_ms * max(1.0, crowd)

    def _beat_interval_ms(self) -> float:
        return self._settings.beat_ms

    # --- steps

    async def beat(self) -> None:
        """Show that this runner lives, if it has anything to do.

        Raises:
            PlatformError: Perhaps not written.
        """
        if self._runs:
            await self._heartbeat.beat()

    async def scan(self) -> None:
        """Look once at all open jobs and do what is this VM's to do.

        Raises:
            PlatformError: The table does not answer.
        """
        jobs = await self._store.scan_open()
        self._note_seen(jobs)
        others = [job.record for job in jobs if self._is_run_elsewhere(job.record)]
        gone = await self._watch.gone(others)
        for job in jobs:
            self._consider(job, gone)
        if self._rank("keeper", "") == 0:
            await self._keeper.tidy(jobs)

    def _consider(self, job: StoredJob, gone: set[tuple[str, int]]) -> None:
        record = job.record
        if record.is_final:
            return
        if record.job_id in self._runs:
            if record.cancel_wanted:
                self._spawn(self._runs[record.job_id].want_cancel())
        elif not self._is_free() or not self._is_turn(record):
            return
        elif record.state is JobState.QUEUED:
            self._spawn(self._claim(job))
        elif self._is_own_orphan(record) or _runner(record) in gone:
            self._spawn(self._take_over(job))

    def _note_seen(self, jobs: list[StoredJob]) -> None:
        now_ms = self._clock.now_ms()
        ids = {job.record.job_id for job in jobs}
        self._seen_ms = {job: self._seen_ms.get(job, now_ms) for job in ids}
        self._avoid_until_ms = {
            job: until_ms
            for job, until_ms in self._avoid_until_ms.items()
            if until_ms > now_ms
        }

    def _is_turn(self, record: JobRecord) -> bool:
        if record.job_id in self._avoid_until_ms:
            return False
        rank = self._rank(record.job_id, record.data_centre)
        waited_ms = self._clock.now_ms() - self._seen_ms[record.job_id]
        return waited_ms >= rank * self._settings.stagger_ms

    def _rank(self, job_id: str, data_centre: str) -> int:
        view = self._membership.view()
        return rank_of_vm(view, self._vm_id, data_centre, job_id)

    def _is_free(self) -> bool:
        carried = len(self._runs) + len(self._beginning)
        return not self._draining and carried < self._settings.max_running

    def _is_run_elsewhere(self, record: JobRecord) -> bool:
        own = (self._vm_id, self._incarnation)
        return record.state is JobState.RUNNING and _runner(record) != own

    def _is_own_orphan(self, record: JobRecord) -> bool:
        own = (self._vm_id, self._incarnation)
        return record.state is JobState.RUNNING and _runner(record) == own

    # --- claiming

    async def _claim(self, job: StoredJob) -> None:
        """Take a queued job."""
        run = await self._begin(job)
        if run is not None:
            record = run.record
            log_event(JOB_CLAIMED, job=record.job_id, attempt=record.attempt)

    async def _take_over(self, job: StoredJob) -> None:
        """Take a running job whose runner is gone."""
        run = await self._begin(job)
        if run is not None:
            log_event(
                JOB_TAKEN_OVER,
                job=job.record.job_id,
                runner=job.record.runner_vm,
                placed=job.record.is_placed,
            )

    async def _begin(self, job: StoredJob) -> JobRun | None:
        """Take a job as it was seen; None where it changed or is in doubt.

        A take that turns out to have been made is found by a later scan.
        """
        job_id = job.record.job_id
        if job_id in self._beginning or job_id in self._runs:
            return None
        self._beginning.add(job_id)
        try:
            stored, taken = await self._store.change(job, self._taking(job.record))
        except PlatformError:
            return None
        finally:
            self._beginning.discard(job_id)
        return self._carry(stored) if taken else None

    def _taking(self, seen: JobRecord) -> Change:
        token = uuid.uuid4().hex

        def take(record: JobRecord) -> JobRecord | None:
            if record.run_token == token:
                return record
            if record.writes != seen.writes:
                return None
            return replace(
                record,
                state=JobState.RUNNING,
                runner_vm=self._vm_id,
                runner_incarnation=self._incarnation,
                run_token=token,
                attempt=record.attempt + (not record.is_placed),
            )

        return take

    def _carry(self, stored: StoredJob) -> JobRun:
        run = JobRun(
            stored,
            self._store,
            self._dispatcher,
            self._clock,
            self._wall,
            self._settings,
        )
        self._runs[stored.record.job_id] = run
        self._spawn(self._run(run))
        return run

    async def _run(self, run: JobRun) -> None:
        job_id = run.record.job_id
        try:
            await run.run()
        except Exception as error:
            log_event(TASK_FAILED, task=f"job_{job_id}", error=repr(error))
        finally:
            self._runs.pop(job_id, None)
            until_ms = self._clock.now_ms() + self._settings.avoid_ms
            self._avoid_until_ms[job_id] = until_ms

    def _spawn(self, work: Coroutine[None, None, None]) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


async def _bounded(work: Awaitable[None], timeout_ms: float) -> None:
    try:
        async with asyncio.timeout(timeout_ms / 1000.0):
            await work
    except TimeoutError:
        return


def _runner(record: JobRecord) -> tuple[str, int]:
    return record.runner_vm, record.runner_incarnation
