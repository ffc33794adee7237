"""Steps of member.feature: several members over real sockets."""

import asyncio
import signal
import subprocess
import sys
from unittest import mock

import zmq
from behave import given, then, when

from pomelolane.membership import ClusterKeys
from pomelolane.messages import Heartbeat
from pomelolane.ports import ListedVm
from tests.membership.region import Region
from tests.membership.waiting import call, eventually, stop_at_end

DATA_CENTRE_LETTERS = "abcdef"


class FakeList:
    """A platform's list of VMs that the steps fill."""

    def __init__(self):
        self.entries = []

    async def read(self):
        """Return the current list."""
        return tuple(self.entries)


def make_region(context, layout, **options):
    context.region = Region(layout, **options)
    stop_at_end(context, context.region)
    return context.region


def layout_of(data_centres, count):
    return {
        f"dc{name}": [f"{name}{number}" for number in range(1, count + 1)]
        for name in DATA_CENTRE_LETTERS[:data_centres]
    }


def wait_for(context, condition, what):
    context.run(eventually(condition, what))


@given('members "{names}" in "{dc}" that know "{seed}" only')
def step_one_seed(context, names, dc, seed):
    region = make_region(context, {dc: names.split()})
    context.run(region.start(seeds=[seed]))


@given("a region of {data_centres:d} data centres with {count:d} members each")
@given("a region of {data_centres:d} data centre with {count:d} members each")
def step_region(context, data_centres, count):
    region = make_region(context, layout_of(data_centres, count))
    context.run(region.start())


@given(
    "a region with keys of {data_centres:d} data centres with {count:d} members each"
)
def step_region_keys(context, data_centres, count):
    layout = layout_of(data_centres, count)
    pairs = {vm: zmq.curve_keypair() for ids in layout.values() for vm in ids}
    allowed = {vm: pair[0] for vm, pair in pairs.items()}
    keys = {vm: ClusterKeys(*pair, allowed) for vm, pair in pairs.items()}
    context.run(make_region(context, layout, keys=keys).start())


@given("every member sees all running members")
@then("every member sees all running members")
def step_views_agree(context):
    wait_for(context, context.region.agree, "all views agree")


@then("each data centre has 2 delegates")
def step_delegates(context):
    region = context.region
    names = {member.data_centre for member in region.members.values()}

    def two_each():
        return all(len(region.delegates(name)) == 2 for name in names)

    wait_for(context, two_each, "two delegates each")


@when('member "{vm_id}" is killed')
def step_kill(context, vm_id):
    context.run(context.region.kill(vm_id))


@when('member "{vm_id}" starts again')
def step_start_again(context, vm_id):
    context.run(context.region.start(vm_id))


@then('every member sees "{vm_id}" with its new incarnation')
def step_new_start(context, vm_id):
    members = context.region.members
    wanted = members[vm_id].incarnation

    def all_see_it():
        peers = [member.view().peers.get(vm_id) for member in members.values()]
        return all(peer and peer.incarnation == wanted for peer in peers)

    wait_for(context, all_see_it, "the new incarnation everywhere")


@when('the first delegate of "{dc}" leaves')
def step_leave(context, dc):
    context.gone = min(context.region.delegates(dc))
    # No member ticks from here on, so only its final heartbeat can remove it.
    context.run(context.region.leave(context.gone))


@then("its neighbours have dropped it without waiting for a timeout")
def step_dropped(context):
    neighbours = [
        member
        for member in context.region.members.values()
        if member.data_centre == "dca"
    ]
    for member in neighbours:
        heartbeat = member._context.table.find(context.gone)
        assert heartbeat is None, "still there after its final heartbeat"


@when('the first delegate of "{dc}" is draining')
def step_drain(context, dc):
    context.gone = min(context.region.delegates(dc))
    call(context, context.region.members[context.gone].set_draining)


@then("every member sees it draining")
def step_sees_draining(context):
    members = context.region.members.values()

    def all_see_it():
        peers = [member.view().peers.get(context.gone) for member in members]
        return all(peer and peer.draining for peer in peers)

    wait_for(context, all_see_it, "draining everywhere")


