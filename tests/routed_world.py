"""A store, endpoints and VMs of the users' platform, for one scenario."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import sys
import tempfile
from pathlib import Path

from standins.listening import reserve_port
from standins.routed import EndpointOptions, MetadataStore, RoutedEndpoint
from standins.routed.endpoint import registered

HOST = "shop.example"
KEY = "key-of-org"
ORGANISATION = "org"
DATA_CENTRE = "hall-a"
ROOT = Path(__file__).resolve().parent.parent
GIVE_UP_S = 20.0
# Only ends a scenario that would hang; nothing is measured against it.


def configuration(version=1, **changes):
    """Return an operator's configuration."""
    engine = {"slots": 4, "kvCapacityTokens": 100_000}
    document = {
        "version": version,
        "routes": [
            _route("plain", "/plain/", "idempotent", "portal", attempts=2),
            _route("file", "/plain/file/", "non_idempotent", "portal"),
            _route("chat", "/chat/", "streaming", "pool", targetGapMs=400),
            _route("help", "/help/", "streaming", "pool", resumable=True, attempts=2),
        ],
        "services": [
            {"name": "portal", "healthPath": "/healthz"},
            {"name": "pool", "healthPath": "/healthz", "engine": engine},
        ],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 100_000},
        "tenants": [
            {
                "name": ORGANISATION,
                "apiKeys": [KEY],
                "priority": 1,
                "unit": "token_count",
                "plainTokens": 200,
                "ratePerS": 50_000,
                "burst": 50_000,
            }
        ],
    }
    return json.dumps(document | changes).encode()


def _route(name, prefix, kind, service, **fields):
    route = {
        "name": name,
        "host": HOST,
        "prefix": prefix,
        "kind": kind,
        "timeoutMs": 3000,
        "targetLatencyMs": 500,
        "priority": 0,
        "service": service,
        "attempts": 1,
    }
    return route | fields


class RoutedWorld:
    """Everything that one scenario needs of the platform."""

    def __init__(self):
        self.store = MetadataStore()
        self.endpoints = {}
        self.vms = []
        self.version = 0

    async def start(self):
        """Start the store and put the first configuration."""
        self.store_address = await self.store.start()
        self.configure()
        return self

    def configure(self, **changes):
        """Put the next configuration."""
        self.version += 1
        self.store.put("op", "config", configuration(self.version, **changes))

    async def add_endpoint(self, name, service, **options):
        """Start an endpoint and register it."""
        if service == "pool":
            options.setdefault("events", 5)
        endpoint = RoutedEndpoint(name, EndpointOptions(**options))
        address = await endpoint.start()
        self.endpoints[name] = endpoint
        self.addresses = getattr(self, "addresses", {}) | {name: (service, address)}
        self.register(name)
        return endpoint

    def register(self, name, state="ready"):
        """Write an endpoint's row."""
        service, address = self.addresses[name]
        row = registered(self.endpoints[name], service, address, DATA_CENTRE, state)
        self.store.put("servers", name, row)

    async def add_vm(self):
        """Start a VM as a real process and wait until it is ready."""
        vm = await PlatformVm(len(self.vms) + 1, self.store_address).start()
        self.vms.append(vm)
        await vm.ready()
        return vm

    async def aclose(self):
        """End everything that was started."""
        for vm in self.vms:
            await vm.kill()
        for endpoint in self.endpoints.values():
            await endpoint.aclose()
        await self.store.aclose()


