"""The flags of ``serve`` and ``check``, made from the table of options.

No flag has its own declaration here.
"""

from __future__ import annotations

import os
from typing import TYPE_CHECKING

from cleo.helpers import option

from pomelolane.settings.options import OPTIONS, options_from_environment

if TYPE_CHECKING:
    from cleo.commands.command import Command
    from cleo.io.inputs.option import Option as CleoOption

    from pomelolane.settings.options import Option, ServeOptions


def serve_flags() -> list[CleoOption]:
    """Return one flag an option."""
    return [
        option(each.flag.removeprefix("--"), None, _description(each), flag=False)
        for each in OPTIONS
    ]


def given_values(command: Command) -> dict[str, str]:
    """Return the texts given on the command line by field name."""
    values = {}
    for each in OPTIONS:
        text = command.option(each.flag.removeprefix("--"))
        if text is not None:
            values[each.name] = str(text)
    return values


def options_of_command(command: Command) -> ServeOptions:
    """Return the checked options of a command line and the environment.

    Raises:
        SettingError: A value is not allowed.
    """
    return options_from_environment(given_values(command), os.environ)


def is_anything_given(command: Command, *, beside: str) -> bool:
    """Tell whether any option but one is given, by flag or by variable."""
    given = set(given_values(command))
    given |= {each.name for each in OPTIONS if each.variable in os.environ}
    return bool(given - {beside})


def _description(each: Option) -> str:
    if each.default is None:
        default = "required"
    else:
        default = f"default {each.default}" if each.default else "empty by default"
    return f"{each.help} Allowed: {each.kind.allowed}; {default}. ({each.variable})"