@then("it is no delegate any more")
def step_no_delegate(context):
    region = context.region
    wait_for(
        context,
        lambda: len(region.delegates("dca") - {context.gone}) == 2,
        "two others are delegates",
    )
    assert context.gone not in region.delegates("dca")


@when('the links between "{one}" and "{other}" are set to "{mode}"')
def step_links(context, one, other, mode):
    context.run(context.region.set_between(one, other, mode))


def of_data_centre(context, name):
    members = context.region.members
    return {vm for vm, member in members.items() if member.data_centre == name}


@then('"{one}" and "{other}" don\'t see each other')
def step_apart(context, one, other):
    region = context.region
    sides = (of_data_centre(context, one), of_data_centre(context, other))

    def apart():
        return all(
            not region.sees(vm_id) & far
            for near, far in (sides, sides[::-1])
            for vm_id in near
        )

    wait_for(context, apart, "neither side sees the other")


@then('"{name}" sees all running members')
def step_one_sees(context, name):
    region = context.region
    for vm_id in of_data_centre(context, name):
        assert region.sees(vm_id) == set(region.members)


def record_missing(context, wanted, observers):
    def record(view):
        context.missing.extend(wanted - view.peers.keys())

    for vm_id in observers:
        context.region.members[vm_id].on_change(record)


@given("only delegates still hold digests received directly")
def step_only_delegates(context):
    members = context.region.members.values()

    def settled():
        return not any(
            member._exchange._direct.data_centres()
            for member in members
            if not member.is_delegate
        )

    wait_for(context, settled, "digests received directly have expired")


@when('both delegates of "dca" are draining at once')
def step_drain_both(context):
    region = context.region
    context.gone = region.delegates("dca")
    near = of_data_centre(context, "dca")
    context.missing = []
    record_missing(context, of_data_centre(context, "dcb"), near)
    for vm_id in context.gone:
        call(context, region.members[vm_id].set_draining)


@then('two others of "dca" are delegates')
def step_two_others(context):
    region = context.region

    def moved():
        now = region.delegates("dca")
        return len(now) == 2 and not now & context.gone

    wait_for(context, moved, "two others are delegates")
    transport = region.members[min(region.delegates("dca"))].transport
    wanted = transport.frames_sent + 10
    wait_for(context, lambda: transport.frames_sent > wanted, "further heartbeats")


@when('both delegates of "{dc}" are killed')
def step_kill_both(context, dc):
    region = context.region
    killed = region.delegates(dc)
    rest = of_data_centre(context, dc) - killed
    far = of_data_centre(context, "dcb")
    context.missing = []
    record_missing(context, rest, far)
    record_missing(context, far, rest)
    for vm_id in killed:
        context.run(region.kill(vm_id))


@then("no VM has left the view meanwhile")
@then('neither the rest of "dca" nor "dcb" has ever left the other\'s view')
def step_never_left(context):
    assert not context.missing, context.missing


@when('member "{vm_id}" marks endpoint "{endpoint}" as leaving with source "{source}"')
def step_mark_leaving(context, vm_id, endpoint, source):
    context.notified = []
    for name, member in context.region.members.items():
        member.on_leaving(lambda *got, name=name: context.notified.append((name, *got)))
    call(context, context.region.members[vm_id].mark_leaving, endpoint, source)


@then(
    'every member is notified once that "{endpoint}" is leaving with source "{source}"'
)
def step_notified(context, endpoint, source):
    wanted = {(name, endpoint, source) for name in context.region.members}
    wait_for(context, lambda: set(context.notified) >= wanted, "all are notified")
    assert sorted(context.notified) == sorted(wanted)


@then('every member knows that "{endpoint}" is leaving')
def step_knows(context, endpoint):
    members = context.region.members.values()
    wait_for(
        context,
        lambda: all(endpoint in each.leaving_endpoints() for each in members),
        "the mark is known everywhere",
    )


