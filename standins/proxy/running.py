"""Starts a fault proxy with its control port.

Tests start it on their own loop; the command runs it as a process.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from standins.flags import one_from_arguments
from standins.proxy.control import ProxyControl
from standins.serving import Server, make_server

if TYPE_CHECKING:
    from collections.abc import Sequence


@dataclass(frozen=True, slots=True)
class ProxyOptions:
    """How a fault proxy is set up.

    Attributes:
        host: Address to listen on.
        control_port: Port of the control interface, 0 for any.
    """

    host: str = "127.0.0.1"
    control_port: int = 0


@dataclass(frozen=True, slots=True)
class ProxyStandin:
    """A running fault proxy.

    Attributes:
        control: Its control port.
        links: Its links.
    """

    control: Server
    links: ProxyControl

    async def aclose(self) -> None:
        """Close the control port and all links."""
        self.links.close()
        await self.control.aclose()


def options_from_arguments(arguments: Sequence[str] | None = None) -> ProxyOptions:
    """Read the options from the command line."""
    return one_from_arguments(ProxyOptions, "standins.proxy", arguments)


async def start_proxy(options: ProxyOptions) -> ProxyStandin:
    """Start a fault proxy without links."""
    links = ProxyControl(options.host)
    control = make_server(options.host, options.control_port, links.make_app)
    await control.start()
    return ProxyStandin(control, links)


__all__ = ["ProxyOptions", "ProxyStandin", "options_from_arguments", "start_proxy"]
