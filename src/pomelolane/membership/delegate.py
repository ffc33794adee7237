"""Exchange of membership between data centres, through two delegates each.

A delegate sends a digest of its data centre to the delegates of the others. Its
heartbeat carries the hashes of the digests that it received, and the other VMs of its
data centre request those that they lack.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from pomelolane.events import DELEGATE_ROLE
from pomelolane.logs import log_event
from pomelolane.membership.digests import DIGEST_TIMEOUT_MS, DigestTable, newer_state
from pomelolane.membership.hashing import hash_of_digest
from pomelolane.membership.heartbeat import HEARTBEAT_INTERVAL_MS
from pomelolane.membership.remote_members import RemoteMembers
from pomelolane.membership.rendezvous import choose_several
from pomelolane.membership.view import peer_from_state
from pomelolane.messages import Digest, DigestPulse, DigestWanted, MemberState

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    import msgspec

    from pomelolane.membership.context import MemberContext
    from pomelolane.membership.digests import MergedDigest
    from pomelolane.messages import Heartbeat
    from pomelolane.ports import Peer

DELEGATES_PER_DATA_CENTRE = 2
MAX_REMOTE_PROBES = 3
"""Maximum of VMs of a silent data centre that are contacted at one heartbeat."""

INHERITED_SOURCE = ""
"""Source under which a new delegate stores the digests relayed to it before."""


def choose_delegates(
    data_centre: str, draining_by_vm: Mapping[str, bool]
) -> tuple[str, ...]:
    """Choose a data centre's delegates, draining VMs only if all are draining."""
    staying = [vm_id for vm_id, draining in draining_by_vm.items() if not draining]
    return choose_several(
        data_centre, staying or draining_by_vm, DELEGATES_PER_DATA_CENTRE
    )


