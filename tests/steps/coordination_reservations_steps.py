"""Steps of tests/coordination/reservations.feature."""

from dataclasses import replace
from itertools import combinations

import msgspec
from behave import given, then, when

from pomelolane.coordination import reservations
from pomelolane.events import RESERVATIONS_LAPSED
from pomelolane.membership.links import Link
from pomelolane.messages import (
    Handle,
    HeldReservation,
    Refused,
    ReservationsHeld,
    Submit,
    decode_message,
    encode_message,
)
from pomelolane.ports import Grant
from pomelolane.scheduler.objective.core import make_objective_core
from tests.coordination.world import World

SLOTS = 6
DECODE_TOKENS = 60
RUN_MS = 241
"""Predicted time of 60 answer tokens; endpoints silent for longer are suspended."""

REFUSED_BEFORE = 14
"""Refused callers whose reservations come first, so that the scheduler can change."""


@given('a region of VMs "{names}" whose only service has too few slots')
def step_region(context, names):
    world = World(names.split(), {"a/1": SLOTS}, "objective", core=make_objective_core)
    world.run_ms = RUN_MS
    context.world = world
    context.run(world.configure())
    context.run(world.run(1_000))


def _ask(context, gateway, fingerprint, objective_ms=260):
    world = context.world
    handle = Handle(
        f"r{len(world.requests)}",
        "pool",
        "check",
        0,
        "org",
        "",
        6_000,
        0,
        DECODE_TOKENS,
        objective_ms=objective_ms,
        late_window_ms=6_000 - objective_ms,
        fingerprint=fingerprint and fingerprint.encode().hex()[:16].zfill(16),
    )

    async def ask():
        request = world.ask(gateway, handle)
        await world.settle()
        return request

    return context.run(ask())


def _fill(context, gateway, count=SLOTS):
    for _ in range(count):
        _ask(context, gateway, "", objective_ms=5_500)


async def _call(function):
    function()


def _run_until(context, at_ms):
    context.run(context.world.run(at_ms - context.world.clock.now_ms()))


@when("a caller of another VM is refused with a reservation")
def step_refused(context):
    world = context.world
    context.scheduler = world.scheduler()
    context.gateway, context.other = sorted(set(world.vms) - {context.scheduler})
    _fill(context, context.gateway)
    for number in range(REFUSED_BEFORE):
        _ask(context, context.gateway, f"before{number}")
    request = _ask(context, context.gateway, "caller")
    link = world.vms[context.gateway].coordination.client.links()["pool"]
    held = link.reservations.current(world.clock.now_ms())
    assert held[-1].fingerprint.endswith(b"caller".hex()), (held, request.result)
    retry_ms = request.result.retry_after_ms
    assert held[-1].due_in_ms == retry_ms > 5 * RUN_MS, (held, retry_ms)
    context.due_ms = world.clock.now_ms() + retry_ms


@when("the scheduler of the refusal is {fate}")
def step_replaced(context, fate):
    world = context.world
    if fate == "killed":
        world.kill(context.scheduler)
    elif fate == "left by its gateway":
        world.kill(context.gateway)
    elif fate == "settling until 600 ms later":
        queue = world.vms[context.scheduler].coordination.role.service_queue("pool")
        settle_ms = context.due_ms - world.clock.now_ms() + 600
        queue._timings = replace(queue._timings, settle_ms=settle_ms)
        queue.settle(["absent"])
        context.objective_ms = 1_500
    elif fate == "handed over":
        peer = world.peers[context.scheduler]
        world.peers[context.scheduler] = replace(peer, draining=True)
        handover = world.vms[context.scheduler].coordination.handover()
        context.handover = context.loop.create_task(handover)
    elif fate == "cut from others":
        world.network.cuts |= {frozenset(pair) for pair in combinations(world.vms, 2)}
        # The gateway falls back to its own queue, which knows what it has relayed.
        context.other = context.gateway
        link = world.vms[context.gateway].coordination.client.links()["pool"]
        context.run(_call(link._fall_back))
        assert link.is_local
        return
    elif fate == "paused":
        role = world.vms[context.scheduler].coordination.role
        role.service_queue("pool").account_for_pause(0.0)
    world.share_view()
    context.run(world.settle())


