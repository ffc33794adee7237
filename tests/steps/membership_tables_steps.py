"""Steps of tables.feature: membership tables on a manual clock."""

import asyncio

from behave import given, then, when

from pomelolane.addresses import Seed
from pomelolane.clock import ManualClock
from pomelolane.membership import AddressBook, choose, make_member, viewlog
from pomelolane.membership.contacts import Contacts
from pomelolane.membership.digests import DigestTable
from pomelolane.membership.heartbeat import HeartbeatTable
from pomelolane.membership.leaving_marks import LeavingMarks
from pomelolane.membership.remote_members import RemoteMembers
from pomelolane.membership.viewlog import ViewLog
from pomelolane.ports import Peer, View
from tests.membership.builders import digest_of, heartbeat_of
from tests.membership.waiting import stop_at_end


@given('a table with heartbeats of "x" at 0 ms and of "y" at 500 ms')
def step_table(context):
    context.heartbeats = HeartbeatTable()
    assert context.heartbeats.put(heartbeat_of("x"), 0.0)
    assert context.heartbeats.put(heartbeat_of("y"), 500.0)


@when("the table expires at {now:d} ms")
def step_expire(context, now):
    assert context.heartbeats.expire(1600.0) == {}
    context.silent = context.heartbeats.expire(float(now))


@then('the table holds only "y"')
def step_only_y(context):
    assert list(context.silent) == ["x"]
    assert [each.vm_id for each in context.heartbeats.heartbeats()] == ["y"]


@when('a heartbeat of an earlier start of "x" arrives')
def step_earlier(context):
    assert not context.heartbeats.put(heartbeat_of("x", 1), 600.0)


@then('the table still holds the later start of "x"')
def step_later(context):
    assert context.heartbeats.find("x").incarnation == 2


@then('a pulse of "x" with another hash is not known')
def step_other_hash(context):
    assert not context.heartbeats.confirm("x", -1, 600.0)


@then('a pulse of "z" is not known')
def step_unknown(context):
    assert not context.heartbeats.confirm("z", 1, 600.0)
    assert context.heartbeats.find("z") is None


@given('digests of "{dc}" by "b1" with "{first}" and by "b2" with "{second}"')
def step_digests(context, dc, first, second):
    context.digests = DigestTable(from_members=True)
    context.digests.put("b1", digest_of(dc, first), 0.0)
    context.digests.put("b2", digest_of(dc, second), 0.0)


@when('"b2" sends a digest of "{dc}" with "{members}" at {now:d} ms')
def step_send_digest(context, now, dc, members):
    context.digests.put("b2", digest_of(dc, members), float(now))


@then('the digests expired at {now:d} ms hold "{members}"')
def step_hold(context, now, members):
    context.digests.expire(float(now))
    states = context.digests.merged("dcb").digest.members
    assert [state.vm_id for state in states] == members.split()


@then("the digests expired at {now:d} ms hold nothing")
def step_hold_nothing(context, now):
    context.digests.expire(float(now))
    assert context.digests.merged("dcb") is None
    assert not context.digests.data_centres()


@given("an endpoint marked as leaving by another VM at 0 ms")
def step_mark(context):
    context.marks = LeavingMarks()
    assert context.marks.refresh(("e",), 0.0) == ("e",)
    assert context.marks.refresh(("e",), 0.0) == ()


@then("the mark holds at {first:d} ms and is over at {second:d} ms")
def step_mark_ends(context, first, second):
    assert context.marks.expire(float(first)) == ()
    assert context.marks.known == {"e"}
    assert context.marks.expire(float(second)) == ("e",)
    assert not context.marks.known


@given("{count:d} keys spread over {candidates:d} candidates by rendezvous hashing")
def step_spread(context, count, candidates):
    context.candidates = [f"vm{number}" for number in range(candidates)]
    context.rendezvous_keys = [f"key{number}" for number in range(count)]
    context.before = spread(context)


def spread(context):
    return {key: choose(key, context.candidates) for key in context.rendezvous_keys}


@when("a candidate is removed")
def step_candidate_goes(context):
    context.gone = context.candidates.pop(4)
    context.after = spread(context)


