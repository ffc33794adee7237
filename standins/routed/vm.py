"""A VM of the users' platform as a real process, and callers for it."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import sys
import tempfile
from pathlib import Path
from typing import TYPE_CHECKING

from standins.listening import reserve_lasting_pair, reserve_lasting_port
from standins.routed.endpoint import BodyFraming

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping, Sequence

ROOT = Path(__file__).resolve().parent.parent.parent
GIVE_UP_S = 20.0
"""Only ends what would hang; nothing is measured against it."""

PROGRAM = (sys.executable, "-m", "pomelolane")
"""The program of this checkout."""

_NETWORK = f"127.{20 + os.getpid() % 200}.9"
"""Addresses of the VMs, apart from those of other test runs on the machine: a VM binds
its ports after they were given back, and another run's VM could take them. The ports
last, so that no connection or listener of this run takes them meanwhile either."""

_STEP_S = 0.02
_BLOCK_BYTES = 65536


class PlatformVm:
    """One ``pomelolane platform`` process on a loopback address of its own.

    Args:
        number: Makes its id and address.
        store_address: ``ip:port`` of the metadata store.
        data_centre: Where it stands.
        bounds: Bounds that it is told of, beside the time for a planned stop.
        program: How it is started; may change between two starts.
        limits: Limits of its machine that it is given.
    """

    def __init__(
        self,
        number: int,
        store_address: str,
        data_centre: str = "hall-a",
        bounds: Mapping[str, float] | None = None,
        program: Sequence[str] = PROGRAM,
        limits: Mapping[str, float] | None = None,
    ) -> None:
        self.program = tuple(program)
        self.vm_id = f"vm-{number}"
        self.ip = f"{_NETWORK}.{number}"
        self.folder = tempfile.TemporaryDirectory()
        self.front = reserve_lasting_port(self.ip)
        self.probe = reserve_lasting_port(self.ip)
        self.peer, self._relay = reserve_lasting_pair(self.ip)
        settings = {
            "node": self.vm_id,
            "role": "scheduler",
            "ip": self.ip,
            "zone": data_centre,
            "region": "west",
            "listen": {
                "front": f"{self.ip}:{self.front.port}",
                "ready": f"{self.ip}:{self.probe.port}",
            },
            "portRange": [self.peer.port, self.peer.port + 1],
            "platform": {"address": store_address},
            "bounds": {"graceS": 8, **(bounds or {})},
            "limits": dict(limits or {}),
        }
        self.path = Path(self.folder.name) / "local.json"
        self.path.write_text(json.dumps(settings))
        self.log = Path(self.folder.name) / "log"

    async def start(self) -> PlatformVm:
        """Start the process."""
        for port in (self.front, self.probe, self.peer, self._relay):
            port.close()
        environment = os.environ | {
            "POMELOLANE_NODE_FILE": str(self.path),
            "POMELOLANE_METRICS_PORT": "0",
        }
        with self.log.open("wb") as log:
            self.process = await asyncio.create_subprocess_exec(
                *self.program,
                "platform",
                stdout=log,
                stderr=log,
                env=environment,
                cwd=ROOT,
            )
        return self

    async def ready(self) -> None:
        """Wait until the balancer would send callers."""
        async with asyncio.timeout(GIVE_UP_S):
            while await self.probe_status() != 200:
                if self.process.returncode is not None:
                    raise RuntimeError(self.log.read_text())
                await asyncio.sleep(_STEP_S)

    async def probe_status(self) -> int:
        """Return the status of the balancer's question, 0 for no answer."""
        try:
            answer = await exchange(self.ip, self.probe.port, "GET /readyz HTTP/1.1")
        except OSError:
            return 0
        return answer.status

    async def ask(
        self, line: str, headers: Iterable[str] = (), body: bytes = b""
    ) -> Answer:
        """Send a caller's request and return its answer."""
        return await exchange(self.ip, self.front.port, line, headers, body)

    def events(self, name: str) -> list[dict]:
        """Return the log lines of an event."""
        lines = [
            json.loads(x) for x in self.log.read_text().splitlines() if x[0] == "{"
        ]
        return [line for line in lines if line["name"] == name]

    def signal(self, number: int = signal.SIGTERM) -> None:
        """Send a signal."""
        self.process.send_signal(number)

    async def kill(self) -> None:
        """End the process at once."""
        if self.process.returncode is None:
            self.process.kill()
        await self.process.wait()
        self.folder.cleanup()


class Answer:
    """A caller's answer as it came.

    Args:
        data: All bytes.
        was_reset: Whether the connection ended by a reset.
    """

    def __init__(self, data: bytes, was_reset: bool = False) -> None:
        self.was_reset = was_reset
        head, _, self.body = data.partition(b"\r\n\r\n")
        self.data = data
        line, *fields = head.decode("latin-1").split("\r\n")
        self.status = int(line.split(" ")[1]) if " " in line else 0
        self.headers = {}
        for one in fields:
            name, _, value = one.partition(":")
            self.headers[name.lower()] = value.strip()

    @property
    def events(self) -> list[int]:
        """The ids of the events, in order."""
        return [
            int(line[4:])
            for line in self.body.decode("latin-1").split("\n")
            if line.startswith("id: ")
        ]

    @property
    def is_whole(self) -> bool:
        """Whether the answer's framing says that it is complete."""
        if "content-length" in self.headers:
            return len(self.body) == int(self.headers["content-length"])
        return self.ends_by is BodyFraming.CHUNKS and self.body.endswith(b"0\r\n\r\n")

    @property
    def ends_by(self) -> BodyFraming:
        """What tells where the answer's body ends."""
        if self.headers.get("transfer-encoding") == "chunked":
            return BodyFraming.CHUNKS
        is_told = "content-length" in self.headers
        return BodyFraming.LENGTH if is_told else BodyFraming.CLOSE

    @property
    def is_broken_off(self) -> bool:
        """Whether a caller can tell that the answer is not complete."""
        ends_by_close = self.ends_by is BodyFraming.CLOSE
        return self.was_reset if ends_by_close else not self.is_whole


async def exchange(
    ip: str,
    port: int,
    line: str,
    headers: Iterable[str] = (),
    body: bytes = b"",
) -> Answer:
    """Send one request on a connection of its own and read to its end."""
    reader, writer = await asyncio.open_connection(ip, port)
    fields = [*headers, "connection: close"]
    if body:
        fields.append(f"content-length: {len(body)}")
    writer.write("\r\n".join([line, *fields, "", ""]).encode("latin-1") + body)
    data, was_reset = b"", False
    async with asyncio.timeout(GIVE_UP_S):
        try:
            while block := await reader.read(_BLOCK_BYTES):
                data += block
        except ConnectionResetError:
            was_reset = True
    writer.close()
    return Answer(data, was_reset)
