"""Tasks that run beside the requests.

One that fails is logged by its name; the others go on.
"""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING

from pomelolane import events
from pomelolane.logs import log_event

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine

_FIRST_PAUSE_S = 0.1
_LONGEST_PAUSE_S = 1.0
_SOUND_RUN_S = 10.0
"""A task that fails after so long begins again with the first pause."""


class BackgroundTasks:
    """Starts, watches and ends tasks."""

    def __init__(self) -> None:
        self._tasks: set[asyncio.Task[None]] = set()

    def start(self, name: str, coroutine: Coroutine[None, None, None]) -> None:
        """Start a task under a name; it may end."""
        task = asyncio.create_task(coroutine, name=name)
        self._tasks.add(task)
        task.add_done_callback(self._ended)

    def keep_running(
        self, name: str, run: Callable[[], Coroutine[None, None, None]]
    ) -> None:
        """Start a task that lasts until :meth:`stop`.

        Args:
            name: Name of the task.
            run: Called for the coroutine to run, again each time that it has ended.
        """
        self.start(name, _run_forever(name, run))

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


async def _run_forever(
    name: str, run: Callable[[], Coroutine[None, None, None]]
) -> None:
    loop = asyncio.get_running_loop()
    pause_s = _FIRST_PAUSE_S
    while True:
        began_s = loop.time()
        reason = "it has ended"
        try:
            await run()
        except asyncio.CancelledError as error:
            # Something that it waits for may be cancelled without this task being so.
            if asyncio.current_task().cancelling():
                raise
            reason = repr(error)
        except Exception as error:
            reason = repr(error)
        log_event(events.TASK_FAILED, task=name, error=reason)
        if loop.time() - began_s > _SOUND_RUN_S:
            pause_s = _FIRST_PAUSE_S
        await asyncio.sleep(pause_s * random.uniform(0.5, 1.0))
        pause_s = min(_LONGEST_PAUSE_S, 2 * pause_s)
