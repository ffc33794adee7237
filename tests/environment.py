"""Behave hooks shared by all features.

Each scenario gets one event loop, and everything that it registers for
clean-up with ``context.add_cleanup`` is ended with it.
"""

from __future__ import annotations

import asyncio

import hypothesis
from absl import logging


def before_all(context):
    """Keep the log of passing scenarios out of the report."""
    del context
    logging.set_verbosity(logging.FATAL)
    # The same examples in each run: one commit has one verdict. How long an
    # example takes says nothing on a busy machine.
    hypothesis.settings.register_profile(
        "same_verdict",
        derandomize=True,
        database=None,
        deadline=None,
        suppress_health_check=[hypothesis.HealthCheck.too_slow],
    )
    hypothesis.settings.load_profile("same_verdict")


def before_scenario(context, scenario):
    """Give the scenario a loop and a way to run coroutines on it."""
    del scenario
    context.loop = asyncio.new_event_loop()
    context.run = context.loop.run_until_complete
    # Clean-ups run last in, first out: the loop outlives all others.
    context.add_cleanup(_close_loop, context.loop)


def after_step(context, step):
    """Print why a step failed: the short report leaves it out."""
    del context
    if step.exception is not None:
        print(f"\n{step.filename}:{step.line} {step.name}: {step.exception!r}")


def _close_loop(loop):
    pending = asyncio.all_tasks(loop)
    for task in pending:
        task.cancel()
    if pending:
        loop.run_until_complete(asyncio.gather(*pending, return_exceptions=True))
    loop.run_until_complete(loop.shutdown_asyncgens())
    loop.close()
