"""``pomelolane apply DIR``: put declarations in force, branch by branch.

It shows the difference first and changes nothing that is equal.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, ClassVar

from cleo.helpers import argument, option

from pomelolane.commands.base import OperatorCommand
from pomelolane.commands.changes import make_changes, plan_changes
from pomelolane.commands.diff import difference_of_contents
from pomelolane.commands.exits import ExitCode, exit_code_of_error
from pomelolane.settings.tree import branch_content_from_directory

if TYPE_CHECKING:
    from cleo.io.inputs.argument import Argument
    from cleo.io.inputs.option import Option

    from pomelolane.commands.changes import ChangeResult, PlannedChange
    from pomelolane.commands.client import VmClient

DEFAULT_NOTE = "apply"


class ApplyCommand(OperatorCommand):
    """Applies a directory of declarations."""

    name = "apply"
    description = "Put a directory of declarations in force, branch by branch."
    explanation = (
        "The directory holds one folder of *.yaml files a team. It is checked "
        "whole; each branch that differs is changed by compare-and-set with its "
        "own team's operator key, a new team's branch with the platform's. "
        "Branches without a folder stay as they are."
    )
    arguments: ClassVar[list[Argument]] = [
        argument("directory", "Directory of declarations.")
    ]
    options: ClassVar[list[Option]] = [
        option("dry-run", None, "Show the difference and change nothing."),
        option("note", None, "Remark for the history.", flag=False),
    ]

    async def talk(self, client: VmClient) -> ExitCode:
        """Plan, show and make the changes."""
        contents = branch_content_from_directory(self.argument("directory"))
        planned = await plan_changes(client, contents, self.operator_keys())
        changed = {change.branch for change in planned}
        for branch in sorted(set(contents) - changed):
            self.say(f"{branch}: unchanged")
        for change in planned:
            self._say_difference(change)
        if self.option("dry-run"):
            return ExitCode.OK
        note = self.option("note") or DEFAULT_NOTE
        results = await make_changes(client, planned, note)
        return max((self._say_result(each) for each in results), default=ExitCode.OK)

    def _say_difference(self, change: PlannedChange) -> None:
        origin = f"version {change.version}" if change.version else "new branch"
        self.say(f"{change.branch}: {origin}")
        for line in difference_of_contents(change.old, change.new):
            self.say(f"  {line}")

    def _say_result(self, result: ChangeResult) -> ExitCode:
        branch = result.change.branch
        if result.error is None:
            self.say(f"{branch}: accepted as version {result.version}")
            return ExitCode.OK
        for line in str(result.error).splitlines():
            self.warn(f"{branch}: {line}")
        return exit_code_of_error(result.error)
