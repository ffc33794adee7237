"""Stand-ins under test: kept for a scenario and called over their ports."""

from __future__ import annotations

import asyncio
import json

import aiohttp

# Only ends a scenario that would hang; nothing is measured against it.
GIVE_UP_S = 30


def keep(context, standin):
    """Close a stand-in at the scenario's end."""
    context.add_cleanup(lambda: context.run(standin.aclose()))
    return standin


async def call(method, port, path, **options):
    """Return status and body of a call, 0 and nothing where it broke."""
    url = f"http://127.0.0.1:{port}{path}"
    try:
        async with (
            aiohttp.ClientSession(timeout=aiohttp.ClientTimeout(GIVE_UP_S)) as session,
            session.request(method, url, **options) as answer,
        ):
            return answer.status, await answer.read()
    except aiohttp.ClientError:
        return 0, b""


def request(context, method, path, **options):
    """Call the stand-in under test and keep its status."""
    pending = call(method, context.standin.server.port, path, **options)
    context.status, context.body = context.run(pending)
    return context.body


def control(context, method, path, **options):
    """Call the control port of the stand-in under test."""
    pending = call(method, context.standin.control.port, path, **options)
    status, body = context.run(pending)
    assert status == 200, body
    return json.loads(body)


async def until_true(condition):
    """Wait until a condition holds."""
    async with asyncio.timeout(GIVE_UP_S):
        while not condition():  # noqa: ASYNC110
            await asyncio.sleep(0.001)
