"""Steps of tests/resumption: VMs in memory, with a clock of their own."""

import asyncio
import time

from behave import given, then, when

from pomelolane.clock import ManualClock
from pomelolane.messages import StreamBegun
from pomelolane.model import Endpoint
from pomelolane.platform.originrecord import StoreOriginRecord
from pomelolane.platform.storeclient import Snapshot, StoredRow
from pomelolane.ports import Peer
from pomelolane.resumption import (
    SavedOrigin,
    SavedOrigins,
    StreamOrigin,
    make_resumption,
    stream_key,
)
from pomelolane.resumption.records import OriginRecords
from tests.coordination.fakes import FakeMembership

SERVICE = "pool"
LIFE_MS = 15_000
ORIGIN = StreamOrigin(SERVICE, "v1")


@given("records with room for {count:d}")
def step_records(context, count):
    context.clock = ManualClock(0.0)
    context.records = OriginRecords(context.clock, count)


@when("{count:d} stream is recorded for {ms:d} ms")
@when("{count:d} streams are recorded for {ms:d} ms")
def step_record(context, count, ms):
    for key in range(count):
        context.records.add(key, ORIGIN, ms)


@when("{ms:d} ms pass and another stream is recorded")
def step_record_later(context, ms):
    context.clock.advance(ms)
    context.records.add(99, ORIGIN, LIFE_MS)


@then("its record is found after {ms:d} ms and not after {later_ms:d} ms")
def step_found_until(context, ms, later_ms):
    context.clock.advance(ms)
    assert context.records.find(0).origin == ORIGIN
    context.clock.advance(later_ms - ms)
    assert context.records.find(0) is None


@then("only the last {count:d} records are found")
def step_last_found(context, count):
    found = [key for key in range(25) if context.records.find(key) is not None]
    assert found == list(range(25 - count, 25)), found


@then("{count:d} record is kept")
def step_kept(context, count):
    assert len(context.records) == count


class EndpointList:
    """Endpoints that a scenario lists."""

    def __init__(self):
        self.versions = []
        self.when_asked = None
        self.answers = True
        self.callbacks = []

    def listed(self):
        return [
            Endpoint(f"e-{version}", SERVICE, "hall-1", "", version=version)
            for version in self.versions
        ]

    def on_change(self, callback):
        self.callbacks.append(callback)

    def put(self, versions):
        self.versions = list(versions)
        for callback in self.callbacks:
            callback()

    async def refresh(self, timeout_ms):
        if self.when_asked is not None:
            self.put(self.when_asked)
        return self.answers


class Storage:
    """Where the VMs of a scenario save their streams."""

    def __init__(self, saved, name):
        self.saved, self.name = saved, name
        self.saves = 0

    async def save(self, saved):
        self.saved[self.name] = list(saved)
        self.saves += 1

    async def load(self):
        others = [
            one
            for name, saved in self.saved.items()
            for one in saved
            if name != self.name
        ]
        return SavedOrigins(self.saved.get(self.name, []), others)


class Vm:
    """One VM with its resumption, connected to the others by a dictionary."""

    def __init__(self, vms, clock, name, data_centre, saved, incarnation=1):
        self.vms, self.name = vms, name
        self.data_centre, self.incarnation = data_centre, incarnation
        self.membership = FakeMembership()
        self.handlers = {}
        self.is_silent = False
        self.sent = []
        self.endpoints = EndpointList()
        self.storage = Storage(saved, name)
        self.resumption = make_resumption(
            name, self.endpoints, self.membership, self, self.storage, clock
        )

    def subscribe(self, kind, handler):
        self.handlers[kind] = handler

    def send(self, vm_id, message):
        self.sent.append((vm_id, message))
        other = self.vms.get(vm_id)
        if other is not None and not other.is_silent and not self.is_silent:
            handler = other.handlers[type(message)]
            asyncio.get_running_loop().call_soon(handler, self.name, message)
        return True


