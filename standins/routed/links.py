"""Links of one VM to endpoints, which can be cut while all others' stay."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct
from enum import StrEnum

_BLOCK_BYTES = 65536
_BACKLOG_FILLERS = 2


class Cut(StrEnum):
    """What becomes of connections over a cut link."""

    REFUSED = "refused"
    """Open ones are reset, new ones refused."""
    SILENT = "silent"
    """Open ones and new ones hang."""
    NEW_REFUSED = "new refused"
    """Open ones live on, new ones are refused."""


class EndpointLink:
    """Forwards connections to one endpoint.

    Args:
        target: ``ip:port`` of the endpoint.
    """

    def __init__(self, target: str) -> None:
        host, _, port = target.rpartition(":")
        self._target = host, int(port)
        self._server: asyncio.Server | None = None
        self._full: list[socket.socket] = []
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._flows = asyncio.Event()
        self._flows.set()

    async def start(self) -> str:
        """Listen and return ``ip:port``."""
        self._own = "127.0.0.1", 0
        await self._listen()
        self._own = self._server.sockets[0].getsockname()
        return f"{self._own[0]}:{self._own[1]}"

    async def cut(self, how: Cut) -> None:
        """Cut the link."""
        self._server.close()
        self._server = None
        if how is Cut.SILENT:
            self._flows.clear()
            self._fill_backlog()
        elif how is Cut.REFUSED:
            self._reset_all()

    async def heal(self, *, resets: bool = True) -> None:
        """Let connections through again.

        Args:
            resets: Whether those that hung are reset, or else go on.
        """
        for sock in self._full:
            sock.close()
        self._full.clear()
        if not self._flows.is_set():
            if resets:
                self._reset_all()
            self._flows.set()
        await self._listen()

    async def aclose(self) -> None:
        """Stop to listen and drop all connections."""
        if self._server is not None:
            self._server.close()
        for sock in self._full:
            sock.close()
        for task in tuple(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _listen(self) -> None:
        self._server = await asyncio.start_server(self._serve, *self._own)

    def _fill_backlog(self) -> None:
        """Listen without accepting: the kernel drops what exceeds the backlog."""
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind(self._own)
        listener.listen(0)
        self._full.append(listener)
        for _ in range(_BACKLOG_FILLERS):
            filler = socket.socket()
            filler.setblocking(False)
            with contextlib.suppress(BlockingIOError):
                filler.connect(self._own)
            self._full.append(filler)

    def _reset_all(self) -> None:
        for writer in tuple(self._writers):
            sock = writer.get_extra_info("socket")
            linger = struct.pack("ii", 1, 0)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        self._tasks.add(task)
        self._writers.add(writer)
        try:
            far_reader, far_writer = await asyncio.open_connection(*self._target)
            self._writers.add(far_writer)
            await asyncio.gather(
                self._pump(reader, far_writer), self._pump(far_reader, writer)
            )
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            self._tasks.discard(task)
            self._writers.discard(writer)
            writer.close()

    async def _pump(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while data := await reader.read(_BLOCK_BYTES):
                await self._flows.wait()
                if writer.is_closing():
                    return
                writer.write(data)
                await writer.drain()
        finally:
            self._writers.discard(writer)
            writer.close()
