"""Steps of the watches of the metadata store, without a VM."""

import asyncio
import builtins
import functools
import json

from behave import given, then, when

from bench.processes import wait_until
from pomelolane.clock import MonotonicClock
from pomelolane.forwarding import CurrentConfiguration, EndpointDirectory
from pomelolane.platform import configurationwatch
from pomelolane.platform.configurationwatch import ConfigurationWatch
from pomelolane.platform.documents import LimitWindow
from pomelolane.platform.endpointwatch import EndpointWatch
from pomelolane.platform.errors import HistoryLostError, StoreUnavailableError
from pomelolane.platform.roster import VmRoster
from pomelolane.platform.seriespace import SeriesPace
from pomelolane.platform.storeclient import CALL_TIMEOUT_S, StoreClient
from pomelolane.platform.userecord import StoreUseRecord
from pomelolane.scheduler.rate_limiting import TokenUse
from standins.routed import MetadataStore, RoutedEndpoint
from standins.routed.endpoint import registered
from standins.routed.store import Trouble
from tests.routed_world import DATA_CENTRE, configuration

SOON_MS = 3000
APPLY_MS = 2000
READ_S = 1.5
_NESTED = b"[" * 200_000 + b"]" * 200_000


@given("a metadata store and its watches")
def step_watches(context):
    context.store = MetadataStore()
    address = context.run(context.store.start())
    context.add_cleanup(lambda: context.run(context.store.aclose()))
    context.store.put("op", "config", configuration(1))
    endpoint = RoutedEndpoint("p1")
    row = registered(endpoint, "portal", "127.0.0.1:1", DATA_CENTRE)
    context.store.put("servers", "p1", row)
    context.client = StoreClient(address)
    context.add_cleanup(lambda: context.client.close())
    clock = MonotonicClock()
    context.current = CurrentConfiguration()
    context.directory = EndpointDirectory(clock)
    context.lines = []
    before = configurationwatch.log_event
    context.add_cleanup(setattr, configurationwatch, "log_event", before)
    configurationwatch.log_event = lambda event, **values: context.lines.append(
        (event.name.removeprefix("configuration_"), values)
    )
    endpoints = EndpointWatch(context.client, context.directory, context.current, clock)
    context.endpoint_watch = endpoints
    watch = ConfigurationWatch(
        context.client, context.current, clock, LimitWindow(), SeriesPace(APPLY_MS)
    )
    context.configurations = watch
    watch.on_orders = lambda orders: _raise(orders[0].service)
    endpoints.on_regained(watch.refresh)
    context.regained_s = []
    endpoints.on_regained(lambda: context.regained_s.append(context.loop.time()))
    context.tasks = [
        context.loop.create_task(endpoints.run()),
        context.loop.create_task(watch.run()),
    ]
    context.add_cleanup(lambda: context.run(_end(context.tasks)))
    context.run(asyncio.wait_for(context.directory.wait_until_known(), 5))
    context.run(asyncio.wait_for(context.current.wait_until_known(), 5))


async def _end(tasks):
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


@when("the store says version {version:d}")
def step_says(context, version):
    context.store.put("op", "config", configuration(version))


@when("the store says version {first:d} and then version {second:d}")
def step_says_two(context, first, second):
    async def play():
        context.store.put("op", "config", configuration(first))
        await asyncio.sleep(0.3)
        context.store.put("op", "config", configuration(second))
        await asyncio.sleep(0.3)

    context.run(play())


@then("one line says that version {version:d} is older than version {in_force:d}")
def step_outdated(context, version, in_force):
    context.run(asyncio.sleep(0.3))
    lines = [values for event, values in context.lines if event == "outdated"]
    assert lines == [{"version": version, "in_force": in_force}], context.lines


def _raise(text):
    raise RuntimeError(text)


