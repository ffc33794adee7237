"""Steps of tests/quarantine/sharing.feature: VMs over a network in memory."""

import asyncio
import itertools

from behave import given, then, when

from bench.processes import wait_until
from pomelolane.clock import MonotonicClock, WallClock
from pomelolane.membership import is_store_reader
from pomelolane.platform.crashrecord import StoreCrashRecord
from pomelolane.platform.storeclient import StoreClient
from pomelolane.ports import Peer, View, Write
from pomelolane.quarantine import (
    CrashNews,
    CrashReport,
    Quarantine,
    RecordedCrash,
    RecordKeeper,
    Subjects,
)
from pomelolane.store import EmbeddedTable
from pomelolane.store.crashrecord import PREFIX, TableCrashRecord
from standins.routed import MetadataStore
from standins.routed.store import Trouble
from tests.routed_world import DATA_CENTRE

SOON_S = 2.0
TABLE = "crashes"
_STARTS = itertools.count(1)


class Network:
    """Carries messages between VMs that are not cut off from each other."""

    def __init__(self):
        self.vms = {}
        self.cut = set()
        self.lost_until_s = 0.0

    def sees(self, one, other):
        return one == other or not {one, other} & self.cut

    def changed(self):
        for vm in self.vms.values():
            for callback in vm.callbacks:
                callback(vm.view())


class Vm:
    """One VM: its own membership, transport, quarantine and record keeper."""

    def __init__(self, name, address, network):
        self.name, self.network = name, network
        self.callbacks, self.handlers = [], []
        network.vms[name] = self
        self.client = StoreClient(address)
        self.quarantine = Quarantine(MonotonicClock())
        news = CrashNews(name, self, self, self.quarantine)
        self.keeper = RecordKeeper(
            StoreCrashRecord(self.client),
            self.quarantine,
            lambda: is_store_reader(name, DATA_CENTRE, self.view()),
            news.pass_on,
        )
        loop = asyncio.get_running_loop()
        self.tasks = [
            loop.create_task(self.keeper.read()),
            loop.create_task(self.keeper.write()),
        ]

    def view(self):
        names = [
            name for name in self.network.vms if self.network.sees(self.name, name)
        ]
        return View(1, {name: Peer(name, 1, DATA_CENTRE, "") for name in names})

    def on_change(self, callback):
        self.callbacks.append(callback)

    def subscribe(self, kind, handler):
        self.handlers.append(handler)

    def send(self, vm_id, message):
        loop = asyncio.get_running_loop()
        other = self.network.vms.get(vm_id)
        lost = loop.time() < self.network.lost_until_s
        if other is None or lost or not self.network.sees(self.name, vm_id):
            return False
        for handler in other.handlers:
            loop.call_soon(handler, self.name, message)
        return True

    async def aclose(self):
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        self.client.close()


async def _add(context, name):
    vm = Vm(name, context.address, context.network)
    context.add_cleanup(lambda: context.run(vm.aclose()))
    await vm.keeper.loaded()
    return vm


@given('a metadata store and the VMs "a", "b" and "c" with a quarantine each')
def step_vms(context):
    context.store = MetadataStore()
    context.address = context.run(context.store.start())
    context.add_cleanup(lambda: context.run(context.store.aclose()))
    context.network = Network()
    for name in "abc":
        context.run(_add(context, name))
    context.network.changed()


@given("the store answers nothing")
def step_silent(context):
    context.store.trouble = Trouble.RESET


@when("the store answers again")
def step_answers(context):
    context.store.trouble = Trouble.NONE


@given("the messages of the next {ms:d} ms are lost")
def step_lost(context, ms):
    context.network.lost_until_s = context.loop.time() + ms / 1000


@given('"{name}" is cut off from the other VMs')
def step_cut(context, name):
    context.network.cut.add(name)
    context.network.changed()


