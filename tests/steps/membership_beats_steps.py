"""Steps of beats.feature: a member that follows its neighbour's beats."""

import asyncio

from behave import given, then, when
from msgspec.structs import replace

from pomelolane.clock import ManualClock
from pomelolane.membership import make_member
from pomelolane.membership.hashing import hash_of_digest, hash_of_heartbeat
from pomelolane.messages import DigestPulse, Pulse
from tests.membership.statements import digest_of, heartbeat_of
from tests.membership.waiting import call, stop_at_end


class FollowingMember:
    """A member on a clock moved by hand, and what it hears from the others.

    Its neighbour's pulse comes 100 ms before its own beat would be due.
    """

    def __init__(self):
        self.clock = ManualClock()
        self.member = make_member("m0", "dca", 1, clock=self.clock)
        self.neighbour = heartbeat_of("m1")
        self.digests = {}

    async def run_until(self, end_ms):
        """Let time pass in steps of a tick."""
        while self.clock.now_ms() < end_ms:
            self.clock.advance(100.0)
            self._hear_neighbour()
            self._hear_delegates()
            await asyncio.sleep(0)
            self.member.tick()

    def say(self, sender, names):
        """Let a delegate say who is in its data centre."""
        self.digests[sender] = digest_of("dcb", names)
        self.member.transport._deliver(sender, self.digests[sender])

    def _hear_delegates(self):
        if self.clock.now_ms() % 1000.0:
            return
        for sender, digest in self.digests.items():
            pulse = DigestPulse("dcb", hash_of_digest(digest))
            self.member.transport._deliver(sender, pulse)

    def _hear_neighbour(self):
        if self.clock.now_ms() % 500.0 != 400.0:
            return
        first = "m1" not in self.member.local_peers()
        pulse = Pulse(hash_of_heartbeat(self.neighbour))
        self.member.transport._deliver("m1", self.neighbour if first else pulse)


@given("a member that beats whenever its neighbour does")
def step_following(context):
    context.following = FollowingMember()
    member = context.following.member
    context.run(member.start())
    stop_at_end(context, member)


@given('its neighbour marks "{endpoint_id}" as leaving until {ms:d} ms')
def step_neighbour_marks(context, endpoint_id, ms):
    following = context.following
    following.neighbour = replace(following.neighbour, leaving=(endpoint_id,))
    context.run(following.run_until(ms))
    following.neighbour = replace(following.neighbour, leaving=())
    call(context, following.member.transport._deliver, "m1", following.neighbour)


@then('the member knows that "{endpoint_id}" is leaving at {ms:d} ms')
def step_member_knows(context, endpoint_id, ms):
    context.run(context.following.run_until(ms))
    assert endpoint_id in context.following.member.leaving_endpoints()


@then('the member does not know that "{endpoint_id}" is leaving at {ms:d} ms')
def step_member_knows_not(context, endpoint_id, ms):
    context.run(context.following.run_until(ms))
    assert endpoint_id not in context.following.member.leaving_endpoints()


@given('"b1" and "b2" speak for another data centre until {ms:d} ms')
def step_speak(context, ms):
    call(context, context.following.say, "b1", "b1 b2")
    call(context, context.following.say, "b2", "b1 b2")
    context.run(context.following.run_until(ms))


@given('"b1" alone speaks for "{names}" until {ms:d} ms')
def step_speaks_alone(context, names, ms):
    call(context, context.following.say, "b1", names)
    context.run(context.following.run_until(ms))


@when('"b1" falls silent and "b2" lists itself alone from {ms:d} ms on')
def step_b1_silent(context, ms):
    del context.following.digests["b1"]
    context.run(context.following.run_until(ms))
    call(context, context.following.say, "b2", "b2")


@when('"b2" lists "{names}" from {ms:d} ms on')
def step_b2_lists(context, names, ms):
    context.run(context.following.run_until(ms))
    call(context, context.following.say, "b2", names)


@given('the member sees "{vm_id}" at {ms:d} ms')
@then('the member sees "{vm_id}" at {ms:d} ms')
def step_sees(context, vm_id, ms):
    context.run(context.following.run_until(ms))
    peers = context.following.member.view().peers
    assert vm_id in peers, peers


@then('the member does not see "{vm_id}" at {ms:d} ms')
def step_sees_not(context, vm_id, ms):
    context.run(context.following.run_until(ms))
    peers = context.following.member.view().peers
    assert vm_id not in peers, peers
