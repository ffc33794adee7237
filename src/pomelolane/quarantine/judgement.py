"""Which requests are to blame for the ends of endpoints; pure.

An endpoint runs several requests at a time, and all of them are among those that it
ended under. A harmless one that is sent on meets the guilty one again.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Collection, Mapping

ENDS_TO_SUSPECT = 2
"""Endpoints that have ended under a request before it is kept apart from other such
ones: one end is everybody's on that endpoint, two seldom are by chance."""

ENDS_TO_BLAME = 3
"""Endpoints that a request may end before it is refused; operators of engines allow
that many, and with fewer a harmless one would be refused for its company."""

ENDS_BEYOND_DOUBT = 4
"""Ends from which on a request is refused though another one was beside it each time:
a doubt must not cost the whole floor."""

SHARED_ENDS_OF_RIVALS = 2
"""Ends that two requests must have in common for one to explain the other's."""


@dataclass(frozen=True, slots=True)
class Judgement:
    """What is made of the reports.

    Attributes:
        blamed: Fingerprints to keep from endpoints.
        explained: Endpoint starts whose end is laid to one of them.
    """

    blamed: frozenset[str] = frozenset()
    explained: frozenset[str] = field(default_factory=frozenset)


def judge(ends: Mapping[str, Collection[str]]) -> Judgement:
    """Return who is to blame, the same for the same reports in any order.

    Requests with the most ends come first; what they explain does not count against
    those that were beside them.

    Args:
        ends: Endpoint starts that ended under each request, by fingerprint.
    """
    left = {
        name: set(starts)
        for name, starts in ends.items()
        if len(starts) >= ENDS_TO_BLAME
    }
    blamed: set[str] = set()
    explained: set[str] = set()
    while guilty := _guilty(left):
        for name in guilty:
            explained |= left.pop(name)
        blamed.update(guilty)
        for starts in left.values():
            starts -= explained
    return Judgement(frozenset(blamed), frozenset(explained))


def _guilty(left: Mapping[str, set[str]]) -> list[str]:
    """Return the certain ones among those with the most ends."""
    certain = [name for name in left if _is_certain(name, left)]
    most = max((len(left[name]) for name in certain), default=0)
    return [name for name in certain if len(left[name]) == most]


def _is_certain(name: str, left: Mapping[str, set[str]]) -> bool:
    own = left[name]
    if len(own) >= ENDS_BEYOND_DOUBT:
        return True
    if len(own) < ENDS_TO_BLAME:
        return False
    return not any(
        len(starts) >= len(own) and len(starts & own) >= SHARED_ENDS_OF_RIVALS
        for other, starts in left.items()
        if other != name
    )