class Cluster:
    """The VMs that a scenario has."""

    def __init__(self):
        self.clock = ManualClock(1_000_000.0)
        self.vms = {}
        self.saved = {}

    def start(self, name, data_centre, incarnation=1):
        vm = Vm(self.vms, self.clock, name, data_centre, self.saved, incarnation)
        self.vms[name] = vm
        return vm

    def show(self):
        """Let all VMs see each other."""
        peers = {
            vm.name: Peer(vm.name, vm.incarnation, vm.data_centre, "")
            for vm in self.vms.values()
        }
        for vm in self.vms.values():
            vm.membership.set(peers)


async def _settle():
    for _ in range(5):
        await asyncio.sleep(0)


@given("{count:d} VMs in {places:d} data centres")
def step_cluster(context, count, places):
    context.cluster = Cluster()
    for number in range(1, count + 1):
        context.cluster.start(f"vm{number}", f"hall-{number % places}")
    context.cluster.show()
    context.keys = []


def _key(number, organisation="org"):
    return stream_key(organisation, f"attempt-{number}")


@when("VM 1 begins {count:d} stream")
@when("VM 1 begins {count:d} streams")
def step_begin(context, count):
    context.keys = [_key(number) for number in range(count)]
    context.beginner = context.cluster.vms["vm1"]

    async def begin():
        for key in context.keys:
            context.beginner.resumption.begin(key, ORIGIN, LIFE_MS)
        await _settle()

    context.run(begin())


@when("VM 1 ends all of them")
def step_end_streams(context):
    for key in context.keys:
        context.beginner.resumption.end(key)
    context.beginner.sent.clear()


def _end(context, names):
    for name in names:
        del context.cluster.vms[name]
    context.cluster.show()


@when("VM 1 ends")
@when("VM 1 end")
def step_end_one(context):
    _end(context, ["vm1"])


@when("VM 1 and its data centre end")
def step_end_data_centre(context):
    place = context.beginner.data_centre
    vms = context.cluster.vms.values()
    _end(context, [vm.name for vm in vms if vm.data_centre == place])


@when("the VMs 2 to 6 end and start again in turn")
def step_restart(context):
    async def restart():
        for number in range(2, 7):
            place = context.cluster.vms.pop(f"vm{number}").data_centre
            context.cluster.show()
            await _settle()
            context.cluster.start(f"vm{number}", place, 2)
            context.cluster.show()
            await _settle()

    context.run(restart())


@when("all VMs but 2 are silent")
def step_silent(context):
    for vm in context.cluster.vms.values():
        vm.is_silent = vm.name != "vm2"


async def _find(vm, key):
    return await vm.resumption.find(key, SERVICE, 0.0)


@then("each other VM finds all of them")
def step_each_finds(context):
    for vm in context.cluster.vms.values():
        for key in context.keys:
            found = context.run(_find(vm, key))
            assert found is not None, (vm.name, key)
            assert found.origin == ORIGIN
            assert found.source.value == "record"


@then("each was told to 2 VMs, in 2 data centres")
def step_told(context):
    vms = context.cluster.vms
    for key in context.keys:
        told = [
            vms[vm_id].data_centre
            for vm_id, message in context.beginner.sent
            if isinstance(message, StreamBegun) and message.key == key
        ]
        assert len(told) == len(set(told)) == 2, told


@then("nothing more was told of them")
def step_nothing_told(context):
    told = [m for _, m in context.beginner.sent if isinstance(m, StreamBegun)]
    assert not told, told


@then("VM 2 finds nothing within {ms:d} ms")
def step_nothing_found(context, ms):
    started_s = time.monotonic()
    missing = _key(0) if context.keys else _key("unknown")
    assert context.run(_find(context.cluster.vms["vm2"], missing)) is None
    assert time.monotonic() - started_s <= ms / 1000


@then("VM 2 finds nothing for the same attempt of another organisation")
def step_other_organisation(context):
    vm = context.cluster.vms["vm2"]
    assert context.run(_find(vm, _key(0))) is not None
    assert context.run(_find(vm, _key(0, "another"))) is None


@given('a VM that has listed "{version}" for {ms:d} ms')
def step_listed(context, version, ms):
    context.cluster = Cluster()
    context.first = context.cluster.start("vm1", "hall-1")
    context.cluster.show()
    context.first.endpoints.put([version])
    context.cluster.clock.advance(ms)
    context.routed_since_ms = 0.0


