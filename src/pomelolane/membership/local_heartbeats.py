"""Heartbeats between all VMs of one data centre.

A full heartbeat is sent after every change and to every new VM; otherwise a pulse
carries only the hash of the last full one.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from pomelolane.membership.hashing import hash_of_heartbeat
from pomelolane.messages import Heartbeat, HeartbeatWanted, Pulse

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from pomelolane.membership.context import MemberContext
    from pomelolane.messages import Message

MAX_LOCAL_PROBES = 64
"""Maximum of silent VMs of this data centre contacted at one heartbeat."""


class LocalHeartbeats:
    """Sends this VM's heartbeats and records those received.

    Args:
        context: State and components shared within the package.
        remote_hashes: Returns the hash of the digest of each other data centre.
        on_new: Called with each VM that is new or was restarted.
        on_heartbeat: Called at each heartbeat or pulse with the sender's last full
            heartbeat and whether that has just arrived.
    """

    def __init__(
        self,
        context: MemberContext,
        remote_hashes: Callable[[], Mapping[str, int]],
        on_new: Callable[[str], None],
        on_heartbeat: Callable[[Heartbeat, bool], None],
    ) -> None:
        self._context = context
        self._remote_hashes = remote_hashes
        self._on_new = on_new
        self._on_heartbeat = on_heartbeat
        self._sequence = 0
        self._announced_hash = -1
        context.transport.subscribe(Heartbeat, self._handle_heartbeat)
        context.transport.subscribe(Pulse, self._handle_pulse)
        context.transport.subscribe(HeartbeatWanted, self._handle_wanted)

    def own_heartbeat(self) -> Heartbeat:
        """Return this VM's current heartbeat."""
        context = self._context
        state = context.state
        return Heartbeat(
            vm_id=context.vm_id,
            incarnation=context.incarnation,
            data_centre=context.data_centre,
            sequence=self._sequence,
            ready=state.ready,
            draining=state.draining,
            versions=state.versions,
            leaving=context.marks.own,
            address=state.address,
            stopped=state.stopped,
            remote=dict(sorted(self._remote_hashes().items())),
            carries_per_s=state.carries_per_s,
        )

    def send_heartbeats(self, now_ms: float) -> None:
        """Send a heartbeat or pulse to live VMs and contact silent ones."""
        self._sequence += 1
        context = self._context
        if not self.announce():
            self._broadcast(Pulse(self._announced_hash))
        alive = [heartbeat.vm_id for heartbeat in context.table.heartbeats()]
        silent = context.contacts.due_probes(
            context.data_centre, alive, MAX_LOCAL_PROBES, now_ms
        )
        for vm_id in silent:
            context.transport.send(vm_id, self.own_heartbeat())

    def announce(self, *, always: bool = False) -> bool:
        """Send the full heartbeat to all if it has changed; return whether sent."""
        heartbeat = self.own_heartbeat()
        state_hash = hash_of_heartbeat(heartbeat)
        if state_hash == self._announced_hash and not always:
            return False
        self._announced_hash = state_hash
        self._broadcast(heartbeat)
        return True

    def send_full(self, vm_id: str) -> None:
        """Send the full heartbeat to one VM."""
        self._context.transport.send(vm_id, self.own_heartbeat())

    def _broadcast(self, message: Message) -> None:
        for heartbeat in self._context.table.heartbeats():
            self._context.transport.send(heartbeat.vm_id, message)

    def _handle_heartbeat(self, sender: str, heartbeat: Heartbeat) -> None:
        context = self._context
        foreign = heartbeat.data_centre != context.data_centre
        if foreign or heartbeat.vm_id != sender:
            return
        heard_ms = context.heard_ms()
        is_new = context.table.put(heartbeat, heard_ms)
        context.contacts.learn(
            sender, heartbeat.data_centre, heartbeat.address, heard_ms
        )
        context.contacts.record_heard(sender, heard_ms)
        if is_new:
            self._on_new(sender)
        self._on_heartbeat(heartbeat, True)

    def _handle_pulse(self, sender: str, pulse: Pulse) -> None:
        context = self._context
        known = context.table.confirm(sender, pulse.state_hash, context.heard_ms())
        if not known:
            context.transport.send(sender, HeartbeatWanted())
            return
        heartbeat = context.table.find(sender)
        if heartbeat is not None:
            self._on_heartbeat(heartbeat, False)

    def _handle_wanted(self, sender: str, message: HeartbeatWanted) -> None:
        del message
        self.send_full(sender)
