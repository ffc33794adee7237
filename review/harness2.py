"""Stand-ins and processes that the scripted cases of the second review share.

Everything here uses the standard library alone. The stand-ins of the platform's store,
of workers and of clients run in the script's own process; VMs are processes of the
deploy file's command. All addresses are loopback addresses.
"""

from __future__ import annotations

import asyncio
import base64
import contextlib
import functools
import json
import os
import random
import shlex
import signal
import socket
import sys
import tempfile
import time
import tomllib
import urllib.parse
from dataclasses import dataclass, field
from pathlib import Path
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Iterable

ROOT = Path(__file__).resolve().parent.parent
HELD, BROKEN, CANNOT_RUN = 0, 1, 2
HOST = "shop.example"
HEARTBEAT_S = 1.2
DATA_CENTRES = ("zone-a", "zone-b", "zone-c")
READY_TIMEOUT_S = 20.0
BOUNDS = {
    "seedLagS": 3,
    "reuseAfterS": 2,
    "stableWindowMs": 3000,
    "ackMs": 4000,
    "catchUpS": 4,
    "drainMs": 2000,
    "graceS": 8,
    "lostSlackMs": 200,
    "configApplyMs": 2000,
    "rollbackSlackMs": 250,
    "maxSkewMs": 5000,
    "revokeWhenPartitioned": False,
    "revokeMs": 5000,
    "retryBudgetRatio": 0.2,
    "budgetWindowS": 10,
    "budgetSlack": 56,
    "quotaWindowS": 8,
    "quotaOvershoot": 0.1,
    "quotaSlack": 140000,
    "recoveryS": 12,
    "passMs": 120,
    "retryAfterS": 10,
}
"""The bounds of the small deployments' sheets."""


class Record:
    """Collects what was sent, answered and run, and writes it beside the script.

    Args:
        folder: Folder of the case.
    """

    def __init__(self, folder: Path) -> None:
        self._path = folder / "record.txt"
        self._begun_s = time.monotonic()
        self._lines: list[tuple[float, str]] = []

    def note(self, text: str, at_s: float | None = None) -> None:
        """Add a line, by default at the present time."""
        now_s = time.monotonic() if at_s is None else at_s
        self._lines.append((now_s - self._begun_s, text))

    def say(self, text: str) -> None:
        """Add a line and print it."""
        self.note(text)
        print(text, flush=True)

    def at(self, at_s: float) -> str:
        """Return a moment as it stands in the record."""
        return f"{at_s - self._begun_s:.3f}"

    def write(self) -> None:
        """Write all lines in the order of their times."""
        lines = [f"{at_s:9.3f} {text}" for at_s, text in sorted(self._lines)]
        self._path.write_text("\n".join([*lines, ""]))


# --- HTTP ---------------------------------------------------------------------


@dataclass(slots=True)
class Request:
    """A request as a server has read it."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes

    @property
    def path(self) -> str:
        """The target without its query."""
        return self.target.partition("?")[0]

    @property
    def query(self) -> dict[str, str]:
        """The query's fields."""
        text = self.target.partition("?")[2]
        return dict(urllib.parse.parse_qsl(text, keep_blank_values=True))