@given('members "{names}" in "{dc}" that know only the platform\'s list')
def step_by_list(context, names, dc):
    context.vm_list = FakeList()
    region = make_region(context, {dc: names.split()}, vm_list=context.vm_list)
    context.run(region.start(seeds=[]))
    for vm_id, member in region.members.items():
        entry = ListedVm(vm_id, dc, member.transport.address, False)
        context.vm_list.entries.append(entry)


@when('the platform\'s list marks endpoint "{endpoint}" as leaving')
def step_list_marks(context, endpoint):
    context.vm_list.entries.append(ListedVm(endpoint, "dca", "127.0.0.1:9", True))


async def read_list(context, vm_id):
    """Let a member send heartbeats and poll the list at the same time."""
    member = context.region.members[vm_id]
    member._send_heartbeats(member._context.clock.now_ms())
    context.contacted = []
    with mock.patch.object(
        member.transport, "send", lambda other, message: context.contacted.append(other)
    ):
        await member._list_reader._poll()


@when('"{vm_id}" polls a list that contains "{other}" just after its heartbeat')
def step_list_names(context, vm_id, other):
    context.vm_list.entries.append(ListedVm(other, "dca", "127.0.0.1:9", False))
    context.run(read_list(context, vm_id))


@when('"{vm_id}" polls the same list again')
def step_list_again(context, vm_id):
    context.run(read_list(context, vm_id))


@then('"{vm_id}" has contacted "{other}" without waiting for its next heartbeat')
def step_contacted(context, vm_id, other):
    assert context.contacted == [other], context.contacted


@then('"{vm_id}" has sent nothing more')
def step_sent_nothing(context, vm_id):
    assert context.contacted == [], context.contacted


@when('member "a1" sends a heartbeat that claims that "a2" has stopped')
def step_false_heartbeat(context):
    forged = Heartbeat("a2", 99, "dca", 1, True, True, {}, stopped=True)
    call(context, context.region.members["a1"].send, "a2", forged)
    call(context, context.region.members["a1"].send, "a1", forged)


@when("{count:d} further heartbeats have been sent")
def step_heartbeats_sent(context, count):
    region = context.region
    transport = region.members["a1"].transport
    context.frames = transport.frames_sent
    context.bytes = transport.bytes_sent
    wanted = context.frames + count * 3

    wait_for(context, lambda: transport.frames_sent >= wanted, "the heartbeats")


@then("a heartbeat to one neighbour takes at most {limit:d} bytes")
def step_bytes(context, limit):
    transport = context.region.members["a1"].transport
    frames = transport.frames_sent - context.frames
    assert (transport.bytes_sent - context.bytes) / frames <= limit


@given('a member process "{vm_id}" in the data centre of member "a1"')
def step_process(context, vm_id):
    region = make_region(context, {"dca": ["a1"]})
    context.run(region.start())
    address = region.members["a1"].transport.address
    command = [sys.executable, "-m", "tests.membership.lone_member"]
    context.child = subprocess.Popen(
        [*command, vm_id, "dca", "a1", address],
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        stderr=subprocess.DEVNULL,
        text=True,
    )
    context.add_cleanup(end_process, context.child)
    context.process_id = vm_id
    wait_for(context, lambda: vm_id in region.sees("a1"), "the process is seen")


def end_process(child):
    child.send_signal(signal.SIGCONT)
    child.kill()
    child.communicate()


@when('the process is frozen until "a1" has dropped it')
def step_freeze(context):
    context.child.send_signal(signal.SIGSTOP)
    region = context.region
    gone = lambda: context.process_id not in region.sees("a1")  # noqa: E731
    wait_for(context, gone, "the frozen process is dropped")


@when("the process is resumed")
def step_resume(context):
    context.child.send_signal(signal.SIGCONT)


@then('"a1" sees the process again')
def step_sees_again(context):
    region = context.region
    back = lambda: context.process_id in region.sees("a1")  # noqa: E731
    wait_for(context, back, "the process is seen again")


@then("the process has detected its pause")
def step_pause_detected(context):
    read = asyncio.to_thread(context.child.stdout.readline)
    line = context.run(asyncio.wait_for(read, 10.0))
    assert line.startswith("paused "), line
