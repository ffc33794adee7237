"""Steps of tests/platform/sharing.feature: watches over a network in memory."""

import asyncio
import json
import random
import time
from dataclasses import replace

from behave import given, then, when

from bench.processes import wait_until
from pomelolane.clock import MonotonicClock
from pomelolane.forwarding import CurrentConfiguration, EndpointDirectory
from pomelolane.messages import ChangesWanted, RecordChange, WatchedChanges
from pomelolane.platform.configurationwatch import ConfigurationWatch
from pomelolane.platform.documents import LimitWindow
from pomelolane.platform.endpointwatch import EndpointWatch
from pomelolane.platform.errors import StoreUnavailableError
from pomelolane.platform.seriespace import SeriesPace
from pomelolane.platform.sharing import size_of_news
from pomelolane.platform.storeclient import StoreClient, StoredRow
from pomelolane.ports import Peer, View
from standins.routed import MetadataStore, RoutedEndpoint
from standins.routed.endpoint import registered
from standins.routed.store import Trouble
from tests.routed_world import DATA_CENTRE, configuration

APPLY_MS = 2000
"""Tightest time in which a configuration must be in force."""


class Network:
    """Carries messages between VMs, and says who is alive."""

    def __init__(self, data_centres):
        self.loses = False
        self.delay_s = 0.0
        self.passed_bytes = 0
        self.handlers = {name: [] for name in data_centres}
        self.peers = {
            name: Peer(name, 1, data_centre, "", ready=True)
            for name, data_centre in data_centres.items()
        }

    def view(self):
        return View(1, dict(self.peers))


class Port:
    """One VM's transport."""

    def __init__(self, network, name):
        self.network, self.name = network, name
        self.asked = []

    def subscribe(self, kind, handler):
        self.network.handlers[self.name].append((kind, handler))

    def send(self, vm_id, message):
        if isinstance(message, ChangesWanted):
            self.asked.append(message)
        if self.network.loses:
            return False
        if isinstance(message, WatchedChanges):
            self.network.passed_bytes += size_of_news(message)
        for kind, handler in self.network.handlers[vm_id]:
            if isinstance(message, kind):
                loop = asyncio.get_running_loop()
                loop.call_later(self.network.delay_s, handler, self.name, message)
        return True


class Vm:
    """A VM's watch of the endpoints."""

    def __init__(self, name, address, network, link_mbps):
        clock = MonotonicClock()
        self.client = StoreClient(address)
        self.current = CurrentConfiguration()
        self.directory = EndpointDirectory(clock)
        self.watch = EndpointWatch(self.client, self.directory, self.current, clock)
        data_centre = network.peers[name].data_centre
        self.port = Port(network, name)
        self.watch.share(name, data_centre, network, self.port)
        self.configurations = ConfigurationWatch(
            self.client,
            self.current,
            clock,
            LimitWindow(),
            SeriesPace(APPLY_MS, link_mbps),
        )
        self.configurations.share(name, data_centre, network, Port(network, name))

    def leaving(self):
        return {n for n, one in self.directory.all.items() if one.leaving}


def put(context, name, state):
    endpoint = RoutedEndpoint(name)
    row = registered(endpoint, "portal", "127.0.0.1:1", DATA_CENTRE, state)
    context.store.put("servers", name, row)


@given('a metadata store and the VMs "a" and "b" of one data centre that watch it')
def step_vms(context):
    _start_vms(context, {"a": DATA_CENTRE, "b": DATA_CENTRE})


@given("a metadata store and these VMs that watch it")
def step_more_vms(context):
    _start_vms(context, {row["VM"]: row["data centre"] for row in context.table})


@given(
    "a metadata store and {n:d} VMs of one data centre, with links of {mbps:d} Mbit/s"
)
def step_slow_links(context, n, mbps):
    _start_vms(context, {f"vm-{i}": DATA_CENTRE for i in range(n)}, mbps)


