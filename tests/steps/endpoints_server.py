"""A raw TCP server whose answers the steps script byte by byte."""

import asyncio
import socket
import struct


class RawServer:
    """Listens on a free port and runs one handler a connection."""

    def __init__(self, handler):
        self.handler = handler
        self.connections = 0
        self.requests = []
        self.written = 0
        self.writers = []

    async def start(self):
        """Listen, until :meth:`stop` or the loop's end."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        port = self.server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"
        self.lifetime = asyncio.create_task(self._until_cancelled())
        return self

    async def _until_cancelled(self):
        try:
            await asyncio.get_running_loop().create_future()
        finally:
            self.stop()

    def stop(self):
        """Stop to listen and drop all connections."""
        self.server.close()
        for writer in self.writers:
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self.connections += 1
        self.writers.append(writer)
        try:
            await self.handler(self, reader, writer)
        except (OSError, EOFError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def read_request(self, reader):
        """Return head and body of the next request."""
        head = await reader.readuntil(b"\r\n\r\n")
        headers = dict(
            line.lower().split(b": ", 1) for line in head.split(b"\r\n")[1:-2]
        )
        body = await reader.readexactly(int(headers.get(b"content-length", 0)))
        self.requests.append((head, body))
        return head, body


def answering(*pieces, close=False, times=1000):
    """Return a handler that answers each request with the same bytes."""

    async def handle(server, reader, writer):
        for _ in range(times):
            await server.read_request(reader)
            for piece in pieces:
                writer.write(piece)
                await writer.drain()
                await asyncio.sleep(0)
            if close:
                return

    return handle


def resetting(*pieces):
    """Return a handler that answers and resets the connection."""

    async def handle(server, reader, writer):
        await server.read_request(reader)
        for piece in pieces:
            writer.write(piece)
            await writer.drain()
        sock = writer.get_extra_info("socket")
        linger = struct.pack("ii", 1, 0)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        writer.transport.abort()

    return handle


def silent_after(*pieces):
    """Return a handler that answers in part and then says nothing more."""

    async def handle(server, reader, writer):
        await server.read_request(reader)
        for piece in pieces:
            writer.write(piece)
        await reader.read(1)

    return handle


def event_bytes(count):
    """Return the bytes of so many events."""
    return b"".join(b'data: {"n":%d}\n\n' % number for number in range(count))


def head(status=200, **headers):
    """Return an answer's head."""
    lines = [b"HTTP/1.1 %d X" % status]
    for name, value in headers.items():
        lines.append(f"{name.replace('_', '-')}: {value}".encode())
    return b"\r\n".join([*lines, b"", b""])


def chunk(data):
    """Return one chunk of a chunked body."""
    return b"%x\r\n%s\r\n" % (len(data), data)


def event_head():
    """Return the head of an event stream."""
    return head(
        content_type="text/event-stream", transfer_encoding="chunked", x_cached_tokens=7
    )
