"""Group membership and messaging between VMs.

Covers the transport, heartbeats, digests and the view. All of it is soft state:
there is no consensus, no replicated log and no persistence.
"""

from __future__ import annotations

from pomelolane.membership.addresses import AddressBook
from pomelolane.membership.keys import ClusterKeys, cluster_keys_from_settings
from pomelolane.membership.member import Member, make_member
from pomelolane.membership.recorded import RecordedMarks
from pomelolane.membership.rendezvous import choose, choose_several, weight
from pomelolane.membership.store_reader import is_store_reader
from pomelolane.membership.transport import ZmqTransport, make_transport

__all__ = [
    "AddressBook",
    "ClusterKeys",
    "Member",
    "RecordedMarks",
    "ZmqTransport",
    "choose",
    "choose_several",
    "cluster_keys_from_settings",
    "is_store_reader",
    "make_member",
    "make_transport",
    "weight",
]
