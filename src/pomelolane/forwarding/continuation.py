"""Lets streams go on only at the service and version that began them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from pomelolane.forwarding import metrics, request_log
from pomelolane.forwarding.failures import no_matching_version, origin_unknown

if TYPE_CHECKING:
    from pomelolane.forwarding.call import CallState
    from pomelolane.forwarding.endpoints import EndpointDirectory
    from pomelolane.outcomes import Refusal
    from pomelolane.ports import Clock
    from pomelolane.resumption import Resumption, StreamOrigin

_UNKNOWN_SOURCE = "unknown"


class Continuation:
    """Binds streams to where they began, and tells whether they can go on.

    Args:
        resumption: Records where streams begin.
        directory: Known endpoints.
        clock: Source of the current time.
    """

    def __init__(
        self, resumption: Resumption, directory: EndpointDirectory, clock: Clock
    ) -> None:
        self._resumption = resumption
        self._directory = directory
        self._clock = clock

    async def bind_resumed(self, state: CallState) -> Refusal | None:
        """Bind a stream that its caller resumes to where it began.

        Returns:
            A refusal if that is not known, or the route does not lead there any more.
        """
        if state.origin is None and state.call.resumes_stream:
            await self._find_origin(state)
        if state.needs_origin:
            return origin_unknown(state)
        if state.origin is None:
            return None
        targets = state.call.route.targets
        if not any(target.service == state.origin.service for target in targets):
            return no_matching_version(state)
        state.bind(state.origin)
        return None

    async def _find_origin(self, state: CallState) -> None:
        call = state.call
        asked_ms = self._clock.now_ms()
        found = await self._resumption.find(
            call.stream_key, call.service, call.routed_since_ms
        )
        if found is None:
            metrics.count_resumed(call.service, _UNKNOWN_SOURCE)
            return
        waited_ms = self._clock.now_ms() - asked_ms
        request_log.origin_found(call, found.origin, found.source, waited_ms)
        state.origin = found.origin

    def begin(self, state: CallState, origin: StreamOrigin) -> None:
        """Bind a stream to where it begins, before its first events are sent."""
        call = state.call
        if state.origin is None:
            state.origin = origin
        if call.route.is_resumable:
            left_ms = call.resumable_ms(self._clock.now_ms())
            self._resumption.begin(call.stream_key, state.origin, left_ms)

    def end(self, state: CallState) -> None:
        """Record that this VM sends nothing more of a request's answer."""
        self._resumption.end(state.call.stream_key)

    def has_endpoint_left(self, state: CallState) -> bool:
        """Return whether the answer may go on at an endpoint that has not failed it."""
        if state.origin is None:
            return True
        failed = {state.endpoint_id, *state.excluded}
        return any(
            state.may_go_to(endpoint)
            for endpoint in self._directory.listed()
            if not endpoint.leaving and endpoint.endpoint_id not in failed
        )
