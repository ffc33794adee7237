"""Where requests wait for a slot, unless no endpoint may get them.

Both doors, callers' own gateway with its jobs and forwarding, ask here for grants.
"""

from __future__ import annotations

import asyncio
from collections import defaultdict
from typing import TYPE_CHECKING

import msgspec

from pomelolane.coordination.stream_reporter import StreamReporter
from pomelolane.outcomes import Outcome, Reason, Refusal

if TYPE_CHECKING:
    from pomelolane.messages import Handle
    from pomelolane.ports import Clock, Grant, SchedulerClient
    from pomelolane.quarantine.quarantine import Quarantine

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
        self._waiting: defaultdict[str, set[asyncio.Task]] = defaultdict(set)
        self._recalled: set[asyncio.Task] = set()
        quarantine.on_quarantined(self._recall)

    async def acquire(self, fingerprint: str, handle: Handle) -> Grant | Refusal:
        """Wait for a grant or a final refusal; cancelling withdraws the handle.

        Args:
            fingerprint: What the request asks for.
            handle: What the scheduler needs to know of it.
        """
        if await self._quarantine.settled(fingerprint):
            return KEPT_OUT
        if self._quarantine.is_suspect(fingerprint):
            handle = msgspec.structs.replace(handle, suspect=True)
        grant = await self._wait(fingerprint, handle)
        if isinstance(grant, Refusal) or not self._quarantine.holds(fingerprint):
            return grant
        # It was granted while the judgement was made: the slot is another one's.
        watch = StreamReporter(self._client, grant, self._clock)
        watch.finish(refused=True, outcome=Outcome.NOT_RUN)
        return KEPT_OUT

    async def _wait(self, fingerprint: str, handle: Handle) -> Grant | Refusal:
        task = asyncio.current_task()
        waiting = self._waiting[fingerprint]
        waiting.add(task)
        try:
            return await self._client.acquire(handle)
        except asyncio.CancelledError:
            if task not in self._recalled:
                raise
            task.uncancel()
            return KEPT_OUT
        finally:
            self._recalled.discard(task)
            waiting.discard(task)
            if not waiting:
                self._waiting.pop(fingerprint, None)

    def _recall(self, fingerprint: str) -> None:
        """End the waits of requests that are refused from now on."""
        for task in tuple(self._waiting.get(fingerprint, ())):
            self._recalled.add(task)
            task.cancel()
