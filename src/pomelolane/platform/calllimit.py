"""Time limit of calls to the metadata store, which follows how late it answers."""

from __future__ import annotations

SHORTEST_S = 1.0
"""Limit while the store answers in time; it answers in milliseconds unless it is in
trouble, and what it says after an outage must be known within 3 s of its return."""

LONGEST_S = 4.0
"""Longest limit, and the time after which an answer is awaited no more."""

_ROOM = 1.5
_DECAY = 0.8


class CallLimit:
    """The limit of one kind of calls.

    Calls that are never answered do not lengthen it: the next call after an outage must
    not wait for longer on a connection that is dead.

    Attributes:
        limit_s: The limit at present.
    """

    def __init__(self) -> None:
        self.limit_s = SHORTEST_S

    def note_answer(self, late_s: float) -> None:
        """Note how long an answer took, be it too late or not."""
        wanted_s = max(SHORTEST_S, _ROOM * late_s, _DECAY * self.limit_s)
        self.limit_s = min(LONGEST_S, wanted_s)
