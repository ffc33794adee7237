"""Waiting for conditions, and ending parts while the loop still runs."""

import asyncio

WAIT_S = 10.0


def stop_at_end(context, part):
    """Stop a part while the scenario's loop still runs."""

    async def keep():
        try:
            await asyncio.Event().wait()
        finally:
            await part.stop()

    context.keepers = [
        *getattr(context, "keepers", []),
        context.loop.create_task(keep()),
    ]
    context.run(asyncio.sleep(0))


def call(context, function, *arguments):
    """Call something that needs a running loop."""

    async def inside():
        return function(*arguments)

    return context.run(inside())


async def eventually(condition, what):
    """Wait until ``condition()`` holds, without a time of its own."""
    try:
        async with asyncio.timeout(WAIT_S):
            while not condition():  # noqa: ASYNC110 - any state of any part
                await asyncio.sleep(0.01)
    except TimeoutError:
        raise AssertionError(f"never came true: {what}") from None
