"""Starts a platform stand-in with its two ports.

Tests start it on their own loop; the command runs it as a process.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from standins.platform.control import PlatformControl
from standins.platform.http import PlatformHttp, now_ms
from standins.platform.state import PlatformState
from standins.serving import Server, make_server

if TYPE_CHECKING:
    from standins.platform.options import PlatformOptions


@dataclass(frozen=True, slots=True)
class PlatformStandin:
    """A running platform stand-in.

    Attributes:
        server: Its services.
        control: Its control port.
    """

    server: Server
    control: Server

    async def aclose(self) -> None:
        """Close both ports."""
        await self.server.aclose()
        await self.control.aclose()


async def start_platform(options: PlatformOptions) -> PlatformStandin:
    """Start a platform stand-in."""
    state = PlatformState(options, now_ms())
    services = PlatformHttp(state, options.weight_bytes)
    control = PlatformControl(state)
    standin = PlatformStandin(
        make_server(options.host, options.port, services.make_app),
        make_server(options.host, options.control_port, control.make_app),
    )
    await standin.server.start()
    await standin.control.start()
    return standin


__all__ = ["PlatformStandin", "start_platform"]
