"""Outgoing connection to another VM, with its send queue.

Messages queued in one iteration of the event loop are sent in one frame.
"""

from __future__ import annotations

import asyncio
from collections import deque
from typing import TYPE_CHECKING

import zmq

from pomelolane.membership.envelope import encode_envelope

if TYPE_CHECKING:
    from pomelolane.membership.keys import ClusterKeys
    from pomelolane.ports import Clock

MAX_QUEUED_MESSAGES = 1000
MAX_BATCH_MESSAGES = 64
MAX_BATCH_BYTES = 256 * 1024
MAX_QUEUE_TIME_MS = 1000.0
FLUSH_RETRY_S = 0.02
RECONNECT_MS = 100
RECONNECT_MAX_MS = 400
UNACKNOWLEDGED_MAX_MS = 2000
HANDSHAKE_MAX_MS = 2000
CLOSE_LINGER_MS = 200
SEND_HIGH_WATER_MARK = 16
VM_PROPERTY = "X-Vm"
"""Connection property that carries the connecting VM's id."""


class Link:
    """A write-only DEALER socket to one VM.

    The queue is held here and ZeroMQ's own is short, so that messages that waited too
    long are dropped instead of arriving late after a network partition.

    Args:
        context: ZeroMQ context.
        vm_id: This VM's id, sent in the handshake.
        incarnation: Number of this VM's start.
        address: The peer's ``ip:port``.
        keys: Keys of this VM and the cluster, None for an unencrypted connection.
        server_key: Public key that the peer must hold.
        clock: Time source.
    """

    def __init__(
        self,
        context: zmq.Context,
        vm_id: str,
        incarnation: int,
        address: str,
        keys: ClusterKeys | None,
        server_key: bytes,
        clock: Clock,
    ) -> None:
        self.address = address
        self.bytes_sent = 0
        self.frames_sent = 0
        self.messages_dropped = 0
        self._incarnation = incarnation
        self._clock = clock
        self._sequence = 0
        # When it was queued, the encoded message, and whether it is sent alone.
        self._queue: deque[tuple[float, bytes, bool]] = deque()
        self._flush_handle: asyncio.Handle | None = None
        self._socket = _open_socket(context, vm_id, keys, server_key)
        self._socket.connect(f"tcp://{address}")

    def put(self, data: bytes, *, alone: bool = False) -> bool:
        """Queue an encoded message; return False if the queue is full.

        Args:
            data: The message.
            alone: Whether its frame must contain no other message.
        """
        if len(self._queue) >= MAX_QUEUED_MESSAGES:
            self._drop_overdue()
        if len(self._queue) >= MAX_QUEUED_MESSAGES:
            return False
        self._queue.append((self._clock.now_ms(), data, alone))
        if self._flush_handle is None:
            self._flush_handle = asyncio.get_running_loop().call_soon(self._flush)
        return True

    def close(self) -> None:
        """Send queued messages as far as possible without blocking, then close."""
        if self._flush_handle is not None:
            self._flush_handle.cancel()
        while self._queue and self._send_batch():
            pass
        self._queue.clear()
        self._socket.close()

    def _flush(self) -> None:
        self._flush_handle = None
        self._drop_overdue()
        while self._queue:
            if not self._send_batch():
                loop = asyncio.get_running_loop()
                self._flush_handle = loop.call_later(FLUSH_RETRY_S, self._flush)
                return

    def _send_batch(self) -> bool:
        batch = self._next_batch()
        frame = encode_envelope(self._incarnation, self._sequence + 1, batch)
        try:
            self._socket.send(frame, zmq.NOBLOCK)
        except zmq.Again:
            return False
        self._sequence += 1
        self.bytes_sent += len(frame)
        self.frames_sent += 1
        for _ in batch:
            self._queue.popleft()
        return True

    def _next_batch(self) -> list[bytes]:
        batch: list[bytes] = []
        size = 0
        for _, data, alone in self._queue:
            size += len(data)
            is_full = size > MAX_BATCH_BYTES or len(batch) >= MAX_BATCH_MESSAGES
            if batch and (is_full or alone):
                break
            batch.append(data)
            if alone:
                break
        return batch

    def _drop_overdue(self) -> None:
        limit_ms = self._clock.now_ms() - MAX_QUEUE_TIME_MS
        while self._queue and self._queue[0][0] < limit_ms:
            self._queue.popleft()
            self.messages_dropped += 1


def _open_socket(
    context: zmq.Context, vm_id: str, keys: ClusterKeys | None, server_key: bytes
) -> zmq.Socket:
    socket = context.socket(zmq.DEALER)
    socket.setsockopt(zmq.METADATA, f"{VM_PROPERTY}:{vm_id}".encode())
    socket.setsockopt(zmq.LINGER, CLOSE_LINGER_MS)
    # Without IMMEDIATE, ZeroMQ would queue messages for a peer before it is connected.
    socket.setsockopt(zmq.IMMEDIATE, 1)
    socket.setsockopt(zmq.SNDHWM, SEND_HIGH_WATER_MARK)
    socket.setsockopt(zmq.RECONNECT_IVL, RECONNECT_MS)
    socket.setsockopt(zmq.RECONNECT_IVL_MAX, RECONNECT_MAX_MS)
    socket.setsockopt(zmq.TCP_MAXRT, UNACKNOWLEDGED_MAX_MS)
    socket.setsockopt(zmq.HANDSHAKE_IVL, HANDSHAKE_MAX_MS)
    if keys is not None:
        socket.curve_publickey = keys.public_key
        socket.curve_secretkey = keys.private_key
        socket.curve_serverkey = server_key
    return socket
