"""Authentication of VMs by CURVE keys given in the settings.

The settings list the public keys of the cluster:

* ``vm=KEY`` binds one VM id to one key, so that the sender's id is authenticated.
* A bare ``KEY`` belongs to a key pair shared by all VMs that are not listed by name.
  It only proves that its holder belongs to the cluster; the holder may claim any
  unlisted id.

The list serves both directions. ZeroMQ refuses incoming connections whose key is not
listed, and the transport checks with each frame that the key is the one required of the
VM id that the connection states. An outgoing connection succeeds only if the peer
proves that it has the private key that matches its listed public key.

One list was preferred to a certificate authority (another service to run) and to
trust on first use (VMs are replaced at any time and persist nothing).

Without keys a VM communicates unencrypted, and then over loopback addresses only.
"""

from __future__ import annotations

import ipaddress
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import zmq
from zmq.auth.asyncio import AsyncioAuthenticator
from zmq.utils import z85

from pomelolane.events import MESSAGE_REJECTED
from pomelolane.exceptions import SettingError
from pomelolane.logs import log_event

if TYPE_CHECKING:
    from collections.abc import Sequence

SHARED_KEY_NAME = "*"
"""Entry of the key list that applies to every VM not listed by name."""

UNLISTED_KEY = "key not listed"
USER_ID_PROPERTY = "User-Id"
"""Property of a received frame in which ZeroMQ states the sender's key."""

_KEY_BYTES = 32
_CLUSTER_ALLOWED = "vm=KEY for each VM, or one KEY for all others, separated by commas"


@dataclass(frozen=True, slots=True)
class ClusterKeys:
    """This VM's key pair and the public keys of the cluster, in Z85.

    Attributes:
        public_key: Own public key.
        private_key: Own private key.
        allowed: Public keys by VM id, or by :data:`SHARED_KEY_NAME`.
    """

    public_key: bytes
    private_key: bytes = field(repr=False)
    allowed: dict[str, bytes]

    def key_of(self, vm_id: str) -> bytes:
        """Return the public key required of a VM, empty if none is listed."""
        return self.allowed.get(vm_id) or self.allowed.get(SHARED_KEY_NAME, b"")


def cluster_keys_from_settings(
    private_key_hex: str, public_key_hex: str, cluster_keys: Sequence[str]
) -> ClusterKeys | None:
    """Build the keys from their three settings; None if none is given.

    Raises:
        SettingError: A setting is missing or malformed.
    """
    if not (private_key_hex or public_key_hex or cluster_keys):
        return None
    private_key = _z85_from_hex("--private-key-hex", private_key_hex)
    public_key = _z85_from_hex("--public-key-hex", public_key_hex)
    if zmq.curve_public(private_key) != public_key:
        allowed = "the public half of --private-key-hex"
        raise SettingError("--public-key-hex", public_key_hex, allowed)
    return ClusterKeys(public_key, private_key, _allowed_keys(cluster_keys))


def _allowed_keys(items: Sequence[str]) -> dict[str, bytes]:
    allowed: dict[str, bytes] = {}
    for item in items:
        name, _, key_hex = item.rpartition("=")
        name = name or SHARED_KEY_NAME
        if name in allowed:
            raise SettingError("--cluster-keys", item, _CLUSTER_ALLOWED)
        allowed[name] = _z85_from_hex("--cluster-keys", key_hex)
    if not allowed:
        raise SettingError("--cluster-keys", "", _CLUSTER_ALLOWED)
    return allowed


def _z85_from_hex(flag: str, text: str) -> bytes:
    try:
        key = bytes.fromhex(text)
    except ValueError:
        key = b""
    if len(key) != _KEY_BYTES:
        raise SettingError(flag, "(hidden)", "a key of 64 hex digits")
    return z85.encode(key)


def is_loopback(host: str) -> bool:
    """Return whether a host is a loopback IP address."""
    try:
        return ipaddress.ip_address(host).is_loopback
    except ValueError:
        return False


class KeyAuthenticator(AsyncioAuthenticator):
    """Handles ZeroMQ's authentication requests on the event loop.

    Args:
        context: ZeroMQ context whose server sockets are protected.
        keys: The cluster's keys.
    """

    def __init__(self, context: zmq.Context, keys: ClusterKeys) -> None:
        super().__init__(context)
        self._listed = frozenset(keys.allowed.values())
        self.refused = 0
        self.configure_curve_callback("*", self)

    def callback(self, domain: str, key: bytes) -> bool:
        """Return whether the key is listed; PyZMQ prescribes the method's name."""
        del domain
        if key in self._listed:
            return True
        self.refused += 1
        log_event(MESSAGE_REJECTED, peer=key.decode(), error=UNLISTED_KEY)
        return False
