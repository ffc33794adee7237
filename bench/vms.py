"""The product's own processes in a cluster.

A VM keeps its ports and flags over restarts, as one behind the platform's
balancer would keep its place.
"""

from __future__ import annotations

import asyncio
import time
from dataclasses import dataclass
from typing import TYPE_CHECKING

import aiohttp

from bench.processes import BenchError, ManagedProcess

if TYPE_CHECKING:
    from collections.abc import Iterator, Mapping, Sequence
    from pathlib import Path

_VERB = "serve"
_READY_POLL_S = 0.05
_PROBE_TIMEOUT = aiohttp.ClientTimeout(total=2.0)


@dataclass(frozen=True, slots=True)
class VmPlace:
    """Where a VM stands and on which ports it listens.

    Attributes:
        vm_id: Unique id.
        data_centre: Its data centre.
        port: Callers' HTTP port.
        peer_port: Port for messages from other VMs.
    """

    vm_id: str
    data_centre: str
    port: int
    peer_port: int

    @property
    def peer_address(self) -> str:
        """``ip:port`` that other VMs use."""
        return f"127.0.0.1:{self.peer_port}"


class Vm(ManagedProcess):
    """One ``pomelolane serve`` process.

    Args:
        place: Its place and ports.
        command: Program with all flags.
        log_path: File that takes its output.
        environment: Variables of the process.
        session: HTTP session of the cluster.
        programs: What its starts run in turn, in place of the command's program.
    """

    def __init__(
        self,
        place: VmPlace,
        command: Sequence[str],
        log_path: Path,
        environment: Mapping[str, str],
        session: aiohttp.ClientSession,
        programs: Iterator[Sequence[str]] | None = None,
    ) -> None:
        super().__init__(place.vm_id, command, log_path, environment)
        self._programs = programs
        self.place = place
        self.vm_id = place.vm_id
        self.data_centre = place.data_centre
        self.url = f"http://127.0.0.1:{place.port}"
        self._session = session

    def spawn(self) -> None:
        """Start the process, with the next program if there are several."""
        if self._programs is not None:
            flags = self.command[self.command.index(_VERB) :]
            self.command = (*next(self._programs), *flags)
        super().spawn()

    async def restart(self, *, ready: bool = True) -> None:
        """End the process if it runs, start it anew and await readiness."""
        self.kill()
        self.spawn()
        if ready:
            await self.wait_ready()

    async def is_ready(self) -> bool:
        """Ask ``/readyz`` once."""
        try:
            request = self._session.get(f"{self.url}/readyz", timeout=_PROBE_TIMEOUT)
            async with request as response:
                return response.status == 200
        except (aiohttp.ClientError, TimeoutError):
            return False

    async def wait_ready(self, timeout_s: float = 30.0) -> None:
        """Wait until ``/readyz`` says yes.

        Raises:
            BenchError: The process ended, or was not ready in time.
        """
        give_up_at = time.monotonic() + timeout_s
        while not await self.is_ready():
            if not self.alive:
                raise BenchError(f"{self.name} ended at start:\n{self.log_tail()}")
            if time.monotonic() > give_up_at:
                raise BenchError(f"{self.name} is not ready:\n{self.log_tail()}")
            await asyncio.sleep(_READY_POLL_S)

    async def status(self) -> dict:
        """Read ``/status``."""
        return await self.get_json("/status")

    async def get_json(self, path: str) -> dict:
        """Read a JSON document of the operators' interface."""
        request = self._session.get(self.url + path, timeout=_PROBE_TIMEOUT)
        async with request as response:
            return await response.json(content_type=None)