async def read_request(reader: asyncio.StreamReader) -> Request:
    """Read one request whose body has a length or comes in chunks."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    line, *fields = head.strip().split("\r\n")
    method, target, _ = line.split(" ")
    headers = _headers(fields)
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = await read_chunks(reader)
    else:
        body = await reader.readexactly(int(headers.get("content-length", 0)))
    return Request(method, target, headers, body)


def _headers(fields: Iterable[str]) -> dict[str, str]:
    found = {}
    for one in fields:
        name, _, value = one.partition(":")
        found[name.strip().lower()] = value.strip()
    return found


async def read_chunks(reader: asyncio.StreamReader) -> bytes:
    """Read a body in chunks to its last one."""
    body = b""
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        if size == 0:
            await reader.readuntil(b"\r\n")
            return body
        body += await reader.readexactly(size)
        await reader.readexactly(2)


def head(status: int, headers: dict[str, str]) -> bytes:
    """Return the head of an answer."""
    lines = [f"HTTP/1.1 {status} Status"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    return "\r\n".join([*lines, "", ""]).encode("latin-1")


def whole(status: int, headers: dict[str, str], body: bytes = b"") -> bytes:
    """Return an answer whose body has a length."""
    return head(status, headers | {"Content-Length": str(len(body))}) + body


# --- the platform's store -------------------------------------------------------


class Store:
    """The platform's metadata store, with one port for each VM.

    Attributes:
        is_away: Whether it resets all connections.
        era: Number in all its answers, one more after each restore of a copy.
        on_answer: Called with the VM, the table and the rows of each answer.
    """

    def __init__(self) -> None:
        self.is_away = False
        self.era = 1
        self.on_answer: Callable[[str, str, list[dict]], None] = lambda *_: None
        self._rows: dict[tuple[str, str], tuple[int, str | None]] = {}
        self._version = 0
        self._oldest = 0
        self._changed = asyncio.Event()
        self._writers: set[asyncio.StreamWriter] = set()
        self._servers: list[asyncio.Server] = []

    async def listen(self, vm_id: str) -> str:
        """Listen for one VM; return the address."""

        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await self._serve(vm_id, reader, writer)

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        self._servers.append(server)
        return f"127.0.0.1:{server.sockets[0].getsockname()[1]}"

    def close(self) -> None:
        """Stop listening."""
        for server in self._servers:
            server.close()

    def put(self, table: str, key: str, value: object) -> int:
        """Write a row as the operator or a worker; return its version."""
        text = base64.b64encode(json.dumps(value).encode()).decode()
        self._version += 1
        self._rows[table, key] = self._version, text
        self._tell()
        return self._version

    def delete(self, table: str, key: str) -> None:
        """Delete a row as a worker or the registry."""
        self._version += 1
        self._rows[table, key] = self._version, None
        self._tell()

    def value(self, table: str, key: str) -> str | None:
        """Return a row's encoded value, None where there is no row."""
        return self._rows.get((table, key), (0, None))[1]

    def copy(self) -> tuple[dict[tuple[str, str], tuple[int, str | None]], int]:
        """Return what it holds now."""
        return dict(self._rows), self._version

    def restore(
        self, copy: tuple[dict[tuple[str, str], tuple[int, str | None]], int]
    ) -> None:
        """Come back from a copy: its versions are given out again."""
        self._rows, self._version = dict(copy[0]), copy[1]
        self._oldest = min(self._oldest, self._version)
        self.era += 1
        self._tell()

    def leave(self) -> None:
        """Be away: reset what is open and what comes."""
        self.is_away = True
        for writer in tuple(self._writers):
            writer.transport.abort()

    def _tell(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(
        self, vm_id: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while not self.is_away:
                request = await read_request(reader)
                if self.is_away:
                    break
                status, body = await self._answer(vm_id, request)
                if self.is_away:
                    break
                headers = {"Store-Era": str(self.era)}
                headers["Content-Type"] = "application/json"
                writer.write(whole(status, headers, json.dumps(body).encode()))
                await writer.drain()
            writer.transport.abort()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            writer.transport.abort()
        finally:
            self._writers.discard(writer)

    async def _answer(self, vm_id: str, request: Request) -> tuple[int, object]:
        await asyncio.sleep(0.004)
        if request.path == "/rows-tx":
            return self._transact(json.loads(request.body))
        table = request.query["table"]
        if request.path == "/rows-get":
            status, body = self._get(request.query)
        else:
            status, body = await self._feed(request.query)
        if status == 200:
            self.on_answer(vm_id, table, body["rows"])
        return status, body

    def _transact(self, body: dict[str, Any]) -> tuple[int, object]:
        for one in body.get("expected", ()):
            version, text = self._rows.get((one["table"], one["key"]), (0, None))
            if one["ver"] != (version if text is not None else 0):
                return 412, {"rows": []} | self._moment()
        entries = [*body.get("writes", ()), *body.get("deletes", ())]
        if any(one["table"] in ("op", "servers") for one in entries):
            return 403, {}
        self._version += 1
        for one in entries:
            key = one["table"], one["key"]
            self._rows[key] = self._version, one.get("value")
        self._tell()
        return 200, self._moment()

    def _get(self, query: dict[str, str]) -> tuple[int, dict[str, Any]]:
        limit = int(query.get("limit", 500))
        rows = [
            self._row(table, key)
            for table, key in sorted(self._rows)
            if table == query["table"]
            and key >= query.get("from", "")
            and self._rows[table, key][1] is not None
        ]
        more = {"hasMore": len(rows) > limit}
        return 200, {"rows": rows[:limit]} | more | self._moment()

    async def _feed(self, query: dict[str, str]) -> tuple[int, Any]:
        after = int(query["after"])
        until_s = time.monotonic() + int(query.get("waitMs", 0)) / 1000
        while True:
            if not self._oldest <= after <= self._version:
                return 410, {}
            rows = [
                self._row(table, key)
                for (table, key), (version, _) in self._rows.items()
                if table == query["table"] and version > after
            ]
            left_s = until_s - time.monotonic()
            if rows or left_s <= 0 or self.is_away:
                rows.sort(key=lambda row: row["ver"])
                return 200, {"rows": rows} | self._moment()
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), left_s)

    def _row(self, table: str, key: str) -> dict[str, Any]:
        version, text = self._rows[table, key]
        row: dict[str, Any] = {"table": table, "part": "", "key": key, "ver": version}
        return row | ({"tombstone": True} if text is None else {"value": text})

    def _moment(self) -> dict[str, int]:
        return {"ver": self._version, "nowMs": int(time.monotonic() * 1000)}


