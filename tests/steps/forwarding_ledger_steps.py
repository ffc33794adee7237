"""Steps of tests/forwarding/ledger.feature."""

import asyncio
from types import SimpleNamespace

from behave import given, then, when

from pomelolane.clock import ManualClock
from pomelolane.exceptions import PlatformUnavailableError
from pomelolane.forwarding.ledger import Ledger
from pomelolane.forwarding.usage_exchange import UsageExchange
from pomelolane.messages import ToldUse, UsesTold
from pomelolane.ports import Peer, View
from pomelolane.scheduler.rate_limiting import TokenUse

SERVICE = "s"


class FakeServiceQueue:
    """A service queue with a share of unrecorded usage until it is marked recorded."""

    def __init__(self, share):
        self.share = share
        self.account = self

    def unrecorded_share(self):
        return self.share

    def mark_recorded(self):
        self.share = 0.0

    def uses(self):
        return [TokenUse("o", 0, 100)]

    def guess_part(self):
        return 0.0

    def guessed_organisations(self):
        return []

    def replace_reported(self, uses, *, guess_part):
        self.guess_part_taken = guess_part
        self.taken = sum(use.tokens for use in uses)


class FakeRecord:
    """A usage store whose next calls fail as often as `failures` says."""

    def __init__(self):
        self.failures = 0
        self.saved = []
        self.recorded = []
        self.loads = 0

    async def save(self, service, uses):
        if self.failures:
            self.failures -= 1
            raise PlatformUnavailableError("the store is away")
        self.saved.append((service, uses))

    async def load(self):
        self.loads += 1
        if self.failures:
            raise PlatformUnavailableError("the store is away")
        return self.recorded


class FakeNetwork:
    """Membership and transport of "vm-0" in a cluster of three VMs."""

    def __init__(self):
        self.sent = []

    def view(self):
        return View(1, {f"vm-{n}": Peer(f"vm-{n}", 1, "", "") for n in range(3)})

    def subscribe(self, kind, handler):
        self.handler = handler

    def send(self, vm_id, message):
        self.sent.append((vm_id, message))
        return True


@given("a scheduler that admitted {share:f} of an allowance since its last record")
def step_scheduler(context, share):
    service_queue = context.service_queue = FakeServiceQueue(share)
    context.role = SimpleNamespace(
        service_queues=lambda: {SERVICE: service_queue},
        service_queue=lambda service: service_queue,
    )
    context.record = FakeRecord()
    context.network = FakeNetwork()
    usage_exchange = UsageExchange(
        "vm-0", 1, context.network, context.network, ManualClock()
    )
    coordination = SimpleNamespace(
        role=context.role,
        schedulers=lambda: {SERVICE: "vm-1"},
        successor=lambda service: "vm-2",
    )
    context.ledger = Ledger(
        coordination, context.record, usage_exchange, load_delay_s=0.0
    )


@given('a new scheduler and a record of 100 tokens of "vm-1" and 40 of "vm-2"')
def step_recorded_before(context):
    step_scheduler(context, 0.0)
    context.record.recorded = [
        TokenUse("o", 0, 100, "vm-1/1", service=SERVICE),
        TokenUse("o", 0, 40, "vm-2/1", service=SERVICE),
    ]


@given("a new scheduler and a store that fails")
def step_store_fails(context):
    step_scheduler(context, 0.0)
    context.record.failures = 1


@when("it gives up the role")
def step_leaves(context):
    context.role.on_left(SERVICE)


@when('"{sender}" reports {tokens:d} tokens')
@when('"{sender}" reports {tokens:d} tokens of {age_ms:d} ms ago')
def step_reports(context, sender, tokens, age_ms=0):
    async def receive():
        uses = (ToldUse("o", age_ms, tokens),)
        message = UsesTold(SERVICE, uses, account="vm-1/1", leaves=True)
        context.network.handler(sender, message)
        await asyncio.gather(*context.ledger._loading)

    context.run(receive())


@then("its {tokens:d} tokens are reported to the other VMs")
def step_reported(context, tokens):
    assert {vm_id for vm_id, _ in context.network.sent} == {"vm-1", "vm-2"}
    for _, message in context.network.sent:
        assert sum(use.tokens for use in message.uses) == tokens


@then("the new scheduler counts {tokens:d} tokens")
def step_counts(context, tokens):
    assert context.service_queue.taken == tokens, context.service_queue.taken


@given("a store that fails once")
def step_fails(context):
    context.record.failures = 1


@when("records are saved, {condition}")
def step_save(context, condition):
    context.run(context.ledger.save(only_due=condition == "only those due"))


@then("its usage is recorded")
def step_recorded(context):
    assert [service for service, _ in context.record.saved] == [SERVICE]


@then("its usage is not recorded")
def step_not_recorded(context):
    assert context.record.saved == []


@given("it admitted nothing before")
def step_nothing(context):
    context.service_queue.uses = list


@then("nothing is reported to the other VMs")
def step_nothing_reported(context):
    assert context.network.sent == []


@given("a new scheduler that gives up its role before it reads the record")
def step_leaves_early(context):
    step_scheduler(context, 0.0)
    context.ledger._load_delay_s = 0.02

    async def take_and_leave():
        context.role.on_taken(SERVICE)
        context.role.service_queue = lambda service: None
        await asyncio.gather(*context.ledger._loading)

    context.run(take_and_leave())


@then("the store was not read")
def step_not_read(context):
    assert context.record.loads == 0
