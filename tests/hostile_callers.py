"""Callers beyond the limits of the platform's pages: what they send, and a crowd."""

from __future__ import annotations

import asyncio
from contextlib import suppress

from tests.routed_world import HOST, KEY

PIECE_BYTES = 256 * 1024
CONNECT_S = 20.0
STALL_S = 3.0
"""Silence after which a peer counts as one that reads no more."""

_HEAD = (
    f"host: {HOST}\r\nrequest-id: r\r\ndeadline-ms: 20000\r\n"
    f"authorization: Bearer {KEY}\r\n"
).encode()
_POST = b"POST /plain/a HTTP/1.1\r\n" + _HEAD
_GET = b"GET /plain/a HTTP/1.1\r\n" + _HEAD
_CHUNKED = _POST + b"transfer-encoding: chunked\r\n\r\n"
_BODY_BYTES = 4_000_000
_SMALL_CHUNK_BYTES = 16


def _chunks(size):
    chunk = b"%x\r\n%b\r\n" % (size, b"x" * size)
    return chunk * (_BODY_BYTES // size)


def _short_headers(size):
    return b"".join(b"%03x:\r\n" % (number % 4096) for number in range(size // 6))


FORMS = {
    "a head that does not end": lambda: _GET + _short_headers(30_000),
    "a head over the limit": lambda: b"\r\n\r\n" + _GET + _short_headers(1_000_000),
    "a header that does not end": lambda: _GET + b"x: " + b"x" * 8_000_000,
    "empty lines": lambda: b"\r\n" * 32_000_000,
    "trailers": lambda: _CHUNKED + b"1\r\nx\r\n0\r\n" + _short_headers(4_000_000),
    "a chunk extension": lambda: _CHUNKED + b"1;x=" + b"x" * 64_000_000,
    "large chunks": lambda: _CHUNKED + _chunks(1_000_000),
    "small chunks": lambda: _CHUNKED + _chunks(_SMALL_CHUNK_BYTES),
    "requests in one packet": lambda: (_GET + b"\r\n") * 10_000,
    "nothing": lambda: b"",
}
"""What a caller sends, by name; none of it is a whole request but the last two."""


class Crowd:
    """Connections of callers that send one form each, and stay open.

    Args:
        ip: The VM's address.
        port: Its port for callers.
    """

    def __init__(self, ip: str, port: int) -> None:
        self._ip = ip
        self._port = port
        self._writers: list[asyncio.StreamWriter] = []
        self.sent_bytes = 0

    async def send(self, count: int, data: bytes) -> None:
        """Open connections, send the same bytes on each and leave them open."""
        callers = [self._send(data) for _ in range(count)]
        await asyncio.gather(*callers)

    async def _send(self, data: bytes) -> None:
        # Connections that are refused or reset are what the VM may do.
        with suppress(OSError, TimeoutError):
            async with asyncio.timeout(CONNECT_S):
                _, writer = await asyncio.open_connection(self._ip, self._port)
            self._writers.append(writer)
            view = memoryview(data)
            for at in range(0, len(data), PIECE_BYTES):
                piece = view[at : at + PIECE_BYTES]
                writer.write(piece)
                async with asyncio.timeout(STALL_S):
                    await writer.drain()
                self.sent_bytes += len(piece)

    def close(self) -> None:
        """Reset all connections."""
        for writer in self._writers:
            writer.transport.abort()
