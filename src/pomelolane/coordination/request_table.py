"""A scheduler's record of the requests of one service and of their gateways.

It is soft state: gateways hold the truth and can rebuild all of it.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from pomelolane.messages import Handle


@dataclass(slots=True)
class Entry:
    """One request that a gateway has registered.

    Attributes:
        handle: What the gateway sent.
        gateway: VM that holds the request.
        epoch: The gateway's number for its choice of this scheduler.
        arrived_ms: When it was registered.
        deadline_ms: Its deadline on this VM's clock.
        endpoint_id: Where its slot is, empty while it waits.
        expected_ttft_ms: As predicted when the slot was granted.
        granted_ms: When the slot was granted or registered.
        in_core: Whether the core knows the request.
        absences: Syncs in a row in which the gateway did not list it.
        free_at_ms: When the slot of a lost gateway's request is freed.
    """

    handle: Handle
    gateway: str
    epoch: int
    arrived_ms: float
    deadline_ms: float
    endpoint_id: str = ""
    expected_ttft_ms: float = 0.0
    granted_ms: float = 0.0
    in_core: bool = False
    missed_syncs: int = 0
    free_at_ms: float | None = None

    @property
    def request_id(self) -> str:
        """The request's id."""
        return self.handle.request_id

    @property
    def urgency(self) -> tuple[int, float]:
        """Sort key: by tier, then by deadline."""
        return self.handle.tier_rank, self.deadline_ms

    def is_same_attempt(self, gateway: str, handle: Handle) -> bool:
        """Tell whether a handle is this very attempt again."""
        return self.gateway == gateway and self.handle.attempt == handle.attempt

    def handle_at(self, now_ms: float) -> Handle:
        """Return the handle with the budget that is left."""
        budget_ms = max(0, round(self.deadline_ms - now_ms))
        return self.handle.with_budget(budget_ms, admitted=self.handle.admitted)


@dataclass(slots=True)
class Follower:
    """A gateway that has this scheduler as its choice.

    Attributes:
        epoch: The newest number of its choice.
        heard_ms: When it last sent something.
        registered: Whether it has told all that it holds since the scheduler
            took the role.
        entries: Its requests by id.
    """

    epoch: int
    heard_ms: float
    registered: bool = False
    entries: dict[str, Entry] = field(default_factory=dict)


class RequestTable:
    """All entries of a service, by request and by gateway."""

    def __init__(self) -> None:
        self.entries: dict[str, Entry] = {}
        self.followers: dict[str, Follower] = {}
        self.orphans: dict[str, Entry] = {}

    def get(self, request_id: str) -> Entry | None:
        """Return the entry of a request."""
        return self.entries.get(request_id)

    def add(self, entry: Entry) -> None:
        """Add an entry under its gateway, which must follow already."""
        self.entries[entry.request_id] = entry
        self.followers[entry.gateway].entries[entry.request_id] = entry

    def remove(self, entry: Entry) -> None:
        """Remove an entry wherever it stands."""
        self.entries.pop(entry.request_id, None)
        self.orphans.pop(entry.request_id, None)
        follower = self.followers.get(entry.gateway)
        if follower is not None:
            follower.entries.pop(entry.request_id, None)

    def orphan(self, entry: Entry, free_at_ms: float) -> None:
        """Keep a lost gateway's entry until its slot can be free."""
        entry.free_at_ms = free_at_ms
        self.orphans[entry.request_id] = entry
        follower = self.followers.get(entry.gateway)
        if follower is not None:
            follower.entries.pop(entry.request_id, None)

    def adopt(self, entry: Entry, gateway: str, epoch: int) -> None:
        """Count an entry, whether lost or not, as a follower's again."""
        self.remove(entry)
        entry.gateway = gateway
        entry.epoch = epoch
        entry.missed_syncs = 0
        entry.free_at_ms = None
        self.add(entry)

    def waiting(self) -> list[Entry]:
        """Return the entries without a slot."""
        return [entry for entry in self.entries.values() if not entry.endpoint_id]
