"""What the job runner needs of the gateway: to run a request, or to resume it.

Bodies and answers are opaque here; the gateway encodes and decodes both.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from pomelolane.jobs.record import JobRecord
    from pomelolane.outcomes import Refusal

    OnPlaced = Callable[[str, str], Awaitable[None]]


class JobDispatcher(Protocol):
    """Runs jobs through the gateway's path.

    Cancelling a call of ``dispatch`` or ``resume`` leaves the engine's stream
    running, so that a successor can resume it; ``cancel`` stops it.
    """

    async def dispatch(
        self, job: JobRecord, body: bytes, on_placed: OnPlaced
    ) -> bytes | Refusal:
        """Wait for a slot, dispatch once and return the whole answer.

        ``on_placed(endpoint_id, stream_id)`` is awaited before the first byte
        leaves, for each attempt; when it raises, nothing is sent and the error
        is passed on. ``NOT_RUN`` is returned only when nothing was sent.
        """

    async def resume(self, job: JobRecord) -> bytes | Refusal:
        """Read the stream named by the record from its beginning.

        Raises:
            StreamGoneError: The engine does not know the stream.
            EndpointError: The engine cannot be reached.
        """

    async def cancel(self, job: JobRecord) -> None:
        """Ask the engine to stop the job's stream; errors are swallowed."""
