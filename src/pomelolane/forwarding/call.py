"""A caller's request and its state while the gateway forwards it."""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

from pomelolane.forwarding.configuration import RouteKind
from pomelolane.quarantine import Subjects, fingerprints_from_parts
from pomelolane.resumption import stream_key

if TYPE_CHECKING:
    from pomelolane.forwarding.configuration import Route
    from pomelolane.model import Endpoint
    from pomelolane.ports import Grant
    from pomelolane.ports.forwarding import CallDescription
    from pomelolane.quarantine import Run
    from pomelolane.resumption import StreamOrigin

    Header = tuple[bytes, bytes]


@dataclass(frozen=True, slots=True)
class ForwardCall:
    """A request that passed the checks.

    Attributes:
        local_id: Id given by this VM, unique over all VMs.
        description: What the caller's headers say about the request.
        route: Matching route.
        service: Service drawn from the route's targets.
        organisation: The caller's organisation, empty on public routes.
        rank: Priority, 0 for the most urgent.
        charge_tokens: Tokens charged to the organisation's limit.
        method: HTTP method.
        target: Path and query, unchanged.
        headers: Headers, unchanged.
        body: Complete body.
        accepted_ms: Time at which the head was received.
        limit_ms: Time allowed from `accepted_ms` until the end of the answer.
        version: Version of the configuration used for the checks.
        fingerprint: Hash of the request's content, equal for repeated requests.
        routed_since_ms: Since when the route has led to the same services.
    """

    local_id: str
    description: CallDescription
    route: Route
    service: str
    organisation: str
    rank: int
    charge_tokens: int
    method: str
    target: bytes
    headers: tuple[Header, ...]
    body: bytes
    accepted_ms: float
    limit_ms: int
    version: int
    fingerprint: str = ""
    routed_since_ms: float = 0.0

    @property
    def subjects(self) -> Subjects:
        """What may be to blame if endpoints crash under the request."""
        part_ids = self.description.prompt_parts
        parts = fingerprints_from_parts(self.service, part_ids)
        return Subjects(self.fingerprint, parts)

    @property
    def resumes_stream(self) -> bool:
        """Whether the caller has the beginning of the stream already."""
        is_stream = self.route.kind is RouteKind.STREAMING
        return is_stream and bool(self.description.resume_after)

    @property
    def stream_key(self) -> int:
        """Key of the stream over all attempts of its caller."""
        first_attempt = self.description.first_attempt or self.local_id
        return stream_key(self.organisation, first_attempt)

    @property
    def log_id(self) -> str:
        """The caller's request id, or the local id if the caller gave none."""
        return self.description.request_id or self.local_id

    def resumable_ms(self, now_ms: float) -> float:
        """Return for how long the caller may resume the stream."""
        caller_ms = self.description.deadline_ms or self.limit_ms
        return max(0.0, caller_ms - (now_ms - self.accepted_ms))

    def remaining_ms(self, now_ms: float) -> float:
        """Return the time left of the request's time limit."""
        return self.limit_ms - (now_ms - self.accepted_ms)


@dataclass(slots=True)
class CallState:
    """Progress of a request.

    Attributes:
        call: The request.
        sends: Number of times it was sent to an endpoint.
        grants: Number of grants used.
        asks: Number of times that it asked for a slot.
        may_have_run: Whether an endpoint may have begun to run it.
        answer_begun: Whether the head of an answer was sent to the caller.
        excluded: Endpoints that it must not be sent to again.
        last_event_id: Id of the last complete event sent to the caller.
        last_sent_ms: When a part of the answer was last sent to the caller.
        origin: What began the stream, None if it may begin anywhere.
        endpoint_id: Endpoint it was sent to last.
        is_relayed: Whether another VM took it from its caller.
        tried_peers: VMs that it must not be relayed to again.
        has_paid_retry: Whether the next send is charged to the retry budget already.
        run: Quarantine's record of the last send, until its result is known.
        next_grant: Grant of the endpoint that it goes to next, if it has one already.
    """

    call: ForwardCall
    sends: int = 0
    grants: int = 0
    asks: int = 0
    may_have_run: bool = False
    answer_begun: bool = False
    excluded: tuple[str, ...] = ()
    last_event_id: bytes = b""
    last_sent_ms: float = 0.0
    origin: StreamOrigin | None = None
    endpoint_id: str = ""
    is_relayed: bool = False
    tried_peers: tuple[str, ...] = ()
    has_paid_retry: bool = False
    run: Run | None = None
    next_grant: Grant | None = None

    def count_send(self) -> None:
        """Count a send, which uses a retry that was paid for."""
        self.sends += 1
        self.has_paid_retry = False

    def may_go_to(self, endpoint: Endpoint) -> bool:
        """Return whether the answer may begin, or go on, at an endpoint."""
        return self.origin is None or self.origin.fits(endpoint)

    @property
    def needs_origin(self) -> bool:
        """Whether the answer may only go on, and where it began is not known."""
        has_begun = self.answer_begun and self.call.route.is_resumable
        return self.origin is None and (has_begun or self.call.resumes_stream)

    def bind(self, origin: StreamOrigin) -> None:
        """Let the answer go on only where it began."""
        self.origin = origin
        self.call = replace(self.call, service=origin.service)
