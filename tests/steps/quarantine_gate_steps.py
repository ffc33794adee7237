"""Steps of tests/quarantine/gate.feature."""

import asyncio
import itertools

from behave import given, then, when

from pomelolane.clock import MonotonicClock
from pomelolane.messages import Handle
from pomelolane.outcomes import Outcome, Refusal
from pomelolane.ports import Grant
from pomelolane.quarantine import Gate, Quarantine, Subjects

_STARTS = itertools.count(1)
WAIT_S = 2.0


class Scheduler:
    """Grants when it is told to."""

    def __init__(self):
        self.asked = []
        self.withdrawn = False
        self.freed = []
        self.granting = None

    async def acquire(self, handle):
        self.asked.append(handle)
        self.granting = asyncio.get_running_loop().create_future()
        try:
            return await self.granting
        except asyncio.CancelledError:
            self.withdrawn = True
            raise

    def observe(self, event):
        if event.finished:
            self.freed.append(event.request_id)

    def grant(self):
        self.granting.set_result(Grant("r1", "e1", 1.0))


@given("a gate before a scheduler")
def step_gate(context):
    clock = MonotonicClock()
    context.scheduler = Scheduler()
    context.quarantine = Quarantine(clock)
    context.gate = Gate(context.quarantine, context.scheduler, clock)


def _end(context, request, count):
    for _ in range(count):
        context.quarantine.crashed(
            Subjects(request), f"start-{next(_STARTS)}", "endpoint"
        )


@given('three endpoints ended under "{request}"')
def step_ended(context, request):
    async def end():
        _end(context, request, 3)
        await context.quarantine.settled(Subjects(request))

    context.run(end())


@when('a request for "{request}" asks for a slot')
def step_asks(context, request):
    async def ask():
        handle = Handle("r1", "s", "w", 0, "o", "t", 9000, 10, 10)
        asking = context.gate.acquire(Subjects(request), handle)
        context.asking = asyncio.create_task(asking)
        await asyncio.sleep(0.01)

    context.run(ask())


@when("the scheduler grants it")
def step_grants(context):
    async def grant():
        context.scheduler.grant()

    context.run(grant())


@when('three endpoints end under "{request}"')
def step_end(context, request):
    async def end():
        _end(context, request, 3)

    context.run(end())


@when('two endpoints end under "{request}"')
def step_two(context, request):
    async def end():
        _end(context, request, 2)

    context.run(end())


@when('two endpoints end under "{request}", and a third a moment later')
def step_third(context, request):
    async def end():
        _end(context, request, 2)
        await asyncio.sleep(0.02)
        _end(context, request, 1)

    context.run(end())


@when('the scheduler grants it while three endpoints end under "{request}"')
def step_race(context, request):
    async def race():
        _end(context, request, 3)
        context.quarantine.review()
        context.scheduler.grant()

    # The wait is over for the scheduler before the judgement reaches it.
    context.quarantine._on_quarantined.clear()
    context.run(race())


@when("its caller leaves")
def step_leaves(context):
    context.asking.cancel()


def _result(context):
    return context.run(asyncio.wait_for(context.asking, WAIT_S))


@then("it has the slot")
def step_has(context):
    assert isinstance(_result(context), Grant)


@then('it is refused as "{reason}" and not run')
def step_refused(context, reason):
    refusal = _result(context)
    assert isinstance(refusal, Refusal), refusal
    assert (refusal.reason, refusal.outcome) == (reason, Outcome.NOT_RUN), refusal
    assert refusal.retry_after_ms == 0


@then("the scheduler was not asked")
def step_not_asked(context):
    assert context.scheduler.asked == []


@then("the scheduler was told that it waits no more")
def step_withdrawn(context):
    assert context.scheduler.withdrawn


@then("its slot is free again")
def step_freed(context):
    assert context.scheduler.freed == ["r1"], context.scheduler.freed


@then("the scheduler knows it as a suspect")
def step_suspect(context):
    assert context.scheduler.asked[0].suspect


@then("its wait ends by the cancellation")
def step_cancelled(context):
    async def end():
        await asyncio.gather(context.asking, return_exceptions=True)
        return context.asking.cancelled()

    assert context.run(end())
    assert context.scheduler.withdrawn
