"""Settings: options of the process and the tree that operators declare.

Options come from flags and environment; the tree lives in the platform's table.
"""

from pomelolane.settings.kinds import EMBEDDED as EMBEDDED
from pomelolane.settings.kinds import Seed as Seed
from pomelolane.settings.options import OPTIONS as OPTIONS
from pomelolane.settings.options import Option as Option
from pomelolane.settings.options import ServeOptions as ServeOptions
from pomelolane.settings.options import (
    options_from_environment as options_from_environment,
)
from pomelolane.settings.rows import BranchVersion as BranchVersion
from pomelolane.settings.rows import Snapshot as Snapshot
from pomelolane.settings.store import Change as Change
from pomelolane.settings.store import SettingsStore as SettingsStore
from pomelolane.settings.tree import (
    branch_content_from_directory as branch_content_from_directory,
)
from pomelolane.settings.tree import tree_from_branches as tree_from_branches
from pomelolane.settings.tree import tree_from_directory as tree_from_directory
