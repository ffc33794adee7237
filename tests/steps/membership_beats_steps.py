"""Steps of beats.feature: a member that aligns its heartbeats with another's."""

import asyncio

from behave import given, then, when
from msgspec.structs import replace

from pomelolane.clock import ManualClock
from pomelolane.membership import make_member
from pomelolane.membership.hashing import hash_of_digest, hash_of_heartbeat
from pomelolane.messages import DigestPulse, Pulse
from tests.membership.builders import digest_of, heartbeat_of
from tests.membership.waiting import call, stop_at_end


class AlignedMember:
    """A member on a manual clock, and the messages that it receives.

    Its neighbour's pulse arrives 100 ms before its own heartbeat would be due.
    """

    def __init__(self):
        self.clock = ManualClock()
        self.member = make_member("m0", "dca", 1, clock=self.clock)
        self.neighbour = heartbeat_of("m1")
        self.digests = {}

    async def run_until(self, end_ms):
        """Advance the clock to a time, one tick after the other."""
        while self.clock.now_ms() < end_ms:
            self.clock.advance(100.0)
            self._receive_from_neighbour()
            self._receive_from_delegates()
            await asyncio.sleep(0)
            self.member.tick()

    def send_digest(self, sender, names):
        """Send a digest of another data centre that lists the given VMs."""
        self.digests[sender] = digest_of("dcb", names)
        self.member.transport._deliver(sender, self.digests[sender])

    def _receive_from_delegates(self):
        if self.clock.now_ms() % 1000.0:
            return
        for sender, digest in self.digests.items():
            pulse = DigestPulse("dcb", hash_of_digest(digest))
            self.member.transport._deliver(sender, pulse)

    def _receive_from_neighbour(self):
        if self.clock.now_ms() % 500.0 != 400.0:
            return
        first = "m1" not in self.member.local_peers()
        pulse = Pulse(hash_of_heartbeat(self.neighbour))
        self.member.transport._deliver("m1", self.neighbour if first else pulse)


@given("a member that sends its heartbeats whenever its neighbour does")
def step_aligned(context):
    context.aligned = AlignedMember()
    member = context.aligned.member
    context.run(member.start())
    stop_at_end(context, member)


@given('its neighbour marks "{endpoint_id}" as leaving until {ms:d} ms')
def step_neighbour_marks(context, endpoint_id, ms):
    aligned = context.aligned
    aligned.neighbour = replace(aligned.neighbour, leaving=(endpoint_id,))
    context.run(aligned.run_until(ms))
    aligned.neighbour = replace(aligned.neighbour, leaving=())
    call(context, aligned.member.transport._deliver, "m1", aligned.neighbour)


@then('the member knows that "{endpoint_id}" is leaving at {ms:d} ms')
def step_member_knows(context, endpoint_id, ms):
    context.run(context.aligned.run_until(ms))
    assert endpoint_id in context.aligned.member.leaving_endpoints()


@then('the member does not know that "{endpoint_id}" is leaving at {ms:d} ms')
def step_member_knows_not(context, endpoint_id, ms):
    context.run(context.aligned.run_until(ms))
    assert endpoint_id not in context.aligned.member.leaving_endpoints()


@given('"b1" and "b2" are delegates of another data centre until {ms:d} ms')
def step_two_delegates(context, ms):
    call(context, context.aligned.send_digest, "b1", "b1 b2")
    call(context, context.aligned.send_digest, "b2", "b1 b2")
    context.run(context.aligned.run_until(ms))


@given('"b1" is the only delegate and lists "{names}" until {ms:d} ms')
def step_one_delegate(context, names, ms):
    call(context, context.aligned.send_digest, "b1", names)
    context.run(context.aligned.run_until(ms))


@when('"b1" falls silent and "b2" lists only itself from {ms:d} ms on')
def step_b1_silent(context, ms):
    del context.aligned.digests["b1"]
    context.run(context.aligned.run_until(ms))
    call(context, context.aligned.send_digest, "b2", "b2")


@when('"b2" lists "{names}" from {ms:d} ms on')
def step_b2_lists(context, names, ms):
    context.run(context.aligned.run_until(ms))
    call(context, context.aligned.send_digest, "b2", names)


@given('the member sees "{vm_id}" at {ms:d} ms')
@then('the member sees "{vm_id}" at {ms:d} ms')
def step_sees(context, vm_id, ms):
    context.run(context.aligned.run_until(ms))
    peers = context.aligned.member.view().peers
    assert vm_id in peers, peers


@then('the member does not see "{vm_id}" at {ms:d} ms')
def step_sees_not(context, vm_id, ms):
    context.run(context.aligned.run_until(ms))
    peers = context.aligned.member.view().peers
    assert vm_id not in peers, peers