@when("the store says {what} that nobody can take")
def step_says_hostile(context, what):
    key, value = {
        "200000 levels": ("config", b'{"version":7,"x":' + _NESTED + b"}"),
        "a version of 10^30": ("config", configuration(10**30)),
        "an order": (
            "rollout/portal",
            b'{"service": "portal", "to": "v2", "durationS": 60}',
        ),
    }[what]
    context.store.put("op", key, value)
    context.run(asyncio.sleep(0.3))


@when("the store says something that its client fails at")
def step_client_fails(context):
    changes = context.client.changes

    async def fail(table, after, wait_ms):
        if table == "op":
            context.client.changes = changes
            _raise(table)
        return await changes(table, after, wait_ms)

    context.client.changes = fail
    context.run(_until(lambda: context.client.changes == changes, SOON_MS))


@given("two that follow the configuration, the first of which fails")
def step_followers(context):
    context.fails = True
    context.followed = {"first": 0, "second": 0}

    def follow(name, configuration):
        if context.fails and name == "first":
            _raise(name)
        context.followed[name] = configuration.version

    for name in context.followed:
        context.current.on_change(functools.partial(follow, name))


@when("the first of them fails no more")
def step_fails_no_more(context):
    context.fails = False


@then("the {name:w} of them has version {version:d} within {ms:d} ms")
def step_follower_has(context, name, version, ms):
    context.run(_until(lambda: context.followed[name] == version, ms))


@when("the store says version {version:d} with the {part} {{{change}}}")
def step_says_odd(context, version, part, change):
    document = json.loads(configuration(version))
    parts = document[part.removeprefix("new ") + "s"]
    changed = parts[0] | json.loads(f"{{{change}}}")
    parts[:] = [parts[0], changed] if part.startswith("new ") else [changed]
    context.store.put("op", "config", json.dumps(document).encode())
    context.run(asyncio.sleep(0.3))


@then("the configuration in force is version {version:d}, and {count:d} was rejected")
def step_rejected(context, version, count):
    assert context.current.version == version, context.current.version
    assert [event for event, _ in context.lines].count("rejected") == count


@when("the store says something that is no configuration")
def step_says_nothing(context):
    context.store.put("op", "config", b"{no")
    context.run(asyncio.sleep(0.2))


@when(
    "the store comes back from an older copy, says version 6 and passes its old numbers"
)
def step_older_copy(context):
    store = context.store
    copy = store.copy()
    for number in range(20):
        store.put("other", f"k{number}", b"")
    context.run(asyncio.sleep(READ_S))
    store.come_back_from(copy)
    store.put("op", "config", configuration(6))
    for number in range(30):
        store.put("other", f"k{number}", b"")


def _register(context, name, state="ready", born_ms=1):
    endpoint = RoutedEndpoint(name)
    address = "127.0.0.1:1"
    row = registered(endpoint, "portal", address, DATA_CENTRE, state, born_ms=born_ms)
    context.store.put("servers", name, row)


def _is_usable(context, name):
    return context.directory.usable(name) is not None


@when('"{name}" begins to leave, and the store comes back from a copy of before')
def step_leaves_before_copy(context, name):
    _register(context, name)
    copy = context.store.copy()
    _register(context, name, "draining")
    context.run(_until(lambda: not _is_usable(context, name), READ_S * 1000))
    context.store.come_back_from(copy)


@when('"{name}" leaves without a word, and the store comes back from a copy of before')
def step_gone_before_copy(context, name):
    _register(context, name)
    context.run(_until(lambda: _born_ms(context, name) == 1, READ_S * 1000))
    copy = context.store.copy()
    context.store.delete("servers", name)
    context.run(_until(lambda: not _is_usable(context, name), READ_S * 1000))
    context.store.come_back_from(copy)


def _born_ms(context, name):
    endpoint = context.directory.usable(name)
    return None if endpoint is None else endpoint.born_ms


