"""Messages between VMs over ZeroMQ, on the process's one event loop.

Each VM binds a ROUTER socket that it only reads from, and connects to each peer a
DEALER socket that it only writes to. A reply is sent over the replying VM's own DEALER
socket.
"""

from __future__ import annotations

import asyncio
from collections import Counter, defaultdict
from typing import TYPE_CHECKING

import zmq

from pomelolane.clock import MonotonicClock
from pomelolane.events import MESSAGE_REJECTED, TASK_FAILED
from pomelolane.exceptions import SettingError, TransportError
from pomelolane.logs import log_event
from pomelolane.membership.addresses import AddressBook
from pomelolane.membership.envelope import ReplayGuard, decode_envelope
from pomelolane.membership.keys import (
    UNLISTED_KEY,
    USER_ID_PROPERTY,
    KeyAuthenticator,
    is_loopback,
)
from pomelolane.membership.links import VM_PROPERTY, Link
from pomelolane.messages import SENT_ALONE, decode_message, encode_message

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping, Sequence

    from pomelolane.addresses import Seed
    from pomelolane.membership.keys import ClusterKeys
    from pomelolane.messages import Message
    from pomelolane.ports import Clock

MAX_FRAME_BYTES = 16 * 1024 * 1024
MAX_READ_BATCH = 256
RECEIVE_HIGH_WATER_MARK = 10_000
NOT_LOOPBACK = "no cluster keys are set and the address is not a loopback address"
UNENCRYPTED_ALLOWED = "a loopback address unless cluster keys are set"


