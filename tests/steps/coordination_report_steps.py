"""Steps of the coordination features: engines' reports and the status."""

import asyncio
from dataclasses import replace

import aiohttp
from aiohttp import web
from behave import given, then, when

from pomelolane.clock import MonotonicClock
from pomelolane.coordination.reports import PollerOptions, ReportPoller
from tests.coordination.fakes import FakeCore
from tests.coordination.world import (
    World,
    make_tree,
    scheduler_queue,
)
from tests.faults import until

# --- reports ----------------------------------------------------------------


class _ReportingCore(FakeCore):
    def __init__(self, service):
        super().__init__(service)
        self.reports = []
        self.events = []

    def report_load(self, report, now_ms):
        self.reports.append(report)
        return []

    def report_cache(self, event, now_ms):
        self.events.append(event)


async def _serve(started, load, events, gate=None):
    async def answer_load(request):
        if gate is not None:
            await gate.wait()
        return web.Response(body=load, content_type="application/json")

    async def answer_events(request):
        return web.Response(body=events, content_type="application/json")

    app = web.Application()
    app.router.add_get("/load", answer_load)
    app.router.add_get("/cache/events", answer_events)
    runner = web.AppRunner(app)
    await runner.setup()
    site = web.TCPSite(runner, "127.0.0.1", 0)
    await site.start()
    try:
        started.set_result(runner.addresses[0][1])
        await asyncio.Event().wait()
    finally:
        await runner.cleanup()


def _start_engine(context, load, events, gate=None):
    # The scenario cancels the remaining tasks of its loop at its end.
    started = context.loop.create_future()
    task = context.loop.create_task(_serve(started, load, events, gate))
    context.engines = [*getattr(context, "engines", ()), task]
    return context.run(started)


def _engine(context, load, events):
    port = _start_engine(context, load, events)
    world = World(["a-1"], {"a/1": 2}, core=_ReportingCore)
    endpoint = replace(world.tree.endpoints["a/1"], address=f"127.0.0.1:{port}")
    world.tree = replace(make_tree({}), endpoints={"a/1": endpoint})
    context.run(world.configure())
    context.world = world


@given('an engine that reports its load, cache events and state "{state}"')
def step_engine(context, state):
    load = (
        b'{"running":3,"waiting":1,"kv_used_tokens":9,"age_ms":500.5,'
        b'"models":["m"],"state":"' + state.encode() + b'"}'
    )
    events = b'{"events":[{"sequence":4,"stored":true,"prefix_hash":77}]}'
    _engine(context, load, events)


@given("an engine that answers reports with garbage")
def step_garbage(context):
    _engine(context, b'{"running":"many"}', b"[")


@given("an engine that reports its load beside one that is frozen")
def step_frozen_engine(context):
    gate = _CountingGate()
    load = b'{"running":3,"waiting":1,"age_ms":0.0,"state":"ready"}'
    events = b'{"events":[]}'
    ports = {
        "a/1": _start_engine(context, load, events),
        "a/2": _start_engine(context, load, events, gate),
    }
    context.gate = gate
    context.world = World(["a-1"], {"a/1": 2, "a/2": 2}, core=_ReportingCore)
    declared = context.world.tree.endpoints
    endpoints = {
        name: replace(declared[name], address=f"127.0.0.1:{port}")
        for name, port in ports.items()
    }
    context.world.tree = replace(make_tree({}), endpoints=endpoints)
    context.run(context.world.configure())


class _CountingGate:
    """A gate that never opens and counts its waiters."""

    def __init__(self):
        self.waits = 0

    async def wait(self):
        self.waits += 1
        await asyncio.Event().wait()


@when("the scheduler polls its engines in rounds until {count:d} reports have arrived")
def step_rounds(context, count):
    service_queue = scheduler_queue(context.world)
    options = PollerOptions(lambda each: each.address, lambda each: None, 10.0)
    poller = ReportPoller(lambda: [service_queue], MonotonicClock(), options)

    async def poll():
        polling = asyncio.create_task(poller.run())
        await until(lambda: len(service_queue.core.reports) >= count)
        polling.cancel()

    context.run(poll())


@then("the frozen engine was polled once meanwhile")
def step_asked_once(context):
    assert context.gate.waits == 1, context.gate.waits


@when("the scheduler polls its engines")
def step_poll(context):
    coordination = context.world.vms["a-1"].coordination

    async def poll():
        async with aiohttp.ClientSession() as session:
            await coordination.poller.poll(session)

    context.run(poll())


@then("the core got the load report and the cache events")
def step_got(context):
    core = scheduler_queue(context.world).core
    assert [(r.running, r.waiting, r.age_ms) for r in core.reports] == [(3, 1, 500.5)]
    assert [(e.sequence, e.prefix_hash) for e in core.events] == [(4, 77)]


@then("the engine is marked as leaving and membership was notified")
def step_told(context):
    assert scheduler_queue(context.world).core.leaving == {"a/1"}
    assert context.world.reported_leaving == ["a/1"]


@then("the core got no report")
def step_got_none(context):
    core = scheduler_queue(context.world).core
    assert not core.reports
    assert not core.events