@when('"{name}" writes its next heartbeat')
def step_heartbeat(context, name):
    row = json.loads(context.store.value("servers", name))
    row["sequence"] += 1
    context.store.put("servers", name, json.dumps(row).encode())
    context.run(_until(lambda: _is_usable(context, name), READ_S * 1000))


@when('"{name}" starts again')
def step_starts_again(context, name):
    _register(context, name, born_ms=2)
    context.run(_until(lambda: _is_usable(context, name), READ_S * 1000))


@then('"{name}" takes nothing more for {ms:d} ms')
def step_never_usable(context, name, ms):
    async def watch():
        until_s = context.loop.time() + ms / 1000
        while context.loop.time() < until_s:
            assert not _is_usable(context, name), "it takes requests again"
            await asyncio.sleep(0.01)

    context.run(watch())


@then('"{name}" takes requests')
def step_usable(context, name):
    assert _is_usable(context, name)


@when("the store has no history for the configuration for {ms:d} ms")
def step_no_history(context, ms):
    client = context.client
    changes, read = client.changes, client.read
    context.reads = 0

    async def lose(table, after, wait_ms):
        if table == "op":
            raise HistoryLostError(table)
        return await changes(table, after, wait_ms)

    async def count(table):
        context.reads += table == "op"
        return await read(table)

    client.changes, client.read = lose, count
    # Ends the call that is under way.
    context.store.put("op", "config", configuration(2))
    context.run(asyncio.sleep(ms / 1000))
    client.changes, client.read = changes, read


@then("the table has been read whole {least:d} to {most:d} times meanwhile")
def step_reads(context, least, most):
    assert least <= context.reads <= most, context.reads


@then("the configuration in force becomes version {version:d} with the history")
def step_with_history(context, version):
    context.store.put("op", "config", configuration(version))
    context.run(_until(lambda: context.current.version == version, 1000))


@when("the store forgets its history and says version {version:d}")
def step_forgets(context, version):
    context.store.put("op", "config", configuration(version))
    context.store.forget_history()


def _in_trouble(context, trouble, ms, deed):
    async def play():
        context.store.trouble = Trouble(trouble)
        await asyncio.sleep(ms / 1000)
        deed()
        context.store.trouble = Trouble.NONE

    context.run(play())


@when('the store is "{trouble}" for {ms:d} ms and says version {version:d} meanwhile')
def step_trouble(context, trouble, ms, version):
    _in_trouble(
        context,
        trouble,
        ms,
        lambda: context.store.put("op", "config", configuration(version)),
    )


@when('the store is "{trouble}" for {ms:d} ms and drops "{name}" meanwhile')
def step_trouble_drop(context, trouble, ms, name):
    _in_trouble(context, trouble, ms, lambda: context.store.delete("servers", name))


@when('the store is "{trouble}" for {bad_ms:d} ms of each {period_ms:d} ms')
def step_recurring(context, trouble, bad_ms, period_ms):
    async def play():
        while True:
            context.store.trouble = Trouble(trouble)
            await asyncio.sleep(bad_ms / 1000)
            context.store.trouble = Trouble.NONE
            await asyncio.sleep((period_ms - bad_ms) / 1000)

    context.tasks.append(context.loop.create_task(play()))
    context.run(asyncio.sleep(READ_S))


@when("the store refuses each second read")
def step_refuses(context):
    context.store.refuses_each = 2
    context.run(asyncio.sleep(READ_S))


@when("one read of the endpoints is never answered")
def step_never_answered(context):
    changes = context.client.changes
    is_asked = asyncio.Event()

    async def ask(table, after, wait_ms):
        if table != "servers":
            return await changes(table, after, wait_ms)
        context.client.changes = changes
        is_asked.set()
        await asyncio.sleep(CALL_TIMEOUT_S)
        raise StoreUnavailableError("no answer")

    context.client.changes = ask
    context.run(asyncio.wait_for(is_asked.wait(), 3))


