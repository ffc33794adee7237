"""A command that prints plain text, without the client that others need.

Texts from elsewhere are written raw, so that nothing in them acts as markup.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, ClassVar

from cleo.commands.command import Command
from cleo.io.outputs.output import Type

from pomelolane.commands.exits import exit_codes_help

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence


class PlainCommand(Command):
    """A command that prints plain text and knows its exit codes."""

    explanation: ClassVar[str] = ""

    def __init__(self) -> None:
        super().__init__()
        parts = (self.explanation, exit_codes_help())
        self.help = "\n\n".join(part for part in parts if part)

    def say(self, text: str, *, end: str = "\n") -> None:
        """Write text to the standard output as it is."""
        self.io.output.write(text + end, type=Type.RAW)

    def warn(self, text: str) -> None:
        """Write a line to the standard error as it is."""
        self.io.error_output.write(text + "\n", type=Type.RAW)

    def say_table(
        self, titles: Sequence[str], rows: Iterable[Sequence[object]]
    ) -> None:
        """Write a table with aligned columns."""
        cells = [[str(cell) for cell in row] for row in rows]
        widths = [
            max(len(row[index]) for row in (list(titles), *cells))
            for index in range(len(titles))
        ]
        for row in (titles, *cells):
            padded = (
                cell.ljust(width) for cell, width in zip(row, widths, strict=True)
            )
            self.say("  ".join(padded).rstrip())