class ZmqTransport:
    """The :class:`~pomelolane.ports.Transport` between processes.

    Args:
        vm_id: Id of this VM.
        incarnation: Number of this start of the VM.
        host: Address to listen on.
        port: Port to listen on, 0 for any free one.
        addresses: Addresses of peers.
        keys: CURVE keys, None for unencrypted messages over loopback.
        clock: Time source.
    """

    def __init__(
        self,
        vm_id: str,
        incarnation: int,
        host: str,
        port: int,
        addresses: AddressBook,
        keys: ClusterKeys | None,
        clock: Clock,
    ) -> None:
        self.vm_id = vm_id
        self.incarnation = incarnation
        self.addresses = addresses
        self.port = port
        self.rejected = 0
        self.handler_errors = 0
        self.last_rejection = ""
        self.bytes_received = 0
        self.frames_received = 0
        self.bytes_sent_by_kind: Counter[str] = Counter()
        self._host = host
        self._keys = keys
        self._clock = clock
        self._replay_guard = ReplayGuard(clock)
        self._handlers: dict[type[Message], list[Callable]] = defaultdict(list)
        self._links: dict[str, Link] = {}
        self._closed_bytes = 0
        self._closed_frames = 0
        self._closed_dropped = 0
        self._context: zmq.Context | None = None
        self._router: zmq.Socket | None = None
        self._authenticator: KeyAuthenticator | None = None

    @property
    def address(self) -> str:
        """``ip:port`` on which this VM listens."""
        return f"{self._host}:{self.port}"

    @property
    def bytes_sent(self) -> int:
        """Payload bytes handed to ZeroMQ, envelopes included."""
        return self._closed_bytes + sum(x.bytes_sent for x in self._links.values())

    @property
    def frames_sent(self) -> int:
        """Frames handed to ZeroMQ."""
        return self._closed_frames + sum(x.frames_sent for x in self._links.values())

    @property
    def unlisted_keys_refused(self) -> int:
        """Connections refused because their key is not listed."""
        return self._authenticator.refused if self._authenticator else 0

    @property
    def messages_dropped(self) -> int:
        """Messages that waited too long for a connection."""
        links = self._links.values()
        return self._closed_dropped + sum(x.messages_dropped for x in links)

    async def start(self) -> None:
        """Listen; ``port`` then holds the port in use.

        Raises:
            SettingError: The address is not allowed or in use.
        """
        if self._keys is None and not is_loopback(self._host):
            raise SettingError("--host", self._host, UNENCRYPTED_ALLOWED)
        self._context = zmq.Context()
        if self._keys is not None:
            self._authenticator = KeyAuthenticator(self._context, self._keys)
            self._authenticator.start()
        self._router = self._bind()
        loop = asyncio.get_running_loop()
        loop.add_reader(self._router.getsockopt(zmq.FD), self._read_ready)
        loop.call_soon(self._read_ready)

    async def stop(self) -> None:
        """Close all sockets after a short attempt to send queued messages."""
        for vm_id in list(self._links):
            self.disconnect(vm_id)
        if self._router is not None:
            fd = self._router.getsockopt(zmq.FD)
            asyncio.get_running_loop().remove_reader(fd)
            self._router.close(linger=0)
            self._router = None
        if self._authenticator is not None:
            self._authenticator.stop()
            self._authenticator = None
        if self._context is not None:
            self._context.destroy()
            self._context = None

    def send(self, vm_id: str, message: Message) -> bool:
        """Queue a message without blocking; return whether it was queued.

        A message to this VM itself is delivered locally.
        """
        if vm_id == self.vm_id:
            loop = asyncio.get_running_loop()
            loop.call_soon(self._deliver, vm_id, message)
            return True
        link = self._link_to(vm_id)
        if link is None:
            return False
        data = encode_message(message)
        if not link.put(data, alone=isinstance(message, SENT_ALONE)):
            return False
        self.bytes_sent_by_kind[type(message).__name__] += len(data)
        return True

    def subscribe(
        self, kind: type[Message], handler: Callable[[str, Message], None]
    ) -> None:
        """Call ``handler(sender_vm_id, message)`` for each message of a class."""
        self._handlers[kind].append(handler)

    def disconnect(self, vm_id: str) -> None:
        """Close the link to a VM; the next message opens a new one."""
        link = self._links.pop(vm_id, None)
        if link is not None:
            self._closed_bytes += link.bytes_sent
            self._closed_frames += link.frames_sent
            self._closed_dropped += link.messages_dropped
            link.close()

    def forget_silent(self) -> None:
        """Drop the replay records of senders that have long been silent."""
        self._replay_guard.forget_silent()

    def _bind(self) -> zmq.Socket:
        router = self._context.socket(zmq.ROUTER)
        router.setsockopt(zmq.RCVHWM, RECEIVE_HIGH_WATER_MARK)
        router.setsockopt(zmq.MAXMSGSIZE, MAX_FRAME_BYTES)
        router.setsockopt(zmq.LINGER, 0)
        if self._keys is not None:
            router.curve_server = True
            router.curve_publickey = self._keys.public_key
            router.curve_secretkey = self._keys.private_key
        try:
            router.bind(f"tcp://{self._host}:{self.port or '*'}")
        except zmq.ZMQError as error:
            raise SettingError("--peer-port", self.port, str(error)) from error
        endpoint = router.getsockopt_string(zmq.LAST_ENDPOINT)
        self.port = int(endpoint.rpartition(":")[2])
        return router

    def _link_to(self, vm_id: str) -> Link | None:
        address = self.addresses.find(vm_id)
        link = self._links.get(vm_id)
        if link is not None and link.address == address:
            return link
        self.disconnect(vm_id)
        if not address or self._context is None:
            return None
        link = self._open_link(vm_id, address)
        if link is not None:
            self._links[vm_id] = link
        return link

    def _open_link(self, vm_id: str, address: str) -> Link | None:
        server_key = self._keys.key_of(vm_id) if self._keys else b""
        if self._keys is not None and not server_key:
            self._reject(vm_id, UNLISTED_KEY)
            return None
        if self._keys is None and not is_loopback(address.rpartition(":")[0]):
            self._reject(vm_id, NOT_LOOPBACK)
            return None
        return Link(
            self._context,
            self.vm_id,
            self.incarnation,
            address,
            self._keys,
            server_key,
            self._clock,
        )

    def _read_ready(self) -> None:
        # The socket's descriptor is edge-triggered, so the socket is read until empty;
        # a long backlog yields to other event loop work in between.
        for _ in range(MAX_READ_BATCH):
            router = self._router
            if router is None or not router.getsockopt(zmq.EVENTS) & zmq.POLLIN:
                return
            self._receive(router.recv_multipart(zmq.NOBLOCK, copy=False))
        asyncio.get_running_loop().call_soon(self._read_ready)

    def _receive(self, frames: list[zmq.Frame]) -> None:
        frame = frames[-1]
        self.frames_received += 1
        self.bytes_received += len(frame)
        sender = _property(frame, VM_PROPERTY)
        try:
            self._check_sender(sender, frame)
            envelope = decode_envelope(frame.buffer)
            self._replay_guard.admit(sender, envelope)
        except TransportError as error:
            self._reject(sender, str(error))
            return
        for raw in envelope.messages:
            # A message of a later version must not take the others of its frame along.
            try:
                message = decode_message(raw)
            except TransportError as error:
                self._reject(sender, str(error))
            else:
                self._deliver(sender, message)

    def _check_sender(self, sender: str, frame: zmq.Frame) -> None:
        if not sender:
            raise TransportError("the connection does not state its VM id")
        if self._keys is None:
            return
        key = _property(frame, USER_ID_PROPERTY)
        if self._keys.key_of(sender).decode() != key:
            raise TransportError("the key is not the stated sender's")

    def _deliver(self, sender: str, message: Message) -> None:
        for handler in self._handlers.get(type(message), ()):
            try:
                handler(sender, message)
            except Exception as error:
                # An error in one handler must not keep messages from the others.
                self.handler_errors += 1
                name = getattr(handler, "__qualname__", repr(handler))
                log_event(TASK_FAILED, task=name, error=repr(error))

    def _reject(self, peer: str, error: str) -> None:
        self.rejected += 1
        self.last_rejection = error
        log_event(MESSAGE_REJECTED, peer=peer, error=error)


def _property(frame: zmq.Frame, name: str) -> str:
    try:
        return str(frame.get(name))
    except (zmq.ZMQError, UnicodeDecodeError):
        return ""


def make_transport(
    vm_id: str,
    incarnation: int,
    *,
    host: str = "127.0.0.1",
    port: int = 0,
    seeds: Sequence[Seed] = (),
    address_map: Mapping[str, str] | None = None,
    keys: ClusterKeys | None = None,
    clock: Clock | None = None,
) -> ZmqTransport:
    """Build the transport of one VM; call ``start()`` before sending."""
    book = AddressBook(seeds, address_map)
    used_clock = clock or MonotonicClock()
    return ZmqTransport(vm_id, incarnation, host, port, book, keys, used_clock)
