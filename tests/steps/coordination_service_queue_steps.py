"""Steps of tests/coordination/service_queue.feature."""

from dataclasses import replace

from behave import given, then, when

from pomelolane.clock import ManualClock
from pomelolane.coordination.request_table import Entry
from pomelolane.coordination.service_queue import ServiceQueue
from pomelolane.coordination.suspects import exclude_suspect_endpoints
from pomelolane.coordination.timings import Timings
from pomelolane.messages import (
    Granted,
    Handle,
    Progress,
    Refused,
    StreamEvent,
    Submit,
    Sync,
)
from pomelolane.model import Endpoint, Service, ServiceKind, Tree, Work
from pomelolane.scheduler import make_core

TICK_MS = 50


@given(
    'a service queue that awaits gateways "{one}" and "{two}" with {slots:d} free slot'
)
def step_service_queue(context, one, two, slots):
    context.clock = ManualClock(1000.0)
    context.granted = []
    context.refused = []

    def send(gateway, message):
        if isinstance(message, Granted):
            context.granted.append(gateway)
        elif isinstance(message, Refused):
            context.refused.append(gateway)

    service_queue = ServiceQueue(
        "chat", make_core("chat"), send, context.clock, Timings(), lambda _: 1.0
    )
    works = {"w": Work("w", "top", 9000)}
    service = Service("chat", "t", ServiceKind.ENGINE, works, queue_limit=1)
    endpoint = Endpoint("e1", "chat", "dc", "", slots=slots, kv_tokens=100_000)
    context.tree = Tree(services={"chat": service}, endpoints={"e1": endpoint})
    service_queue.configure(context.tree)
    service_queue.settle((one, two))
    context.service_queue = service_queue


@when('the queue gets a request from "{gateway}" for tier {tier:d}')
def step_ask(context, gateway, tier):
    handle = Handle(f"r-{gateway}", "chat", "w", tier, "o", "t", 9000, 10, 10)
    context.service_queue.receive(gateway, Submit(1, waiting=(handle,)))
    context.service_queue.tick()


@when("both gateways sync all their requests with the queue")
def step_register(context):
    context.service_queue.receive("a", Sync(1, "chat", waiting=("r-a",), whole=True))
    context.service_queue.receive("b", Sync(1, "chat", whole=True))


