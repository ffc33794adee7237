"""Steps of gateway/keyed.feature: two gateways in one process, one table."""

import asyncio

from behave import given, then, when

from pomelolane.clock import MonotonicClock, WallClock
from pomelolane.endpoints import AnswerStream, ConnectionPool
from pomelolane.exceptions import EndpointBrokenError, PlatformUnavailableError
from pomelolane.gateway.answers import answer_from_object
from pomelolane.gateway.dispatch import Dispatcher
from pomelolane.gateway.ending import Delivered
from pomelolane.gateway.holders import HolderQueries
from pomelolane.gateway.keyed import KeyedCalls
from pomelolane.gateway.retries import RetryBudget
from pomelolane.gateway.sinks import CallerSink, JoiningSink
from pomelolane.http.exchange import Exchange
from pomelolane.messages import KeyQuery
from pomelolane.model import Endpoint, Service, ServiceKind, Tree
from pomelolane.outcomes import Outcome, Reason, Refusal
from pomelolane.ports import Grant, Peer, View
from pomelolane.quarantine import CrashWatch, Quarantine
from pomelolane.store import (
    EmbeddedObjectStore,
    EmbeddedTable,
    claim_key,
    job_reservation,
)
from pomelolane.store.claims import DONE, make_claims
from pomelolane.tree import CurrentTree
from tests.gateway_calls import make_call

WAIT_S = 5


class SwitchedTable(EmbeddedTable):
    """A table that can be down."""

    down = False

    def __init__(self):
        super().__init__()
        self.held_reply = None

    async def read(self, key):
        if self.down:
            raise PlatformUnavailableError("down")
        return await super().read(key)

    async def commit(self, writes, *, atomic=True):
        if self.down:
            raise PlatformUnavailableError("down")
        results = await super().commit(writes, atomic=atomic)
        gate, self.held_reply = self.held_reply, None
        if gate is not None:
            await gate.wait()
        return results


class SwitchedObjects(EmbeddedObjectStore):
    """An object store that can be down."""

    down = False

    async def put(self, name, data):
        if self.down:
            raise PlatformUnavailableError("down")
        await super().put(name, data)


class Wire:
    """Transport and membership of all gateways."""

    def __init__(self):
        self.handlers = {}
        self.alive = {"a", "b"}

    def port(self, vm_id):
        return _Port(self, vm_id)

    def view(self):
        return View(1, {name: Peer(name, 1, "dc", "") for name in self.alive})


class _Port:
    def __init__(self, wire, vm_id):
        self.wire, self.vm_id = wire, vm_id

    def subscribe(self, kind, handler):
        self.wire.handlers[self.vm_id, kind] = handler

    def send(self, vm_id, message):
        handler = self.wire.handlers[vm_id, type(message)]
        asyncio.get_running_loop().call_soon(handler, self.vm_id, message)
        return True

    def view(self):
        return self.wire.view()


class _Connection:
    def pause_reading(self):
        pass

    resume_reading = close = pause_reading


class OneEngine:
    """Counts runs; answers at once or when let go."""

    def __init__(self):
        self.runs = []
        self.go = asyncio.Event()
        self.go.set()
        self.breaks_resumed = False
        self.broken = asyncio.Event()

    def _stream(self, stream_id):
        stream = AnswerStream(_Connection(), 200, [(b"content-type", b"text/x")])
        asyncio.get_running_loop().create_task(self._answer(stream, stream_id))
        return stream

    async def _answer(self, stream, stream_id):
        await self.go.wait()
        stream.feed(f"answer of {stream_id}".encode())
        stream.finish(complete=True, error=None)

    async def dispatch(self, endpoint, request):
        self.runs.append(request.request_id)
        return self._stream(request.request_id)

    async def resume(self, endpoint, stream_id, from_chunk):
        if not self.breaks_resumed:
            return self._stream(stream_id)
        self.broken.set()
        stream = AnswerStream(_Connection(), 200, [(b"content-type", b"text/x")])
        stream.finish(complete=False, error=EndpointBrokenError("cut"))
        return stream

    async def cancel(self, endpoint, stream_id):
        pass


class OneSlotScheduler:
    """Grants the only endpoint, or refuses everything."""

    refuses = False
    gate = None

    async def acquire(self, handle):
        if self.gate is not None:
            await self.gate.wait()
        if self.refuses:
            return Refusal(Outcome.NOT_RUN, Reason.QUEUE_FULL, 100)
        return Grant(handle.request_id, "e1", 1.0)

    def observe(self, event):
        pass


