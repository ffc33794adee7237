"""The life of one request: wait for a grant, dispatch once, relay, report.

Only this module sends work to endpoints, and it notes that a request may have
been dispatched before its first byte leaves.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from pomelolane import events
from pomelolane.coordination.stream_reporter import StreamReporter
from pomelolane.exceptions import EndpointBrokenError, EndpointRefusedError
from pomelolane.gateway.ending import Delivered
from pomelolane.gateway.state import RequestState
from pomelolane.logs import log_event
from pomelolane.messages import Handle
from pomelolane.outcomes import Outcome, Reason, Refusal
from pomelolane.ports import UpstreamRequest
from pomelolane.quarantine import Gate
from pomelolane.store import claim_key
from pomelolane.timeouts import Timeouts

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Mapping

    from pomelolane.gateway.ending import Sink, SinkResult
    from pomelolane.gateway.intake import Call
    from pomelolane.gateway.retries import RetryBudget
    from pomelolane.model import Endpoint
    from pomelolane.ports import Clock, EndpointAdapter, Grant, SchedulerClient
    from pomelolane.quarantine import CrashWatch, Quarantine
    from pomelolane.tree import CurrentTree

    OnPlaced = Callable[[str, str], Awaitable[None]]

MAX_ATTEMPTS = 4
RETRY_AFTER_FAILURE_MS = 1000

_REDIRECTION = 300
_STATE_HEADER = b"x-endpoint-state"
_LEAVING = b"leaving"


def _ignore(*_: object) -> None:
    pass


class Dispatcher:
    """Carries requests from acceptance to their end.

    Args:
        tree: The settings tree in force.
        client: Where grants come from.
        adapters: Endpoint adapters by service kind.
        budget: Budget of repeated attempts.
        quarantine: Requests that no endpoint may get.
        crashes: Looks after endpoints whose connections broke.
        clock: The process's clock.
        data_centre: This VM's data centre.
        on_leaving: Told of an endpoint whose answer says that it leaves.
    """

    def __init__(
        self,
        tree: CurrentTree,
        client: SchedulerClient,
        adapters: Mapping[str, EndpointAdapter],
        budget: RetryBudget,
        quarantine: Quarantine,
        crashes: CrashWatch,
        clock: Clock,
        data_centre: str,
        on_leaving: Callable[[str], object] = _ignore,
    ) -> None:
        self._tree = tree
        self._client = client
        self._adapters = adapters
        self._budget = budget
        self._quarantine = quarantine
        self._crashes = crashes
        self._gate = Gate(quarantine, client, clock)
        self._clock = clock
        self._data_centre = data_centre
        self._on_leaving = on_leaving
        self._background: set[asyncio.Task[None]] = set()
        self.open_requests: dict[str, RequestState] = {}
        self.timeouts = Timeouts(clock)

    def open(self, call: Call) -> RequestState:
        """Note an accepted request."""
        state = RequestState(call, self._clock.now_ms())
        self.open_requests[call.request_id] = state
        log_event(
            events.REQUEST_ACCEPTED,
            request=call.request_id,
            organisation=call.organisation.name,
            service=call.service.name,
            work=call.work.name,
            tier=call.tier_rank,
            deadline_ms=call.deadline_ms,
            prefill_tokens=call.prefill_tokens,
        )
        return state

    async def run(
        self, state: RequestState, sink: Sink, on_placed: OnPlaced | None = None
    ) -> Delivered | Refusal:
        """Serve a request to its end.

        Args:
            state: From :meth:`open`.
            sink: Takes the answer.
            on_placed: Awaited with endpoint and stream id before the first
                byte leaves; an error from it means that nothing is sent.

        Returns:
            The delivery, or the typed refusal that the caller gets.
        """
        self._budget.earn()
        try:
            while True:
                result = await self._attempt(state, sink, on_placed)
                if isinstance(result, Delivered) or not self._may_retry(state, result):
                    break
        except asyncio.CancelledError:
            state.outcome = (
                Outcome.CUT_SHORT if state.dispatched else Outcome.NOT_RUN
            ).value
            raise
        finally:
            state.finished = True
            self.open_requests.pop(state.call.request_id, None)
        if isinstance(result, Refusal):
            state.outcome = result.outcome.value
            log_event(
                events.REQUEST_REFUSED,
                request=state.call.request_id,
                outcome=result.outcome,
                reason=result.reason,
                retry_after_ms=result.retry_after_ms,
            )
        return result

    async def _attempt(
        self, state: RequestState, sink: Sink, on_placed: OnPlaced | None
    ) -> Delivered | Refusal:
        budget_ms = self._budget_ms(state)
        if budget_ms <= 0:
            return self._late(state)
        queued_ms = self._clock.now_ms()
        handle = self._handle(state, budget_ms)
        grant = await self._gate.acquire(state.subjects, handle)
        if isinstance(grant, Refusal):
            return self._after_dispatch(state, grant)
        endpoint = self._tree.value.endpoints.get(grant.endpoint_id)
        watch = StreamReporter(self._client, grant, self._clock)
        if endpoint is None:
            watch.finish(refused=True, outcome=Outcome.NOT_RUN)
            return Refusal(Outcome.NOT_RUN, Reason.ENDPOINT_REFUSED)
        try:
            return await self._send(state, sink, on_placed, endpoint, watch, queued_ms)
        finally:
            watch.finish(outcome=Outcome.CUT_SHORT)
            if state.run is not None:
                state.run.leave()

    async def _send(
        self,
        state: RequestState,
        sink: Sink,
        on_placed: OnPlaced | None,
        endpoint: Endpoint,
        watch: StreamReporter,
        queued_ms: float,
    ) -> Delivered | Refusal:
        state.endpoint_id = endpoint.endpoint_id
        state.stream_id = state.attempt_id()
        if on_placed is not None:
            await on_placed(state.endpoint_id, state.stream_id)
        if self._budget_ms(state) <= 0:
            # A pause of this process, or a slow table, has used up the time.
            watch.finish(outcome=Outcome.NOT_RUN)
            return self._late(state)
        run = state.run = self._crashes.begin(state.subjects, endpoint)
        dispatched_before = state.dispatched
        state.dispatched = True
        watch.note_dispatch()
        self._log_dispatch(state, watch.grant, queued_ms)
        adapter = self._adapters[state.call.service.kind.value]
        try:
            async with self.timeouts.after(self._budget_ms(state)):
                stream = await adapter.dispatch(endpoint, _upstream(state))
                try:
                    result = await self._relay(state, sink, stream, watch)
                finally:
                    await stream.aclose()
        except EndpointRefusedError as error:
            run.settle()
            state.dispatched = dispatched_before
            return self._refused(state, endpoint, watch, str(error))
        except EndpointBrokenError as error:
            await run.broke()
            return self._broken(state, endpoint, watch, str(error))
        except TimeoutError:
            self._cancel_upstream(adapter, endpoint, state.stream_id)
            return self._late(state)
        except asyncio.CancelledError:
            if not state.outlives_cancel:
                self._cancel_upstream(adapter, endpoint, state.stream_id)
            raise
        if result.caller_gone:
            self._cancel_upstream(adapter, endpoint, state.stream_id)
            return Refusal(Outcome.CUT_SHORT, Reason.CALLER_GONE)
        if not result.whole:
            await run.broke()
            return self._broken(state, endpoint, watch, "the answer ended early")
        run.settle()
        watch.finish(cached_tokens=result.cached_tokens)
        if stream.status < _REDIRECTION:
            self._quarantine.answered(state.subjects)
        return self._delivered(state, stream.status, watch, result)

    async def _relay(
        self,
        state: RequestState,
        sink: Sink,
        stream: object,
        watch: StreamReporter,
    ) -> SinkResult:
        if stream.header(_STATE_HEADER) == _LEAVING:
            self._on_leaving(state.endpoint_id)
        if stream.status >= 500 and self._retry_is_open(state):
            raise EndpointBrokenError(f"the endpoint answered {stream.status}")

        def on_first(*, begun: bool = True) -> None:
            state.begun = begun
            watch.note_first_byte()

        result = await sink.take(stream, on_first, watch.note_tokens)
        state.begun = result.begun
        return result

    def _delivered(
        self,
        state: RequestState,
        status: int,
        watch: StreamReporter,
        result: SinkResult,
    ) -> Delivered:
        total_ms = self._clock.now_ms() - state.accepted_ms
        log_event(
            events.REQUEST_FINISHED,
            request=state.call.request_id,
            endpoint=state.endpoint_id,
            status=status,
            ttft_ms=watch.ttft_ms,
            total_ms=total_ms,
            chunks=result.chunks,
        )
        return Delivered(status, state.endpoint_id, watch.ttft_ms, result.chunks)

    def _refused(
        self,
        state: RequestState,
        endpoint: Endpoint,
        watch: StreamReporter,
        detail: str,
    ) -> Refusal:
        """Judge an attempt that the endpoint has not taken."""
        state.excluded += (endpoint.endpoint_id,)
        watch.finish(refused=True, outcome=Outcome.NOT_RUN)
        refusal = Refusal(
            Outcome.NOT_RUN, Reason.ENDPOINT_REFUSED, RETRY_AFTER_FAILURE_MS, detail
        )
        return self._after_dispatch(state, refusal)

    def _broken(
        self,
        state: RequestState,
        endpoint: Endpoint,
        watch: StreamReporter,
        detail: str,
    ) -> Refusal:
        outcome = Outcome.CUT_SHORT if state.begun else Outcome.UNKNOWN
        if state.call.idempotent and not state.begun:
            outcome = Outcome.FAILED
        state.excluded += (endpoint.endpoint_id,)
        watch.finish(outcome=outcome)
        log_event(
            events.REQUEST_CUT,
            request=state.call.request_id,
            endpoint=endpoint.endpoint_id,
            outcome=outcome,
            reason=Reason.ENDPOINT_BROKEN,
        )
        return Refusal(outcome, Reason.ENDPOINT_BROKEN, RETRY_AFTER_FAILURE_MS, detail)

    def _retry_is_open(self, state: RequestState) -> bool:
        return (
            state.call.repeatable
            and not state.begun
            and state.attempt + 1 < MAX_ATTEMPTS
        )

    def _may_retry(self, state: RequestState, refusal: Refusal) -> bool:
        """Tell whether another attempt is allowed, and begin it.

        A refused connection never took the request, so any work may go on to
        another endpoint; after a break only idempotent work without a key may.
        """
        if state.begun or state.attempt + 1 >= MAX_ATTEMPTS:
            return False
        refused = refusal.reason is Reason.ENDPOINT_REFUSED
        broken = refusal.reason is Reason.ENDPOINT_BROKEN and state.call.repeatable
        if not (refused or broken) or not self._budget.spend():
            return False
        log_event(
            events.REQUEST_RETRIED,
            request=state.call.request_id,
            endpoint=state.endpoint_id,
            attempt=state.attempt,
            reason=refusal.reason,
        )
        state.attempt += 1
        return True

    def _after_dispatch(self, state: RequestState, refusal: Refusal) -> Refusal:
        """Make a scheduler's "not run" true for a request already sent once."""
        if not state.dispatched:
            return refusal
        outcome = Outcome.FAILED if state.call.idempotent else Outcome.UNKNOWN
        return Refusal(outcome, refusal.reason, refusal.retry_after_ms, refusal.detail)

    def _late(self, state: RequestState) -> Refusal:
        detail = "the deadline passed"
        if not state.dispatched:
            return Refusal(
                Outcome.NOT_RUN,
                Reason.DEADLINE_PASSED,
                RETRY_AFTER_FAILURE_MS,
                detail,
            )
        outcome = Outcome.CUT_SHORT if state.begun else Outcome.FAILED
        if not state.begun and not state.call.idempotent:
            outcome = Outcome.UNKNOWN
        return Refusal(outcome, Reason.DEADLINE_PASSED, detail=detail)

    def _budget_ms(self, state: RequestState) -> int:
        elapsed_ms = self._clock.now_ms() - state.accepted_ms
        return int(state.call.deadline_ms - elapsed_ms)

    def _handle(self, state: RequestState, budget_ms: int) -> Handle:
        call = state.call
        return Handle(
            request_id=state.attempt_id(),
            service=call.service.name,
            work=call.work.name,
            tier_rank=call.tier_rank,
            organisation=call.organisation.name,
            team=call.organisation.team,
            budget_ms=budget_ms,
            prefill_tokens=call.prefill_tokens,
            decode_tokens=call.decode_tokens,
            prefix_hashes=call.prefix_hashes,
            data_centre=self._data_centre,
            excluded=state.excluded,
            attempt=state.attempt,
        )

    def _log_dispatch(
        self, state: RequestState, grant: Grant, queued_ms: float
    ) -> None:
        log_event(
            events.REQUEST_DISPATCHED,
            request=state.call.request_id,
            service=state.call.service.name,
            endpoint=grant.endpoint_id,
            attempt=state.attempt,
            waited_ms=self._clock.now_ms() - queued_ms,
            expected_ttft_ms=grant.expected_ttft_ms,
        )

    def _cancel_upstream(
        self, adapter: EndpointAdapter, endpoint: Endpoint, stream_id: str
    ) -> None:
        task = asyncio.create_task(adapter.cancel(endpoint, stream_id))
        self._background.add(task)
        task.add_done_callback(self._background.discard)


def _upstream(state: RequestState) -> UpstreamRequest:
    call = state.call
    # Endpoints see no organisations: a service that answers a repeated key from
    # its own memory must not take one organisation's key for another's.
    key = claim_key(call.organisation.name, call.key) if call.key else ""
    return UpstreamRequest(
        request_id=state.stream_id,
        key=key,
        method=call.method,
        path=call.path,
        headers=call.headers,
        body=call.body,
    )
