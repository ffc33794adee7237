"""Steps of gateway/dispatch.feature, over scripted endpoints and grants."""

import asyncio
from dataclasses import dataclass, replace

from behave import given, then, when

from pomelolane.clock import MonotonicClock, WallClock
from pomelolane.endpoints import ConnectionPool
from pomelolane.exceptions import EndpointBrokenError, EndpointRefusedError
from pomelolane.gateway.dispatch import Dispatcher
from pomelolane.gateway.ending import Delivered, SinkResult
from pomelolane.gateway.retries import RetryBudget
from pomelolane.model import Endpoint, Tree
from pomelolane.outcomes import Outcome, Reason, Refusal
from pomelolane.ports import Grant
from pomelolane.quarantine import CrashWatch, Quarantine
from pomelolane.tree import CurrentTree
from tests.gateway_calls import make_call

_WHOLE = ("answers", "says that it leaves")
STARTS_ANEW_S = 0.02
REFUSAL = Refusal(Outcome.NOT_RUN, Reason.QUEUE_FULL, 500)


class SkippingClock(MonotonicClock):
    """A clock that a pause can move on."""

    skipped_ms = 0.0

    def now_ms(self):
        return super().now_ms() + self.skipped_ms


class ScriptedScheduler:
    """Grants endpoints in turn; refuses once ``grants_left`` is used up."""

    def __init__(self):
        self.granted = []
        self.finished = []
        self.grants_left = 1000
        self.while_waiting = lambda: None

    async def acquire(self, handle):
        if self.grants_left == 0:
            return REFUSAL
        self.grants_left -= 1
        self.while_waiting()
        endpoint = "e2" if handle.excluded else "e1"
        self.granted.append(handle.request_id)
        return Grant(handle.request_id, endpoint, 1.0)

    def observe(self, event):
        if event.finished:
            self.finished.append(event.request_id)


@dataclass
class ScriptedStream:
    """An answer that ends, breaks or never ends."""

    behaviour: str
    status: int = 200
    headers: tuple = ()

    def header(self, name):
        leaves = self.behaviour == "says that it leaves"
        return b"leaving" if leaves and name == b"x-endpoint-state" else b""

    async def aclose(self):
        pass


class ScriptedAdapter:
    """Counts dispatches and cancels; fails as told by endpoint."""

    def __init__(self):
        self.behaviours = {}
        self.dispatches = []
        self.cancelled = asyncio.Event()
        self.ended = []
        self.restart = None

    async def dispatch(self, endpoint, request):
        behaviour = self.behaviours.get(endpoint.endpoint_id, "answers")
        if endpoint in self.ended:
            raise EndpointRefusedError("nothing listens")
        self.dispatches.append(request.request_id)
        if behaviour == "refuses the connection":
            raise EndpointRefusedError("refused")
        if behaviour == "ends under a request":
            self.ended.append(endpoint)
            self.restart(endpoint)
            raise EndpointBrokenError("the endpoint closed the connection")
        if behaviour == "breaks before a byte":
            raise EndpointBrokenError("broken")
        return ScriptedStream(behaviour)

    async def cancel(self, endpoint, stream_id):
        self.cancelled.set()


class ScriptedSink:
    """Takes what a scripted stream gives."""

    def __init__(self):
        self.begun = asyncio.Event()

    async def take(self, stream, on_first, on_progress):
        on_first()
        self.begun.set()
        if stream.behaviour == "never ends":
            await asyncio.Event().wait()
        return SinkResult(stream.behaviour in _WHOLE, True, 1)


@given('a dispatcher with a scheduler that grants "e1" then "e2"')
def step_dispatcher(context):
    tree = CurrentTree()
    endpoints = {
        name: Endpoint(name, "chat", "dc", "127.0.0.1:1") for name in ("e1", "e2")
    }
    tree.adopt(Tree(endpoints=endpoints, versions={"b": 1}))
    context.scheduler = ScriptedScheduler()
    context.adapter = ScriptedAdapter()
    context.adapter.restart = lambda endpoint: _start_anew(tree, endpoint)
    context.leaving = []
    context.clock = SkippingClock()
    quarantine = Quarantine(context.clock)
    crashes = CrashWatch(quarantine, ConnectionPool(), tree, context.clock, WallClock())
    context.dispatcher = Dispatcher(
        tree,
        context.scheduler,
        {"engine": context.adapter},
        RetryBudget(),
        quarantine,
        crashes,
        context.clock,
        "dc",
        on_leaving=lambda endpoint: context.leaving.append(endpoint),
    )


