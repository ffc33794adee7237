"""What a run has seen, in seconds of one monotonic clock."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from standins.routed.endpoint import Seen
    from standins.routed.streams import CallerStream

UNTIL_THE_END_S = float("inf")


@dataclass(slots=True)
class Word:
    """What a start of an endpoint said for a time.

    Attributes:
        from_s: Since when.
        value: Requests a second, or seconds of rest.
        until_s: Until when.
        is_planned: Whether it is planned work, such as a SIGTERM.
    """

    from_s: float
    value: float = 0.0
    until_s: float = UNTIL_THE_END_S
    is_planned: bool = False

    def touches(self, from_s: float, until_s: float) -> bool:
        """Return whether it was in force at some moment of a span."""
        return self.from_s <= until_s and self.until_s >= from_s


@dataclass(slots=True)
class Start:
    """One start of an endpoint.

    Attributes:
        name: Its id.
        seen: The requests that reached it.
        limits: The limits that it named.
        rests: When it turned requests away.
        leaves_s: When it first said in its answers that it leaves.
        drains_s: When its entry first said so, or was deleted.
        version: Version of its software.
        born_ms: What it registered as its start.
        from_s: When it was registered.
        until_s: When it ended.
    """

    name: str
    seen: list[Seen]
    limits: list[Word] = field(default_factory=list)
    rests: list[Word] = field(default_factory=list)
    leaves_s: float = UNTIL_THE_END_S
    drains_s: float = UNTIL_THE_END_S
    version: str = ""
    born_ms: int = 0
    from_s: float = 0.0
    until_s: float = UNTIL_THE_END_S

    def serves(self, from_s: float, until_s: float) -> bool:
        """Return whether it took requests all the time."""
        ends_s = min(self.leaves_s, self.drains_s, self.until_s)
        return self.from_s <= from_s and until_s < ends_s


@dataclass(slots=True)
class Call:
    """One request of a caller.

    Attributes:
        sent_s: When it was sent.
        path: Its path.
        status: Status of the complete answer, 0 for none.
        body: Its body, once it was sent.
        whole_s: When its last byte was sent, 0 before.
        ended_s: When the answer or its connection ended, 0 before.
        is_sealed: Whether an endpoint's seal came with the answer.
        timed_out: Whether the caller gave up.
        was_reset: Whether the connection was reset.
        part: Part of its prompt that crashes endpoints, empty for none.
    """

    sent_s: float
    path: str
    status: int = 0
    body: bytes = b""
    whole_s: float = 0.0
    ended_s: float = 0.0
    is_sealed: bool = False
    timed_out: bool = False
    was_reset: bool = False
    part: str = ""


@dataclass(slots=True)
class Evidence:
    """Everything.

    Attributes:
        begun_s: When callers began.
        starts: All starts of endpoints.
        calls: Requests by id; the id begins with the number of the VM.
        disturbed: For each VM, from when to when it was not in order.
        store: From when to when the store was not in order.
        grants: When lines of requests were allowed.
        crowds: VMs that got most new connections, with these times.
        cuts: VMs that were cut off from all endpoints, with these times.
        statuses: Answers by status.
        streams: Streams of callers who resume them.
    """

    begun_s: float = 0.0
    starts: list[Start] = field(default_factory=list)
    calls: dict[str, Call] = field(default_factory=dict)
    disturbed: dict[int, list[Word]] = field(default_factory=dict)
    store: list[Word] = field(default_factory=list)
    grants: dict[str, list[Word]] = field(default_factory=dict)
    crowds: list[tuple[int, Word]] = field(default_factory=list)
    cuts: list[tuple[int, Word]] = field(default_factory=list)
    statuses: Counter[int] = field(default_factory=Counter)
    streams: list[CallerStream] = field(default_factory=list)


def vm_of(request_id: str) -> int:
    """Return the number of the VM that a request was sent to."""
    return int(request_id.partition("-")[0])
