"""Steps of tests/forwarding/estimates.feature."""

import asyncio
from dataclasses import replace
from types import SimpleNamespace

from behave import given, then, when
from scheduler_driver import SERVICE, CoreDriver

from pomelolane.forwarding.estimate_conversion import shared_from_estimate
from pomelolane.forwarding.estimate_keeper import EstimateKeeper
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
        self.sent, self.queues = [], {}
        self.store = StoreClient(context.address)
        context.add_cleanup(self.store.close)
        self.role = SimpleNamespace(
            service_queues=lambda: dict(self.queues),
            service_queue=self.queues.get,
            on_taken=lambda service: None,
            on_left=lambda service: None,
        )
        coordination = SimpleNamespace(
            role=self.role,
            standbys=lambda service: frozenset({"vm-0", "vm-1", "vm-2"}),
            schedulers=lambda: {SERVICE: "vm-3"},
        )
        record = StoreEstimateRecord(self.store)
        clock = self.driver.clock
        self.keeper = EstimateKeeper("vm-0", coordination, record, self, clock)

    def subscribe(self, kind, handler):
        self.receive = handler

    def send(self, vm_id, message):
        self.sent.append((vm_id, decode_message(encode_message(message))))

    async def take_role(self):
        self.queues[SERVICE] = SimpleNamespace(core=self.driver.core)
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


@when("{event} for its estimates")
def step_share(context, event):
    vm = context.vm
    if event == "its role is taken over":
        vm.role.on_left(SERVICE)
        return
    asked, others = [], dict(vm.queues)
    core = SimpleNamespace(
        estimates=lambda now_ms: 1 / 0,
        take_new_adoptions=lambda: asked.append(True) or {},
    )
    vm.queues.clear()
    vm.queues.update({"failing": SimpleNamespace(core=core), **others})
    context.run(vm.keeper.tick())
    assert asked


@then("the estimates are sent to {receivers}")
def step_sent(context, receivers):
    assert sorted(vm for vm, _ in context.vm.sent) == receivers.split(", ")
    for _, message in context.vm.sent:
        (shared,) = message.estimates
        assert (shared.endpoint_id, shared.slowdown_thousandths) == ("e", 4000)


@given("the store's row is {value}")
def step_row(context, value):
    vm = _vm(context)
    if value not in ("good", "away"):
        context.metadata.put("estimates", SERVICE, value.encode())
        return
    # It was written by a VM that has ended.
    context.run(vm.take_role())
    vm.learn(4.0, 10)
    context.run(vm.keeper.tick())
    context.vm = Vm(context)
    context.metadata.trouble = Trouble.BUSY if value == "away" else Trouble.NONE


@given('"vm-0" was sent slowdown {slowdown} by "{sender}" {age_s:d} s ago')
def step_was_sent(context, slowdown, sender, age_s):
    vm = _vm(context)
    if slowdown != "none":
        changed = {"odd": {"born_ms": 2**60}}.get(slowdown)
        estimate = replace(ESTIMATE, **(changed or {"slowdown": float(slowdown)}))
        for service in (SERVICE, "unknown"):
            message = EstimatesShared(service, (shared_from_estimate(estimate),))
            vm.receive(sender, decode_message(encode_message(message)))
    vm.driver.clock.advance(1000 * age_s)


@when('"vm-0" takes the role')
def step_take(context):
    calls = context.vm.store.calls
    context.run(context.vm.take_role())
    context.calls = context.vm.store.calls - calls


@then('it has adopted from "{source}", with {calls:d} store calls')
def step_adopted(context, source, calls):
    expected = {} if source == "none" else {source: 1}
    assert context.vm.driver.core.adopted_estimates() == expected
    assert (context.vm.worker.slowdown > 2.0) == bool(expected)
    assert context.calls == calls
    # Copies for services that the settings don't have would only use memory.
    assert {service for service, _ in context.vm.keeper._copies} <= {SERVICE}


@when("the store is back for 20 s")
def step_back(context):
    async def pass_time():
        context.vm.learn(2.0, 20)
        await context.vm.keeper.tick()
        await asyncio.gather(*context.vm.keeper._loads.values())

    context.metadata.trouble = Trouble.NONE
    context.row = context.metadata.value("estimates", SERVICE)
    context.run(pass_time())


@then("the row has been read, not written")
def step_read_again(context):
    assert not context.vm.keeper._unread_since_ms
    assert context.metadata.value("estimates", SERVICE) == context.row


@when("it has written a row and the slowdown is {slowdown:g} after {s:d} s")
def step_learn(context, slowdown, s):
    vm = context.vm
    for value, after_s in ((vm.worker.slowdown, 10), (slowdown, s)):
        calls = vm.store.calls
        vm.learn(value, after_s)
        context.run(vm.keeper.save(SERVICE))
        context.writes = vm.store.calls - calls


@then("the row is written {count:d} times more")
def step_writes(context, count):
    assert context.metadata.value("estimates", SERVICE)
    assert context.writes == count
