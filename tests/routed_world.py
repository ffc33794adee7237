"""A store, endpoints and VMs of the users' platform, for one scenario."""

from __future__ import annotations

import asyncio
import json
from dataclasses import replace

from standins.routed import EndpointOptions, MetadataStore, RoutedEndpoint
from standins.routed.endpoint import registered
from standins.routed.links import EndpointLink
from standins.routed.vm import PlatformVm

HOST = "shop.example"
KEY = "key-of-org"
ORGANISATION = "org"
DATA_CENTRE = "hall-a"
SUCCESSION_STEP_S = 0.02


def configuration(version=1, **changes):
    """Return an operator's configuration."""
    engine = {"slots": 4, "kvCapacityTokens": 100_000}
    document = {
        "version": version,
        "routes": [
            _route("plain", "/plain/", "idempotent", "portal", attempts=2),
            _route("file", "/plain/file/", "non_idempotent", "portal"),
            _route("chat", "/chat/", "streaming", "pool", targetGapMs=400),
            _route(
                "help",
                "/help/",
                "streaming",
                "pool",
                resumable=True,
                attempts=2,
                targetGapMs=400,
            ),
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
        self.bounds = {}
        self.limits = {}
        self.addresses = {}
        self.links = []
        self._successions = []

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
        self.addresses[name] = (service, address)
        self.register(name)
        return endpoint

    async def replace_endpoint(self, name, successor, version):
        """End an endpoint, and start one of another version at its address."""
        self.store.delete("servers", name)
        service, address = self.addresses[name]
        options = replace(self.endpoints[name].options, version=version)
        await self.endpoints[name].aclose()
        endpoint = RoutedEndpoint(successor, options)
        host, _, port = address.rpartition(":")
        await endpoint.start(host, int(port))
        self.endpoints[successor] = endpoint
        self.addresses[successor] = (service, address)
        self.register(successor)

    async def restart_endpoint(self, name, version, entry_lag_s):
        """Restart an endpoint under its id and address, with its entry later."""
        service, address = self.addresses[name]
        before = self.endpoints[name]
        await before.aclose()
        host, _, port = address.rpartition(":")
        endpoint = RoutedEndpoint(name, replace(before.options, version=version))
        endpoint.seen = before.seen
        self.endpoints[name] = endpoint
        await endpoint.start(host, int(port))
        await asyncio.sleep(entry_lag_s)
        row = registered(endpoint, service, address, DATA_CENTRE, born_ms=2)
        self.store.put("servers", name, row)

    async def keep_starting(self, down_s):
        """Start endpoints that ended under a request again, under another id."""
        known = set()
        while True:
            for name, endpoint in tuple(self.endpoints.items()):
                if endpoint.ended.is_set() and name not in known:
                    known.add(name)
                    self._successions.append(
                        asyncio.create_task(self._succeed(name, down_s))
                    )
            await asyncio.sleep(SUCCESSION_STEP_S)

    async def _succeed(self, name, down_s):
        await asyncio.sleep(down_s / 2)
        self.store.delete("servers", name)
        await asyncio.sleep(down_s / 2)
        service, address = self.addresses[name]
        options = self.endpoints[name].options
        endpoint = RoutedEndpoint(f"{name}+", options)
        host, _, port = address.rpartition(":")
        # A silent one still holds its port.
        port = 0 if options.ends_silently else int(port)
        address = await endpoint.start(host, port)
        self.endpoints[endpoint.endpoint_id] = endpoint
        self.addresses[endpoint.endpoint_id] = (service, address)
        self.register(endpoint.endpoint_id)

    def register(self, name, state="ready"):
        """Write an endpoint's row."""
        service, address = self.addresses[name]
        row = registered(self.endpoints[name], service, address, DATA_CENTRE, state)
        self.store.put("servers", name, row)

    async def add_vm(self, data_centre=DATA_CENTRE):
        """Start a VM as a real process and wait until it is ready."""
        number = len(self.vms) + 1
        vm = PlatformVm(
            number,
            self.store_address,
            data_centre,
            bounds=self.bounds,
            limits=self.limits,
        )
        await vm.start()
        self.vms.append(vm)
        await vm.ready()
        return vm

    async def add_vm_with_links(self, data_centre):
        """Start a VM with links of its own to all endpoints that there are."""
        links = {}
        for _, address in self.addresses.values():
            link = EndpointLink(address)
            links[address] = await link.start()
            self.links.append(link)
        store_address = await self.store.start_view(links)
        number = len(self.vms) + 1
        vm = PlatformVm(number, store_address, data_centre, bounds=self.bounds)
        await vm.start()
        self.vms.append(vm)
        await vm.ready()
        return vm

    async def restart_vms(self):
        """Kill all VMs at one moment and start them again."""
        for vm in self.vms:
            vm.process.kill()
        for vm in self.vms:
            await vm.process.wait()
            await vm.start()

    async def aclose(self):
        """End everything that was started."""
        for task in self._successions:
            task.cancel()
        await asyncio.gather(*self._successions, return_exceptions=True)
        for vm in self.vms:
            await vm.kill()
        for link in self.links:
            await link.aclose()
        for endpoint in self.endpoints.values():
            await endpoint.aclose()
        await self.store.aclose()


def caller_headers(request_id="r1", deadline_ms=3000, key=KEY, **fields):
    """Return the headers of a proper caller."""
    headers = [f"host: {HOST}", f"request-id: {request_id}"]
    headers.append(f"deadline-ms: {deadline_ms}")
    if key:
        headers.append(f"authorization: Bearer {key}")
    headers += [f"{name.replace('_', '-')}: {value}" for name, value in fields.items()]
    return headers
