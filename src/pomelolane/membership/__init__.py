"""Group membership and messaging between VMs.

The VMs of one data centre detect each other's failure by heartbeats. Each data centre
has two delegates, which send a digest (a summary of its VMs) to the delegates of the
others. Heartbeats and digests with unchanged content are replaced by pulses, which
carry only a hash. Each VM derives from them its view: the VMs, in all data centres,
that it considers alive. Marks of leaving endpoints, which get no new requests, are
sent along.

All of it is soft state: there is no consensus, no replicated log and no persistence.
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