def _start_vms(context, data_centres, link_mbps=1000.0):
    context.store = MetadataStore()
    address = context.run(context.store.start())
    context.add_cleanup(lambda: context.run(context.store.aclose()))
    put(context, "p1", "ready")
    context.store.put("op", "config", configuration(1))
    context.network = Network(data_centres)
    context.vms = {
        name: Vm(name, address, context.network, link_mbps) for name in data_centres
    }
    tasks = [
        context.loop.create_task(run())
        for vm in context.vms.values()
        for watch in (vm.watch, vm.configurations)
        for run in (watch.run, watch.ask_others)
    ]
    context.add_cleanup(lambda: context.run(end(context.vms.values(), tasks)))
    for vm in context.vms.values():
        context.run(asyncio.wait_for(vm.directory.wait_until_known(), 5))


async def end(vms, tasks):
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    for vm in vms:
        vm.client.close()


@when('endpoint "{name}" is said to be draining')
def step_draining(context, name):
    put(context, name, "draining")


@when('endpoint "{name}" registers with a start of 10 to the 30th')
def step_odd_start(context, name):
    endpoint = RoutedEndpoint(name)
    row = registered(endpoint, "portal", "127.0.0.1:1", DATA_CENTRE, born_ms=10**30)
    context.store.put("servers", name, row)
    # All VMs have read it then.
    context.run(asyncio.sleep(APPLY_MS / 1000))


@when('endpoint "{name}" is deleted')
def step_deleted(context, name):
    context.store.delete("servers", name)


@when('"{name}" reads the list and the answer is on its way')
def step_late_answer(context, name):
    vm = context.vms[name]
    changes = vm.client.changes
    context.arrival = context.loop.create_future()
    is_answered = asyncio.Event()

    async def late(table, after, wait_ms):
        snapshot = await changes(table, after, wait_ms)
        if table == "servers" and not context.arrival.done():
            is_answered.set()
            await context.arrival
        return snapshot

    vm.client.changes = late
    # The heartbeat that the answer holds.
    put(context, "p1", "ready")
    context.loop.create_task(vm.directory.refresh(50))
    context.run(asyncio.wait_for(is_answered.wait(), 1))


@when('the answer arrives at "{name}" after {ms:d} ms')
def step_arrives_late(context, name, ms):
    context.run(asyncio.sleep(ms / 1000))
    step_arrives(context, name)


@when('the answer arrives at "{name}"')
def step_arrives(context, name):
    del name
    context.arrival.set_result(None)


def _is_usable(vm, endpoint):
    return vm.directory.usable(endpoint) is not None


@then('"{name}" knows within {ms:d} ms that "{endpoint}" takes nothing more')
def step_not_usable(context, name, ms, endpoint):
    vm = context.vms[name]
    left = wait_until(lambda: not _is_usable(vm, endpoint), ms / 1000, "still usable")
    context.run(left)


@then('"{name}" knows for {ms:d} ms that "{endpoint}" takes nothing more')
def step_never_usable(context, name, ms, endpoint):
    vm = context.vms[name]

    async def watch():
        until_s = time.monotonic() + ms / 1000
        while time.monotonic() < until_s:
            assert not _is_usable(vm, endpoint), "it is usable again"
            await asyncio.sleep(0.01)

    context.run(watch())


@when('"{name}" has the list confirmed while the answer arrives')
def step_confirmed_by_late_answer(context, name):
    directory = context.vms[name].directory

    async def confirm():
        confirming = asyncio.create_task(directory.refresh(2000))
        await asyncio.sleep(0)
        context.arrival.set_result(None)
        return await confirming

    assert context.run(confirm())


@then('"{name}" knows that "{endpoint}" is leaving')
def step_knows_leaving(context, name, endpoint):
    assert endpoint in context.vms[name].leaving()


@when('"{name}" tries in vain to have the list confirmed')
def step_tries_in_vain(context, name):
    assert not context.run(context.vms[name].directory.refresh(200))


@when('endpoint "{name}" is deleted as the store begins to turn all away')
def step_deleted_before_outage(context, name):
    context.store.delete("servers", name)
    context.store.trouble = Trouble.BUSY


