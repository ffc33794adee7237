"""Exit codes of every command, and which error leads to which.

Scripts may rely on them; docs/OPERATING.md lists them.
"""

from __future__ import annotations

from enum import IntEnum

from pomelolane.exceptions import (
    CommitUnknownError,
    DeclarationError,
    ForbiddenBranchError,
    InvalidTreeError,
    PlatformError,
    PomelolaneError,
    RegistryError,
    SettingError,
    TransportError,
    UnknownOperatorError,
    VersionConflictError,
    VmRefusedError,
    VmUnreachableError,
)
from pomelolane.outcomes import Outcome


class ExitCode(IntEnum):
    """How a command ended."""

    OK = 0
    INTERNAL = 1
    USAGE = 2
    REFUSED = 3
    UNREACHABLE = 4
    UNKNOWN = 5
    INTERRUPTED = 130


MEANINGS = {
    ExitCode.OK: "The command did what was asked.",
    ExitCode.INTERNAL: "A fault of the program itself.",
    ExitCode.USAGE: "A flag, variable, argument or declaration is wrong.",
    ExitCode.REFUSED: "The VM refused, or the branch stands at another version.",
    ExitCode.UNREACHABLE: "The VM or the platform does not answer; nothing was done.",
    ExitCode.UNKNOWN: "It is not known whether it took effect, or it was cut short.",
    ExitCode.INTERRUPTED: "Ended by Ctrl-C.",
}
"""What each exit code means, for help and docs."""

_CODES: tuple[tuple[type[PomelolaneError], ExitCode], ...] = (
    (SettingError, ExitCode.USAGE),
    (DeclarationError, ExitCode.USAGE),
    (InvalidTreeError, ExitCode.USAGE),
    (RegistryError, ExitCode.USAGE),
    (VersionConflictError, ExitCode.REFUSED),
    (UnknownOperatorError, ExitCode.REFUSED),
    (ForbiddenBranchError, ExitCode.REFUSED),
    (VmUnreachableError, ExitCode.UNREACHABLE),
    (CommitUnknownError, ExitCode.UNKNOWN),
    (PlatformError, ExitCode.UNREACHABLE),
    (TransportError, ExitCode.UNREACHABLE),
)

_STARTED = (Outcome.UNKNOWN, Outcome.CUT_SHORT)


def exit_code_of_error(error: PomelolaneError) -> ExitCode:
    """Return the exit code that goes with an error."""
    if isinstance(error, VmRefusedError):
        return ExitCode.UNKNOWN if error.outcome in _STARTED else ExitCode.REFUSED
    for kind, code in _CODES:
        if isinstance(error, kind):
            return code
    return ExitCode.INTERNAL


def exit_codes_help() -> str:
    """Return the exit codes as lines of help."""
    lines = (f"  {code.value:>3}  {meaning}" for code, meaning in MEANINGS.items())
    return "Exit codes:\n" + "\n".join(lines)
