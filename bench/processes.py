"""Child processes of a cluster, each with its log file and process group.

Whatever happens to the parent, its children end with it.
"""

from __future__ import annotations

import asyncio
import atexit
import ctypes
import os
import signal
import subprocess
import time
from contextlib import suppress
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping, Sequence
    from pathlib import Path

_PR_SET_PDEATHSIG = 1
_POLL_S = 0.02
_LOG_TAIL_BYTES = 2000
_LIBC = ctypes.CDLL(None, use_errno=True)
_live: set[ManagedProcess] = set()


class BenchError(Exception):
    """The bench could not do what it was asked to."""


class ManagedProcess:
    """One child process that can be ended, frozen and started again.

    Args:
        name: For error messages.
        command: Program and arguments; it must start no other process.
        log_path: File that takes its output, appended to by each start.
        environment: Variables of the process.
    """

    def __init__(
        self,
        name: str,
        command: Sequence[str],
        log_path: Path,
        environment: Mapping[str, str],
    ) -> None:
        self.name = name
        self.command = tuple(command)
        self.log_path = log_path
        self._environment = dict(environment)
        self._process: subprocess.Popen[bytes] | None = None
        self._log_start = 0

    @property
    def alive(self) -> bool:
        """Whether the process runs (or is frozen)."""
        return self._process is not None and self._process.poll() is None

    @property
    def pid(self) -> int:
        """Process id of the last start."""
        if self._process is None:
            raise BenchError(f"{self.name} was never started")
        return self._process.pid

    @property
    def exit_code(self) -> int | None:
        """Exit code of the last start, None while it runs."""
        return None if self._process is None else self._process.poll()

    def spawn(self) -> None:
        """Start the process without waiting for it to be ready."""
        if self.alive:
            raise BenchError(f"{self.name} runs already")
        with self.log_path.open("ab") as log:
            self._log_start = log.tell()
            self._process = subprocess.Popen(
                self.command,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=subprocess.STDOUT,
                env=self._environment,
                start_new_session=True,
                preexec_fn=_end_with_parent,
            )
        _live.add(self)

    def kill(self) -> None:
        """End the process at once (SIGKILL) and reap it."""
        if self._process is None:
            return
        if self._process.poll() is None:
            with suppress(ProcessLookupError):
                os.killpg(self._process.pid, signal.SIGKILL)
            self._process.wait()
        _live.discard(self)

    def freeze(self) -> None:
        """Stop the process in its tracks (SIGSTOP)."""
        os.kill(self.pid, signal.SIGSTOP)

    def thaw(self) -> None:
        """Let a frozen process go on (SIGCONT)."""
        os.kill(self.pid, signal.SIGCONT)

    def terminate(self) -> None:
        """Ask for a graceful stop (SIGTERM) and return at once."""
        if self.alive:
            os.kill(self.pid, signal.SIGTERM)

    async def wait_exit(self, timeout_s: float = 30.0) -> int:
        """Wait until the process has ended and return its exit code."""
        await wait_until(lambda: not self.alive, timeout_s, f"{self.name} did not exit")
        _live.discard(self)
        code = self.exit_code
        return 0 if code is None else code

    async def wait_for_line(self, word: str, timeout_s: float = 20.0) -> None:
        """Wait until the log of this start holds a line that begins so."""

        def seen() -> bool:
            if not self.alive:
                raise BenchError(f"{self.name} ended at start:\n{self.log_tail()}")
            lines = self.log_text().splitlines()
            return any(line.startswith(word) for line in lines)

        await wait_until(seen, timeout_s, f"{self.name} did not get ready")

    def log_text(self) -> str:
        """Return the log of the last start."""
        with self.log_path.open("rb") as log:
            log.seek(self._log_start)
            return log.read().decode(errors="replace")

    def log_tail(self) -> str:
        """Return the end of the log, for error messages."""
        return self.log_text()[-_LOG_TAIL_BYTES:]


async def wait_until(
    condition: Callable[[], bool], timeout_s: float, message: str
) -> None:
    """Poll a condition until it holds.

    Raises:
        BenchError: It did not hold in time.
    """
    give_up_at = time.monotonic() + timeout_s
    while not condition():
        if time.monotonic() > give_up_at:
            raise BenchError(f"{message} within {timeout_s:.0f} s")
        await asyncio.sleep(_POLL_S)


def kill_all(processes: Sequence[ManagedProcess]) -> None:
    """End processes at once; a frozen or dead one is no obstacle."""
    for process in processes:
        process.kill()


def _end_with_parent() -> None:
    """Ask the kernel to kill this child when its parent dies."""
    _LIBC.prctl(_PR_SET_PDEATHSIG, signal.SIGKILL, 0, 0, 0)


@atexit.register
def _kill_the_rest() -> None:
    kill_all(tuple(_live))
