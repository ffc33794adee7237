"""Structured log lines over absl.logging, one function for all of them.

A line is the event's number and name followed by ``field=value`` pairs.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from absl import logging
from absl.logging import converter

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


def format_event(event: Event, values: dict[str, object]) -> str:
    """Return the text of a log line, fields in catalogue order."""
    pairs = (f"{name}={_printable(values.get(name, ''))}" for name in event.fields)
    return f"E{event.number} {event.name} " + " ".join(pairs)


def log_event(event: Event, **values: object) -> None:
    """Write one log line; only fields of the catalogue are written."""
    level = _LEVELS[event.level]
    if level > logging.get_verbosity():
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
