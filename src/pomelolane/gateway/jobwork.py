"""Runs jobs on the gateway's own path, and resumes a dead runner's stream.

It is the :class:`~pomelolane.jobs.JobDispatcher` of this VM.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from pomelolane.clock import WallClock
from pomelolane.exceptions import EndpointBrokenError, EndpointError, StreamGoneError
from pomelolane.gateway.answers import encode_answer
from pomelolane.gateway.sinks import KeptAnswer, MemorySink
from pomelolane.gateway.stored import (
    StoredCall,
    UnknownServiceError,
    call_from_stored,
)
from pomelolane.outcomes import Outcome, Reason, Refusal

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Mapping

    from pomelolane.gateway.dispatch import Dispatcher
    from pomelolane.jobs import JobRecord
    from pomelolane.model import Endpoint
    from pomelolane.ports import Clock, EndpointAdapter, ObjectStore
    from pomelolane.tree import CurrentTree

    OnPlaced = Callable[[str, str], Awaitable[None]]


class JobWork:
    """Dispatches and resumes jobs.

    Args:
        dispatcher: The gateway's dispatch.
        objects: Where bodies are kept.
        tree: The settings tree in force.
        adapters: Endpoint adapters by service kind.
        wall: Time of day, for deadlines that outlive a VM.
    """

    def __init__(
        self,
        dispatcher: Dispatcher,
        objects: ObjectStore,
        tree: CurrentTree,
        adapters: Mapping[str, EndpointAdapter],
        wall: Clock | None = None,
    ) -> None:
        self._dispatcher = dispatcher
        self._objects = objects
        self._tree = tree
        self._adapters = adapters
        self._wall = wall or WallClock()

    async def dispatch(
        self, job: JobRecord, body: bytes, on_placed: OnPlaced
    ) -> bytes | Refusal:
        """Run a job once; see :class:`~pomelolane.jobs.JobDispatcher`."""
        left_ms = int(job.deadline_wall_ms - self._wall.now_ms())
        # Each attempt has a stream of its own, so that no successor can take
        # an earlier attempt's stream for the later one's.
        request_id = f"{job.job_id}-{job.attempt}"
        try:
            call = call_from_stored(body, self._tree.value, request_id, left_ms)
        except UnknownServiceError as error:
            return Refusal(Outcome.NOT_RUN, Reason.UNKNOWN_SERVICE, detail=str(error))
        state = self._dispatcher.open(call)
        state.outlives_cancel = True
        sink = MemorySink()
        result = await self._dispatcher.run(state, sink, on_placed)
        if isinstance(result, Refusal):
            return result
        return _whole_answer(sink.answer, call.streamed, call.service.name)

    async def resume(self, job: JobRecord) -> bytes | Refusal:
        """Read a stream again; see :class:`~pomelolane.jobs.JobDispatcher`."""
        endpoint = self._tree.value.endpoints.get(job.endpoint_id)
        if endpoint is None:
            raise StreamGoneError(f"endpoint {job.endpoint_id} is not declared")
        stream = await self._adapter(endpoint).resume(endpoint, job.stream_id, 0)
        sink = MemorySink()
        try:
            result = await sink.take(stream, _nothing, _nothing)
        finally:
            await stream.aclose()
        if not result.whole:
            raise EndpointBrokenError("the resumed stream ended early")
        body = await self._objects.get(job.body_object)
        streamed = bool(body) and _was_streamed(body)
        return _whole_answer(sink.answer, streamed, job.service)

    async def cancel(self, job: JobRecord) -> None:
        """Stop a job's stream; errors are swallowed."""
        endpoint = self._tree.value.endpoints.get(job.endpoint_id)
        if endpoint is None:
            return
        try:
            await self._adapter(endpoint).cancel(endpoint, job.stream_id)
        except EndpointError:
            return

    def _adapter(self, endpoint: Endpoint) -> EndpointAdapter:
        service = self._tree.value.services[endpoint.service]
        return self._adapters[service.kind.value]


def _whole_answer(answer: KeptAnswer, streamed: bool, model: str) -> bytes | Refusal:
    if answer.overflowed:
        return Refusal(
            Outcome.FAILED, Reason.BODY_TOO_LARGE, detail="the answer is too large"
        )
    if not streamed:
        answer.join_events(model)
    return encode_answer(answer)


def _was_streamed(body: bytes) -> bool:
    return msgspec.msgpack.decode(body, type=StoredCall).streamed


def _nothing(*args: object, **named: object) -> None:
    del args, named
