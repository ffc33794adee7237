"""A token source for the relay bench: many event streams on a fixed beat.

Like a batching engine it gives all streams of a batch their next token at one
moment; it checks and remembers nothing.
"""

from __future__ import annotations

import argparse
import asyncio

import httptools
import msgspec
import uvloop

BATCH_STREAMS = 16
"""Streams that get their tokens at one moment."""

_HEAD = (
    b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n"
    b"x-cached-tokens: 0\r\ntransfer-encoding: chunked\r\n\r\n"
)
_UNKNOWN = b"HTTP/1.1 404 Not Found\r\ncontent-length: 0\r\n\r\n"
_EVENT = (
    b'data: {"id":"%b","object":"chat.completion.chunk","choices":[{"index":0,'
    b'"delta":{"content":"0123456789ab-%d "},"finish_reason":null}]}\n\n'
)
_DONE = b"data: [DONE]\n\n"


class Order(msgspec.Struct, frozen=True):
    """The part of a request that the source looks at."""

    x_output_tokens: int = 64


class TokenSource:
    """Beats for all streams, one batch after the other.

    Args:
        tokens_per_s: Speed of each stream.
    """

    def __init__(self, tokens_per_s: float) -> None:
        self._step_s = 1.0 / tokens_per_s
        self._batches: list[list[EngineProtocol]] = []

    def add(self, stream: EngineProtocol) -> None:
        """Put a stream in the last batch that has room."""
        for batch in self._batches:
            if 0 < len(batch) < BATCH_STREAMS:
                batch.append(stream)
                return
        batch = [stream]
        self._batches.append(batch)
        asyncio.get_running_loop().call_later(self._step_s, self._step, batch)

    def _step(self, batch: list[EngineProtocol]) -> None:
        batch[:] = [stream for stream in batch if stream.emit()]
        if batch:
            asyncio.get_running_loop().call_later(self._step_s, self._step, batch)
        else:
            self._batches.remove(batch)


class EngineProtocol(asyncio.Protocol):
    """One caller's connection."""

    def __init__(self, source: TokenSource) -> None:
        self._source = source
        self._parser = httptools.HttpRequestParser(self)
        self._body = bytearray()
        self._id = b""
        self._next = 0
        self._total = 0

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Keep the transport."""
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        """Parse a request."""
        self._parser.feed_data(data)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Look for the stream's id."""
        if name.lower() == b"x-request-id":
            self._id = value

    def on_body(self, body: bytes) -> None:
        """Collect the body."""
        self._body += body

    def on_message_complete(self) -> None:
        """Open a stream with its first token; anything but a call is unknown."""
        if self._parser.get_method() != b"POST":
            self._transport.write(_UNKNOWN)
            return
        order = msgspec.json.decode(bytes(self._body), type=Order)
        self._body.clear()
        self._next = 0
        self._total = order.x_output_tokens
        self._transport.write(_HEAD)
        if self.emit():
            self._source.add(self)

    def emit(self) -> bool:
        """Send the next token, or the end after the last.

        Returns:
            Whether more will come.
        """
        if self._transport.is_closing():
            return False
        event = _EVENT % (self._id, self._next)
        self._next += 1
        self._transport.write(_chunk(event))
        if self._next < self._total:
            return True
        self._transport.write(_chunk(_DONE) + _chunk(b""))
        return False


def _chunk(data: bytes) -> bytes:
    return b"%x\r\n%b\r\n" % (len(data), data)


async def _serve(port: int, tokens_per_s: float) -> None:
    source = TokenSource(tokens_per_s)
    loop = asyncio.get_running_loop()
    server = await loop.create_server(
        lambda: EngineProtocol(source), "127.0.0.1", port, backlog=1024
    )
    await server.serve_forever()


def main() -> None:
    """Serve until ended."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--tokens-per-s", type=float, default=40.0)
    options = parser.parse_args()
    uvloop.run(_serve(options.port, options.tokens_per_s))


if __name__ == "__main__":
    main()
