"""Starts a plain service stand-in with its two ports.

Tests start it on their own loop; the command runs one or many as a process.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from standins.service.control import ServiceControl
from standins.service.http import ServiceHttp
from standins.service.worker import Worker
from standins.serving import Server, make_server

if TYPE_CHECKING:
    from standins.service.options import ServiceOptions


@dataclass(frozen=True, slots=True)
class ServiceStandin:
    """A running plain service stand-in.

    Attributes:
        worker: The worker itself.
        server: Its interface.
        control: Its control port.
    """

    worker: Worker
    server: Server
    control: Server

    @property
    def endpoint_id(self) -> str:
        """The endpoint that it stands for."""
        return self.worker.options.endpoint_id

    async def aclose(self) -> None:
        """Stop everything and close both ports."""
        self.worker.die()
        await self.server.aclose()
        await self.control.aclose()


async def start_service(options: ServiceOptions) -> ServiceStandin:
    """Start a plain service stand-in."""
    worker = Worker(options, on_death=lambda: server.abort())
    server = make_server(options.host, options.port, ServiceHttp(worker).make_app)
    control = ServiceControl(worker, server)
    control_server = make_server(options.host, options.control_port, control.make_app)
    await server.start()
    await control_server.start()
    return ServiceStandin(worker, server, control_server)


__all__ = ["ServiceStandin", "start_service"]
