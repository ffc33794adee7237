"""A whole region in one process on a manual clock.

Its gateways run requests and record the endpoint of each dispatch.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field, replace

from pomelolane.clock import ManualClock
from pomelolane.coordination import make_coordination
from pomelolane.messages import Handle, StreamEvent
from pomelolane.model import Endpoint, Service, ServiceKind, Tier, Tree, Work
from pomelolane.ports import Grant, Peer, View
from tests.coordination.fakes import FakeCore, FakeMembership, FakeTransport, Network

STEP_MS = 5
TICK_MS = 25
LONG_MS = 60_000


@dataclass
class Vm:
    peer: Peer
    transport: FakeTransport
    membership: FakeMembership
    coordination: object
    frozen: bool = False


@dataclass
class Request:
    handle: object
    gateway: str
    task: object = None
    dispatches: list = field(default_factory=list)
    result: object = None
    granted_ms: float = 0.0
    ended: bool = False


class World:
    def __init__(
        self, names, slots, policy="pomelolane", seed=0, core=FakeCore, known_vms=None
    ):
        self.clock = ManualClock()
        self.network = Network(self, seed)
        self.vms = {}
        self.peers = {}
        self.incarnation = 1000
        self.requests = {}
        self.order = []
        self.used = {}
        self.max_used = {}
        self.timers = []
        self.run_ms = 100
        self.core = core
        self.known_vms = known_vms
        self.reported_leaving = []
        self.policy = policy
        self.tree = make_tree(slots)
        self.next_tick_ms = TICK_MS
        for number, name in enumerate(names):
            self.peers[name] = Peer(name, number + 1, name.split("-")[0], "")
        for name in self.peers:
            self.start_vm(name)
        self.share_view()

    def start_vm(self, name):
        peer = self.peers[name]
        membership = FakeMembership()
        membership.current = View(1, {name: peer})
        transport = FakeTransport(name, self.network)
        coordination = make_coordination(
            name,
            peer.data_centre,
            transport,
            membership,
            self.clock,
            self.policy,
            incarnation=peer.incarnation,
            make_core=self.core,
            on_endpoint_leaving=self.reported_leaving.append,
            known_vms=self.known_vms,
        )
        self.vms[name] = Vm(peer, transport, membership, coordination)

    def share_view(self, names=None):
        names = list(self.vms) if names is None else names
        peers = {name: self.peers[name] for name in names}
        for name in names:
            if not self.vms[name].frozen:
                self.vms[name].membership.set(peers)

    def share_reachable_views(self):
        for name, vm in self.vms.items():
            peers = {
                other: self.peers[other]
                for other, there in self.vms.items()
                if not there.frozen
                and frozenset((name, other)) not in self.network.cuts
            }
            if not vm.frozen:
                vm.membership.set(peers)

    async def configure(self):
        for vm in self.vms.values():
            vm.coordination.configure(self.tree)
        await self.settle()

    def scheduler(self, service="pool"):
        links = [
            vm.coordination.client.links().get(service)
            for vm in self.vms.values()
            if not vm.frozen
        ]
        return max(link.scheduler for link in links if link is not None)

    def kill(self, name):
        vm = self.vms.pop(name)
        vm.transport.ended = True
        for request in self.requests.values():
            if request.gateway == name and request.task and not request.ended:
                request.task.cancel()
                request.ended = True
        return vm

    async def restart(self, name, configured=True):
        self.kill(name)
        self.incarnation += 1
        self.peers[name] = replace(self.peers[name], incarnation=self.incarnation)
        self.start_vm(name)
        if configured:
            self.vms[name].coordination.configure(self.tree)
        await self.settle()

    def cut(self, ones, others):
        self.network.cuts |= {frozenset((a, b)) for a in ones for b in others}

    # --- requests ---------------------------------------------------------

    def ask(self, gateway, handle):
        request = Request(handle, gateway)
        self.requests[handle.request_id] = request
        client = self.vms[gateway].coordination.client
        request.task = asyncio.get_running_loop().create_task(
            self._run(request, client)
        )
        return request

    async def _run(self, request, client):
        result = await client.acquire(request.handle)
        request.result = result
        request.granted_ms = self.clock.now_ms()
        if not isinstance(result, Grant):
            request.ended = True
            return
        endpoint_id = result.endpoint_id
        request.dispatches.append(endpoint_id)
        self.order.append(request.handle.request_id)
        self.used[endpoint_id] = self.used.get(endpoint_id, 0) + 1
        self.max_used[endpoint_id] = max(
            self.max_used.get(endpoint_id, 0), self.used[endpoint_id]
        )
        try:
            await self.sleep(self.run_ms)
        finally:
            self.used[endpoint_id] -= 1
            request.ended = True
            event = StreamEvent(request.handle.request_id, endpoint_id, finished=True)
            client.observe(event)

    async def sleep(self, for_ms):
        done = asyncio.get_running_loop().create_future()
        self.timers.append((self.clock.now_ms() + for_ms, done))
        await done

    # --- time -------------------------------------------------------------

    async def settle(self):
        for _ in range(100):
            for _ in range(4):
                await asyncio.sleep(0)
            if not self.network.deliver():
                return

    async def run(self, for_ms):
        end_ms = self.clock.now_ms() + for_ms
        while self.clock.now_ms() < end_ms:
            self.clock.advance(STEP_MS)
            now_ms = self.clock.now_ms()
            due = [one for one in self.timers if one[0] <= now_ms]
            self.timers = [one for one in self.timers if one[0] > now_ms]
            for _, done in due:
                if not done.done():
                    done.set_result(None)
            if now_ms >= self.next_tick_ms:
                self.next_tick_ms = now_ms + TICK_MS
                for vm in list(self.vms.values()):
                    if not vm.frozen:
                        vm.coordination.tick()
            await self.settle()

    async def run_until(self, condition, within_ms=10_000):
        end_ms = self.clock.now_ms() + within_ms
        while not condition():
            assert self.clock.now_ms() < end_ms, "condition not met in time"
            await self.run(STEP_MS)

    # --- checks -----------------------------------------------------------

    def service_queues(self):
        for vm in self.vms.values():
            yield from vm.coordination.role.service_queues().values()

    def check_no_request_left(self):
        for service_queue in self.service_queues():
            assert not service_queue.request_table.entries, (
                service_queue.service,
                service_queue.request_table.entries,
            )
            assert not service_queue.core.granted, service_queue.core.granted
            assert not service_queue.core.queue, service_queue.core.queue


def make_tree(slots):
    """Return a tree with service ``pool``; ``slots`` maps endpoints ``dc/n``."""
    works = {"check": Work("check", "top", 1000)}
    services = {"pool": Service("pool", "team", ServiceKind.ENGINE, works)}
    endpoints = {
        name: Endpoint(name, "pool", name.split("/")[0], "127.0.0.1:1", slots=count)
        for name, count in slots.items()
    }
    return Tree("region", {"top": Tier("top", 0)}, {}, services, endpoints)


def world_of(context):
    """Return the world, started on first use."""
    if context.world is None:
        context.world = World(context.names, context.slots, context.policy)
        context.run(context.world.configure())
        context.run(context.world.run(50))
    return context.world


def make_handle(world, tier=0, budget_ms=LONG_MS, service="pool"):
    return Handle(
        f"r{len(world.requests)}", service, "check", tier, "org", "t", budget_ms, 10, 5
    )


def ask(context, name, **kwargs):
    world = world_of(context)
    handle = make_handle(world, **kwargs)

    async def ask():
        context.request = world.ask(name, handle)
        await world.settle()

    context.run(ask())
    return context.request


def live(world):
    return [name for name, vm in world.vms.items() if not vm.frozen]


def in_flight(world):
    return [r for r in world.requests.values() if not r.ended]


def scheduler_queue(world):
    return world.vms[world.scheduler()].coordination.role.service_queue("pool")
