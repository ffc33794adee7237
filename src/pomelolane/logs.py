"""Structured log lines over absl.logging, one function for all of them.

A line is the event's number and name followed by ``field=value`` pairs, or a
JSON object where :func:`write_json_lines` was called.
"""

from __future__ import annotations

import os
import time
from typing import TYPE_CHECKING

import msgspec
from absl import logging
from absl.logging import converter

from pomelolane import events

if TYPE_CHECKING:
    from pomelolane.events import Event

_LEVELS = {
    "debug": logging.DEBUG,
    "info": logging.INFO,
    "warning": logging.WARNING,
    "error": logging.ERROR,
}

_MAX_VALUE_LENGTH = 200
_SOURCE = "pomelolane"
_LOGGER = logging.get_absl_logger()


MAX_LINES_PER_S = 400
"""Bound on JSON lines: over twice the 168 that a VM wrote in the busiest second of
incident 9f02."""


class JsonLines:
    """Writes JSON lines to a descriptor without ever waiting for its reader.

    Lines over the bound, or that the descriptor does not take, are counted;
    the count is written as soon as there is room.

    Args:
        descriptor: Where lines go; set to non-blocking here.
        lines_per_s: Bound, and the burst that is allowed.
    """

    def __init__(self, descriptor: int, lines_per_s: int = MAX_LINES_PER_S) -> None:
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._lines_per_s = lines_per_s
        self._room = float(lines_per_s)
        self._at_s = time.monotonic()
        self._rest = b""
        self.lost = 0

    def write(self, event: Event, values: dict[str, object]) -> None:
        """Write one event, or count it as lost."""
        if not self._has_room() or not self._flush():
            self.lost += 1
            return
        if self.lost:
            told = _json_line(events.LINES_LOST, {"lines": self.lost})
            if not self._put(told):
                self.lost += 1
                return
            self.lost = 0
        if not self._put(_json_line(event, values)):
            self.lost += 1

    def _has_room(self) -> bool:
        now_s = time.monotonic()
        gained = (now_s - self._at_s) * self._lines_per_s
        self._at_s = now_s
        self._room = min(float(self._lines_per_s), self._room + gained)
        if self._room < 1.0:
            return False
        self._room -= 1.0
        return True

    def _flush(self) -> bool:
        """Write what was left of an earlier line; False while it is stuck."""
        if self._rest:
            rest, self._rest = self._rest, b""
            self._put(rest)
        return not self._rest

    def _put(self, line: bytes) -> bool:
        """Write a line, or the part that is taken; False where nothing is."""
        if self._rest:
            return False
        try:
            written = os.write(self._descriptor, line)
        except BlockingIOError:
            return False
        self._rest = line[written:]
        return True


_json_lines: JsonLines | None = None


def write_json_lines(descriptor: int) -> None:
    """Write events as JSON lines to a descriptor from now on."""
    global _json_lines
    _json_lines = JsonLines(descriptor)


def _json_line(event: Event, values: dict[str, object]) -> bytes:
    line: dict[str, object] = {
        "t_ms": int(time.time() * 1000),
        "event": event.number,
        "name": event.name,
        "level": event.level,
    }
    for name in event.fields:
        line[name] = _plain(values.get(name, ""))
    return msgspec.json.encode(line) + b"\n"


def _plain(value: object) -> object:
    if isinstance(value, float):
        return round(value, 1)
    if isinstance(value, (int, bool)):
        return value
    return str(value)[:_MAX_VALUE_LENGTH]


def format_event(event: Event, values: dict[str, object]) -> str:
    """Return the text of a log line, fields in catalogue order."""
    pairs = (f"{name}={_printable(values.get(name, ''))}" for name in event.fields)
    return f"E{event.number} {event.name} " + " ".join(pairs)


def log_event(event: Event, **values: object) -> None:
    """Write one log line; only fields of the catalogue are written."""
    level = _LEVELS[event.level]
    if level > logging.get_verbosity():
        return
    if _json_lines is not None:
        _json_lines.write(event, values)
        return
    # absl would walk the stack of each call for its file and line, which costs
    # more than the rest; an event's number says where it comes from.
    record = _LOGGER.makeRecord(
        _LOGGER.name,
        converter.absl_to_standard(level),
        _SOURCE,
        event.number,
        format_event(event, values),
        (),
        None,
    )
    _LOGGER.handle(record)


def _printable(value: object) -> str:
    if isinstance(value, float):
        return f"{value:.1f}"
    text = str(value)[:_MAX_VALUE_LENGTH]
    return text.replace("\n", "\\n").replace(" ", "_")
