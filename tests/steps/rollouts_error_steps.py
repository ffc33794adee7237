"""Steps of tests/rollouts/errors.feature."""

import asyncio
from types import SimpleNamespace

from behave import given, then, when

from bench.processes import wait_until
from pomelolane.background import BackgroundTasks
from pomelolane.clock import MonotonicClock
from pomelolane.rollouts import RolloutBounds, Rollouts
from pomelolane.rollouts.order import RolloutOrder


class _Record:
    def __init__(self):
        self.now_ms = MonotonicClock().now_ms

    async def load(self, service):
        return None

    async def save(self, order, status):
        return True


class _Role:
    """Schedules the service; fails once where it is told to."""

    def __init__(self):
        self.fails = False
        self.queue = SimpleNamespace(core=SimpleNamespace(trial=None))

    def service_queue(self, service):
        if self.fails:
            self.fails = False
            raise RuntimeError("unexpected")
        return self.queue


@given("a rollout whose trial is running")
def step_rollout(context):
    context.role, context.tasks = _Role(), BackgroundTasks()
    coordination = SimpleNamespace(role=context.role)
    rollouts = Rollouts(RolloutBounds(), _Record(), coordination, dict)

    async def start():
        rollouts.adopt([RolloutOrder("s", "v2", 60_000, 1)])
        context.tasks.keep_running("rollouts", rollouts.run)
        await wait_until(lambda: context.role.queue.core.trial, 2, "no trial")

    context.run(start())
    context.add_cleanup(lambda: context.run(context.tasks.stop()))


@when("an unexpected error ends one of its ticks")
def step_error(context):
    context.role.fails = True
    context.run(wait_until(lambda: not context.role.fails, 2, "no tick"))


@then("its trial runs {ms:d} ms later")
def step_runs(context, ms):
    context.run(asyncio.sleep(ms / 1000))
    assert context.role.queue.core.trial is not None