@when("a read of the endpoints fails by {error}")
def step_read_raises(context, error):
    changes = context.client.changes
    has_failed = asyncio.Event()

    async def fail(table, after, wait_ms):
        if table != "servers":
            return await changes(table, after, wait_ms)
        context.client.changes = changes
        has_failed.set()
        raise getattr(builtins, error)

    context.client.changes = fail
    context.run(asyncio.wait_for(has_failed.wait(), 3))


@when("no list can be published while the store says version {version:d}")
def step_not_published(context, version):
    replace = context.directory.replace

    def fail(*args, **kwargs):
        raise RuntimeError("for the test")

    async def play():
        context.directory.replace = fail
        context.store.put("op", "config", configuration(version))
        await asyncio.sleep(0.3)
        context.directory.replace = replace

    context.run(play())


@when('the endpoint "{name}" leaves without a word')
def step_deleted(context, name):
    context.store.delete("servers", name)


@when('"{name}" begins to leave between two pages of the list')
def step_between_pages(context, name):
    store = context.store
    for number in range(600):
        other = RoutedEndpoint(f"q{number}")
        row = registered(other, "portal", "127.0.0.1:1", DATA_CENTRE)
        store.put("servers", other.endpoint_id, row)
    leaving = registered(
        RoutedEndpoint(name), "portal", "127.0.0.1:1", DATA_CENTRE, "draining"
    )
    store.on_page = lambda: store.put("servers", name, leaving)

    async def read():
        context.snapshot = await context.client.read("servers")

    context.run(read())


@then("the changes after that list say so")
def step_fed(context):
    version = context.snapshot.version
    changes = context.run(context.client.changes("servers", version, 0))
    assert b"draining" in {r.key: r.value for r in changes.rows}.get("p1", b"")


@when("an answer of the store is {ms:d} ms on its way")
def step_answer_on_its_way(context, ms):
    client = context.client
    exchange = client._exchange

    async def late(*call):
        answer = await exchange(*call)
        await asyncio.sleep(ms / 1000)
        return answer

    context.run(_end(context.tasks))
    context.run(client.read("servers"))
    client._exchange = late
    context.run(client.read("servers"))


@when("the store's clock goes back by an hour")
def step_clock_back(context):
    moment = context.store._moment
    context.run(_end(context.tasks))
    context.run(context.client.read("servers"))
    hour_ms = 3_600_000
    context.store._moment = lambda: moment() | {"nowMs": moment()["nowMs"] - hour_ms}
    context.run(context.client.read("servers"))


@then("the client tells the store's clock to within {ms:d} ms")
def step_clock(context, ms):
    store_ms = context.store._moment()["nowMs"]
    assert abs(context.client.now_ms() - store_ms) <= ms, (
        context.client.now_ms(),
        store_ms,
    )


@given("one that follows the list and fails")
def step_fails(context):
    def fail():
        raise RuntimeError("for the test")

    context.directory.on_change(fail)


def _until(condition, within_ms):
    return wait_until(condition, within_ms / 1000, "it did not come into force")


@then("the configuration in force is version {version:d}")
def step_version(context, version):
    context.run(_until(lambda: context.current.version == version, SOON_MS))


@then("the configuration in force is version {version:d} within {ms:d} ms")
def step_version_within(context, version, ms):
    context.run(_until(lambda: context.current.version == version, ms))


@then(
    'the endpoint "{name}" is gone {least_ms:d} to {most_ms:d} ms after the news of '
    "the store's return"
)
def step_gone_in_time(context, name, least_ms, most_ms):
    context.run(_until(lambda: context.regained_s, SOON_MS))
    context.run(_until(lambda: name not in context.directory.all, 2 * SOON_MS))
    gone_ms = 1000 * (context.loop.time() - context.regained_s[0])
    assert least_ms <= gone_ms <= most_ms, gone_ms


@then('the known endpoints are "{names}"')
def step_known(context, names):
    context.run(asyncio.sleep(0.1))
    assert set(context.directory.all) == set(names.split(", "))


