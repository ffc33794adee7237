"""Steps of distribution.feature: settings on members over real sockets."""

from behave import given, then, when

from pomelolane.clock import ManualClock, MonotonicClock
from pomelolane.exceptions import PlatformUnavailableError
from pomelolane.messages import BranchContent, BranchWanted
from pomelolane.ports import Peer, View, Write
from pomelolane.settings import SettingsStore, rows
from pomelolane.settings.distribution import make_distribution
from pomelolane.store.embedded import EmbeddedTable
from tests.membership.region import Region
from tests.membership.waiting import eventually, stop_at_end


class CountedTable:
    """One VM's way to the table, which can be cut and counts reads."""

    def __init__(self, table):
        self.reachable = True
        self.reads = 0
        self._table = table

    async def read(self, key):
        """Read through, unless cut."""
        self._check()
        return await self._table.read(key)

    async def scan(self, prefix, *, limit=1000):
        """Scan through, unless cut."""
        self._check()
        return await self._table.scan(prefix, limit=limit)

    def _check(self):
        self.reads += 1
        if not self.reachable:
            raise PlatformUnavailableError("cut")


class SettingsRegion:
    """A region of members with settings on each."""

    def __init__(self, layout):
        self.region = Region(layout)
        self.table = EmbeddedTable()
        self.tables = {}
        self.parts = {}
        self.told = {}
        self.reachable = True

    async def start(self, *vm_ids):
        """Start some VMs, or all."""
        await self.region.start(*vm_ids)
        for vm_id in vm_ids or self.region.members:
            self.tables[vm_id] = table = CountedTable(self.table)
            table.reachable = self.reachable
            member = self.region.members[vm_id]
            store = SettingsStore(table)
            part = make_distribution(table, store, member, MonotonicClock())
            self.told[vm_id] = told = []
            part.on_change(lambda *got, told=told: told.append(got))
            self.parts[vm_id] = part
            await part.start()

    async def stop(self):
        """End everything."""
        for part in self.parts.values():
            await part.stop()
        await self.region.stop()

    def set_platform(self, reachable, vm_ids=None):
        """Cut VMs from the platform, or join them to it."""
        for vm_id in vm_ids or self.tables:
            self.tables[vm_id].reachable = reachable
        if vm_ids is None:
            self.reachable = reachable

    async def commit(self, branch, version):
        """Put a version into the table, as an accepted change does."""
        current = await self.table.read(rows.COUNTER_KEY)
        counter = current.version if current else 0
        writes = [Write(rows.COUNTER_KEY, b"token", counter)]
        key = rows.branch_key(branch)
        known = await self.table.read(key)
        if known and known.version >= version:
            return
        writes.append(Write(key, content_of(version), None))
        results = await self.table.commit(writes)
        assert all(result.applied for result in results)
        await self.commit(branch, version)

    def in_force(self, branch, version):
        """Tell whether every VM was told of a version last."""
        wanted = (branch, version, content_of(version))
        return all(told and told[-1] == wanted for told in self.told.values())


def content_of(version):
    return b'{"version":%d}' % version


def data_centre(system, name):
    members = system.region.members
    return [vm for vm, member in members.items() if member.data_centre == name]


@given("settings on a region of {data_centres:d} data centres with {count:d} VMs each")
@given("settings on a region of {data_centres:d} data centre with {count:d} VMs each")
def step_region(context, data_centres, count):
    layout = {
        f"dc{name}": [f"{name}{number}" for number in range(1, count + 1)]
        for name in "abc"[:data_centres]
    }
    context.system = SettingsRegion(layout)
    stop_at_end(context, context.system)
    context.run(context.system.start())
    ready = lambda: (  # noqa: E731
        context.system.region.agree()
        and all(part.is_synced for part in context.system.parts.values())
    )
    context.run(eventually(ready, "all views agree and settings are in sync"))


def offer(context, vm_id, branch, version):
    async def call():
        part = context.system.parts[vm_id]
        assert part.offer(branch, version, content_of(version))

    context.run(call())


@when(
    'version {version:d} of branch "{branch}" is committed and offered through "{vm}"'
)
def step_commit_offer(context, version, branch, vm):
    context.run(context.system.commit(branch, version))
    offer(context, vm, branch, version)


@when('version {version:d} of branch "{branch}" is committed and offered to nobody')
def step_commit(context, version, branch):
    context.run(context.system.commit(branch, version))


@when(
    'version {version:d} of branch "{branch}" is committed and the platform goes away'
)
def step_commit_outage(context, version, branch):
    context.offered = (branch, version)
    context.run(context.system.commit(branch, version))
    context.system.set_platform(False)


@when('"{vm}" offers it')
def step_offer(context, vm):
    offer(context, vm, *context.offered)


@given('version {version:d} of branch "{branch}" is in force everywhere')
def step_given_force(context, version, branch):
    context.run(context.system.commit(branch, version))
    step_in_force(context, version, branch)


@then('version {version:d} of branch "{branch}" is in force on all VMs')
def step_in_force(context, version, branch):
    system = context.system
    in_force = lambda: system.in_force(branch, version)  # noqa: E731
    context.run(eventually(in_force, f"{branch} {version} in force everywhere"))


@when("the platform goes away")
def step_outage(context):
    context.system.set_platform(False)


@when('the settings VM "{vm}" is killed and starts again')
def step_restart(context, vm):
    system = context.system

    async def restart():
        await system.parts.pop(vm).stop()
        await system.region.kill(vm)
        await system.start(vm)

    context.run(restart())


