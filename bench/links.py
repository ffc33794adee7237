"""The network of a cluster: which process reaches which, over what link.

With faults, each link between data centres and to the platform runs through
a fault proxy; without, every process is reached directly.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import TYPE_CHECKING

from bench.processes import BenchError

if TYPE_CHECKING:
    from collections.abc import Iterable

    from bench.controls import ControlClient

PLATFORM = "platform"
"""Stands for the platform where a data centre's name is expected."""


@dataclass(frozen=True, slots=True)
class Link:
    """One proxied route.

    Attributes:
        name: Its name at the proxy.
        source: Data centre from which it is used.
        target: Data centre in which it ends, or ``PLATFORM``.
        address: ``ip:port`` to use in place of the real one.
    """

    name: str
    source: str
    target: str
    address: str

    def joins(self, one: str, other: str) -> bool:
        """Tell whether it runs between two data centres, either way."""
        return {self.source, self.target} == {one, other}


class Network:
    """Routes between the places of a cluster.

    Args:
        proxy: Control port of the fault proxy, None for direct routes.
    """

    def __init__(self, proxy: ControlClient | None) -> None:
        self._proxy = proxy
        self.links: dict[str, Link] = {}

    async def route(
        self, name: str, source: str, target: str, real_address: str
    ) -> str:
        """Return the address by which ``source`` reaches a target."""
        if self._proxy is None or source == target:
            return real_address
        if name not in self.links:
            self.links[name] = await self._open(name, source, target, real_address)
        return self.links[name].address

    async def set_between(self, one: str, other: str, **settings: object) -> None:
        """Set mode or delay of all links between two places."""
        names = [link.name for link in self.links.values() if link.joins(one, other)]
        if not names:
            raise BenchError(f"no proxied link joins {one} and {other}")
        await self._set_links(names, **settings)

    async def set_link(self, name: str, **settings: object) -> None:
        """Set mode or delay of one link."""
        if self._proxy is None:
            raise BenchError("this cluster was started without faults")
        await self._proxy.post(f"/links/{name}", settings)

    async def heal(self) -> None:
        """Let all links pass without delay again."""
        await self._set_links(self.links, mode="pass", delay_ms=0)

    async def _set_links(self, names: Iterable[str], **settings: object) -> None:
        """Set many links at one time, as a cut would hit them."""
        await asyncio.gather(*(self.set_link(name, **settings) for name in names))

    async def _open(
        self, name: str, source: str, target: str, real_address: str
    ) -> Link:
        body = {"name": name, "listen_port": 0, "target": real_address}
        answer = await self._proxy.post("/links", body)
        return Link(name, source, target, f"127.0.0.1:{answer['listen_port']}")


def vm_link(source_vm: str, target_vm: str) -> str:
    """Name the link by which one VM reaches another one."""
    return f"vm.{source_vm}.{target_vm}"


def endpoint_link(data_centre: str, endpoint_id: str) -> str:
    """Name the link by which a data centre's VMs reach an endpoint."""
    return f"endpoint.{data_centre}.{endpoint_id}"


def platform_link(data_centre: str) -> str:
    """Name the link by which a data centre's VMs reach the platform."""
    return f"platform.{data_centre}"