class PlatformVm:
    """One ``pomelolane platform`` process on a loopback address of its own."""

    def __init__(self, number, store_address):
        self.ip = f"127.0.9.{number}"
        self.folder = tempfile.TemporaryDirectory()
        self.front = reserve_port(self.ip)
        self.probe = reserve_port(self.ip)
        self.peer = reserve_port(self.ip)
        settings = {
            "node": f"vm-{number}",
            "role": "scheduler",
            "ip": self.ip,
            "zone": DATA_CENTRE,
            "region": "west",
            "listen": {
                "front": f"{self.ip}:{self.front.port}",
                "ready": f"{self.ip}:{self.probe.port}",
            },
            "portRange": [self.peer.port, self.peer.port],
            "platform": {"address": store_address},
            "bounds": {"graceS": 8},
        }
        self.path = Path(self.folder.name) / "local.json"
        self.path.write_text(json.dumps(settings))
        self.log = Path(self.folder.name) / "log"

    async def start(self):
        """Start the process."""
        for port in (self.front, self.probe, self.peer):
            port.close()
        environment = os.environ | {
            "POMELOLANE_NODE_FILE": str(self.path),
            "POMELOLANE_METRICS_PORT": "0",
        }
        with self.log.open("wb") as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "pomelolane",
                "platform",
                stdout=log,
                stderr=log,
                env=environment,
                cwd=ROOT,
            )
        return self

    async def ready(self):
        """Wait until the balancer would send callers."""
        async with asyncio.timeout(GIVE_UP_S):
            while await self.probe_status() != 200:
                assert self.process.returncode is None, self.log.read_text()
                await asyncio.sleep(0.02)

    async def probe_status(self):
        """Return the status of the balancer's question, 0 for no answer."""
        try:
            answer = await exchange(self.ip, self.probe.port, "GET /readyz HTTP/1.1")
        except OSError:
            return 0
        return answer.status

    async def ask(self, line, headers=(), body=b""):
        """Send a caller's request and return its answer."""
        return await exchange(self.ip, self.front.port, line, headers, body)

    def events(self, name):
        """Return the log lines of an event."""
        lines = [
            json.loads(x) for x in self.log.read_text().splitlines() if x[0] == "{"
        ]
        return [line for line in lines if line["name"] == name]

    def signal(self, number=signal.SIGTERM):
        """Send a signal."""
        self.process.send_signal(number)

    async def kill(self):
        """End the process at once."""
        if self.process.returncode is None:
            self.process.kill()
        await self.process.wait()
        self.folder.cleanup()


class Answer:
    """A caller's answer as it came."""

    def __init__(self, data):
        head, _, self.body = data.partition(b"\r\n\r\n")
        self.data = data
        line, *fields = head.decode("latin-1").split("\r\n")
        self.status = int(line.split(" ")[1]) if " " in line else 0
        self.headers = {}
        for one in fields:
            name, _, value = one.partition(":")
            self.headers[name.lower()] = value.strip()

    @property
    def events(self):
        """The ids of the events, in order."""
        return [
            int(line[4:])
            for line in self.body.decode("latin-1").split("\n")
            if line.startswith("id: ")
        ]

    @property
    def is_whole(self):
        """Whether the answer's framing says that it is complete."""
        if "content-length" in self.headers:
            return len(self.body) == int(self.headers["content-length"])
        return self.body.endswith(b"0\r\n\r\n")


async def exchange(ip, port, line, headers=(), body=b""):
    """Send one request on a connection of its own and read to its end."""
    reader, writer = await asyncio.open_connection(ip, port)
    fields = [*headers, "connection: close"]
    if body:
        fields.append(f"content-length: {len(body)}")
    writer.write("\r\n".join([line, *fields, "", ""]).encode("latin-1") + body)
    async with asyncio.timeout(GIVE_UP_S):
        data = await reader.read()
    writer.close()
    return Answer(data)


def caller_headers(request_id="r1", deadline_ms=3000, key=KEY, **fields):
    """Return the headers of a proper caller."""
    headers = [f"host: {HOST}", f"request-id: {request_id}"]
    headers.append(f"deadline-ms: {deadline_ms}")
    if key:
        headers.append(f"authorization: Bearer {key}")
    headers += [f"{name.replace('_', '-')}: {value}" for name, value in fields.items()]
    return headers