@when('"{old}" is replaced by "{new}"')
def step_replaced(context, old, new):
    context.first.endpoints.put([new])


@when('"{new}" is listed beside "{old}"')
def step_beside(context, new, old):
    context.first.endpoints.put([old, new])


@when('the store lists "{version}" too when asked')
def step_when_asked(context, version):
    context.first.endpoints.when_asked = [*context.first.endpoints.versions, version]


@when("the store does not answer")
def step_store_away(context):
    context.first.endpoints.answers = False


@when("the route has led there for {ms:d} ms")
def step_routed(context, ms):
    context.routed_since_ms = context.cluster.clock.now_ms() - ms


@when("{ms:d} ms pass")
def step_pass(context, ms):
    context.cluster.clock.advance(ms)
    for vm in context.cluster.vms.values():
        vm.endpoints.put(vm.endpoints.versions)


@when("another VM starts alone")
def step_second(context):
    context.second = context.cluster.start("vm2", "hall-1")
    context.second.endpoints.put(context.first.endpoints.versions)


@when("it is told what the first has seen")
def step_told_history(context):
    async def meet():
        context.cluster.show()
        await _settle()

    context.run(meet())


def _found(context, vm):
    finding = vm.resumption.find(_key("unknown"), SERVICE, context.routed_since_ms)
    return context.run(finding)


def _check_sole(context, vm, version):
    found = _found(context, vm)
    assert found is not None
    assert found.origin == StreamOrigin(SERVICE, version)
    assert found.source.value == "sole_version"


@then('a stream without a record is taken to have begun at "{version}"')
def step_sole(context, version):
    _check_sole(context, context.first, version)


@then("it is not known where a stream without a record began")
def step_unknown(context):
    assert _found(context, context.first) is None


@then('there a stream without a record is taken to have begun at "{version}"')
def step_sole_there(context, version):
    _check_sole(context, context.second, version)


@then("there it is not known where a stream without a record began")
def step_unknown_there(context):
    assert _found(context, context.second) is None


@when("VM {number:d} saves its streams")
def step_save(context, number):
    context.run(context.cluster.vms[f"vm{number}"].resumption.keeper.save())


@when("all VMs end and VM {number:d} starts")
def step_start_loaded(context, number):
    context.cluster.vms.clear()
    vm = context.cluster.start(f"vm{number}", "hall-1", 2)
    context.run(vm.resumption.keeper.load())


@when("VM 2 has saved another origin for them")
def step_save_other(context):
    other = StreamOrigin(SERVICE, "v2")
    context.cluster.saved["vm2"] = [
        SavedOrigin(key, other, LIFE_MS) for key in context.keys
    ]


@when("VM 1 begins another stream")
def step_begin_another(context):
    resumption = context.cluster.vms["vm1"].resumption

    async def begin():
        resumption.begin(_key("another"), ORIGIN, LIFE_MS)

    context.run(begin())


@then("VM 1 has saved {count:d} time")
def step_saves(context, count):
    assert context.beginner.storage.saves == count


class Table:
    """A table of the metadata store."""

    def __init__(self, clock):
        self.rows = {}
        self.now_ms = clock.now_ms

    async def write(self, table, values):
        self.rows |= values

    async def read(self, table):
        rows = [StoredRow(key, 1, value) for key, value in self.rows.items()]
        return Snapshot(tuple(rows), 1, self.now_ms())


@when("VM 1 saves a stream in the store for {first:d}, {second:d} and {third:d} ms")
def step_save_in_store(context, first, second, third):
    context.origin_table = Table(context.cluster.clock)
    saved = [SavedOrigin(ms, ORIGIN, ms) for ms in (first, second, third)]
    context.run(StoreOriginRecord(context.origin_table, "vm1").save(saved))


@when("another row cannot be read and {ms:d} ms pass")
def step_unreadable(context, ms):
    context.origin_table.rows = {"vm0": b"?", **context.origin_table.rows}
    context.cluster.clock.advance(ms)


@then("those for {first:d} and {second:d} ms are loaded")
def step_loaded(context, first, second):
    loaded = context.run(StoreOriginRecord(context.origin_table, "vm2").load())
    assert [one.left_ms for one in loaded.others] == [first, second], loaded
    assert not loaded.own
