"""State and components shared by the modules of one member.

Only the member changes its own state; the senders of heartbeats and digests read it.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from pomelolane.membership.contacts import Contacts
    from pomelolane.membership.heartbeat import HeartbeatTable
    from pomelolane.membership.leaving_marks import LeavingMarks
    from pomelolane.membership.pause import PauseDetector
    from pomelolane.membership.transport import ZmqTransport
    from pomelolane.ports import Clock


@dataclass(slots=True)
class OwnState:
    """State of this VM that heartbeats and digests announce.

    Attributes:
        ready: Whether it accepts callers' requests.
        draining: Whether it is shutting down.
        stopped: Whether its final messages are being sent.
        address: ``ip:port`` at which others reach it.
        versions: Settings version in force by branch.
        carries_per_s: Requests per second that it can schedule, 0 if unknown.
    """

    ready: bool = False
    draining: bool = False
    stopped: bool = False
    address: str = ""
    versions: dict[str, int] = field(default_factory=dict)
    carries_per_s: int = 0


@dataclass(frozen=True, slots=True)
class MemberContext:
    """Components shared by the modules of one member.

    Attributes:
        vm_id: Id of this VM.
        incarnation: Number of this start of the VM.
        data_centre: Data centre of this VM.
        state: State that this VM announces.
        transport: Transport for messages to other VMs.
        contacts: VMs that may be alive.
        table: Live VMs of this data centre.
        marks: Endpoints that are leaving.
        pause: Detects pauses of this process.
        clock: Time source.
    """

    vm_id: str
    incarnation: int
    data_centre: str
    state: OwnState
    transport: ZmqTransport
    contacts: Contacts
    table: HeartbeatTable
    marks: LeavingMarks
    pause: PauseDetector
    clock: Clock

    def heard_ms(self) -> float:
        """Return the time to record as last heard for the sender of a message.

        It applies to messages that are read now.
        """
        return self.pause.heard_ms(self.clock.now_ms())
