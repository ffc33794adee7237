"""Builders of heartbeats and digests for the steps."""

from pomelolane.messages import Digest, Heartbeat, MemberState


def heartbeat_of(vm_id, incarnation=2):
    return Heartbeat(vm_id, incarnation, "dca", 1, True, False, {})


def digest_of(data_centre, members):
    states = tuple(MemberState(each, 1, True, False, "") for each in members.split())
    return Digest(data_centre, 0, states, {})
