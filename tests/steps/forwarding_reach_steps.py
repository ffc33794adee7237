"""Steps of a VM's reach and of the VMs that serve its requests."""

import asyncio

from behave import given, then, when

from pomelolane.clock import ManualClock
from pomelolane.forwarding.endpoints import EndpointDirectory
from pomelolane.forwarding.peers import RelayPeers
from pomelolane.forwarding.reach import EndpointReach
from pomelolane.model import Endpoint
from pomelolane.ports import Peer, View

SETTLE_S = 0.3
NEAR = 2
"""Endpoints of the VM's own data centre, the first ones."""


class FakePool:
    """Reaches the addresses that it is told to."""

    def __init__(self, reached):
        self.reached = reached

    async def can_connect(self, address):
        """Tell whether an address is reached."""
        await asyncio.sleep(0)
        return address in self.reached


@given("a VM that knows {count:d} endpoints, of which {reached:d} can be reached")
def step_endpoints(context, count, reached):
    context.clock = ManualClock()
    context.addresses = [f"10.0.0.{number}:80" for number in range(count)]
    endpoints = {
        address: Endpoint(address, "s", "near" if number < NEAR else "far", address)
        for number, address in enumerate(context.addresses)
    }
    directory = EndpointDirectory(context.clock)
    directory.replace(endpoints, 1)
    context.pool = FakePool(set(context.addresses[:reached]))
    context.reach = EndpointReach(directory, context.pool, context.clock, "near")
    context.clock.advance(2_000)

    async def start():
        return asyncio.ensure_future(context.reach.run())

    task = context.run(start())
    context.add_cleanup(task.cancel)


@given("it has {count:d} requests out")
def step_out(context, count):
    for _ in range(count):
        context.reach.note_sent()


@when("a connection to an endpoint fails")
def step_fails(context):
    context.reach.note_failure()
    context.run(asyncio.wait_for(context.reach.check(), 1.0))


@when("all endpoints can be reached again")
def step_heal(context):
    context.pool.reached = set(context.addresses)
    context.run(asyncio.sleep(SETTLE_S))


@when("all endpoints are silent for {ms:d} ms")
def step_silent(context, ms):
    context.clock.advance(ms)
    context.reach.tick()
    context.run(asyncio.wait_for(context.reach.check(), 1.0))


@then("the VM is cut off")
def step_cut_off(context):
    assert context.reach.is_cut_off


@then("the VM is not cut off")
def step_not_cut_off(context):
    assert not context.reach.is_cut_off


@given("the VMs")
def step_vms(context):
    peers = {
        row["vm"]: Peer(
            row["vm"],
            1,
            row["data centre"],
            "10.0.0.1:7600",
            draining=row["draining"] == "yes",
            ready=row["ready"] == "yes",
        )
        for row in context.table
    }
    context.clock = ManualClock()
    view = View(1, peers)
    context.peers = RelayPeers("a1", "a", lambda: view, context.clock)


@then('"a1" relays a request to "{first}", then to "{second}", then to nobody')
def step_order(context, first, second):
    chosen, tried = [], []
    while (peer := context.peers.choose(tried)) is not None:
        chosen.append(peer.vm_id)
        tried.append(peer.vm_id)
    assert chosen == [first, second], chosen


@then('after "{unable}" could not serve it, "a1" relays to "{other}" for {ms:d} ms')
def step_unable(context, unable, other, ms):
    context.peers.mark_unable(unable)
    context.clock.advance(ms - 1)
    assert context.peers.choose(()).vm_id == other
    context.clock.advance(1)
    assert context.peers.choose(()).vm_id == unable