@when('the store returns after {ms:d} ms and a call of "{name}" that has just failed')
def step_returns_after_call(context, ms, name):
    client = context.vms[name].client
    changes = client.changes
    has_failed = asyncio.Event()

    async def note_failure(table, after, wait_ms):
        try:
            return await changes(table, after, wait_ms)
        except StoreUnavailableError:
            if table == "servers":
                has_failed.set()
            raise

    async def play():
        await asyncio.sleep(ms / 1000)
        client.changes = note_failure
        await asyncio.wait_for(has_failed.wait(), 3)
        context.store.trouble = Trouble.NONE

    context.run(play())


@when('each second call of "{name}" is refused')
def step_each_second_refused(context, name):
    client = context.vms[name].client
    changes = client.changes
    calls = 0
    is_answered = asyncio.Event()

    async def refuse(table, after, wait_ms):
        nonlocal calls
        if table == "servers":
            calls += 1
            if calls % 2:
                raise StoreUnavailableError("status 429", 429)
        snapshot = await changes(table, after, wait_ms)
        if table == "servers":
            is_answered.set()
        return snapshot

    client.changes = refuse
    context.run(asyncio.wait_for(is_answered.wait(), 3))


@when('the store turns all away for {ms:d} ms and "{name}" is deleted meanwhile')
def step_deleted_in_outage(context, ms, name):
    context.store.trouble = Trouble.BUSY
    context.run(asyncio.sleep(ms / 1000))
    context.store.delete("servers", name)
    context.store.trouble = Trouble.NONE

    def is_kept():
        return name in context.vms["a"].watch._dropped_at_ms

    context.run(wait_until(is_kept, 3, "the deletion is not known"))


@when('"{name}" hears of a state that is not its own')
def step_other_state(context, name):
    vm = context.vms[name]
    vm.whole_reads = 0
    read = vm.client.read

    async def count(table):
        vm.whole_reads += table == "servers"
        return await read(table)

    vm.client.read = count
    after = vm.watch._after
    vm.watch._take_shared(WatchedChanges("servers", after, after, (), 1))


@when('"{name}" needs the whole list, and gets an older one that has "{endpoint}"')
def step_older_list(context, name, endpoint):
    watch = context.vms[name].watch
    row = registered(RoutedEndpoint(endpoint), "portal", "127.0.0.1:1", DATA_CENTRE)
    change = RecordChange(endpoint, row, version=1)
    step_cut(context, name)
    watch._after = -1
    later = watch._version + 1
    watch.take_shared(WatchedChanges("servers", -1, later, (change,)))


@then('in the next {ms:d} ms "{name}" asks at most {count:d} times for the whole list')
def step_asks_seldom(context, ms, name, count):
    port = context.vms[name].port
    port.asked.clear()
    context.run(asyncio.sleep(ms / 1000))
    whole = [one for one in port.asked if one.source == "servers" and one.after < 0]
    assert 1 <= len(whole) <= count, whole


@then('"{name}" reads the whole list within {ms:d} ms')
def step_reads_whole(context, name, ms):
    vm = context.vms[name]
    context.run(wait_until(lambda: vm.whole_reads, ms / 1000, "it has read changes"))


@when('"{name}" has the list confirmed')
def step_confirmed(context, name):
    started_s = time.monotonic()
    assert context.run(context.vms[name].directory.refresh(2000))
    context.took_ms = (time.monotonic() - started_s) * 1000


@then('that took {ms:d} ms at most, and "{name}" knows that "{endpoint}" is leaving')
def step_known_at_once(context, ms, name, endpoint):
    assert context.took_ms <= ms, context.took_ms
    assert context.vms[name].leaving() == {endpoint}


@when("the store refuses all calls")
def step_store_refuses(context):
    context.store.trouble = Trouble.BUSY


@then('"{name}" cannot have the list confirmed')
def step_not_confirmed(context, name):
    assert not context.run(context.vms[name].directory.refresh(400))