# --- workers --------------------------------------------------------------------


@dataclass(slots=True)
class Arrival:
    """A request that reached a worker."""

    at_s: float
    worker: str
    request: Request
    has_run: bool

    @property
    def request_id(self) -> str:
        """The client's id of the request."""
        return self.request.headers.get("request-id", "")


@dataclass
class Worker:
    """A plain worker, or a model worker that answers by a stream.

    Attributes:
        worker_id: Its id.
        service: Its service.
        zone: Its zone.
        work_s: Time to the answer, or to the first event.
        events: Events of a stream, 0 for a plain worker.
        event_s: Time between two events.
        slots: Requests at a time.
        arrivals: All requests that reached it.
        beats: Whether it registers again and again.
    """

    worker_id: str
    service: str
    zone: str
    work_s: float = 0.02
    events: int = 0
    event_s: float = 0.02
    slots: int = 6
    arrivals: list[Arrival] = field(default_factory=list)
    beats: bool = True
    state: str = "ready"
    sequence: int = 0
    born_ms: int = field(default_factory=lambda: int(time.time() * 1000))

    def __post_init__(self) -> None:
        self._room = asyncio.Semaphore(self.slots)
        self._tasks: set[asyncio.Task] = set()
        self.address = ""

    async def start(self, port: int = 0) -> None:
        """Listen."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", port)
        self.address = f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"

    def crash(self) -> None:
        """Reset all channels and listen no more."""
        self.beats = False
        self._server.close()
        for task in tuple(self._tasks):
            task.cancel()

    def entry(self) -> dict[str, Any]:
        """Return its entry in the list of workers."""
        self.sequence += 1
        return {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "1",
            "slots": self.slots,
            "state": self.state,
            "coldRemainingMs": 0,
            "sequence": self.sequence,
            "born": self.born_ms,
        }

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        self._tasks.add(task)
        try:
            while True:
                await self._exchange(reader, writer)
        except (OSError, asyncio.IncompleteReadError):
            writer.transport.abort()
        except asyncio.CancelledError:
            reset(writer)
        finally:
            self._tasks.discard(task)

    async def _exchange(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        request = await read_request(reader)
        at_s = time.monotonic()
        headers = {"Request-Id": request.headers.get("request-id", "")}
        named = request.headers.get("expect-instance", self.worker_id)
        if named != self.worker_id:
            self.arrivals.append(Arrival(at_s, self.worker_id, request, False))
            writer.write(whole(421, headers | {"Not-Executed": "1"}))
            return
        async with self._room:
            self.arrivals.append(Arrival(at_s, self.worker_id, request, True))
            await asyncio.sleep(self.work_s)
            headers["Server-Seal"] = f"seal.{self.worker_id}"
            if not self.events:
                writer.write(whole(200, headers, b"done by " + self.worker_id.encode()))
                await writer.drain()
                return
            await self._stream(request, headers, writer)

    async def _stream(
        self, request: Request, headers: dict[str, str], writer: asyncio.StreamWriter
    ) -> None:
        headers |= {
            "Content-Type": "text/event-stream",
            "Transfer-Encoding": "chunked",
        }
        writer.write(head(200, headers))
        first = int(request.headers.get("last-event-id", 0)) + 1
        for number in range(first, self.events + 1):
            event = f"id: {number}\ndata: piece {number}\n\n".encode()
            writer.write(b"%x\r\n%b\r\n" % (len(event), event))
            await writer.drain()
            await asyncio.sleep(self.event_s)
        writer.write(b"0\r\n\r\n")
        await writer.drain()


def reset(writer: asyncio.StreamWriter) -> None:
    """Close a channel by a reset."""
    sock = writer.get_extra_info("socket")
    if sock is not None:
        linger = (1).to_bytes(4, sys.byteorder) + bytes(4)
        with contextlib.suppress(OSError):
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    writer.transport.abort()


# --- VMs ------------------------------------------------------------------------


_GUARD_PORT = 7599
_guards: list[socket.socket] = []
"""Sockets that hold the addresses of this run until its process ends."""


class Vm:
    """One process of the deploy file's role, on a loopback address of its own."""

    def __init__(
        self, number: int, zone: str, store: str, folder: Path, bounds: dict[str, Any]
    ) -> None:
        self.vm_id = f"edge-{zone}-{number}"
        self.zone = zone
        self.ip = f"{_network()}.{number}"
        front, ready, self._peers = _free_ports(self.ip)
        self.front = front
        self._ready = ready
        self._path = folder / f"{self.vm_id}.json"
        self._log = folder / f"{self.vm_id}.log"
        settings = {
            "node": self.vm_id,
            "role": "scheduler",
            "machineClass": "edge",
            "serves": ["edge"],
            "ip": self.ip,
            "zone": zone,
            "region": "west",
            "zones": dict.fromkeys(DATA_CENTRES, "west"),
            "listen": {
                "front": f"{self.ip}:{front}",
                "ready": f"{self.ip}:{ready}",
            },
            "portRange": [self._peers, self._peers + 15],
            "seeds": [],
            "bootstrap": True,
            "countsInTolerance": False,
            "limits": {
                "cpuShare": 0.537,
                "cores": 2,
                "memoryMb": 300,
                "maxFds": 4100,
                "linkMbps": 1000.0,
                "diskMb": 0,
            },
            "dataDir": None,
            "discovery": "platform",
            "entry": "vip",
            "heartbeatMs": 1200,
            "bounds": bounds,
            "platform": {
                "address": store,
                "form": "table",
                "writesPerS": 400,
                "readsPerS": 2000,
                "txMs": 5.0,
                "partitionWritesS": 200,
                "rowBytes": 65536,
                "across": False,
                "historyS": 20,
            },
        }
        self._path.write_text(json.dumps(settings))
        self.process: asyncio.subprocess.Process | None = None

    async def start(self) -> None:
        """Start the process with the command of the deploy file."""
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        (role,) = deploy["roles"].values()
        program, *words = shlex.split(role["run"])
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment |= {
            "POMELOLANE_NODE_FILE": str(self._path),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
        }
        with self._log.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                program, *words, stdout=log, stderr=log, env=environment, cwd=ROOT
            )

    async def is_ready(self) -> bool:
        """Ask as the platform does."""
        try:
            async with asyncio.timeout(1.0):
                answer = await ask(self.ip, self._ready, "GET", "/readyz", {})
        except (OSError, TimeoutError, EOFError):
            return False
        return answer.status == 200

    async def wait_ready(self) -> None:
        """Wait until the platform would send clients.

        Raises:
            RuntimeError: It does not get ready.
        """
        until_s = time.monotonic() + READY_TIMEOUT_S
        while not await self.is_ready():
            if self.process.returncode is not None or time.monotonic() > until_s:
                raise RuntimeError(f"{self.vm_id} is not ready: {self.log()[-2000:]}")
            await asyncio.sleep(0.05)

    def log(self) -> str:
        """Return what it has written."""
        return self._log.read_text(errors="replace")

    def events(self, name: str) -> list[dict[str, Any]]:
        """Return its log lines of one event."""
        lines = [one for one in self.log().splitlines() if one.startswith("{")]
        found = [json.loads(one) for one in lines]
        return [one for one in found if one.get("name") == name]

    def signal(self, number: int) -> None:
        """Send a signal to the process if it runs."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def end(self) -> None:
        """End the process at once."""
        if self.process is None:
            return
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        await self.process.wait()


@functools.cache
def _network() -> str:
    """Return the addresses of this run's VMs, which no other run of a script has."""
    while True:
        network = f"127.{random.randint(20, 219)}.{random.randint(1, 254)}"
        guard = socket.socket()
        try:
            guard.bind((f"{network}.254", _GUARD_PORT))
        except OSError:
            guard.close()
            continue
        _guards.append(guard)
        return network


