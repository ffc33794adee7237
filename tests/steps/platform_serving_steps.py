"""Steps of a VM on the users' platform, against the stand-ins."""

import asyncio
import json
import re

from behave import given, then, when

from bench.processes import wait_until
from standins.routed.endpoint import BodyFraming, Fault
from standins.routed.store import Trouble
from standins.routed.vm import exchange
from tests.routed_world import HOST, ORGANISATION, RoutedWorld, caller_headers

MOST_TRIES = 30
KNOWN_WITHIN_S = 10.0
LOOK_S = 0.1

PIECE_S = 0.05
"""Pause after each piece of a request, so that each comes by itself."""


def _names(lines):
    return [line["endpoint"] for line in lines]


@given("a platform with the endpoints")
def step_platform(context):
    context.world = world = context.run(RoutedWorld().start())
    context.add_cleanup(lambda: context.run(world.aclose()))
    for row in context.table:
        context.run(world.add_endpoint(row["endpoint"], row["service"]))


@given("a platform VM")
def step_vm(context):
    context.vm = context.run(context.world.add_vm())
    context.asked = 0


@given("the VM's configuration was confirmed after it came into force")
def step_confirmed(context):
    for _ in range(MOST_TRIES):
        status = json.loads(context.run(_page(context, "/status")).body)
        if status["configuration_confirmed_age_ms"] < status["configuration_age_ms"]:
            return
        context.run(asyncio.sleep(LOOK_S))
    raise AssertionError(status)


@given('the endpoint "{name}" does "{fault}"')
def step_fault(context, name, fault):
    context.world.endpoints[name].fault = Fault(fault)


@given('the endpoint "{name}" frames its answers by "{framing}"')
def step_framing(context, name, framing):
    context.world.endpoints[name].options.framing = BodyFraming(framing)


@given('the endpoint "{name}" takes {work_ms:d} ms')
def step_work(context, name, work_ms):
    context.world.endpoints[name].options.work_ms = work_ms


@given('another endpoint "{name}" of "{service}"')
def step_another(context, name, service):
    async def add():
        await context.world.add_endpoint(name, service)
        await wait_until(
            lambda: name in _names(context.vm.events("endpoint_known")),
            KNOWN_WITHIN_S,
            f"{name} is not known",
        )

    context.run(add())


async def _send(context, line, body=b"", version="1.1", **fields):
    context.asked += 1
    context.request_id = f"r{context.asked}"
    headers = caller_headers(context.request_id, **fields)
    return await context.vm.ask(f"{line} HTTP/{version}", headers, body)


@when('a caller sends "{line}" with the body "{body}"')
def step_send_body(context, line, body):
    context.answer = context.run(_send(context, line, body.encode()))


@when('a caller sends "{line}"')
def step_send(context, line):
    context.answer = context.run(_send(context, line))


@when('a caller sends "{line}" over HTTP/{version}')
def step_send_version(context, line, version):
    context.answer = context.run(_send(context, line, version=version))


@when('a caller sends "{line}" with the headers')
def step_send_headers(context, line):
    fields = {row["header"].replace("-", "_"): row["value"] for row in context.table}
    context.answer = context.run(_send(context, line, **fields))


@when('a stranger sends "{line}" to host "{host}" with the key "{key}"')
@when('a stranger sends "{line}" to host "{host}" with the key ""')
def step_stranger(context, line, host, key=""):
    headers = [h for h in caller_headers(key=key) if not h.startswith("host")]
    headers.append(f"host: {host}")
    context.answer = context.run(context.vm.ask(f"{line} HTTP/1.1", headers))


@when('a stranger sends the bytes of "{what}"')
def step_stranger_bytes(context, what):
    line, headers, body = "POST /plain/a HTTP/1.1", caller_headers(), b""
    match what:
        case "a head that is too long":
            headers.append("x-long: " + "x" * 40_000)
        case "a body that is too long":
            body = b"x" * 100_001
        case "both lengths":
            headers += ["transfer-encoding: chunked", "content-length: 3"]
        case "a deadline of letters":
            headers = [h for h in headers if not h.startswith("deadline")]
            headers.append("deadline-ms: soon")
    context.answer = context.run(context.vm.ask(line, headers, body))


@when('callers send "{line}" until "{name}" has run one')
def step_until(context, line, name):
    endpoint = context.world.endpoints[name]
    for _ in range(MOST_TRIES):
        context.answer = context.run(_send(context, line))
        if any(seen.ran for seen in endpoint.seen):
            return
    raise AssertionError(f"{name} was never chosen")


@when('callers send "{line}" {count:d} times')
def step_times(context, line, count):
    context.answers = [context.run(_send(context, line)) for _ in range(count)]


