"""``pomelolane platform``: run one VM on the users' platform."""

from __future__ import annotations

import gc

from pomelolane.commands.base import PlainCommand
from pomelolane.commands.exits import ExitCode
from pomelolane.logs import write_json_lines

STDOUT = 1
_GC_THRESHOLDS = (10_000, 50, 100)


class PlatformCommand(PlainCommand):
    """Runs one VM on the platform."""

    name = "platform"
    description = "Run one VM on the users' platform, by its settings file."
    explanation = (
        "The file is named by POMELOLANE_NODE_FILE. SIGTERM stops the VM "
        "gracefully; SIGHUP reads the file again."
    )

    def handle(self) -> int:
        """Serve until stopped; logs are JSON lines on the standard output."""
        from pomelolane.platform.early import early_socket

        sock = early_socket()
        import uvloop
        from absl import logging

        import pomelolane.defaults  # noqa: F401  (registers the built-in plug-ins)
        from pomelolane.platform.host import serve_on_platform

        logging.set_verbosity(logging.INFO)
        write_json_lines(STDOUT)
        gc.set_threshold(*_GC_THRESHOLDS)
        uvloop.run(serve_on_platform(sock))
        return ExitCode.OK