@then("only the keys assigned to it are reassigned")
def step_moved(context):
    before, after = context.before, context.after
    moved = {key for key in before if before[key] != after[key]}
    assert moved == {key for key in before if before[key] == context.gone}


@then("no candidate holds more than a quarter of the keys")
def step_even(context):
    holders = list(context.after.values())
    most = max(holders.count(each) for each in context.candidates)
    assert most <= len(holders) / 4


@given("two members in one data centre with manual clocks")
def step_two(context):
    context.clocks = [ManualClock(), ManualClock()]
    context.pair = []
    for number, clock in enumerate(context.clocks):
        member = make_member(f"m{number}", "dca", 1, clock=clock)
        # Starts the transport alone, so that only the steps call tick().
        context.run(member.transport.start())
        stop_at_end(context, member.transport)
        context.pair.append(member)
    for one, other in (context.pair, context.pair[::-1]):
        one.transport.addresses.learn(other.vm_id, other.transport.address)
        one._context.contacts.learn(other.vm_id, "dca", other.transport.address, 0.0)
    context.run(exchange(context, lambda: all_see(context)))


def all_see(context):
    return all(len(member.view().peers) == 2 for member in context.pair)


async def exchange(context, condition):
    """Advance both clocks and tick both members until a condition holds."""
    for _ in range(200):
        for member, clock in zip(context.pair, context.clocks, strict=True):
            clock.advance(100.0)
            member.tick()
        await asyncio.sleep(0.01)
        if condition():
            return
    raise AssertionError("the condition did not hold after 200 ticks")


async def move_first(context, by_ms):
    context.clocks[0].advance(by_ms)
    context.pair[0].tick()


@when("the first one's clock jumps by {gap:d} ms")
def step_jump(context, gap):
    context.paused = []
    context.pair[0].on_pause(context.paused.append)
    context.run(move_first(context, float(gap)))


@then("the first one is stale and still holds its view")
def step_stale(context):
    first = context.pair[0]
    assert first.is_stale
    assert len(context.paused) == 1
    assert context.paused[0] >= 5000.0
    assert set(first.view().peers) == {"m0", "m1"}


@when("it has heard the other one again")
def step_heard(context):
    first = context.pair[0]
    context.run(exchange(context, lambda: not first.is_stale))


@then("the first one is not stale and holds its view")
def step_recovered(context):
    assert not context.pair[0].is_stale
    assert set(context.pair[0].view().peers) == {"m0", "m1"}