@then('the endpoint "{name}" is gone after {ms:d} ms')
def step_gone(context, name, ms):
    context.run(_until(lambda: name not in context.directory.all, ms))


@then("two VMs that ask for the shared keys at once get the same ones")
def step_keys(context):
    rosters = [_roster(context, f"vm-{n}") for n in range(2)]

    async def both():
        return await asyncio.gather(*(one.first_contact() for one in rosters))

    one, other = context.run(both())
    assert one.keys.private_key == other.keys.private_key


def _roster(context, vm_id):
    clock = MonotonicClock()
    return VmRoster(context.client, clock, vm_id, DATA_CENTRE, "127.0.0.1:1")


@when('"{vm_id}" has started before and starts again')
def step_starts_again(context, vm_id):
    async def start():
        roster = _roster(context, vm_id)
        await roster.first_contact()
        await roster.read()

    context.run(start())
    context.calls_before = context.client.calls
    context.run(start())


@then("its second start has called the store {n:d} time")
def step_start_calls(context, n):
    assert context.client.calls - context.calls_before == n


@given('"{vm_id}" runs, and the store comes back from a copy of before its start')
def step_runs_before_copy(context, vm_id):
    copy = context.store.copy()
    roster = _roster(context, vm_id)
    context.keys = context.run(roster.first_contact()).keys
    context.endpoint_watch.on_came_back(roster.store_came_back)
    context.tasks.append(context.loop.create_task(roster.keep()))
    context.store.come_back_from(copy)


@when('"{vm_id}" starts {ms:d} ms later')
def step_starts_later(context, vm_id, ms):
    context.run(asyncio.sleep(ms / 1000))
    context.roster = _roster(context, vm_id)
    context.later_keys = context.run(context.roster.first_contact()).keys


@then('it has the keys of "{vm_id}", and finds it on the list')
def step_has_met(context, vm_id):
    assert context.later_keys.private_key == context.keys.private_key
    assert vm_id in context.roster.vm_ids(), context.roster.vm_ids()


@when('{tokens:d} tokens of "{organisation}" are recorded as used {ms:d} ms ago')
def step_record(context, tokens, organisation, ms):
    record = StoreUseRecord(context.client, "vm-1", 1)
    context.run(context.client.read("op"))
    context.run(record.save("pool", [TokenUse(organisation, ms, tokens)]))


@then('the record says {tokens:d} tokens of "{organisation}" at least {ms:d} ms ago')
def step_recorded(context, tokens, organisation, ms):
    (use,) = context.run(StoreUseRecord(context.client, "vm-1", 2).load())
    own = context.run(StoreUseRecord(context.client, "vm-1", 1).load())
    assert own == []
    assert (use.organisation, use.tokens) == (organisation, tokens)
    # The store's clock is told in whole milliseconds.
    assert use.age_ms >= ms - 2


@when('"{one}" and "{other}" record {first:d} and {second:d} tokens each')
def step_record_two(context, one, other, first, second):
    async def record():
        await context.client.read("op")
        for name, tokens in ((one, first), (other, second)):
            record = StoreUseRecord(context.client, name, 1)
            await record.save("pool", [TokenUse("org", 0, tokens)])

    context.run(record())


@then('"{name}" loads {tokens:d} tokens')
def step_loads(context, name, tokens):
    uses = context.run(StoreUseRecord(context.client, name, 1).load())
    assert sum(use.tokens for use in uses) == tokens


@when("that VM starts again and records {tokens:d} tokens {when}")
def step_record_again(context, tokens, when):
    context.record = record = StoreUseRecord(context.client, "vm-1", 2)
    if when == "after it has read":
        context.run(record.load())
    context.run(record.save("pool", [TokenUse("org", 0, tokens)]))


@then("that VM still finds {tokens:d} tokens of before")
def step_finds_former(context, tokens):
    uses = context.run(context.record.load())
    assert sum(use.tokens for use in uses) == tokens, uses
