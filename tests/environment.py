"""Behave hooks shared by all features.

Each scenario gets one event loop, and everything that it registers for
clean-up with ``context.add_cleanup`` is ended with it.
"""

from __future__ import annotations

import asyncio

from absl import logging


def before_all(context):
    """Keep the log of passing scenarios out of the report."""
    del context
    logging.set_verbosity(logging.FATAL)


def before_scenario(context, scenario):
    """Give the scenario a loop and a helper that runs coroutines on it."""
    del scenario
    context.loop = asyncio.new_event_loop()
    context.run = context.loop.run_until_complete


def after_scenario(context, scenario):
    """Cancel what is left on the loop and close it."""
    del scenario
    pending = asyncio.all_tasks(context.loop)
    for task in pending:
        task.cancel()
    if pending:
        context.run(asyncio.gather(*pending, return_exceptions=True))
    context.run(context.loop.shutdown_asyncgens())
    context.loop.close()
