"""Finds the crashes of one start of an endpoint that does not state when it started.

Such a start is named after the endpoint and a 10 s interval of the wall clock. Two
crashes of one outage can fall on either side of a boundary, and two VMs can name them
before they hear of each other; so names whose first crashes are close are one start.
Two starts that VMs give the same name, because neither hears of the other's, count as
one. Pure; time is passed in.
"""

from __future__ import annotations

import hashlib
from dataclasses import dataclass

START_MS = 10_000.0
"""Time from the first crash of an unstated start in which further crashes belong to it:
all requests of one crash are found out within a second, and a start takes some."""

MAX_NAMES = 20_000
"""Names that are kept, as many as reports; the oldest make way."""

_DIGEST_BYTES = 8


@dataclass(frozen=True, slots=True)
class _Owner:
    endpoint_id: str
    known_ms: float


def start_name(endpoint_id: str, start: int | str) -> str:
    """Return the short name of a start.

    Args:
        endpoint_id: The endpoint.
        start: Tells its starts apart.
    """
    text = f"{endpoint_id}@{start}".encode()
    return hashlib.blake2b(text, digest_size=_DIGEST_BYTES).hexdigest()


def interval_name(endpoint_id: str, interval: int) -> str:
    """Return the name of an unstated start in an interval of the wall clock.

    VMs of the previous version give the same names.
    """
    return start_name(endpoint_id, f"about {interval}")


class UnstatedStarts:
    """Names of starts, and which of them are the same start.

    The same for the same reports in any order. Names of starts whose endpoint is not
    known (those of stated starts, and of the previous version) stand for themselves.
    """

    def __init__(self) -> None:
        self._first_ms: dict[str, float] = {}
        self._owners: dict[str, _Owner] = {}
        self._names: dict[str, set[str]] = {}
        self._same: dict[str, str] = {}

    def __len__(self) -> int:
        return len(self._first_ms)

    def note(self, name: str, endpoint_id: str, at_ms: float) -> None:
        """Take note of a crash.

        Args:
            name: Name of the start, as reported.
            endpoint_id: The endpoint of an unstated start, empty if unknown or stated.
            at_ms: When it crashed.
        """
        if endpoint_id:
            self._own(name, endpoint_id, at_ms)
        first_ms = self._first_ms.get(name)
        if first_ms is None or at_ms < first_ms:
            self._first_ms[name] = at_ms
        elif not endpoint_id:
            return
        owner = self._owners.get(name)
        if owner is not None:
            self._group(owner.endpoint_id)
        while len(self._first_ms) > MAX_NAMES:
            self._forget(next(iter(self._first_ms)))

    def name(self, endpoint_id: str, wall_ms: float, at_ms: float) -> str:
        """Return the name of the start of an endpoint that crashes now.

        Args:
            endpoint_id: The endpoint.
            wall_ms: Time of day.
            at_ms: The same moment on the clock of the reports.
        """
        interval = int(wall_ms // START_MS)
        for near in (interval - 1, interval, interval + 1):
            # The previous version reports these names without the endpoint.
            self._own(interval_name(endpoint_id, near), endpoint_id, at_ms)
        self._group(endpoint_id)
        for name in {self.same(one) for one in self._names[endpoint_id]}:
            first_ms = self._first_ms.get(name)
            if first_ms is not None and 0 <= at_ms - first_ms < START_MS:
                return name
        # A name of an earlier start would not count as another crash.
        while (name := interval_name(endpoint_id, interval)) in self._first_ms:
            interval += 1
        return name

    def same(self, name: str) -> str:
        """Return the name that stands for all names of a start."""
        return self._same.get(name, name)

    def expire(self, oldest_ms: float) -> None:
        """Forget what was last known before a time."""
        for name, at_ms in list(self._first_ms.items()):
            if at_ms < oldest_ms:
                self._forget(name)
        for name, owner in list(self._owners.items()):
            if owner.known_ms < oldest_ms and name not in self._first_ms:
                self._forget(name)

    def _own(self, name: str, endpoint_id: str, at_ms: float) -> None:
        known = self._owners.get(name)
        if known is None or known.known_ms < at_ms:
            self._owners[name] = _Owner(endpoint_id, at_ms)
        self._names.setdefault(endpoint_id, set()).add(name)

    def _group(self, endpoint_id: str) -> None:
        names = self._names[endpoint_id]
        found = sorted(
            (self._first_ms[name], name) for name in names if name in self._first_ms
        )
        first: tuple[float, str] | None = None
        for at_ms, name in found:
            if first is None or at_ms - first[0] >= START_MS:
                first = at_ms, name
            self._same[name] = first[1]

    def _forget(self, name: str) -> None:
        self._first_ms.pop(name, None)
        self._same.pop(name, None)
        owner = self._owners.pop(name, None)
        if owner is None:
            return
        names = self._names[owner.endpoint_id]
        names.discard(name)
        if names:
            self._group(owner.endpoint_id)
        else:
            del self._names[owner.endpoint_id]
