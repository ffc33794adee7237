"""Steps of tests/background.feature."""

import asyncio

from behave import then, when

from bench.processes import wait_until
from pomelolane import background
from pomelolane.background import BackgroundTasks


@when("a task is to be kept running that {ends} twice")
def step_keep_running(context, ends):
    context.failures, context.runs = [], 0
    before = background.log_event
    context.add_cleanup(setattr, background, "log_event", before)
    background.log_event = lambda event, **values: context.failures.append(values)
    context.tasks = BackgroundTasks()

    async def run():
        context.runs += 1
        awaited = asyncio.get_running_loop().create_future()
        if context.runs > 2:
            context.last = asyncio.current_task()
        elif ends == "raises an error":
            awaited.set_exception(RuntimeError("unexpected"))
        elif ends == "returns":
            awaited.set_result(None)
        else:
            awaited.cancel()
        await awaited

    async def start():
        context.tasks.keep_running("kept", run)

    context.run(start())


@then("it runs for the third time within {ms:d} ms, and {count:d} failures are logged")
def step_runs_again(context, ms, count):
    context.run(wait_until(lambda: context.runs == 3, ms / 1000, "it does not run"))
    assert [one["task"] for one in context.failures] == count * ["kept"]


@then("it is cancelled with all tasks")
def step_cancelled(context):
    context.run(asyncio.wait_for(context.tasks.stop(), 1))
    assert context.last.cancelled()
