"""The command line: one module a command, loaded when it is called.

:func:`main` runs it and turns every typed error into its exit code.
"""

from pomelolane.commands.application import main as main
from pomelolane.commands.exits import ExitCode as ExitCode
