"""Has other VMs serve the requests of a VM that is cut off from all endpoints.

The other VM schedules, charges and sends a request as its own callers'; its answer goes
to the caller like an endpoint's.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from pomelolane.exceptions import EndpointBrokenError, EndpointRefusedError
from pomelolane.forwarding import request_log
from pomelolane.forwarding.failures import broken_by_peer
from pomelolane.forwarding.peers import relay_address
from pomelolane.ports.forwarding import Dispatch
from pomelolane.resumption import ORIGIN_HEADER, origin_from_header

if TYPE_CHECKING:
    from pomelolane.endpoints import AnswerStream
    from pomelolane.forwarding.call import CallState
    from pomelolane.forwarding.continuation import Continuation
    from pomelolane.forwarding.peers import RelayPeers
    from pomelolane.forwarding.reach import EndpointReach
    from pomelolane.forwarding.relay import Relay, RelayResult
    from pomelolane.forwarding.sender import Sender
    from pomelolane.ports import Clock, Peer

MISDIRECTED_STATUS = 421
"""Status by which a VM says that it can't serve a request, and has not run it."""

UNABLE_HEADER = b"pomelolane-unable"
"""Header of such an answer by a VM that can serve no request at all now. Others only
refuse this request, perhaps by another configuration."""

RELAY_RESERVE_MS = 20
"""Time kept for the way back of an answer from another VM."""

_NOT_RUN_STATUSES = frozenset({408, 429, 503})
_FIRST_REDIRECTION_STATUS = 300


class PeerRelay:
    """Relays requests to other VMs while this one reaches no endpoint.

    Args:
        reach: Tells whether this VM is cut off from all endpoints.
        peers: Chooses the other VMs.
        sender: Sends the requests.
        clock: Source of the current time.
        continuation: Records where streams begin that other VMs bring.
    """

    def __init__(
        self,
        reach: EndpointReach,
        peers: RelayPeers,
        sender: Sender,
        clock: Clock,
        continuation: Continuation,
    ) -> None:
        self._reach = reach
        self._peers = peers
        self._sender = sender
        self._clock = clock
        self._continuation = continuation

    async def can_serve(self, state: CallState) -> bool:
        """Return whether another VM may serve a request, after a probe in doubt."""
        if state.is_relayed or not await self._reach.check():
            return False
        return self._peers.choose(state.tried_peers) is not None

    async def serve(self, state: CallState, relay: Relay) -> bool:
        """Have another VM serve a request if this one is cut off.

        Returns:
            Whether it was answered. If not, no other VM can serve it, or this one is
            not cut off.

        Raises:
            RetrySignal: The caller did not get a complete answer.
            TimeoutError: The request's time limit has passed.
        """
        if state.is_relayed:
            return False
        while self._reach.is_cut_off:
            peer = self._peers.choose(state.tried_peers)
            if peer is None:
                return False
            state.tried_peers += (peer.vm_id,)
            if await self._try_peer(state, relay, peer):
                return True
        return False

    async def _try_peer(self, state: CallState, relay: Relay, peer: Peer) -> bool:
        """Relay a request to one VM; return whether it has answered for it."""
        call = state.call
        now_ms = self._clock.now_ms()
        left_ms = int(call.remaining_ms(now_ms)) - RELAY_RESERVE_MS
        if left_ms <= 0:
            raise TimeoutError
        may_have_run_before, state.may_have_run = state.may_have_run, True
        request_log.relayed(state, peer.vm_id, left_ms)
        dispatch = Dispatch(call.organisation, left_ms, state.last_event_id)
        address = relay_address(peer.address)
        try:
            stream = await self._sender.send_to_peer(
                address, call, dispatch, state.sends, state.origin
            )
        except EndpointRefusedError as error:
            state.may_have_run = may_have_run_before
            self._skip_peer(state, peer, str(error))
            return False
        except EndpointBrokenError as error:
            state.count_send()
            self._skip_peer(state, peer, str(error))
            raise broken_by_peer(state, str(error)) from error
        if stream.status == MISDIRECTED_STATUS:
            state.may_have_run = may_have_run_before
            await stream.aclose()
            if stream.header(UNABLE_HEADER):
                self._peers.mark_unable(peer.vm_id)
            self._log_end(state, peer, stream.status, detail="the VM can't serve it")
            return False
        state.count_send()
        if stream.status in _NOT_RUN_STATUSES:
            state.may_have_run = may_have_run_before
        await self._pass_answer(state, relay, stream, peer)
        return True

    def _skip_peer(self, state: CallState, peer: Peer, detail: str) -> None:
        self._peers.mark_unable(peer.vm_id)
        self._log_end(state, peer, 0, detail=detail)

    async def _pass_answer(
        self, state: CallState, relay: Relay, stream: AnswerStream, peer: Peer
    ) -> None:
        """Pass an answer on to the caller.

        Raises:
            RetrySignal: It is not complete, can't continue the answer that has begun,
                or says "not run" of a request that was sent before.
        """
        is_success = stream.status < _FIRST_REDIRECTION_STATUS
        is_untrue = stream.status in _NOT_RUN_STATUSES and state.may_have_run
        origin = origin_from_header(stream.header(ORIGIN_HEADER))
        is_joined = is_success and state.origin is not None and origin != state.origin
        detail = ""
        if is_untrue or (state.answer_begun and not is_success):
            detail = f"the VM answered {stream.status}"
        elif is_joined:
            detail = "the VM does not go on at the version that began the stream"

        def on_begin() -> None:
            if origin is not None:
                self._continuation.begin(state, origin)

        try:
            if detail:
                self._log_end(state, peer, stream.status, detail=detail)
                raise broken_by_peer(state, detail)
            result = await relay.relay(stream, lambda _: None, on_begin=on_begin)
        finally:
            await stream.aclose()
        self._log_end(state, peer, stream.status, result, result.failure)
        if not result.is_complete:
            raise broken_by_peer(state, result.failure)

    def _log_end(
        self,
        state: CallState,
        peer: Peer,
        status: int,
        result: RelayResult | None = None,
        detail: str = "",
    ) -> None:
        now_ms = self._clock.now_ms()
        request_log.relay_ended(state, peer.vm_id, status, now_ms, result, detail)