class DigestExchange:
    """Sends digests of this data centre and stores those of the others.

    Direct digests arrive from VMs of other data centres, relayed ones from VMs of this
    data centre.

    Args:
        context: State and components shared within the package.
        on_change: Called after a digest was stored.
        on_digest: Called with the sender and each digest of another data centre.
    """

    def __init__(
        self,
        context: MemberContext,
        on_change: Callable[[], None],
        on_digest: Callable[[str, Digest], None],
    ) -> None:
        self._context = context
        self._on_change = on_change
        self._on_digest = on_digest
        self._direct = DigestTable(from_members=True)
        self._relayed = DigestTable(from_members=False)
        self._remote_members = RemoteMembers()
        self._sent_hashes: dict[str, int] = {}
        self._corrected_ms: dict[str, float] = {}
        self._published_hash = -1
        self._heartbeat_rounds = 0
        self._advertise_until_ms = 0.0
        self.is_delegate = False
        context.transport.subscribe(Digest, self._handle_digest)
        context.transport.subscribe(DigestPulse, self._handle_pulse)
        context.transport.subscribe(DigestWanted, self._handle_wanted)

    # --- known state --------------------------------------------------------

    def data_centres(self) -> set[str]:
        """Return the other data centres of which there is a digest."""
        return {*self._direct.data_centres(), *self._relayed.data_centres()}

    def remote_peers(self) -> dict[str, Peer]:
        """Return the VMs of the other data centres."""
        peers: dict[str, Peer] = {}
        for data_centre in self.data_centres():
            for state in self._states(data_centre).values():
                peers[state.vm_id] = peer_from_state(state, data_centre)
        listed_ms = self._direct.last_listed_ms()
        for vm_id, at_ms in self._relayed.last_listed_ms().items():
            listed_ms[vm_id] = max(at_ms, listed_ms.get(vm_id, at_ms))
        gone = self._direct.pop_unlisted() | self._relayed.pop_unlisted()
        now_ms = self._context.clock.now_ms()
        data_centres = self.data_centres()
        return self._remote_members.update(peers, listed_ms, data_centres, gone, now_ms)

    def remote_hashes(self) -> dict[str, int]:
        """Return the hashes of directly received digests; empty if this is no delegate.

        A former delegate keeps returning them for :data:`DIGEST_TIMEOUT_MS`, until its
        successors have received digests of their own.
        """
        now_ms = self._context.clock.now_ms()
        if not self.is_delegate and now_ms >= self._advertise_until_ms:
            return {}
        table = self._direct
        return {each: table.merged(each).digest_hash for each in table.data_centres()}

    def leaving(self) -> set[str]:
        """Return the endpoints that other data centres mark as leaving."""
        return {
            endpoint_id
            for data_centre in self.data_centres()
            for merged in self._merged_digests(data_centre)
            for endpoint_id in merged.digest.leaving
        }

    def remote_delegates(self) -> list[str]:
        """Return the known delegates of the other data centres."""
        return [
            vm_id
            for data_centre in sorted(self.data_centres())
            for vm_id in self._delegates_of(data_centre)
        ]

    def all_heard_after(self, moment_ms: float) -> bool:
        """Return whether every data centre's digest was refreshed after a time."""
        tables = (self._direct, self._relayed)
        return all(table.all_heard_after(moment_ms) for table in tables)

    # --- timers and role ----------------------------------------------------

    def set_role(self, is_delegate: bool, now_ms: float) -> bool:
        """Set whether this VM is a delegate; return whether that changed."""
        if is_delegate == self.is_delegate:
            return False
        self.is_delegate = is_delegate
        log_event(
            DELEGATE_ROLE, data_centre=self._context.data_centre, held=is_delegate
        )
        if is_delegate:
            self._copy_relayed_digests(now_ms)
        else:
            self._advertise_until_ms = now_ms + DIGEST_TIMEOUT_MS
        self._sent_hashes.clear()
        self._published_hash = -1
        return True

    def expire(self, now_ms: float) -> bool:
        """Drop expired digests; return whether the remote VMs may have changed."""
        direct = self._direct.expire(now_ms)
        relayed = self._relayed.expire(now_ms)
        return direct or relayed or self._remote_members.has_overdue(now_ms)

    def restart_timeouts(self, now_ms: float) -> None:
        """Restart all silence timeouts, after a pause of this process."""
        self._direct.restart_timeouts(now_ms)
        self._relayed.restart_timeouts(now_ms)

    def send_digests(self, now_ms: float) -> None:
        """As a delegate, send the periodic digest or pulse."""
        if not self.is_delegate:
            return
        self._heartbeat_rounds += 1
        digest = self.own_digest()
        digest_hash = hash_of_digest(digest)
        self._published_hash = digest_hash
        for vm_id in self._recipients(now_ms):
            self._send_digest(vm_id, digest, digest_hash)

    def publish(self) -> None:
        """As a delegate, send this data centre's digest at once if it changed."""
        if not self.is_delegate:
            return
        digest = self.own_digest()
        digest_hash = hash_of_digest(digest)
        if digest_hash == self._published_hash:
            return
        self._published_hash = digest_hash
        for vm_id in self.remote_delegates():
            self._send_digest(vm_id, digest, digest_hash)

    def own_digest(self, *, reply: bool = False) -> Digest:
        """Return the current digest of this data centre."""
        context = self._context
        heartbeats = list(context.table.heartbeats())
        members = [_state_of(heartbeat) for heartbeat in heartbeats]
        if not context.state.stopped:
            members.append(self._own_state())
        leaving = set(context.marks.own)
        leaving.update(*(heartbeat.leaving for heartbeat in heartbeats))
        return Digest(
            data_centre=context.data_centre,
            sequence=0,
            members=tuple(sorted(members, key=lambda state: state.vm_id)),
            versions=context.state.versions,
            leaving=tuple(sorted(leaving)),
            reply=reply,
        )

    def record_remote_hashes(self, heartbeat: Heartbeat) -> None:
        """Update the relayed digests from the hashes in a heartbeat."""
        vm_id = heartbeat.vm_id
        heard_ms = self._context.heard_ms()
        for data_centre in self._relayed.data_centres():
            if data_centre not in heartbeat.remote:
                others = set(self._relayed.sources(data_centre)) - {vm_id}
                self._relayed.keep_sources(data_centre, others)
        for data_centre, digest_hash in heartbeat.remote.items():
            known = self._relayed.confirm(vm_id, data_centre, digest_hash, heard_ms)
            if not known and data_centre != self._context.data_centre:
                self._context.transport.send(vm_id, DigestWanted(data_centre))

    # --- messages -----------------------------------------------------------

    def _handle_digest(self, sender: str, digest: Digest) -> None:
        context = self._context
        now_ms = context.clock.now_ms()
        for state in digest.members:
            context.contacts.learn(
                state.vm_id, digest.data_centre, state.address, now_ms
            )
        if digest.data_centre == context.data_centre:
            return
        local = sender in context.table
        table = self._relayed if local else self._direct
        table.put(sender, digest, context.heard_ms())
        context.contacts.record_heard(sender, now_ms)
        self._on_digest(sender, digest)
        self._on_change()
        if not local and not digest.reply:
            self._send_correction(sender, now_ms)

    def _handle_pulse(self, sender: str, pulse: DigestPulse) -> None:
        context = self._context
        if pulse.data_centre == context.data_centre:
            return
        known = self._direct.confirm(
            sender, pulse.data_centre, pulse.digest_hash, context.heard_ms()
        )
        if not known:
            context.transport.send(sender, DigestWanted(pulse.data_centre))
        self._send_correction(sender, context.clock.now_ms())

    def _handle_wanted(self, sender: str, wanted: DigestWanted) -> None:
        context = self._context
        if wanted.data_centre == context.data_centre:
            context.transport.send(sender, self.own_digest())
            return
        merged = self._direct.merged(wanted.data_centre)
        if merged is not None and sender in context.table:
            context.transport.send(sender, merged.digest)

    def _send_correction(self, sender: str, now_ms: float) -> None:
        # The sender wrongly considers this VM a delegate, so it gets the current
        # members. Corrections are rate-limited, and a reply is never replied to.
        if self.is_delegate:
            return
        if (
            now_ms - self._corrected_ms.get(sender, -HEARTBEAT_INTERVAL_MS)
            < HEARTBEAT_INTERVAL_MS
        ):
            return
        self._corrected_ms[sender] = now_ms
        self._context.transport.send(sender, self.own_digest(reply=True))

    # --- helpers ------------------------------------------------------------

    def _send_digest(self, vm_id: str, digest: Digest, digest_hash: int) -> None:
        message: msgspec.Struct = digest
        if self._sent_hashes.get(vm_id) == digest_hash:
            message = DigestPulse(digest.data_centre, digest_hash)
        if self._context.transport.send(vm_id, message):
            self._sent_hashes[vm_id] = digest_hash

    def _recipients(self, now_ms: float) -> list[str]:
        # Alternates between the delegates of each data centre at every heartbeat: a
        # delegate hears from each remote one once a second, and sending to both at
        # every heartbeat would double the traffic.
        recipients = []
        for data_centre in sorted(self.data_centres()):
            delegates = self._delegates_of(data_centre)
            if delegates:
                recipients.append(delegates[self._heartbeat_rounds % len(delegates)])
        contacts = self._context.contacts
        silent = contacts.data_centres() - set(self._direct.data_centres())
        for data_centre in sorted(silent - {self._context.data_centre}):
            recipients += contacts.due_probes(
                data_centre, recipients, MAX_REMOTE_PROBES, now_ms
            )
        return recipients

    def _delegates_of(self, data_centre: str) -> tuple[str, ...]:
        states = self._states(data_centre).values()
        return choose_delegates(
            data_centre, {state.vm_id: state.draining for state in states}
        )

    def _states(self, data_centre: str) -> dict[str, MemberState]:
        states: dict[str, MemberState] = {}
        for merged in self._merged_digests(data_centre):
            for state in merged.digest.members:
                states[state.vm_id] = newer_state(states.get(state.vm_id), state)
        return states

    def _merged_digests(self, data_centre: str) -> list[MergedDigest]:
        relayed = self._relayed.merged(data_centre)
        direct = self._direct.merged(data_centre)
        # A VM that is not a delegate receives digests directly only by mistake and
        # irregularly, so relayed ones take precedence.
        if relayed is not None and not self.is_delegate:
            direct = None
        return [each for each in (relayed, direct) if each is not None]

    def _copy_relayed_digests(self, now_ms: float) -> None:
        for data_centre in self._relayed.data_centres():
            if data_centre not in self._direct.data_centres():
                merged = self._relayed.merged(data_centre)
                self._direct.put(INHERITED_SOURCE, merged.digest, now_ms)

    def _own_state(self) -> MemberState:
        context = self._context
        state = context.state
        return MemberState(
            context.vm_id,
            context.incarnation,
            state.ready,
            state.draining,
            state.address,
            state.carries_per_s,
        )


def _state_of(heartbeat: Heartbeat) -> MemberState:
    return MemberState(
        heartbeat.vm_id,
        heartbeat.incarnation,
        heartbeat.ready,
        heartbeat.draining,
        heartbeat.address,
        heartbeat.carries_per_s,
    )
