"""Steps of tests/platform/storecalls.feature; the others are those of the watches."""

import asyncio

from behave import then, when

from pomelolane.platform.errors import StoreUnavailableError


async def _tries(call):
    """Repeat a call until it succeeds; return how often it was made."""
    for tries in range(1, 10):
        try:
            await call()
        except StoreUnavailableError:
            await asyncio.sleep(0.5)
        else:
            return tries
    raise AssertionError("the call never succeeded")


@when("each answer of the store takes {ms:d} ms")
def step_late(context, ms):
    context.store.late_s = ms / 1000


@then("a write succeeds at the second try")
def step_write(context):
    tries = context.run(_tries(lambda: context.client.write("own", {"k": b""})))
    assert tries == 2, tries
