"""Stand-ins for the review's scripts: store, workers' HTTP, clients and VMs.

Only the standard library is used, so that a script needs no more than the build of the
deploy file. Everything listens on loopback addresses.
"""

from __future__ import annotations

import asyncio
import base64
import contextlib
import json
import os
import signal
import socket
import sys
import tempfile
import time
from dataclasses import dataclass, field
from pathlib import Path
from urllib.parse import parse_qsl, urlsplit

ROOT = Path(__file__).resolve().parent.parent
START_TIMEOUT_S = 30.0
ZONES = ("sala-tampico", "sala-veracruz", "sala-campeche")
REGION = "golfo-norte"
HOST = "shop.example"
KEY = "key-of-the-tenant"
TENANT = "tenant-a"

# Loopback addresses of one run, so that two runs on a machine do not meet.
NETWORK = f"127.{64 + os.getpid() % 128}.{1 + os.getpid() // 128 % 250}"


class Record:
    """What was sent, answered and run, one JSON line each."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._begun_s = time.monotonic()

    def __call__(self, what: str, **fields: object) -> None:
        """Write one line."""
        at_s = round(time.monotonic() - self._begun_s, 4)
        line = {"at_s": at_s, "what": what} | fields
        self._file.write(json.dumps(line) + "\n")
        self._file.flush()


@dataclass
class Request:
    """An HTTP request as a stand-in read it."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    at_s: float = field(default_factory=time.monotonic)

    @property
    def request_id(self) -> str:
        """Return the client's id of the attempt."""
        return self.headers.get("request-id", "")


async def read_request(reader: asyncio.StreamReader) -> Request | None:
    """Read one request, None if the connection ends before it."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, OSError):
        return None
    line, *fields = head.decode("latin-1").rstrip("\r\n").split("\r\n")
    method, target, _ = line.split(" ", 2)
    headers = {}
    for one in fields:
        name, _, value = one.partition(":")
        headers[name.strip().lower()] = value.strip()
    length = int(headers.get("content-length", "0"))
    body = await reader.readexactly(length) if length else b""
    return Request(method, target, headers, body)


def encode_response(
    status: int, headers: dict[str, str], body: bytes = b"", reason: str = "Status"
) -> bytes:
    """Return a response with a length."""
    lines = [f"HTTP/1.1 {status} {reason}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines += [f"Content-Length: {len(body)}", "", ""]
    return "\r\n".join(lines).encode("latin-1") + body


class Store:
    """The platform's metadata store, as far as the system calls it."""

    def __init__(self) -> None:
        self._rows: dict[tuple[str, str, str], tuple[str, int, bool]] = {}
        self._version = 0
        self._changed = asyncio.Event()
        self._connections: set[asyncio.StreamWriter] = set()
        self._silent: set[asyncio.StreamWriter] = set()
        self.address = ""

    async def start(self) -> str:
        """Listen and return ``ip:port``."""
        ip = f"{NETWORK}.200"
        self._server = await asyncio.start_server(self._serve, ip, 0)
        self.address = f"{ip}:{self._server.sockets[0].getsockname()[1]}"
        return self.address

    def stop(self) -> None:
        """Close all connections."""
        self._server.close()
        for writer in self._connections:
            writer.transport.abort()

    def fall_silent(self) -> int:
        """Have all open channels say nothing more; return their number."""
        self._silent |= self._connections
        return len(self._silent)

    def put(self, table: str, key: str, value: object) -> int:
        """Write a row as the operator or a worker does."""
        self._version += 1
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        encoded = base64.b64encode(data).decode()
        self._rows[table, "", key] = encoded, self._version, False
        self._tell()
        return self._version

    def delete(self, table: str, key: str) -> None:
        """Delete a row."""
        self._version += 1
        self._rows[table, "", key] = "", self._version, True
        self._tell()

    def _tell(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._connections.add(writer)
        try:
            while (request := await read_request(reader)) is not None:
                if writer in self._silent:
                    continue
                status, answer = await self._answer(request)
                if writer in self._silent:
                    continue
                data = json.dumps(answer).encode()
                headers = {"Content-Type": "application/json"}
                writer.write(encode_response(status, headers, data))
                await writer.drain()
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            self._connections.discard(writer)
            self._silent.discard(writer)
            writer.close()

    async def _answer(self, request: Request) -> tuple[int, dict[str, object]]:
        split = urlsplit(request.target)
        query = dict(parse_qsl(split.query, keep_blank_values=True))
        if split.path == "/rows-get":
            return 200, self._get(query)
        if split.path == "/rows-feed":
            return await self._feed(query)
        if split.path == "/rows-tx" and request.method == "POST":
            return self._transact(json.loads(request.body))
        return 404, {}

    def _moment(self) -> dict[str, object]:
        return {"ver": self._version, "nowMs": int(time.monotonic() * 1000)}

    def _get(self, query: dict[str, str]) -> dict[str, object]:
        limit = int(query.get("limit", "500"))
        end = query.get("to", "")
        found = [
            _row(key, row)
            for key, row in sorted(self._rows.items())
            if key[:2] == (query["table"], query.get("part", ""))
            and key[2] >= query.get("from", "")
            and (not end or key[2] < end)
            and not row[2]
        ]
        more = len(found) > limit
        return {"rows": found[:limit], "hasMore": more} | self._moment()

    async def _feed(self, query: dict[str, str]) -> tuple[int, dict[str, object]]:
        after = int(query["after"])
        until_s = time.monotonic() + int(query.get("waitMs", "0")) / 1000
        while True:
            changed = sorted(
                (row[1], key)
                for key, row in self._rows.items()
                if key[0] == query["table"] and row[1] > after
            )
            left_s = until_s - time.monotonic()
            if changed or left_s <= 0:
                rows = [_row(key, self._rows[key]) for _, key in changed]
                return 200, {"rows": rows} | self._moment()
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), left_s)

    def _transact(self, body: dict[str, list]) -> tuple[int, dict[str, object]]:
        for one in body["expected"]:
            row = self._rows.get((one["table"], one["part"], one["key"]))
            now = 0 if row is None or row[2] else row[1]
            if now != one["ver"]:
                return 412, {"rows": []} | self._moment()
        self._version += 1
        for one in body["writes"]:
            key = one["table"], one["part"], one["key"]
            self._rows[key] = one["value"], self._version, False
        for one in body["deletes"]:
            key = one["table"], one["part"], one["key"]
            self._rows[key] = "", self._version, True
        self._tell()
        return 200, self._moment()


