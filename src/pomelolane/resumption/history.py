"""Which versions of a service have been listed lately.

Where only one version has served for longer than streams last, it has begun any stream,
and no record is needed to go on with it.
"""

from __future__ import annotations

import math
from collections import defaultdict
from typing import TYPE_CHECKING

from pomelolane.membership import choose_several
from pomelolane.messages import ServiceVersions, VersionsListed

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from pomelolane.model import Endpoint
    from pomelolane.ports import Clock, Membership, Transport, View

STREAM_LIFE_MS = 30_000.0
"""Longest time from the beginning of a stream to its last attempt."""

TELLING_VMS = 3
"""Number of VMs that tell one that has started what they have seen."""

_STILL_LISTED_MS = math.inf


class VersionHistory:
    """Versions by service, with the time at which each was last listed.

    A VM that has started learns from others what they have seen before.

    Args:
        vm_id: Id of this VM.
        listed: Returns the endpoints that are listed now.
        membership: Who is alive.
        transport: Sends messages to the other VMs.
        clock: Source of the current time.
    """

    def __init__(
        self,
        vm_id: str,
        listed: Callable[[], Iterable[Endpoint]],
        membership: Membership,
        transport: Transport,
        clock: Clock,
    ) -> None:
        self._vm_id = vm_id
        self._listed = listed
        self._membership = membership
        self._transport = transport
        self._clock = clock
        self._last_listed_ms: dict[str, dict[str, float]] = defaultdict(dict)
        self._known_since_ms = math.inf
        self._known_starts: set[tuple[str, int]] = set()
        membership.on_change(self._tell_joined)
        transport.subscribe(VersionsListed, self._handle_listed)

    def update(self) -> None:
        """Note which versions are listed now; call at each change of the list."""
        now_ms = self._clock.now_ms()
        self._known_since_ms = min(self._known_since_ms, now_ms)
        current: dict[str, set[str]] = defaultdict(set)
        for endpoint in self._listed():
            current[endpoint.service].add(endpoint.version)
        for service in current.keys() | self._last_listed_ms.keys():
            versions = self._last_listed_ms[service]
            for version, listed_ms in tuple(versions.items()):
                if listed_ms == _STILL_LISTED_MS:
                    versions[version] = now_ms
                elif now_ms - listed_ms >= STREAM_LIFE_MS:
                    del versions[version]
            versions.update(dict.fromkeys(current[service], _STILL_LISTED_MS))

    def sole_version(self, service: str) -> str | None:
        """Return the only version of a service for as long as streams last, or None."""
        now_ms = self._clock.now_ms()
        if now_ms - self._known_since_ms < STREAM_LIFE_MS:
            return None
        recent = [
            version
            for version, listed_ms in self._last_listed_ms[service].items()
            if now_ms - listed_ms < STREAM_LIFE_MS
        ]
        return recent[0] if len(recent) == 1 else None

    def _tell_joined(self, view: View) -> None:
        """Tell VMs that have started what this one has seen, if it is among the few."""
        starts = {(peer.vm_id, peer.incarnation) for peer in view.peers.values()}
        joined = starts - self._known_starts
        self._known_starts = starts
        if math.isinf(self._known_since_ms):
            return
        for vm_id, _ in joined:
            others = view.peers.keys() - {vm_id}
            if self._vm_id in choose_several(vm_id, others, TELLING_VMS):
                self._transport.send(vm_id, self._message())

    def _message(self) -> VersionsListed:
        now_ms = self._clock.now_ms()
        services = tuple(
            ServiceVersions(
                service,
                tuple(
                    (version, int(max(0.0, now_ms - listed_ms)))
                    for version, listed_ms in versions.items()
                ),
            )
            for service, versions in self._last_listed_ms.items()
        )
        return VersionsListed(int(now_ms - self._known_since_ms), services)

    def _handle_listed(self, sender: str, message: VersionsListed) -> None:
        del sender
        now_ms = self._clock.now_ms()
        self._known_since_ms = min(self._known_since_ms, now_ms - message.known_ms)
        for told in message.services:
            versions = self._last_listed_ms[told.service]
            for version, age_ms in told.versions:
                listed_ms = versions.get(version, -math.inf)
                versions[version] = max(listed_ms, now_ms - age_ms)