@when("the queue's clock advances by {ms:d} ms")
def step_advance(context, ms):
    for _ in range(ms // TICK_MS):
        context.clock.advance(TICK_MS)
        context.service_queue.tick()


@then('the queue has granted "{gateway}" only')
def step_granted(context, gateway):
    assert context.granted == [gateway], context.granted


@given(
    "the queue may hold 1 request, its slot is taken and "
    '"{gateway}" waits in tier {tier:d}'
)
def step_full(context, gateway, tier):
    context.service_queue.receive("a", Sync(1, "chat", whole=True))
    context.service_queue.receive("b", Sync(1, "chat", whole=True))
    for request_id, rank in (("first", 0), ("second", tier)):
        handle = Handle(request_id, "chat", "w", rank, "o", "t", 9000, 10, 10)
        context.service_queue.receive(gateway, Submit(1, waiting=(handle,)))
    assert context.granted == [gateway]


@when("the queue settles again")
def step_settle(context):
    context.service_queue.settle(("a", "b"))


@when("the queue's VM was paused for {ms:d} ms")
def step_paused(context, ms):
    context.service_queue.settle(("a", "b"))
    context.service_queue.account_for_pause(ms)


@when("the queue's first request ends")
def step_first_ends(context):
    events = (StreamEvent("first", "e1", ttft_ms=5.0, finished=True),)
    context.service_queue.receive("a", Progress(1, events))
    context.service_queue.tick()


@then('the queue has granted "{gateway}" twice in all')
def step_twice(context, gateway):
    assert context.granted == [gateway, gateway], context.granted


@then('the queue has refused "{gateway}" only')
def step_refused_only(context, gateway):
    assert context.refused == [gateway], context.refused


@then("the queue has refused nobody")
def step_nobody(context):
    assert context.refused == [], context.refused


@given("the queue has settled and its endpoint is marked as leaving")
def step_leaving(context):
    context.service_queue.receive("a", Sync(1, "chat", whole=True))
    context.service_queue.receive("b", Sync(1, "chat", whole=True))
    # Another endpoint keeps the queue open; its only slot is taken.
    other = replace(context.tree.endpoints["e1"], endpoint_id="e2")
    endpoints = {**context.tree.endpoints, "e2": other}
    context.tree = replace(context.tree, endpoints=endpoints)
    context.service_queue.configure(context.tree)
    context.service_queue.mark_leaving("e1")
    handle = Handle("first", "chat", "w", 0, "o", "t", 9000, 10, 10)
    context.service_queue.receive("b", Submit(1, waiting=(handle,)))
    assert context.granted == ["b"]


@when("the endpoint's data centre is cut off from the queue and comes back")
def step_cut(context):
    endpoint = context.tree.endpoints["e1"]
    cut = {**context.tree.endpoints, "e1": replace(endpoint, leaving=True)}
    context.service_queue.configure(replace(context.tree, endpoints=cut))
    context.service_queue.configure(context.tree)
    context.service_queue.tick()


@then("the queue has granted nobody else")
def step_granted_nobody(context):
    assert context.granted == ["b"], context.granted


@given("a settled service queue with {count:d} endpoints of {slots:d} free slots")
def step_settled(context, count, slots):
    context.placed = {}

    def send(gateway, message):
        if isinstance(message, Granted):
            context.placed[message.request_id] = message.endpoint_id

    clock = ManualClock(1000.0)
    service_queue = ServiceQueue(
        "chat", make_core("chat"), send, clock, Timings(), lambda _: 1.0
    )
    works = {"w": Work("w", "top", 9000)}
    endpoint = Endpoint("e0", "chat", "dc", "", slots=slots, kv_tokens=100_000)
    endpoints = {
        f"e{number}": replace(endpoint, endpoint_id=f"e{number}")
        for number in range(count)
    }
    # Without the spreading of suspects all requests would run on the fast endpoint.
    endpoints["e0"] = replace(
        endpoint, decode_tokens_per_s=4000.0, prefill_tokens_per_s=400_000.0
    )
    service = Service("chat", "t", ServiceKind.ENGINE, works)
    service_queue.configure(Tree(services={"chat": service}, endpoints=endpoints))
    context.service_queue = service_queue


@when("{suspects:d} suspects and {others:d} other requests are submitted")
def step_suspects(context, suspects, others):
    for number in range(suspects + others):
        name = f"s{number}" if number < suspects else f"o{number}"
        handle = Handle(
            name, "chat", "w", 0, "o", "t", 9000, 10, 10, suspect=number < suspects
        )
        context.service_queue.receive("a", Submit(1, waiting=(handle,)))


@then("the queue has granted all {count:d}")
def step_all_granted(context, count):
    assert len(context.placed) == count, context.placed


@then("the suspects run on {count:d} endpoints")
def step_apart(context, count):
    found = {where for name, where in context.placed.items() if name.startswith("s")}
    assert len(found) == count, context.placed


@given(
    'the endpoints "a1" of "v1" and "b1" and "b2" of "v2", and a suspect on each first'
)
def step_versions(context):
    versions = {"a1": "v1", "b1": "v2", "b2": "v2"}
    context.endpoints = [
        Endpoint(name, "chat", "", "", version=version)
        for name, version in versions.items()
    ]
    context.entries = [
        Entry(_suspect(f"s-{name}"), "vm", 1, 0.0, 0.0, endpoint_id=name)
        for name in ("a1", "b1")
    ]


def _suspect(name, version=None):
    return Handle(
        name, "chat", "w", 0, "o", "t", 9000, 10, 10, suspect=True, version=version
    )


@when('another suspect bound to "{version}" comes')
def step_bound_suspect(context, version):
    context.handle = exclude_suspect_endpoints(
        _suspect("s", version), context.entries, context.endpoints
    )


@then('it may not go to "{excluded}"')
@then('it may not go to ""')
def step_excluded(context, excluded=""):
    assert context.handle.excluded == tuple(excluded.split()), context.handle.excluded
