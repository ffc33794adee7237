"""One run of one job, from its claim to its end in the table.

Each step that others must not repeat is a compare-and-set first: to run it, to
send it to an endpoint, to end it.
"""

from __future__ import annotations

import asyncio
import contextlib
from dataclasses import replace
from typing import TYPE_CHECKING

from pomelolane.events import (
    JOB_FINISHED,
    JOB_LOST,
    JOB_QUEUED_AGAIN,
    JOB_RESUMED,
    JOB_UNSAVED,
)
from pomelolane.exceptions import (
    EndpointError,
    EndpointRefusedError,
    JobLostError,
    PlatformError,
    PomelolaneError,
    StreamGoneError,
)
from pomelolane.jobs import changes
from pomelolane.jobs.changes import JobEnd
from pomelolane.jobs.record import JobState
from pomelolane.logs import log_event
from pomelolane.outcomes import Outcome, Reason, Refusal
from pomelolane.store.backoff import Backoff

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from pomelolane.jobs.changes import Change
    from pomelolane.jobs.dispatcher import JobDispatcher
    from pomelolane.jobs.record import JobRecord, StoredJob
    from pomelolane.jobs.settings import JobSettings
    from pomelolane.jobs.store import JobStore
    from pomelolane.ports import Clock

_HOPELESS = frozenset(
    {
        Reason.BAD_REQUEST,
        Reason.UNAUTHENTICATED,
        Reason.FORBIDDEN,
        Reason.NOT_FOUND,
        Reason.BODY_TOO_LARGE,
        Reason.UNKNOWN_WORK,
        Reason.KEY_REUSED,
        Reason.CRASHES_ENDPOINTS,
    }
)
_RESUMABLE = frozenset({Outcome.CUT_SHORT, Outcome.UNKNOWN})


