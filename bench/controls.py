"""Clients of the stand-ins' control ports.

One class a kind of stand-in; all of them share the cluster's HTTP session.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import aiohttp

from bench.processes import BenchError

if TYPE_CHECKING:
    from bench.deployment import EndpointPlan
    from bench.processes import ManagedProcess

_CONTROL_TIMEOUT = aiohttp.ClientTimeout(total=10.0)


class ControlClient:
    """Speaks JSON to one stand-in's control port.

    Args:
        session: HTTP session of the cluster.
        port: Control port on the loopback address.
    """

    def __init__(self, session: aiohttp.ClientSession, port: int) -> None:
        self._session = session
        self._base = f"http://127.0.0.1:{port}"

    async def get(self, path: str, **query: str) -> Any:
        """Read a JSON document."""
        return await self._call("GET", path, params=query)

    async def post(self, path: str, body: Any = None) -> Any:
        """Post a JSON document and read the answer."""
        return await self._call("POST", path, json=body if body is not None else {})

    async def _call(self, method: str, path: str, **arguments: Any) -> Any:
        request = self._session.request(
            method, self._base + path, timeout=_CONTROL_TIMEOUT, **arguments
        )
        async with request as response:
            text = await response.text()
            if response.status >= 400:
                raise BenchError(f"{method} {path}: {response.status} {text[:200]}")
            if "json" not in response.content_type:
                return text
            return await response.json(content_type=None)


class EndpointControl:
    """An endpoint's stand-in: its process, faults and records.

    Args:
        plan: What was declared of it.
        process: Its process.
        address: ``ip:port`` on which it serves.
        client: Its control port.
    """

    def __init__(
        self,
        plan: EndpointPlan,
        process: ManagedProcess,
        address: str,
        client: ControlClient,
    ) -> None:
        self.plan = plan
        self.endpoint_id = plan.endpoint_id
        self.process = process
        self.address = address
        self._client = client

    async def control(self, **settings: Any) -> Any:
        """Set faults, for example ``frozen=True`` or ``slowdown=10``."""
        return await self._client.post("/control", settings)

    async def runs(self) -> list[dict[str, Any]]:
        """Return all requests it ever received."""
        found = await self._client.get("/runs")
        return found["runs"] if isinstance(found, dict) else found

    async def counters(self) -> dict[str, Any]:
        """Return its counters."""
        return await self._client.get("/counters")

    async def reset(self) -> None:
        """Forget runs and counters and end all faults."""
        await self._client.post("/reset")

    async def restart(self) -> None:
        """End the process and start it again with nothing remembered."""
        self.process.kill()
        self.process.spawn()
        await self.process.wait_for_line("ready")


class PlatformControl:
    """The platform's stand-in: outages, counters and rows.

    Args:
        process: Its process.
        url: Base URL of its API.
        client: Its control port.
    """

    def __init__(
        self, process: ManagedProcess, url: str, client: ControlClient
    ) -> None:
        self.process = process
        self.url = url
        self._client = client

    async def control(self, **settings: Any) -> Any:
        """Set faults, for example ``outage=True`` or ``lose_replies=1``."""
        return await self._client.post("/control", settings)

    async def counters(self) -> dict[str, Any]:
        """Return its counters."""
        return await self._client.get("/counters")

    async def rows(self, prefix: str = "") -> list[dict[str, Any]]:
        """Return the table's rows under a prefix."""
        found = await self._client.get("/rows", prefix=prefix)
        return found["rows"] if isinstance(found, dict) else found

    async def set_vms(self, vms: list[dict[str, Any]]) -> None:
        """Set the list of live and leaving VMs and endpoints."""
        await self._client.post("/vms", {"vms": vms})

    async def reset(self) -> None:
        """Empty the table and the object store and end all faults."""
        await self._client.post("/reset")
