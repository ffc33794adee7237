"""``pomelolane events``: the catalogue of numbered log events.

docs/LOG-EVENTS.md is written from ``--markdown``.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, ClassVar

from cleo.helpers import option

from pomelolane.commands.exits import ExitCode
from pomelolane.commands.plain import PlainCommand
from pomelolane.events import CATALOGUE

_GROUPS = {
    1: "The process",
    2: "The gateway",
    3: "The scheduler",
    4: "Membership",
    5: "Platform, claims and leases",
    6: "Jobs",
    7: "Settings",
    8: "Endpoints",
}

_INTRODUCTION = """\
# Log events

Every log line is `E<number> <name>` followed by `field=value` pairs. This page
is written by `pomelolane events --markdown`; CI checks that it agrees with the
code. Secrets and bodies of requests are never logged.
"""

if TYPE_CHECKING:
    from cleo.io.inputs.option import Option


class EventsCommand(PlainCommand):
    """Prints the catalogue."""

    name = "events"
    description = "Print the catalogue of log events."
    options: ClassVar[list[Option]] = [
        option("markdown", None, "Print the text of docs/LOG-EVENTS.md.")
    ]

    def handle(self) -> int:
        """Print the catalogue as a table or as Markdown."""
        if self.option("markdown"):
            self.say(catalogue_markdown(), end="")
            return ExitCode.OK
        rows = [
            (f"E{event.number}", event.name, event.level, event.meaning)
            for _, event in sorted(CATALOGUE.items())
        ]
        self.say_table(("NUMBER", "NAME", "LEVEL", "MEANING"), rows)
        return ExitCode.OK


def catalogue_markdown() -> str:
    """Return the text of docs/LOG-EVENTS.md."""
    lines = [_INTRODUCTION]
    group = 0
    for number, event in sorted(CATALOGUE.items()):
        if number // 100 != group:
            group = number // 100
            lines.append(_group_heading(group))
        fields = ", ".join(f"`{name}`" for name in event.fields)
        cells = (
            f"E{number}",
            f"`{event.name}`",
            event.level,
            fields,
            event.meaning,
        )
        lines.append("| " + " | ".join(cells) + " |")
    return "\n".join(lines) + "\n"


def _group_heading(group: int) -> str:
    title = _GROUPS.get(group, "Others")
    return (
        f"\n## {title} ({group}xx)\n\n"
        "| Number | Name | Level | Fields | Meaning |\n"
        "| --- | --- | --- | --- | --- |"
    )
