"""``pomelolane serve``: run one VM.

The process runs until SIGTERM or SIGINT and stops gracefully.
"""

from __future__ import annotations

import errno
from typing import TYPE_CHECKING, ClassVar

from pomelolane.commands.exits import ExitCode
from pomelolane.commands.plain import PlainCommand
from pomelolane.commands.serve_flags import options_of_command, serve_flags
from pomelolane.exceptions import SettingError

_ADDRESS_ERRORS = (errno.EADDRINUSE, errno.EADDRNOTAVAIL, errno.EACCES)

if TYPE_CHECKING:
    from cleo.io.inputs.option import Option


class ServeCommand(PlainCommand):
    """Runs one VM."""

    name = "serve"
    description = "Run one VM: gateway, scheduler, member and job runner."
    explanation = (
        "Every flag can be given as a variable instead, the flag goes first. "
        "SIGTERM stops the VM gracefully: accepted requests are finished."
    )
    options: ClassVar[list[Option]] = serve_flags()

    def handle(self) -> int:
        """Check the options and serve until stopped."""
        options = options_of_command(self)
        from pomelolane import server

        try:
            return server.run(options) or ExitCode.OK
        except OSError as error:
            if error.errno not in _ADDRESS_ERRORS:
                raise
            address = f"{options.host}:{options.port}"
            allowed = f"an address that this machine can listen on ({error.strerror})"
            raise SettingError("--host and --port", address, allowed) from None