@when("the caller returns to another VM at its retry time, or to the same if cut off")
def step_return(context):
    _run_until(context, context.due_ms - 50)
    _fill(context, context.other, 2 * SLOTS)
    _run_until(context, context.due_ms)
    objective_ms = getattr(context, "objective_ms", 260)
    context.request = _ask(context, context.other, "caller", objective_ms)
    context.run(context.world.run(4 * RUN_MS))


def _figures(context):
    """Return the figures of the queue that serves the second gateway."""
    world = context.world
    coordination = world.vms[context.other].coordination
    link = coordination.client.links()["pool"]
    queues = coordination._local.service_queues()
    if not link.is_local:
        queues = world.vms[link.scheduler].coordination.role.service_queues()
    return queues["pool"].reservation_figures()


@then("if it returns {ms:d} ms too early it is granted and gives up its reservation")
def step_early(context, ms):
    _run_until(context, context.due_ms - ms)
    held = _figures(context).held
    assert isinstance(_ask(context, context.other, "caller").result, Grant)
    assert (_figures(context).held, _figures(context).used) == (held - 1, 0)


@then("it used its reservation")
def step_used(context):
    assert _figures(context).used == 1, _figures(context)
    assert isinstance(context.request.result, Grant), context.request


@when(
    "a copy that never was refused waits at the retry time while the scheduler is "
    "{fate}"
)
def step_copy(context, fate):
    _run_until(context, context.due_ms - 200)
    _fill(context, context.other, 4 * SLOTS)
    context.request = _ask(context, context.other, "caller", objective_ms=5_500)
    _run_until(context, context.due_ms)
    step_replaced(context, fate)
    context.run(context.world.run(300))


@when("the only endpoint leaves in two steps {ms:d} ms apart")
def step_slots_lost(context, ms):
    world = context.world
    context.logged = []
    before = reservations.log_event
    reservations.log_event = lambda event, **fields: context.logged.append(
        (event, fields)
    )
    context.add_cleanup(setattr, reservations, "log_event", before)
    context.run(world.run(50))
    for slots in (2, 0):
        endpoint = replace(
            world.tree.endpoints["a/1"], slots=max(slots, 1), leaving=not slots
        )
        world.tree = replace(world.tree, endpoints={"a/1": endpoint})
        context.run(world.configure())
        context.run(world.run(ms))


@then("within {ms:d} ms one line says that {count:d} reservations have lapsed")
def step_lapse_logged(context, ms, count):
    context.run(context.world.run(ms))
    lines = [fields for event, fields in context.logged if event is RESERVATIONS_LAPSED]
    assert lines == [{"service": "pool", "count": count}], lines


@then("the copy used no reservation")
def step_unused(context):
    assert context.request.result is None, context.request
    figures = _figures(context)
    assert figures.used == 0 and figures.held >= 1, figures


@then("a refusal and a handle without the new fields are decoded with their defaults")
def step_old(context):
    refused = decode_message(
        msgspec.msgpack.encode(["Refused", 7, "r1", "deadline_unreachable", 100])
    )
    assert refused == Refused(7, "r1", refused.reason, 100, reserved_ms=0)
    fields = ["r1", "s", "w", 0, "o", "t", 1000, 10, 5]
    submit = decode_message(msgspec.msgpack.encode(["Submit", 7, [fields], []]))
    assert submit == Submit(7, (Handle(*fields, fingerprint=""),))


@then("reservations are sent in a frame of their own")
def step_own_frame(context):
    held = ReservationsHeld(7, "s", (HeldReservation("f", 0, 100, 80),))
    first, second = encode_message(Submit(7)), encode_message(held)
    link = Link.__new__(Link)
    link._queue = [(0.0, first, False), (0.0, second, True), (0.0, first, False)]
    assert link._next_batch() == [first]
    link._queue = link._queue[1:]
    assert link._next_batch() == [second]
