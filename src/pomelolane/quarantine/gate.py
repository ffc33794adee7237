"""Where requests wait for a slot, unless no endpoint may get them.

Both doors, callers' own gateway with its jobs and forwarding, ask here for grants.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import msgspec

from pomelolane.coordination.stream_reporter import StreamReporter
from pomelolane.outcomes import Outcome, Reason, Refusal

if TYPE_CHECKING:
    from pomelolane.messages import Handle
    from pomelolane.ports import Clock, Grant, SchedulerClient
    from pomelolane.quarantine.quarantine import Quarantine
    from pomelolane.quarantine.subjects import Subjects

KEPT_OUT = Refusal(
    Outcome.NOT_RUN,
    Reason.CRASHES_ENDPOINTS,
    detail="endpoints have crashed under requests that ask for this",
)
"""Names no time to come back at, since coming back cannot help."""


class Gate:
    """Asks a scheduler for slots.

    Args:
        quarantine: Requests that no endpoint may get.
        client: Where slots come from.
        clock: Time.
    """

    def __init__(
        self, quarantine: Quarantine, client: SchedulerClient, clock: Clock
    ) -> None:
        self._quarantine = quarantine
        self._client = client
        self._clock = clock
        self._waiting: dict[asyncio.Task, Subjects] = {}
        self._recalled: set[asyncio.Task] = set()
        quarantine.on_quarantined(self._recall)

    async def acquire(self, subjects: Subjects, handle: Handle) -> Grant | Refusal:
        """Wait for a grant or a final refusal; cancelling withdraws the handle.

        Args:
            subjects: What may be to blame if endpoints crash under the request.
            handle: What the scheduler needs to know of it.
        """
        is_probe = False
        if await self._quarantine.settled(subjects):
            is_probe = self._quarantine.may_probe(subjects)
            if not is_probe:
                return KEPT_OUT
        if is_probe or self._quarantine.is_suspect(subjects):
            handle = msgspec.structs.replace(handle, suspect=True)
        if is_probe:
            return await self._client.acquire(handle)
        grant = await self._wait(subjects, handle)
        if isinstance(grant, Refusal) or not self._quarantine.holds(subjects):
            return grant
        # It was granted while the judgement was made: the slot is another one's.
        watch = StreamReporter(self._client, grant, self._clock)
        watch.finish(refused=True, outcome=Outcome.NOT_RUN)
        return KEPT_OUT

    async def _wait(self, subjects: Subjects, handle: Handle) -> Grant | Refusal:
        task = asyncio.current_task()
        self._waiting[task] = subjects
        try:
            return await self._client.acquire(handle)
        except asyncio.CancelledError:
            if task not in self._recalled:
                raise
            task.uncancel()
            return KEPT_OUT
        finally:
            self._recalled.discard(task)
            del self._waiting[task]

    def _recall(self) -> None:
        """End the waits of requests that are refused from now on."""
        for task, subjects in self._waiting.items():
            if task not in self._recalled and self._quarantine.holds(subjects):
                self._recalled.add(task)
                task.cancel()
