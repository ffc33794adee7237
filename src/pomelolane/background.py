"""Tasks that run beside the requests for as long as a VM lives.

One that fails is logged by its name; the others go on.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from pomelolane import events
from pomelolane.logs import log_event

if TYPE_CHECKING:
    from collections.abc import Coroutine


class BackgroundTasks:
    """Starts, watches and ends tasks."""

    def __init__(self) -> None:
        self._tasks: set[asyncio.Task[None]] = set()

    def start(self, name: str, coroutine: Coroutine[None, None, None]) -> None:
        """Start a task under a name."""
        task = asyncio.create_task(coroutine, name=name)
        self._tasks.add(task)
        task.add_done_callback(self._ended)

    async def stop(self) -> None:
        """Cancel all tasks and wait for their end."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _ended(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if task.cancelled():
            return
        error = task.exception()
        if error is not None:
            log_event(events.TASK_FAILED, task=task.get_name(), error=repr(error))
