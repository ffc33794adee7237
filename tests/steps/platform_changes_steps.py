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


@when('{count:d} callers send "{line}" beside a change: {what}')
def step_callers_send(context, count, line, what):
    async def play():
        sending = [
            asyncio.create_task(
                context.vm.ask(f"{line} HTTP/1.1", caller_headers(f"r{number}"))
            )
            for number in range(count)
        ]
        await asyncio.sleep(WAITING_S)
        context.world.configure(**_changes(what))
        return await asyncio.wait_for(asyncio.gather(*sending), 10)

    context.answers = context.run(play())


@then("all of them get the endpoint's own answer")
def step_all_served(context):
    statuses = Counter(answer.status for answer in context.answers)
    assert statuses.keys() == {200}, statuses


def _replaced(service):
    """Return changes by which all routes of a portal lead to another service."""
    document = json.loads(configuration())
    _, pool = document["services"]
    plain, file, *others = document["routes"]
    moved = [route | {"service": service} for route in (plain, file)]
    services = [{"name": service, "healthPath": "/healthz"}, pool]
    return {"services": services, "routes": [*moved, *others]}


@when(
    '{count:d} callers send "{line}", and {ms:d} ms later all routes lead to '
    '"{service}"'
)
def step_replace_service(context, count, line, ms, service):
    async def play():
        asking = [
            asyncio.ensure_future(
                context.vm.ask(f"{line} HTTP/1.1", caller_headers(f"w{number}"))
            )
            for number in range(count)
        ]
        await asyncio.sleep(ms / 1000)
        context.world.configure(**_replaced(service))
        return await asyncio.gather(*asking)

    context.answers = context.run(play())


@then("they are answered {status:d}, and told when to come back")
def step_come_back(context, status):
    for answer in context.answers:
        assert answer.status == status, answer.data
        assert "retry-after" in answer.headers, answer.data
