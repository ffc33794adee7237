"""Steps of clock.feature; those of queues are in coordination_service_queue_steps."""

import asyncio
import time

from behave import given, then, when

from pomelolane.clock import ManualClock, MonotonicClock, SteadyClock
from pomelolane.timeouts import Timeouts


@given("a steady clock over one that is moved by hand")
def step_clock(context):
    context.manual = ManualClock(50.0)
    context.pauses = []
    context.steady = SteadyClock(context.manual, lambda: context.pauses.append(1))
    context.begun_ms = context.steady.now_ms()


@when(
    "that clock moves on by {one:d} ms, {two:d} ms and {three:d} ms with a reading each"
)
def step_move(context, one, two, three):
    for step_ms in (one, two, three):
        context.manual.advance(step_ms)
        context.now_ms = context.steady.now_ms()


@then("the steady clock has moved on by {ms:d} ms")
def step_moved(context, ms):
    assert context.now_ms - context.begun_ms == ms


@then("one pause was told")
def step_told(context):
    assert len(context.pauses) == 1


@given("the process's clock")
def step_process_clock(context):
    context.clock = MonotonicClock()
    context.begun_ms = context.clock.now_ms()


@when(
    "the VM is suspended for {ms:d} ms, which its monotonic clock does not count",
)
def step_suspended(context, ms):
    read = time.clock_gettime

    def read_later(clock_id):
        suspended_s = ms / 1000 if clock_id == time.CLOCK_BOOTTIME else 0.0
        return read(clock_id) + suspended_s

    time.clock_gettime = read_later
    try:
        context.moved_ms = context.clock.now_ms() - context.begun_ms
    finally:
        time.clock_gettime = read


@then("the process's clock has moved on by {ms:d} ms")
def step_process_moved(context, ms):
    assert ms <= context.moved_ms < ms + 1000, context.moved_ms


class SuspendedClock(MonotonicClock):
    """A clock that goes on while the VM, and its loop's timers, are suspended."""

    suspended_ms = 0.0

    def now_ms(self):
        return super().now_ms() + self.suspended_ms


@given("a timeout of {ms:d} ms")
def step_timeout(context, ms):
    async def hold():
        try:
            async with context.timeouts.after(ms):
                await asyncio.sleep(60)
        except TimeoutError:
            return time.monotonic()

    async def begin():
        task = asyncio.create_task(hold())
        await asyncio.sleep(0)
        return task

    context.clock = SuspendedClock()
    context.timeouts = Timeouts(context.clock)
    context.holding = context.run(begin())


@when("the VM is suspended for {ms:d} ms, and looks at its timeouts")
def step_suspended_looks(context, ms):
    context.clock.suspended_ms += ms
    step_looks(context)


@when("the VM looks at its timeouts")
def step_looks(context):
    context.looked_s = time.monotonic()

    async def look():
        context.timeouts.look()

    context.run(look())


def _ended_ms(context):
    ended_s = context.run(asyncio.wait_for(context.holding, 5))
    return 1000 * (ended_s - context.looked_s)


@then("the timeout ends what it bounds within {ms:d} ms")
def step_ends_within(context, ms):
    assert _ended_ms(context) <= ms


@then("the timeout ends what it bounds after {least:d} to {most:d} ms")
def step_ends_after(context, least, most):
    ended_ms = _ended_ms(context)
    assert least <= ended_ms <= most, ended_ms
