"""Finds the ends of server-sent events in a stream of bytes."""

from __future__ import annotations

import re

LINE_END = re.compile(rb"\r\n|\n|\r")
"""End of a line of an event stream."""

_COMMENT = b":"


class EventBoundary:
    """Follows an event stream across the borders of its pieces.

    Lines end by LF, CR LF or CR, and an event ends by an empty line (WHATWG HTML,
    section 9.2.6). Comments between events belong to none.
    """

    __slots__ = ("_after_cr", "_is_in_event", "_line_start")

    def __init__(self) -> None:
        self._is_in_event = False
        self._line_start = b""
        self._after_cr = False

    @property
    def is_between_events(self) -> bool:
        """Whether all events so far have ended."""
        return not self._is_in_event and self._line_start in (b"", _COMMENT)

    def feed(self, data: bytes) -> int:
        """Take the next bytes.

        Returns:
            Number of these bytes up to the last place between two events, 0 for none.
        """
        between = 0
        start = 1 if self._after_cr and data.startswith(b"\n") else 0
        for line_end in LINE_END.finditer(data, start):
            line_start = self._line_start or data[start : line_end.start()][:1]
            if not line_start:
                self._is_in_event = False
            elif line_start != _COMMENT:
                self._is_in_event = True
            if not self._is_in_event:
                between = line_end.end()
            self._line_start = b""
            start = line_end.end()
        self._line_start = self._line_start or data[start : start + 1]
        self._after_cr = data.endswith(b"\r")
        return between