@when("messages between the VMs are lost")
def step_lost(context):
    context.network.loses = True


@when("messages between the VMs have been taking {ms:d} ms for a while")
def step_late_messages(context, ms):
    context.network.delay_s = ms / 1000
    context.run(asyncio.sleep(ms / 1000 + APPLY_MS / 1000))


@when('the next {count:d} reads of "{name}" fail')
def step_reads_fail(context, name, count):
    client = context.vms[name].client
    changes = client.changes
    left = iter(range(count))

    async def fail(table, after, wait_ms):
        if table == "servers" and next(left, None) is not None:
            raise StoreUnavailableError("busy")
        return await changes(table, after, wait_ms)

    client.changes = fail


@when('"{name}" is draining')
def step_vm_draining(context, name):
    peers = context.network.peers
    peers[name] = replace(peers[name], draining=True)
    # What it read last stays young for a while on the others.
    context.run(asyncio.sleep(1.5))


@when('"{name}" hears of changes that begin behind what it has read')
def step_gap(context, name):
    change = RecordChange("p1", b"", deleted=True)
    beyond = 10_000_000
    message = WatchedChanges("servers", beyond, beyond + 1, (change,))
    context.vms[name].watch._take_shared(message)


@when('"{name}" alone takes "{endpoint}" for gone')
def step_alone_gone(context, name, endpoint):
    watch = context.vms[name].watch
    watch._take(
        (StoredRow(endpoint, 1, b"", deleted=True),), whole=False, kept_until_ms=0.0
    )
    watch._publish(0.0)
    assert endpoint not in context.vms[name].directory.all


@then('every VM knows "{name}" within {ms:d} ms')
def step_all_have(context, name, ms):
    def known():
        return all(name in vm.directory.all for vm in context.vms.values())

    context.run(wait_until(known, ms / 1000, "not all know it"))


@then('every VM knows within {ms:d} ms that "{name}" is leaving')
def step_all_know(context, ms, name):
    def known():
        return all(name in vm.leaving() for vm in context.vms.values())

    context.run(wait_until(known, ms / 1000, "not all know"))


@then('in the next {ms:d} ms "{one}" makes no call and "{other}" makes at least {n:d}')
def step_calls(context, ms, one, other, n):
    before = {name: vm.client.calls for name, vm in context.vms.items()}
    context.run(asyncio.sleep(ms / 1000))
    made = {name: vm.client.calls - before[name] for name, vm in context.vms.items()}
    assert made[one] == 0, made
    assert made[other] >= n, made


@then('"{name}" has taken none of them')
def step_none_taken(context, name):
    assert "p1" in context.vms[name].directory.all


@when("the operator says version {version:d}")
def step_operator_says(context, version):
    context.store.put("op", "config", configuration(version))


@when(
    "the operator says {count:d} versions with {n:d} more routes, one per {gap_ms:d} ms"
)
def step_operator_says_series(context, count, n, gap_ms):
    context.series_s = context.loop.time()
    context.network.passed_bytes = 0
    for version in range(5, 5 + count):
        _say_much(context, version, n)
        context.run(asyncio.sleep(gap_ms / 1000))
    context.series_s = context.loop.time() - context.series_s


@then("at most {share:d} percent of a link of {mbps:d} Mbit/s went to them meanwhile")
def step_link_is_free(context, share, mbps):
    bytes_per_s = context.network.passed_bytes / context.series_s
    assert bytes_per_s <= share / 100 * mbps * 125_000, bytes_per_s


@when("the operator says version {version:d} with {n:d} more routes")
def step_operator_says_much(context, version, n):
    context.whole_reads = dict.fromkeys(context.vms, 0)
    for name, vm in context.vms.items():
        vm.client.read = _counted(vm.client.read, name, context.whole_reads)
    _say_much(context, version, n)


def _say_much(context, version, n):
    document = json.loads(configuration(version))
    route = document["routes"][0]
    names = random.Random(n)
    prefixes = [f"/{names.getrandbits(64):x}/" for _ in range(n)]
    document["routes"] += [route | {"prefix": prefix} for prefix in prefixes]
    context.store.put("op", "config", json.dumps(document).encode())


