"""Settings: options of the process and the tree that operators declare.

Options come from flags and environment; the tree lives in the platform's table.
"""

from pomelolane.addresses import Seed
from pomelolane.settings.kinds import EMBEDDED
from pomelolane.settings.options import (
    OPTIONS,
    Option,
    ServeOptions,
    options_from_environment,
)
from pomelolane.settings.rows import BranchVersion, Snapshot
from pomelolane.settings.store import Change, SettingsStore
from pomelolane.settings.tree import (
    branch_content_from_directory,
    tree_from_branches,
    tree_from_directory,
)

__all__ = [
    "EMBEDDED",
    "OPTIONS",
    "BranchVersion",
    "Change",
    "Option",
    "Seed",
    "ServeOptions",
    "SettingsStore",
    "Snapshot",
    "branch_content_from_directory",
    "options_from_environment",
    "tree_from_branches",
    "tree_from_directory",
]
