"""The platform stand-in's control port.

Experiments set faults and the list of VMs here and read what was written.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from standins.platform.http import now_ms, row_to_json
from standins.platform.listing import MachineList
from standins.serving import json_response, make_app, read_json

if TYPE_CHECKING:
    from aiohttp import web

    from standins.platform.state import PlatformState

ALL_ROWS = 1_000_000


class FaultsBody(msgspec.Struct, forbid_unknown_fields=True):
    """Faults to change; what is left out stays."""

    outage: bool | None = None
    refuse_writes: bool | None = None
    delay_ms: float | None = None
    lose_replies: int | None = None
    list_lag_ms: float | None = None


class PlatformControl:
    """Handlers of the control port."""

    def __init__(self, state: PlatformState) -> None:
        self._state = state

    def make_app(self) -> web.Application:
        """Make the application of the control port."""
        return make_app(
            {
                "POST /control": self._control,
                "POST /vms": self._set_vms,
                "GET /counters": self._counters,
                "GET /rows": self._rows,
                "POST /reset": self._reset,
            }
        )

    async def _control(self, request: web.Request) -> web.Response:
        body: FaultsBody = await read_json(request, FaultsBody)
        for name, value in msgspec.structs.asdict(body).items():
            if value is None:
                continue
            target = self._state.vms if name == "list_lag_ms" else self._state.faults
            setattr(target, name.removeprefix("list_"), value)
        return json_response(self._state.faults)

    async def _set_vms(self, request: web.Request) -> web.Response:
        body: MachineList = await read_json(request, MachineList)
        self._state.vms.set(body.vms, now_ms())
        return json_response({"vms": body.vms})

    async def _counters(self, request: web.Request) -> web.Response:
        del request
        return json_response(self._state.counters)

    async def _rows(self, request: web.Request) -> web.Response:
        prefix = request.query.get("prefix", "")
        rows = self._state.table.scan(prefix, ALL_ROWS)
        return json_response({"rows": [row_to_json(row) for row in rows]})

    async def _reset(self, request: web.Request) -> web.Response:
        del request
        self._state.reset(now_ms())
        return json_response(self._state.counters)


__all__ = ["PlatformControl"]