class TestGateway:
    """One gateway's parts for keyed calls."""

    def __init__(self, context, vm_id):
        tree = CurrentTree()
        service = Service("chat", "t", ServiceKind.ENGINE, {})
        tree.adopt(
            Tree(
                services={"chat": service},
                endpoints={"e1": Endpoint("e1", "chat", "dc", "")},
                versions={"b": 1},
            )
        )
        clock = MonotonicClock()
        self.scheduler = OneSlotScheduler()
        self.vm_id = vm_id
        adapters = {"engine": context.engine}
        quarantine = Quarantine(clock)
        crashes = CrashWatch(quarantine, ConnectionPool(), tree, clock, WallClock())
        self.dispatcher = Dispatcher(
            tree,
            self.scheduler,
            adapters,
            RetryBudget(),
            quarantine,
            crashes,
            clock,
            "dc",
        )
        port = context.wire.port(vm_id)
        self.claims = make_claims(context.shared_table, vm_id, 1, clock)
        self.keyed = KeyedCalls(
            self.claims,
            context.objects,
            self.dispatcher,
            HolderQueries(vm_id, port, port),
            tree,
            adapters,
            clock,
        )

    async def call(self, call):
        """Serve a call and return its result and the bytes that went out."""
        sent = bytearray()

        async def send(message):
            sent.extend(message.get("body", b""))

        async def replay(data):
            sent.extend(answer_from_object(data).body)

        scope = {"method": "POST", "raw_path": b"", "query_string": b"", "headers": []}
        exchange = Exchange(scope, None, send)
        if call.streamed:
            sink = CallerSink(exchange, ())
        else:
            sink = JoiningSink(exchange, (), call.service.name)
        result = await self.keyed.serve(call, sink, replay)
        return result, bytes(sent)


@given("two gateways that share a table and an object store")
def step_gateways(context):
    async def build():
        context.engine = OneEngine()
        context.shared_table = SwitchedTable()
        context.objects = SwitchedObjects()
        context.wire = Wire()
        context.gateways = {name: TestGateway(context, name) for name in "ab"}

    context.run(build())
    context.answers = []
    context.number = 0
    context.streamed = True


def _call(context, key, organisation="o", digest="d"):
    context.number += 1
    return make_call(
        context.number,
        organisation=organisation,
        key=key,
        streamed=context.streamed,
        digest=digest,
    )


def _serve(context, name, call):
    context.answers.append(context.run(context.gateways[name].call(call)))


async def _until(condition):
    async with asyncio.timeout(WAIT_S):
        while not await condition():  # noqa: ASYNC110 (nothing to wait on)
            await asyncio.sleep(0.001)


def _wait_for_state(context, *states):
    async def settled():
        rows = await context.shared_table.scan("claims/")
        return any(f'"state":"{state}"'.encode() in rows[0].value for state in states)

    context.run(_until(settled))


@given("the engine holds its answers back")
def step_hold(context):
    context.engine.go.clear()


@given("the keyed callers want no stream")
def step_no_stream(context):
    context.streamed = False


@given('the scheduler of gateway "{name}" refuses everything')
def step_refuse(context, name):
    context.gateways[name].scheduler.refuses = True


@given("the shared table is down")
def step_down(context):
    context.shared_table.down = True


@given("the shared object store is down")
def step_objects_down(context):
    context.objects.down = True


@when("the shared object store is back")
def step_objects_back(context):
    context.objects.down = False


@given('key "{key}" is claimed for a job')
def step_job_key(context, key):
    context.run(_claim(context, key, answer_object=job_reservation("j1")))


@given('key "{key}" has ended without a kept answer')
def step_ended_key(context, key):
    async def claim_and_end():
        record = await _claim(context, key)
        await context.gateways["a"].claims.settle(record, DONE)

    context.run(claim_and_end())


async def _claim(context, key, **options):
    hashed = claim_key("o", key)
    claims = context.gateways["a"].claims
    return await claims.claim(hashed, "d", timeout_ms=WAIT_S * 1000, **options)


@then("the last caller was told that the answer was not kept")
def step_not_kept(context):
    result, _ = context.answers[-1]
    assert "not kept" in result.detail, result


@when('gateway "{name}" is called with key "{key}"')
def step_call(context, name, key):
    _serve(context, name, _call(context, key))


@when('gateway "{name}" is called with key "{key}" after the answer was kept')
def step_call_kept(context, name, key):
    _wait_for_state(context, "done")
    _serve(context, name, _call(context, key))


@when('gateway "{name}" is called with key "{key}" after the claim was released')
def step_call_released(context, name, key):
    _wait_for_state(context, "released")
    _serve(context, name, _call(context, key))


@when('gateway "{name}" is called with key "{key}" by another organisation')
def step_call_other(context, name, key):
    _serve(context, name, _call(context, key, organisation="p"))


@when('gateway "{name}" is called with key "{key}" for another prompt')
def step_call_reuse(context, name, key):
    _serve(context, name, _call(context, key, digest="e"))


@when('gateways "a" and "b" are called with key "{key}" at once')
def step_call_both(context, key):
    async def begin():
        calls = [_call(context, key) for _ in "ab"]
        context.tasks = [
            asyncio.create_task(context.gateways[name].call(call))
            for name, call in zip("ab", calls, strict=True)
        ]

        async def running():
            return bool(context.engine.runs)

        await _until(running)

    context.run(begin())


