"""The life of a forwarded request: check, wait for a slot, send, relay, end.

Nothing else sends callers' requests to endpoints. What an endpoint may have
begun is noted before the first byte leaves, and never taken back but by the
endpoint's own word.
"""

from __future__ import annotations

import asyncio
import math
from typing import TYPE_CHECKING

from pomelolane import events
from pomelolane.coordination.stream_reporter import StreamReporter
from pomelolane.exceptions import (
    BadRequestError,
    EndpointBrokenError,
    EndpointRefusedError,
)
from pomelolane.forwarding import journal, metrics
from pomelolane.forwarding.call import CallState
from pomelolane.forwarding.failures import (
    AgainSignal,
    broken,
    cut_short,
    not_taken,
    timed_out,
)
from pomelolane.forwarding.handles import handle_from_state
from pomelolane.forwarding.patience import (
    SilentEndpointError,
    patience_ms,
    wait_patiently,
)
from pomelolane.forwarding.refusals import (
    answer_refusal,
    refusal_from_error,
    truthful,
)
from pomelolane.forwarding.relay import Relay
from pomelolane.forwarding.stall import StallWatch
from pomelolane.logs import log_event
from pomelolane.outcomes import Outcome, Reason, Refusal
from pomelolane.ports.forwarding import Dispatch, Verdict
from pomelolane.quarantine import Gate
from pomelolane.timeouts import Timeouts

if TYPE_CHECKING:
    from collections.abc import Callable

    from pomelolane.endpoints import AnswerStream
    from pomelolane.forwarding.budget import SharedRetryBudget
    from pomelolane.forwarding.call import ForwardCall
    from pomelolane.forwarding.endpoints import EndpointDirectory
    from pomelolane.forwarding.intake import Intake
    from pomelolane.forwarding.notices import Notices
    from pomelolane.forwarding.sender import Sender, Sent
    from pomelolane.http.exchange import Exchange
    from pomelolane.model import Endpoint
    from pomelolane.ports import Clock, Grant, SchedulerClient
    from pomelolane.quarantine import CrashWatch, Quarantine

MAX_TRIES = 6
"""Grants that one request may ask for; refused connections cost no send."""

STALL_FACTOR = 2.5
"""Times the pause that still counts as on time after which a stream is left: slow
engines pause 1.7 times as long beside long prompts (Cedarline, scale-1), and callers
leave after eight times."""

SKIPPED_BODY_BYTES = 1024 * 1024
"""Most of a refused body that is read so that its caller sees the answer."""

SKIPPED_BODY_MS = 200
"""Longest time for that."""

_REDIRECTION = 300
_SERVER_ERROR = 500
STOPPING_RETRY_MS = 50
"""When to come back to a stopping VM's neighbours: at once."""

_DELIVERED = "delivered"


STOPPING = Refusal(
    Outcome.NOT_RUN, Reason.NOT_READY, STOPPING_RETRY_MS, "the VM is stopping"
)
"""What a stopping VM answers to what it may not be able to finish."""