def _free_ports(ip: str) -> tuple[int, int, int]:
    """Return ports for clients and the platform, and the first of sixteen others."""
    socks = []
    try:
        for _ in range(2):
            sock = socket.socket()
            sock.bind((ip, 0))
            socks.append(sock)
        front, ready = (sock.getsockname()[1] for sock in socks)
    finally:
        for sock in socks:
            sock.close()
    peers = 7600
    while front in range(peers, peers + 16) or ready in range(peers, peers + 16):
        peers += 16
    return front, ready, peers


# --- clients --------------------------------------------------------------------


@dataclass(slots=True)
class Answer:
    """An answer as a client got it; status 0 where there is none."""

    status: int
    headers: dict[str, str]
    body: bytes
    is_whole: bool = True


async def ask(
    ip: str,
    port: int,
    method: str,
    target: str,
    headers: dict[str, str],
    body: bytes = b"",
) -> Answer:
    """Send one request on a channel of its own and read the whole answer."""
    reader, writer = await asyncio.open_connection(ip, port)
    try:
        fields = {"Host": HOST, "Connection": "close"} | headers
        if body or method == "POST":
            fields["Content-Length"] = str(len(body))
        lines = [f"{method} {target} HTTP/1.1"]
        lines += [f"{name}: {value}" for name, value in fields.items()]
        writer.write("\r\n".join([*lines, "", ""]).encode("latin-1") + body)
        return await read_answer(reader)
    finally:
        writer.transport.abort()


