"""The application: which commands there are, and how errors end the process.

Commands are imported only when called, so that ``serve`` loads no client.
"""

from __future__ import annotations

import sys
from importlib import import_module
from typing import TYPE_CHECKING

from cleo.application import Application
from cleo.exceptions import CleoError
from cleo.loaders.factory_command_loader import FactoryCommandLoader

from pomelolane import __version__
from pomelolane.commands.exits import ExitCode, exit_code_of_error
from pomelolane.exceptions import PomelolaneError

if TYPE_CHECKING:
    from collections.abc import Callable

    from cleo.commands.command import Command
    from cleo.io.inputs.input import Input
    from cleo.io.outputs.output import Output

PROGRAM = "pomelolane"

_COMMANDS = {
    "serve": "serve:ServeCommand",
    "check": "check:CheckCommand",
    "status": "status:StatusCommand",
    "apply": "apply:ApplyCommand",
    "settings get": "settings_get:SettingsGetCommand",
    "settings history": "settings_history:SettingsHistoryCommand",
    "settings roll-forward": "settings_roll_forward:SettingsRollForwardCommand",
    "request": "request:RequestCommand",
    "drain": "drain:DrainCommand",
    "events": "events:EventsCommand",
    "options": "options:OptionsCommand",
    "platform": "platform:PlatformCommand",
    "trace": "trace:TraceCommand",
}


def make_application() -> Application:
    """Make the application with all commands."""
    application = Application(PROGRAM, __version__)
    factories = {name: _factory(place) for name, place in _COMMANDS.items()}
    application.set_command_loader(FactoryCommandLoader(factories))
    application.catch_exceptions(False)
    application.auto_exits(False)
    return application


def main() -> int:
    """Run the command line and return its exit code."""
    return run_application()


def run_application(
    command_input: Input | None = None,
    output: Output | None = None,
    error_output: Output | None = None,
) -> int:
    """Run one command; every error is one line and a documented exit code."""
    try:
        return make_application().run(command_input, output, error_output)
    except PomelolaneError as error:
        _complain(str(error), error_output)
        return exit_code_of_error(error)
    except CleoError as error:
        _complain(f"{error} (see {PROGRAM} --help)", error_output)
        return ExitCode.USAGE
    except KeyboardInterrupt:
        return ExitCode.INTERRUPTED


def _factory(place: str) -> Callable[[], Command]:
    def load() -> Command:
        module, _, name = place.partition(":")
        return getattr(import_module(f"pomelolane.commands.{module}"), name)()

    return load


def _complain(text: str, error_output: Output | None) -> None:
    lines = "\n".join(f"{PROGRAM}: {line}" for line in text.splitlines())
    if error_output is None:
        print(lines, file=sys.stderr)
    else:
        error_output.write_line(lines)
