"""Steps for claims that one VM commits for its data centre."""

from __future__ import annotations

import asyncio
import random

from behave import given, then, when
from hypothesis import HealthCheck, settings
from hypothesis import given as hypothesis_given
from hypothesis import strategies as st

from pomelolane.clock import ManualClock, MonotonicClock
from pomelolane.messages import (
    ClaimBatch,
    ClaimResults,
    RelayedWrite,
    decode_message,
    encode_message,
)
from pomelolane.outcomes import Outcome, Refusal
from pomelolane.ports import Peer, View
from pomelolane.store import (
    EmbeddedTable,
    GatherSettings,
    GroupCommitter,
    make_claims,
    make_gathering_committer,
)
from pomelolane.store.gather import gatherers_of
from tests.faults import COMMIT_FAULTS, FaultyTable

_SETTINGS = GatherSettings(
    hold_ms=1, reply_timeout_ms=40, distrust_ms=100, least_spacing_ms=1,
    commits_per_s=100_000,
)  # fmt: skip


class Wire:
    """Carries messages between VMs and loses those that a test chooses."""

    def __init__(self) -> None:
        self.handlers = {}
        self.loses = lambda sender, receiver, message: False
        self.held = None

    def end(self, vm_id):
        """Return a VM's transport."""
        return WireEnd(self, vm_id)

    def deliver(self, sender, receiver, message):
        """Pass a message on, unless it is lost or held back."""
        if self.loses(sender, receiver, message):
            return
        if self.held is not None:
            self.held.append((sender, receiver, message))
            return
        data = encode_message(message)
        handler = self.handlers.get((receiver, type(message)))
        if handler is not None:
            handler(sender, decode_message(data))

    def wake(self):
        """Deliver what was held back."""
        held, self.held = self.held, None
        for each in held:
            self.deliver(*each)


class WireEnd:
    """One VM's end of the wire."""

    def __init__(self, wire, vm_id):
        self.wire = wire
        self.vm_id = vm_id

    def send(self, vm_id, message):
        """Send soon."""
        loop = asyncio.get_running_loop()
        loop.call_soon(self.wire.deliver, self.vm_id, vm_id, message)
        return True

    def subscribe(self, kind, handler):
        """Register a handler."""
        self.wire.handlers[self.vm_id, kind] = handler


class FixedView:
    """A view that tests set."""

    def __init__(self, view):
        self.current = view
        self.callbacks = []

    def view(self):
        """Return the view."""
        return self.current

    def on_change(self, callback):
        """Keep a callback."""
        self.callbacks.append(callback)

    def replace(self, view):
        """Change the view."""
        self.current = view
        for callback in self.callbacks:
            callback(view)


def _view(vms, data_centres=1):
    peers = {}
    for centre in range(data_centres):
        for number in range(vms):
            vm_id = f"dc{centre}-{number}"
            peers[vm_id] = Peer(vm_id, 1, f"dc{centre}", "")
    return View(1, peers)


class Group:
    """Gathering VMs over one table."""

    def __init__(self, count):
        self.wire = Wire()
        self.inner = EmbeddedTable()
        self.membership = FixedView(_view(count))
        self.tables = {
            vm: FaultyTable(self.inner) for vm in self.membership.view().peers
        }
        self.committers = {vm: self._committer(vm) for vm in self.tables}
        self.claims = {vm: self._claims(vm) for vm in self.tables}
        self.gatherer = gatherers_of(self.membership.view(), "dc0", 6)[0]

    def _committer(self, vm_id):
        clock = MonotonicClock()
        core = GroupCommitter(self.tables[vm_id], clock, lazy_ms=1, probe_ms=1)
        return make_gathering_committer(
            core, self.wire.end(vm_id), self.membership, vm_id, "dc0", clock, _SETTINGS
        )

    def _claims(self, vm_id):
        return make_claims(
            self.tables[vm_id],
            vm_id,
            1,
            MonotonicClock(),
            committer=self.committers[vm_id],
            wall=ManualClock(),
        )

    async def claim_all(self, key_of):
        """Claim keys on all VMs at once."""
        return await asyncio.gather(
            *(
                claims.claim(key, "d", timeout_ms=20_000)
                for vm_id, claims in self.claims.items()
                for key in key_of(vm_id)
            )
        )


@given("{count:d} gathering VMs in one data centre")
def step_group(context, count):
    async def make():
        return Group(count)

    context.group = context.run(make())


