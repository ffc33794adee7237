"""Steps of tests/forwarding/estimates.feature."""

import asyncio
from dataclasses import replace
from types import SimpleNamespace

from behave import given, then, when
from scheduler_driver import SERVICE, CoreDriver

from pomelolane.forwarding.estimate_keeper import EstimateKeeper
from pomelolane.forwarding.estimate_messages import shared_from_estimate
from pomelolane.messages import EstimatesShared, decode_message, encode_message
from pomelolane.model import Endpoint
from pomelolane.platform.estimaterecord import StoreEstimateRecord
from pomelolane.platform.storeclient import StoreClient
from pomelolane.scheduler.objective.estimates import EndpointEstimate
from standins.routed import MetadataStore
from standins.routed.store import Trouble

ENDPOINT = Endpoint("e", SERVICE, "", "", born_ms=7, version="1")
ESTIMATE = EndpointEstimate("e", 7, "1", 4.0, 40.0, 0.1, 9, 0.0, 6.0)


class Vm:
    """A VM "vm-0" with a keeper, a core and a store client of its own."""

    def __init__(self, context):
        self.driver = CoreDriver([ENDPOINT], policy="objective")
        self.worker = self.driver.core._fleet.find("e")
        self.sent = []
        self.queue = None
        self.store = StoreClient(context.address)
        context.add_cleanup(self.store.close)
        self.role = SimpleNamespace(
            service_queues=lambda: {SERVICE: self.queue} if self.queue else {},
            service_queue=lambda service: self.queue,
            on_taken=lambda service: None,
            on_left=lambda service: None,
        )
        coordination = SimpleNamespace(
            role=self.role,
            standbys=lambda service: frozenset({"vm-0", "vm-1", "vm-2"}),
            schedulers=lambda: {SERVICE: "vm-3"},
        )
        self.record = StoreEstimateRecord(self.store)
        self.keeper = EstimateKeeper(
            "vm-0", coordination, self.record, self, self.driver.clock
        )

    def subscribe(self, kind, handler):
        self.receive = handler

    def send(self, vm_id, message):
        self.sent.append((vm_id, decode_message(encode_message(message))))

    async def take_role(self):
        self.queue = SimpleNamespace(core=self.driver.core)
        self.role.on_taken(SERVICE)
        # Taking the role must not wait for the row.
        assert self.keeper._copies or self.worker.slowdown == 1.0
        await asyncio.gather(*self.keeper._loads.values())

    def learn(self, slowdown, after_s):
        self.driver.clock.advance(1000 * after_s)
        self.worker.slowdown, self.worker.samples = slowdown, 9
        self.worker.sampled_ms = self.driver.now


def _vm(context):
    if "vm" not in context:
        context.metadata = MetadataStore()
        context.address = context.run(context.metadata.start())
        context.add_cleanup(lambda: context.run(context.metadata.aclose()))
        context.vm = Vm(context)
    return context.vm


@given('"vm-0" schedules a service, and an endpoint\'s slowdown is {slowdown:g}')
def step_scheduler(context, slowdown):
    context.run(_vm(context).take_role())
    context.vm.learn(slowdown, 0)


@when("5 s have passed")
def step_share(context):
    context.vm.keeper.share()


@when("its role is taken over")
def step_left(context):
    async def leave():
        context.vm.role.on_left(SERVICE)
        await asyncio.sleep(0)

    context.run(leave())


@then("the estimates are sent to {receivers}")
def step_sent(context, receivers):
    assert sorted(vm for vm, _ in context.vm.sent) == receivers.split(", ")
    for _, message in context.vm.sent:
        (shared,) = message.estimates
        assert (shared.endpoint_id, shared.slowdown_thousandths) == ("e", 4000)


@given("the store's row has slowdown {slowdown:g}")
def step_row(context, slowdown):
    async def save(vm):
        await vm.store.read("op")
        await vm.record.save(SERVICE, [replace(ESTIMATE, slowdown=slowdown)])

    context.run(save(_vm(context)))


@given("the store's row is {value}")
def step_bad_row(context, value):
    _vm(context)
    context.metadata.put("estimates", SERVICE, value.encode())


@given("a store that is away")
def step_away(context):
    _vm(context)
    context.metadata.trouble = Trouble.BUSY


@given('"vm-0" was sent slowdown {slowdown} by "{sender}" {age_s:d} s ago')
def step_was_sent(context, slowdown, sender, age_s):
    if slowdown != "none":
        shared = shared_from_estimate(replace(ESTIMATE, slowdown=float(slowdown)))
        _vm(context).receive(sender, EstimatesShared(SERVICE, (shared,)))
    context.vm.driver.clock.advance(1000 * age_s)


@when('"vm-0" takes the role')
@when("another VM starts and takes the role")
def step_take(context):
    if context.vm.queue is not None:
        context.vm = Vm(context)
    calls = context.vm.store.calls
    context.run(context.vm.take_role())
    context.calls = context.vm.store.calls - calls


@then('it has adopted from "{source}", with {calls:d} store calls')
def step_adopted(context, source, calls):
    expected = {} if source == "none" else {source: 1}
    assert context.vm.driver.core.adopted_estimates() == expected
    assert (context.vm.worker.slowdown > 2.0) == bool(expected)
    assert context.calls == calls


@when("it has written a row and the slowdown is {slowdown:g} after {s:d} s")
def step_learn(context, slowdown, s):
    vm = context.vm
    for value, after_s in ((vm.worker.slowdown, 10), (slowdown, s)):
        calls = vm.store.calls
        vm.learn(value, after_s)
        context.run(vm.keeper.save())
        context.writes = vm.store.calls - calls


@then("the row is written {count:d} times more")
def step_writes(context, count):
    assert context.metadata.value("estimates", SERVICE)
    assert context.writes == count
