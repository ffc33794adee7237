"""Fakes of the ports for the coordination features.

A whole region runs in one process on a manual clock. Its network can lose, delay,
duplicate and hold messages, and be partitioned.
"""

from __future__ import annotations

import random

from pomelolane.messages import decode_message, encode_message
from pomelolane.outcomes import Outcome, Reason, Refusal
from pomelolane.ports import Decision, Grant, View


class FakeCore:
    def __init__(self, service):
        self.service = service
        self.slots = {}
        self.leaving = set()
        self.unavailable = set()
        self.share = 1.0
        self.queue = {}
        self.granted = {}

    def configure(self, tree, now_ms):
        self.slots = {
            e.endpoint_id: e.slots
            for e in tree.endpoints.values()
            if e.service == self.service
        }
        self.unavailable = {e.endpoint_id for e in tree.endpoints.values() if e.leaving}
        return self._decide(now_ms)

    def submit(self, handle, now_ms):
        if handle.request_id in self.queue or handle.request_id in self.granted:
            return []
        self.queue[handle.request_id] = (handle, now_ms + handle.budget_ms)
        return self._decide(now_ms)

    def register_running(self, running, now_ms):
        self.queue.pop(running.handle.request_id, None)
        self.granted[running.handle.request_id] = running.endpoint_id

    def withdraw(self, request_id, now_ms):
        self.queue.pop(request_id, None)
        self.granted.pop(request_id, None)
        return self._decide(now_ms)

    def observe(self, event, now_ms):
        if event.finished:
            self.granted.pop(event.request_id, None)
        return self._decide(now_ms)

    def report_load(self, report, now_ms):
        return []

    def report_cache(self, event, now_ms):
        pass

    def mark_leaving(self, endpoint_id, now_ms):
        self.leaving.add(endpoint_id)
        return []

    def mark_returned(self, endpoint_id, now_ms):
        self.leaving.discard(endpoint_id)
        return self._decide(now_ms)

    def limit_slots(self, share, now_ms):
        self.share = share
        return self._decide(now_ms)

    def tick(self, now_ms):
        late = [name for name, (_, end) in self.queue.items() if end <= now_ms]
        for name in late:
            del self.queue[name]
        refusal = Refusal(Outcome.NOT_RUN, Reason.DEADLINE_PASSED, 70)
        return [Decision(name, refusal) for name in late] + self._decide(now_ms)

    def free(self, endpoint_id):
        used = sum(1 for where in self.granted.values() if where == endpoint_id)
        return max(1, int(self.slots[endpoint_id] * self.share)) - used

    def _decide(self, now_ms):
        decisions = []
        ordered = sorted(self.queue.values(), key=lambda pair: pair[0].tier_rank)
        for handle, _ in ordered:
            usable = [
                e
                for e in sorted(self.slots)
                if e not in self.leaving | self.unavailable | set(handle.excluded)
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
    def __init__(self):
        self.current = View(0, {})
        self.callbacks = []

    def view(self):
        return self.current

    def on_change(self, callback):
        self.callbacks.append(callback)

    def set(self, peers):
        self.current = View(self.current.number + 1, peers)
        for callback in self.callbacks:
            callback(self.current)


class FakeTransport:
    def __init__(self, vm_id, network):
        self.vm_id = vm_id
        self.network = network
        self.handlers = {}
        self.ended = False

    def send(self, vm_id, message):
        if self.ended:
            return False
        return self.network.send(self.vm_id, vm_id, message)

    def subscribe(self, kind, handler):
        self.handlers.setdefault(kind, []).append(handler)

    def deliver(self, sender, message):
        for handler in self.handlers.get(type(message), ()):
            handler(sender, message)


class Network:
    def __init__(self, world, seed=0):
        self.world = world
        self.random = random.Random(seed)
        self.loss = 0.0
        self.duplication = 0.0
        self.max_delay_ms = 0
        self.cuts = set()
        self.queue = []
        self.sent = 0
        self.held = []
        self.dropped_kinds = set()
        self.held_kinds = set()

    def send(self, sender, receiver, message):
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
        if type(message).__name__ in self.held_kinds:
            self.held.append((sender, receiver, message))
            return True
        if self.random.random() < self.loss:
            return True
        copies = 2 if self.random.random() < self.duplication else 1
        for _ in range(copies):
            delay_ms = self.random.randint(0, self.max_delay_ms)
            self._put(sender, receiver, message, delay_ms)
        return True

    def _put(self, sender, receiver, message, delay_ms):
        due_ms = self.world.clock.now_ms() + delay_ms
        data = encode_message(message)
        self.queue.append((due_ms, sender, receiver, data))

    def restore(self):
        """Stop losing, duplicating and holding messages; partitions remain."""
        self.loss = self.duplication = 0.0
        self.dropped_kinds = set()
        self.held_kinds = set()

    def release_held(self):
        held, self.held = self.held, []
        for sender, receiver, message in held:
            self._put(sender, receiver, message, 0)

    def deliver(self):
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