@given("the gatherer hears nothing")
def step_deaf(context):
    gatherer = context.group.gatherer
    context.group.wire.loses = lambda sender, receiver, message: receiver == gatherer


@given("the gatherer commits but its answer is lost")
def step_mute(context):
    context.group.wire.loses = lambda sender, receiver, message: isinstance(
        message, ClaimResults
    )


@given("the gatherer cannot reach the table at all")
def step_table_cut(context):
    context.group.tables[context.group.gatherer].is_down = True


@given("the gatherer loses a commit and a reply")
def step_table_away(context):
    context.group.tables[context.group.gatherer].faults.extend(
        ["lost_write", "lost_reply"]
    )


@given("the gatherer is frozen")
def step_frozen(context):
    context.group.wire.held = []


@when("the gatherer wakes")
def step_wakes(context):
    async def wake():
        context.group.wire.wake()
        await asyncio.sleep(0.05)

    context.run(wake())


@when("all gathering VMs claim {count:d} keys each")
def step_claim_each(context, count):
    context.results = context.run(
        context.group.claim_all(lambda vm: [f"{vm}-{i}" for i in range(count)])
    )


@when("all gathering VMs claim the same key")
def step_claim_same(context):
    context.results = context.run(context.group.claim_all(lambda vm: ["k"]))


@when('a VM asks the gatherer to write "{key}"')
def step_foreign(context, key):
    async def ask():
        group = context.group
        batch = ClaimBatch(1, False, (RelayedWrite(key, b"x", 0),))
        group.wire.deliver("dc0-9", group.gatherer, batch)
        await asyncio.sleep(0.02)
        return await group.inner.scan("")

    context.result = context.run(ask())


@when("the view has {vms:d} VMs in each of {data_centres:d} data centres")
def step_view(context, vms, data_centres):
    context.group = Group(3)
    vm_id, table = next(iter(context.group.tables.items()))
    clock = MonotonicClock()
    core = GroupCommitter(table, clock)
    membership = FixedView(_view(vms, data_centres))
    context.committer = make_gathering_committer(
        core, context.group.wire.end(vm_id), membership, vm_id, "dc0", clock
    )


@then("the gathering VMs commit every {spacing_ms:d} ms")
def step_spacing(context, spacing_ms):
    assert round(context.committer.core.spacing_ms) == spacing_ms


@then("no such row is written")
def step_no_row(context):
    assert not context.result


def _held(context):
    return [record for record in context.results if record and record.fresh]


@then("all gathered claims are held")
def step_all_held(context):
    assert len(_held(context)) == len(context.results), context.results


@then("all gathered claims are held after at most {commits:d} commits by one VM")
def step_all_held_few(context, commits):
    step_all_held(context)
    assert context.group.inner.commits <= commits, context.group.inner.commits
    counters = [each.core.counters for each in context.group.committers.values()]
    assert sum(each.commits > 0 for each in counters) == 1


@then("the gatherer's claims are refused and all others are held")
def step_others_held(context):
    refused = [each for each in context.results if isinstance(each, Refusal)]
    assert all(each.outcome is Outcome.NOT_RUN for each in refused)
    holders = {record.vm_id for record in _held(context)}
    assert holders == set(context.group.claims) - {context.group.gatherer}
    per_vm = len(context.results) // len(context.group.claims)
    assert len(refused) == per_vm, context.results


@then("exactly one gathering VM holds it")
def step_one_held(context):
    assert len(_held(context)) == 1, context.results


async def _run_group(faults, losses, seed):
    group = Group(3)
    chooser = random.Random(seed)
    group.wire.loses = lambda *message: chooser.random() < losses / 10
    for index, fault in enumerate(faults):
        group.tables[f"dc0-{index % 3}"].faults.append(fault)
    results = await group.claim_all(lambda vm: ["x", "y", "x"])
    for table in group.tables.values():
        await table.deliver_late()
    return [record.key for record in results if not isinstance(record, Refusal)
            and record.fresh]  # fmt: skip


@then("random lost messages and faults never hold a gathered key twice")
def step_model(context):
    @settings(
        max_examples=60,
        deadline=None,
        database=None,
        derandomize=True,
        suppress_health_check=list(HealthCheck),
    )
    @hypothesis_given(
        st.lists(st.sampled_from(COMMIT_FAULTS), max_size=9),
        st.integers(0, 6),
        st.integers(0, 1000),
    )
    def check(faults, losses, seed):
        held = context.run(_run_group(faults, losses, seed))
        assert len(held) == len(set(held)), held

    check()