async def read_answer(reader: asyncio.StreamReader) -> Answer:
    """Read an answer whose body has a length or comes in chunks."""
    line, *fields = (
        (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    )
    status = int(line.split(" ")[1])
    headers = _headers(one for one in fields if one)
    try:
        if headers.get("transfer-encoding") == "chunked":
            return Answer(status, headers, await read_chunks(reader))
        length = int(headers.get("content-length", 0))
        return Answer(status, headers, await reader.readexactly(length))
    except (OSError, asyncio.IncompleteReadError):
        return Answer(status, headers, b"", is_whole=False)


# --- the run --------------------------------------------------------------------


@dataclass
class World:
    """The stand-ins and processes of one run."""

    folder: Path
    record: Record
    has_trouble: bool
    bounds: dict[str, Any]
    store: Store = field(default_factory=Store)
    workers: dict[str, Worker] = field(default_factory=dict)
    vms: list[Vm] = field(default_factory=list)
    tasks: list[asyncio.Task] = field(default_factory=list)
    configuration: dict[str, Any] = field(default_factory=dict)

    async def add_worker(self, worker: Worker) -> Worker:
        """Start a worker and register it."""
        await worker.start()
        self.workers[worker.worker_id] = worker
        self.store.put("servers", worker.worker_id, worker.entry())
        return worker

    def configure(self, configuration: dict[str, Any]) -> None:
        """Write a manifest as the operator."""
        self.configuration = configuration
        self.store.put("op", "config", configuration)

    async def start_vms(self, zones: Iterable[str]) -> None:
        """Start VMs together and wait until all are ready."""
        for number, zone in enumerate(zones, 1):
            address = await self.store.listen(f"edge-{zone}-{number}")
            vm = Vm(number, zone, address, self.folder, self.bounds)
            self.vms.append(vm)
        await asyncio.gather(*(vm.start() for vm in self.vms))
        await asyncio.gather(*(vm.wait_ready() for vm in self.vms))

    def run_beside(self, awaited: Awaitable[object]) -> asyncio.Task:
        """Run something until the end of the run."""
        task = asyncio.ensure_future(awaited)
        self.tasks.append(task)
        return task

    async def beat(self) -> None:
        """Register all workers that are not gone, again and again."""
        while True:
            for worker in tuple(self.workers.values()):
                if worker.beats and not self.store.is_away:
                    self.store.put("servers", worker.worker_id, worker.entry())
            await asyncio.sleep(HEARTBEAT_S)

    def arrivals(self) -> list[Arrival]:
        """Return all requests that reached workers, in order."""
        found = [one for worker in self.workers.values() for one in worker.arrivals]
        return sorted(found, key=lambda one: one.at_s)

    async def aclose(self) -> None:
        """End all that was started."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        await asyncio.gather(*(vm.end() for vm in self.vms))
        for worker in self.workers.values():
            worker.crash()
        self.store.close()


def main(
    case: str,
    play: Callable[[World], Awaitable[int]],
    bounds: dict[str, Any] | None = None,
) -> None:
    """Run a case and exit with 1 if the rule was broken, 0 if it held, else 2."""
    record = Record(Path(case).resolve().parent)
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    try:
        verdict = asyncio.run(_run(play, record, has_trouble, BOUNDS | (bounds or {})))
    except (Exception, asyncio.CancelledError) as error:
        record.say(f"the case could not run: {error!r}")
        verdict = CANNOT_RUN
    record.say(f"exit {verdict}")
    record.write()
    sys.exit(verdict)


async def _run(
    play: Callable[[World], Awaitable[int]],
    record: Record,
    has_trouble: bool,
    bounds: dict[str, Any],
) -> int:
    # Ends what was started also where the script itself is ended.
    task = asyncio.current_task()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    with tempfile.TemporaryDirectory() as folder:
        world = World(Path(folder), record, has_trouble, bounds)
        try:
            async with asyncio.timeout(115):
                return await play(world)
        finally:
            await world.aclose()