def _row(key: tuple[str, str, str], row: tuple[str, int, bool]) -> dict[str, object]:
    told: dict[str, object] = {"table": key[0], "part": key[1], "key": key[2]}
    told["ver"] = row[1]
    if row[2]:
        told["tombstone"] = True
    else:
        told["value"] = row[0]
    return told


def route(name: str, kind: str, service: str, **more: object) -> dict[str, object]:
    """Return a route of the operator's manifest; its prefix is its name."""
    base = {
        "name": name,
        "host": HOST,
        "prefix": f"/{name}/",
        "kind": kind,
        "service": service,
        "priority": 1,
        "targetLatencyMs": 200,
        "timeoutMs": 2500,
        "attempts": 1,
        "public": False,
        "sticky": False,
        "resumable": False,
    }
    return base | more


def manifest(
    version: int, routes: list[dict[str, object]], services: list[dict[str, object]]
) -> dict[str, object]:
    """Return the operator's manifest."""
    tenant = {
        "name": TENANT,
        "apiKeys": [KEY],
        "priority": 1,
        "unit": "token_count",
        "plainTokens": 200,
        "ratePerS": 0,
        "burst": 0,
    }
    limits = {
        "maxHeaderBytes": 16384,
        "maxBodyBytes": 4194304,
        "headerTimeoutMs": 3000,
        "idleTimeoutMs": 15000,
    }
    return {
        "version": version,
        "routes": routes,
        "services": services,
        "limits": limits,
        "tenants": [tenant],
    }


def plain_service(name: str) -> dict[str, object]:
    """Return a plain service of the manifest."""
    return {
        "name": name,
        "healthPath": "/healthz",
        "maxConnections": 110,
        "protocol": "h1",
        "tls": False,
    }


def server_entry(
    service: str, address: str, zone: str, slots: int, sequence: int = 1, **more: object
) -> dict[str, object]:
    """Return a worker's entry in the store."""
    entry = {
        "service": service,
        "address": address,
        "zone": zone,
        "version": "v1",
        "slots": slots,
        "state": "ready",
        "coldRemainingMs": 0,
        "sequence": sequence,
    }
    return entry | more


class Vm:
    """One machine that runs the role of the deploy file.

    Args:
        number: Makes its id, address and zone.
        store: Address of the store.
        folder: Temporary folder of the run.
    """

    def __init__(self, number: int, store: str, folder: str) -> None:
        self.name = f"edge-{ZONES[number % len(ZONES)]}-{number + 1}"
        self.ip = f"{NETWORK}.{number + 1}"
        front, ready, control, peer = _free_ports(self.ip)
        self.front, self.ready = front, ready
        zone = ZONES[number % len(ZONES)]
        settings = {
            "node": self.name,
            "role": "scheduler",
            "machineClass": "edge",
            "serves": ["edge"],
            "ip": self.ip,
            "zone": zone,
            "region": REGION,
            "zones": dict.fromkeys(ZONES, REGION),
            "listen": {
                "front": f"{self.ip}:{front}",
                "ready": f"{self.ip}:{ready}",
                "control": f"{self.ip}:{control}",
            },
            "portRange": [peer, peer + 15],
            "seeds": [],
            "bootstrap": True,
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
            "bounds": {
                "reuseAfterS": 2,
                "stableWindowMs": 3000,
                "drainMs": 2000,
                "graceS": 8,
                "lostSlackMs": 200,
                "configApplyMs": 2000,
                "rollbackSlackMs": 250,
                "maxSkewMs": 5000,
                "retryBudgetRatio": 0.2,
                "budgetWindowS": 10,
                "budgetSlack": 56,
                "quotaWindowS": 8,
                "quotaOvershoot": 0.1,
                "quotaSlack": 140000,
                "recoveryS": 12,
                "passMs": 120,
                "retryAfterS": 10,
            },
            "platform": {"address": store, "form": "table"},
        }
        self._path = Path(folder) / f"{self.name}.json"
        self._path.write_text(json.dumps(settings), encoding="utf-8")
        self._log = Path(folder) / f"{self.name}.log"
        self.process: asyncio.subprocess.Process | None = None

    async def start(self) -> None:
        """Start the process by the command of the deploy file."""
        environment = {
            name: os.environ[name] for name in ("PATH", "HOME") if name in os.environ
        }
        environment |= {
            "POMELOLANE_NODE_FILE": str(self._path),
            "POMELOLANE_METRICS_PORT": "0",
            "PYTHONPATH": str(ROOT / "target" / "deps"),
        }
        with self._log.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                "deploy/start.py",
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
            )

    async def wait_ready(self) -> None:
        """Wait until the platform would send clients."""
        async with asyncio.timeout(START_TIMEOUT_S):
            while True:
                with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                    channel = Channel(self.ip, self.ready)
                    answer = await channel.ask("GET", "/readyz", {})
                    channel.close()
                    if answer.status == 200:
                        return
                if self.process is not None and self.process.returncode is not None:
                    raise RuntimeError(self._log.read_text(encoding="utf-8"))
                await asyncio.sleep(0.05)

    def log_text(self) -> str:
        """Return what the process has written."""
        return self._log.read_text(encoding="utf-8")

    async def kill(self) -> None:
        """End the process at once."""
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()


