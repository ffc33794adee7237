"""Digests of other data centres, stored by data centre and source VM.

A data centre is known while at least one source is heard. The digests of several
sources are merged, so that the result does not alternate between two delegates with
different views.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from pomelolane.membership.hashing import hash_of_digest
from pomelolane.messages import Digest, MemberState

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

DIGEST_TIMEOUT_MS = 2000.0
MISSED_DIGEST_MS = 1250.0
"""Silence after which a source is overdue: it sends a digest once a second."""


@dataclass(slots=True)
class _Entry:
    digest: Digest
    digest_hash: int
    heard_ms: float


@dataclass(frozen=True, slots=True)
class MergedDigest:
    """The merged digest of one data centre.

    Attributes:
        digest: Digests of all sources, merged into one.
        digest_hash: Hash of its content.
    """

    digest: Digest
    digest_hash: int


class DigestTable:
    """Digests by data centre and source; the caller passes in the time.

    Args:
        from_members: Whether the sources are members of the data centres that they
            describe, so that one source's digest can show that another is gone.
    """

    def __init__(self, *, from_members: bool) -> None:
        self._from_members = from_members
        self._entries: dict[str, dict[str, _Entry]] = {}
        self._unlisted: set[str] = set()
        self._dropped_ms: dict[str, float] = {}
        self._merged: dict[str, MergedDigest] = {}

    def data_centres(self) -> tuple[str, ...]:
        """Return the data centres with at least one digest."""
        return tuple(self._entries)

    def sources(self, data_centre: str) -> tuple[str, ...]:
        """Return the VMs whose digests of a data centre are stored."""
        return tuple(self._entries.get(data_centre, ()))

    def put(self, source: str, digest: Digest, now_ms: float) -> None:
        """Store a digest, replacing the source's earlier one."""
        entry = _Entry(digest, hash_of_digest(digest), now_ms)
        entries = self._entries.setdefault(digest.data_centre, {})
        if source in entries:
            self._unlisted |= _vm_ids(entries[source].digest) - _vm_ids(digest)
        entries[source] = entry
        self._merged.pop(digest.data_centre, None)

    def confirm(
        self, source: str, data_centre: str, digest_hash: int, now_ms: float
    ) -> bool:
        """Record a pulse; return False if no digest has its hash."""
        entries = self._entries.get(data_centre, {})
        own = entries.get(source)
        if own is not None:
            own.heard_ms = now_ms
            if own.digest_hash == digest_hash:
                return True
        for entry in entries.values():
            if entry.digest_hash == digest_hash:
                self.put(source, entry.digest, now_ms)
                return True
        return False

    def keep_sources(self, data_centre: str, sources: Iterable[str]) -> None:
        """Drop a data centre's digests of all sources but the given ones."""
        entries = self._entries.get(data_centre, {})
        for source in entries.keys() - set(sources):
            self._drop(data_centre, source)

    def expire(self, now_ms: float) -> bool:
        """Drop digests of sources that timed out or, as far as others show, are gone.

        The latter are sources that missed a digest and are not listed by a fresh one.

        Returns:
            Whether any were dropped.
        """
        silent = [
            (data_centre, source)
            for data_centre, entries in self._entries.items()
            for source, entry in entries.items()
            if now_ms - entry.heard_ms > DIGEST_TIMEOUT_MS
            or self._is_unlisted_by_fresh_source(source, entries, now_ms)
        ]
        for data_centre, source in silent:
            self._drop(data_centre, source)
        self._dropped_ms = {
            vm_id: at_ms
            for vm_id, at_ms in self._dropped_ms.items()
            if now_ms - at_ms <= DIGEST_TIMEOUT_MS
        }
        return bool(silent)

    def restart_timeouts(self, now_ms: float) -> None:
        """Restart all silence timeouts, after a pause of this process."""
        for entries in self._entries.values():
            for entry in entries.values():
                entry.heard_ms = now_ms

    def all_heard_after(self, moment_ms: float) -> bool:
        """Return whether every data centre has a source heard after a time."""
        return all(
            any(entry.heard_ms > moment_ms for entry in entries.values())
            for entries in self._entries.values()
        )

    def last_listed_ms(self) -> dict[str, float]:
        """Return for each VM when a source that lists it was last heard.

        Sources dropped within the last :data:`DIGEST_TIMEOUT_MS` are included.
        """
        listed_ms = dict(self._dropped_ms)
        for entries in self._entries.values():
            for entry in entries.values():
                for vm_id in _vm_ids(entry.digest):
                    before_ms = listed_ms.get(vm_id, entry.heard_ms)
                    listed_ms[vm_id] = max(before_ms, entry.heard_ms)
        return listed_ms

    def pop_unlisted(self) -> set[str]:
        """Return and clear the VMs that a source has stopped listing."""
        unlisted, self._unlisted = self._unlisted, set()
        return unlisted

    def merged(self, data_centre: str) -> MergedDigest | None:
        """Return the merged digest of a data centre."""
        if data_centre not in self._entries:
            return None
        if data_centre not in self._merged:
            entries = self._entries[data_centre].values()
            digest = _merge([entry.digest for entry in entries])
            self._merged[data_centre] = MergedDigest(digest, hash_of_digest(digest))
        return self._merged[data_centre]

    def _is_unlisted_by_fresh_source(
        self, source: str, entries: Mapping[str, _Entry], now_ms: float
    ) -> bool:
        # Requires both a silent source and a fresh one that does not list it: after a
        # partition, two live delegates may each omit the other.
        def is_fresh(entry: _Entry) -> bool:
            return now_ms - entry.heard_ms <= MISSED_DIGEST_MS

        if not self._from_members or is_fresh(entries[source]):
            return False
        return any(
            is_fresh(entry)
            and all(state.vm_id != source for state in entry.digest.members)
            for entry in entries.values()
        )

    def _drop(self, data_centre: str, source: str) -> None:
        entries = self._entries[data_centre]
        entry = entries.pop(source)
        for vm_id in _vm_ids(entry.digest):
            before_ms = self._dropped_ms.get(vm_id, entry.heard_ms)
            self._dropped_ms[vm_id] = max(before_ms, entry.heard_ms)
        self._merged.pop(data_centre, None)
        if not entries:
            del self._entries[data_centre]


def _vm_ids(digest: Digest) -> set[str]:
    return {state.vm_id for state in digest.members}


def _merge(digests: list[Digest]) -> Digest:
    members: dict[str, MemberState] = {}
    versions: dict[str, int] = {}
    leaving: set[str] = set()
    for digest in digests:
        leaving.update(digest.leaving)
        for branch, version in digest.versions.items():
            versions[branch] = max(version, versions.get(branch, 0))
        for state in digest.members:
            members[state.vm_id] = newer_state(members.get(state.vm_id), state)
    return Digest(
        data_centre=digests[0].data_centre,
        sequence=0,
        members=tuple(members[vm_id] for vm_id in sorted(members)),
        versions=dict(sorted(versions.items())),
        leaving=tuple(sorted(leaving)),
    )


def newer_state(one: MemberState | None, other: MemberState) -> MemberState:
    """Return the later of two states of one VM, or both combined if of one start."""
    if one is None or other.incarnation > one.incarnation:
        return other
    if other.incarnation < one.incarnation:
        return one
    # Of two states from one start, the one that is ready or draining is the later.
    return MemberState(
        one.vm_id,
        one.incarnation,
        one.ready or other.ready,
        one.draining or other.draining,
        one.address,
        one.carries_per_s,
    )
