"""Hostile peers for the proof of strangers: wrong keys, false names, replays.

They speak ZeroMQ as a VM would, or repeat recorded bytes over TCP.
"""

from __future__ import annotations

import asyncio
import random
from contextlib import suppress
from dataclasses import dataclass

import msgspec
import zmq
from zmq.utils import z85

from pomelolane.membership.envelope import encode_envelope
from pomelolane.membership.links import VM_PROPERTY
from pomelolane.messages import Message, encode_message

_LINGER_MS = 500
_SCRAPS = (None, -1, 0, 2**63, 1.5, "", "x" * 300, b"\xff", [], [[]], {}, {"a": 1})


@dataclass(frozen=True, slots=True)
class KeyPair:
    """A CURVE key pair in Z85.

    Attributes:
        public: Public half.
        private: Private half.
    """

    public: bytes
    private: bytes

    @property
    def public_hex(self) -> str:
        """The public half as the settings want it."""
        return z85.decode(self.public).hex()

    @property
    def private_hex(self) -> str:
        """The private half as the settings want it."""
        return z85.decode(self.private).hex()


def make_key_pair() -> KeyPair:
    """Make a new key pair."""
    return KeyPair(*zmq.curve_keypair())


class HostilePeer:
    """A connection to one VM's port for other VMs.

    Args:
        port: The VM's peer port.
        name: VM id that it states.
        keys: Own keys, None to speak in the clear.
        server_key: Public key of the VM.
        incarnation: Number of its start.
    """

    def __init__(
        self,
        port: int,
        name: str,
        keys: KeyPair | None,
        server_key: bytes,
        incarnation: int,
    ) -> None:
        self._context = zmq.Context()
        self._sequence = 0
        self.incarnation = incarnation
        self._socket = self._context.socket(zmq.DEALER)
        self._socket.setsockopt(zmq.METADATA, f"{VM_PROPERTY}:{name}".encode())
        self._socket.setsockopt(zmq.LINGER, _LINGER_MS)
        self._socket.setsockopt(zmq.SNDHWM, 0)
        if keys is not None:
            self._socket.curve_publickey = keys.public
            self._socket.curve_secretkey = keys.private
            self._socket.curve_serverkey = server_key
        self._socket.connect(f"tcp://127.0.0.1:{port}")

    def send(self, message: Message) -> bytes:
        """Send a message as a VM would and return the frame."""
        self._sequence += 1
        data = encode_message(message)
        frame = encode_envelope(self.incarnation, self._sequence, [data])
        self.send_frame(frame)
        return frame

    def send_scrap(self, data: bytes) -> None:
        """Send bytes as a message in a good envelope."""
        self._sequence += 1
        self.send_frame(encode_envelope(self.incarnation, self._sequence, [data]))

    def send_frame(self, frame: bytes) -> None:
        """Send bytes as they are; they wait for a connection."""
        self._socket.send(frame, zmq.NOBLOCK)

    def close(self) -> None:
        """Close the connection and give up what was not sent."""
        self._context.destroy(linger=_LINGER_MS)


def fuzzed_messages(samples: list[Message], seed: int, number: int) -> list[bytes]:
    """Return encoded messages with some fields replaced or left out."""
    dice = random.Random(seed)
    found = []
    for _ in range(number):
        fields = msgspec.msgpack.decode(encode_message(dice.choice(samples)))
        for _ in range(dice.randint(1, 3)):
            position = dice.randrange(1, len(fields)) if len(fields) > 1 else 0
            fields[position] = dice.choice(_SCRAPS)
        if dice.random() < 0.2:
            del fields[dice.randrange(len(fields)) :]
        found.append(msgspec.msgpack.encode(fields))
    return found


class RecordingRelay:
    """A TCP relay to one port that keeps what the client sent.

    Args:
        port: Where it passes connections on to.
    """

    def __init__(self, port: int) -> None:
        self.recorded = b""
        self.port = 0
        self._target = port
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task] = set()

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._take, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]

    async def stop(self) -> None:
        """Close everything."""
        self._server.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _take(self, reader, writer) -> None:
        self._tasks.add(asyncio.current_task())
        onward, back = await asyncio.open_connection("127.0.0.1", self._target)
        with suppress(OSError, asyncio.CancelledError):
            await asyncio.gather(self._record(reader, back), _pump(onward, writer))
        writer.close()
        back.close()

    async def _record(self, reader, writer) -> None:
        while data := await reader.read(65536):
            self.recorded += data
            writer.write(data)
            await writer.drain()


async def _pump(reader, writer) -> None:
    while data := await reader.read(65536):
        writer.write(data)
        await writer.drain()


async def replay(port: int, data: bytes) -> bytes:
    """Send recorded bytes over a new connection; return what came back."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    answer = b""
    with suppress(OSError, TimeoutError):
        writer.write(data)
        await writer.drain()
        async with asyncio.timeout(3.0):
            while more := await reader.read(4096):
                answer += more
    writer.close()
    return answer
