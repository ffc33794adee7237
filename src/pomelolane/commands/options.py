"""``pomelolane options``: the table of the settings of ``serve``.

The docs' table is written from ``--markdown``.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, ClassVar

from cleo.helpers import option

from pomelolane.commands.exits import ExitCode
from pomelolane.commands.plain import PlainCommand
from pomelolane.settings.options import OPTIONS, options_table_markdown

if TYPE_CHECKING:
    from cleo.io.inputs.option import Option


class OptionsCommand(PlainCommand):
    """Prints the table of options."""

    name = "options"
    description = "Print the table of the settings of serve."
    options: ClassVar[list[Option]] = [
        option("markdown", None, "Print the table for the docs.")
    ]

    def handle(self) -> int:
        """Print the table as text or as Markdown."""
        if self.option("markdown"):
            self.say(options_table_markdown(), end="")
            return ExitCode.OK
        rows = [
            (each.flag, each.variable, each.default or "", each.kind.allowed)
            for each in OPTIONS
        ]
        self.say_table(("FLAG", "VARIABLE", "DEFAULT", "ALLOWED"), rows)
        return ExitCode.OK
