"""``pomelolane platform``: run one VM on the users' platform."""

from __future__ import annotations

from pomelolane.commands.exits import ExitCode
from pomelolane.commands.plain import PlainCommand


class PlatformCommand(PlainCommand):
    """Runs one VM on the platform."""

    name = "platform"
    description = "Run one VM on the users' platform, by its settings file."
    explanation = (
        "The file is named by POMELOLANE_NODE_FILE. SIGTERM stops the VM "
        "gracefully; SIGHUP reads the file again."
    )

    def handle(self) -> int:
        """Serve until stopped."""
        from pomelolane.platform.process import run_platform

        run_platform()
        return ExitCode.OK
