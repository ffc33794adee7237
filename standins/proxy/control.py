"""The fault proxy's control port.

Links are made, changed and listed here.
"""

from __future__ import annotations

from typing import Any

import msgspec
from aiohttp import web

from standins.listening import reserve_port
from standins.proxy.links import Link, LinkMode
from standins.serving import json_response, make_app, read_json


class LinkBody(msgspec.Struct):
    """A link to make."""

    name: str
    target: str
    listen_port: int = 0


class LinkChange(msgspec.Struct, forbid_unknown_fields=True):
    """What to change of a link; what is left out stays."""

    mode: LinkMode | None = None
    delay_ms: float | None = None


class ProxyControl:
    """Handlers of the control port."""

    def __init__(self, host: str) -> None:
        self._host = host
        self._links: dict[str, Link] = {}

    def make_app(self) -> web.Application:
        """Make the application of the control port."""
        return make_app(
            {
                "GET /links": self._list,
                "POST /links": self._make,
                "POST /links/{name}": self._change,
                "DELETE /links/{name}": self._delete,
                "POST /reset": self._reset,
            }
        )

    def close(self) -> None:
        """Close all links."""
        for link in self._links.values():
            link.close()
        self._links.clear()

    async def _list(self, request: web.Request) -> web.Response:
        del request
        links = [_link_to_json(link) for link in self._links.values()]
        return json_response({"links": links})

    async def _make(self, request: web.Request) -> web.Response:
        body: LinkBody = await read_json(request, LinkBody)
        if body.name in self._links:
            raise web.HTTPConflict(text="there is such a link")
        target = _target_from_text(body.target)
        link = Link(body.name, reserve_port(self._host, body.listen_port), target)
        await link.start()
        self._links[body.name] = link
        return json_response(_link_to_json(link))

    async def _change(self, request: web.Request) -> web.Response:
        link = self._find(request)
        body: LinkChange = await read_json(request, LinkChange)
        if body.delay_ms is not None:
            link.delay_ms = body.delay_ms
        if body.mode is not None:
            await link.set_mode(body.mode)
        return json_response(_link_to_json(link))

    async def _delete(self, request: web.Request) -> web.Response:
        link = self._find(request)
        del self._links[link.name]
        link.close()
        return web.Response(status=204)

    async def _reset(self, request: web.Request) -> web.Response:
        del request
        for link in self._links.values():
            link.delay_ms = 0.0
            await link.set_mode(LinkMode.PASS)
        return web.Response(status=204)

    def _find(self, request: web.Request) -> Link:
        link = self._links.get(request.match_info["name"])
        if link is None:
            raise web.HTTPNotFound(text="no such link")
        return link


def _target_from_text(text: str) -> tuple[str, int]:
    host, _, port = text.rpartition(":")
    if not host or not port.isdecimal():
        raise web.HTTPBadRequest(text="a target is ip:port")
    return host, int(port)


def _link_to_json(link: Link) -> dict[str, Any]:
    return {
        "name": link.name,
        "listen_port": link.port,
        "target": f"{link.target[0]}:{link.target[1]}",
        "mode": link.mode,
        "delay_ms": link.delay_ms,
        "connections": link.connections,
    }


__all__ = ["ProxyControl"]
