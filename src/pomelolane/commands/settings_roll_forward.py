"""``pomelolane settings roll-forward``: an earlier content as a new version.

Versions only grow, so nothing that was accepted ever reverts by itself.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, ClassVar

from cleo.helpers import argument, option

from pomelolane.commands.base import OperatorCommand, checked_number
from pomelolane.commands.changes import PlannedChange, make_change
from pomelolane.commands.diff import difference_of_contents
from pomelolane.commands.exits import ExitCode
from pomelolane.exceptions import SettingError

if TYPE_CHECKING:
    from cleo.io.inputs.argument import Argument
    from cleo.io.inputs.option import Option

    from pomelolane.commands.client import VmClient
    from pomelolane.settings.wire import BranchBody

_MAX_VERSION = 10**8 - 1


class SettingsRollForwardCommand(OperatorCommand):
    """Makes an earlier content of a branch its new version."""

    name = "settings roll-forward"
    description = "Make an earlier content of a branch its new version."
    explanation = (
        "The branch is changed by compare-and-set on its newest version; if a "
        "colleague changes it meanwhile, nothing is done."
    )
    arguments: ClassVar[list[Argument]] = [
        argument("branch", "The branch."),
        argument("version", "Version whose content is wanted."),
    ]
    options: ClassVar[list[Option]] = [
        option("dry-run", None, "Show the difference and change nothing.")
    ]

    async def talk(self, client: VmClient) -> ExitCode:
        """Find the version, show the difference and make the change."""
        branch = self.argument("branch")
        wanted = checked_number("VERSION", self.argument("version"), 1, _MAX_VERSION)
        key = self.operator_keys().of_team(branch)
        versions = (await client.history(branch, key)).versions
        earlier = _find(versions, wanted)
        newest = versions[0]
        old, new = bytes(newest.content), bytes(earlier.content)
        for line in difference_of_contents(old, new):
            self.say(f"  {line}")
        if self.option("dry-run"):
            return ExitCode.OK
        change = PlannedChange(branch, newest.version, old, new, key)
        result = await make_change(client, change, f"roll forward to {wanted}")
        if result.error:
            raise result.error
        self.say(f"{branch}: accepted as version {result.version}")
        return ExitCode.OK


def _find(versions: tuple[BranchBody, ...], wanted: int) -> BranchBody:
    for each in versions:
        if each.version == wanted:
            return each
    known = ", ".join(str(each.version) for each in versions) or "none"
    raise SettingError("VERSION", wanted, f"one of the kept versions: {known}")
