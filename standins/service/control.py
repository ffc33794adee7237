"""The plain service's control port: the faults that experiments give it.

What it ran is read as at any endpoint; see :mod:`standins.control`.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from standins.control import EndpointControl
from standins.serving import json_response, read_json

if TYPE_CHECKING:
    from aiohttp import web

    from standins.service.worker import Worker
    from standins.serving import Server


class FaultsBody(msgspec.Struct, forbid_unknown_fields=True):
    """Faults to change; what is left out stays."""

    frozen: bool | None = None
    slowdown: float | None = None
    refuse: bool | None = None
    die: bool | None = None
    leaving: bool | None = None


class ServiceControl(EndpointControl):
    """Handlers of the control port."""

    def __init__(self, worker: Worker, server: Server) -> None:
        super().__init__(worker, server)
        self._worker = worker

    async def _control(self, request: web.Request) -> web.Response:
        body: FaultsBody = await read_json(request, FaultsBody)
        worker = self._worker
        if body.frozen is not None:
            worker.freeze(body.frozen)
        for name in ("slowdown", "refuse", "leaving"):
            value = getattr(body, name)
            if value is not None:
                setattr(worker.faults, name, value)
        await self._set_dead(body.die)
        return json_response(worker.faults)


__all__ = ["ServiceControl"]
