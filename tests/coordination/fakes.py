"""Fakes of the ports for the coordination features.

A whole region runs in one process on a clock that the steps move, over a
network that can lose, delay, duplicate and cut.
"""

from __future__ import annotations

import asyncio
import random
from dataclasses import dataclass, field, replace

from pomelolane.clock import ManualClock
from pomelolane.coordination import make_coordination
from pomelolane.messages import StreamEvent, decode_message, encode_message
from pomelolane.model import Endpoint, Service, ServiceKind, Tree, Work
from pomelolane.outcomes import Outcome, Reason, Refusal
from pomelolane.ports import Decision, Grant, Peer, View

STEP_MS = 5
TICK_MS = 25


class FakeCore:
    """Strict tiers, then arrival; the endpoint with the most free slots."""

    def __init__(self, service):
        self.service = service
        self.slots = {}
        self.leaving = set()
        self.out = set()
        self.share = 1.0
        self.queue = {}
        self.granted = {}

    def configure(self, tree, now_ms):
        """Adopt the slots of the service's endpoints."""
        self.slots = {
            e.endpoint_id: e.slots
            for e in tree.endpoints.values()
            if e.service == self.service
        }
        self.out = {e.endpoint_id for e in tree.endpoints.values() if e.leaving}
        return self._decide(now_ms)

    def submit(self, handle, now_ms):
        """Queue a handle unless it is known."""
        if handle.request_id in self.queue or handle.request_id in self.granted:
            return []
        self.queue[handle.request_id] = (handle, now_ms + handle.budget_ms)
        return self._decide(now_ms)

    def register_running(self, running, now_ms):
        """Count a slot as taken."""
        self.queue.pop(running.handle.request_id, None)
        self.granted[running.handle.request_id] = running.endpoint_id

    def withdraw(self, request_id, now_ms):
        """Forget a request, waiting or granted."""
        self.queue.pop(request_id, None)
        self.granted.pop(request_id, None)
        return self._decide(now_ms)

    def observe(self, event, now_ms):
        """Free a finished request's slot."""
        if event.finished:
            self.granted.pop(event.request_id, None)
        return self._decide(now_ms)

    def report_load(self, report, now_ms):
        """Ignore the report."""
        return []

    def report_cache(self, event, now_ms):
        """Ignore the event."""

    def mark_leaving(self, endpoint_id, now_ms):
        """Grant nothing more to an endpoint."""
        self.leaving.add(endpoint_id)
        return []

    def limit_slots(self, share, now_ms):
        """Use a share of the slots, at least one."""
        self.share = share
        return self._decide(now_ms)

    def tick(self, now_ms):
        """Refuse what is past its deadline."""
        late = [name for name, (_, end) in self.queue.items() if end <= now_ms]
        for name in late:
            del self.queue[name]
        refusal = Refusal(Outcome.NOT_RUN, Reason.DEADLINE_PASSED, 70)
        return [Decision(name, refusal) for name in late] + self._decide(now_ms)

    def free(self, endpoint_id):
        """Return an endpoint's free slots, negative when crowded."""
        used = sum(1 for where in self.granted.values() if where == endpoint_id)
        return max(1, int(self.slots[endpoint_id] * self.share)) - used

    def _decide(self, now_ms):
        decisions = []
        ordered = sorted(self.queue.values(), key=lambda pair: pair[0].tier_rank)
        for handle, _ in ordered:
            usable = [
                e
                for e in sorted(self.slots)
                if e not in self.leaving | self.out | set(handle.excluded)
            ]
            best = max(usable, key=self.free, default=None)
            if best is None or self.free(best) <= 0:
                continue
            del self.queue[handle.request_id]
            self.granted[handle.request_id] = best
            decisions.append(
                Decision(handle.request_id, Grant(handle.request_id, best, 1.0))
            )
        return decisions


class FakeMembership:
    """A view that the steps set."""

    def __init__(self):
        self.current = View(0, {})
        self.callbacks = []

    def view(self):
        """Return the view."""
        return self.current

    def on_change(self, callback):
        """Keep a callback."""
        self.callbacks.append(callback)

    def set(self, peers):
        """Change the view and tell it."""
        self.current = View(self.current.number + 1, peers)
        for callback in self.callbacks:
            callback(self.current)


