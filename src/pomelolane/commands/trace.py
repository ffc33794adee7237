"""``pomelolane trace``: the life of one request over several VMs' logs."""

from __future__ import annotations

from pathlib import Path
from typing import TYPE_CHECKING, ClassVar

from cleo.helpers import argument

from pomelolane.commands.exits import ExitCode
from pomelolane.commands.plain import PlainCommand
from pomelolane.exceptions import SettingError
from pomelolane.trace import cause_from_trace, trace_from_lines

if TYPE_CHECKING:
    from cleo.io.inputs.argument import Argument


class TraceCommand(PlainCommand):
    """Prints what happened to a request."""

    name = "trace"
    description = "Print the life of one request from the logs of several VMs."
    arguments: ClassVar[list[Argument]] = [
        argument("request_id", "The id that the caller sent."),
        argument("log", "Files of JSON log lines.", multiple=True),
    ]

    def handle(self) -> int:
        """Print the request's lines in order of time, and its end's cause."""
        request_id = self.argument("request_id")
        lines: list[str] = []
        for name in self.argument("log"):
            try:
                lines += Path(name).read_text(errors="replace").splitlines()
            except OSError as error:
                raise SettingError("log", name, f"a readable file ({error})") from None
        trace = trace_from_lines(request_id, lines)
        if not trace:
            self.warn(f"no line of {request_id} is in these logs")
            return ExitCode.REFUSED
        for line in trace:
            self.say(line.text(trace[0].at_ms))
        self.say(cause_from_trace(trace))
        return ExitCode.OK
