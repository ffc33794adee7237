"""Which requests, or parts of prompts, are to blame for crashes of endpoints; pure.

An endpoint runs several requests at a time, and all of them are among those that it
crashed under. A harmless one that is sent on meets the guilty one again. Of a prompt,
all parts are among them wherever it runs.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from pomelolane.quarantine.fingerprint import is_part

if TYPE_CHECKING:
    from collections.abc import Collection, Mapping

    from pomelolane.quarantine.subjects import Subjects

CRASHES_TO_SUSPECT = 2
"""Endpoints that have crashed under a request before it is kept apart from other such
ones: one crash is everybody's on that endpoint, two seldom are by chance."""

CRASHES_TO_QUARANTINE = 3
"""Endpoints that a request may crash before it is refused; operators of engines allow
that many, and with fewer a harmless one would be refused for its company."""

CRASHES_BEYOND_DOUBT = 4
"""Crashes from which on a request is refused though another one was beside it each
time: a doubt must not cost all endpoints."""

SHARED_CRASHES_OF_RIVALS = 2
"""Crashes that two requests must have in common for one to explain the other's."""


@dataclass(frozen=True, slots=True)
class Judgement:
    """What is made of the reports.

    Attributes:
        quarantined: Fingerprints to keep from endpoints.
        explained: Endpoint starts whose crash is laid to one of them.
        starts: Endpoint starts that crashed under each of them.
    """

    quarantined: frozenset[str] = frozenset()
    explained: frozenset[str] = field(default_factory=frozenset)
    starts: Mapping[str, frozenset[str]] = field(default_factory=dict)

    def holds(self, subjects: Subjects) -> bool:
        """Tell whether a request is to be kept from endpoints.

        One of several that crashed together may be sound. A request that has only some
        of them is let through, since it tells them apart.
        """
        if not self.quarantined:
            return False
        carried = self.quarantined.intersection(subjects)
        return any(not self._may_be_another(name, carried) for name in carried)

    def _may_be_another(self, name: str, carried: Collection[str]) -> bool:
        own = self.starts[name]
        return any(
            own <= starts and (is_part(name) or is_part(other))
            for other, starts in self.starts.items()
            if other not in carried
        )


def judge(crashes: Mapping[str, Collection[str]]) -> Judgement:
    """Return who is to blame, the same for the same reports in any order.

    Those with the most crashes come first; what they explain does not count against
    those that were beside them.

    Args:
        crashes: Endpoint starts that crashed under each, by fingerprint.
    """
    left = {
        name: set(starts)
        for name, starts in crashes.items()
        if len(starts) >= CRASHES_TO_QUARANTINE
    }
    quarantined: set[str] = set()
    explained: set[str] = set()
    while guilty := _guilty(left):
        for name in guilty:
            explained |= left.pop(name)
        quarantined.update(guilty)
        for starts in left.values():
            starts -= explained
    starts = {name: frozenset(crashes[name]) for name in quarantined}
    return Judgement(frozenset(quarantined), frozenset(explained), starts)


def _guilty(left: Mapping[str, set[str]]) -> list[str]:
    """Return the certain ones among those with the most crashes."""
    certain = [name for name in left if _is_certain(name, left)]
    most = max((len(left[name]) for name in certain), default=0)
    return [name for name in certain if len(left[name]) == most]


def _is_certain(name: str, left: Mapping[str, set[str]]) -> bool:
    own = left[name]
    if len(own) >= CRASHES_BEYOND_DOUBT:
        return True
    if len(own) < CRASHES_TO_QUARANTINE:
        return False
    return not any(
        len(starts) >= len(own) and len(starts & own) >= SHARED_CRASHES_OF_RIVALS
        for other, starts in left.items()
        if other != name and _are_rivals(name, other, left)
    )


def _are_rivals(name: str, other: str, left: Mapping[str, set[str]]) -> bool:
    """Tell whether the doubt between two is a reason to wait for another crash.

    It is none between a request and a part, as a request's own parts crash with it,
    nor between parts that nothing tells apart: see :meth:`Judgement.holds`.
    """
    if is_part(name) and is_part(other):
        return left[name] != left[other]
    return not is_part(name) and not is_part(other)