class Forwarder:
    """Serves callers of routed services.

    Args:
        intake: Checks requests.
        client: Where slots come from.
        sender: Writes to endpoints.
        directory: Endpoints as known here.
        notices: Takes what endpoints say of themselves.
        make_budget: Makes a service's budget of repeated sends.
        quarantine: Requests that no endpoint may get.
        crashes: Looks after endpoints whose connections broke.
        clock: Time.
        data_centre: Where this VM stands.
    """

    def __init__(
        self,
        intake: Intake,
        client: SchedulerClient,
        sender: Sender,
        directory: EndpointDirectory,
        notices: Notices,
        make_budget: Callable[[], SharedRetryBudget],
        quarantine: Quarantine,
        crashes: CrashWatch,
        clock: Clock,
        data_centre: str,
    ) -> None:
        self._intake = intake
        self._client = client
        self._sender = sender
        self._directory = directory
        self._notices = notices
        self._make_budget = make_budget
        self._quarantine = quarantine
        self._gate = Gate(quarantine, client, clock)
        self._crashes = crashes
        self._clock = clock
        self._data_centre = data_centre
        self._budgets: dict[str, SharedRetryBudget] = {}
        self.open_calls: dict[str, CallState] = {}
        self.timeouts = Timeouts(clock)
        self.draining = False
        self._stop_at_ms = math.inf
        self._takes_more = True
        self._ended = asyncio.Event()

    def stop_by(self, at_ms: float) -> None:
        """Take only what can be finished until then."""
        self._stop_at_ms = at_ms

    async def finish(self) -> None:
        """Return when what was open is done; what comes meanwhile is short."""
        before = set(self.open_calls)
        while before & self.open_calls.keys():
            await self._next_end()
        self._takes_more = False
        while self.open_calls:
            await self._next_end()

    async def _next_end(self) -> None:
        self._ended.clear()
        await self._ended.wait()

    def may_take(self, limit_ms: float) -> bool:
        """Tell whether a request that may last so long surely ends before a stop."""
        if math.isinf(self._stop_at_ms):
            return True
        return self._takes_more and self._clock.now_ms() + limit_ms < self._stop_at_ms

    async def serve(self, exchange: Exchange) -> None:
        """Serve one exchange to its end."""
        task = asyncio.current_task()
        try:
            call = await self._intake.take(exchange)
        except BadRequestError as error:
            await self._turn_away(exchange, error)
            return
        exchange.watch_disconnect(task.cancel)
        state = CallState(call, last_event_id=call.description.resume_after)
        self.open_calls[call.local_id] = state
        journal.accepted(call)
        try:
            await self._serve(state, exchange)
        except asyncio.CancelledError:
            if not exchange.gone:
                raise
            task.uncancel()
            journal.abandoned(state, self._clock.now_ms())
        finally:
            del self.open_calls[call.local_id]
            self._ended.set()

    async def _turn_away(self, exchange: Exchange, error: BadRequestError) -> None:
        refusal = refusal_from_error(error)
        log_event(events.BAD_INPUT, reason=refusal.reason, status=error.status)
        metrics.count_end("", "", 0, refusal.outcome.value, refusal.reason.value)
        await exchange.skip_body(SKIPPED_BODY_BYTES, SKIPPED_BODY_MS)
        await answer_refusal(exchange, refusal, "", closes=self.draining)

    async def _serve(self, state: CallState, exchange: Exchange) -> None:
        call = state.call
        relay = Relay(exchange, state, self._clock, closes=self.draining)
        if not self.may_take(call.limit_ms):
            await self._refuse(state, exchange, STOPPING)
            return
        self._budget(call.service).earn()
        try:
            async with self.timeouts.after(self._left_ms(call)):
                refusal = await self._run(state, relay)
        except TimeoutError:
            refusal = timed_out(state)
        if refusal is None:
            metrics.count_end(call.route.name, call.service, call.rank, _DELIVERED)
            return
        await self._refuse(state, exchange, refusal)

    async def _run(self, state: CallState, relay: Relay) -> Refusal | None:
        """Try endpoints until one answers; return the refusal if none does."""
        while True:
            grant = await self._acquire(state)
            if isinstance(grant, Refusal):
                return truthful(state, grant)
            state.tries += 1
            watch = StreamReporter(self._client, grant, self._clock)
            try:
                await self._attempt(state, relay, grant, watch)
            except AgainSignal as again:
                if not again.is_paid and not self._may_repeat(state):
                    return truthful(state, again.refusal)
                balance = self._budget(state.call.service).balance
                journal.retried(state, again.refusal, balance)
                continue
            finally:
                watch.finish()
                if state.run is not None:
                    state.run.leave()
            return None

    async def _acquire(self, state: CallState) -> Grant | Refusal:
        asked_ms = self._clock.now_ms()
        handle = handle_from_state(state, self._data_centre, asked_ms)
        grant = await self._gate.acquire(state.call.fingerprint, handle)
        metrics.observe_wait(state.call.service, self._clock.now_ms() - asked_ms)
        return grant

    async def _attempt(
        self, state: CallState, relay: Relay, grant: Grant, watch: StreamReporter
    ) -> None:
        """Send to one endpoint and relay its answer.

        Raises:
            AgainSignal: It gave no answer that the caller has seen the end of.
        """
        call = state.call
        endpoint = self._directory.usable(grant.endpoint_id)
        state.endpoint_id = grant.endpoint_id
        if endpoint is None:
            raise not_taken(state, watch, "the endpoint is leaving")
        try:
            connection = await self._sender.connect(endpoint)
        except EndpointRefusedError as error:
            raise not_taken(state, watch, str(error)) from error
        left_ms = int(self._left_ms(call))
        if left_ms <= 0:
            raise TimeoutError
        state.run = self._crashes.begin(call.fingerprint, endpoint)
        may_have_run, state.may_have_run = state.may_have_run, True
        state.sends += 1
        watch.note_dispatch()
        journal.sent(
            state, grant, left_ms, self._clock.now_ms(), self._directory.age_ms
        )
        dispatch = Dispatch(call.organisation, left_ms, state.last_event_id)
        sending = self._sender.send(connection, call, endpoint, dispatch)
        try:
            sent = await wait_patiently(
                sending,
                self._patience_ms(state, grant),
                lambda: self._may_repeat(state),
            )
        except EndpointRefusedError as error:
            state.run.settle()
            state.may_have_run = may_have_run
            state.sends -= 1
            raise not_taken(state, watch, str(error)) from error
        except SilentEndpointError as error:
            again = broken(state, watch, str(error))
            again.is_paid = True
            raise again from error
        except EndpointBrokenError as error:
            again = broken(state, watch, str(error))
            await state.run.broke()
            raise again from error
        self._notices.take(endpoint, sent.notice, watch)
        if sent.verdict is Verdict.NOT_RUN:
            state.run.settle()
            state.may_have_run = may_have_run
            await sent.stream.aclose()
            raise not_taken(state, watch, "the endpoint did not run it")
        await self._pass_on(state, relay, sent, watch, endpoint)

    def _patience_ms(self, state: CallState, grant: Grant) -> float | None:
        objective_ms = state.call.route.objective_ms
        if not objective_ms or not self._can_repeat(state):
            return None
        return patience_ms(grant.expected_ttft_ms, objective_ms)

    async def _pass_on(
        self,
        state: CallState,
        relay: Relay,
        sent: Sent,
        watch: StreamReporter,
        endpoint: Endpoint,
    ) -> None:
        stream = sent.stream
        failed = stream.status >= _SERVER_ERROR
        stall = self._stall_watch(state, stream)
        try:
            if failed and self._may_repeat(state):
                # It has answered: its service fails, the endpoint is there.
                state.run.settle()
                watch.note_first_byte()
                detail = f"the endpoint answered {stream.status}"
                again = broken(state, watch, detail)
                again.is_paid = True
                raise again
            await stream.wait()
            if not stream.is_broken_unread:
                watch.note_first_byte()
                self._observe_first(state)
            end = await relay.pass_on(stream, watch.note_tokens, stall)
        finally:
            if stall is not None:
                stall.stop()
            await stream.aclose()
        if not end.whole:
            again = cut_short(state, watch, stream, stall)
            if not again.is_paid:
                await self._crashes.look(
                    state.call.fingerprint, endpoint, endpoint.address
                )
            raise again
        state.run.settle()
        if failed:
            watch.finish(outcome=Outcome.FAILED)
        elif stream.status < _REDIRECTION:
            self._quarantine.answered(state.call.fingerprint)
        journal.finished(
            state.call,
            endpoint,
            stream.status,
            watch.ttft_ms,
            end,
            self._clock.now_ms(),
        )

    def _stall_watch(self, state: CallState, stream: AnswerStream) -> StallWatch | None:
        """Return what watches a stream that may be resumed, None for others."""
        route = state.call.route
        if not route.is_resumable or not route.gap_ms:
            return None

        def leave() -> bool:
            if not self._may_repeat(state):
                return False
            stream.cut()
            return True

        return StallWatch(STALL_FACTOR * route.gap_ms, leave, self._clock)

    # --- what went wrong ----------------------------------------------------

    def _can_repeat(self, state: CallState) -> bool:
        """Tell whether another endpoint may be asked, budget aside."""
        call = state.call
        if state.tries >= MAX_TRIES or state.sends >= call.route.attempts:
            return False
        if state.may_have_run and not call.route.is_repeatable:
            return False
        return not state.answer_begun or call.route.is_resumable

    def _may_repeat(self, state: CallState) -> bool:
        """Tell whether another endpoint may be asked, and pay for it."""
        if not self._can_repeat(state):
            return False
        # A send that reached no endpoint costs nothing of the budget.
        return state.sends == 0 or self._budget(state.call.service).spend()

    async def _refuse(
        self, state: CallState, exchange: Exchange, refusal: Refusal
    ) -> None:
        held_ms = self._clock.now_ms() - state.call.accepted_ms
        status = 0
        if state.answer_begun:
            # The head is out: only a visible break tells the truth now.
            exchange.abort()
        else:
            status = await answer_refusal(
                exchange, refusal, state.call.log_id, closes=self.draining
            )
        journal.refused(state, refusal, status, held_ms)

    # --- helpers --------------------------------------------------------------

    def _left_ms(self, call: ForwardCall) -> float:
        return call.left_ms(self._clock.now_ms())

    def _budget(self, service: str) -> SharedRetryBudget:
        budget = self._budgets.get(service)
        if budget is None:
            budget = self._budgets[service] = self._make_budget()
        return budget

    def _observe_first(self, state: CallState) -> None:
        call = state.call
        first_ms = self._clock.now_ms() - call.accepted_ms
        objective_ms = call.route.objective_ms
        metrics.observe_first(call.service, call.rank, first_ms, objective_ms)
