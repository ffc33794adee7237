"""``pomelolane settings history``: the kept versions of a branch.

Each line has the version, its remark and what it changed.
"""

from __future__ import annotations

from itertools import pairwise
from typing import TYPE_CHECKING, ClassVar

from cleo.helpers import argument, option

from pomelolane.commands.base import OperatorCommand
from pomelolane.commands.diff import difference_of_contents
from pomelolane.commands.exits import ExitCode

if TYPE_CHECKING:
    from cleo.io.inputs.argument import Argument
    from cleo.io.inputs.option import Option

    from pomelolane.commands.client import VmClient


class SettingsHistoryCommand(OperatorCommand):
    """Lists the versions of a branch."""

    name = "settings history"
    description = "List the kept versions of a branch, newest first."
    arguments: ClassVar[list[Argument]] = [argument("branch", "The branch.")]
    options: ClassVar[list[Option]] = [
        option("changes", None, "Show what each version changed.")
    ]

    async def talk(self, client: VmClient) -> ExitCode:
        """Read and print."""
        branch = self.argument("branch")
        key = self.operator_keys().of_team_or_platform(branch)
        versions = (await client.history(branch, key)).versions
        if not self.option("changes"):
            rows = [(each.version, each.note) for each in versions]
            self.say_table(("VERSION", "NOTE"), rows)
            return ExitCode.OK
        for newer, older in pairwise((*versions, None)):
            self.say(f"version {newer.version}: {newer.note}")
            old = bytes(older.content) if older else b""
            if older or newer.version == 1:
                for line in difference_of_contents(old, bytes(newer.content)):
                    self.say(f"  {line}")
        return ExitCode.OK