@then('"{vm}" was told of "{branch}" only in version {version:d}')
def step_only(context, vm, branch, version):
    assert [got[:2] for got in context.system.told[vm]] == [(branch, version)]


@when('"dca" is cut from "dcb" and from the platform')
def step_cut(context):
    system = context.system
    system.set_platform(False, data_centre(system, "dca"))
    context.run(system.region.set_between("dca", "dcb", "cut"))


@when("the data centres are joined again, but not the platform")
def step_join(context):
    far = data_centre(context.system, "dca")
    assert not any(got[:2] == ("team-a", 2) for vm in far for got in told(context, vm))
    context.run(context.system.region.set_between("dca", "dcb", "pass"))


def told(context, vm):
    return context.system.told[vm]


@then("no VM was told of an older version after a newer one")
def step_never_older(context):
    for got in context.system.told.values():
        versions = [version for _, version, _ in got]
        assert versions == sorted(set(versions)), versions


@when("the delegates have polled {count:d} more times")
def step_polled(context, count):
    system = context.system
    delegates = system.region.delegates("dca")
    assert len(delegates) == 2
    context.plain = system.tables.keys() - delegates
    reads = lambda: sum(system.tables[vm].reads for vm in delegates)  # noqa: E731
    context.reads = {vm: system.tables[vm].reads for vm in context.plain}
    wanted = reads() + count
    context.run(eventually(lambda: reads() >= wanted, "the polls"))


@then("no other VM has read the platform meanwhile")
def step_no_reads(context):
    reads = {vm: context.system.tables[vm].reads for vm in context.plain}
    assert reads == context.reads


# --- one VM alone, on a clock moved by hand ---------------------------------


class FakePeers:
    """The other VMs, as far as a lone VM's settings know them."""

    is_delegate = True
    data_centre = "dca"

    def __init__(self):
        self.sent = []
        self._handlers = {}
        names = ("me", "x", "y")
        peers = {name: Peer(name, 1, "dca", "") for name in names}
        self._view = View(1, peers)

    def view(self):
        """Return a view with two others."""
        return self._view

    def local_peers(self):
        """Return nobody to pass anything on to."""
        return ()

    def remote_delegates(self):
        """Return nobody to pass anything on to."""
        return ()

    def send(self, vm_id, message):
        """Note what is sent."""
        self.sent.append((vm_id, message))
        return True

    def subscribe(self, kind, handler):
        """Keep the handler."""
        self._handlers[kind] = handler

    def set_versions(self, versions):
        """Tell nobody."""

    def on_versions(self, callback):
        """Keep the callback."""
        self.say_versions = callback

    def deliver(self, sender, message):
        """Hand a message to its handler."""
        self._handlers[type(message)](sender, message)


@given("a lone settings VM without the platform")
def step_lone(context):
    context.clock = ManualClock()
    context.peers = FakePeers()
    table = CountedTable(EmbeddedTable())
    table.reachable = False
    context.part = make_distribution(
        table, SettingsStore(table), context.peers, context.clock
    )
    context.told = []
    context.part.on_change(lambda *got: context.told.append(got))


@given('a lone settings VM with branch "{branch}" in version {version:d}')
def step_lone_with(context, branch, version):
    step_lone(context)
    context.part.offer(branch, version, content_of(version))
    context.peers.say_versions("x", {branch: version})
    pass_time(context, 800)
    assert context.part.is_synced


def pass_time(context, by_ms):
    for _ in range(by_ms // 100):
        context.clock.advance(100.0)
        context.part.tick()


@when("its settings are polled and {ticks:d} ticks of 100 ms pass")
def step_poll_ticks(context, ticks):
    try:
        context.run(context.part.poll())
    except PlatformUnavailableError:
        pass_time(context, ticks * 100)
    else:
        raise AssertionError("the platform answers")


@then("its settings are not in sync and nothing is in force")
def step_not_synced(context):
    assert not context.part.is_synced
    assert not context.told


@when('another VM sends version {version:d} of branch "{branch}"')
def step_sends(context, version, branch):
    other = BranchContent(branch, version, b"other")
    context.peers.deliver("x", other)


@then('its settings hold version {version:d} of branch "{branch}" as first told')
def step_holds(context, version, branch):
    wanted = BranchContent(branch, version, content_of(version))
    assert context.part.snapshot() == {branch: wanted}
    assert context.told == [(branch, version, content_of(version))]


@when('two others say that they have version {version:d} of branch "{branch}"')
def step_two_say(context, version, branch):
    for vm_id in ("x", "y"):
        context.peers.say_versions(vm_id, {branch: version})


@then("it asks nobody within {by_ms:d} ms")
def step_asks_nobody(context, by_ms):
    pass_time(context, by_ms)
    assert not context.peers.sent


@then("it asks both in turn within {by_ms:d} ms")
def step_asks_both(context, by_ms):
    pass_time(context, by_ms)
    wanted = BranchWanted("team-a", 5)
    assert context.peers.sent == [("x", wanted), ("y", wanted)]


@when('{which} says that it has version {version:d} of branch "{branch}" and sends it')
def step_says_and_sends(context, which, version, branch):
    vm_id = "x" if which == "one other" else "y"
    context.peers.say_versions(vm_id, {branch: version})
    content = BranchContent(branch, version, content_of(version))
    context.peers.deliver(vm_id, content)


@when("{by_ms:d} ms pass for the lone VM")
def step_pass(context, by_ms):
    pass_time(context, by_ms)
