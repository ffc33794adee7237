"""Holds back incomplete events of streams that may be resumed elsewhere."""

from __future__ import annotations

from pomelolane.endpoints.boundary import LINE_END, EventBoundary

MAX_EVENT_BYTES = 1024 * 1024
"""Most bytes of an event that a stream may hold back."""

MAX_HELD_BYTES = 16 * 1024 * 1024
"""Bytes that all streams of a VM may hold back before they are bounded further."""

_EVENT_ID = b"id:"


class HeldEvents:
    """Bounds the bytes that all streams of a VM hold back together.

    Once they hold more than the bound, a stream may only grow up to an equal share of
    it: those that fill the memory break, not those that hold the start of an event.

    Args:
        max_event_bytes: Most bytes that one stream may hold back.
        max_held_bytes: Bound for all streams.
    """

    def __init__(
        self,
        max_event_bytes: int = MAX_EVENT_BYTES,
        max_held_bytes: int = MAX_HELD_BYTES,
    ) -> None:
        self._max_event_bytes = max_event_bytes
        self._max_held_bytes = max_held_bytes
        self._holding_streams = 0
        self.held_bytes = 0

    def resize(self, before_bytes: int, now_bytes: int) -> None:
        """Record how much a stream holds back now, and held back before."""
        self.held_bytes += now_bytes - before_bytes
        self._holding_streams += (now_bytes > 0) - (before_bytes > 0)

    def admits(self, stream_bytes: int) -> bool:
        """Return whether a stream may hold back so many bytes, recorded already."""
        if stream_bytes > self._max_event_bytes:
            return False
        is_fair = stream_bytes * self._holding_streams <= self._max_held_bytes
        return is_fair or self.held_bytes <= self._max_held_bytes


class EventBuffer:
    """Follows a stream of server-sent events on its way to the caller.

    Args:
        held_events: Bounds the incomplete last event, which is held back: if the stream
            breaks and is resumed at another endpoint, the caller must not get the
            beginning of an event twice. None to hold nothing back.

    Attributes:
        last_id: Id of the last complete event, if events are held back.
    """

    def __init__(self, held_events: HeldEvents | None) -> None:
        self._held_events = held_events
        self._boundary = EventBoundary()
        self._held = bytearray()
        self.last_id = b""

    @property
    def is_between_events(self) -> bool:
        """Whether all events so far have ended."""
        return self._boundary.is_between_events

    @property
    def held_bytes(self) -> int:
        """Number of bytes held back."""
        return len(self._held)

    @property
    def is_too_long(self) -> bool:
        """Whether more is held back than the VM has room for."""
        held_events = self._held_events
        return held_events is not None and not held_events.admits(len(self._held))

    def feed(self, data: bytes) -> bytes:
        """Add data, and return what may be sent of all data not returned before."""
        between = self._boundary.feed(data)
        if self._held_events is None:
            return data
        before_bytes = len(self._held)
        complete = data[:between]
        if complete:
            if self._held:
                complete = bytes(self._held) + complete
                self._held = bytearray()
            self._update_last_id(complete)
        self._held += data[between:]
        if before_bytes or self._held:
            self._held_events.resize(before_bytes, len(self._held))
        return complete

    def take_held(self) -> bytes:
        """Return what was held back behind the last event: comments, if no event."""
        held = bytes(self._held)
        self.discard()
        return held

    def discard(self) -> None:
        """Drop what is held back."""
        if self._held_events is not None:
            self._held_events.resize(len(self._held), 0)
        self._held = bytearray()

    def _update_last_id(self, complete: bytes) -> None:
        for line in reversed(LINE_END.split(complete)):
            if line.startswith(_EVENT_ID):
                self.last_id = line[len(_EVENT_ID) :].strip()
                return
