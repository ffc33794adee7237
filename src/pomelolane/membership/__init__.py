"""Who is alive and how VMs talk: transport, heartbeats, digests, the view.

Everything here is soft state; nothing is voted on, logged or kept.
"""

from __future__ import annotations

from pomelolane.membership.addresses import (
    AddressBook,
    Seed,
    address_map_from_flag,
    seeds_from_flag,
)
from pomelolane.membership.keys import ClusterKeys, cluster_keys_from_flags
from pomelolane.membership.transport import ZmqTransport, make_transport

__all__ = [
    "AddressBook",
    "ClusterKeys",
    "Seed",
    "ZmqTransport",
    "address_map_from_flag",
    "cluster_keys_from_flags",
    "make_transport",
    "seeds_from_flag",
]