@when('"{name}" comes into view again after {s:d} s')
def step_view(context, name, s):
    async def come():
        await asyncio.sleep(s)
        context.network.cut.discard(name)
        context.network.changed()

    context.run(come())


def _find(context, name, request):
    async def find():
        quarantine = context.network.vms[name].quarantine
        quarantine.crashed(Subjects(request), f"start-{next(_STARTS)}", "endpoint")

    context.run(find())


@when('"{name}" finds that endpoints ended under "{request}" {count:d} times')
def step_finds(context, name, request, count):
    for _ in range(count):
        _find(context, name, request)


@when('"{name}" finds that another endpoint ended under "{request}"')
def step_finds_another(context, name, request):
    _find(context, name, request)


@when('"{one}" and "{other}" have heard of it')
def step_heard(context, one, other):
    vms = [context.network.vms[name] for name in (one, other)]

    def is_so():
        return all(len(vm.quarantine) for vm in vms)

    context.run(wait_until(is_so, SOON_S, "they have not heard of it"))
    context.run(asyncio.sleep(0.2))


@when('"{one}" and "{other}" have heard of it, and all VMs end')
def step_heard_end(context, one, other):
    step_heard(context, one, other)
    for vm in context.network.vms.values():
        context.run(vm.aclose())
    context.network.vms.clear()


@when('the VM "{name}" starts with a quarantine')
def step_starts(context, name):
    context.run(_add(context, name))


@when('"{name}" sees an answer to "{request}"')
def step_answer(context, name, request):
    async def answer():
        context.network.vms[name].quarantine.answered(Subjects(request))

    context.run(answer())


@when("{ms:d} ms go by")
def step_go_by(context, ms):
    context.run(asyncio.sleep(ms / 1000))


@when("somebody writes a report that cannot be read")
def step_unreadable(context):
    context.store.put_as_it_is(TABLE, "guilty/x", 7)
    context.store.put(TABLE, "guilty/y", b"[]")


@then('"{one}" and "{other}" blame "{request}" within {s:d} s')
def step_blame(context, one, other, request, s):
    def is_so():
        vms = [context.network.vms[name] for name in (one, other)]
        return all(vm.quarantine.holds(Subjects(request)) for vm in vms)

    context.run(wait_until(is_so, s, f"{request} is not quarantined"))


@then('"{name}" holds "{request}" as soon as it has read the record')
def step_blames_at_once(context, name, request):
    assert context.network.vms[name].quarantine.holds(Subjects(request))


@then('nobody holds "{request}"')
def step_nobody(context, request):
    vms = context.network.vms.values()
    assert not any(vm.quarantine.holds(Subjects(request)) for vm in vms)


@then("the record holds {count:d} report")
def step_record(context, count):
    rows = context.run(context.network.vms["a"].client.read(TABLE)).rows
    assert len([row for row in rows if not row.deleted]) == count, rows


@given("a record in the platform's table")
def step_table(context):
    context.table_of_platform = EmbeddedTable()
    context.record = TableCrashRecord(context.table_of_platform, WallClock())


@when("{count:d} reports are written there, one of them {change}")
def step_written(context, count, change):
    reports = [CrashReport("request", f"start-{number}") for number in range(count)]
    ends = [RecordedCrash(report, 100.0) for report in reports]

    async def write():
        await context.record.save(ends, [])
        await context.record.load()
        if change == "again":
            await context.record.save(ends[:1], [])
        elif change == "and taken out later":
            await context.record.save([], reports[:1])
        else:
            bad = Write(PREFIX + "request/bad", b"?", None)
            await context.table_of_platform.commit([bad])

    context.run(write())


@then("the record there holds {count:d} reports, {cleared:d} of them were taken out")
def step_holds(context, count, cleared):
    news = context.run(context.record.load())
    assert len(news.crashes) == count, news
    assert len(news.cleared) == cleared, news
    assert all(100 <= one.age_ms < 5000 for one in news.crashes), news
