"""Messages for group membership.

Heartbeats are sent between the VMs of a data centre, digests between data centres.
Pulses replace those with unchanged content.
"""

from __future__ import annotations

import msgspec

from pomelolane.messages.base import Message


class Heartbeat(Message, frozen=True):
    """A VM's full heartbeat within its data centre.

    Attributes:
        vm_id: Id of the sender.
        incarnation: Number of this start of the VM, higher after each restart.
        data_centre: Data centre of the sender.
        sequence: Incremented at each periodic heartbeat or pulse.
        ready: Whether it accepts callers' requests.
        draining: Whether it is shutting down.
        versions: Settings version in force by branch.
        leaving: Endpoints that the sender itself marks as leaving.
        address: ``ip:port`` at which others reach the sender.
        stopped: Whether this is the sender's last message.
        remote: Hash of each other data centre's digest that the sender received
            directly; empty unless it is a delegate or was one recently.
        carries_per_s: Requests per second that it can schedule, 0 if unknown.
    """

    vm_id: str
    incarnation: int
    data_centre: str
    sequence: int
    ready: bool
    draining: bool
    versions: dict[str, int]
    leaving: tuple[str, ...] = ()
    address: str = ""
    stopped: bool = False
    remote: dict[str, int] = msgspec.field(default_factory=dict)
    carries_per_s: int = 0


class Pulse(Message, frozen=True):
    """A heartbeat with unchanged content, which it replaces by a hash.

    Attributes:
        state_hash: Hash of that content.
    """

    state_hash: int


class HeartbeatWanted(Message, frozen=True):
    """Request for the full heartbeat, in reply to a pulse with an unknown hash."""


class MemberState(msgspec.Struct, frozen=True, array_like=True):
    """State of one VM in a digest."""

    vm_id: str
    incarnation: int
    ready: bool
    draining: bool
    address: str
    carries_per_s: int = 0


class Digest(Message, frozen=True):
    """A delegate's summary of its data centre for another one.

    Attributes:
        data_centre: The summarised data centre.
        sequence: Not used, always 0.
        members: Live VMs of the data centre.
        versions: Settings version by branch, the highest where digests were merged.
        leaving: Endpoints that VMs of the data centre mark as leaving.
        capacity: Not used, always empty.
        reply: Whether it replies to another message, and so needs no reply.
    """

    data_centre: str
    sequence: int
    members: tuple[MemberState, ...]
    versions: dict[str, int]
    leaving: tuple[str, ...] = ()
    capacity: dict[str, int] = msgspec.field(default_factory=dict)
    reply: bool = False


class DigestPulse(Message, frozen=True):
    """A digest with unchanged content, which it replaces by a hash.

    Attributes:
        data_centre: The summarised data centre.
        digest_hash: Hash of that content.
    """

    data_centre: str
    digest_hash: int


class DigestWanted(Message, frozen=True):
    """Request the receiver's digest of a data centre."""

    data_centre: str


__all__ = [
    "Digest",
    "DigestPulse",
    "DigestWanted",
    "Heartbeat",
    "HeartbeatWanted",
    "MemberState",
    "Pulse",
]
