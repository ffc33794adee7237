"""Steps of tests/quarantine/starts.feature, beside those of sharing.feature."""

import asyncio
import itertools

import msgspec
from behave import given, then, when

from pomelolane.clock import ManualClock, MonotonicClock
from pomelolane.endpoints import ConnectionPool
from pomelolane.messages import CrashesReported, ReportedCrash
from pomelolane.model import Endpoint, Tree
from pomelolane.platform.crashrecord import StoreCrashRecord
from pomelolane.quarantine import (
    CrashBook,
    CrashReport,
    CrashWatch,
    RecordedCrash,
    Subjects,
)
from pomelolane.quarantine.starts import START_MS, UnstatedStarts, interval_name
from pomelolane.tree import CurrentTree

REQUEST = "harmless"
FOUND_S = 0.5
"""Time in which reports are sent, written, read and judged."""


class PreviousReport(msgspec.Struct, array_like=True):
    """A report as the previous version knows it."""

    fingerprint: str
    endpoint_start: str
    age_ms: int = 0


class PreviousRow(msgspec.Struct):
    """A row as the previous version knows it."""

    at_ms: int


@given("nothing listens at an endpoint that does not state its start")
def step_endpoint(context):
    context.endpoint = Endpoint("e1", "pool", "hall-a", "127.0.0.1:1")
    context.tree = CurrentTree()
    context.tree.adopt(Tree(endpoints={"e1": context.endpoint}, versions={"b": 1}))


@when('"{name}" has "{request}" fail there at {at_s:f} s of its wall clock')
def step_fails(context, name, request, at_s):
    watch = CrashWatch(
        context.network.vms[name].quarantine,
        ConnectionPool(),
        context.tree,
        MonotonicClock(),
        ManualClock(1000 * at_s),
    )

    async def fail():
        await watch.begin(Subjects(request), context.endpoint).broke()

    context.run(fail())


def _check_one(context, *names):
    async def settle():
        await asyncio.sleep(FOUND_S)

    context.run(settle())
    for name in names:
        quarantine = context.network.vms[name].quarantine
        assert len(quarantine) > 0, f"{name} has heard of no crash"
        assert not quarantine.is_suspect(Subjects(REQUEST)), (
            f"{name} counts several crashes"
        )


@then('one crash of it is known to "{one}" and "{other}"')
def step_one_crash(context, one, other):
    _check_one(context, one, other)


@then('one crash of it is known to "{name}"')
def step_one_crash_alone(context, name):
    _check_one(context, name)


@when("crashes at {at_s} s of the wall clock are heard in any order")
def step_any_order(context, at_s):
    times_ms = [1000 * float(one) for one in at_s.split(", ")]
    # The first two VMs have not heard of each other, the others have heard of all.
    reports = [(interval_name("e1", int(ms // START_MS)), ms) for ms in times_ms[:2]]
    for at_ms in times_ms[2:]:
        starts = UnstatedStarts()
        for name, earlier_ms in reports:
            starts.note(name, "e1", earlier_ms)
        reports.append((starts.name("e1", at_ms, at_ms), at_ms))
    context.counts = set()
    for order in itertools.permutations(reports):
        starts = UnstatedStarts()
        for name, at_ms in order:
            starts.note(name, "e1", at_ms)
        context.counts.add(len({starts.same(name) for name, _ in reports}))


@then("they are {count:d} starts, and no order makes another number of them")
def step_counts(context, count):
    assert context.counts == {count}, context.counts


@when('"{request}" is cleared of a crash, which is then reported under another name')
def step_cleared(context, request):
    context.book = CrashBook()
    context.book.clear(CrashReport(request, interval_name("e1", 0)), 9_900.0)
    report = CrashReport(request, interval_name("e1", 1), "e1")
    context.book.add(report, 10_100.0)


@when('"{request}" is reported under the first name')
def step_first_name(context, request):
    context.book.add(CrashReport(request, interval_name("e1", 0), "e1"), 9_900.0)


@then('no crash counts against "{request}"')
def step_no_crash(context, request):
    assert context.book.crashes(request) == 0, context.book.crashes(request)


@when(
    'a VM of the previous version reports "{request}" there at {at_s:f} s of its '
    "wall clock"
)
def step_previous_reports(context, request, at_s):
    report = ReportedCrash(request, interval_name("e1", int(at_s // 10)))

    async def take():
        for handler in context.network.vms["a"].handlers:
            handler("old", CrashesReported((report,)))

    context.run(take())


@then("the previous version reads reports and rows of an endpoint without a start time")
def step_previous_reads(context):
    told = msgspec.msgpack.encode(ReportedCrash("r", "s", 5, "e1"))
    read = msgspec.msgpack.decode(told, type=PreviousReport)
    assert read == PreviousReport("r", "s", 5), read
    record = StoreCrashRecord(context.network.vms["a"].client)
    crash = RecordedCrash(CrashReport("r", "s", "e1"), 5.0)
    context.run(record.save([crash], []))
    row = msgspec.json.decode(context.store.value("crashes", "r/s"), type=PreviousRow)
    assert row.at_ms > 0, row


@then("reports and rows of the previous version are read")
def step_previous_is_read(context):
    told = msgspec.msgpack.encode(PreviousReport("r", "t", 5))
    read = msgspec.msgpack.decode(told, type=ReportedCrash)
    assert read == ReportedCrash("r", "t", 5), read
    client = context.network.vms["a"].client
    value = msgspec.json.encode(PreviousRow(int(client.now_ms())))
    context.run(client.write("crashes", {"r/t": value}, []))
    crashes = context.run(StoreCrashRecord(client).load()).crashes
    found = {(one.report.endpoint_start, one.report.endpoint_id) for one in crashes}
    assert found == {("s", "e1"), ("t", "")}, found
