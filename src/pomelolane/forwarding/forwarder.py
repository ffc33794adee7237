"""Forwards a request: checks it, waits for a slot, sends it and relays the answer.

This is the only code that sends callers' requests to endpoints. A request is recorded
as possibly run before its first byte is sent; this is undone only if the connection was
closed before the write or the endpoint reports that it did not run the request.
"""

from __future__ import annotations

import asyncio
import math
from typing import TYPE_CHECKING

import msgspec

from pomelolane import events
from pomelolane.coordination.stream_reporter import StreamReporter
from pomelolane.exceptions import (
    BadRequestError,
    EndpointBrokenError,
    EndpointRefusedError,
)
from pomelolane.forwarding import metrics, request_log
from pomelolane.forwarding.call import CallState
from pomelolane.forwarding.event_buffer import HeldEvents
from pomelolane.forwarding.failures import (
    RetrySignal,
    broken_by_endpoint,
    incomplete_answer,
    no_matching_version,
    origin_unknown,
    refused_by_endpoint,
    timed_out,
)
from pomelolane.forwarding.first_byte import (
    FirstByteTimeoutError,
    first_byte_timeout_ms,
    wait_for_first_byte,
)
from pomelolane.forwarding.handles import handle_from_state
from pomelolane.forwarding.peer_relay import MISDIRECTED_STATUS, UNABLE_HEADER
from pomelolane.forwarding.refusals import (
    INTERNAL_ERROR,
    answer_refusal,
    refusal_after_sends,
    refusal_from_error,
)
from pomelolane.forwarding.relay import Relay
from pomelolane.forwarding.sender import RELAY_ID_HEADER, SENDS_HEADER
from pomelolane.forwarding.stall import StallWatch
from pomelolane.logs import log_event
from pomelolane.outcomes import Outcome, Reason, Refusal
from pomelolane.ports.forwarding import Dispatch, Verdict
from pomelolane.quarantine import Gate
from pomelolane.resumption import (
    ORIGIN_HEADER,
    origin_from_endpoint,
    origin_from_header,
)
from pomelolane.timeouts import Timeouts

if TYPE_CHECKING:
    from collections.abc import Callable

    from pomelolane.endpoints import AnswerStream
    from pomelolane.forwarding.budget import SharedRetryBudget
    from pomelolane.forwarding.call import ForwardCall
    from pomelolane.forwarding.continuation import Continuation
    from pomelolane.forwarding.endpoints import EndpointDirectory
    from pomelolane.forwarding.intake import Intake
    from pomelolane.forwarding.notices import NoticeHandler
    from pomelolane.forwarding.peer_relay import PeerRelay
    from pomelolane.forwarding.reach import EndpointReach
    from pomelolane.forwarding.sender import Sender, SendResult
    from pomelolane.http.exchange import Exchange
    from pomelolane.model import Endpoint
    from pomelolane.ports import Clock, Grant, SchedulerClient
    from pomelolane.quarantine import CrashWatch, Quarantine

MAX_GRANTS = 6
"""Most grants that one request asks for. Refused connections use up grants, but are not
counted as sends."""

STALL_GAP_FACTOR = 2.5
"""Silence after which a stream is abandoned, as a multiple of the route's `gap_ms`.
Slow engines pause up to 1.7 times as long beside long prompts, and callers disconnect
after eight times."""

SEEK_INTERVAL_MS = 250.0
"""Interval for asking again for a slot elsewhere while an endpoint is silent; a used-up
retry budget refills within seconds."""

MAX_SKIPPED_BODY_BYTES = 1024 * 1024
"""Most bytes of a rejected request's body that are read, so that the caller reads the
answer."""

SKIP_BODY_TIMEOUT_MS = 200
"""Longest time for which the body of a rejected request is read."""

_FIRST_REDIRECTION_STATUS = 300
_FIRST_SERVER_ERROR_STATUS = 500
STOPPING_RETRY_MS = 50
"""Retry delay for callers of a stopping VM: other VMs can serve them at once."""

