"""Steps of endpoints that leave while VMs and calls of the store fail."""

import asyncio
import itertools
import signal
import time
from collections import Counter, defaultdict
from contextlib import suppress

from behave import given, then, when

from tests.routed_world import caller_headers

HEARTBEAT_S = 0.3
IN_ORDER_S = 3.0
"""Time without a failure after which a VM counts as in order."""

NEWS_S = 1.5
"""Time after which all VMs know of a change."""

LINES = ("GET /plain/a", "POST /chat/a", "POST /plain/file/a", "POST /help/a")


class Departures:
    """Callers, endpoints that come and leave, and VMs that fail.

    Attributes:
        left_s: When the store had the news that an endpoint leaves, by endpoint.
        failures: From when until when each VM has failed.
        statuses: Number of answers by status.
    """

    def __init__(self, context, per_s, for_s):
        self.world = context.world
        self.per_s = per_s
        self.for_s = for_s
        self.left_s = {}
        self.failures = defaultdict(list)
        self.statuses = Counter()
        self._sender = {}
        self._gone = set()
        self._is_beating = True
        self._tasks = []
        self.begun_s = time.monotonic()
        self._start(self._ask_all(), self._beat())
        context.add_cleanup(lambda: context.run(self.aclose()))

    def _start(self, *coroutines):
        loop = asyncio.get_running_loop()
        self._tasks += [loop.create_task(one) for one in coroutines]

    def later(self, after_s, act):
        """Run a coroutine function some time after the beginning."""

        async def wait():
            await asyncio.sleep(self.begun_s + after_s - time.monotonic())
            await act()

        self._start(wait())

    async def end(self):
        """Wait until all callers have asked and are answered."""
        await self._tasks[0]
        for task in self._tasks:
            if task.done():
                task.result()

    async def aclose(self):
        """End all that still goes on."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _ask_all(self):
        asking = []
        vms = itertools.cycle(self.world.vms)
        lines = itertools.cycle(LINES)
        for number in range(int(self.per_s * self.for_s)):
            vm = next(vms)
            if number % len(LINES) == 0:
                # Each VM gets all kinds of requests.
                next(lines)
            asking.append(asyncio.ensure_future(self._ask(vm, next(lines), number)))
            await asyncio.sleep(self.begun_s + number / self.per_s - time.monotonic())
        await asyncio.gather(*asking)

    async def _ask(self, vm, line, number):
        request_id = f"r{number}"
        self._sender[request_id] = vm.vm_id
        headers = caller_headers(request_id, token_usage="90,10")
        try:
            answer = await vm.ask(f"{line} HTTP/1.1", headers)
            self.statuses[answer.status] += 1
        except (OSError, TimeoutError):
            self.statuses["none"] += 1

    async def _beat(self):
        """Write all endpoints' entries again and again, as they do themselves."""
        while self._is_beating:
            for name in self.world.endpoints.keys() - self._gone:
                self._register(name)
            await asyncio.sleep(HEARTBEAT_S)

    def stop_beating(self):
        """Let the store hold what it holds."""
        self._is_beating = False

    def _register(self, name):
        state = "draining" if name in self.left_s else "ready"
        self.world.register(name, state)

    def leave(self, name, *, tells):
        """Let an endpoint leave; it goes on to serve what comes."""
        if tells:
            self.world.register(name, "draining")
        else:
            self.world.store.delete("servers", name)
            self._gone.add(name)
        self.left_s[name] = time.monotonic()

    async def leave_each(self, every_s):
        """Let endpoints leave, the oldest first, and others come in their place."""
        names = list(self.world.endpoints)
        for number in itertools.count():
            # Of each service in turn, with and without a word.
            name = names.pop(0 if number % 4 < 2 else len(names) // 2)
            service, _ = self.world.addresses[name]
            successor = f"{name}+"
            await self.world.add_endpoint(successor, service)
            names.append(successor)
            self.leave(name, tells=number % 2 == 0)
            await asyncio.sleep(every_s)

    def start_leaving(self, every_s):
        """Begin to let endpoints leave."""
        self._start(self.leave_each(every_s))

    def late(self, within_s):
        """Return requests that VMs in order have sent too late, as texts."""
        found = []
        for name, left_s in self.left_s.items():
            for seen in self.world.endpoints[name].seen:
                late_s = seen.at_s - left_s
                vm_id = self._sender[seen.headers["request-id"]]
                if late_s > within_s and self._is_in_order(vm_id, seen.at_s):
                    found.append(f"{vm_id} to {name} {late_s:.2f} s after it left")
        return found

    def latest_s(self):
        """Return after what time an endpoint got its last request, at most."""
        return max(
            (
                seen.at_s - left_s
                for name, left_s in self.left_s.items()
                for seen in self.world.endpoints[name].seen
                if self._is_in_order(
                    self._sender[seen.headers["request-id"]], seen.at_s
                )
            ),
            default=0.0,
        )

    def _is_in_order(self, vm_id, at_s):
        return all(
            until_s < at_s - IN_ORDER_S or from_s > at_s
            for from_s, until_s in self.failures[vm_id]
        )


@given("{count:d} VMs that callers ask {per_s:d} times a second for {for_s:d} s")
def step_vms(context, count, per_s, for_s):
    for endpoint in context.world.endpoints.values():
        endpoint.options.work_ms = 60

    async def start():
        for _ in range(count):
            await context.world.add_vm()
        context.departures = Departures(context, per_s, for_s)

    context.run(start())


@when(
    "an endpoint leaves each {every_ms:d} ms, with or without a word, "
    "and another one comes"
)
def step_leave_each(context, every_ms):
    async def begin():
        context.departures.start_leaving(every_ms / 1000)

    context.run(begin())


@when("each third read of the store fails")
def step_reads_fail(context):
    context.world.store.refuses_each = 3


@when("VM {number:d} is killed after {after_s:d} s and started again")
def step_killed(context, number, after_s):
    vm = context.world.vms[number - 1]

    async def act():
        from_s = time.monotonic()
        vm.process.kill()
        await vm.process.wait()
        await vm.start()
        context.departures.failures[vm.vm_id].append((from_s, time.monotonic()))

    async def begin():
        context.departures.later(after_s, act)

    context.run(begin())


@when("VM {number:d} is frozen from {from_s:g} s to {until_s:g} s")
def step_frozen(context, number, from_s, until_s):
    vm = context.world.vms[number - 1]

    async def act():
        since_s = time.monotonic()
        vm.signal(signal.SIGSTOP)
        try:
            await asyncio.sleep(until_s - from_s)
        finally:
            with suppress(ProcessLookupError):
                vm.signal(signal.SIGCONT)
        context.departures.failures[vm.vm_id].append((since_s, time.monotonic()))

    async def begin():
        context.departures.later(from_s, act)

    context.run(begin())


@when(
    "each VM in turn stands still for {still_ms:d} ms, "
    "the next one {every_ms:d} ms after it"
)
def step_stand_still(context, still_ms, every_ms):
    departures = context.departures

    async def pause(vm):
        vm.signal(signal.SIGSTOP)
        try:
            await asyncio.sleep(still_ms / 1000)
        finally:
            with suppress(ProcessLookupError):
                vm.signal(signal.SIGCONT)

    async def act():
        pauses = []
        for vm in itertools.cycle(context.world.vms):
            pauses.append(asyncio.ensure_future(pause(vm)))
            await asyncio.sleep(every_ms / 1000)
            if time.monotonic() > departures.begun_s + departures.for_s - 2:
                break
        await asyncio.gather(*pauses)

    async def begin():
        departures.later(1, act)

    context.run(begin())


@when(
    '"{one}" and "{other}" begin to leave after {after_s:d} s, '
    "and the store comes back from a copy"
)
def step_copy(context, one, other, after_s):
    departures, store = context.departures, context.world.store

    async def act():
        copy = store.copy()
        departures.leave(one, tells=True)
        departures.leave(other, tells=True)
        await asyncio.sleep(NEWS_S)
        departures.stop_beating()
        store.come_back_from(copy)

    async def begin():
        departures.later(after_s, act)

    context.run(begin())


@then(
    "no VM in order has sent to an endpoint later than {within_s:d} s after its entry "
    "said so"
)
def step_none_late(context, within_s):
    departures = context.departures
    context.run(departures.end())
    late = departures.late(within_s)
    print(f"\nlatest {departures.latest_s():.2f} s, {dict(departures.statuses)}")
    assert not late, late


@then("{count:d} endpoints or more have left, {used:d} of them after requests")
def step_left(context, count, used):
    left_s = context.departures.left_s
    assert len(left_s) >= count, left_s
    seen = [name for name in left_s if context.world.endpoints[name].seen]
    assert len(seen) >= used, seen
