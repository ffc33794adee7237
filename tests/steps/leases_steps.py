"""Steps for leases, load orders and paced pulls."""

from __future__ import annotations

import itertools

import msgspec
from behave import given, then, when

from pomelolane.clock import ManualClock, MonotonicClock
from pomelolane.exceptions import (
    CommitUnknownError,
    EndpointBrokenError,
    LeaseLostError,
    RateLimitedError,
)
from pomelolane.model import Endpoint, Service, ServiceKind, Tree
from pomelolane.ports import Write
from pomelolane.store import EmbeddedTable, PacedPulls, make_leases
from pomelolane.store.leases import LeaseRow
from pomelolane.store.orders import (
    Demand,
    EngineState,
    ModelOrders,
    endpoint_to_load,
)
from tests.faults import FaultyTable

_NAME = "l"


class SlowTable(FaultyTable):
    """Lets time pass while it commits."""

    clock = None
    delay_ms = 0.0

    async def commit(self, writes, *, atomic=True):
        """Commit and let the delay pass."""
        results = await super().commit(writes, atomic=atomic)
        self.clock.advance(self.delay_ms)
        return results


def _leases(context, vm_id):
    return make_leases(
        context.lease_table,
        vm_id,
        context.clock,
        duration_ms=context.duration_ms,
        longest_pause_ms=context.pause_ms,
    )


@given(
    'lease VMs "{first}" and "{second}" with leases of {duration_ms:d} ms '
    "and pauses of {pause_ms:d} ms"
)
def step_lease_vms(context, first, second, duration_ms, pause_ms):
    context.clock = ManualClock()
    context.lease_table = SlowTable(EmbeddedTable())
    context.lease_table.clock = context.clock
    context.duration_ms, context.pause_ms = duration_ms, pause_ms
    context.leases = {vm_id: _leases(context, vm_id) for vm_id in (first, second)}
    context.held = {}


@given("the lease table takes {delay_ms:d} ms to answer")
def step_slow(context, delay_ms):
    context.lease_table.delay_ms = delay_ms


@given('the lease table\'s next commits go "{faults}"')
def step_faults(context, faults):
    context.lease_table.faults.extend(faults.split())


@when("{passed_ms:d} ms pass for the lease")
def step_pass(context, passed_ms):
    context.clock.advance(passed_ms)


@when('lease VM "{vm_id}" acquires')
def step_acquire(context, vm_id):
    try:
        lease = context.run(context.leases[vm_id].acquire(_NAME))
    except CommitUnknownError as error:
        lease = error
    context.held[vm_id] = lease


@when('lease VM "{vm_id}" renews')
def step_renew(context, vm_id):
    context.run(context.leases[vm_id].renew(context.held[vm_id]))


@when('lease VM "{vm_id}" releases')
def step_release(context, vm_id):
    context.run(context.leases[vm_id].release(context.held[vm_id]))


@when('lease VM "{thief}" takes the lease behind the back of "{vm_id}"')
def step_steal(context, thief, vm_id):
    row = LeaseRow(thief, "t", context.held[vm_id].fencing + 1, 100)
    write = Write(f"leases/{_NAME}", msgspec.json.encode(row), None)
    context.run(context.lease_table.inner.commit([write]))


@then('lease VM "{vm_id}" holds it with fencing {fencing:d}')
def step_holds(context, vm_id, fencing):
    context.held[vm_id].check()
    assert context.held[vm_id].fencing == fencing


@then('lease VM "{vm_id}" holds nothing')
def step_holds_nothing(context, vm_id):
    assert context.held[vm_id] is None


@then('lease VM "{vm_id}" does not know whether it holds it')
def step_in_doubt(context, vm_id):
    assert isinstance(context.held[vm_id], CommitUnknownError)


@then('lease VM "{vm_id}" finds that it lost it')
def step_lost(context, vm_id):
    assert not context.held[vm_id].is_held
    try:
        context.held[vm_id].check()
    except LeaseLostError:
        return
    raise AssertionError("the lease counts as held")


@then('lease VM "{vm_id}" finds that it lost it when it renews')
def step_lost_renewing(context, vm_id):
    try:
        step_renew(context, vm_id)
    except LeaseLostError:
        return
    raise AssertionError("the lease was renewed")


@then('lease VM "{vm_id}" may order without fencing after {wait_ms:d} ms')
def step_safe_after(context, vm_id, wait_ms):
    found_ms = context.held[vm_id].safe_to_order_after()
    assert found_ms == wait_ms, found_ms


# --- orders