@when("the other one stays silent for {gap:d} ms more")
def step_silent(context, gap):
    for _ in range(gap // 100):
        context.run(move_first(context, 100.0))


@then("the first one is not stale and sees only itself")
def step_alone(context):
    assert not context.pair[0].is_stale
    assert set(context.pair[0].view().peers) == {"m0"}


@given("a contact from the platform's list and a seed")
def step_contacts(context):
    seeds = (Seed("seed", "dca", "127.0.0.1:1"),)
    context.contacts = Contacts("me", seeds, AddressBook(seeds))
    context.contacts.learn("other", "dca", "127.0.0.1:2", 0.0, certain=False)


@when("contacts are probed for {seconds:d} seconds")
def step_probe(context, seconds):
    context.probed = []
    for now_ms in range(0, seconds * 1000, 500):
        context.probed += context.contacts.due_probes("dca", (), 10, float(now_ms))


@then("the seed was probed {seed:d} times and the other {other:d} times")
def step_probed(context, seed, other):
    assert context.probed.count("seed") == seed
    assert context.probed.count("other") == other, context.probed.count("other")


def peers_of(names, data_centre="dcb"):
    return {name: Peer(name, 1, data_centre, "") for name in names}


@given('VMs "{names}" of another data centre, last listed at {ms:d} ms')
def step_remote(context, names, ms):
    context.remote = RemoteMembers()
    context.digests = DigestTable(from_members=True)
    context.digests.put("b1", digest_of("dcb", names), float(ms))
    context.listed, context.data_centres = peers_of(names.split()), {"dcb"}
    known_at(context, ms)


def known_at(context, ms, gone=()):
    listed_ms = context.digests.last_listed_ms()
    return context.remote.update(
        context.listed, listed_ms, context.data_centres, gone, float(ms)
    )


@when('"{names}" alone is listed from {ms:d} ms on')
def step_listed(context, names, ms):
    context.digests.put("b2", digest_of("dcb", names), float(ms))
    context.digests.keep_sources("dcb", ["b2"])
    context.listed = peers_of(names.split())


@when("no VM is listed from {ms:d} ms on")
def step_none_listed(context, ms):
    context.listed = {}


@when("there is no digest of their data centre from {ms:d} ms on")
def step_no_digest(context, ms):
    context.listed, context.data_centres = {}, set()


@when('the source that listed "{before}" lists "{names}" at {ms:d} ms')
def step_unlisted(context, before, names, ms):
    context.digests.put("b1", digest_of("dcb", names), float(ms))
    context.listed = peers_of(names.split())
    gone = context.digests.pop_unlisted()
    assert gone == set(before.split()) - set(names.split())
    known_at(context, ms, gone)


@when('"b1" falls silent and "b2" lists "{names}" until {ms:d} ms')
def step_delegate_dies(context, names, ms):
    for now_ms in range(1000, ms, 500):
        context.digests.put("b2", digest_of("dcb", names), float(now_ms))
        context.digests.expire(float(now_ms))
        merged = context.digests.merged("dcb").digest
        context.listed = peers_of([state.vm_id for state in merged.members])
        known_at(context, now_ms, context.digests.pop_unlisted())


@then('the VMs known at {ms:d} ms are "{names}"')
def step_known(context, ms, names):
    known = known_at(context, ms)
    assert set(known) == set(names.split()), known


@then('the VMs known at {ms:d} ms are ""')
def step_none_known(context, ms):
    assert not known_at(context, ms)


class LoggedLines:
    """A view and the log lines that its changes cause."""

    def __init__(self, context):
        self.lines = []
        self.log = ViewLog()
        self.view = View(1, {})
        context.add_cleanup(setattr, viewlog, "log_event", viewlog.log_event)
        viewlog.log_event = lambda event, **values: self.lines.append(values)

    def change(self, peers, now_ms):
        after = View(self.view.number + 1, peers)
        self.log.record(self.view, after, {}, now_ms)
        self.log.flush(now_ms)
        self.view = after


@when('40 VMs of "dcb" and 30 of "dcc" join a view one after the other in 450 ms')
def step_join(context):
    context.logged = LoggedLines(context)
    peers = {}
    for number in range(40):
        peers = peers | peers_of([f"b{number}"])
        if number < 30:
            peers = peers | peers_of([f"c{number}"], "dcc")
        context.logged.change(peers, number * 450 / 40)


@when("a VM leaves the view and is back {ms:d} ms later")
def step_leaves_and_returns(context, ms):
    context.logged = logged = LoggedLines(context)
    logged.view = View(1, peers_of(["b1", "b2"]))
    logged.change(peers_of(["b1"]), 0.0)
    logged.change(peers_of(["b1", "b2"]), float(ms))


@when("a VM in the view is restarted")
def step_started_again(context):
    context.logged = logged = LoggedLines(context)
    logged.view = View(1, peers_of(["b1"]))
    logged.change({"b1": Peer("b1", 2, "dcb", "")}, 0.0)


@then(
    "{count:d} lines are logged within {ms:d} ms, one of {one:d} and one of {two:d} VMs"
)
def step_lines(context, count, ms, one, two):
    context.logged.log.flush(float(ms))
    assert [line["count"] for line in context.logged.lines] == [one, two]
    assert len(context.logged.lines) == count


@then("1 line is logged within {ms:d} ms, of 1 VM")
def step_line(context, ms):
    context.logged.log.flush(float(ms))
    assert [line["count"] for line in context.logged.lines] == [1]


@then("no line is logged within {ms:d} ms")
def step_no_line(context, ms):
    context.logged.log.flush(float(ms))
    assert context.logged.lines == []
