"""``pomelolane check``: check settings and declarations without starting.

It reports every problem of the declarations at once.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, ClassVar

from pomelolane.commands.exits import ExitCode
from pomelolane.commands.plain import PlainCommand
from pomelolane.commands.serve_flags import (
    is_anything_given,
    options_of_command,
    serve_flags,
)
from pomelolane.settings.options import check_region
from pomelolane.settings.tree import tree_from_directory

if TYPE_CHECKING:
    from cleo.io.inputs.option import Option

    from pomelolane.model import Tree


class CheckCommand(PlainCommand):
    """Checks settings and declarations."""

    name = "check"
    description = "Check settings and declarations without starting."
    explanation = (
        "Takes the flags and variables of serve. With --tree alone, only the "
        "declarations are checked."
    )
    options: ClassVar[list[Option]] = serve_flags()

    def handle(self) -> int:
        """Check what was given."""
        directory = self.option("tree")
        if directory and not is_anything_given(self, beside="tree"):
            self._say_tree(tree_from_directory(directory))
            return ExitCode.OK
        options = options_of_command(self)
        self.say(f"settings of VM {options.vm_id} are right")
        if options.tree:
            tree = tree_from_directory(options.tree)
            check_region(options, tree)
            self._say_tree(tree)
        return ExitCode.OK

    def _say_tree(self, tree: Tree) -> None:
        self.say(
            f"declarations of region {tree.region} are right: "
            f"{len(tree.teams)} branches, {len(tree.tiers)} tiers, "
            f"{len(tree.services)} services, {len(tree.endpoints)} endpoints, "
            f"{len(tree.organisations)} organisations"
        )
