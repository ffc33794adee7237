"""``pomelolane settings get``: read the settings tree from the platform's table.

Without a branch it lists the versions of all of them.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, ClassVar

import msgspec
from cleo.helpers import argument

from pomelolane.commands.base import OperatorCommand
from pomelolane.commands.exits import ExitCode

if TYPE_CHECKING:
    from cleo.io.inputs.argument import Argument

    from pomelolane.commands.client import VmClient


class SettingsGetCommand(OperatorCommand):
    """Shows a branch, or the versions of all."""

    name = "settings get"
    description = "Show a branch's content, or the versions of all branches."
    explanation = "A team's key reads its own branch and the platform's."
    arguments: ClassVar[list[Argument]] = [
        argument("branch", "The branch; all versions without.", optional=True)
    ]

    async def talk(self, client: VmClient) -> ExitCode:
        """Read and print."""
        keys = self.operator_keys()
        branch = self.argument("branch")
        if not branch:
            index = await client.settings_index(keys.any())
            self.say_table(("BRANCH", "VERSION"), index.branches.items())
            return ExitCode.OK
        found = await client.branch(branch, keys.of_team_or_platform(branch))
        self.say(msgspec.json.format(bytes(found.content)).decode())
        self.warn(f"branch {found.branch} stands at version {found.version}")
        return ExitCode.OK
