"""Steps of changes of the configuration while requests are read."""

import asyncio
import json
from collections import Counter

from behave import then, when

from standins.routed.vm import Answer
from tests.routed_world import ORGANISATION, caller_headers, configuration

BODY = b"a" * 64

WAITING_S = 0.1
"""Time in which requests come to wait at their scheduler."""


def _changes(what):
    """Return the changes of an operator's configuration."""
    document = json.loads(configuration())
    routes = document["routes"]
    plain = routes[0]
    match what:
        case "its route is removed":
            return {"routes": routes[1:]}
        case "its service is replaced":
            return {"routes": [plain | {"service": "pool"}, *routes[1:]]}
        case "its key is taken away":
            return {"tenants": [{"name": ORGANISATION, "apiKeys": []}]}
        case "its route is declared again":
            return {"routes": [plain | {"timeoutMs": 2900}, *routes[1:]]}
        case "its route is moved and its service removed":
            moved = [one | {"service": "pool"} for one in routes]
            return {"routes": moved, "services": document["services"][1:]}
    raise AssertionError(what)


async def _send_slowly(vm, line, body_ms, change):
    """Send half of a body, change something, and send the rest; return the answer."""
    reader, writer = await asyncio.open_connection(vm.ip, vm.front.port)
    fields = [*caller_headers("r1"), f"content-length: {len(BODY)}"]
    head = "\r\n".join([f"{line} HTTP/1.1", *fields, "connection: close", "", ""])
    half = len(BODY) // 2
    writer.write(head.encode() + BODY[:half])
    await asyncio.sleep(body_ms / 3000)
    change()
    await asyncio.sleep(2 * body_ms / 3000)
    writer.write(BODY[half:])
    try:
        return Answer(await reader.read())
    finally:
        writer.close()


@when(
    'a caller sends "{line}" with a body that takes {body_ms:d} ms, '
    "and {what} meanwhile"
)
def step_slow_body(context, line, body_ms, what):
    context.request_id = "r1"

    def change():
        context.world.configure(**_changes(what))

    sending = _send_slowly(context.vm, line, body_ms, change)
    context.answer = context.run(asyncio.wait_for(sending, 10))


async def _send(vm, line, request_id):
    reader, writer = await asyncio.open_connection(vm.ip, vm.front.port)
    head = [f"{line} HTTP/1.1", *caller_headers(request_id), "connection: close"]
    writer.write("\r\n".join([*head, "", ""]).encode())
    try:
        return Answer(await reader.read())
    finally:
        writer.close()


@when('{count:d} callers send "{line}", and {what}')
def step_callers_send(context, count, line, what):
    async def play():
        sending = [
            asyncio.create_task(_send(context.vm, line, f"r{number}"))
            for number in range(count)
        ]
        await asyncio.sleep(WAITING_S)
        context.world.configure(**_changes(what))
        return await asyncio.wait_for(asyncio.gather(*sending), 10)

    context.answers = context.run(play())


@then("none of them is denied")
def step_none_denied(context):
    statuses = Counter(answer.status for answer in context.answers)
    assert not {400, 401, 403, 404} & statuses.keys(), statuses


@then("all of them get the endpoint's own answer")
def step_all_served(context):
    statuses = Counter(answer.status for answer in context.answers)
    assert statuses.keys() == {200}, statuses
