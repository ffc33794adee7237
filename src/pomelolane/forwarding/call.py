"""A caller's request on its way through the forwarding gateway."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from pomelolane.forwarding.configuration import Route
    from pomelolane.ports.forwarding import CallDescription
    from pomelolane.quarantine import Run

    Header = tuple[bytes, bytes]


@dataclass(frozen=True, slots=True)
class ForwardCall:
    """A checked request.

    Attributes:
        local_id: This VM's own id of it, unique over all VMs.
        description: What the caller said of it.
        route: Its route.
        service: The service drawn from the route's targets.
        organisation: The caller's organisation, empty on public routes.
        rank: 0 is the most urgent.
        charge_tokens: What it counts against the organisation's limit.
        method: HTTP method.
        target: Path and query, as they came.
        headers: Headers, as they came.
        body: Whole body.
        accepted_ms: When its head had come.
        limit_ms: Time from then until the final answer is due.
        version: Version of the configuration that decided.
        fingerprint: The same for every attempt that asks for the same.
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

    @property
    def log_id(self) -> str:
        """The id that callers know."""
        return self.description.request_id or self.local_id

    def remaining_ms(self, now_ms: float) -> float:
        """Return the time until the final answer is due."""
        return self.limit_ms - (now_ms - self.accepted_ms)


@dataclass(slots=True)
class CallState:
    """What became of a request so far.

    Attributes:
        call: The request.
        sends: Endpoints that the request has reached.
        tries: Grants asked for.
        may_have_run: Whether an endpoint may have begun it.
        answer_begun: Whether the caller has the head of an answer.
        excluded: Endpoints that it is not offered to again.
        last_event_id: Last whole event that the caller has.
        endpoint_id: Where it was sent last.
        run: Its last send, until it is known what became of it.
    """

    call: ForwardCall
    sends: int = 0
    tries: int = 0
    may_have_run: bool = False
    answer_begun: bool = False
    excluded: tuple[str, ...] = ()
    last_event_id: bytes = b""
    endpoint_id: str = ""
    run: Run | None = None
