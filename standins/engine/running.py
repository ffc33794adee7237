"""Starts an engine stand-in with its two ports.

Tests start it on their own loop; the command runs one or many as a process.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from standins.engine.control import EngineControl
from standins.engine.core import Engine
from standins.engine.http import EngineHttp
from standins.engine.weights import WeightLoader
from standins.serving import Server, make_server

if TYPE_CHECKING:
    from standins.engine.options import EngineOptions


@dataclass(frozen=True, slots=True)
class EngineStandin:
    """A running engine stand-in.

    Attributes:
        engine: The engine itself.
        server: Its interface.
        control: Its control port.
        loader: Its loads in progress.
    """

    engine: Engine
    server: Server
    control: Server
    loader: WeightLoader

    @property
    def endpoint_id(self) -> str:
        """The endpoint that it stands for."""
        return self.engine.options.endpoint_id

    async def aclose(self) -> None:
        """Stop everything and close both ports."""
        self.loader.close()
        self.engine.die()
        await self.server.aclose()
        await self.control.aclose()


async def start_engine(options: EngineOptions) -> EngineStandin:
    """Start an engine stand-in."""
    loader = WeightLoader(options)
    engine = Engine(options, on_death=lambda: server.abort())
    http = EngineHttp(engine, loader)
    server = make_server(options.host, options.port, http.make_app)
    control = EngineControl(engine, server)
    control_server = make_server(options.host, options.control_port, control.make_app)
    await server.start()
    await control_server.start()
    return EngineStandin(engine, server, control_server, loader)


__all__ = ["EngineStandin", "start_engine"]
