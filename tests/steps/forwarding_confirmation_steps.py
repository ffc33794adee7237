"""Steps of tests/forwarding/confirmation.feature."""

import asyncio
import time

from behave import given, then, when

from pomelolane.clock import MonotonicClock
from pomelolane.forwarding.confirmation import Confirmation

_MAX_AGE_MS = 1_000


async def _timed_ms(awaitable):
    began_s = time.monotonic()
    await awaitable
    return (time.monotonic() - began_s) * 1000


@given("knowledge that is too old")
def step_old(context):
    context.clock = MonotonicClock()
    context.confirmation = Confirmation(context.clock, _MAX_AGE_MS)
    context.confirmation._confirmed_ms -= 2 * _MAX_AGE_MS


@when(
    "the event loop stands still for {stall_ms:d} ms while a request waits, and the "
    "answer is handled {late_ms:d} ms later"
)
def step_stall(context, stall_ms, late_ms):
    async def play():
        waiting = asyncio.create_task(context.confirmation.ensure())
        asyncio.get_running_loop().call_soon(time.sleep, stall_ms / 1000)
        await asyncio.sleep(0)
        await asyncio.sleep(late_ms / 1000)
        context.was_waiting = not waiting.done()
        context.confirmation.confirm(context.clock.now_ms())
        await waiting

    context.run(play())


@then("the request has waited for the answer")
def step_has_waited(context):
    assert context.was_waiting


@then("a request waits for at most {most_ms:d} ms, and the next one not at all")
def step_silent(context, most_ms):
    waited_ms = [context.run(_timed_ms(context.confirmation.ensure())) for _ in "12"]
    assert waited_ms[0] <= most_ms, waited_ms
    assert waited_ms[1] < 20, waited_ms