class JobRun:
    """One run of a job that this VM holds.

    Args:
        stored: The job, already running under this run's token.
        store: Where jobs are.
        dispatcher: Runs requests.
        clock: Monotonic clock.
        wall: Time of day, for the deadline.
        settings: The runner's settings.
    """

    def __init__(
        self,
        stored: StoredJob,
        store: JobStore,
        dispatcher: JobDispatcher,
        clock: Clock,
        wall: Clock,
        settings: JobSettings,
    ) -> None:
        self._stored = stored
        self._token = stored.record.run_token
        self._store = store
        self._dispatcher = dispatcher
        self._clock = clock
        self._wall = wall
        self._settings = settings
        self._handing_over = False
        self._cancel_wanted = False
        self._call: asyncio.Task[bytes | Refusal] | None = None

    @property
    def record(self) -> JobRecord:
        """The job as this run knows it."""
        return self._stored.record

    async def want_cancel(self) -> None:
        """Cancel the job for its caller."""
        if self._cancel_wanted:
            return
        self._cancel_wanted = True
        if self.record.is_placed:
            await self._dispatcher.cancel(self.record)
        else:
            self._stop_waiting()

    async def run(self) -> None:
        """Carry the job to its end, to another VM, or to the finding it is lost."""
        try:
            end = await self._carry()
            if end is not None:
                await self._finish(end)
        except JobLostError:
            log_event(JOB_LOST, job=self.record.job_id)

    async def hand_over(self) -> None:
        """Give the job to the others before a planned stop.

        A stream that an endpoint is writing goes on there, and is resumed.
        """
        self._handing_over = True
        try:
            await self._change_surely(changes.leave_to_others(self._token))
        except JobLostError:
            return
        if not self.record.is_placed:
            self._stop_waiting()

    def _stop_waiting(self) -> None:
        if self._call is not None:
            self._call.cancel()

    # --- carrying

    async def _carry(self) -> JobEnd | None:
        refusals = 0
        while True:
            if self._cancel_wanted and not self.record.is_placed:
                refusal = Refusal(Outcome.NOT_RUN, Reason.CANCELLED)
                return JobEnd(JobState.CANCELLED, refusal=refusal)
            if self._is_overdue() and not self.record.is_placed:
                refusal = Refusal(Outcome.NOT_RUN, Reason.DEADLINE_PASSED)
                return JobEnd(JobState.FAILED, refusal=refusal)
            result = await self._attempt()
            if isinstance(result, JobEnd):
                return result
            if self._handing_over:
                return None
            refusals += 1
            if refusals >= self._settings.refusals_before_requeue:
                await self._queue_again(result)
                return None
            await asyncio.sleep(self._pause_ms(result) / 1000.0)

    async def _attempt(self) -> JobEnd | Refusal:
        """Run or resume once; a refusal means not run and worth repeating."""
        if self.record.is_placed:
            result = await self._resume()
        else:
            result = await self._dispatch()
        if isinstance(result, bytes):
            return JobEnd(JobState.DONE, answer=result)
        if self._cancel_wanted:
            return JobEnd(JobState.CANCELLED, refusal=result)
        if result.outcome is not Outcome.NOT_RUN:
            return await self._broken(result)
        if self.record.is_placed:
            await self._change_surely(changes.unplace(self._token))
        if result.reason in _HOPELESS:
            return JobEnd(JobState.FAILED, refusal=result)
        return result

    async def _dispatch(self) -> bytes | Refusal:
        body = await self._read_body()
        if body is None:
            return Refusal(Outcome.NOT_RUN, Reason.NOT_FOUND, detail="no body")
        try:
            return await self._call_dispatcher(body)
        except EndpointError as error:
            refused = isinstance(error, EndpointRefusedError)
            outcome = Outcome.NOT_RUN if refused else Outcome.UNKNOWN
            return Refusal(outcome, Reason.ENDPOINT_BROKEN, detail=str(error))
        except _NotPlacedError as error:
            await self._change_surely(changes.unplace(self._token))
            return Refusal(
                Outcome.NOT_RUN, Reason.PLATFORM_UNAVAILABLE, detail=str(error)
            )

    async def _call_dispatcher(self, body: bytes) -> bytes | Refusal:
        """Dispatch so that a cancellation can end the wait for a slot."""
        call = self._dispatcher.dispatch(self.record, body, self._on_placed)
        self._call = asyncio.ensure_future(call)
        try:
            await asyncio.wait({self._call})
            if self._call.cancelled():
                return Refusal(Outcome.NOT_RUN, Reason.CANCELLED)
            return self._call.result()
        finally:
            self._call.cancel()
            self._call = None

    async def _on_placed(self, endpoint_id: str, stream_id: str) -> None:
        """Record where the job goes, before it goes there.

        Raises:
            JobLostError: Another runner has it; nothing may be sent.
            _NotPlacedError: The record is not certain; nothing may be sent.
        """
        if self._cancel_wanted or self._handing_over:
            raise _NotPlacedError("the job is not to be sent any more")
        began_ms = self._clock.now_ms()
        timeout_s = self._settings.placing_timeout_ms / 1000.0
        place = changes.place(self._token, endpoint_id, stream_id)
        try:
            async with asyncio.timeout(timeout_s):
                await self._change(place)
        except (PlatformError, TimeoutError) as error:
            raise _NotPlacedError(str(error) or "the table is too slow") from error
        if self._cancel_wanted:
            raise _NotPlacedError("the job is cancelled")
        # Frozen meanwhile? Then another VM may have found this one dead.
        if self._clock.now_ms() - began_ms > self._settings.placing_timeout_ms:
            raise _NotPlacedError("this VM was paused")

    async def _resume(self) -> bytes | Refusal:
        """Read the stream that an earlier dispatch began, as long as it may be."""
        log_event(
            JOB_RESUMED,
            job=self.record.job_id,
            endpoint=self.record.endpoint_id,
            chunk=0,
        )
        gone = 0
        give_up_ms = self._clock.now_ms() + self._settings.resume_patience_ms
        refusal = Refusal(Outcome.UNKNOWN, Reason.HOLDER_GONE)
        backoff = Backoff(self._settings.resume_pause_ms)
        while gone < self._settings.gone_answers and not self._cancel_wanted:
            try:
                result = await self._dispatcher.resume(self.record)
                if isinstance(result, bytes):
                    return result
                refusal = result
                if result.outcome is Outcome.FAILED:
                    return result
            except StreamGoneError:
                gone += 1
            except (EndpointError, PlatformError) as error:
                detail = str(error)
                refusal = Refusal(Outcome.UNKNOWN, Reason.ENDPOINT_BROKEN, 0, detail)
            if self._clock.now_ms() >= give_up_ms or self._is_overdue():
                break
            await backoff.wait()
        return replace(refusal, outcome=Outcome.UNKNOWN)

    async def _broken(self, refusal: Refusal) -> JobEnd | Refusal:
        """Go on after a dispatch that did not bring the whole answer."""
        if refusal.outcome in _RESUMABLE and self.record.is_placed:
            result = await self._resume()
            if isinstance(result, bytes):
                return JobEnd(JobState.DONE, answer=result)
            refusal = result
        if self._cancel_wanted:
            return JobEnd(JobState.CANCELLED, refusal=refusal)
        if self.record.repeatable and not self._is_overdue():
            await self._change_surely(changes.unplace(self._token))
            return refusal
        if refusal.outcome is Outcome.UNKNOWN:
            return JobEnd(JobState.UNKNOWN, refusal=refusal)
        return JobEnd(JobState.FAILED, refusal=refusal)

    def _is_overdue(self) -> bool:
        return self._wall.now_ms() >= self.record.deadline_wall_ms

    def _pause_ms(self, refusal: Refusal) -> float:
        least_ms, most_ms = self._settings.refusal_pause_ms
        return min(max(float(refusal.retry_after_ms), least_ms), most_ms)

    async def _read_body(self) -> bytes | None:
        backoff = Backoff()
        while True:
            try:
                body = await self._store.objects.get(self.record.body_object)
            except PlatformError:
                await backoff.wait()
                continue
            return body if isinstance(body, bytes) else None

    # --- ending

    async def _finish(self, end: JobEnd) -> None:
        """Store the end, kept in memory for as long as the platform is away."""
        name = ""
        if end.answer is not None:
            name = f"job-answer-{self.record.job_id}-{self._token}"
            await self._put_surely(name, end.answer)
        if end.state is JobState.CANCELLED and self.record.is_placed:
            await self._dispatcher.cancel(self.record)
        now_ms = self._wall.now_ms()
        ended = changes.finish(self._token, self.record, end, name, now_ms)
        try:
            await self._change_surely(ended)
        except JobLostError:
            await self._drop(name)
            raise
        log_event(JOB_FINISHED, job=self.record.job_id, state=self.record.state)
        await self._drop(self.record.body_object)

    async def _drop(self, name: str) -> None:
        if name:
            with contextlib.suppress(PlatformError):
                await self._store.objects.delete(name)

    async def _queue_again(self, refusal: Refusal) -> None:
        await self._change_surely(changes.queue_again(self._token))
        log_event(JOB_QUEUED_AGAIN, job=self.record.job_id, reason=refusal.reason)

    async def _put_surely(self, name: str, data: bytes) -> None:
        await self._surely(lambda: self._store.objects.put(name, data))

    async def _change_surely(self, change: Change) -> None:
        await self._surely(lambda: self._change(change))

    async def _surely(self, step: Callable[[], Awaitable[None]]) -> None:
        """Repeat a step until the platform takes it."""
        backoff = Backoff()
        is_logged = False
        while True:
            try:
                await step()
                return
            except PlatformError as error:
                if not is_logged:
                    log_event(JOB_UNSAVED, job=self.record.job_id, error=error)
                is_logged = True
            await backoff.wait()

    async def _change(self, change: Change) -> None:
        """Change the row if it is still this run's.

        Raises:
            JobLostError: It is not.
            PlatformError: Not known to be made.
        """
        self._stored, made = await self._store.change(self._stored, change)
        self._cancel_wanted = self._cancel_wanted or self.record.cancel_wanted
        if not made:
            raise JobLostError(self.record.job_id)


class _NotPlacedError(PomelolaneError):
    """The placement is not certain, so that nothing may be sent."""