@when('a caller leaves "{line}" after {after_ms:d} ms')
def step_leave(context, line, after_ms):
    async def leave():
        asking = asyncio.ensure_future(_send(context, line))
        await asyncio.sleep(after_ms / 1000)
        asking.cancel()
        await asyncio.gather(asking, return_exceptions=True)

    context.run(leave())


@when('the VM is killed {after_ms:d} ms after a caller sent "{line}"')
def step_kill(context, after_ms, line):
    async def play():
        asking = asyncio.ensure_future(_send(context, line))
        await asyncio.sleep(after_ms / 1000)
        context.vm.process.kill()
        context.answer = await asking

    context.run(play())


@when('the endpoint "{name}" says that it leaves, and {ms:d} ms pass')
def step_leaves(context, name, ms):
    context.world.register(name, "draining")
    context.run(asyncio.sleep(ms / 1000))


@when("the operator takes the key away, and {ms:d} ms pass")
def step_revoke(context, ms):
    context.world.configure(tenants=[{"name": ORGANISATION, "apiKeys": []}])
    context.run(asyncio.sleep(ms / 1000))


@when('a caller sends "{line}" and the VM is told to stop')
def step_send_stop(context, line):
    async def play():
        asking = asyncio.ensure_future(_send(context, line))
        await asyncio.sleep(0.3)
        context.vm.signal()
        await asyncio.sleep(0.3)
        context.probe_status = await context.vm.probe_status()
        context.answer = await asking

    context.run(play())


@when("the store falls silent and the VM is told to stop")
def step_silent_stop(context):
    context.world.store.trouble = Trouble.SILENT
    context.vm.signal()


@when("the store falls silent for {ms:d} ms")
def step_silent_for(context, ms):
    context.world.store.trouble = Trouble.SILENT
    context.run(asyncio.sleep(ms / 1000))


@then('the answer is {status:d}, "{reason}", with a time to come back')
def step_status_reason(context, status, reason):
    answer = context.answer
    assert answer.status == status, answer.data[:300]
    assert json.loads(answer.body)["reason"] == reason, answer.body
    assert float(answer.headers["retry-after"]) > 0, answer.data[:300]


@then("the answer is {status:d}")
def step_status(context, status):
    assert context.answer.status == status, context.answer.data[:300]


@then("the answer is 200 and the endpoint's own")
def step_own(context):
    answer = context.answer
    assert answer.status == 200, answer.data[:300]
    name = answer.body.removeprefix(b"answer of ").decode()
    assert answer.headers["server-seal"] == f"seal-of-{name}", answer.data
    assert answer.headers["request-id"] == context.request_id


@then("the answer is 200 and holds the events {first:d} to {last:d} once each")
def step_events(context, first, last):
    assert context.answer.status == 200, context.answer.data[:300]
    assert context.answer.events == list(range(first, last + 1)), context.answer.data


@then("the answer is whole")
def step_whole(context):
    assert context.answer.is_whole, context.answer.data


@then("the answer is not whole")
def step_not_whole(context):
    assert not context.answer.is_whole, context.answer.data


@then("the answer is broken off")
def step_broken_off(context):
    assert context.answer.status == 200, context.answer.data
    assert context.answer.is_broken_off, context.answer.data


@then("the answer is 200 and not broken off")
def step_200_not_broken_off(context):
    assert context.answer.status == 200, context.answer.data
    assert not context.answer.is_broken_off, context.answer.data


@then("the answer is not broken off")
def step_not_broken_off(context):
    assert not context.answer.is_broken_off, context.answer.data


@then('the answer ends by "{end}"')
def step_ends_by(context, end):
    assert context.answer.ends_by == BodyFraming(end), context.answer.data


@then("the answer is 200 and leaves its end to the close")
def step_ends_by_close(context):
    answer = context.answer
    assert answer.status == 200, answer.data
    assert answer.ends_by is BodyFraming.CLOSE, answer.data
    assert not answer.was_reset, answer.data
    assert answer.headers["connection"] == "close"


@then("every answer is 200 and whole")
def step_all(context):
    for answer in context.answers:
        assert answer.status == 200 and answer.is_whole, answer.data
        assert answer.data.count(b"HTTP/1.1") == 1


def _ran(context):
    endpoints = context.world.endpoints.values()
    return [seen for each in endpoints for seen in each.seen if seen.ran]


@then('exactly one endpoint ran "{line}" with the body "{body}"')
def step_ran(context, line, body):
    ran = _ran(context)
    assert [(one.line, one.body) for one in ran] == [(line, body.encode())], ran


@then("that request carried the organisation and the endpoint's id, and no key")
def step_carried(context):
    (one,) = _ran(context)
    assert one.headers["tenant"] == ORGANISATION
    assert one.headers["expect-instance"] in context.world.endpoints
    assert one.headers["host"] == HOST
    assert int(one.headers["deadline-ms"]) <= 3000
    assert "authorization" not in one.headers


