"""The engine's control port: the faults that experiments give it.

What it ran is read as at any endpoint; see :mod:`standins.control`.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from standins.control import EndpointControl
from standins.serving import json_response, read_json

if TYPE_CHECKING:
    from aiohttp import web

    from standins.engine.core import Engine
    from standins.serving import Server


class FaultsBody(msgspec.Struct, forbid_unknown_fields=True):
    """Faults to change; what is left out stays."""

    frozen: bool | None = None
    slowdown: float | None = None
    refuse: bool | None = None
    die: bool | None = None
    leaving: bool | None = None
    report_lag_ms: float | None = None
    event_lag_ms: float | None = None
    event_loss: float | None = None
    die_after_tokens: int | None = None


class EngineControl(EndpointControl):
    """Handlers of the control port."""

    def __init__(self, engine: Engine, server: Server) -> None:
        super().__init__(engine, server)
        self._engine = engine

    async def _control(self, request: web.Request) -> web.Response:
        body: FaultsBody = await read_json(request, FaultsBody)
        self._set_reports(body)
        self._set_speed(body)
        await self._set_life(body)
        return json_response(self._engine.faults)

    def _set_reports(self, body: FaultsBody) -> None:
        if body.report_lag_ms is not None:
            self._engine.load.lag_ms = body.report_lag_ms
        if body.event_lag_ms is not None:
            self._engine.events.lag_ms = body.event_lag_ms
        if body.event_loss is not None:
            self._engine.events.loss = body.event_loss

    def _set_speed(self, body: FaultsBody) -> None:
        if body.slowdown is not None:
            self._engine.slow_down(body.slowdown)
        if body.frozen is not None:
            self._engine.freeze(body.frozen)

    async def _set_life(self, body: FaultsBody) -> None:
        faults = self._engine.faults
        if body.refuse is not None:
            faults.refuse = body.refuse
        if body.leaving is not None:
            faults.leaving = body.leaving
        if body.die_after_tokens is not None:
            faults.die_after_tokens = body.die_after_tokens
        await self._set_dead(body.die)


__all__ = ["EngineControl"]