def _free_ports(ip: str) -> tuple[int, int, int, int]:
    """Return three free ports, and the first of 16 ports in a row."""
    held = []
    for _ in range(3):
        sock = socket.socket()
        sock.bind((ip, 0))
        held.append(sock)
    front, ready, control = (sock.getsockname()[1] for sock in held)
    for sock in held:
        sock.close()
    for peer in range(7600, 30000, 16):
        socks = []
        try:
            for port in range(peer, peer + 16):
                sock = socket.socket()
                socks.append(sock)
                sock.bind((ip, port))
        except OSError:
            continue
        else:
            return front, ready, control, peer
        finally:
            for sock in socks:
                sock.close()
    raise RuntimeError("no 16 free ports in a row")


@dataclass
class Answer:
    """A client's answer.

    Attributes:
        status: Its status.
        headers: By lower-case name.
        body: The body, as far as it came.
        is_whole: Whether its framing says that it is complete.
    """

    status: int
    headers: dict[str, str]
    body: bytes
    is_whole: bool = True


class Channel:
    """A client's kept connection, for one request at a time."""

    def __init__(self, ip: str, port: int) -> None:
        self._address = ip, port
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None

    async def ask(
        self, method: str, target: str, headers: dict[str, str], body: bytes = b""
    ) -> Answer:
        """Send a request and read its answer to the end."""
        if self._writer is None:
            opening = asyncio.open_connection(*self._address)
            self._reader, self._writer = await opening
        lines = [f"{method} {target} HTTP/1.1"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        if body or method == "POST":
            lines.append(f"Content-Length: {len(body)}")
        self._writer.write("\r\n".join([*lines, "", ""]).encode("latin-1") + body)
        return await self._read()

    async def _read(self) -> Answer:
        head = await self._reader.readuntil(b"\r\n\r\n")
        line, *fields = head.decode("latin-1").rstrip("\r\n").split("\r\n")
        headers = {}
        for one in fields:
            name, _, value = one.partition(":")
            headers[name.strip().lower()] = value.strip()
        answer = Answer(int(line.split(" ")[1]), headers, b"")
        try:
            if headers.get("transfer-encoding", "") == "chunked":
                while size := int(await self._reader.readuntil(b"\r\n"), 16):
                    answer.body += await self._reader.readexactly(size)
                    await self._reader.readexactly(2)
                await self._reader.readuntil(b"\r\n")
            elif "content-length" in headers:
                length = int(headers["content-length"])
                answer.body = await self._reader.readexactly(length)
            else:
                answer.body = await self._reader.read()
        except (asyncio.IncompleteReadError, OSError, ValueError):
            answer.is_whole = False
        if not answer.is_whole or headers.get("connection", "").lower() == "close":
            self.close()
        return answer

    def close(self) -> None:
        """Close the connection."""
        if self._writer is not None:
            self._writer.close()
            self._writer = self._reader = None


def client_headers(request_id: str, deadline_ms: int) -> dict[str, str]:
    """Return the headers of a client's request."""
    return {
        "Host": HOST,
        "Request-Id": request_id,
        "Deadline-Ms": str(deadline_ms),
        "Authorization": f"Bearer {KEY}",
    }


def end_at_sigterm() -> None:
    """Have SIGTERM end the case in order, so that the VMs are ended as well."""

    def end(number: int, frame: object) -> None:
        del number, frame
        raise SystemExit(2)

    signal.signal(signal.SIGTERM, end)


def temporary_folder() -> tempfile.TemporaryDirectory:
    """Return the temporary folder of a run."""
    return tempfile.TemporaryDirectory(prefix="review-")