class FakeTransport:
    """One VM's way into the network."""

    def __init__(self, vm_id, network):
        self.vm_id = vm_id
        self.network = network
        self.handlers = {}

    def send(self, vm_id, message):
        """Hand a message to the network."""
        return self.network.send(self.vm_id, vm_id, message)

    def subscribe(self, kind, handler):
        """Keep a handler."""
        self.handlers.setdefault(kind, []).append(handler)

    def deliver(self, sender, message):
        """Call the handlers of a message's kind."""
        for handler in self.handlers.get(type(message), ()):
            handler(sender, message)


class Network:
    """Carries encoded messages between the VMs of a world."""

    def __init__(self, world, seed=0):
        self.world = world
        self.random = random.Random(seed)
        self.loss = 0.0
        self.duplication = 0.0
        self.most_delay_ms = 0
        self.cuts = set()
        self.queue = []
        self.sent = 0
        self.kept = []
        self.dropped_kinds = set()
        self.kept_kinds = set()

    def send(self, sender, receiver, message):
        """Take a message, with the faults that are set."""
        if receiver not in self.world.vms:
            return False
        if sender == receiver:
            self._put(sender, receiver, message, 0)
            return True
        self.sent += 1
        if frozenset((sender, receiver)) in self.cuts:
            return True
        if type(message).__name__ in self.dropped_kinds:
            return True
        if type(message).__name__ in self.kept_kinds:
            self.kept.append((sender, receiver, message))
            return True
        if self.random.random() < self.loss:
            return True
        copies = 2 if self.random.random() < self.duplication else 1
        for _ in range(copies):
            delay_ms = self.random.randint(0, self.most_delay_ms)
            self._put(sender, receiver, message, delay_ms)
        return True

    def _put(self, sender, receiver, message, delay_ms):
        due_ms = self.world.clock.now_ms() + delay_ms
        data = encode_message(message)
        self.queue.append((due_ms, sender, receiver, data))

    def release_kept(self):
        """Deliver what was kept back, however late it is."""
        kept, self.kept = self.kept, []
        for sender, receiver, message in kept:
            self._put(sender, receiver, message, 0)

    def deliver(self):
        """Hand over what is due; tell whether there was any."""
        now_ms = self.world.clock.now_ms()
        due = [one for one in self.queue if one[0] <= now_ms]
        self.queue = [one for one in self.queue if one[0] > now_ms]
        for due_ms, sender, receiver, data in due:
            vm = self.world.vms.get(receiver)
            if vm is None:
                continue
            if vm.frozen:
                self.queue.append((due_ms, sender, receiver, data))
            else:
                vm.transport.deliver(sender, decode_message(data))
        return bool(due)


@dataclass
class Vm:
    """A VM of the world."""

    peer: Peer
    transport: FakeTransport
    membership: FakeMembership
    coordination: object
    frozen: bool = False


@dataclass
class Request:
    """A request and what became of it."""

    handle: object
    gateway: str
    task: object = None
    dispatches: list = field(default_factory=list)
    result: object = None
    ended: bool = False