@given('the reply to gateway "a"\'s claim is held back')
def step_hold_reply(context):
    context.reply = context.shared_table.held_reply = asyncio.Event()


@when('gateways "a" and "b" are called with key "{key}" and the reply comes late')
def step_call_before_reply(context, key):
    async def call_both():
        tasks = [asyncio.create_task(context.gateways["a"].call(_call(context, key)))]

        async def written():
            return bool(await context.shared_table.scan("claims/"))

        await _until(written)
        asked = _count_queries(context)
        tasks.append(
            asyncio.create_task(context.gateways["b"].call(_call(context, key)))
        )

        async def b_asked():
            return bool(asked)

        await _until(b_asked)
        context.reply.set()
        context.answers += await asyncio.gather(*tasks)

    context.run(call_both())


@given('the scheduler of gateway "a" lets requests wait')
def step_let_wait(context):
    context.gateways["a"].scheduler.gate = asyncio.Event()


@when('gateway "a" is called with key "{key}" and gateway "b" repeats it twice')
def step_call_and_repeat(context, key):
    async def begin():
        first = asyncio.create_task(context.gateways["a"].call(_call(context, key)))

        async def claimed():
            return bool(context.gateways["a"].dispatcher.open_requests)

        await _until(claimed)
        asked = _count_queries(context)
        repeats = [_call(context, key) for _ in range(2)]
        context.repeats = [
            asyncio.create_task(context.gateways["b"].call(call)) for call in repeats
        ]

        async def both_asked():
            return len(asked) >= 2

        await _until(both_asked)
        context.first = first

    context.run(begin())


def _count_queries(context):
    answer = context.wire.handlers["a", KeyQuery]
    asked = []

    def answer_and_note(sender, query):
        asked.append(query)
        answer(sender, query)

    context.wire.handlers["a", KeyQuery] = answer_and_note
    return asked


@when('the scheduler of gateway "a" refuses what waits')
def step_refuse_waiting(context):
    scheduler = context.gateways["a"].scheduler
    scheduler.refuses = True
    scheduler.gate.set()
    context.answers = context.run(asyncio.wait_for(_gather(context.repeats), WAIT_S))


@then("both repeats have the same answer")
def step_repeats_same(context):
    assert len(_texts(context)) == 1, context.answers


@given("the engine breaks off whoever resumes before the first byte")
def step_break_resumed(context):
    context.engine.breaks_resumed = True


@when("the engine has broken a resumed answer off and lets its answers go")
def step_go_after_break(context):
    context.run(asyncio.wait_for(context.engine.broken.wait(), WAIT_S))
    step_go(context)


@when("the engine lets its answers go")
def step_go(context):
    context.engine.go.set()
    tasks = getattr(context, "tasks", [])
    context.answers += context.run(asyncio.wait_for(_gather(tasks), WAIT_S))


async def _gather(tasks):
    return await asyncio.gather(*tasks)


@when('gateway "{name}" is called ten times at once with key "{key}"')
def step_call_ten(context, name, key):
    async def all_at_once():
        calls = [_call(context, key) for _ in range(10)]
        gateway = context.gateways[name]
        return await asyncio.gather(*(gateway.call(call) for call in calls))

    context.answers = context.run(all_at_once())


async def _begun(context, name, call):
    task = asyncio.create_task(context.gateways[name].call(call))

    async def running():
        return bool(context.engine.runs)

    await _until(running)
    return task


@when('gateway "{name}" is called with key "{key}" and its VM dies')
def step_call_dies(context, name, key):
    context.run(_begun(context, name, _call(context, key)))
    context.wire.alive.remove(name)


@when('gateway "{name}" is called with key "{key}" and the caller leaves')
def step_call_leaves(context, name, key):
    # The server cancels nothing that is dispatched under a key, and its sends
    # to a connection that is gone do nothing: here the task simply goes on.
    context.left = context.run(_begun(context, name, _call(context, key)))


def _texts(context):
    assert all(isinstance(result, Delivered) for result, _ in context.answers)
    return {text for _, text in context.answers}


@then("both callers have the same answer")
def step_same(context):
    assert len(context.answers) == 2
    assert len(_texts(context)) == 1, context.answers


@then("all ten callers have the same answer")
def step_ten_same(context):
    assert len(context.answers) == 10
    assert len(_texts(context)) == 1, context.answers


@then("the engine ran {count:d} request")
@then("the engine ran {count:d} requests")
def step_ran(context, count):
    assert len(context.engine.runs) == count, context.engine.runs


@then('the last caller hears "{outcome}" because of "{reason}"')
def step_hears(context, outcome, reason):
    result, _ = context.answers[-1]
    assert (result.outcome.value, result.reason.value) == (outcome, reason), result


@then("the last caller has an answer")
def step_answered(context):
    result, text = context.answers[-1]
    assert isinstance(result, Delivered), result
    assert text