_DELIVERED = "delivered"
_HEADERS_BETWEEN_VMS = frozenset({SENDS_HEADER, ORIGIN_HEADER, RELAY_ID_HEADER})


STOPPING_REFUSAL = Refusal(
    Outcome.NOT_RUN, Reason.NOT_READY, STOPPING_RETRY_MS, "the VM is stopping"
)
"""Answer of a stopping VM to requests that it may not be able to finish."""


class Forwarder:
    """Forwards callers' requests to endpoints of routed services.

    Args:
        intake: Checks requests.
        client: Gets grants of endpoint slots from the schedulers.
        sender: Sends requests to endpoints.
        directory: Known endpoints.
        notice_handler: Handles notices that endpoints add to their answers.
        make_budget: Creates the retry budget of a service.
        quarantine: Requests that must not be sent to any endpoint.
        crashes: Checks whether endpoints with broken connections have crashed.
        clock: Source of the current time.
        data_centre: Data centre of this VM.
        reach: Tells whether this VM is cut off from all endpoints.
        peer_relay: Has other VMs serve its requests then.
        continuation: Lets streams go on only where they began.

    Attributes:
        open_calls: Requests that are not finished yet, by local id.
        timeouts: Time limits of the open requests.
        draining: Whether callers' connections are closed after the answer.
    """

    def __init__(
        self,
        intake: Intake,
        client: SchedulerClient,
        sender: Sender,
        directory: EndpointDirectory,
        notice_handler: NoticeHandler,
        make_budget: Callable[[], SharedRetryBudget],
        quarantine: Quarantine,
        crashes: CrashWatch,
        clock: Clock,
        data_centre: str,
        reach: EndpointReach,
        peer_relay: PeerRelay,
        continuation: Continuation,
    ) -> None:
        self._intake = intake
        self._client = client
        self._sender = sender
        self._directory = directory
        self._notice_handler = notice_handler
        self._make_budget = make_budget
        self._quarantine = quarantine
        self._gate = Gate(quarantine, client, clock)
        self._crashes = crashes
        self._clock = clock
        self._data_centre = data_centre
        self._reach = reach
        self._peer_relay = peer_relay
        self._continuation = continuation
        self._held_events = HeldEvents()
        self._budgets: dict[str, SharedRetryBudget] = {}
        self.open_calls: dict[str, CallState] = {}
        self.timeouts = Timeouts(clock)
        self.draining = False
        self._stop_at_ms = math.inf
        self._accepts_until_stop = True
        self._request_ended = asyncio.Event()

    def set_stop_time(self, at_ms: float) -> None:
        """Accept only requests that can be finished before this time."""
        self._stop_at_ms = at_ms

    async def finish(self) -> None:
        """Wait until all requests have ended, then accept no more.

        While the open requests run, new ones that end before the stop time are still
        accepted.
        """
        open_at_start = set(self.open_calls)
        while open_at_start & self.open_calls.keys():
            await self._wait_for_next_end()
        self._accepts_until_stop = False
        while self.open_calls:
            await self._wait_for_next_end()

    async def _wait_for_next_end(self) -> None:
        self._request_ended.clear()
        await self._request_ended.wait()

    def can_accept(self, limit_ms: float) -> bool:
        """Return whether a request with this time limit ends before the stop time."""
        if math.isinf(self._stop_at_ms):
            return True
        return (
            self._accepts_until_stop
            and self._clock.now_ms() + limit_ms < self._stop_at_ms
        )

    async def serve(self, exchange: Exchange) -> None:
        """Serve one exchange until it is answered or its caller has disconnected."""
        try:
            call = await self._intake.accept(exchange)
        except BadRequestError as error:
            refusal = refusal_from_error(error)
            log_event(events.BAD_INPUT, reason=refusal.reason, status=error.status)
            await self._reject(exchange, refusal)
            return
        except Exception as error:
            request_log.error("", error)
            await self._reject(exchange, INTERNAL_ERROR)
            return
        state = CallState(call, last_event_id=call.description.resume_after)
        await self._serve_watched(state, exchange)

    async def serve_relayed(self, exchange: Exchange) -> None:
        """Serve an exchange in which another VM stands for the caller.

        The answer is 421 if that VM should ask another one: this one does not accept
        the request, perhaps by an older configuration, is cut off itself, or fails
        before it has sent the request.
        """
        if relay_id := exchange.header(RELAY_ID_HEADER):
            exchange.extra_headers.append((RELAY_ID_HEADER, relay_id))
        try:
            sends = exchange.header(SENDS_HEADER)
            origin = origin_from_header(exchange.header(ORIGIN_HEADER))
            exchange.headers = [
                one for one in exchange.headers if one[0] not in _HEADERS_BETWEEN_VMS
            ]
            call = await self._intake.accept(exchange)
        except BadRequestError as error:
            is_unable = error.reason is Reason.NOT_READY
            await _answer_misdirected(exchange, is_unable=is_unable)
            return
        except Exception as error:
            request_log.error("", error)
            await _answer_misdirected(exchange)
            return
        if self._reach.is_cut_off or not self.can_accept(call.limit_ms):
            await _answer_misdirected(exchange, is_unable=True)
            return
        state = CallState(
            call,
            sends=int(sends) if sends.isdigit() else 0,
            last_event_id=call.description.resume_after,
            origin=origin,
            is_relayed=True,
        )
        await self._serve_watched(state, exchange)

    async def _serve_watched(self, state: CallState, exchange: Exchange) -> None:
        """Serve an accepted request, and end with its caller."""
        call = state.call
        task = asyncio.current_task()
        exchange.watch_disconnect(task.cancel)
        self.open_calls[call.local_id] = state
        try:
            request_log.accepted(call)
            await self._serve(state, exchange)
        except asyncio.CancelledError:
            if not exchange.gone:
                raise
            task.uncancel()
            request_log.abandoned(state, self._clock.now_ms())
        except Exception as error:
            request_log.error(call.log_id, error)
            await self._end_in_error(state, exchange)
        finally:
            del self.open_calls[call.local_id]
            self._request_ended.set()

    async def _end_in_error(self, state: CallState, exchange: Exchange) -> None:
        """End a request after an unhandled error, unless its answer is complete."""
        if exchange.completed:
            return
        has_begun = state.answer_begun or exchange.answered
        if state.is_relayed and not state.may_have_run and not has_begun:
            await _answer_misdirected(exchange)
            return
        refusal = refusal_after_sends(state, INTERNAL_ERROR)
        await self._refuse(state, exchange, refusal)

    async def _reject(self, exchange: Exchange, refusal: Refusal) -> None:
        metrics.count_end("", "", 0, refusal.outcome.value, refusal.reason.value)
        await exchange.skip_body(MAX_SKIPPED_BODY_BYTES, SKIP_BODY_TIMEOUT_MS)
        await answer_refusal(exchange, refusal, "", closes=self.draining)

    async def _serve(self, state: CallState, exchange: Exchange) -> None:
        call = state.call
        relay = Relay(
            exchange, state, self._clock, self._held_events, closes=self.draining
        )
        if not self.can_accept(call.limit_ms):
            await self._refuse(state, exchange, STOPPING_REFUSAL)
            return
        if not state.is_relayed:
            self._budget(call.service).earn()
        try:
            async with self.timeouts.after(self._remaining_ms(call)):
                refusal = await self._continuation.bind_resumed(state)
                if refusal is None:
                    refusal = await self._try_endpoints(state, relay)
        except TimeoutError:
            refusal = timed_out(state)
        finally:
            self._release_next_grant(state)
            self._continuation.end(state)
        if refusal is None:
            metrics.count_end(call.route.name, call.service, call.rank, _DELIVERED)
            return
        await self._refuse(state, exchange, refusal)

    async def _try_endpoints(self, state: CallState, relay: Relay) -> Refusal | None:
        """Try endpoints until one answers; return the refusal if none does."""
        while True:
            if state.needs_origin:
                return origin_unknown(state)
            try:
                if await self._peer_relay.serve(state, relay):
                    return None
                if state.next_grant is not None:
                    grant, state.next_grant = state.next_grant, None
                elif self._continuation.has_endpoint_left(state):
                    grant = await self._acquire_grant(state)
                else:
                    grant = no_matching_version(state)
                if isinstance(grant, Refusal):
                    if state.excluded and await self._peer_relay.can_serve(state):
                        continue
                    return refusal_after_sends(state, grant)
                await self._use_grant(state, relay, grant)
            except RetrySignal as retry:
                if state.next_grant is None and not await self._can_go_on(state):
                    return no_matching_version(state)
                if not retry.is_charged and not self._reserve_retry(state):
                    return refusal_after_sends(state, retry.refusal)
                balance = self._budget(state.call.service).balance
                request_log.retried(state, retry.refusal, balance)
                continue
            return None

    async def _can_go_on(self, state: CallState) -> bool:
        """Return whether an endpoint or another VM is left for the answer."""
        if self._continuation.has_endpoint_left(state) or self._reach.is_cut_off:
            return True
        return await self._peer_relay.can_serve(state)

    async def _use_grant(self, state: CallState, relay: Relay, grant: Grant) -> None:
        state.grants += 1
        watch = StreamReporter(self._client, grant, self._clock)
        self._reach.note_sent()
        try:
            await self._attempt(state, relay, grant, watch)
        finally:
            self._reach.note_ended()
            watch.finish()
            if state.run is not None:
                state.run.leave()

    async def _acquire_grant(
        self, state: CallState, silent: tuple[str, ...] = ()
    ) -> Grant | Refusal:
        """Wait for a slot at an endpoint that has not failed, and is not silent."""
        asked_ms = self._clock.now_ms()
        handle = handle_from_state(state, self._data_centre, asked_ms)
        state.asks += 1
        if silent:
            excluded = (*handle.excluded, *silent)
            handle = msgspec.structs.replace(handle, excluded=excluded)
        grant = await self._gate.acquire(state.call.subjects, handle)
        metrics.observe_wait(state.call.service, self._clock.now_ms() - asked_ms)
        return grant

    async def _attempt(
        self, state: CallState, relay: Relay, grant: Grant, watch: StreamReporter
    ) -> None:
        """Send the request to one endpoint and relay its answer.

        Raises:
            RetrySignal: The caller did not get a complete answer.
            TimeoutError: The request's time limit has passed.
        """
        call = state.call
        await self._directory.confirmation.ensure()
        endpoint = self._directory.usable(grant.endpoint_id)
        state.endpoint_id = grant.endpoint_id
        if endpoint is None:
            raise refused_by_endpoint(state, watch, "the endpoint is leaving")
        if not state.may_go_to(endpoint):
            detail = f"the endpoint has version {endpoint.version}"
            raise refused_by_endpoint(state, watch, detail)
        try:
            connection = await self._sender.connect(endpoint)
        except EndpointRefusedError as error:
            self._reach.note_failure()
            raise refused_by_endpoint(state, watch, str(error)) from error
        try:
            # The VM may have stood still while it connected.
            await self._directory.confirmation.ensure()
        except BaseException:
            connection.discard()
            raise
        remaining_ms = int(self._remaining_ms(call))
        if remaining_ms <= 0:
            raise TimeoutError
        state.run = self._crashes.begin(call.subjects, endpoint)
        may_have_run_before, state.may_have_run = state.may_have_run, True
        had_paid_retry = state.has_paid_retry
        state.count_send()
        watch.note_dispatch()
        request_log.sent(
            state,
            grant,
            endpoint,
            remaining_ms,
            self._clock.now_ms(),
            self._directory,
        )
        dispatch = Dispatch(call.organisation, remaining_ms, state.last_event_id)
        sending = self._sender.send(
            connection, call, endpoint, dispatch, self._directory.is_usable
        )
        try:
            sent = await wait_for_first_byte(
                sending,
                self._first_byte_timeout_ms(state, grant),
                lambda: self._seek_elsewhere(state),
            )
        except EndpointRefusedError as error:
            state.run.settle()
            state.may_have_run = may_have_run_before
            state.sends -= 1
            state.has_paid_retry = had_paid_retry
            raise refused_by_endpoint(state, watch, str(error)) from error
        except FirstByteTimeoutError as error:
            retry = broken_by_endpoint(state, watch, str(error))
            retry.is_charged = True
            raise retry from error
        except EndpointBrokenError as error:
            self._reach.note_failure()
            retry = broken_by_endpoint(state, watch, str(error))
            await state.run.broke()
            raise retry from error
        self._release_next_grant(state)
        self._reach.note_heard()
        self._notice_handler.handle(endpoint, sent.notice, watch)
        if sent.verdict is Verdict.NOT_RUN:
            state.run.settle()
            state.may_have_run = may_have_run_before
            await sent.stream.aclose()
            raise refused_by_endpoint(state, watch, "the endpoint did not run it")
        await self._relay_answer(state, relay, sent, watch, endpoint)

    def _first_byte_timeout_ms(self, state: CallState, grant: Grant) -> float | None:
        objective_ms = state.call.route.objective_ms
        if not objective_ms or not self._can_retry(state):
            return None
        return first_byte_timeout_ms(grant.expected_ttft_ms, objective_ms)

    async def _relay_answer(
        self,
        state: CallState,
        relay: Relay,
        sent: SendResult,
        watch: StreamReporter,
        endpoint: Endpoint,
    ) -> None:
        stream = sent.stream
        failed = stream.status >= _FIRST_SERVER_ERROR_STATUS
        stall = self._stall_watch(state, stream)

        def on_chunk(chunks: int) -> None:
            self._reach.note_heard()
            watch.note_tokens(chunks)

        def on_begin() -> None:
            self._continuation.begin(state, origin_from_endpoint(endpoint))

        try:
            if failed or state.answer_begun:
                self._check_status(state, stream.status, watch)
            await stream.wait()
            if not stream.is_broken_unread:
                watch.note_first_byte()
                self._observe_first_byte(state)
            result = await relay.relay(stream, on_chunk, stall, on_begin)
        finally:
            if stall is not None:
                stall.stop()
            await stream.aclose()
        if not result.is_complete:
            self._reach.note_failure()
            retry = incomplete_answer(state, watch, result, stall)
            if not retry.is_charged:
                await self._crashes.look(
                    state.call.subjects, endpoint, endpoint.address
                )
            raise retry
        state.run.settle()
        if failed:
            watch.finish(outcome=Outcome.FAILED)
        elif stream.status < _FIRST_REDIRECTION_STATUS:
            self._quarantine.answered(state.call.subjects)
        request_log.finished(
            state.call,
            endpoint,
            stream,
            watch.ttft_ms,
            result,
            self._clock.now_ms(),
        )

    def _check_status(
        self, state: CallState, status: int, watch: StreamReporter
    ) -> None:
        """Raise if the answer must not be relayed; the endpoint has not crashed.

        A failure may be retried elsewhere. The body of any answer but a success cannot
        continue an answer that has begun: its end would make a broken stream look
        complete.

        Raises:
            RetrySignal: The answer is not relayed.
        """
        is_unrelated = state.answer_begun and status >= _FIRST_REDIRECTION_STATUS
        is_retried = status >= _FIRST_SERVER_ERROR_STATUS and self._reserve_retry(state)
        if not is_unrelated and not is_retried:
            return
        state.run.settle()
        watch.note_first_byte()
        retry = broken_by_endpoint(state, watch, f"the endpoint answered {status}")
        retry.is_charged = is_retried
        raise retry

    def _stall_watch(self, state: CallState, stream: AnswerStream) -> StallWatch | None:
        """Return a watch for a resumable stream, None for other streams."""
        route = state.call.route
        if not route.is_resumable or not route.gap_ms:
            return None

        return StallWatch(
            STALL_GAP_FACTOR * route.gap_ms,
            lambda: self._seek_elsewhere(state),
            stream.cut,
            self._clock,
        )

    # --- moves away from silent endpoints -------------------------------------

    async def _seek_elsewhere(self, state: CallState) -> None:
        """Return once a request can go on elsewhere while its endpoint is silent.

        The retry is charged then, and the grant of the other endpoint is kept in the
        state. There is none if another VM is to serve the request.
        """
        task = asyncio.current_task()
        while not await self._find_elsewhere(state):
            await asyncio.sleep(SEEK_INTERVAL_MS / 1000)
            if task.cancelling():
                raise asyncio.CancelledError

    async def _find_elsewhere(self, state: CallState) -> bool:
        if not self._can_pay_retry(state):
            return False
        if self._reach.is_cut_off and await self._peer_relay.can_serve(state):
            return self._reserve_retry(state)
        if not self._continuation.has_endpoint_left(state):
            return False
        grant = await self._acquire_grant(state, (state.endpoint_id,))
        if isinstance(grant, Refusal):
            return False
        if not self._may_use(state, grant):
            self._client.release(grant)
            return False
        state.next_grant = grant
        return True

    def _may_use(self, state: CallState, grant: Grant) -> bool:
        """Return whether to leave a silent endpoint for a grant; charge the retry."""
        if asyncio.current_task().cancelling():
            return False
        endpoint = self._directory.usable(grant.endpoint_id)
        if endpoint is None or not state.may_go_to(endpoint):
            return False
        return self._reserve_retry(state)

    def _release_next_grant(self, state: CallState) -> None:
        """Give back the grant of an endpoint that is not needed any more."""
        if state.next_grant is not None:
            self._client.release(state.next_grant)
            state.next_grant = None

    # --- retries and refusals -----------------------------------------------

    def _can_retry(self, state: CallState) -> bool:
        """Return whether the request may be sent again, regardless of the budget."""
        call = state.call
        if state.grants >= MAX_GRANTS or state.sends >= call.route.attempts:
            return False
        if state.may_have_run and not call.route.is_repeatable:
            return False
        return not state.answer_begun or call.route.is_resumable

    def _reserve_retry(self, state: CallState) -> bool:
        """Return whether the request may be sent again, and charge the retry budget."""
        if not self._can_retry(state):
            return False
        # Attempts that reached no endpoint are not charged to the budget.
        if state.sends > 0 and not state.has_paid_retry:
            state.has_paid_retry = self._budget(state.call.service).spend()
            return state.has_paid_retry
        return True

    def _can_pay_retry(self, state: CallState) -> bool:
        """Return whether the request could be sent again now; charge nothing."""
        if not self._can_retry(state):
            return False
        is_free = state.sends == 0 or state.has_paid_retry
        return is_free or self._budget(state.call.service).balance >= 1.0

    async def _refuse(
        self, state: CallState, exchange: Exchange, refusal: Refusal
    ) -> None:
        held_ms = self._clock.now_ms() - state.call.accepted_ms
        status = 0
        if state.answer_begun or exchange.answered:
            # The status is already sent, so closing the connection is the only way to
            # signal the failure.
            exchange.abort()
        else:
            status = await answer_refusal(
                exchange, refusal, state.call.log_id, closes=self.draining
            )
        request_log.refused(state, refusal, status, held_ms)

    # --- helpers --------------------------------------------------------------

    def _remaining_ms(self, call: ForwardCall) -> float:
        return call.remaining_ms(self._clock.now_ms())

    def _budget(self, service: str) -> SharedRetryBudget:
        budget = self._budgets.get(service)
        if budget is None:
            budget = self._budgets[service] = self._make_budget()
        return budget

    def _observe_first_byte(self, state: CallState) -> None:
        call = state.call
        first_ms = self._clock.now_ms() - call.accepted_ms
        objective_ms = call.route.objective_ms
        metrics.observe_first_byte(call.service, call.rank, first_ms, objective_ms)


async def _answer_misdirected(exchange: Exchange, *, is_unable: bool = False) -> None:
    """Have the VM that stands for the caller ask another one.

    Args:
        exchange: The exchange.
        is_unable: Whether this VM can't serve any request now.
    """
    headers = [(UNABLE_HEADER, b"1")] if is_unable else []
    await exchange.respond(MISDIRECTED_STATUS, headers, b"")
