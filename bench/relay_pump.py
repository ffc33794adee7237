"""The floor of any relay: bytes read from one socket and written to another.

It knows no HTTP; each connection made to it is joined to one of its own.
"""

from __future__ import annotations

import argparse
import asyncio

import uvloop


class _Half(asyncio.Protocol):
    """One side of a pair."""

    other: asyncio.Transport | None = None

    def __init__(self) -> None:
        self._early: list[bytes] = []

    def connection_made(self, transport: asyncio.Transport) -> None:
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        if self.other is None:
            self._early.append(data)
        else:
            self.other.write(data)

    def connection_lost(self, exc: Exception | None) -> None:
        if self.other is not None:
            self.other.close()

    def join(self, other: asyncio.Transport) -> None:
        self.other = other
        if not other.is_closing():
            other.writelines(self._early)


class _Front(_Half):
    """The caller's side; it opens the endpoint's."""

    def __init__(self, host: str, port: int) -> None:
        super().__init__()
        self._target = (host, port)

    def connection_made(self, transport: asyncio.Transport) -> None:
        super().connection_made(transport)
        self._opening = asyncio.get_running_loop().create_task(self._open())

    async def _open(self) -> None:
        loop = asyncio.get_running_loop()
        transport, back = await loop.create_connection(_Half, *self._target)
        back.join(self.transport)
        self.join(transport)


async def _serve(port: int, target: str) -> None:
    host, _, target_port = target.rpartition(":")
    loop = asyncio.get_running_loop()
    server = await loop.create_server(
        lambda: _Front(host, int(target_port)), "127.0.0.1", port, backlog=1024
    )
    await server.serve_forever()


def main() -> None:
    """Serve until ended."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--endpoint", required=True)
    options = parser.parse_args()
    uvloop.run(_serve(options.port, options.endpoint))


if __name__ == "__main__":
    main()
