"""A scheduler's table of the requests of one service and of their gateways.

This is soft state, rebuilt at any time from the gateways' authoritative records.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from pomelolane.messages import Handle


@dataclass(slots=True)
class Entry:
    """One request that a gateway has registered.

    Times are on this VM's clock.

    Attributes:
        handle: The request's handle as the gateway sent it.
        gateway: VM that holds the request.
        epoch: Number of the gateway's choice of this scheduler.
        arrived_ms: Time of registration.
        deadline_ms: Deadline of the request.
        endpoint_id: Endpoint of the granted slot, empty while the request waits.
        expected_ttft_ms: Time to first token predicted with the grant.
        granted_ms: Time at which the slot was granted or registered as running.
        in_core: Whether the core holds the request.
        missed_syncs: Consecutive full syncs in which the gateway did not list it.
        free_at_ms: Time at which the slot of a lost gateway's request is freed, None
            while the gateway is present.
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
        """Sort key, by tier and then by deadline."""
        return self.handle.tier_rank, self.deadline_ms

    def is_same_attempt(self, gateway: str, handle: Handle) -> bool:
        """Return whether a handle repeats the same attempt from the same gateway."""
        return self.gateway == gateway and self.handle.attempt == handle.attempt

    def handle_at(self, now_ms: float) -> Handle:
        """Return the handle with the remaining time budget."""
        budget_ms = max(0, round(self.deadline_ms - now_ms))
        return self.handle.with_budget(budget_ms, admitted=self.handle.admitted)


@dataclass(slots=True)
class Follower:
    """A gateway that follows this scheduler.

    Attributes:
        epoch: Highest epoch received from it.
        last_message_ms: Time of its last message.
        registered: Whether it has registered all its requests since the queue last
            began to hold grants.
        entries: Its requests by id.
    """

    epoch: int
    last_message_ms: float
    registered: bool = False
    entries: dict[str, Entry] = field(default_factory=dict)


class RequestTable:
    """All requests of a service, indexed by request and by gateway.

    Attributes:
        entries: All requests by id, including orphans.
        followers: Gateways that follow this scheduler, by VM id.
        orphans: Running requests of lost gateways, whose slots are still taken.
    """

    def __init__(self) -> None:
        self.entries: dict[str, Entry] = {}
        self.followers: dict[str, Follower] = {}
        self.orphans: dict[str, Entry] = {}

    def get(self, request_id: str) -> Entry | None:
        """Return the entry of a request."""
        return self.entries.get(request_id)

    def add(self, entry: Entry) -> None:
        """Add an entry; its gateway must be a follower already."""
        self.entries[entry.request_id] = entry
        self.followers[entry.gateway].entries[entry.request_id] = entry

    def remove(self, entry: Entry) -> None:
        """Remove an entry from all indexes."""
        self.entries.pop(entry.request_id, None)
        self.orphans.pop(entry.request_id, None)
        follower = self.followers.get(entry.gateway)
        if follower is not None:
            follower.entries.pop(entry.request_id, None)

    def orphan(self, entry: Entry, free_at_ms: float) -> None:
        """Keep a lost gateway's entry until its slot is expected to be free."""
        entry.free_at_ms = free_at_ms
        self.orphans[entry.request_id] = entry
        follower = self.followers.get(entry.gateway)
        if follower is not None:
            follower.entries.pop(entry.request_id, None)

    def adopt(self, entry: Entry, gateway: str, epoch: int) -> None:
        """Assign an entry, orphaned or not, to a follower."""
        self.remove(entry)
        entry.gateway = gateway
        entry.epoch = epoch
        entry.missed_syncs = 0
        entry.free_at_ms = None
        self.add(entry)

    def waiting(self) -> list[Entry]:
        """Return the entries without a slot."""
        return [entry for entry in self.entries.values() if not entry.endpoint_id]
