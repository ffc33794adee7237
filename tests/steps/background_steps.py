"""Steps of tests/background.feature."""

import asyncio

from behave import then, when

from bench.processes import wait_until
from pomelolane import background
from pomelolane.background import BackgroundTasks


def _tasks(context, ends, times):
    """Return a set of tasks, and a coroutine function that ends so many times."""
    context.failures, context.runs, context.open = [], 0, 0
    before = background.log_event
    context.add_cleanup(setattr, background, "log_event", before)
    background.log_event = lambda event, **values: context.failures.append(values)

    async def run():
        context.runs += 1
        if context.runs > times:
            context.open += 1
            try:
                await asyncio.get_running_loop().create_future()
            finally:
                context.open -= 1
        if ends == "raises an error":
            raise RuntimeError("unexpected")
        if ends != "returns":
            awaited = asyncio.get_running_loop().create_future()
            awaited.cancel()
            await awaited

    context.tasks = BackgroundTasks()
    return context.tasks, run


@when("a task is to be kept running that {ends} twice")
def step_keep_running(context, ends):
    async def start():
        tasks, run = _tasks(context, ends, 2)
        tasks.keep_running("kept", run)

    context.run(start())


@when("a task is started that {ends}")
def step_start(context, ends):
    async def start():
        tasks, run = _tasks(context, ends, 1)
        tasks.start("once", run())

    context.run(start())


@then("it runs for the third time within {ms:d} ms, and {count:d} failures are logged")
def step_runs_again(context, ms, count):
    context.run(wait_until(lambda: context.open == 1, ms / 1000, "it does not run"))
    assert context.runs == 3, context.runs
    assert [one["task"] for one in context.failures] == count * ["kept"]


@then("it has run once after {ms:d} ms, and 1 failure is logged")
def step_ran_once(context, ms):
    context.run(asyncio.sleep(ms / 1000))
    assert context.runs == 1, context.runs
    assert [one["task"] for one in context.failures] == ["once"]


@when("the tasks are stopped")
def step_stop(context):
    context.run(asyncio.wait_for(context.tasks.stop(), 1))


@then("none of them is running")
def step_none(context):
    assert context.open == 0
