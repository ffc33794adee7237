"""Puts the life of one request together from the logs of several VMs."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

import msgspec

if TYPE_CHECKING:
    from collections.abc import Iterable

_HIDDEN = frozenset({"t_ms", "event", "name", "level", "request"})
_BRACE = "{"


@dataclass(frozen=True, slots=True)
class TracedLine:
    """One log line of a request.

    Attributes:
        source: What stands before the JSON object, such as the VM's name.
        at_ms: The writing VM's time of day.
        name: The event's name.
        fields: Its other fields.
    """

    source: str
    at_ms: int
    name: str
    fields: dict[str, Any]

    def text(self, start_ms: int) -> str:
        """Return the line for people, with the time since the first one."""
        pairs = " ".join(f"{name}={value}" for name, value in self.fields.items())
        return f"{self.at_ms - start_ms:+6d} ms  {self.source}  {self.name}  {pairs}"


def trace_from_lines(request_id: str, lines: Iterable[str]) -> list[TracedLine]:
    """Return the lines of a request, gateways' and schedulers', in order of time.

    Attempts that resume one stream are traced together.

    Args:
        request_id: The id that the caller knows, of any attempt.
        lines: Log lines; text before the JSON object is kept as their source.
    """
    parsed = [line for line in map(_parsed, lines) if line is not None]
    attempts = _attempts_of_stream(request_id, parsed)
    grants = {
        str(fields.get("grant", ""))
        for _, fields in parsed
        if fields.get("request") in attempts and fields.get("grant")
    }
    ids = {grant.partition(".")[0] for grant in grants}
    found = [
        _traced(source, fields)
        for source, fields in parsed
        if _is_of(str(fields.get("request", "")), attempts, ids)
    ]
    return sorted(found, key=lambda line: line.at_ms)


def cause_from_trace(trace: list[TracedLine]) -> str:
    """Return in one sentence how the request ended, and why."""
    for line in reversed(trace):
        cause = _CAUSES.get(line.name)
        if cause is not None:
            return cause.format_map(_Fields(line.fields))
    return "The logs hold no end of the request: its VM ended, or lines were lost."


_CAUSES = {
    "forward_finished": "{endpoint} answered {status} after {total_ms} ms.",
    "forward_relay_ended": (
        "{peer} answered {status} after {total_ms} ms, in place of this VM."
    ),
    "forward_refused": (
        "The gateway ended it with status {status} after {held_ms} ms: {reason} "
        "({detail}); outcome {outcome}, {sends} sends, last endpoint {endpoint!r}."
    ),
    "forward_abandoned": (
        "The caller left after {held_ms} ms; {sends} sends, last endpoint {endpoint!r}."
    ),
}


class _Fields(dict):
    def __missing__(self, name: str) -> str:
        return "?"


def _parsed(line: str) -> tuple[str, dict[str, Any]] | None:
    source, brace, rest = line.partition(_BRACE)
    if not brace:
        return None
    try:
        return source.strip(), msgspec.json.decode(brace + rest, type=dict)
    except msgspec.DecodeError:
        return None


def _attempts_of_stream(
    request_id: str, parsed: Iterable[tuple[str, dict[str, Any]]]
) -> set[str]:
    """Return the ids of a request and of all attempts that resume the same stream."""
    first_by_attempt = {
        str(fields.get("request")): str(fields["resumes"])
        for _, fields in parsed
        if fields.get("resumes")
    }
    first = first_by_attempt.get(request_id, request_id)
    resumed = {one for one, resumes in first_by_attempt.items() if resumes == first}
    return {request_id, first, *resumed}


def _is_of(value: str, attempts: set[str], ids: set[str]) -> bool:
    return value in attempts or value.partition(".")[0] in ids


def _traced(source: str, fields: dict[str, Any]) -> TracedLine:
    told = {name: value for name, value in fields.items() if name not in _HIDDEN}
    told = {name: value for name, value in told.items() if value != ""}
    return TracedLine(source, int(fields["t_ms"]), str(fields["name"]), told)