@then('that request carried none of "{names}"')
def step_carried_none(context, names):
    (one,) = _ran(context)
    assert not set(names.split(", ")) & one.headers.keys(), one.headers


@then("no endpoint has seen a request")
def step_none(context):
    assert not any(each.seen for each in context.world.endpoints.values())


@then('"{name}" has run {count:d} request')
@then('"{name}" has run {count:d} requests')
def step_count(context, name, count):
    ran = [seen for seen in context.world.endpoints[name].seen if seen.ran]
    assert len(ran) == count, ran


@then("the endpoints have run {count:d} request")
def step_count_all(context, count):
    assert len(_ran(context)) == count


@then('"{name}" sees its caller leave within {ms:d} ms')
def step_seen_leave(context, name, ms):
    seen = context.world.endpoints[name].seen
    context.run(
        wait_until(lambda: any(one.cut for one in seen), ms / 1000, "no caller left")
    )


@then("the balancer's question is not answered 200 any more")
def step_not_ready(context):
    assert context.probe_status != 200


@then("the VM ends with code {code:d} within {s:d} s")
def step_ends(context, code, s):
    async def wait():
        async with asyncio.timeout(s):
            return await context.vm.process.wait()

    assert context.run(wait()) == code, context.vm.log.read_text()


@then('the log has "{names}" of that request')
def step_logged(context, names):
    for name in names.split(", "):
        found = [line["request"] for line in context.vm.events(name)]
        assert context.request_id in found, (name, found)


@then("the log names its path, {status:d} and the configuration it was checked by")
def step_rejection_logged(context, status):
    (line,) = context.vm.events("forward_rejected")
    assert (line["request"], line["status"], line["version"]) == ("r1", status, 1), line
    assert line["path"] in ("/plain/a", "/nowhere/"), line
    assert 0 <= line["confirmed_ms"] < line["in_force_ms"] < 10_000, line
    assert 0 <= line["lag_ms"] < 10_000, line


@then(
    "after {ms:d} ms the metrics hold version {version:d}, and the status both its ages"
)
def step_configuration_told(context, ms, version):
    context.run(asyncio.sleep(ms / 1000))
    page = context.run(_page(context, "/metrics")).body.decode()
    assert f"pomelolane_configuration_version {version}" in page, page
    status = json.loads(context.run(_page(context, "/status")).body)
    age_ms = status["configuration_age_ms"]
    assert 0 <= status["configuration_confirmed_age_ms"] < age_ms < 10_000, status
    assert status["event_loop_lag_ms"] < 10_000, status


@then('the metrics count {count:d} answer of "{service}" that began in time')
def step_begun(context, count, service):
    answer = context.run(_page(context, "/metrics"))
    assert answer.status == 200, answer.data
    text = answer.body.decode()
    name = "pomelolane_forwarded_begun_total"
    lines = [line for line in text.splitlines() if line.startswith(name)]
    expected = ('in_time="true"', f'service="{service}"', f" {count}")
    assert len(lines) == 1, text
    assert all(part in lines[0] for part in expected), lines


@then('the balancer\'s listener knows no page "{path}"')
def step_no_page(context, path):
    assert context.run(_page(context, path)).status == 404


async def _page(context, path):
    vm = context.vm
    return await exchange(vm.ip, vm.probe.port, f"GET {path} HTTP/1.1")


@when(
    'a caller sends {size:d} bytes to "{line}" in {count:d} pieces, '
    "and then a head in two"
)
def step_long_body_and_split_head(context, size, line, count):
    async def send():
        reader, writer = await asyncio.open_connection(
            context.vm.ip, context.vm.front.port
        )
        fields = [*caller_headers("r1"), f"content-length: {size}"]
        first = "\r\n".join([f"{line} HTTP/1.1", *fields, "", ""]).encode()
        fields = [*caller_headers("r2"), "connection: close"]
        second = "\r\n".join(["GET /plain/b HTTP/1.1", *fields, "", ""]).encode()
        half = len(second) // 2
        pieces = [first, *[b"a" * (size // count)] * count]
        for piece in [*pieces, second[:half], second[half:]]:
            writer.write(piece)
            await writer.drain()
            await asyncio.sleep(PIECE_S)
        try:
            return await reader.read()
        finally:
            writer.close()

    context.data = context.run(asyncio.wait_for(send(), 10))


@then("both answers are {status:d}")
def step_both_answers(context, status):
    statuses = re.findall(rb"HTTP/1\.1 (\d+) ", context.data)
    assert statuses == [b"%d" % status] * 2, statuses