class World:
    """VMs, endpoints and requests of one region."""

    def __init__(self, names, slots, policy="pomelolane", seed=0, core=FakeCore):
        """Start a VM for each name; its data centre is the name's first part."""
        self.clock = ManualClock()
        self.network = Network(self, seed)
        self.vms = {}
        self.peers = {}
        self.incarnation = 1000
        self.requests = {}
        self.order = []
        self.used = {}
        self.most_used = {}
        self.timers = []
        self.run_ms = 100
        self.core = core
        self.told_leaving = []
        self.policy = policy
        self.tree = make_tree(slots)
        self.next_tick_ms = TICK_MS
        for number, name in enumerate(names):
            self.peers[name] = Peer(name, number + 1, name.split("-")[0], "")
        for name in self.peers:
            self.start_vm(name)
        self.share_view()

    def start_vm(self, name):
        """Start a VM that knows only itself."""
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
            on_endpoint_leaving=self.told_leaving.append,
        )
        self.vms[name] = Vm(peer, transport, membership, coordination)

    def share_view(self, names=None):
        """Give these VMs (or all live ones) a view of just each other."""
        names = list(self.vms) if names is None else names
        peers = {name: self.peers[name] for name in names}
        for name in names:
            if not self.vms[name].frozen:
                self.vms[name].membership.set(peers)

    def share_reachable_views(self):
        """Give each live VM a view of those that it is not cut off from."""
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
        """Give every VM the tree."""
        for vm in self.vms.values():
            vm.coordination.configure(self.tree)
        await self.settle()

    def scheduler(self, service="pool"):
        """Return a VM that is followed, any one where several are."""
        return max(
            (vm.coordination.client.links()[service].scheduler, name)
            for name, vm in self.vms.items()
            if not vm.frozen
        )[0]

    def kill(self, name):
        """End a VM and its requests."""
        vm = self.vms.pop(name)
        for request in self.requests.values():
            if request.gateway == name and request.task and not request.ended:
                request.task.cancel()
                request.ended = True
        return vm

    async def restart(self, name):
        """Start a VM again, with a new incarnation and an empty book."""
        self.kill(name)
        self.incarnation += 1
        self.peers[name] = replace(self.peers[name], incarnation=self.incarnation)
        self.start_vm(name)
        self.vms[name].coordination.configure(self.tree)
        await self.settle()

    def cut(self, ones, others):
        """Lose all messages between two sides."""
        self.network.cuts |= {frozenset((a, b)) for a in ones for b in others}

    # --- requests ---------------------------------------------------------

    def ask(self, gateway, handle):
        """Let a gateway ask for a slot and run the request."""
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
        if not isinstance(result, Grant):
            request.ended = True
            return
        endpoint_id = result.endpoint_id
        request.dispatches.append(endpoint_id)
        self.order.append(request.handle.request_id)
        self.used[endpoint_id] = self.used.get(endpoint_id, 0) + 1
        self.most_used[endpoint_id] = max(
            self.most_used.get(endpoint_id, 0), self.used[endpoint_id]
        )
        try:
            await self.sleep(self.run_ms)
        finally:
            self.used[endpoint_id] -= 1
        request.ended = True
        client.observe(
            StreamEvent(request.handle.request_id, endpoint_id, tokens=5, finished=True)
        )

    async def sleep(self, for_ms):
        """Wait on the world's clock."""
        done = asyncio.get_running_loop().create_future()
        self.timers.append((self.clock.now_ms() + for_ms, done))
        await done

    # --- time -------------------------------------------------------------

    async def settle(self):
        """Let everything happen that needs no time."""
        for _ in range(100):
            for _ in range(4):
                await asyncio.sleep(0)
            if not self.network.deliver():
                return

    async def run(self, for_ms):
        """Move the clock on."""
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
        """Move the clock on until a condition holds."""
        end_ms = self.clock.now_ms() + within_ms
        while not condition():
            assert self.clock.now_ms() < end_ms, "the condition never held"
            await self.run(STEP_MS)

    # --- checks -----------------------------------------------------------

    def desks(self):
        """Yield the desks of all roles."""
        for vm in self.vms.values():
            yield from vm.coordination.role.desks().values()

    def check_nothing_is_left(self):
        """Fail where a scheduler still holds a request or slot."""
        for desk in self.desks():
            assert not desk.book.entries, (desk.service, desk.book.entries)
            assert not desk.core.granted, desk.core.granted
            assert not desk.core.queue, desk.core.queue


def make_tree(slots):
    """Return a tree with service ``pool`` and endpoints ``dc/n``: slots."""
    works = {"check": Work("check", "top", 1000)}
    services = {"pool": Service("pool", "team", ServiceKind.ENGINE, works)}
    endpoints = {
        name: Endpoint(name, "pool", name.split("/")[0], "127.0.0.1:1", slots=count)
        for name, count in slots.items()
    }
    return Tree(region="region", services=services, endpoints=endpoints)