class OrderEngine:
    """Takes orders in memory."""

    def __init__(self, clock, honours_fencing):
        self.clock = clock
        self.honours_fencing = honours_fencing
        self.fencing = 0
        self.taken = []
        self.loading = ()
        self.pause_ms = 0
        self.loses_orders = False
        self.loses_replies = False

    async def read_state(self, endpoint):
        """Say what is loading; time may pass."""
        del endpoint
        self.clock.advance(self.pause_ms)
        return EngineState(loading=self.loading)

    async def send(self, endpoint, order):
        """Take or refuse an order."""
        del endpoint
        if self.honours_fencing and order.fencing < self.fencing:
            return False
        if not self.loses_orders:
            self.taken.append(order)
            self.loading += (order.name,)
        if self.loses_replies:
            raise EndpointBrokenError("no reply")
        return True


@given("an order engine that {how} fencing")
def step_engine(context, how):
    context.clock = ManualClock()
    context.lease_table = FaultyTable(EmbeddedTable())
    context.duration_ms, context.pause_ms = 100, 300
    context.engine = OrderEngine(context.clock, how == "honours")
    context.endpoint = Endpoint(
        "e", "s", "dc", "", honours_fencing=context.engine.honours_fencing
    )


@given(
    'order VM "{vm_id}" is paused for {pause_ms:d} ms '
    "while it reads the engine's state"
)
def step_paused(context, vm_id, pause_ms):
    del vm_id
    context.engine.pause_ms = pause_ms


@given("the engine has seen fencing {fencing:d}")
def step_seen_fencing(context, fencing):
    context.engine.fencing = fencing


@given("the engine takes orders but its replies are lost")
def step_replies_lost(context):
    context.engine.loses_replies = True


@given("the engine loses orders and replies")
def step_orders_lost(context):
    context.engine.loses_replies = context.engine.loses_orders = True


@when('order VM "{vm_id}" has the model loaded')
def step_load(context, vm_id):
    pulls = PacedPulls(None, context.clock, interval_ms=0)
    orders = ModelOrders(_leases(context, vm_id), context.engine, pulls)
    try:
        context.result = context.run(orders.load(context.endpoint, "m"))
    except LeaseLostError as error:
        context.result = error


@then('the order ends as "{result}"')
def step_order_ends(context, result):
    assert context.result == result, context.result


@then("the order is given up for its lost lease")
def step_order_given_up(context):
    assert isinstance(context.result, LeaseLostError), context.result


@then('the engine got orders with fencing "{numbers}"')
def step_engine_got(context, numbers):
    found = " ".join(str(order.fencing) for order in context.engine.taken)
    assert found == numbers, found


@then("the engine got no orders")
def step_engine_got_none(context):
    assert not context.engine.taken


@given('an order fleet where "{big}" and "{small}" lack the model and "{ready}" has it')
def step_fleet(context, big, small, ready):
    slots = {big: 16, small: 8, ready: 8}
    endpoints = {
        name: Endpoint(name, "s", "dc", "", slots=count)
        for name, count in slots.items()
    }
    context.tree = Tree(endpoints=endpoints)
    context.states = {name: EngineState() for name in slots}
    context.states[ready] = EngineState(models=("m",))


@when("{waiting:d} requests wait for {slots:d} ready slots")
def step_demand(context, waiting, slots):
    service = Service("s", "t", ServiceKind.ENGINE, {}, model="m")
    context.result = endpoint_to_load(
        service, context.tree, context.states, Demand(waiting, slots)
    )


@then('the engine to load is "{name}"')
def step_chosen(context, name):
    found = context.result.endpoint_id if context.result else "none"
    assert found == name, found


class RefusingStore:
    """Refuses the first pulls."""

    def __init__(self, refusals):
        self.refusals = refusals
        self.tries_ms = []
        self.clock = MonotonicClock()

    async def fetch(self, model):
        """Refuse or give."""
        self.tries_ms.append(self.clock.now_ms())
        if len(self.tries_ms) <= self.refusals:
            raise RateLimitedError(20)
        return model.encode()


@given("a weight store that refuses the first {count:d} pulls")
def step_refusing_store(context, count):
    context.store = RefusingStore(count)


@when("a model is pulled")
def step_pull(context):
    pulls = PacedPulls(context.store, MonotonicClock(), interval_ms=1)
    context.result = context.run(pulls.pull("m"))


@then("the pull succeeds after {tries:d} tries, no sooner than the store asked")
def step_pulled(context, tries):
    assert context.result == b"m"
    times_ms = context.store.tries_ms
    assert len(times_ms) == tries
    waits_ms = [b - a for a, b in itertools.pairwise(times_ms)]
    assert all(wait_ms >= 19 for wait_ms in waits_ms), waits_ms