def _start_anew(tree, endpoint):
    """Nothing listens at the endpoint's address; later it is there as another start."""
    successor = replace(endpoint, born_ms=endpoint.born_ms + 1)
    endpoints = tree.value.endpoints | {endpoint.endpoint_id: successor}
    asyncio.get_running_loop().call_later(
        STARTS_ANEW_S, tree.adopt, replace(tree.value, endpoints=endpoints)
    )


@given("the dispatcher is paused past the deadline while it waits for a grant")
def step_paused(context):
    def pause():
        context.clock.skipped_ms = 24 * 3600 * 1000

    context.scheduler.while_waiting = pause


@then("the dispatcher has given its slot back")
def step_slot_back(context):
    assert context.scheduler.finished == context.scheduler.granted


@given("the dispatcher's first endpoint {failure}")
def step_failure(context, failure):
    context.adapter.behaviours["e1"] = failure


@then('the dispatcher tells that "{endpoint}" leaves')
def step_leaves(context, endpoint):
    assert context.leaving == [endpoint]


@given("every endpoint of the dispatcher {failure}")
def step_every(context, failure):
    context.adapter.behaviours.update(e1=failure, e2=failure)


@given("the dispatcher's scheduler refuses")
def step_refuses(context):
    context.scheduler.grants_left = 0


@given("the dispatcher's scheduler refuses after the first grant")
def step_refuses_later(context):
    context.scheduler.grants_left = 1


def _call(kind, number=0):
    return make_call(
        number,
        idempotent=kind != "non-idempotent",
        key="k" if kind == "keyed" else "",
    )


def _run(context, call):
    dispatcher = context.dispatcher
    return context.run(dispatcher.run(dispatcher.open(call), ScriptedSink()))


@when("the dispatcher runs {kind} work")
def step_run(context, kind):
    context.result = _run(context, _call(kind))


@when("the dispatcher runs non-idempotent work with {ms:d} ms left")
def step_run_late(context, ms):
    call = replace(_call("non-idempotent"), deadline_ms=ms)
    context.result = _run(context, call)


@when("the dispatcher runs {count:d} idempotent requests")
def step_run_many(context, count):
    context.count = count
    for number in range(count):
        _run(context, _call("idempotent", number))


@when("the dispatcher repeats one idempotent request {count:d} times")
def step_run_same(context, count):
    for number in range(count):
        context.result = _run(context, _call("idempotent", number))
        context.run(asyncio.sleep(2 * STARTS_ANEW_S))


@when("the dispatcher's endpoints answer again")
def step_answer_again(context):
    context.adapter.behaviours.clear()


@when("the dispatcher serves another organisation")
def step_run_other(context):
    context.result = _run(context, make_call(99, organisation="other"))


@then("the endpoints got at most {most:d} dispatches")
def step_at_most(context, most):
    assert len(context.adapter.dispatches) <= most, context.adapter.dispatches


@when("the dispatcher's caller leaves")
def step_leaves(context):
    async def leave():
        sink = ScriptedSink()
        state = context.dispatcher.open(_call("idempotent"))
        task = asyncio.create_task(context.dispatcher.run(state, sink))
        await sink.begun.wait()
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)

    context.run(leave())


@then("the dispatcher ends with {ending}")
def step_ending(context, ending):
    result = context.result
    found = "delivery" if isinstance(result, Delivered) else result.outcome.value
    assert found == ending, result


@then("the endpoints got {count:d} dispatches")
def step_dispatches(context, count):
    assert len(context.adapter.dispatches) == count, context.adapter.dispatches


@then("every grant was finished exactly once")
def step_finished(context):
    assert sorted(context.scheduler.finished) == sorted(context.scheduler.granted)


@then("the engine was told to cancel the stream")
def step_cancelled(context):
    context.run(asyncio.wait_for(context.adapter.cancelled.wait(), 5))


@then("fewer than {count:d} dispatches were repeats")
def step_repeats(context, count):
    repeats = len(context.adapter.dispatches) - context.count
    assert 0 < repeats < count, repeats
