"""Helpers to await conditions and to stop components before the loop ends."""

import asyncio

WAIT_S = 10.0


def stop_at_end(context, component):
    """Stop a component at the scenario's end, while its loop still runs."""

    async def stop_when_cancelled():
        try:
            await asyncio.Event().wait()
        finally:
            await component.stop()

    context.keepers = [
        *getattr(context, "keepers", []),
        context.loop.create_task(stop_when_cancelled()),
    ]
    context.run(asyncio.sleep(0))


def call(context, function, *arguments):
    """Call something that needs a running loop."""

    async def inside():
        return function(*arguments)

    return context.run(inside())


async def eventually(condition, what):
    """Poll until ``condition()`` holds, for at most :data:`WAIT_S`."""
    try:
        async with asyncio.timeout(WAIT_S):
            while not condition():  # noqa: ASYNC110 - the state has no event to await
                await asyncio.sleep(0.01)
    except TimeoutError:
        raise AssertionError(f"timed out waiting for: {what}") from None
