"""Calls with an idempotency key: claim first, then dispatch or attach.

A key is dispatched by the holder of its claim only. Whoever repeats the key
gets the kept answer, the running stream, or a truthful refusal.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from pomelolane import events
from pomelolane.exceptions import (
    EndpointError,
    PlatformError,
    StreamGoneError,
)
from pomelolane.gateway.answers import encode_answer
from pomelolane.gateway.ending import Delivered
from pomelolane.gateway.sinks import KeptAnswer
from pomelolane.logs import log_event
from pomelolane.outcomes import Outcome, Reason, Refusal
from pomelolane.store import claim_key, reserved_job
from pomelolane.store.backoff import Backoff
from pomelolane.store.claims import CLAIMED, DONE, RELEASED

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from pomelolane.gateway.dispatch import Dispatcher
    from pomelolane.gateway.ending import AnswerSink
    from pomelolane.gateway.holders import HolderQueries
    from pomelolane.gateway.intake import Call
    from pomelolane.gateway.state import RequestState
    from pomelolane.messages import KeyAnswer
    from pomelolane.ports import (
        ClaimRecord,
        Claims,
        Clock,
        EndpointAdapter,
        ObjectStore,
    )
    from pomelolane.tree import CurrentTree

CLAIM_TIMEOUT_MS = 5000
STORE_PATIENCE_MS = 120_000
POLL_MS = 100
STILL_RUNNING_RETRY_MS = 2000


class KeyedCalls:
    """Serves calls that carry an idempotency key.

    Args:
        claims: Group-committed claims.
        objects: Where answers are kept.
        dispatcher: Dispatches held keys.
        holders: Asks other VMs about keys they hold.
        tree: The settings tree in force.
        adapters: Endpoint adapters by service kind.
        clock: The process's clock.
    """

    def __init__(
        self,
        claims: Claims,
        objects: ObjectStore,
        dispatcher: Dispatcher,
        holders: HolderQueries,
        tree: CurrentTree,
        adapters: Mapping[str, EndpointAdapter],
        clock: Clock,
    ) -> None:
        self._claims = claims
        self._objects = objects
        self._dispatcher = dispatcher
        self._holders = holders
        self._tree = tree
        self._adapters = adapters
        self._clock = clock
        self._settling: set[asyncio.Task[None]] = set()

    async def serve(
        self,
        call: Call,
        sink: AnswerSink,
        replay: Callable[[bytes], object],
    ) -> Delivered | Refusal:
        """Serve a keyed call to its end.

        Args:
            call: The checked call; its key is not empty.
            sink: Takes a live answer.
            replay: Awaited with a kept answer's object.
        """
        key = claim_key(call.organisation.name, call.key)
        timeout_ms = min(call.deadline_ms, CLAIM_TIMEOUT_MS)
        record = await self._claims.claim(key, call.digest, timeout_ms=timeout_ms)
        if isinstance(record, Refusal):
            return record
        if record.fresh:
            return await self._serve_held(call, key, record, sink)
        if record.body_digest != call.digest:
            return Refusal(
                Outcome.NOT_RUN,
                Reason.KEY_REUSED,
                detail="the key was used for another request; this one did not run",
            )
        if reserved_job(record):
            # The same request as a job: it may run, or may have.
            return Refusal(
                Outcome.UNKNOWN,
                Reason.CLAIM_HELD,
                detail=f"the key belongs to job {reserved_job(record)}",
            )
        return await self._attach(call, record, sink, replay)

    async def _serve_held(
        self, call: Call, key: str, record: ClaimRecord, sink: AnswerSink
    ) -> Delivered | Refusal:
        state = self._dispatcher.open(call)
        self._holders.hold(key, state)
        kept = KeptAnswer()
        sink.keep(kept)
        result: Delivered | Refusal | None = None
        try:
            result = await self._dispatcher.run(state, sink)
            return result
        finally:
            self._settle_later(key, record, state, kept, result)

    def _settle_later(
        self,
        key: str,
        record: ClaimRecord,
        state: RequestState,
        kept: KeptAnswer,
        result: Delivered | Refusal | None,
    ) -> None:
        task = asyncio.create_task(self._settle(key, record, state, kept, result))
        self._settling.add(task)
        task.add_done_callback(self._settling.discard)

    async def _settle(
        self,
        key: str,
        record: ClaimRecord,
        state: RequestState,
        kept: KeptAnswer,
        result: Delivered | Refusal | None,
    ) -> None:
        """Record the end of a held key, with its answer if there is one."""
        if isinstance(result, Delivered) and not kept.overflowed:
            name = await self._store_answer(record, kept)
            await self._claims.settle(record, DONE, name)
        elif state.dispatched:
            await self._claims.settle(record, state.outcome or DONE)
        else:
            await self._claims.settle(record, RELEASED)
        self._holders.release_later(key)

    async def _store_answer(self, record: ClaimRecord, kept: KeptAnswer) -> str:
        """Store an answer, also over an outage; the name is empty if in vain."""
        name = f"answers/{record.key}"
        data = encode_answer(kept)
        give_up_ms = self._clock.now_ms() + STORE_PATIENCE_MS
        backoff = Backoff()
        while self._clock.now_ms() < give_up_ms:
            try:
                await self._objects.put(name, data)
            except PlatformError:
                await backoff.wait()
            else:
                return name
        return ""

    async def drain(self) -> None:
        """Wait until the ends of all held keys are recorded."""
        while self._settling:
            await asyncio.gather(*self._settling, return_exceptions=True)

    async def _attach(
        self,
        call: Call,
        record: ClaimRecord,
        sink: AnswerSink,
        replay: Callable[[bytes], object],
    ) -> Delivered | Refusal:
        begun_ms = self._clock.now_ms()
        deadline_ms = begun_ms + call.deadline_ms
        while self._clock.now_ms() < deadline_ms:
            if record.answer_object:
                replayed = await self._replay(call, record, replay)
                if replayed is not None:
                    return replayed
            if record.state == RELEASED:
                # Its holder states that it never dispatched: the key is free,
                # and whoever claims it first now serves all others.
                return await self.serve(call, sink, replay)
            if record.state != CLAIMED:
                return _ended(record)
            answer = await self._holders.ask(record)
            waited_ms = self._clock.now_ms() - begun_ms
            if answer is None or (not answer.known and waited_ms > CLAIM_TIMEOUT_MS):
                return await self._orphaned(record)
            ended = await self._follow(call, record, answer, sink)
            if ended is not None:
                return ended
            await asyncio.sleep(POLL_MS / 1000)
            record = await self._reread(record)
        return Refusal(
            Outcome.UNKNOWN,
            Reason.CLAIM_HELD,
            STILL_RUNNING_RETRY_MS,
            "the first request with this key has not ended",
        )

    async def _follow(
        self,
        call: Call,
        record: ClaimRecord,
        answer: KeyAnswer,
        sink: AnswerSink,
    ) -> Delivered | Refusal | None:
        """Use what the holder says; None means ask again."""
        if answer.finished and answer.outcome:
            if not answer.dispatched:
                return None
            return Refusal(
                Outcome(answer.outcome),
                Reason.ENDPOINT_BROKEN,
                detail="the first request with this key ended so",
            )
        if answer.stream_id and not answer.finished:
            return await self._resume(record, answer, sink)
        return None

    async def _resume(
        self, record: ClaimRecord, answer: KeyAnswer, sink: AnswerSink
    ) -> Delivered | Refusal | None:
        endpoint = self._tree.value.endpoints.get(answer.endpoint_id)
        if endpoint is None:
            return None
        service = self._tree.value.services[endpoint.service]
        adapter = self._adapters[service.kind.value]
        try:
            stream = await adapter.resume(endpoint, answer.stream_id, 0)
        except (StreamGoneError, EndpointError):
            return None
        log_event(
            events.REQUEST_ATTACHED,
            request=answer.stream_id,
            key=record.key,
            endpoint=endpoint.endpoint_id,
        )
        try:
            result = await sink.take(stream, _nothing, _nothing)
        finally:
            await stream.aclose()
        if not result.whole and not result.begun:
            return None
        if not result.whole:
            return Refusal(Outcome.CUT_SHORT, Reason.ENDPOINT_BROKEN)
        return Delivered(stream.status, endpoint.endpoint_id, -1.0, result.chunks)

    async def _replay(
        self, call: Call, record: ClaimRecord, replay: Callable[[bytes], object]
    ) -> Delivered | Refusal | None:
        try:
            data = await self._objects.get(record.answer_object)
        except PlatformError:
            data = b""
        if not data:
            return Refusal(
                Outcome.UNKNOWN,
                Reason.PLATFORM_UNAVAILABLE,
                STILL_RUNNING_RETRY_MS,
                "the request ran; its kept answer cannot be read now",
            )
        await replay(data)
        log_event(events.REQUEST_ATTACHED, request=call.request_id, key=record.key)
        return Delivered(200, "", -1.0, 0)

    async def _orphaned(self, record: ClaimRecord) -> Refusal:
        """Say what can be said when the holder is gone or has forgotten the key.

        A holder that lives hears of its claim, or gives it up, within the
        claim's timeout; until then it is asked again.
        """
        record = await self._reread(record)
        if record.state not in (CLAIMED, RELEASED):
            return _ended(record)
        return Refusal(
            Outcome.UNKNOWN,
            Reason.HOLDER_GONE,
            detail="the VM that held this key cannot be reached; it may have run",
        )

    async def _reread(self, record: ClaimRecord) -> ClaimRecord:
        try:
            found = await self._claims.read(record.key)
        except PlatformError:
            return record
        return found or record


def _ended(record: ClaimRecord) -> Refusal:
    """Say how a request ended that left no answer behind."""
    if record.state == DONE:
        return Refusal(
            Outcome.UNKNOWN,
            Reason.CLAIM_HELD,
            detail="the first request with this key ran; its answer was not kept",
        )
    return Refusal(
        Outcome(record.state),
        Reason.ENDPOINT_BROKEN,
        detail="the first request with this key ended so",
    )


def _nothing(*args: object, **named: object) -> None:
    del args, named