def _counted(read, name, whole_reads):
    async def count(table):
        whole_reads[name] += table == "op"
        return await read(table)

    return count


@then('"{name}" has read the operator\'s table whole')
def step_has_read_whole(context, name):
    assert context.whole_reads[name], context.whole_reads


@then('"{name}" has not read the operator\'s table whole')
def step_has_not_read_whole(context, name):
    assert not context.whole_reads[name], context.whole_reads


@when("{names} can no longer reach the store")
def step_cut_together(context, names):
    _cut(context, json.loads(f"[{names.replace(' and ', ', ')}]"))


@when('"{name}" cannot reach the store')
def step_cut(context, name):
    _cut(context, [name])


def _cut(context, names):
    async def refuse(*args):
        raise StoreUnavailableError("cut off")

    for name in names:
        context.vms[name].client._call = refuse
    # What it has asked before is still answered for a while.
    context.run(asyncio.sleep(APPLY_MS / 1000))


@when('"{name}" is told again of version {version:d}')
def step_told_again(context, name, version):
    change = RecordChange("config", configuration(version), deleted=False)
    watch = context.vms[name].configurations
    watch.take_shared(WatchedChanges("op", 0, watch._after, (change,)))


@when("neither VM takes callers yet")
def step_none_ready(context):
    peers = context.network.peers
    for name, peer in peers.items():
        peers[name] = replace(peer, ready=False)


@when("the operator orders a roll-out and the store forgets its history")
def step_order(context):
    context.orders = {}
    for name, vm in context.vms.items():
        orders = context.orders[name] = []
        vm.configurations.on_orders = orders.extend
    order = {"service": "portal", "to": "v2", "durationS": 5}
    context.store.put("op", "rollout/portal", json.dumps(order).encode())
    context.store.forget_history()


@then("every VM knows of the order within {ms:d} ms")
def step_all_know_order(context, ms):
    context.run(wait_until(lambda: all(context.orders.values()), ms / 1000, "not all"))


@then("every VM has version {version:d} within {ms:d} ms")
def step_all_have_version(context, version, ms):
    def have():
        return all(vm.current.version == version for vm in context.vms.values())

    context.run(wait_until(have, ms / 1000, "not all have it"))


@then('"{name}" has version {version:d} within {ms:d} ms')
def step_has_version(context, name, version, ms):
    current = context.vms[name].current
    context.run(wait_until(lambda: current.version == version, ms / 1000, "not yet"))


@when('"{name}" hears that there is a configuration which it lacks')
def step_lacks(context, name):
    vm = context.vms[name]
    context.age_ms = vm.current.confirmation.age_ms
    after = vm.configurations._after
    news = WatchedChanges("op", after, after + 1, (), 1, vm.client.now_ms())
    vm.configurations.take_shared(news)


@then('what "{name}" knows has not become younger')
def step_not_younger(context, name):
    assert context.vms[name].current.confirmation.age_ms >= context.age_ms


@then('in the next {ms:d} ms "{name}" has waited for no configuration')
def step_no_wait(context, ms, name):
    before = context.vms[name].client.calls
    context.run(asyncio.sleep(ms / 1000))
    assert context.vms[name].client.calls == before


@when("the store turns all away for {ms:d} ms")
def step_turned_away(context, ms):
    before = {name: vm.client.calls for name, vm in context.vms.items()}
    context.store.trouble = Trouble.BUSY
    context.run(asyncio.sleep(ms / 1000))
    context.store.trouble = Trouble.NONE
    vms = context.vms.items()
    context.made = {name: vm.client.calls - before[name] for name, vm in vms}


@then('"{name}" has made at most {most:d} calls meanwhile, and fewer than "{other}"')
def step_fewer_calls(context, name, most, other):
    assert context.made[name] <= most, context.made
    assert context.made[name] < context.made[other], context.made
