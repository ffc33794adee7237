"""Steps of changes of the configuration while requests are read."""

import asyncio
import json
import signal
import time
from collections import Counter

from behave import given, then, when

from standins.routed.kept import Manner, call_until
from standins.routed.links import Cut
from standins.routed.vm import Answer
from tests.routed_world import (
    DATA_CENTRE,
    KEY,
    ORGANISATION,
    caller_headers,
    configuration,
)

BODY = b"a" * 64
LINES = (
    "GET /plain/a",
    "POST /plain/a",
    "POST /plain/file/a",
    "POST /chat/a",
    "POST /help/a",
)
REFUSALS = {401, 404, 429, 502, 503, 504}
SLOW_S = 0.4
SILENCE_MS = 1200
LIMIT_S = 3.0
LATE_SHARE = 0.7
"""Part of their time limit after which requests may be broken off by it."""

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


def _series():
    """Return the changes of an operator who changes everything in turn."""
    document = json.loads(configuration())
    portal, pool = document["services"]
    plain, *others = document["routes"]
    both = {"services": [portal, {"name": "desk", "healthPath": "/healthz"}, pool]}
    split = [{"service": "portal", "weight": 1}, {"service": "desk", "weight": 1}]
    halves = {key: plain[key] for key in plain if key != "service"} | {"split": split}
    other = {"name": "other", "apiKeys": [KEY], "priority": 3}
    return (
        both,
        both | {"routes": others},
        both | {"routes": [plain | {"timeoutMs": 2900}, *others]},
        _replaced("desk"),
        both | {"routes": [halves, *others]},
        both | {"tenants": [{"name": ORGANISATION, "apiKeys": []}]},
        both | {"tenants": [other | {"ratePerS": 50_000, "burst": 50_000}]},
        {"services": [portal], "routes": [plain, others[0]]},
        both | {"routes": [each | {"priority": 5} for each in (plain, *others)]},
    )


@given("two platform VMs, one with links of its own")
def step_linked(context):
    context.run(context.world.add_vm())
    context.vm = context.run(context.world.add_vm_with_links(DATA_CENTRE))


async def _change_often(world, vm, until_s, every_s, what):
    if what == "a cut to its endpoints":
        for link in world.links:
            await link.cut(Cut.REFUSED)
    series = _series()
    number = 0
    while time.monotonic() < until_s:
        world.configure(**series[number % len(series)])
        number += 1
        if what == "news of its settings":
            vm.signal(signal.SIGHUP)
        if what == "silent endpoints":
            for endpoint in world.endpoints.values():
                endpoint.options.pause_ms = SILENCE_MS if number % 3 == 0 else 0
        await asyncio.sleep(every_s)
    world.configure(**series[0])


@when(
    "callers keep sending for {s:d} s, beside changes each {every_ms:d} ms and {what}"
)
def step_keep_sending(context, s, every_ms, what):
    vm = context.vm
    headers = [one for one in caller_headers() if not one.startswith("request-id")]

    async def play():
        until_s = time.monotonic() + s
        changing = _change_often(context.world, vm, until_s, every_ms / 1000, what)
        calling = [
            call_until(vm, f"{manner}-{number}", line, manner, headers, until_s, SLOW_S)
            for manner in Manner
            for number, line in enumerate(LINES)
        ]
        _, *callers = await asyncio.gather(changing, *calling)
        return [ended for caller in callers for ended in caller]

    context.ended = context.run(play())


@then("each request has ended in an answer or a refusal")
def step_all_ended(context):
    answered = [one for one in context.ended if one.status == 200 and one.is_whole]
    assert len(answered) > len(LINES) * len(Manner), len(answered)
    lost = [
        one
        for one in context.ended
        if not one.is_whole and one.took_s < LATE_SHARE * LIMIT_S
    ]
    assert not lost, lost
    statuses = {one.status for one in context.ended if one.is_whole}
    assert statuses <= REFUSALS | {200}, statuses


@then("no VM has met an unhandled error")
def step_no_error(context):
    for vm in context.world.vms:
        assert not vm.events("forward_error"), vm.events("forward_error")
        assert not vm.events("task_failed"), vm.events("task_failed")
