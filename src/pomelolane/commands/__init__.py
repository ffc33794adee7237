"""The command line: one module a command, loaded when it is called.

:func:`main` runs it and turns every typed error into its exit code.
"""

from pomelolane.commands.application import main
from pomelolane.commands.exits import ExitCode

__all__ = ["ExitCode", "main"]
